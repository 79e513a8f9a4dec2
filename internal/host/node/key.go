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
	// lookupPeriod is the time between two look-ups of a call that runs for another host's request.
	lookupPeriod = 100 * time.Millisecond
	// replyMargin is kept from the caller's deadline, so that the reply reaches the caller.
	replyMargin = 50 * time.Millisecond
)

// keyedRun is the runtime of one keyed request.
type keyedRun struct {
	n     *Node
	ctx   context.Context
	flow  *intent.Flow
	req   caller.Request
	msgs  chan intent.Msg
	reply *outcome.Reply
	// worker and key are the reservation, until it is given back.
	worker string
	key    capacity.Key
	before time.Duration
	tries  int
}

// digestOf returns the digest that binds a key to the content of its request.
func digestOf(class, team string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(class), {0}, []byte(team), {0}, body} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// keyed runs a request that must run at most once.
func (n *Node) keyed(ctx context.Context, now time.Time, r caller.Request) outcome.Reply {
	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(n.cfg.Limits.Deadline)
	}
	end = end.Add(-replyMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	k := &keyedRun{n: n, ctx: ctx, req: r, msgs: make(chan intent.Msg, 64)}
	k.flow = intent.NewFlow(intent.Request{
		Key: r.Key, Digest: digestOf(r.Class, r.Team, r.Body), Class: r.Class, Zone: n.cfg.Zone, Host: n.cfg.Host,
		Deadline: end, Poll: lookupPeriod,
	})
	wake := n.watchKey(r.Key)
	defer n.unwatchKey(r.Key, wake)
	tick := time.NewTicker(lookupPeriod)
	defer tick.Stop()
	deadline := time.NewTimer(time.Until(end))
	defer deadline.Stop()
	k.update(intent.StartMsg{})
	for k.reply == nil {
		select {
		case m := <-k.msgs:
			k.update(m)
		case <-wake:
			k.update(intent.TickMsg{})
		case <-tick.C:
			k.update(intent.TickMsg{})
		case <-deadline.C:
			k.update(intent.TickMsg{})
		}
	}
	k.giveBack(k.tries > 0)
	return *k.reply
}

// watchKey returns a channel that gets a value for each record of the key.
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

// unwatchKey ends a watch.
func (n *Node) unwatchKey(key string, ch chan struct{}) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	delete(n.keys.waiters[key], ch)
	if len(n.keys.waiters[key]) == 0 {
		delete(n.keys.waiters, key)
	}
}

// outcomeOf returns what the log says of a key.
func (n *Node) outcomeOf(key string) intent.Outcome {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	return n.keys.table.Outcome(key)
}

// update passes a message to the flow and carries out its commands.
func (k *keyedRun) update(m intent.Msg) {
	for _, c := range k.flow.Decide(time.Now(), k.n.outcomeOf(k.req.Key), m) {
		k.command(c)
	}
}

// command carries out one command. Messages that answer it arrive later through msgs.
func (k *keyedRun) command(c intent.Command) {
	switch c := c.(type) {
	case intent.Reserve:
		k.reserve(c)
	case intent.WriteIntent:
		k.write(func() (record.Item, error) { return intent.Item(c.Intent) })
	case intent.WriteAnswer:
		k.write(func() (record.Item, error) { return intent.AnswerItem(c.Answer) })
	case intent.WriteClose:
		k.write(func() (record.Item, error) { return intent.CloseItem(c.Close) })
	case intent.Send:
		k.send(c.Intent)
	case intent.AskWorker:
		k.ask(c)
	case intent.Release:
		k.giveBack(c.Sent)
	case intent.Reply:
		r := keyedReply(c)
		r.Attempts, r.Worker = k.tries, k.worker
		k.reply = &r
	}
}

// reserve reserves a slot on a held worker.
func (k *keyedRun) reserve(c intent.Reserve) {
	now := time.Now()
	z := &k.n.zone
	// The worker's status lists the call under the attempt of its intent.
	k.key = capacity.Key{ID: k.req.Key, Attempt: k.n.outcomeOf(k.req.Key).Intent.Attempt + 1}
	z.mu.Lock()
	defer z.mu.Unlock()
	var avoid []string
	if c.Avoid != "" {
		avoid = append(avoid, c.Avoid)
	}
	worker, ok := k.n.reserveCall(now, k.req.Class, k.key, avoid)
	if !ok {
		k.msgs <- intent.NoWorkerMsg{Reason: string(outcome.ReasonNoWorker)}
		return
	}
	fence, held := z.holdings.Fence(worker, now)
	if !held {
		z.capacity.ReleaseCall(now, worker, k.key)
		k.msgs <- intent.NoWorkerMsg{Reason: string(outcome.ReasonNoWorker)}
		return
	}
	// The intent is sent only after it was read back, so that its deadline allows for the log.
	left := time.Second
	if end, ok := k.ctx.Deadline(); ok {
		left = max(left, end.Sub(now))
	}
	k.worker, k.before = worker, fence.Before+left
	k.msgs <- intent.ReservedMsg{Worker: worker, Boot: fence.Boot, Before: k.before}
}

