package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/quota"
)

// team holds the quota of a team and the tasks that run for it. A team may exceed its quota while every team within its
// quota finds room: what those do not use is lent to it.
type team struct {
	name string
	// account holds the quota, and in its use the sum of the planned sizes of tasks.
	account quota.Account
	tasks   []*task
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
	q := quota.Quota{}
	if m.Quota.Cores >= 0 {
		q = quota.New(m.Quota)
	}
	p.team(m.Name).account.SetQuota(q)
}

func (tm *team) add(t *task) {
	t.teamIndex = len(tm.tasks)
	tm.tasks = append(tm.tasks, t)
	tm.account.Add(t.planned)
}

func (tm *team) remove(t *task) {
	last := tm.tasks[len(tm.tasks)-1]
	tm.tasks[t.teamIndex], last.teamIndex = last, t.teamIndex
	tm.tasks = tm.tasks[:len(tm.tasks)-1]
	tm.account.Remove(t.planned)
}

// fitsQuota reports whether the team stays within its quota with one more task of that size.
func (tm *team) fitsQuota(size fleet.Size) bool { return tm.account.Fits(size) }

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
		if other != starving && other.account.Excess() > 0 && len(other.tasks) > 0 &&
			(worst == nil || other.account.Excess() > worst.account.Excess() ||
				other.account.Excess() == worst.account.Excess() && other.name < worst.name) {
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
