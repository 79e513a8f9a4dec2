package dispatch

import "time"

// Long-running tasks never give their room back. If more of them are submitted than there is room for, they would take
// all room that is large enough. Short tasks come and go: the room that one of them leaves is needed by the next within
// moments. So while short tasks are present, a long-running task takes only room that they have left free for a while.
// Restarts don't wait.

const (
	// twoSlotsDelay is how long there must have been room for two long-running tasks before one starts while short
	// tasks use the rest. The platform counts the long-running tasks at work every two seconds, and allows one to wait
	// for three seconds at most while there is such room. The delay lies between both.
	twoSlotsDelay = 2200 * time.Millisecond
	// oneSlotDelay is the same delay when there is room for only one long-running task.
	oneSlotDelay = 4 * time.Second
	// freeRoomFactor times the cores that short tasks use and wait for is the free room at which long-running tasks
	// start without a delay: twice the mean is about the peak of a varying load.
	freeRoomFactor = 2
	// shortDemandDecay is the share of the earlier demand of short tasks that remains after one second.
	shortDemandDecay = 0.85
	// freeSlotsInterval is the shortest interval between two checks of the room for a waiting stage.
	freeSlotsInterval = 100 * time.Millisecond
	// freeSlotsExpiry is the time without a check after which the result of the previous ones is out of date.
	freeSlotsExpiry = time.Second
)

// freeSlots is the room that short tasks leave for a stage of long-running tasks, in slots of one task each.
type freeSlots struct {
	checkedAt time.Time
	// oneSince and twoSince are the times since when at least one and at least two slots have been free, the zero time
	// if they are not.
	oneSince, twoSince time.Time
	// plenty is set if so many slots are free that long-running tasks need not wait, see freeRoomFactor.
	plenty bool
}

// isShort reports whether the stage's tasks are short ones: they end by themselves and need cores of their own.
func (st *stage) isShort() bool { return !st.step().LongRunning && !st.step().BestEffort }

// updateShortDemand updates shortDemand and longRunningWaiting. It is called once a second.
func (s *Scheduler) updateShortDemand() {
	demand := map[string]float64{}
	s.longRunningWaiting = map[string]bool{}
	for _, st := range s.ready {
		switch {
		case st.isShort():
			demand[st.job().service] += float64(st.waiting) * float64(st.step().Size.Cores)
		case st.step().LongRunning && st.waiting > 0:
			s.longRunningWaiting[st.job().service] = true
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.task.stage.isShort() {
				demand[w.Service] += float64(r.task.step().Size.Cores)
			}
		}
	}
	for service, old := range s.shortDemand {
		demand[service] = max(demand[service], old*shortDemandDecay)
		if demand[service] < 1 {
			delete(demand, service)
		}
	}
	s.shortDemand = demand
}

// mayStartLongRunning reports whether a long-running task may take room now. Restarts and restored tasks don't wait.
func (s *Scheduler) mayStartLongRunning(now time.Time, t *task) bool {
	demand := s.shortDemand[t.job().service]
	isRestart := (t.lastRun > s.runNumberBase || t.job().restored) && !now.Before(t.yieldsUntil)
	if demand == 0 || isRestart {
		return true
	}
	free := &t.stage.freeSlots
	if now.Sub(free.checkedAt) >= freeSlotsInterval {
		s.checkFreeSlots(now, t, demand)
	}
	return free.plenty || (!free.twoSince.IsZero() && now.Sub(free.twoSince) >= twoSlotsDelay) ||
		(!free.oneSince.IsZero() && now.Sub(free.oneSince) >= oneSlotDelay)
}

// checkFreeSlots counts the free slots for the stage of a long-running task, at most two on each worker, and compares
// them with the demand of short tasks.
func (s *Scheduler) checkFreeSlots(now time.Time, t *task, demand float64) {
	free := &t.stage.freeSlots
	if now.Sub(free.checkedAt) > freeSlotsExpiry {
		*free = freeSlots{}
	}
	free.checkedAt = now
	size := t.step().Size
	enough := 2 + int(freeRoomFactor*demand/float64(max(1, size.Cores)))
	// The delays run while the task is kept away from a worker, so that both don't add up.
	slots, open := 0, 0
	for _, w := range s.byService[t.job().service] {
		if !w.fits(size) || !s.isSuitable(now, t, w) {
			continue
		}
		n := 1
		if w.fits(size.Add(size)) {
			n++
		}
		slots += n
		if w.mayStart(now, t) && !w.isReservedFrom(now, t) {
			open += n
		}
		if open >= enough {
			break
		}
	}
	free.plenty = open >= enough
	free.oneSince = conditionSince(free.oneSince, now, slots > 0)
	free.twoSince = conditionSince(free.twoSince, now, slots > 1)
}

// conditionSince returns the time since when a condition has held, given that time as of the previous check and whether
// the condition holds now. It returns the zero time if it doesn't hold.
func conditionSince(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}
