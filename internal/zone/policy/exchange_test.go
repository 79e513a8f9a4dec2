package policy

import (
	"fmt"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// startHost gives the workers of host h to a decider that has learned nothing and adopts the running tasks.
func (w *world) startHost(h int) {
	now := at(w.now)
	d := newDecider(w.mode, w)
	w.hosts[h] = d
	for _, u := range w.urgents {
		d.Update(now, ClassMsg{Name: u.name, Kind: KindUrgent, P99: time.Duration(u.target * 1e9)})
	}
	for _, c := range w.classes {
		d.Update(now, ClassMsg{Name: c.name, Kind: KindBatch, Evictions: disruptionTarget})
	}
	for _, fw := range w.byHost[h] {
		d.Update(now, WorkerMsg{Name: fw.name, Rack: fw.rack, Capacity: fw.capacity, Slots: 8})
		for _, t := range fw.tasks {
			d.Update(now, StartMsg{
				Worker: fw.name, Task: t.Task, Job: t.Job, Class: t.Class, Team: t.Team, Attempt: t.attempt,
				Declared: t.Size, Planned: t.planned, Share: int(t.share * 100),
			})
		}
	}
	d.Update(now, ShapesMsg{Capacities: []fleet.Size{{Cores: w.cores, Memory: w.memory, Accelerators: 2}}})
	for i := range teamCount {
		share := float64(len(w.byHost[h])) / teamCount
		if w.sc.idle[1] > 0 {
			// About what the accepted slowdown leaves, so that the quotas bind.
			share *= 0.35
		}
		d.Update(now, TeamMsg{Name: fmt.Sprint("team", i), Quota: fleet.Size{
			Cores: int64(share * float64(w.cores)), Memory: int64(share * float64(w.memory)), Accelerators: 100,
		}})
	}
}

// exchange sends what every host learned to all others, or to the others of its zone, every 10 seconds.
func (w *world) exchange() {
	if int(w.now)%10 != 9 || w.mode != modePolicy && w.mode != modeShareZone {
		return
	}
	for a, from := range w.hosts {
		m := LearnedMsg{Host: fmt.Sprint("h", a), Learned: from.(*Policy).Learned(at(w.now))}
		for b, to := range w.hosts {
			if a != b && (w.mode == modePolicy || w.zoneOf[a] == w.zoneOf[b]) {
				to.Update(at(w.now), m)
			}
		}
	}
}
