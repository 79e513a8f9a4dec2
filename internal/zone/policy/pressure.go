package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// scanWorkers bounds the workers examined per Tick.
	scanWorkers = 64
	// hotFactor is the predicted harm, relative to what is accepted, from which on tasks are throttled, and
	// coolFactor the one below which throttles are taken back.
	hotFactor, coolFactor = 1.25, 0.8
	// actEvery is the time between two actions on a worker.
	actEvery = 5 * time.Second
	// coolAfter is the time from a worker's last throttle to its first release.
	coolAfter = 30 * time.Second
	minShare  = 13
	// stopAfter is the time that a task gets to write its checkpoint before it is stopped.
	stopAfter = 10 * time.Second
	// stopRetry is the time after which a stop that had no effect is repeated.
	stopRetry = 30 * time.Second
)

// Tick returns the actions due on running tasks. It should be called about once a second.
func (p *Policy) Tick(now time.Time) []Command {
	var out []Command
	for _, u := range p.urgent {
		u.judge(now, p.harm)
	}
	p.dropRecords(now)
	p.dropPeers(now)
	for range min(scanWorkers, len(p.order)) {
		p.next = (p.next + 1) % len(p.order)
		w := p.order[p.next]
		p.proveByAge(now, w)
		out = p.relieve(now, w, out)
	}
	return p.reclaim(now, out)
}

// relieve throttles, checkpoints or stops one task of a worker that harms urgent calls, or takes back a
// throttle of a worker that no longer does.
func (p *Policy) relieve(now time.Time, w *worker, out []Command) []Command {
	if len(w.tasks) == 0 || now.Sub(w.acted) < actEvery {
		return out
	}
	var hot *class
	harm := 0.0
	for _, u := range p.urgent {
		if !u.active(now) {
			continue
		}
		limit := hotFactor * u.allow
		if u.missing {
			limit = u.allow
		}
		if h := p.slowdown(w, u, nil, 0) / limit; h > harm {
			hot, harm = u, h
		}
	}
	switch {
	case harm > 1:
		return p.cool(now, w, hot, out)
	case w.throttled > 0 && now.Sub(w.acted) >= coolAfter:
		return p.unthrottle(now, w, out)
	}
	return out
}

// cool acts on the task of the worker that harms the urgent class most: halve its share, then checkpoint it,
// then stop it if the class's disruption budget allows.
func (p *Policy) cool(now time.Time, w *worker, u *class, out []Command) []Command {
	var pick *task
	var most float64
	for _, t := range w.tasks {
		if t.share <= minShare {
			continue
		}
		h := p.k(u, t.class) * t.weight() * t.class.size.ratio()
		if pick == nil || h > most || h == most && t.id < pick.id {
			pick, most = t, h
		}
	}
	if pick != nil {
		return p.throttle(now, pick, max(pick.share/2, minShare), "slows down "+u.name, out)
	}
	if !u.missing {
		return out
	}
	if w.stopping != nil {
		t := w.stopping
		switch {
		case t.stopped.IsZero() && now.Sub(t.marked) >= stopAfter,
			!t.stopped.IsZero() && now.Sub(t.stopped) >= stopRetry:
			return p.stop(now, t, "slows down "+u.name+" in spite of throttling", out)
		}
		return out
	}
	for _, t := range w.tasks {
		h := p.k(u, t.class) * t.weight() * t.class.size.ratio()
		if t.class.budget.available(now, t.class.running) && (pick == nil || h > most || h == most && t.id < pick.id) {
			pick, most = t, h
		}
	}
	if pick == nil {
		return out
	}
	w.acted, w.stopping, pick.marked = now, pick, now
	return append(out, Command{
		Worker: w.name, Task: pick.id, Attempt: pick.attempt, Action: fleet.ActionCheckpoint,
		Reason: "slows down " + u.name + " in spite of throttling",
	})
}

func (p *Policy) throttle(now time.Time, t *task, share int, reason string, out []Command) []Command {
	before := t.weight()
	if t.share == 100 {
		t.worker.throttled++
	}
	t.share = share
	if share == 100 {
		t.worker.throttled--
	}
	t.worker.level(t.class).add(now, t.weight()-before, 0)
	t.worker.acted = now
	return append(out, Command{
		Worker: t.worker.name, Task: t.id, Attempt: t.attempt, Action: fleet.ActionThrottle, Share: share, Reason: reason,
	})
}

// unthrottle doubles the share of the task with the least share if no urgent class is harmed by it.
func (p *Policy) unthrottle(now time.Time, w *worker, out []Command) []Command {
	var pick *task
	for _, t := range w.tasks {
		if t.share < 100 && (pick == nil || t.share < pick.share || t.share == pick.share && t.id < pick.id) {
			pick = t
		}
	}
	if pick == nil {
		return out
	}
	share := min(100, 2*pick.share)
	if share > 90 {
		share = 100
	}
	extra := float64(pick.declared.Cores) * float64(share-pick.share) / 100 * pick.class.size.ratio()
	for _, u := range p.urgent {
		if u.active(now) && (u.missing || p.slowdown(w, u, pick.class, extra) > coolFactor*u.allow) {
			return out
		}
	}
	acted := w.acted
	out = p.throttle(now, pick, share, "urgent calls no longer need it", out)
	// The pause before the next step is shorter than after a throttle.
	w.acted = acted.Add(actEvery)
	return out
}

// stop charges the disruption budget once and tells the task to stop.
func (p *Policy) stop(now time.Time, t *task, reason string, out []Command) []Command {
	if !t.charged {
		t.class.budget.charge(now, t.class.running)
		t.charged = true
	}
	t.stopped, t.worker.acted = now, now
	return append(out, Command{
		Worker: t.worker.name, Task: t.id, Attempt: t.attempt, Action: fleet.ActionStop, Reason: reason,
	})
}
