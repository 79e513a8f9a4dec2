package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// storeLatencyFactor is multiplied by the latency of the store to get the time for which a host leaves a vacant
	// leadership to others: a leader close to the store waits less for each append.
	storeLatencyFactor = 4
	// maxLatencyClaimDelay limits that time, since a store that is slow for all hosts doesn't tell them apart.
	maxLatencyClaimDelay = 400 * time.Millisecond
	// weakHostClaimDelay is how long a weak host leaves a vacant leadership to stronger ones. It is longer than
	// maxLatencyClaimDelay, by which the latency of the store may delay those.
	weakHostClaimDelay = 500 * time.Millisecond
	// weakPowerRatio is the fraction of the strongest host's processor time below which a host counts as weak: the cost
	// of the leader's decisions grows with the deployment, and a leader that falls behind loses its leases.
	weakPowerRatio = 0.5
	// minTermBeforeHandOver is how long a weak host leads before it hands over, so that the nearby hosts have pinged it
	// by then.
	minTermBeforeHandOver = 2 * time.Second
)

// isWeak reports whether a host has much less processor time than another.
func isWeak(power, other int64) bool {
	return power > 0 && float64(power) < weakPowerRatio*float64(other)
}

// claimDelay returns how long this host leaves a vacant leadership to hosts that are better suited. h.mu must be held.
func (h *Host) claimDelay() time.Duration {
	d := min(storeLatencyFactor*h.storeLatency, maxLatencyClaimDelay)
	for _, m := range h.members {
		if isWeak(h.cfg.Power, m.Power) {
			return d + weakHostClaimDelay
		}
	}
	return d
}

// strongerHost returns a host that should lead instead of this one: it has much more processor time, knows the same
// version of the manifest, has pinged this host within maxCandidatePingAge, and the store has answered it within
// maxStatusAge.
func (t *term) strongerHost(now time.Time) (member, bool) {
	t.host.mu.Lock()
	defer t.host.mu.Unlock()
	if t.host.configuration.manifest == nil {
		return member{}, false
	}
	for _, m := range t.host.members {
		since := now.Sub(m.pingedAt)
		if isWeak(t.host.cfg.Power, m.Power) && !m.pingedAt.IsZero() && since < maxCandidatePingAge &&
			m.storeAge+since < maxStatusAge && m.manifestVersion == t.host.configuration.manifest.Catalog.Version {
			return m, true
		}
	}
	return member{}, false
}

// handOverToStronger gives up the leadership if there is a stronger host. It reports whether it did.
func (t *term) handOverToStronger(now time.Time) bool {
	if now.Sub(t.startedAt) < minTermBeforeHandOver || t.isStoreSilent(now) {
		return false
	}
	m, ok := t.strongerHost(now)
	if !ok {
		return false
	}
	t.log.WithFields(logrus.Fields{
		"stronger": m.Name, "power": t.host.cfg.Power, "its_power": m.Power,
	}).Info("Handing the leadership over to a stronger host")
	t.prepareHandOver(t.ctx)
	// The term's context ends before the announcement is sent.
	t.host.stepDown(context.Background(), t, "a stronger host is there")
	return true
}
