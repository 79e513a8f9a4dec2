package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// team holds the quota of a team and the tasks that run for it. A team may exceed its quota while every team within its
// quota finds room: what those do not use is lent to it.
type team struct {
	name     string
	hasQuota bool
	quota    fleet.Size
	// used is the sum of the planned sizes of tasks.
	used  fleet.Size
	tasks []*task
	// starvedAt is when a task within the quota last got no worker for lack of room or because it would slow down urgent
	// calls; starvedSize is its planned size.
	starvedAt   time.Time
	starvedSize fleet.Size
}

// lendingPause is how long no quota is lent after a team within its quota found no room.
const lendingPause = 15 * time.Second

// team returns the team of that name. A team without a quota is not limited.
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
	tm.hasQuota, tm.quota = m.Quota.Cores >= 0, m.Quota
}

func (tm *team) add(t *task) {
	t.teamIndex = len(tm.tasks)
	tm.tasks = append(tm.tasks, t)
	tm.used = tm.used.Add(t.planned)
}

func (tm *team) remove(t *task) {
	last := tm.tasks[len(tm.tasks)-1]
	tm.tasks[t.teamIndex], last.teamIndex = last, t.teamIndex
	tm.tasks = tm.tasks[:len(tm.tasks)-1]
	tm.used = tm.used.Sub(t.planned)
}

// fitsQuota reports whether the team stays within its quota with one more task of that size.
func (tm *team) fitsQuota(size fleet.Size) bool {
	return !tm.hasQuota || tm.used.Add(size).Fits(tm.quota)
}

// quotaExcess returns the largest fraction of its quota by which the team exceeds it, 0 for a team without a quota.
func (tm *team) quotaExcess() float64 {
	if !tm.hasQuota {
		return 0
	}
	f := float64(tm.used.Cores-tm.quota.Cores) / float64(max(tm.quota.Cores, 1))
	f = max(f, float64(tm.used.Memory-tm.quota.Memory)/float64(max(tm.quota.Memory, 1)))
	return max(f, float64(tm.used.Accelerators-tm.quota.Accelerators)/float64(max(tm.quota.Accelerators, 1)))
}

// starvingTeam returns the team within its quota that found no room most recently, or nil if there is none.
func (p *Policy) starvingTeam(now time.Time) *team {
	if p.starvedTeam != nil && now.Sub(p.starvedTeam.starvedAt) < lendingPause &&
		p.starvedTeam.fitsQuota(p.starvedTeam.starvedSize) {
		return p.starvedTeam
	}
	return nil
}

// reclaimQuota stops a task of the team that exceeds its quota most while a team within its quota finds no room.
func (p *Policy) reclaimQuota(now time.Time, out []Command) []Command {
	starving := p.starvingTeam(now)
	if starving == nil || now.Sub(p.reclaimedAt) < reclaimInterval {
		return out
	}
	var worst *team
	for _, other := range p.teams {
		if other != starving && other.quotaExcess() > 0 && len(other.tasks) > 0 &&
			(worst == nil || other.quotaExcess() > worst.quotaExcess() ||
				other.quotaExcess() == worst.quotaExcess() && other.name < worst.name) {
			worst = other
		}
	}
	if worst == nil {
		return out
	}
	var pick *task
	for range maxReclaimSamples {
		t := worst.tasks[p.rand.IntN(len(worst.tasks))]
		if !t.stopSentAt.IsZero() || !t.class.budget.allowsEviction(now, t.class.running) {
			continue
		}
		if pick == nil || t.startedAt.After(pick.startedAt) {
			pick = t
		}
	}
	if pick == nil {
		return out
	}
	p.reclaimedAt = now
	return p.stopTask(now, pick, "team "+starving.name+" needs the quota it lent", out)
}

const (
	// reclaimInterval spreads the stops, so that the room given back is used before more is reclaimed.
	reclaimInterval = 2 * time.Second
	// maxReclaimSamples is the number of tasks sampled to find a recently started one whose class may be evicted.
	maxReclaimSamples = 16
)
