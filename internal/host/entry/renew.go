package entry

import (
	"context"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// confirm notes that the store has answered a call under this term's epoch that was sent at the given time.
func (t *term) confirm(sent time.Time) {
	n := sent.UnixNano()
	for old := t.confirmed.Load(); n > old; old = t.confirmed.Load() {
		if t.confirmed.CompareAndSwap(old, n) {
			return
		}
	}
}

func (t *term) confirmedAgo(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.confirmed.Load())
}

// mayOrder reports whether no later leader can rely on this one having stopped: the term was renewed within the
// cut-off, or the store answers none of the other hosts either, so that none of them can have claimed.
func (t *term) mayOrder(now time.Time) bool {
	if t.ctx.Err() != nil {
		return false
	}
	ago := t.confirmedAgo(now)
	return ago < t.h.cfg.Limits.CutOff || (ago < outageBound && t.h.allBlind(now, ago))
}

// doubtful reports whether the store has been silent for a while.
func (t *term) doubtful(now time.Time) bool { return t.confirmedAgo(now) > doubtAfter }

// renew keeps the claim renewed and gives the leadership up if the store answers another host but not this one.
func (t *term) renew(w *ledger.Writer) {
	mark := []byte(t.h.instance)
	t.run(func() {
		for t.ctx.Err() == nil {
			sent := t.h.clock.Now()
			if err := w.Write(t.ctx, []ledger.Record{{Key: renewalKey, Value: mark}}); err != nil {
				t.lost(err)
				return
			}
			// The append may have been repeated: only its last try counts, which took at most the call's timeout.
			now := t.h.clock.Now()
			t.confirm(maxTime(sent, now.Add(-ledger.CallTimeout)))
			pause(t.ctx, leadership.RenewInterval)
		}
	})
	// failing is when the first of the probes was sent that the store has not answered since.
	var failing time.Time
	for pause(t.ctx, leadership.RenewInterval/4) {
		now := t.h.clock.Now()
		switch {
		case !t.doubtful(now) || t.h.probe(t.ctx):
			failing = time.Time{}
		case failing.IsZero():
			failing = now
		case t.successor(now, failing):
			// The announcement outlives the term.
			t.h.abdicate(context.Background(), t, "the store answers other hosts but not this one")
			return
		}
		if t.handOver(now) {
			return
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beatDelay is what a ping may take to arrive, by which the age of the store's answer in it is out of date.
const beatDelay = 100 * time.Millisecond

// successor reports whether the store has answered another host after it failed to answer this one. An answer of
// before says nothing about a store that is down for all.
func (t *term) successor(now, failing time.Time) bool {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	for _, m := range t.h.members {
		if m.seen.IsZero() || now.Sub(m.seen) > freshStore || m.Instance == t.h.instance {
			continue
		}
		if m.seen.Add(-m.storeAge - beatDelay).After(failing) {
			return true
		}
	}
	return false
}

// freshBeat is how recently all other hosts must have pinged the leader for their word to count.
const freshBeat = 1500 * time.Millisecond

// silentMember is how long before the last renewal a host must have fallen silent to count as removed.
const silentMember = 3 * time.Second

// allBlind reports whether every other host that is known has said lately that the store does not answer it either.
// The leader's last renewal was made the given time ago.
func (h *Host) allBlind(now time.Time, ago time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	heard := false
	for _, m := range h.members {
		if m.Name == h.cfg.Name {
			continue
		}
		since := now.Sub(m.seen)
		if m.seen.IsZero() || since > ago+silentMember {
			// The host had gone when the leader still renewed its claim, as a host does that is replaced.
			continue
		}
		if since > freshBeat || m.storeAge+since < ago-leadership.RenewInterval {
			return false
		}
		heard = true
	}
	return heard
}
