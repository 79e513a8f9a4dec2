package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// team holds the quota of a team and what its running tasks were planned with.
type team struct {
	name    string
	limited bool
	quota   fleet.Size
	used    fleet.Size
	tasks   []*task
	// starved is when a task within the quota last got no worker for lack of room, need its size.
	starved time.Time
	need    fleet.Size
}

// lendPause is how long nothing more is lent after a team within its quota found no room.
const lendPause = 15 * time.Second

// team returns the team of that name; a team without a quota is not limited.
func (p *Policy) team(name string) *team {
	tm := p.teams[name]
	if tm == nil {
		tm = &team{name: name}
		p.teams[name] = tm
	}
	return tm
}

func (p *Policy) setTeam(m TeamMsg) {
	tm := p.team(m.Name)
	tm.limited, tm.quota = m.Quota.Cores >= 0, m.Quota
}

func (tm *team) add(t *task) {
	t.teamPos = len(tm.tasks)
	tm.tasks = append(tm.tasks, t)
	tm.used = tm.used.Add(t.planned)
}

func (tm *team) remove(t *task) {
	last := tm.tasks[len(tm.tasks)-1]
	tm.tasks[t.teamPos], last.teamPos = last, t.teamPos
	tm.tasks = tm.tasks[:len(tm.tasks)-1]
	tm.used = tm.used.Sub(t.planned)
}

// within reports whether the team stays within its quota with one more task of that size.
func (tm *team) within(size fleet.Size) bool {
	return !tm.limited || tm.used.Add(size).Fits(tm.quota)
}

// over is the largest share by which the team exceeds its quota.
func (tm *team) over() float64 {
	if !tm.limited {
		return 0
	}
	f := float64(tm.used.Cores-tm.quota.Cores) / float64(max(tm.quota.Cores, 1))
	f = max(f, float64(tm.used.Memory-tm.quota.Memory)/float64(max(tm.quota.Memory, 1)))
	return max(f, float64(tm.used.Accelerators-tm.quota.Accelerators)/float64(max(tm.quota.Accelerators, 1)))
}

// starving returns the team that is within its quota and found no room most recently, nil if there is none.
func (p *Policy) starving(now time.Time) *team {
	if p.starved != nil && now.Sub(p.starved.starved) < lendPause && p.starved.within(p.starved.need) {
		return p.starved
	}
	return nil
}

// reclaim stops tasks of borrowers while a team within its quota finds no room.
func (p *Policy) reclaim(now time.Time, out []Command) []Command {
	tm := p.starving(now)
	if tm == nil || now.Sub(p.reclaimed) < reclaimEvery {
		return out
	}
	var worst *team
	for _, o := range p.teams {
		if o != tm && o.over() > 0 && len(o.tasks) > 0 && (worst == nil || o.over() > worst.over() ||
			o.over() == worst.over() && o.name < worst.name) {
			worst = o
		}
	}
	if worst == nil {
		return out
	}
	var pick *task
	for range reclaimSamples {
		t := worst.tasks[p.rand.IntN(len(worst.tasks))]
		if !t.stopped.IsZero() || !t.class.budget.available(now, t.class.running) {
			continue
		}
		if pick == nil || t.since.After(pick.since) {
			pick = t
		}
	}
	if pick == nil {
		return out
	}
	p.reclaimed = now
	return p.stop(now, pick, "team "+tm.name+" needs the quota it lent", out)
}

const (
	// reclaimEvery spreads the stops, so that the room given back is used before more is taken.
	reclaimEvery   = 2 * time.Second
	reclaimSamples = 16
)
