package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// jobRefusalDelay is the time after its start during which a host does not refuse a job for its size, since it may not
// know all workers yet.
const jobRefusalDelay = 15 * time.Second

// msgSendKeyAgain ends the messages of replies to a request or job with a key if the outcome is unknown.
const msgSendKeyAgain = "send the same key again to learn the outcome"

// Submit accepts a batch job durably: its reply is Done only after the job was recorded in the stream of a zone.
func (n *Node) Submit(ctx context.Context, s caller.Submission) outcome.Reply {
	if !n.inFlight.begin() {
		return stoppingKeyedReply()
	}
	defer n.inFlight.end()
	now := time.Now()
	if !n.hasConfig() {
		return outcome.UnknownReply(outcome.ReasonNotReady, "this host has no configuration yet; "+msgSendKeyAgain)
	}
	if errReply := checkJobKey(now, s.Key); errReply != nil {
		return *errReply
	}
	c, ok := n.classConfig(s.Class)
	if !ok || c.Kind != config.KindBatch {
		// Another host may have a newer configuration and may have accepted the key.
		return outcome.Reply{
			Outcome: outcome.Unknown, Reason: outcome.ReasonInvalid, Field: "class", Message: "not a batch class known here",
		}
	}
	a := job.Accept{
		ID: s.Key, Class: s.Class, Team: s.Team, Count: s.Count, Size: s.Size, RunTime: s.RunTime, Body: s.Body,
	}
	if len(a.Body) > job.MaxBodyBytes {
		return outcome.InvalidReply("body", fmt.Sprintf("must be at most %d bytes", job.MaxBodyBytes))
	}
	// The digest covers what the caller sent, without the defaults of the class that are filled in below: they may
	// change before a retry.
	data, err := msgpack.Marshal(a)
	if err != nil {
		return outcome.InvalidReply("body", err.Error())
	}
	if a.Size == (fleet.Size{}) {
		a.Size = c.Size
	}
	if a.RunTime == 0 {
		a.RunTime = c.RunTime
	}
	return n.acceptJob(ctx, now, a, xxhash.Sum64(data))
}

// checkJobKey returns the reply to send if the key cannot be used, or nil.
func checkJobKey(now time.Time, key string) *outcome.Reply {
	err := intent.CheckKey(now, key)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intent.ErrInvalidKey):
		r := outcome.InvalidReply("key", err.Error())
		return &r
	}
	r := outcome.UnknownReply(outcome.ReasonExpired, err.Error())
	if errors.Is(err, intent.ErrKeyAhead) {
		r.Reason = outcome.ReasonInvalid
	}
	r.Field = "key"
	return &r
}

// acceptJob records the key of a job with the zone that gets the job, unless the key is recorded already, and then
// records the job in that zone. If no known worker is large enough, it closes the key instead and refuses the job.
func (n *Node) acceptJob(ctx context.Context, now time.Time, a job.Accept, digest uint64) outcome.Reply {
	known := n.keyStatus(a.ID)
	if known.State == intent.StateNone {
		zone, refusalReason := n.zoneForJob(now, a)
		item, err := intent.Item(intent.Intent{
			Key: a.ID, Digest: digest, Kind: intent.KeyKindJob, Class: a.Class, Zone: zone, Host: n.cfg.Host, Attempt: 1,
		})
		if refusalReason != "" {
			// Only a close record ensures that no host runs a job under this key.
			item, err = intent.CloseItem(intent.Close{Key: a.ID, Reason: refusalReason})
		}
		if err != nil {
			return outcome.InvalidReply("key", err.Error())
		}
		if _, err := n.keys.feed.Write(ctx, item); err != nil {
			return outcome.UnknownReply(outcome.ReasonLog, "the job's key was not recorded in time; "+msgSendKeyAgain)
		}
		known = n.keyStatus(a.ID)
	}
	switch {
	case known.State == intent.StateClosed:
		return outcome.NotRunReply(outcome.ReasonNeverFits, known.Close.Reason+"; use a new key for a smaller job")
	case known.State == intent.StateNone || known.State == intent.StateExpired:
		return outcome.UnknownReply(outcome.ReasonExpired, "the key is too old for the log")
	case known.Intent.Kind != intent.KeyKindJob || known.Intent.Digest != digest:
		return outcome.NotRunReply(outcome.ReasonConflict, "the key is in use with other content")
	}
	return n.acceptInZone(ctx, known.Intent.Zone, a)
}

// zoneForJob returns the zone that gets a new job: this one if it is in service, this host holds a worker there and a
// known worker of the zone is large enough, otherwise another one if there is any. If no known worker of any zone is
// large enough, refusalReason says so.
func (n *Node) zoneForJob(now time.Time, a job.Accept) (zone, refusalReason string) {
	n.zone.mu.Lock()
	held := n.zone.policy.WorkerCount()
	// A host that has just started may not know of larger workers that its peers hold.
	if held > 0 && now.Sub(n.startedAt) > jobRefusalDelay {
		refusalReason = n.zone.policy.RefusalReason(a.Class, a.Size)
	}
	n.zone.mu.Unlock()
	if refusalReason != "" {
		takenOut := n.zonesTakenOut()
		for zone, capacities := range n.peers.taskCapacitiesByZone(now) {
			if zone != n.cfg.Zone && !takenOut[zone] && slices.ContainsFunc(capacities, a.Size.Fits) {
				return zone, ""
			}
		}
		return n.cfg.Zone, refusalReason
	}
	if held > 0 && !n.isZoneTakenOut(n.cfg.Zone) {
		return n.cfg.Zone, ""
	}
	if zone := n.pickOtherZone(now); zone != "" {
		return zone, ""
	}
	return n.cfg.Zone, ""
}

