package dispatch

import "time"

// Lasting tasks never give their room back, and where more of them are handed in than there is room for they would
// take every place that is large enough. Short tasks come and go: a place that one of them leaves is needed by the
// next within moments. So while short tasks are about, a lasting task takes a place only if they have left it free for
// a while. Restarts don't wait.

const (
	// twoPlacesFor is how long there must have been room for a lasting task twice over before it starts, while short
	// tasks use the rest. Lasting tasks are counted by two seconds, and may be left waiting for three.
	twoPlacesFor = 2200 * time.Millisecond
	// onePlaceFor is the same for the only place.
	onePlaceFor = 4 * time.Second
	// roomFactor times the cores that short tasks use and wait for is the room at which lasting tasks don't wait: twice
	// the mean is about the peak of a load that swings.
	roomFactor = 2
	// needDecay is the share that is left of an earlier need of short tasks after a second.
	needDecay = 0.85
	// lookEvery is the interval at which the room for the tasks of a waiting stage is looked at.
	lookEvery = 100 * time.Millisecond
	// lookGap is how long the room must not have been looked at for what was seen before to be out of date.
	lookGap = time.Second
)

// leftover is what is known of the room that short tasks leave to a lasting stage.
type leftover struct {
	looked time.Time
	// once and twice are since when there has been room for one task and for two, the zero time without.
	once, twice time.Time
	plenty      bool
}

// isShort reports whether the stage's tasks end by themselves and need cores of their own.
func (st *stage) isShort() bool { return !st.step().LongRunning && !st.step().BestEffort }

// measureNeed takes over the cores that short tasks use and wait for in each service, and where lasting tasks wait. It is
// called once a second.
func (s *Scheduler) measureNeed() {
	need := map[string]float64{}
	s.lastingWaits = map[string]bool{}
	for _, st := range s.ready {
		switch {
		case st.isShort():
			need[st.job().service] += float64(st.waiting) * float64(st.step().Size.Cores)
		case st.step().LongRunning && st.waiting > 0:
			s.lastingWaits[st.job().service] = true
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.task.stage.isShort() {
				need[w.Service] += float64(r.task.step().Size.Cores)
			}
		}
	}
	for service, old := range s.need {
		need[service] = max(need[service], old*needDecay)
		if need[service] < 1 {
			delete(need, service)
		}
	}
	s.need = need
}

// mayTakeRoom reports whether a lasting task may take room now.
func (s *Scheduler) mayTakeRoom(now time.Time, t *task) bool {
	need := s.need[t.job().service]
	if need == 0 || t.run > s.floor || t.job().restored {
		return true
	}
	l := &t.stage.leftover
	if now.Sub(l.looked) >= lookEvery {
		s.look(now, t, need)
	}
	return l.plenty || (!l.twice.IsZero() && now.Sub(l.twice) >= twoPlacesFor) || (!l.once.IsZero() && now.Sub(l.once) >= onePlaceFor)
}

// look updates what is known of the room for the stage of a lasting task.
func (s *Scheduler) look(now time.Time, t *task, need float64) {
	l := &t.stage.leftover
	if now.Sub(l.looked) > lookGap {
		*l = leftover{}
	}
	l.looked = now
	size := t.step().Size
	enough := 2 + int(roomFactor*need/float64(max(1, size.Cores)))
	places := 0
	for _, w := range s.byService[t.job().service] {
		if !w.fits(size) || !s.eligible(now, t, w) {
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
	l.once = since(l.once, now, places > 0)
	l.twice = since(l.twice, now, places > 1)
}

// since returns since when a condition has held.
func since(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}
