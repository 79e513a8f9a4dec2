package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/zone/capacity"
)

const (
	// lookupPeriod is the time between two look-ups of a call at its worker. The flow is also woken at this interval.
	lookupPeriod = 100 * time.Millisecond
	// maxSlotWait is the longest time for which a keyed request waits for a free slot: slots are free again within
	// moments, also when workers change their holder. It waits no longer than half of its time.
	maxSlotWait = 2 * time.Second
	// maxReturns is how often peers without a free slot may return a keyed request.
	maxReturns = 3
	// replyMargin is how long before the caller's deadline the request ends here, so that the reply arrives in time.
	replyMargin = 50 * time.Millisecond
)

// keyedRequest executes the commands of the flow of one keyed request.
type keyedRequest struct {
	n    *Node
	ctx  context.Context
	flow *intent.Flow
	req  caller.Request
	// msgs carries the results of commands to the goroutine that runs the flow.
	msgs chan intent.Msg
	// reply is nil until the flow has decided it.
	reply *outcome.Reply
	// worker is the worker with the reserved slot, empty after its release. reservation is the key of that slot.
	worker      string
	reservation capacity.Key
	// latestStart is the time on the worker's clock until which the call may start.
	latestStart time.Duration
	// sends is the number of calls that this request sent.
	sends int
}

// requestDigest returns the digest of a request's content. A key may be used again only with the same digest.
func requestDigest(class, team string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(class), {0}, []byte(team), {0}, body} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// serveKeyed runs a request with a key of a caller, here or at a peer. While it waits for a slot here, it goes to a peer
// as soon as one is known to have a free slot, since this host may hold no worker for long. A peer without a free slot
// returns it, up to maxReturns times while it may wait for one.
func (n *Node) serveKeyed(ctx context.Context, now time.Time, r caller.Request) outcome.Reply {
	slotWaitEnd := now.Add(n.slotWait(ctx, now))
	for returns := 0; ; returns++ {
		now = time.Now()
		address := n.peerForKey(now, r.Key)
		if address == "" {
			reply, decided := n.runKeyed(ctx, now, r, max(slotWaitEnd.Sub(now), 0), func() bool {
				address = n.peerForKey(time.Now(), r.Key)
				return address != ""
			})
			if decided {
				return reply
			}
		}
		mayReturn := returns < maxReturns && time.Now().Before(slotWaitEnd)
		reply, returned := n.forwardKeyed(ctx, address, r, mayReturn)
		if !returned {
			return reply
		}
		n.peers.markWithoutSlots(address)
	}
}

// keyedDeadline returns when the reply to a keyed request must be decided.
func (n *Node) keyedDeadline(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(n.cfg.Limits.DefaultDeadline)
	}
	return deadline.Add(-replyMargin)
}

// slotWait returns how long a keyed request that arrived at now waits for a free slot.
func (n *Node) slotWait(ctx context.Context, now time.Time) time.Duration {
	return min(maxSlotWait, n.keyedDeadline(ctx, now).Sub(now)/2)
}

// runKeyed runs a request with a key, which must be executed at most once, until its reply is decided. While the request
// waits for a slot, for at most slotWait, runKeyed calls giveUp and returns false if it reports true.
func (n *Node) runKeyed(
	ctx context.Context, now time.Time, r caller.Request, slotWait time.Duration, giveUp func() bool,
) (outcome.Reply, bool) {
	deadline := n.keyedDeadline(ctx, now)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	k := &keyedRequest{n: n, ctx: ctx, req: r, msgs: make(chan intent.Msg, 64)}
	k.flow = intent.NewFlow(intent.Request{
		Key: r.Key, Digest: requestDigest(r.Class, r.Team, r.Body), Class: r.Class, Zone: n.cfg.Zone, Host: n.cfg.Host,
		Deadline: deadline, PollInterval: lookupPeriod, SlotWait: slotWait,
	})
	wake := n.watchKey(r.Key)
	defer n.unwatchKey(r.Key, wake)
	tick := time.NewTicker(lookupPeriod)
	defer tick.Stop()
	deadlineTimer := time.NewTimer(time.Until(deadline))
	defer deadlineTimer.Stop()
	k.update(intent.StartMsg{})
	for k.reply == nil {
		if k.flow.AwaitsSlot() && giveUp() {
			return outcome.Reply{}, false
		}
		select {
		case m := <-k.msgs:
			k.update(m)
		case <-wake:
			k.update(intent.TickMsg{})
		case <-tick.C:
			k.update(intent.TickMsg{})
		case <-deadlineTimer.C:
			k.update(intent.TickMsg{})
		}
	}
	k.release(k.sends > 0)
	return *k.reply, true
}

