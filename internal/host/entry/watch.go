package entry

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

const (
	// pingTimeout limits a ping or a probe of the store: two round trips between regions and a busy leader.
	pingTimeout = 450 * time.Millisecond
	// claimTimeout limits the append of a claim.
	claimTimeout = 700 * time.Millisecond
	// announceTimeout limits the call that sends an announcement.
	announceTimeout = 500 * time.Millisecond
	// memberTimeout limits writing and reading the list of hosts.
	memberTimeout = time.Second
	// reclaimDelay is how long a host that gave up the leadership does not claim it again.
	reclaimDelay = 3 * time.Second
)

// watchLeader pings the leader and claims the leadership when the leader has failed, until the context ends.
func (h *Host) watchLeader(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		now := h.clock.Now()
		h.mu.Lock()
		h.elector.SetClaimDelay(h.claimDelay())
		action, until := h.elector.NextAction(now)
		claim := h.elector.Claim()
		ready := h.configuration.manifest != nil && h.operatorRecordsRead
		h.mu.Unlock()
		if !registered && claim.Known() {
			registered = h.register(ctx) == nil
		}
		switch action {
		case leadership.ActionPing:
			h.ping(ctx, claim)
		case leadership.ActionReadRenewal:
			h.readNewestRenewal(ctx, claim)
		case leadership.ActionClaim:
			if ready {
				h.claimLeadership(ctx, claim)
			} else {
				h.waitForWake(ctx, retryInterval)
			}
		case leadership.ActionLead:
			// The claim may have been read from the log only after claimLeadership had given up.
			h.beginTerm(ctx)
			h.waitForWake(ctx, leadership.RenewInterval)
		default:
			h.waitForWake(ctx, until.Sub(now))
		}
	}
}

// waitForWake waits for the duration, or until wakeWatch is called or the context ends.
func (h *Host) waitForWake(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-h.watchWake:
	case <-t.C:
	}
}

// ping sends a ping to the leader. If the leader needs to know whether the store answers this host, it probes the store
// and, if that succeeds, pings again.
func (h *Host) ping(ctx context.Context, claim leadership.Claim) {
	if h.pingOnce(ctx, claim) && h.probeStore(ctx) {
		h.pingOnce(ctx, claim)
	}
}

