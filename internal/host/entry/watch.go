package entry

import (
	"context"
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
	// pingTimeout bounds a ping: two round trips between regions and a busy leader.
	pingTimeout = 450 * time.Millisecond
	// claimTimeout bounds the append of a claim.
	claimTimeout = 700 * time.Millisecond
	// announceTimeout bounds an announcement.
	announceTimeout = 500 * time.Millisecond
	// memberTimeout bounds reading and writing the list of hosts.
	memberTimeout = time.Second
	// reclaimDelay is how long a host that gave up the leadership does not claim it again.
	reclaimDelay = 3 * time.Second
)

// watchLeader pings the leader and claims the leadership when it is gone.
func (h *Host) watchLeader(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		now := h.clock.Now()
		h.mu.Lock()
		h.watch.SetHandicap(h.claimDelay())
		action, until := h.watch.Next(now)
		claim := h.watch.Claim()
		ready := h.manifest != nil && h.operatorRecordsRead
		h.mu.Unlock()
		if !registered && claim.Known() {
			registered = h.register(ctx) == nil
		}
		switch action {
		case leadership.ActionPing:
			h.ping(ctx, claim)
		case leadership.ActionLook:
			h.readNewestRenewal(ctx)
		case leadership.ActionClaim:
			if ready {
				h.claimLeadership(ctx, claim)
			} else {
				h.waitForWake(ctx, retryInterval)
			}
		case leadership.ActionLead:
			h.waitForWake(ctx, leadership.RenewEvery)
		default:
			h.waitForWake(ctx, until.Sub(now))
		}
	}
}

// waitForWake pauses the watch until something changes.
func (h *Host) waitForWake(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-h.watchWake:
	case <-t.C:
	}
}

// ping asks the leader whether it is there, and once more if the leader waits for word whether the store answers.
func (h *Host) ping(ctx context.Context, claim leadership.Claim) {
	if h.pingOnce(ctx, claim) && h.probeStore(ctx) {
		h.pingOnce(ctx, claim)
	}
}

// pingOnce reports whether the leader asks for a probe of the store.
func (h *Host) pingOnce(ctx context.Context, claim leadership.Claim) (probeWanted bool) {
	now := h.clock.Now()
	h.mu.Lock()
	h.watch.Pinged(now)
	b := Ping{
		Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance, StoreAge: now.Sub(h.storeAnsweredAt), Power: h.cfg.Power,
		OperatorRecordsUnreadable: h.operatorRecordsUnreadable.Load(),
	}
	if h.manifest != nil {
		b.ManifestVersion = h.manifest.Catalog.Version
	}
	h.mu.Unlock()
	if claim.Address == h.cfg.PeerAddress && claim.Instance != h.instance {
		h.recordLeaderGone(claim, "this host has started anew since it led")
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	r, err := peer.Invoke[Ping, PingResponse](callCtx, h.peers, claim.Address, methodPing, b)
	cancel()
	switch {
	case err == nil && (!r.Leads || r.Instance != claim.Instance):
		h.recordLeaderGone(claim, "the host does not lead any more")
	case err == nil:
		h.recordLeaderAnswer(claim)
		if r.Manifest != nil {
			h.applyManifest(r.Manifest, "leader")
		}
		return r.ProbeStore
	case isConnectionRefused(err):
		h.recordLeaderGone(claim, "connection refused")
	default:
		h.logger("leadership").WithError(err).WithField("leader", claim.Name).Debug("Ping without an answer")
	}
	return false
}

// isConnectionRefused reports whether no process listens at the address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, peer.ErrNotSent) && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

func (h *Host) recordLeaderAnswer(claim leadership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.watch.Heard(now, claim.Instance)
	h.leaderAnsweredAt = now
}

// recordLeaderGone notes that the leader has certainly ended.
func (h *Host) recordLeaderGone(claim leadership.Claim, reason string) {
	h.mu.Lock()
	isCurrent := h.watch.Claim().Instance == claim.Instance
	h.watch.Gone(h.clock.Now(), claim.Instance)
	h.mu.Unlock()
	if isCurrent {
		h.logger("leadership").WithFields(logrus.Fields{"leader": claim.Name, "reason": reason}).Info("Leader is gone")
	}
}

// probeStore reports whether the store answers this host.
func (h *Host) probeStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := h.store.Newest(callCtx, claimPartition, "")
	if err != nil {
		h.logger("leadership").WithError(err).Debug("Store does not answer the probe")
	}
	return err == nil
}

// renewalKey is the key of the renewals.
const renewalKey = "renewal"

// readNewestRenewal reads the leader's newest renewal.
func (h *Host) readNewestRenewal(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	n, err := h.store.Newest(callCtx, renewalPartition, "")
	if err != nil {
		h.logger("leadership").WithError(err).Debug("Can't read the leader's renewals")
		sleep(ctx, retryInterval)
		return
	}
	newest := int64(0)
	for _, e := range n.Entries {
		if e.Key == renewalKey {
			newest = e.Offset + 1
		}
	}
	h.mu.Lock()
	h.watch.Looked(h.clock.Now(), newest)
	h.mu.Unlock()
}