// watchKey returns a channel that gets a value when records of the key are read. Several records may cause one value.
func (n *Node) watchKey(key string) chan struct{} {
	ch := make(chan struct{}, 1)
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	if n.keys.waiters[key] == nil {
		n.keys.waiters[key] = map[chan struct{}]struct{}{}
	}
	n.keys.waiters[key][ch] = struct{}{}
	return ch
}

// unwatchKey removes a channel that watchKey returned.
func (n *Node) unwatchKey(key string, ch chan struct{}) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	delete(n.keys.waiters[key], ch)
	if len(n.keys.waiters[key]) == 0 {
		delete(n.keys.waiters, key)
	}
}

// keyStatus returns the status of a key according to the records that this host has read.
func (n *Node) keyStatus(key string) intent.KeyStatus {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	return n.keys.table.LookUp(key)
}

// update passes a message to the flow and executes the commands that it returns.
func (k *keyedRequest) update(m intent.Msg) {
	for _, c := range k.flow.Update(time.Now(), k.n.keyStatus(k.req.Key), m) {
		k.execute(c)
	}
}

// execute executes one command. Messages with its results arrive later through msgs.
func (k *keyedRequest) execute(c intent.Command) {
	switch c := c.(type) {
	case intent.ReserveSlotCmd:
		k.reserve(c)
	case intent.WriteIntentCmd:
		k.writeRecord(func() (record.Item, error) { return intent.Item(c.Intent) })
	case intent.WriteAnswerCmd:
		k.writeRecord(func() (record.Item, error) { return intent.AnswerItem(c.Answer) })
	case intent.WriteCloseCmd:
		k.writeRecord(func() (record.Item, error) { return intent.CloseItem(c.Close) })
	case intent.SendCallCmd:
		k.sendCall(c.Intent)
	case intent.LookUpCallCmd:
		k.lookUpCall(c)
	case intent.ReleaseSlotCmd:
		k.release(c.MayRun)
	case intent.ReplyCmd:
		r := keyedReply(c)
		r.Attempts, r.Worker = k.sends, k.worker
		k.reply = &r
	}
}

// reserve reserves a slot on a held worker and puts the result into msgs.
func (k *keyedRequest) reserve(c intent.ReserveSlotCmd) {
	// The worker's status lists the call under the attempt number of its intent.
	k.reservation = capacity.Key{ID: k.req.Key, Attempt: k.n.keyStatus(k.req.Key).Intent.Attempt + 1}
	k.msgs <- k.reserveSlot(time.Now(), c)
}

// reserveSlot reserves a slot on a held worker and returns the result.
func (k *keyedRequest) reserveSlot(now time.Time, c intent.ReserveSlotCmd) intent.Msg {
	z := &k.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	var avoid []string
	if c.AvoidWorker != "" {
		avoid = append(avoid, c.AvoidWorker)
	}
	worker, ok := k.n.reserveCall(now, k.req.Class, k.reservation, avoid)
	if !ok {
		return intent.NoWorkerMsg{Reason: string(outcome.ReasonNoWorker)}
	}
	fence, held := z.leases.Fence(worker, now)
	if !held {
		z.capacity.ReleaseCall(now, worker, k.reservation)
		return intent.NoWorkerMsg{Reason: string(outcome.ReasonNoWorker)}
	}
	// The call is sent only after its intent was read back from the log. latestStart therefore lies after fence.Before,
	// by the time left to the request's deadline, at least 1 s.
	left := time.Second
	if deadline, ok := k.ctx.Deadline(); ok {
		left = max(left, deadline.Sub(now))
	}
	k.worker, k.latestStart = worker, fence.Before+left
	return intent.SlotReservedMsg{Worker: worker, Boot: fence.Boot, LatestStart: k.latestStart}
}

