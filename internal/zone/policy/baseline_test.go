package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// The modes of a run. modeTruth is the policy given the true interference.
const (
	modePolicy = "policy"
	modeTruth  = "truth"
	modeOff    = "off"
	modeFirst  = "first-fit"
	modeLeast  = "least-loaded"
)

func newDecider(mode string, w *world) decider {
	r := rand.New(rand.NewPCG(w.rng.Uint64(), 7))
	switch mode {
	case modeTruth:
		return New(WithRand(r), WithInterference(w.truth))
	case modeOff:
		return &baseline{Policy: New(), off: true}
	case modeFirst:
		return &baseline{Policy: New()}
	case modeLeast:
		return &baseline{Policy: New(), least: true}
	}
	p := New(WithRand(r))
	switch mode {
	case modeNoLearning:
		p = New(WithRand(r), WithInterference(func(string, string) float64 { return priorK }))
	case modeNoThrottle, modeNoQuarantine, modeNoQuota:
		return &without{Policy: p, mode: mode}
	}
	return p
}

// The modes that leave out one part of the policy.
const (
	modeNoLearning   = "no-learning"
	modeNoThrottle   = "no-throttle"
	modeNoQuarantine = "no-quarantine"
	modeNoQuota      = "no-quota"
	// modeNoShare lets no host learn from others, modeShareZone lets it learn from its own zone only.
	modeNoShare   = "no-share"
	modeShareZone = "share-zone"
)

// without is the policy without one of its parts.
type without struct {
	*Policy
	mode string
}

func (d *without) Update(now time.Time, msg Msg) {
	switch m := msg.(type) {
	case TeamMsg:
		if d.mode == modeNoQuota {
			return
		}
	case ElsewhereMsg:
		if d.mode == modeNoQuarantine {
			return
		}
	case EndMsg:
		if d.mode == modeNoQuarantine && m.Outcome == OutcomeFailed {
			m.Outcome = OutcomeCancelled
			msg = m
		}
	}
	d.Policy.Update(now, msg)
}

func (d *without) Tick(now time.Time) []Command {
	if d.mode == modeNoThrottle {
		return nil
	}
	return d.Policy.Tick(now)
}

// truth is the interference at a typical load of the worker.
func (w *world) truth(urgent, batch string) float64 {
	u, c := slices.Index(w.urgent, urgent), slices.Index(w.batches, batch)
	return w.k[u][c] * w.classes[c].noise * (0.6 + 0.8*0.6)
}

// baseline places by declared sizes. The least-loaded one stops a task of its fullest worker while an
// urgent class misses its target; it knows neither interference nor throttling nor quarantine.
type baseline struct {
	*Policy
	off, least bool
	acted      time.Time
}

func (b *baseline) PlaceTask(_ time.Time, t Candidate) (Placement, bool) {
	if b.off {
		return Placement{Reason: ReasonNone}, false
	}
	if len(t.Avoid) >= parkWorkers {
		return Placement{Reason: ReasonFails, Park: true}, false
	}
	if !b.shapes.fits(t.Size) && !b.elsewhere.fits(t.Size) {
		return Placement{Reason: ReasonTooLarge, Park: true}, false
	}
	var best *worker
	for _, w := range b.order {
		free := w.capacity.Sub(w.committed)
		if !t.Size.Fits(free) {
			continue
		}
		if best == nil || b.least && free.Cores > best.capacity.Sub(best.committed).Cores {
			best = w
		}
	}
	if best == nil {
		return Placement{Reason: ReasonRoom}, false
	}
	return Placement{Worker: best.name, Size: t.Size}, true
}

func (b *baseline) CallScore(string, string) float64 { return 1 }

func (b *baseline) Tick(now time.Time) []Command {
	if !b.least {
		return nil
	}
	missing := false
	for _, u := range b.urgent {
		u.judge(now, b.harm)
		missing = missing || u.missing
	}
	if !missing || now.Sub(b.acted) < actEvery {
		return nil
	}
	var full *worker
	for _, w := range b.order {
		if len(w.tasks) > 0 && (full == nil || w.committed.Cores > full.committed.Cores) {
			full = w
		}
	}
	if full == nil {
		return nil
	}
	var newest *task
	for _, t := range full.tasks {
		if newest == nil || t.since.After(newest.since) || t.since.Equal(newest.since) && t.id < newest.id {
			newest = t
		}
	}
	b.acted = now
	return []Command{{Worker: full.name, Task: newest.id, Attempt: newest.attempt, Action: fleet.ActionStop}}
}
