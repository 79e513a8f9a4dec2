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

// settleTime is how long after its start a host does not refuse a job for its size.
const settleTime = 15 * time.Second

const msgAskAgain = "send the same key again to learn the outcome"

// Submit accepts a batch job durably.
func (n *Node) Submit(ctx context.Context, s caller.Submission) outcome.Reply {
	if !n.inFlight.begin() {
		return stoppingKeyedReply()
	}
	defer n.inFlight.end()
	now := time.Now()
	if !n.hasConfig() {
		return outcome.UnknownReply(outcome.ReasonNotReady, "this host has no configuration yet; "+msgAskAgain)
	}
	if bad := checkJobKey(now, s.Key); bad != nil {
		return *bad
	}
	c, ok := n.classConfig(s.Class)
	if !ok || c.Kind != config.KindBatch {
		// Another host may have a newer configuration and may have accepted the key.
		return outcome.Reply{Outcome: outcome.Unknown, Reason: outcome.ReasonInvalid, Field: "class", Message: "not a batch class known here"}
	}
	a := job.Accept{
		ID: s.Key, Class: s.Class, Team: s.Team, Count: s.Count, Size: s.Size, RunTime: s.RunTime, Body: s.Body}
	if len(a.Body) > job.MaxBody {
		return outcome.InvalidReply("body", fmt.Sprintf("must be at most %d bytes", job.MaxBody))
	}
	// The key is bound to what the caller sent. The class's defaults, filled in below, may change before a retry.
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
	return n.accept(ctx, now, a, xxhash.Sum64(data))
}

// checkJobKey returns a reply if the key cannot be used.
func checkJobKey(now time.Time, key string) *outcome.Reply {
	err := intent.CheckKey(now, key)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intent.ErrKeyTooOld):
		r := outcome.UnknownReply(outcome.ReasonExpired, err.Error())
		r.Field = "key"
		return &r
	}
	r := outcome.InvalidReply("key", err.Error())
	return &r
}

// accept claims the key for a zone and records the job there.
func (n *Node) accept(ctx context.Context, now time.Time, a job.Accept, digest uint64) outcome.Reply {
	known := n.keyOutcome(a.ID)
	if known.State == intent.StateNone {
		zone, why := n.zoneForJob(now, a)
		item, err := intent.Item(intent.Intent{
			Key: a.ID, Digest: digest, Kind: intent.KeyKindJob, Class: a.Class, Zone: zone, Host: n.cfg.Host, Attempt: 1,
		})
		if why != "" {
			// Only a close record makes it true that no host runs the job under this key.
			item, err = intent.CloseItem(intent.Close{Key: a.ID, Reason: why})
		}
		if err != nil {
			return outcome.InvalidReply("key", err.Error())
		}
		if _, err := n.keys.feed.Write(ctx, item); err != nil {
			return outcome.UnknownReply(outcome.ReasonLog, "the job's key was not recorded in time; "+msgAskAgain)
		}
		known = n.keyOutcome(a.ID)
	}
	switch {
	case known.State == intent.StateClosed:
		return outcome.NotRunReply(outcome.ReasonNeverFits, known.Close.Reason+"; use a new key for a smaller job")
	case known.State == intent.StateNone || known.State == intent.StateExpired:
		return outcome.UnknownReply(outcome.ReasonExpired, "the key is too old for the log")
	case known.Intent.Kind != intent.KeyKindJob || known.Intent.Digest != digest:
		return outcome.NotRunReply(outcome.ReasonConflict, "the key is in use with other content")
	}
	return n.acceptIn(ctx, known.Intent.Zone, a)
}

// zoneForJob returns the zone that gets a new job: this one if it is in and has workers that are large enough, else
// another one. If no known worker of any zone is large enough, why says so.
func (n *Node) zoneForJob(now time.Time, a job.Accept) (zone, why string) {
	n.zone.mu.Lock()
	held := n.zone.policy.WorkerCount()
	// A host that has just started does not know the larger workers of its peers yet.
	if held > 0 && now.Sub(n.startedAt) > settleTime {
		why = n.zone.policy.RefusalReason(a.Class, a.Size)
	}
	n.zone.mu.Unlock()
	if why != "" {
		out := n.zonesOut()
		for zone, shapes := range n.peers.shapesByZone(now) {
			if zone != n.cfg.Zone && !out[zone] && slices.ContainsFunc(shapes, a.Size.Fits) {
				return zone, ""
			}
		}
		return n.cfg.Zone, why
	}
	if held > 0 && !n.zoneOut(n.cfg.Zone) {
		return n.cfg.Zone, ""
	}
	if zone := n.otherZone(now); zone != "" {
		return zone, ""
	}
	return n.cfg.Zone, ""
}