// writeRecord writes a record to the stream of keys in the background. It posts whether the record was accepted when it
// was read back, or that the log is unreachable.
func (k *keyedRequest) writeRecord(item func() (record.Item, error)) {
	i, err := item()
	if err != nil {
		k.n.log.WithError(err).
			Error("Could not encode a record of a key; the request goes on as if the log were unreachable.")
		k.msgs <- intent.LogUnreachableMsg{}
		return
	}
	go func() {
		receipt, err := k.n.keys.feed.Write(k.ctx, i)
		if err != nil {
			k.n.log.WithError(err).
				Debug("Record of a key was not read back from the log; its request takes the log as unreachable.")
			k.post(intent.LogUnreachableMsg{})
			return
		}
		k.post(intent.WrittenMsg{Err: receipt.ItemErrors[0]})
	}()
}

// post delivers a message to the goroutine of the request without blocking. Once the request has ended, nobody reads
// the channel, and messages that its buffer cannot hold are dropped.
func (k *keyedRequest) post(m intent.Msg) {
	select {
	case k.msgs <- m:
	default:
	}
}

// sendCall sends the call of an intent of this request that the log accepted, and posts the result.
func (k *keyedRequest) sendCall(i intent.Intent) {
	z := &k.n.zone
	z.mu.Lock()
	fence, held := z.leases.Fence(i.Worker, time.Now())
	var address string
	if w := z.workers[i.Worker]; w != nil {
		address = w.address
	}
	z.mu.Unlock()
	if !held || fence.Boot != i.Boot {
		k.post(intent.SentMsg{Err: fleet.ErrRefused})
		return
	}
	k.sends++
	// Other hosts take the latest start of the call from the intent, so the fence must not allow a later one.
	fence.Before = min(fence.Before, i.LatestStart)
	call := fleet.Call{Fence: fence, Request: i.Key, Attempt: i.Attempt, Class: i.Class, Body: k.req.Body}
	go func() {
		answer, err := k.n.fleet.Call(k.ctx, address, call)
		if errors.Is(err, fleet.ErrNotSent) {
			err = errors.Mark(err, fleet.ErrRefused)
		}
		k.post(intent.SentMsg{Answer: answer, Err: err})
	}()
}

// lookUpCall asks the worker of an intent for the state of its call, not before c.At, and posts the result.
func (k *keyedRequest) lookUpCall(c intent.LookUpCallCmd) {
	z := &k.n.zone
	z.mu.Lock()
	var address string
	if w := z.workers[c.Intent.Worker]; w != nil {
		address = w.address
	}
	z.mu.Unlock()
	if address == "" {
		address = k.n.peers.workerAddress(c.Intent.Worker)
	}
	go func() {
		select {
		case <-time.After(time.Until(c.At)):
		case <-k.ctx.Done():
			return
		}
		if address == "" {
			k.post(intent.LookedUpMsg{Err: errors.Newf("node: look up call: worker %s is not listed", c.Intent.Worker)})
			return
		}
		ctx, cancel := context.WithTimeout(k.ctx, workerTimeout)
		defer cancel()
		status, err := k.n.fleet.Lookup(ctx, address, c.Intent.Key, c.Intent.Attempt)
		k.post(intent.LookedUpMsg{Status: status, Err: err})
	}()
}