// write writes a record to the stream of keys and reports its verdict.
func (k *keyedRun) write(item func() (record.Item, error)) {
	i, err := item()
	if err != nil {
		k.n.log.WithError(err).Error("Record of a key was not encoded.")
		k.msgs <- intent.UnreachableMsg{}
		return
	}
	go func() {
		receipt, err := k.n.keys.feed.Write(k.ctx, i)
		if err != nil {
			k.n.log.WithError(err).Debug("Record of a key was not read back.")
			k.post(intent.UnreachableMsg{})
			return
		}
		k.post(intent.WrittenMsg{Err: receipt.Verdicts[0]})
	}()
}

// post delivers a message unless the request has ended.
func (k *keyedRun) post(m intent.Msg) {
	select {
	case k.msgs <- m:
	default:
	}
}

// send sends the call of an intent that this request won.
func (k *keyedRun) send(i intent.Intent) {
	z := &k.n.zone
	z.mu.Lock()
	fence, held := z.holdings.Fence(i.Worker, time.Now())
	var address string
	if w := z.workers[i.Worker]; w != nil {
		address = w.address
	}
	z.mu.Unlock()
	if !held || fence.Boot != i.Boot {
		k.post(intent.SentMsg{Err: fleet.ErrRefused})
		return
	}
	k.tries++
	// The intent tells other hosts until when the call may start, so the fence must not allow for more.
	fence.Before = min(fence.Before, i.Before)
	call := fleet.Call{Fence: fence, Request: i.Key, Attempt: i.Attempt, Class: i.Class, Body: k.req.Body}
	go func() {
		a, err := k.n.fleet.Call(k.ctx, address, call)
		if errors.Is(err, fleet.ErrNotSent) {
			err = errors.Mark(err, fleet.ErrRefused)
		}
		k.post(intent.SentMsg{Answer: a, Err: err})
	}()
}

// ask looks a call up at its worker.
func (k *keyedRun) ask(c intent.AskWorker) {
	z := &k.n.zone
	z.mu.Lock()
	var address string
	if w := z.workers[c.Intent.Worker]; w != nil {
		address = w.address
	}
	z.mu.Unlock()
	if address == "" {
		address = k.n.peers.address(c.Intent.Worker)
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
		s, err := k.n.fleet.Lookup(ctx, address, c.Intent.Key, c.Intent.Attempt)
		k.post(intent.LookedUpMsg{Status: s, Err: err})
	}()
}

// giveBack ends the reservation.
func (k *keyedRun) giveBack(sent bool) {
	if k.worker == "" {
		return
	}
	now := time.Now()
	z := &k.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if sent {
		z.capacity.AbandonCall(k.worker, k.key, k.before)
	} else {
		z.capacity.ReleaseCall(now, k.worker, k.key)
		k.n.serveWaiting(now)
	}
	k.worker = ""
}

// keyedReply turns the reply of the flow into that for the caller.
func keyedReply(r intent.Reply) outcome.Reply {
	out := outcome.Reply{Outcome: outcome.Outcome(r.Result), Body: r.Answer.Body, Failed: r.Answer.Failed}
	if r.Result == intent.ResultDone {
		return out
	}
	out.Reason, out.Message = keyedReason(r.Reason), r.Reason
	if out.Reason == outcome.ReasonInvalid {
		out.Field = "key"
		return out
	}
	if r.Result == intent.ResultUnknown {
		out.Message += "; send the same key again to learn the outcome"
	}
	return out
}

// keyedReason maps a reason of the flow to that for the caller. The reason of a close record was written by a host, so
// that all others are those of a closed key.
func keyedReason(reason string) outcome.Reason {
	switch reason {
	case intent.ReasonLog:
		return outcome.ReasonLog
	case intent.ReasonDeadline:
		return outcome.ReasonDeadline
	case intent.ReasonRestarted:
		return outcome.ReasonWorker
	case intent.ReasonConflict:
		return outcome.ReasonConflict
	case intent.ReasonExpired, intent.ReasonDropped, intent.ErrOld.Error():
		return outcome.ReasonExpired
	case intent.ErrBadKey.Error(), intent.ErrAhead.Error():
		return outcome.ReasonInvalid
	}
	return outcome.ReasonClosed
}

// keyedPeer returns the peer to which a key that was not used yet is passed on: when this host has no free slot, or its
// zone was taken out. A key that is in use is followed here.
func (n *Node) keyedPeer(now time.Time, key string) string {
	if n.outcomeOf(key).State != intent.None {
		return ""
	}
	if n.zoneOut(n.cfg.Zone) {
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

// forwardKeyed passes a keyed request on to a peer that has a slot. After an unclear reply the caller must ask again.
func (n *Node) forwardKeyed(ctx context.Context, addr string, r caller.Request) outcome.Reply {
	end, _ := ctx.Deadline()
	defer n.peers.take(addr)()
	rep, err := n.peer.Call(ctx, addr, peer.Call{
		Request: r.Key, Class: r.Class, Team: r.Team, Key: r.Key, Body: r.Body, Left: time.Until(end),
	})
	if err != nil {
		n.peers.unanswered(addr)
		return outcome.Doubt(outcome.ReasonPeer, "the host that ran the request did not answer; send the same key again")
	}
	if rep.Request != r.Key || xxhash.Sum64(rep.Reply.Body) != rep.Digest {
		return outcome.Doubt(outcome.ReasonPeer, "the answer was crossed or damaged on its way; send the same key again")
	}
	return rep.Reply
}