// claimLeadership tries to become the leader. The claimLeadership is valid only if it follows the newest one that this host has read.
func (h *Host) claimLeadership(ctx context.Context, last leadership.Claim) {
	h.mu.Lock()
	h.watch.Claimed(h.clock.Now())
	h.claiming = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.claiming = false
		h.mu.Unlock()
	}()
	c := leadership.Claim{Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance, Serial: last.Serial + 1}
	value, err := msgpack.Marshal(&c)
	if err != nil {
		h.logger("leadership").WithError(err).Error("Can't encode a claim")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	pos, err := h.store.Append(callCtx, ledger.Append{
		Partition: claimPartition, Records: []ledger.Record{{Key: claimKey, Value: value}}, At: last.Offset + 1,
	})
	cancel()
	if err != nil {
		h.logger("leadership").WithError(err).WithField("serial", c.Serial).Info("Claim did not succeed")
		// The claim of another host, or of this one if only the answer was lost, stands in the log.
		if _, err := h.readClaims(ctx, -1); err != nil {
			sleep(ctx, retryInterval)
		}
	} else {
		c.Offset = pos.Offset
		h.observeClaim(c)
	}
	h.beginTerm(ctx)
}

// beginTerm starts to lead if this host has the newest claim.
func (h *Host) beginTerm(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.watch.Leads() || h.term != nil || h.stopping {
		return
	}
	h.term = newTerm(ctx, h, h.watch.Claim(), h.watch.LastWord(h.clock.Now(), h.cfg.Limits.CutOff))
}

// endTerm stops leading.
func (h *Host) endTerm(reason string) {
	h.mu.Lock()
	t := h.term
	h.term = nil
	h.mu.Unlock()
	if t != nil {
		t.end(reason)
	}
}

// stepDown gives up the leadership and tells the other hosts.
func (h *Host) stepDown(ctx context.Context, t *term, reason string) {
	h.mu.Lock()
	if h.term != t {
		h.mu.Unlock()
		return
	}
	h.term = nil
	now := h.clock.Now()
	h.watch.Gone(now, h.instance)
	h.watch.Yield(now, reclaimDelay)
	h.mu.Unlock()
	t.end(reason)
	h.announce(ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset, SteppedDown: true})
}

// PrepareStop prepares a planned stop: the host is not ready any more and hands the leadership over. It goes on serving
// callers.
func (h *Host) PrepareStop(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.watch.Bar()
	t := h.term
	h.mu.Unlock()
	if t != nil {
		t.flush(ctx)
		h.stepDown(ctx, t, "planned stop")
	}
}

// announce tells all other hosts that are known.
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
				h.logger("leadership").WithError(err).Debug("Announcement did not arrive")
			}
		}()
	}
	for range addresses {
		<-done
	}
}

// handlePeerAnnouncement takes over an announcement.
func (h *Host) handlePeerAnnouncement(_ context.Context, a Announcement) (Empty, error) {
	a.Claim.Offset = a.Offset
	if a.SteppedDown {
		h.recordLeaderGone(a.Claim, "it has given up the leadership")
		h.wakeWatch()
		return Empty{}, nil
	}
	h.observeClaim(a.Claim)
	return Empty{}, nil
}

// handlePeerPing answers a ping.
func (h *Host) handlePeerPing(_ context.Context, b Ping) (PingResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.members[b.Name] = member{
		Name: b.Name, Address: b.Address, Instance: b.Instance, Power: b.Power, manifestVersion: b.ManifestVersion, storeAge: b.StoreAge, pingedAt: now,
	}
	r := PingResponse{Instance: h.instance, Leads: h.term != nil || h.claiming}
	if h.term != nil {
		r.ProbeStore = h.term.isStoreSilent(now)
	}
	// A host that reads the manifest from the store is not sent it once more over a busy link.
	if b.OperatorRecordsUnreadable && h.manifest != nil && h.manifest.Catalog.Version > b.ManifestVersion {
		r.Manifest = h.manifest
	}
	return r, nil
}

// register writes this host into the list of hosts and reads the others.
func (h *Host) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m := member{Name: h.cfg.Name, Address: h.cfg.PeerAddress, Instance: h.instance, Power: h.cfg.Power}
	value, err := msgpack.Marshal(&m)
	if err != nil {
		return errors.Wrap(err, "entry: encode a host")
	}
	_, err = h.store.Append(callCtx, ledger.Append{
		Partition: memberPartition, Records: []ledger.Record{{Key: m.Name, Value: value}}, At: ledger.AnyOffset,
	})
	if err != nil {
		return errors.Wrap(err, "entry: register")
	}
	return h.readMembers(callCtx)
}

// readMembers reads the list of hosts.
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
