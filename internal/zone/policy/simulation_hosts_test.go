package policy

import (
	"fmt"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// startHost gives the workers of host h to a scheduler that has learned nothing and takes over the running tasks.
func (sim *simulation) startHost(h int) {
	now := simTime(sim.now)
	s := newScheduler(sim.mode, sim)
	sim.hosts[h] = s
	for _, u := range sim.urgentClasses {
		s.Update(now, ClassMsg{Name: u.name, Kind: KindUrgent, P99Latency: time.Duration(u.target * 1e9)})
	}
	for _, c := range sim.batchClasses {
		s.Update(now, ClassMsg{Name: c.name, Kind: KindBatch, EvictionsPerTaskDay: evictionsPerTaskDay})
	}
	for _, sw := range sim.workersByHost[h] {
		s.Update(now, WorkerMsg{Name: sw.name, Rack: sw.rack, Capacity: sw.capacity, Slots: 8})
		for _, t := range sw.tasks {
			s.Update(now, StartMsg{
				Worker: sw.name, Task: t.Task, Job: t.Job, Class: t.Class, Team: t.Team, Attempt: t.attempt,
				Declared: t.Size, Planned: t.planned, CPUPercent: int(t.cpuFraction * 100),
			})
		}
	}
	s.Update(now, RemoteCapacitiesMsg{Capacities: []fleet.Size{{Cores: sim.cores, Memory: sim.memory, Accelerators: 2}}})
	for i := range teamCount {
		share := float64(len(sim.workersByHost[h])) / teamCount
		if sim.scenario.idleTeam[1] > 0 {
			// This is about what the accepted slowdown leaves, so that the quotas bind.
			share *= 0.35
		}
		s.Update(now, TeamMsg{Name: fmt.Sprint("team", i), Quota: fleet.Size{
			Cores: int64(share * float64(sim.cores)), Memory: int64(share * float64(sim.memory)), Accelerators: 100,
		}})
	}
}

// exchangeEstimates sends what every host learned to all others, or to the others of its zone, every 10 seconds.
func (sim *simulation) exchangeEstimates() {
	if int(sim.now)%10 != 9 || sim.mode != modePolicy && sim.mode != modeZoneExchange {
		return
	}
	for a, from := range sim.hosts {
		m := RemoteEstimatesMsg{Host: fmt.Sprint("h", a), Estimates: from.(*Policy).LocalEstimates(simTime(sim.now))}
		for b, to := range sim.hosts {
			if a != b && (sim.mode == modePolicy || sim.zoneOf[a] == sim.zoneOf[b]) {
				to.Update(simTime(sim.now), m)
			}
		}
	}
}
