package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// The modes of a run. In modeTrueInterference the policy is given the true interference, modeNoBatch places no batch
// task, and the last two are simpler schedulers to compare with.
const (
	modePolicy           = "policy"
	modeTrueInterference = "truth"
	modeNoBatch          = "off"
	modeFirstFit         = "first-fit"
	modeLeastLoaded      = "least-loaded"
)

// newScheduler returns the scheduler of one entry host for the mode.
func newScheduler(mode string, sim *simulation) scheduler {
	r := rand.New(rand.NewPCG(sim.rng.Uint64(), 7))
	switch mode {
	case modeTrueInterference:
		return New(WithRand(r), WithFixedInterference(sim.trueInterference))
	case modeNoBatch:
		return &baseline{Policy: New(), noBatch: true}
	case modeFirstFit:
		return &baseline{Policy: New()}
	case modeLeastLoaded:
		return &baseline{Policy: New(), leastLoaded: true}
	}
	p := New(WithRand(r))
	switch mode {
	case modeNoLearning:
		p = New(WithRand(r), WithFixedInterference(func(string, string) float64 { return priorSlowdown }))
	case modeNoThrottle, modeNoQuarantine, modeNoQuota:
		return &reducedPolicy{Policy: p, mode: mode}
	}
	return p
}

// The modes that leave out one part of the policy.
const (
	modeNoLearning   = "no-learning"
	modeNoThrottle   = "no-throttle"
	modeNoQuarantine = "no-quarantine"
	modeNoQuota      = "no-quota"
	// In modeNoExchange no host learns from others, in modeZoneExchange it learns from hosts of its own zone only.
	modeNoExchange   = "no-share"
	modeZoneExchange = "share-zone"
)

// reducedPolicy is the policy without one of its parts.
type reducedPolicy struct {
	*Policy
	mode string
}

func (r *reducedPolicy) Update(now time.Time, msg Msg) {
	switch m := msg.(type) {
	case TeamMsg:
		if r.mode == modeNoQuota {
			return
		}
	case RemoteOutcomeMsg:
		if r.mode == modeNoQuarantine {
			return
		}
	case EndMsg:
		if r.mode == modeNoQuarantine && m.Outcome == OutcomeFailed {
			m.Outcome = OutcomeCancelled
			msg = m
		}
	}
	r.Policy.Update(now, msg)
}

func (r *reducedPolicy) Tick(now time.Time) []Command {
	if r.mode == modeNoThrottle {
		return nil
	}
	return r.Policy.Tick(now)
}

// trueInterference returns the interference of a pair at a typical load of the worker.
func (sim *simulation) trueInterference(urgent, batch string) float64 {
	u, c := slices.Index(sim.urgentNames, urgent), slices.Index(sim.batchNames, batch)
	return sim.slowdownPerLoad[u][c] * sim.batchClasses[c].interferenceFactor * (0.6 + 0.8*0.6)
}

// baseline places tasks by declared sizes, on the first worker with room or on the least loaded one. In the latter mode
// it stops a task of its fullest worker while an urgent class misses its target. It knows neither interference nor
// throttling nor quarantine.
type baseline struct {
	*Policy
	noBatch, leastLoaded bool
	lastActionAt         time.Time
}

func (b *baseline) PlaceTask(_ time.Time, t Candidate) (Placement, bool) {
	if b.noBatch {
		return Placement{Reason: ReasonNoWorkers}, false
	}
	if len(t.FailedOn) >= maxFailedWorkers {
		return Placement{Reason: ReasonTaskFails, Park: true}, false
	}
	if !b.heldCapacities.fits(t.Size) && !b.remoteCapacities.fits(t.Size) {
		return Placement{Reason: ReasonTooLarge, Park: true}, false
	}
	var best *worker
	for _, w := range b.workersInScan {
		free := w.capacity.Sub(w.committed)
		if !t.Size.Fits(free) {
			continue
		}
		if best == nil || b.leastLoaded && free.Cores > best.capacity.Sub(best.committed).Cores {
			best = w
		}
	}
	if best == nil {
		return Placement{Reason: ReasonNoRoom}, false
	}
	return Placement{Worker: best.name, Size: t.Size}, true
}

func (b *baseline) CallScore(string, string) float64 { return 1 }

func (b *baseline) Tick(now time.Time) []Command {
	if !b.leastLoaded {
		return nil
	}
	missing := false
	for _, u := range b.urgentClasses {
		u.evaluateTarget(now, b.maxSlowdown)
		missing = missing || u.missesTarget
	}
	if !missing || now.Sub(b.lastActionAt) < actionInterval {
		return nil
	}
	var full *worker
	for _, w := range b.workersInScan {
		if len(w.tasks) > 0 && (full == nil || w.committed.Cores > full.committed.Cores) {
			full = w
		}
	}
	if full == nil {
		return nil
	}
	var newest *task
	for _, t := range full.tasks {
		if newest == nil || t.startedAt.After(newest.startedAt) || t.startedAt.Equal(newest.startedAt) && t.id < newest.id {
			newest = t
		}
	}
	b.lastActionAt = now
	return []Command{{Worker: full.name, Task: newest.id, Attempt: newest.attempt, Action: fleet.ActionStop}}
}