// pickOtherZone returns the zone of the peer with the most free slots, among the ready peers that synced recently and
// whose zone is another one and in service. It returns "" if there is none.
func (n *Node) pickOtherZone(now time.Time) string {
	takenOut := n.zonesTakenOut()
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	best, zone := -1, ""
	for _, a := range p.sortedAddresses {
		v := p.known[a]
		s := v.state
		if s.Zone == n.cfg.Zone || takenOut[s.Zone] || !s.Ready || s.Stopping ||
			v.stateAt.IsZero() || now.Sub(v.stateAt) > 10*syncPeriod {
			continue
		}
		if s.FreeSlots > best {
			best, zone = s.FreeSlots, s.Zone
		}
	}
	return zone
}

// acceptInZone records the job in the stream of a zone: directly if it is this host's zone, otherwise through a peer
// there.
func (n *Node) acceptInZone(ctx context.Context, zone string, a job.Accept) outcome.Reply {
	if zone == n.cfg.Zone {
		return n.acceptInOwnZone(ctx, a)
	}
	data, err := msgpack.Marshal(a)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	r, _ := n.askZone(ctx, zone, peer.JobRequest{Action: peer.JobSubmit, ID: a.ID, Record: data})
	return r
}

// acceptInOwnZone records the job in this zone's stream.
func (n *Node) acceptInOwnZone(ctx context.Context, a job.Accept) outcome.Reply {
	item, err := job.AcceptItem(a)
	if err != nil {
		return outcome.InvalidReply("", err.Error())
	}
	r, err := n.zone.feed.Write(ctx, item)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonLog, "the job was not recorded in time; "+msgSendKeyAgain)
	}
	// The digest in the key's intent has shown that the caller sent the same content. The record may still differ from
	// the known one, since the defaults of the class may have changed.
	if itemErr := r.ItemErrors[0]; itemErr != nil && !errors.Is(itemErr, job.ErrExists) &&
		!errors.Is(itemErr, job.ErrConflict) {
		return outcome.UnknownReply(outcome.ReasonExpired, itemErr.Error())
	}
	reply := n.showInOwnZone(a.ID)
	reply.Reason = outcome.ReasonAccepted
	return reply
}

// askZone sends a job message to a host of the zone. It tries the next host only if the message was not sent; otherwise
// the first one may have carried it out. All messages are idempotent, so the caller may ask again. It returns false if
// no host answered.
func (n *Node) askZone(ctx context.Context, zone string, m peer.JobRequest) (outcome.Reply, bool) {
	for _, address := range n.peersInZone(zone, time.Now()) {
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = time.Now().Add(n.cfg.Limits.DefaultDeadline)
		}
		m.TimeLeft = time.Until(deadline)
		rep, err := n.peerClient.Job(ctx, address, m)
		if err != nil {
			n.peers.markUnresponsive(address)
		}
		if errors.Is(err, peer.ErrNotSent) {
			continue
		}
		if err != nil {
			return outcome.UnknownReply(outcome.ReasonPeer, "zone "+zone+" did not answer; "+msgSendKeyAgain), false
		}
		return rep.Reply, true
	}
	return outcome.UnknownReply(outcome.ReasonPeer, "no host of zone "+zone+" can be reached; "+msgSendKeyAgain), false
}

// PeerJob handles a job message that a peer sent for this zone. It returns an error if the message cannot be decoded or
// its action is unknown.
func (n *Node) PeerJob(ctx context.Context, m peer.JobRequest) (peer.JobReply, error) {
	if !n.inFlight.begin() {
		return peer.JobReply{Reply: stoppingKeyedReply()}, nil
	}
	defer n.inFlight.end()
	ctx, cancel := context.WithTimeout(ctx, m.TimeLeft)
	defer cancel()
	switch m.Action {
	case peer.JobSubmit:
		var a job.Accept
		if err := peer.Decode(m.Record, &a); err != nil {
			return peer.JobReply{}, errors.Wrap(err, "node: decode accept of peer")
		}
		return peer.JobReply{Reply: n.acceptInOwnZone(ctx, a)}, nil
	case peer.JobShow:
		return peer.JobReply{Reply: n.showInOwnZone(m.ID)}, nil
	case peer.JobCancel:
		return peer.JobReply{Reply: n.cancelInOwnZone(ctx, m.ID)}, nil
	}
	return peer.JobReply{}, errors.Newf("node: unknown job action %q", m.Action)
}

// otherZones returns the zones of the known peers without this host's zone, in the order of the peers' addresses.
func (n *Node) otherZones() []string {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	seen := map[string]bool{n.cfg.Zone: true, "": true}
	var out []string
	for _, a := range n.peers.sortedAddresses {
		if z := n.peers.known[a].state.Zone; !seen[z] {
			seen[z] = true
			out = append(out, z)
		}
	}
	return out
}

// cancelInOwnZone cancels a job or task of this zone and returns it as JSON.
func (n *Node) cancelInOwnZone(ctx context.Context, id string) outcome.Reply {
	if r := n.showInOwnZone(id); r.Outcome != outcome.Done {
		return r
	}
	item, err := job.CancelItem(job.Cancel{ID: id})
	if err != nil {
		return outcome.InvalidReply("id", err.Error())
	}
	r, err := n.zone.feed.Write(ctx, item)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonLog, "the cancellation was not recorded in time; ask again")
	}
	if itemErr := r.ItemErrors[0]; itemErr != nil && !errors.Is(itemErr, job.ErrExists) {
		return outcome.NotRunReply(outcome.ReasonConflict, itemErr.Error())
	}
	return n.showInOwnZone(id)
}