// otherZone returns another zone that is in and has a live, ready host, the one with the most free slots.
func (n *Node) otherZone(now time.Time) string {
	out := n.zonesOut()
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	best, zone := -1, ""
	for _, a := range p.sortedAddresses {
		v := p.known[a]
		s := v.state
		if s.Zone == n.cfg.Zone || out[s.Zone] || !s.Ready || s.Stopping || v.stateAt.IsZero() ||
			now.Sub(v.stateAt) > 10*syncPeriod {
			continue
		}
		if s.FreeSlots > best {
			best, zone = s.FreeSlots, s.Zone
		}
	}
	return zone
}

// acceptIn records the job in the stream of a zone, here or through a peer of that zone.
func (n *Node) acceptIn(ctx context.Context, zone string, a job.Accept) outcome.Reply {
	if zone == n.cfg.Zone {
		return n.acceptHere(ctx, a)
	}
	data, err := msgpack.Marshal(a)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	r, _ := n.askZone(ctx, zone, peer.JobRequest{Action: peer.JobSubmit, ID: a.ID, Record: data})
	return r
}

// acceptHere records the job in this zone's stream.
func (n *Node) acceptHere(ctx context.Context, a job.Accept) outcome.Reply {
	item, err := job.AcceptItem(a)
	if err != nil {
		return outcome.InvalidReply("", err.Error())
	}
	r, err := n.zone.feed.Write(ctx, item)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonLog, "the job was not recorded in time; "+msgAskAgain)
	}
	// The key's intent has shown that the content is the same. The record may differ from the one that is known in the
	// defaults of the class, which may have changed.
	if v := r.ItemErrors[0]; v != nil && !errors.Is(v, job.ErrExists) && !errors.Is(v, job.ErrConflict) {
		return outcome.UnknownReply(outcome.ReasonExpired, v.Error())
	}
	reply := n.showHere(a.ID)
	reply.Reason = outcome.ReasonAccepted
	return reply
}

// askZone sends a job message to a host of the zone. It goes on to the next host only if the message was not sent:
// otherwise the first may have carried it out. All messages are idempotent, so the caller may ask again.
func (n *Node) askZone(ctx context.Context, zone string, m peer.JobRequest) (outcome.Reply, bool) {
	for _, address := range n.peersInZone(zone, time.Now()) {
		end, ok := ctx.Deadline()
		if !ok {
			end = time.Now().Add(n.cfg.Limits.DefaultDeadline)
		}
		m.TimeLeft = time.Until(end)
		rep, err := n.peerClient.Job(ctx, address, m)
		if err != nil {
			n.peers.markUnresponsive(address)
		}
		if errors.Is(err, peer.ErrNotSent) {
			continue
		}
		if err != nil {
			return outcome.UnknownReply(outcome.ReasonPeer, "zone "+zone+" did not answer; "+msgAskAgain), false
		}
		return rep.Reply, true
	}
	return outcome.UnknownReply(outcome.ReasonPeer, "no host of zone "+zone+" can be reached; "+msgAskAgain), false
}

// PeerJob answers a job message of a peer for this zone.
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
		if err := msgpack.Unmarshal(m.Record, &a); err != nil {
			return peer.JobReply{}, errors.Wrap(err, "node: decode accept of peer")
		}
		return peer.JobReply{Reply: n.acceptHere(ctx, a)}, nil
	case peer.JobShow:
		return peer.JobReply{Reply: n.showHere(m.ID)}, nil
	case peer.JobCancel:
		return peer.JobReply{Reply: n.cancelHere(ctx, m.ID)}, nil
	}
	return peer.JobReply{}, errors.Newf("node: unknown job action %q", m.Action)
}

// otherZones returns the zones of the known peers but this one, sorted.
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

// cancelHere cancels a job or task of this zone.
func (n *Node) cancelHere(ctx context.Context, id string) outcome.Reply {
	if r := n.showHere(id); r.Outcome != outcome.Done {
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
	if v := r.ItemErrors[0]; v != nil && !errors.Is(v, job.ErrExists) {
		return outcome.NotRunReply(outcome.ReasonConflict, v.Error())
	}
	return n.showHere(id)
}
