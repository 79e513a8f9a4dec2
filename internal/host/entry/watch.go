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
	// beatTimeout bounds a ping: two round trips between regions and a busy leader.
	beatTimeout = 450 * time.Millisecond
	// claimTimeout bounds the append of a claim.
	claimTimeout = 700 * time.Millisecond
	// announceTimeout bounds an announcement.
	announceTimeout = 500 * time.Millisecond
	// memberTimeout bounds reading and writing the list of hosts.
	memberTimeout = time.Second
	// barredFor is how long a host that gave up the leadership does not claim it again.
	barredFor = 3 * time.Second
)

// watchLeader pings the leader and claims the leadership when it is gone.
func (h *Host) watchLeader(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		now := h.clock.Now()
		h.mu.Lock()
		h.watch.SetClaimDelay(h.handicap())
		action, until := h.watch.NextAction(now)
		claim := h.watch.Claim()
		ready := h.manifest != nil && h.operatorsRead
		h.mu.Unlock()
		if !registered && claim.Known() {
			registered = h.register(ctx) == nil
		}
		switch action {
		case leadership.ActionPing:
			h.ping(ctx, claim)
		case leadership.ActionReadRenewal:
			h.lookForRenewal(ctx)
		case leadership.ActionClaim:
			if ready {
				h.claim(ctx, claim)
			} else {
				h.wait(ctx, followPause)
			}
		case leadership.ActionLead:
			h.wait(ctx, leadership.RenewInterval)
		default:
			h.wait(ctx, until.Sub(now))
		}
	}
}

// wait pauses the watch until something changes.
func (h *Host) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-h.poke:
	case <-t.C:
	}
}

// ping asks the leader whether it is there, and once more if the leader waits for word whether the store answers.
func (h *Host) ping(ctx context.Context, claim leadership.Claim) {
	if h.pingOnce(ctx, claim) && h.probe(ctx) {
		h.pingOnce(ctx, claim)
	}
}

// pingOnce reports whether the leader asks for a probe of the store.
func (h *Host) pingOnce(ctx context.Context, claim leadership.Claim) (wanted bool) {
	now := h.clock.Now()
	h.mu.Lock()
	h.watch.RecordPing(now)
	b := Beat{
		Name: h.cfg.Name, Address: h.cfg.Peers, Instance: h.instance, StoreAge: now.Sub(h.lastStore), Power: h.cfg.Power,
		Blind: h.blind.Load(),
	}
	if h.manifest != nil {
		b.Version = h.manifest.Catalog.Version
	}
	h.mu.Unlock()
	if claim.Address == h.cfg.Peers && claim.Instance != h.instance {
		h.gone(claim, "this host has started anew since it led")
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	r, err := peer.Invoke[Beat, BeatReply](callCtx, h.peers, claim.Address, methodBeat, b)
	cancel()
	switch {
	case err == nil && (!r.Leads || r.Instance != claim.Instance):
		h.gone(claim, "the host does not lead any more")
	case err == nil:
		h.heard(claim)
		if r.Manifest != nil {
			h.applyManifest(r.Manifest, "leader")
		}
		return r.Probe
	case isRefused(err):
		h.gone(claim, "connection refused")
	default:
		h.part("leadership").WithError(err).WithField("leader", claim.Name).Debug("Ping without an answer")
	}
	return false
}

// isRefused reports whether no process listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, peer.ErrNotSent) && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

func (h *Host) heard(claim leadership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.watch.RecordAnswer(now, claim.Instance)
	h.lastLeader = now
}

// gone notes that the leader has certainly ended.
func (h *Host) gone(claim leadership.Claim, reason string) {
	h.mu.Lock()
	fresh := h.watch.Claim().Instance == claim.Instance
	h.watch.RecordLeaderEnd(h.clock.Now(), claim.Instance)
	h.mu.Unlock()
	if fresh {
		h.part("leadership").WithFields(logrus.Fields{"leader": claim.Name, "reason": reason}).Info("Leader is gone")
	}
}

// probe reports whether the store answers this host.
func (h *Host) probe(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	_, err := h.store.Newest(callCtx, claimPart, "")
	if err != nil {
		h.part("leadership").WithError(err).Debug("Store does not answer the probe")
	}
	return err == nil
}

// renewalKey is the key of the renewals.
const renewalKey = "renewal"

// lookForRenewal reads the leader's newest renewal.
func (h *Host) lookForRenewal(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	n, err := h.store.Newest(callCtx, renewalPart, "")
	if err != nil {
		h.part("leadership").WithError(err).Debug("Can't read the leader's renewals")
		pause(ctx, followPause)
		return
	}
	mark := int64(0)
	for _, e := range n.Entries {
		if e.Key == renewalKey {
			mark = e.Offset + 1
		}
	}
	h.mu.Lock()
	h.watch.RecordRenewal(h.clock.Now(), mark)
	h.mu.Unlock()
}

// claim tries to become the leader. The claim is valid only if it follows the newest one that this host has read.
func (h *Host) claim(ctx context.Context, last leadership.Claim) {
	h.mu.Lock()
	h.watch.RecordClaim(h.clock.Now())
	h.claiming = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.claiming = false
		h.mu.Unlock()
	}()
	c := leadership.Claim{Name: h.cfg.Name, Address: h.cfg.Peers, Instance: h.instance, Serial: last.Serial + 1}
	value, err := msgpack.Marshal(&c)
	if err != nil {
		h.part("leadership").WithError(err).Error("Can't encode a claim")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	pos, err := h.store.Append(callCtx, ledger.Append{
		Partition: claimPart, Records: []ledger.Record{{Key: claimKey, Value: value}}, At: last.Offset + 1,
	})
	cancel()
	if err != nil {
		h.part("leadership").WithError(err).WithField("serial", c.Serial).Info("Claim did not succeed")
		// The claim of another host, or of this one if only the answer was lost, stands in the log.
		if _, err := h.readClaims(ctx, -1); err != nil {
			pause(ctx, followPause)
		}
	} else {
		c.Offset = pos.Offset
		h.observe(c)
	}
	h.beginTerm(ctx)
}

// beginTerm starts to lead if this host has the newest claim.
func (h *Host) beginTerm(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.watch.IsLeader() || h.term != nil || h.stopping {
		return
	}
	h.term = newTerm(ctx, h, h.watch.Claim(), h.watch.PredecessorEnd(h.clock.Now(), h.cfg.Limits.CutOff))
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

// abdicate gives up the leadership and tells the other hosts.
func (h *Host) abdicate(ctx context.Context, t *term, reason string) {
	h.mu.Lock()
	if h.term != t {
		h.mu.Unlock()
		return
	}
	h.term = nil
	now := h.clock.Now()
	h.watch.RecordLeaderEnd(now, h.instance)
	h.watch.Yield(now, barredFor)
	h.mu.Unlock()
	t.end(reason)
	h.announce(ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset, Vacant: true})
}

// Leave prepares a planned stop: the host is not ready any more and hands the leadership over. It goes on serving
// callers.
func (h *Host) Leave(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.watch.DisableClaims()
	t := h.term
	h.mu.Unlock()
	if t != nil {
		t.flush(ctx)
		h.abdicate(ctx, t, "planned stop")
	}
}

// announce tells all other hosts that are known.
func (h *Host) announce(ctx context.Context, a Announcement) {
	h.mu.Lock()
	var addresses []string
	for _, m := range h.members {
		if m.Address != h.cfg.Peers {
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
				h.part("leadership").WithError(err).Debug("Announcement did not arrive")
			}
		}()
	}
	for range addresses {
		<-done
	}
}