// sendPing sends a ping with this host's status at the given time to the host at an address.
func (h *Host) sendPing(ctx context.Context, address string, now time.Time) (PingResponse, error) {
	h.mu.Lock()
	p := Ping{
		Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance,
		StoreAge: now.Sub(h.storeAnsweredAt), Power: h.cfg.Power,
		OperatorRecordsUnreadable: h.operatorRecordsUnreadable.Load() || h.manifestHidden, Stamp: h.leaderStamp,
	}
	if h.configuration.manifest != nil {
		p.ManifestVersion = h.configuration.manifest.Catalog.Version
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return peer.Invoke[Ping, PingResponse](ctx, h.peers, address, methodPing, p)
}

// pingOnce sends one ping to the leader and reports whether it asks for a probe of the store.
func (h *Host) pingOnce(ctx context.Context, claim leadership.Claim) (probeWanted bool) {
	now := h.clock.Now()
	h.mu.Lock()
	h.elector.RecordPing(now)
	h.mu.Unlock()
	if claim.Address == h.cfg.PeerAddress && claim.Instance != h.instance {
		h.recordLeaderEnd(claim, "this host has started anew since it led")
		return false
	}
	r, err := h.sendPing(ctx, claim.Address, now)
	switch {
	case err == nil && r.Instance != claim.Instance:
		h.recordLeaderEnd(claim, "its host has started anew")
	case err == nil && !r.IsLeader:
		// The host may not have read its own claim yet, and begin its term later.
		h.suspectLeader(claim, "the host does not lead", h.elector.RecordSuspicion)
	case err == nil:
		h.recordLeaderAnswer(claim, now)
		h.recordPingAnswer(claim, now, r)
		if r.Manifest != nil {
			h.applyManifest(r.Manifest, "leader")
		}
		h.recordManifestAnswer(now, r)
		return r.ProbeStore
	case isConnectionRefused(err):
		h.suspectLeader(claim, "connection refused", h.elector.RecordRefusal)
	default:
		h.recordLeaderSilence(claim)
		h.logger("leadership").WithError(err).WithField("leader", claim.Name).Debug("Leader did not answer a ping")
	}
	return false
}

// isConnectionRefused reports whether an error means that no process seems to listen at the address. Behind a partition,
// connections may be refused or reset as well.
func isConnectionRefused(err error) bool {
	return errors.Is(err, peer.ErrNotSent) && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

// recordLeaderAnswer records an answer of the leader with the claim to a message that was sent at sentAt.
func (h *Host) recordLeaderAnswer(claim leadership.Claim, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.elector.Claim().Offset != claim.Offset {
		return
	}
	now := h.clock.Now()
	h.elector.RecordAnswer(now, sentAt, claim.Offset)
	h.leaderAnsweredAt = now
}

// recordPingAnswer records what the leader has reported in its answer to a ping that was sent at sentAt.
func (h *Host) recordPingAnswer(claim leadership.Claim, sentAt time.Time, r PingResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.elector.Claim().Offset == claim.Offset {
		h.elector.RecordPingAnswer(h.clock.Now(), sentAt, r.Renewal)
		h.leaderStamp = max(h.leaderStamp, r.Stamp)
	}
}

// recordLeaderSilence records that the leader has left a ping unanswered.
func (h *Host) recordLeaderSilence(claim leadership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.elector.Claim().Offset == claim.Offset {
		h.elector.RecordSilence()
	}
}

// recordLeaderEnd records that the leader's process has certainly ended or no longer leads.
func (h *Host) recordLeaderEnd(claim leadership.Claim, reason string) {
	h.mu.Lock()
	isCurrent := h.elector.Claim().Offset == claim.Offset
	h.elector.RecordLeaderEnd(h.clock.Now(), claim.Offset)
	h.mu.Unlock()
	if isCurrent {
		h.logger("leadership").WithFields(logrus.Fields{
			"leader": claim.Name, "reason": reason,
		}).Info("Leader no longer leads; the leadership is vacant")
	}
}

// suspectLeader passes a sign that the leader may have ended to a method of the elector.
func (h *Host) suspectLeader(claim leadership.Claim, reason string, record func(now time.Time, offset int64)) {
	h.mu.Lock()
	wasSuspected := h.elector.IsSuspected()
	record(h.clock.Now(), claim.Offset)
	isSuspected := h.elector.IsSuspected()
	h.mu.Unlock()
	if isSuspected && !wasSuspected {
		h.logger("leadership").WithFields(logrus.Fields{
			"leader": claim.Name, "reason": reason,
		}).Info("Leader seems to have ended")
	}
}

// probeStore reports whether the store answers this host.
func (h *Host) probeStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := h.store.Newest(callCtx, claimPartition, "")
	if err != nil {
		h.logger("leadership").WithError(err).Debug("Store did not answer a probe")
	}
	return err == nil
}

// renewalKey is the key of the renewals in the log.
const renewalKey = "renewal"

// readNewestRenewal reads the leader's newest renewal and passes its position to the elector.
func (h *Host) readNewestRenewal(ctx context.Context, claim leadership.Claim) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	newest, err := h.newestRenewal(callCtx, claim)
	if err != nil {
		h.logger("leadership").WithError(err).Debug("Can't read the leader's renewals")
		// The read stays due, before any ping. A host that the store doesn't answer would never reach a new leader.
		failedAt := h.clock.Now()
		h.pingOnce(ctx, claim)
		sleep(ctx, retryInterval-h.clock.Now().Sub(failedAt))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.elector.Claim().Offset == claim.Offset {
		h.elector.RecordRenewal(h.clock.Now(), newest)
	}
}

// renewalValue returns the value of a renewal of the claim.
func renewalValue(claim leadership.Claim) string { return strconv.FormatInt(claim.Token(), 10) }

// newestRenewal returns the position of the newest renewal in the log, 0 if that is none of the claim. It fails with the
// error of the store.
func (h *Host) newestRenewal(ctx context.Context, claim leadership.Claim) (int64, error) {
	n, err := h.store.Newest(ctx, renewalPartition, "")
	if err != nil {
		return 0, err
	}
	for _, e := range n.Entries {
		if e.Key == renewalKey && string(e.Value) == renewalValue(claim) {
			return e.Offset + 1, nil
		}
	}
	return 0, nil
}

// claimLeadership tries to become the leader. The claim is appended only if no other claim follows the newest one that
// this host has read.
func (h *Host) claimLeadership(ctx context.Context, last leadership.Claim) {
	h.mu.Lock()
	h.elector.RecordClaim(h.clock.Now())
	h.claiming = true
	changed := h.leaderChanged
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.claiming = false
		h.mu.Unlock()
	}()
	c := leadership.Claim{Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance, Serial: last.Serial + 1, Members: true}
	value, err := msgpack.Marshal(&c)
	if err != nil {
		h.logger("leadership").WithError(err).Error("Can't encode a claim")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	pos, err := h.store.Append(callCtx, ledger.Append{
		Partition: claimPartition, Records: []ledger.Record{{Key: claimKey, Value: value}}, ExpectedEnd: last.Offset + 1,
	})
	cancel()
	if err != nil {
		h.logger("leadership").WithError(err).WithField("serial", c.Serial).Info("Claim failed; reading the claims again")
		// The log contains either another host's claim or, if only the answer was lost, the claim of this host. A host
		// that the store doesn't answer may learn of the claim from its maker meanwhile, and has to ping that.
		readCtx, cancelRead := contextUntil(ctx, changed)
		_, err := h.readClaims(readCtx, -1)
		cancelRead()
		if err != nil && !isClosed(changed) {
			sleep(ctx, retryInterval)
		}
	} else {
		c.Offset = pos.Offset
		h.observeClaim(c)
	}
	h.beginTerm(ctx)
}

// contextUntil returns a context that ends with ctx, or when the channel is closed or cancel is called.
func contextUntil(ctx context.Context, done <-chan struct{}) (_ context.Context, cancel func()) {
	ctx, cancel = context.WithCancel(ctx)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// beginTerm starts a term if this host has the newest claim, has no term yet and is not stopping.
func (h *Host) beginTerm(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.elector.IsLeader() || h.term != nil || h.stopping {
		return
	}
	h.term = newTerm(ctx, h, h.elector.Claim())
}

// dropTerm takes the current term from the host and returns it, nil if there is none. The term sends no orders from then
// on, so that the host may answer that it does not lead. h.mu must be held.
func (h *Host) dropTerm() *term {
	t := h.term
	h.term = nil
	if t != nil {
		t.cancel()
	}
	return t
}

// endTerm ends the current term, if there is one.
func (h *Host) endTerm(reason string) {
	h.mu.Lock()
	t := h.dropTerm()
	h.mu.Unlock()
	if t != nil {
		t.end(reason)
	}
}

// stepDown ends the term, gives up the leadership and informs the other hosts.
func (h *Host) stepDown(ctx context.Context, t *term, reason string) {
	h.mu.Lock()
	if h.term != t {
		h.mu.Unlock()
		return
	}
	h.dropTerm()
	now := h.clock.Now()
	h.elector.RecordLeaderEnd(now, t.claim.Offset)
	h.elector.Yield(now, reclaimDelay)
	h.mu.Unlock()
	t.end(reason)
	h.announce(ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset, SteppedDown: true})
}

// PrepareStop prepares a planned stop: the host is no longer ready for new connections and gives up the leadership. It
// continues to serve callers.
func (h *Host) PrepareStop(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.elector.DisableClaims()
	t := h.term
	h.mu.Unlock()
	if t != nil {
		t.prepareHandOver(ctx)
		h.stepDown(ctx, t, "planned stop")
	}
}

// announce sends an announcement to all other known hosts and waits for their answers.
func (h *Host) announce(ctx context.Context, a Announcement) {
	h.mu.Lock()
	var addresses []string
	for _, m := range h.members {
		if m.Address != h.cfg.PeerAddress {
			addresses = append(addresses, m.Address)
		}
	}
	h.mu.Unlock()
	done := make(chan struct{}, len(addresses))
	for _, addr := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if _, err := peer.Invoke[Announcement, Empty](callCtx, h.peers, addr, methodAnnounce, a); err != nil {
				h.logger("leadership").WithError(err).Debug("Sending an announcement failed")
			}
		}()
	}
	for range addresses {
		<-done
	}
}

