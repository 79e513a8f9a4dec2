package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// workersPerTick bounds the workers examined per Tick.
	workersPerTick = 64
	// throttleFactor is the predicted slowdown, relative to the accepted one, above which tasks are throttled;
	// unthrottleFactor is the one below which throttles are taken back.
	throttleFactor, unthrottleFactor = 1.25, 0.8
	// actionInterval is the time between two actions on a worker.
	actionInterval = 5 * time.Second
	// unthrottleDelay is the time from the last action on a worker until the first throttle is taken back.
	unthrottleDelay = 30 * time.Second
	// minCPUPercent is the lowest CPU limit in percent: 100 halved three times and rounded up. A task at this limit
	// is not throttled further.
	minCPUPercent = 13
	// checkpointTime is how long a task may take to write its checkpoint before it is stopped.
	checkpointTime = 10 * time.Second
	// stopRetryInterval is the time after which a stop that had no effect is repeated.
	stopRetryInterval = 30 * time.Second
)

// Tick returns the commands due for running tasks. It should be called about once a second.
func (p *Policy) Tick(now time.Time) []Command {
	var out []Command
	for _, u := range p.urgentClasses {
		u.evaluateTarget(now, p.maxSlowdown)
	}
	p.dropOldJobRecords(now)
	p.dropSilentHosts(now)
	for range min(workersPerTick, len(p.workersInScan)) {
		p.scanPosition = (p.scanPosition + 1) % len(p.workersInScan)
		w := p.workersInScan[p.scanPosition]
		p.creditByAge(now, w)
		out = p.adjustThrottles(now, w, out)
	}
	return p.reclaimQuota(now, out)
}

// adjustThrottles throttles, checkpoints or stops one task of a worker whose batch tasks slow urgent calls down too
// much, or takes back a throttle if they no longer do.
func (p *Policy) adjustThrottles(now time.Time, w *worker, out []Command) []Command {
	if len(w.tasks) == 0 || now.Sub(w.lastActionAt) < actionInterval {
		return out
	}
	var worst *class
	worstRatio := 0.0
	for _, u := range p.urgentClasses {
		if !u.isActive(now) {
			continue
		}
		limit := throttleFactor * u.acceptedSlowdown
		if u.missesTarget {
			limit = u.acceptedSlowdown
		}
		if ratio := p.workerSlowdown(w, u, nil, 0) / limit; ratio > worstRatio {
			worst, worstRatio = u, ratio
		}
	}
	switch {
	case worstRatio > 1:
		return p.reduceInterference(now, w, worst, out)
	case w.throttledTasks > 0 && now.Sub(w.lastActionAt) >= unthrottleDelay:
		return p.unthrottle(now, w, out)
	}
	return out
}

// reduceInterference acts on the task of the worker that slows the urgent class down most. It halves the CPU limit
// first. If the class still misses its target with all tasks at the lowest limit, it has a task write a checkpoint and
// stops it checkpointTime later, if the disruption budget of the task's class allows.
func (p *Policy) reduceInterference(now time.Time, w *worker, u *class, out []Command) []Command {
	var pick *task
	var highest float64
	for _, t := range w.tasks {
		if t.cpuPercent <= minCPUPercent {
			continue
		}
		slowdown := p.pairSlowdown(u, t.class) * t.allowedCores() * t.class.size.coresRatio()
		if pick == nil || slowdown > highest || slowdown == highest && t.id < pick.id {
			pick, highest = t, slowdown
		}
	}
	if pick != nil {
		return p.throttle(now, pick, max(pick.cpuPercent/2, minCPUPercent), "slows down "+u.name, out)
	}
	if !u.missesTarget {
		return out
	}
	if w.stopping != nil {
		t := w.stopping
		switch {
		case t.stopSentAt.IsZero() && now.Sub(t.checkpointSentAt) >= checkpointTime,
			!t.stopSentAt.IsZero() && now.Sub(t.stopSentAt) >= stopRetryInterval:
			return p.stopTask(now, t, "slows down "+u.name+" in spite of throttling", out)
		}
		return out
	}
	for _, t := range w.tasks {
		slowdown := p.pairSlowdown(u, t.class) * t.allowedCores() * t.class.size.coresRatio()
		if t.class.budget.allowsEviction(now, t.class.running) &&
			(pick == nil || slowdown > highest || slowdown == highest && t.id < pick.id) {
			pick, highest = t, slowdown
		}
	}
	if pick == nil {
		return out
	}
	w.lastActionAt, w.stopping, pick.checkpointSentAt = now, pick, now
	return append(out, Command{
		Worker: w.name, Task: pick.id, Attempt: pick.attempt, Action: fleet.ActionCheckpoint,
		Reason: "slows down " + u.name + " in spite of throttling",
	})
}

// throttle sets the CPU limit of the task to the given percentage of its declared cores; 100 removes the limit.
func (p *Policy) throttle(now time.Time, t *task, percent int, reason string, out []Command) []Command {
	before := t.allowedCores()
	if t.cpuPercent == 100 {
		t.worker.throttledTasks++
	}
	t.cpuPercent = percent
	if percent == 100 {
		t.worker.throttledTasks--
	}
	t.worker.history(t.class).addChange(now, t.allowedCores()-before, 0)
	t.worker.lastActionAt = now
	return append(out, Command{
		Worker: t.worker.name, Task: t.id, Attempt: t.attempt, Action: fleet.ActionThrottle, CPUPercent: percent,
		Reason: reason,
	})
}

// unthrottle doubles the CPU limit of the task with the lowest limit if this slows no urgent class down too much.
func (p *Policy) unthrottle(now time.Time, w *worker, out []Command) []Command {
	var pick *task
	for _, t := range w.tasks {
		if t.cpuPercent < 100 && (pick == nil || t.cpuPercent < pick.cpuPercent ||
			t.cpuPercent == pick.cpuPercent && t.id < pick.id) {
			pick = t
		}
	}
	if pick == nil {
		return out
	}
	percent := min(100, 2*pick.cpuPercent)
	if percent > 90 {
		percent = 100
	}
	extra := float64(pick.declared.Cores) * float64(percent-pick.cpuPercent) / 100 * pick.class.size.coresRatio()
	for _, u := range p.urgentClasses {
		if u.isActive(now) &&
			(u.missesTarget || p.workerSlowdown(w, u, pick.class, extra) > unthrottleFactor*u.acceptedSlowdown) {
			return out
		}
	}
	previousActionAt := w.lastActionAt
	out = p.throttle(now, pick, percent, "urgent calls no longer need it", out)
	// The next step is due actionInterval after this one was, not unthrottleDelay after it.
	w.lastActionAt = previousActionAt.Add(actionInterval)
	return out
}

// stopTask tells the task to stop. It charges the disruption budget once per attempt.
func (p *Policy) stopTask(now time.Time, t *task, reason string, out []Command) []Command {
	if !t.evictionCharged {
		t.class.budget.charge(now, t.class.running)
		t.evictionCharged = true
	}
	t.stopSentAt, t.worker.lastActionAt = now, now
	return append(out, Command{
		Worker: t.worker.name, Task: t.id, Attempt: t.attempt, Action: fleet.ActionStop, Reason: reason,
	})
}
