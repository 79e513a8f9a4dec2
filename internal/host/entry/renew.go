package entry

import (
	"context"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// recordConfirmation records that the store answered a call under this term's epoch that was sent at the given time.
func (t *term) recordConfirmation(sentAt time.Time) {
	n := sentAt.UnixNano()
	for old := t.confirmedAt.Load(); n > old; old = t.confirmedAt.Load() {
		if t.confirmedAt.CompareAndSwap(old, n) {
			if c, ok := t.confirmed.Swap(make(chan struct{})).(chan struct{}); ok {
				close(c)
			}
			return
		}
	}
}

// awaitConfirmation waits until the store has answered a call under this term's epoch that was sent after the given time,
// so that no later leader had begun its term by then. It returns false if the context or the term ended before.
func (t *term) awaitConfirmation(ctx context.Context, since time.Time) bool {
	for {
		confirmed, _ := t.confirmed.Load().(chan struct{})
		if t.confirmedAt.Load() > since.UnixNano() {
			return true
		}
		signal(t.wakeRenewal)
		select {
		case <-ctx.Done():
			return false
		case <-t.ctx.Done():
			return false
		case <-confirmed:
		}
	}
}

// sinceConfirmed returns the time since the last call that the store answered under this term's epoch was sent.
func (t *term) sinceConfirmed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.confirmedAt.Load())
}

// maySendOrders reports whether this leader may still send orders, because no later leader can yet assume that it has
// stopped: the term was confirmed within Limits.MaxUnconfirmedTerm, or, for at most leadership.MaxOutage, the store does
// not answer any active member either. A host that is none may lead meanwhile, and allows for this leader's orders.
func (t *term) maySendOrders(now time.Time) bool {
	if t.ctx.Err() != nil {
		return false
	}
	sinceConfirmed := t.sinceConfirmed(now)
	return sinceConfirmed < t.host.cfg.Limits.MaxUnconfirmedTerm ||
		(sinceConfirmed < leadership.MaxOutage && t.host.storeSilentForOthers(now, sinceConfirmed, t.reporters))
}

// isStoreSilent reports whether the last renewal that the store answered was sent more than storeSilenceThreshold ago.
func (t *term) isStoreSilent(now time.Time) bool {
	return t.sinceConfirmed(now) > storeSilenceThreshold
}

// renewClaim renews the claim until the term ends. It gives up the leadership if the store answers another host but not
// this one, or if a stronger host can lead.
func (t *term) renewClaim(w *ledger.Writer) {
	value := []byte(renewalValue(t.claim))
	var recorded []string
	t.run(func() {
		for t.ctx.Err() == nil {
			sentAt := t.host.clock.Now()
			members := t.host.activeMembers(sentAt)
			records := []ledger.Record{{Key: renewalKey, Value: value}}
			if !slices.Equal(members, recorded) {
				records = append([]ledger.Record{{Key: membersKey, Value: encodeMembers(t.claim, members)}}, records...)
			}
			t.reporters.narrow(members)
			if err := w.Write(t.ctx, records); err != nil {
				t.loseLeadership(err)
				return
			}
			recorded = members
			t.reporters.set(members)
			t.recordRenewal(sentAt, w.End())
			// After a repeated append the term is confirmed as of long ago, so that the next renewal follows at once.
			if t.host.clock.Now().Sub(sentAt) <= ledger.CallTimeout {
				t.waitForRenewal()
			}
		}
	})
	var probes probeSeries
	for sleep(t.ctx, leadership.RenewInterval/4) {
		now := t.host.clock.Now()
		if !t.isStoreSilent(now) {
			probes = probeSeries{}
		} else {
			answersOther := t.storeAnswersOther(now, probes.failingSince)
			if probes.add(now, t.host.probeStore(t.ctx), answersOther) {
				// The term's context ends before the announcement is sent.
				t.host.stepDown(context.Background(), t, "the store answers other hosts but not this one")
				return
			}
		}
		if t.handOverToStronger(now) {
			return
		}
	}
}

// recordRenewal records that the store has answered a renewal, and its position in the log. The term is confirmed as of
// sentAt, when the first attempt was sent. Later attempts don't count: the renewal may be in the log since the first one,
// and the other hosts count from when they saw it there. Neither does the arrival of the answer, before which this host
// may have been suspended.
func (t *term) recordRenewal(sentAt time.Time, position int64) {
	t.renewal.Store(position)
	t.recordConfirmation(sentAt)
}

// minRenewInterval is the shortest interval between two renewals that are asked for by wakeRenewal.
const minRenewInterval = 50 * time.Millisecond

// waitForRenewal waits until the next renewal is due, or is asked for by wakeRenewal.
func (t *term) waitForRenewal() {
	if !sleep(t.ctx, minRenewInterval) {
		return
	}
	timer := time.NewTimer(leadership.RenewInterval - minRenewInterval)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
	case <-t.wakeRenewal:
	case <-timer.C:
	}
}

// probeSeries tells a store that answers other hosts but not this one from a store that was away for all hosts and is
// back: that one may answer another host first.
type probeSeries struct {
	// failingSince is when the first of the consecutive unanswered probes was sent, the zero time if there is none.
	failingSince time.Time
}

// add adds a probe. answersOther says whether the store had answered another host between failingSince and sentAt. It
// reports whether the store certainly does not answer this host alone.
func (p *probeSeries) add(sentAt time.Time, answered, answersOther bool) bool {
	switch {
	case answered:
		p.failingSince = time.Time{}
	case p.failingSince.IsZero():
		p.failingSince = sentAt
	default:
		return answersOther
	}
	return false
}

// maxPingDelay is the time that a ping may take to arrive. When it arrives, the store's answer is older by up to that
// time than the ping reports.
const maxPingDelay = 100 * time.Millisecond

// storeAnswersOther reports whether the store has answered another host by now, and after it failed to answer this one.
// An earlier answer doesn't count: the store may have failed for all hosts since.
func (t *term) storeAnswersOther(now, failingSince time.Time) bool {
	t.host.mu.Lock()
	defer t.host.mu.Unlock()
	for _, m := range t.host.members {
		if m.pingedAt.IsZero() || now.Sub(m.pingedAt) > maxCandidatePingAge || m.Instance == t.host.instance {
			continue
		}
		if m.pingedAt.Add(-m.storeAge - maxPingDelay).After(failingSince) {
			return true
		}
	}
	return false
}

// maxStatusAge is the maximum age of another host's last ping for its report on the store to count in
// storeSilentForOthers. It is below Limits.MaxUnconfirmedTerm, for which that host allows since the leader's last answer.
// In strongerHost it is the maximum age of the store's last answer to the other host.
const maxStatusAge = 1500 * time.Millisecond

// storeSilentForOthers reports whether every active member has recently reported that the store does not answer it either.
// There must be at least one report of a reporter. sinceConfirmed is the time since the leader's last renewal.
func (h *Host) storeSilentForOthers(now time.Time, sinceConfirmed time.Duration, r *reporters) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	anyReported := false
	for _, m := range h.members {
		since := now.Sub(m.pingedAt)
		if m.Name == h.cfg.Name || m.pingedAt.IsZero() || since > sinceConfirmed+leadership.MemberTimeout {
			continue
		}
		if now.Sub(m.sentAfter) > maxStatusAge || m.storeAge+since < sinceConfirmed-leadership.RenewInterval {
			return false
		}
		anyReported = anyReported || r.includes(m.Name)
	}
	return anyReported
}