// handlePeerAnnouncement processes an announcement.
func (h *Host) handlePeerAnnouncement(_ context.Context, a Announcement) (Empty, error) {
	if err := a.validate(); err != nil {
		return Empty{}, err
	}
	a.Claim.Offset = a.Offset
	if a.SteppedDown {
		h.recordLeaderEnd(a.Claim, "it has given up the leadership")
		h.wakeWatch()
		return Empty{}, nil
	}
	h.observeClaim(a.Claim)
	return Empty{}, nil
}

// handlePeerPing answers a ping and records the status of its sender.
func (h *Host) handlePeerPing(_ context.Context, p Ping) (PingResponse, error) {
	if err := p.validate(); err != nil {
		return PingResponse{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	m := member{
		Name: p.Name, Address: p.Address, Instance: p.Instance, Power: p.Power,
		manifestVersion: p.ManifestVersion, storeAge: p.StoreAge, pingedAt: now,
	}
	if p.Stamp > 0 {
		m.sentAfter = time.Unix(0, p.Stamp)
	}
	h.keepMember(now, m)
	r := PingResponse{Instance: h.instance, IsLeader: h.term != nil || h.claiming, Stamp: now.UnixNano()}
	if h.term != nil {
		h.term.recordFollower(now, p.Name)
		r.ProbeStore = h.term.isStoreSilent(now)
		r.Renewal = h.term.renewal.Load()
		h.confirmManifest(now, &r)
	}
	// A host that can read the manifest from the store does not need it from here as well, over a busy link.
	if p.OperatorRecordsUnreadable && h.configuration.manifest != nil && h.configuration.manifest.Catalog.Version > p.ManifestVersion {
		r.Manifest = h.configuration.manifest
	}
	return r, nil
}

// register adds this host to the list of hosts in the store and reads the other ones.
func (h *Host) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m := member{Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance, Power: h.cfg.Power}
	value, err := msgpack.Marshal(&m)
	if err != nil {
		return errors.Wrap(err, "entry: encode a host")
	}
	_, err = h.store.Append(callCtx, ledger.Append{
		Partition: memberPartition, Records: []ledger.Record{{Key: m.Name, Value: value}}, ExpectedEnd: ledger.AnyOffset,
	})
	if err != nil {
		return errors.Wrap(err, "entry: register")
	}
	return h.readMembers(callCtx)
}

// readMembers reads the list of hosts. It fails with the error of the store. Hosts that have already pinged this one
// keep what they reported.
func (h *Host) readMembers(ctx context.Context) error {
	entries, _, err := ledger.ReadNewest(ctx, h.store, memberPartition)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range entries {
		var m member
		if len(e.Value) == 0 || msgpack.Unmarshal(e.Value, &m) != nil || m.Name == h.cfg.Name {
			continue
		}
		if old, ok := h.members[m.Name]; !ok || old.pingedAt.IsZero() {
			h.members[m.Name] = m
		}
	}
	return nil
}