// peerAnnounce takes over an announcement.
func (h *Host) peerAnnounce(_ context.Context, a Announcement) (Empty, error) {
	a.Claim.Offset = a.Offset
	if a.Vacant {
		h.gone(a.Claim, "it has given up the leadership")
		h.nudge()
		return Empty{}, nil
	}
	h.observe(a.Claim)
	return Empty{}, nil
}

// peerBeat answers a ping.
func (h *Host) peerBeat(_ context.Context, b Beat) (BeatReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.members[b.Name] = member{
		Name: b.Name, Address: b.Address, Instance: b.Instance, Power: b.Power, version: b.Version, storeAge: b.StoreAge, seen: now,
	}
	r := BeatReply{Instance: h.instance, Leads: h.term != nil || h.claiming}
	if h.term != nil {
		r.Probe = h.term.doubtful(now)
	}
	// A host that reads the manifest from the store is not sent it once more over a busy link.
	if b.Blind && h.manifest != nil && h.manifest.Catalog.Version > b.Version {
		r.Manifest = h.manifest
	}
	return r, nil
}

// register writes this host into the list of hosts and reads the others.
func (h *Host) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m := member{Name: h.cfg.Name, Address: h.cfg.Peers, Instance: h.instance, Power: h.cfg.Power}
	value, err := msgpack.Marshal(&m)
	if err != nil {
		return errors.Wrap(err, "entry: encode a host")
	}
	_, err = h.store.Append(callCtx, ledger.Append{
		Partition: memberPart, Records: []ledger.Record{{Key: m.Name, Value: value}}, At: ledger.AnyOffset,
	})
	if err != nil {
		return errors.Wrap(err, "entry: register")
	}
	return h.readMembers(callCtx)
}

// readMembers reads the list of hosts.
func (h *Host) readMembers(ctx context.Context) error {
	entries, _, err := ledger.ReadNewest(ctx, h.store, memberPart)
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
		if old, ok := h.members[m.Name]; !ok || old.seen.IsZero() {
			h.members[m.Name] = m
		}
	}
	return nil
}
