package dispatch

import "time"

// Lasting tasks never give their room back, and where more of them are handed in than there is room for they would
// take every place that is large enough. Short tasks come and go: a place that one of them leaves is needed by the
// next within moments. So while short tasks are about, a lasting task takes a place only if they have left it free for
// a while. Restarts don't wait.

const (
	// twoSlotsDelay is how long there must have been room for a lasting task twice over before it starts, while short
	// tasks use the rest. Lasting tasks are counted by two seconds, and may be left waiting for three.
	twoSlotsDelay = 2200 * time.Millisecond
	// oneSlotDelay is the same for the only place.
	oneSlotDelay = 4 * time.Second
	// freeRoomFactor times the cores that short tasks use and wait for is the room at which lasting tasks don't wait: twice
	// the mean is about the peak of a load that swings.
	freeRoomFactor = 2
	// shortDemandDecay is the share that is left of an earlier need of short tasks after a second.
	shortDemandDecay = 0.85
	// freeSlotsInterval is the interval at which the room for the tasks of a waiting stage is looked at.
	freeSlotsInterval = 100 * time.Millisecond
	// freeSlotsExpiry is how long the room must not have been looked at for what was seen before to be out of date.
	freeSlotsExpiry = time.Second
)

// freeSlots is what is known of the room that short tasks leave to a lasting stage.
type freeSlots struct {
	checkedAt time.Time
	// oneSince and twoSince are since when there has been room for one task and for two, the zero time without.
	oneSince, twoSince time.Time
	plenty             bool
}

// isShort reports whether the stage's tasks end by themselves and need cores of their own.
func (st *stage) isShort() bool { return !st.step().Lasting && !st.step().Fills }

// updateShortDemand takes over the cores that short tasks use and wait for in each service, and where lasting tasks wait. It is
// called once a second.
func (s *Scheduler) updateShortDemand() {
	need := map[string]float64{}
	s.longRunningWaiting = map[string]bool{}
	for _, st := range s.ready {
		switch {
		case st.isShort():
			need[st.job().service] += float64(st.waiting) * float64(st.step().Size.Cores)
		case st.step().Lasting && st.waiting > 0:
			s.longRunningWaiting[st.job().service] = true
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.task.stage.isShort() {
				need[w.Service] += float64(r.task.step().Size.Cores)
			}
		}
	}
	for service, old := range s.shortDemand {
		need[service] = max(need[service], old*shortDemandDecay)
		if need[service] < 1 {
			delete(need, service)
		}
	}
	s.shortDemand = need
}

// mayStartLongRunning reports whether a lasting task may take room now.
func (s *Scheduler) mayStartLongRunning(now time.Time, t *task) bool {
	need := s.shortDemand[t.job().service]
	if need == 0 || t.lastRun > s.runNumberBase || t.job().restored {
		return true
	}
	l := &t.stage.freeSlots
	if now.Sub(l.checkedAt) >= freeSlotsInterval {
		s.checkFreeSlots(now, t, need)
	}
	return l.plenty || (!l.twoSince.IsZero() && now.Sub(l.twoSince) >= twoSlotsDelay) || (!l.oneSince.IsZero() && now.Sub(l.oneSince) >= oneSlotDelay)
}

// checkFreeSlots updates what is known of the room for the stage of a lasting task.
func (s *Scheduler) checkFreeSlots(now time.Time, t *task, need float64) {
	l := &t.stage.freeSlots
	if now.Sub(l.checkedAt) > freeSlotsExpiry {
		*l = freeSlots{}
	}
	l.checkedAt = now
	size := t.step().Size
	enough := 2 + int(freeRoomFactor*need/float64(max(1, size.Cores)))
	places := 0
	for _, w := range s.byService[t.job().service] {
		if !w.fits(size) || !s.isEligible(now, t, w) {
			continue
		}
		places++
		if w.fits(size.Add(size)) {
			places++
		}
		if places >= enough {
			break
		}
	}
	l.plenty = places >= enough
	l.oneSince = conditionSince(l.oneSince, now, places > 0)
	l.twoSince = conditionSince(l.twoSince, now, places > 1)
}

// conditionSince returns conditionSince when a condition has held.
func conditionSince(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}
