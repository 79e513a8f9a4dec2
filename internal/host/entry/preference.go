package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// distanceFactor times the time of a call to the store is how long a host leaves a vacant leadership to others:
	// a leader near the store waits less for each append.
	distanceFactor = 4
	// maxDistance bounds it, since a store that is slow for all says nothing about the hosts.
	maxDistance = 400 * time.Millisecond
	// weakHandicap is how long a weak host leaves a vacant leadership to stronger ones. It is longer than what the
	// distance may cost those.
	weakHandicap = 500 * time.Millisecond
	// weakShare is the part of the strongest host's processor time below which a host counts as weak: the leader's
	// decisions grow with the deployment, and one that falls behind loses its leases.
	weakShare = 0.5
	// steadyAfter is how long a weak host leads before it hands over, so that the hosts nearby have told of themselves.
	steadyAfter = 2 * time.Second
)

// isWeak reports whether a host has much less processor time than another.
func isWeak(power, other int64) bool {
	return power > 0 && float64(power) < weakShare*float64(other)
}

// handicap is how long this host leaves a vacant leadership to hosts that are better placed. h.mu is held.
func (h *Host) handicap() time.Duration {
	d := min(distanceFactor*h.distance, maxDistance)
	for _, m := range h.members {
		if isWeak(h.cfg.Power, m.Power) {
			return d + weakHandicap
		}
	}
	return d
}

// stronger returns a host that should lead instead of this one: it has much more processor time, knows the same
// configuration, and the store answers it.
func (t *term) stronger(now time.Time) (member, bool) {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	if t.h.manifest == nil {
		return member{}, false
	}
	for _, m := range t.h.members {
		since := now.Sub(m.seen)
		if isWeak(t.h.cfg.Power, m.Power) && !m.seen.IsZero() && since < freshStore && m.storeAge+since < freshBeat &&
			m.version == t.h.manifest.Catalog.Version {
			return m, true
		}
	}
	return member{}, false
}

// handOver gives the leadership up if a stronger host is there. It reports whether it has.
func (t *term) handOver(now time.Time) bool {
	if now.Sub(t.begun) < steadyAfter || t.doubtful(now) {
		return false
	}
	m, ok := t.stronger(now)
	if !ok {
		return false
	}
	t.log.WithFields(logrus.Fields{"stronger": m.Name, "power": t.h.cfg.Power, "its_power": m.Power}).Info("Handing over")
	t.flush(t.ctx)
	// The announcement outlives the term.
	t.h.abdicate(context.Background(), t, "a stronger host is there")
	return true
}