// release ends the reservation. If the call may run, its slot stays occupied until the worker's status shows that the
// call has ended or can no longer start; otherwise the slot goes to a waiting request.
func (k *keyedRequest) release(mayRun bool) {
	if k.worker == "" {
		return
	}
	now := time.Now()
	z := &k.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if mayRun {
		z.capacity.AbandonCall(k.worker, k.reservation, k.latestStart)
	} else {
		z.capacity.ReleaseCall(now, k.worker, k.reservation)
		k.n.assignFreeSlots(now)
	}
	k.worker = ""
}

// keyedReply converts the reply of the flow to the reply to the caller.
func keyedReply(r intent.ReplyCmd) outcome.Reply {
	out := outcome.Reply{Outcome: outcome.Outcome(r.Outcome), Body: r.Answer.Body, Failed: r.Answer.Failed}
	if r.Outcome == intent.OutcomeDone {
		return out
	}
	out.Reason, out.Message = keyedReplyReason(r.Reason), r.Reason
	if out.Reason == outcome.ReasonInvalid {
		out.Field = "key"
		return out
	}
	if r.Outcome == intent.OutcomeUnknown {
		out.Message += "; send the same key again to learn the outcome"
	}
	return out
}

// keyedReplyReason converts a reason of the flow to the reason in the reply to the caller. The reason in a close record
// is free text of the host that wrote it, so every reason that is not listed here is that of a closed key.
func keyedReplyReason(reason string) outcome.Reason {
	switch reason {
	case intent.ReasonLogUnreachable:
		return outcome.ReasonLog
	case intent.ReasonDeadlinePassed:
		return outcome.ReasonDeadline
	case intent.ReasonWorkerRestarted:
		return outcome.ReasonWorker
	case intent.ReasonConflict:
		return outcome.ReasonConflict
	case intent.ReasonKeyExpired, intent.ReasonAnswerDropped, intent.ErrKeyTooOld.Error():
		return outcome.ReasonExpired
	case intent.ErrInvalidKey.Error(), intent.ErrKeyAhead.Error():
		return outcome.ReasonInvalid
	}
	return outcome.ReasonClosed
}

// peerForKey returns the address of the peer to which the request of an unused key is forwarded, because this host has
// no free slot or its zone was taken out. It returns an empty string if the request is served here, as is every request
// of a key that is in use.
func (n *Node) peerForKey(now time.Time, key string) string {
	if n.keyStatus(key).State != intent.StateNone {
		return ""
	}
	if n.isZoneTakenOut(n.cfg.Zone) {
		return n.pickPeer(now, true)
	}
	n.zone.mu.Lock()
	free := n.zone.capacity.FreeSlots()
	n.zone.mu.Unlock()
	if free > 0 {
		return ""
	}
	return n.pickPeer(now, false)
}

// forwardKeyed forwards a keyed request to a peer that peerForKey chose. If the peer does not answer, or its answer is
// damaged or belongs to another request, the outcome is unknown and the caller must send the same key again. It returns
// true instead of a reply if mayReturn is set and the peer has returned the request.
func (n *Node) forwardKeyed(
	ctx context.Context, addr string, r caller.Request, mayReturn bool,
) (reply outcome.Reply, returned bool) {
	deadline, _ := ctx.Deadline()
	defer n.peers.countForwarded(addr)()
	rep, err := n.peerClient.Forward(ctx, addr, peer.ForwardRequest{
		RequestID: r.Key, Class: r.Class, Team: r.Team, Key: r.Key, Body: r.Body, TimeLeft: time.Until(deadline),
		ReturnIfNoSlot: mayReturn,
	})
	if err != nil {
		n.peers.markUnresponsive(addr)
		return outcome.UnknownReply(outcome.ReasonPeer,
			"the host that ran the request did not answer; send the same key again"), false
	}
	if rep.RequestID != r.Key || xxhash.Sum64(rep.Reply.Body) != rep.Digest {
		return outcome.UnknownReply(outcome.ReasonPeer,
			"the answer was crossed or damaged on its way; send the same key again"), false
	}
	return rep.Reply, rep.Returned && mayReturn
}
