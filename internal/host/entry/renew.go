package entry

import (
	"context"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// recordConfirmation notes that the store has answered a call under this term's epoch that was sent at the given time.
func (t *term) recordConfirmation(sentAt time.Time) {
	n := sentAt.UnixNano()
	for old := t.confirmedAt.Load(); n > old; old = t.confirmedAt.Load() {
		if t.confirmedAt.CompareAndSwap(old, n) {
			return
		}
	}
}

func (t *term) sinceConfirmed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.confirmedAt.Load())
}

// maySendOrders reports whether no later leader can rely on this one having stopped: the term was renewed within the
// cut-off, or the store answers none of the other hosts either, so that none of them can have claimed.
func (t *term) maySendOrders(now time.Time) bool {
	if t.ctx.Err() != nil {
		return false
	}
	ago := t.sinceConfirmed(now)
	return ago < t.host.cfg.Limits.CutOff || (ago < maxOutage && t.host.storeSilentForOthers(now, ago))
}

// isStoreSilent reports whether the store has been silent for a while.
func (t *term) isStoreSilent(now time.Time) bool {
	return t.sinceConfirmed(now) > storeSilenceThreshold
}

// renewClaim keeps the claim renewed and gives the leadership up if the store answers another host but not this one.
func (t *term) renewClaim(w *ledger.Writer) {
	value := []byte(t.host.instance)
	t.run(func() {
		for t.ctx.Err() == nil {
			sentAt := t.host.clock.Now()
			if err := w.Write(t.ctx, []ledger.Record{{Key: renewalKey, Value: value}}); err != nil {
				t.loseLeadership(err)
				return
			}
			// The append may have been repeated: only its last try counts, which took at most the call's timeout.
			now := t.host.clock.Now()
			t.recordConfirmation(laterOf(sentAt, now.Add(-ledger.CallTimeout)))
			sleep(t.ctx, leadership.RenewEvery)
		}
	})
	// failing is when the first of the probes was sent that the store has not answered since.
	var failingSince time.Time
	for sleep(t.ctx, leadership.RenewEvery/4) {
		now := t.host.clock.Now()
		switch {
		case !t.isStoreSilent(now) || t.host.probeStore(t.ctx):
			failingSince = time.Time{}
		case failingSince.IsZero():
			failingSince = now
		case t.storeAnswersOther(now, failingSince):
			// The announcement outlives the term.
			t.host.stepDown(context.Background(), t, "the store answers other hosts but not this one")
			return
		}
		if t.handOverToStronger(now) {
			return
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxPingDelay is what a ping may take to arrive, by which the age of the store's answer in it is out of date.
const maxPingDelay = 100 * time.Millisecond

// storeAnswersOther reports whether the store has answered another host after it failed to answer this one. An answer of
// before says nothing about a store that is down for all.
func (t *term) storeAnswersOther(now, failingSince time.Time) bool {
	t.host.mu.Lock()
	defer t.host.mu.Unlock()
	for _, m := range t.host.members {
		if m.pingedAt.IsZero() || now.Sub(m.pingedAt) > candidatePingAge || m.Instance == t.host.instance {
			continue
		}
		if m.pingedAt.Add(-m.storeAge - maxPingDelay).After(failingSince) {
			return true
		}
	}
	return false
}

// maxStatusAge is how recently all other hosts must have pinged the leader for their word to count.
const maxStatusAge = 1500 * time.Millisecond

// removedHostSilence is how long before the last renewal a host must have fallen silent to count as removed.
const removedHostSilence = 3 * time.Second

// storeSilentForOthers reports whether every other host that is known has said lately that the store does not answer it either.
// The leader's last renewal was made the given time ago.
func (h *Host) storeSilentForOthers(now time.Time, ago time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	anyReported := false
	for _, m := range h.members {
		if m.Name == h.cfg.Name {
			continue
		}
		since := now.Sub(m.pingedAt)
		if m.pingedAt.IsZero() || since > ago+removedHostSilence {
			// The host had gone when the leader still renewed its claim, as a host does that is replaced.
			continue
		}
		if since > maxStatusAge || m.storeAge+since < ago-leadership.RenewEvery {
			return false
		}
		anyReported = true
	}
	return anyReported
}
