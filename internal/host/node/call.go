package node

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/attempt"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// lockedBudget is the retry budget shared by all requests.
type lockedBudget struct{ n *Node }

// Take implements attempt.Budget.
func (b lockedBudget) Take(now time.Time) bool {
	b.n.budgetMu.Lock()
	defer b.n.budgetMu.Unlock()
	return b.n.budget.Take(now)
}

// Request serves an urgent request of a caller.
func (n *Node) Request(ctx context.Context, r caller.Request) outcome.Reply {
	if !n.inFlight.enter() {
		if r.Key != "" {
			return stoppingKeyed()
		}
		return stopping()
	}
	defer n.inFlight.leave()
	now := time.Now()
	reply, sends := n.request(ctx, now, r)
	n.countRequest(r, reply, sends, time.Since(now))
	return reply
}

// sends counts what one request sent to workers of this host.
type sends struct{ first, retries, hedges int }

// request checks a request and runs it by its class.
func (n *Node) request(ctx context.Context, now time.Time, r caller.Request) (outcome.Reply, sends) {
	if !n.configured() {
		return refuseCall(r, outcome.Refuse(outcome.ReasonNotReady, "this host has no configuration yet")), sends{}
	}
	c, ok := n.class(r.Class)
	switch {
	case !ok:
		return refuseCall(r, outcome.Invalid("class", "unknown class")), sends{}
	case c.Kind != config.KindUrgent:
		return refuseCall(r, outcome.Invalid("class", "is a batch class; submit a job instead")), sends{}
	case !c.Idempotent && r.Key == "":
		return outcome.Invalid("key", "is required: the class is not idempotent"), sends{}
	case c.Idempotent && r.Key != "":
		return refuseCall(r, outcome.Invalid("key", "must be empty: the class is idempotent")), sends{}
	case !c.Idempotent:
		if address := n.keyedPeer(now, r.Key); address != "" {
			return n.forwardKeyed(ctx, address, r), sends{first: 1}
		}
		return n.keyed(ctx, now, r), sends{first: 1}
	}
	return n.idempotent(ctx, now, r, uuid.NewString(), 0, false)
}

// refuseCall returns the reply to a request that the configuration of this host does not allow. If it has a key,
// another host, with another configuration, may have run it.
func refuseCall(r caller.Request, reply outcome.Reply) outcome.Reply {
	if r.Key != "" {
		reply.Outcome = outcome.Unknown
	}
	return reply
}

// countRequest records the metrics of a request.
func (n *Node) countRequest(r caller.Request, reply outcome.Reply, s sends, took time.Duration) {
	if n.mtr == nil {
		return
	}
	n.mtr.Request(context.Background(), telemetry.Request{
		Class: r.Class, Team: r.Team, Outcome: string(reply.Outcome), Reason: string(reply.Reason),
		Wait: reply.Wait, Run: reply.Run, Answer: took, Retries: s.retries, Hedges: s.hedges,
	})
}

// urgent is the runtime of one idempotent request.
type urgent struct {
	n    *Node
	life *attempt.Life
	// forwarded is set for a request that a peer passed on. passed is set once this host passed it on.
	forwarded, passed bool

	id      string
	req     caller.Request
	arrived time.Time
	end     time.Time
	msgs    chan attempt.Msg
	// fences has the deadline in the worker's clock of each send.
	fences map[int]time.Duration
	sentAt time.Time
	reply  *outcome.Reply
	// hedges has the attempts that were asked for as hedges.
	hedges map[int]bool
	sends  sends
	worker string
}

// idempotent runs an idempotent request until it is replied to. Sends that are still in flight then are followed in
// the background, so that their slots are given back.
func (n *Node) idempotent(ctx context.Context, now time.Time, r caller.Request, id string, base int, forwarded bool) (outcome.Reply, sends) {
	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(n.cfg.Limits.Deadline)
	}
	n.budgetMu.Lock()
	n.budget.Request(now)
	n.budgetMu.Unlock()
	n.zone.mu.Lock()
	hedge := n.classOf(r.Class).times.p95
	n.zone.mu.Unlock()
	u := &urgent{
		n: n, id: id, req: r, arrived: now, end: end, forwarded: forwarded,
		msgs:   make(chan attempt.Msg, 4*maxSends+8),
		fences: map[int]time.Duration{},
		hedges: map[int]bool{},
		life: attempt.New(attempt.Request{
			ID: id, Deadline: end, Hedge: hedge, Tries: maxSends, Base: base, Forwarded: forwarded,
		}, lockedBudget{n}),
	}
	u.run(u.life.Update(now, attempt.ArriveMsg{}))
	timer := time.AfterFunc(time.Until(end), func() { u.send(attempt.TimerMsg{}) })
	defer timer.Stop()
	for u.reply == nil {
		select {
		case m := <-u.msgs:
			u.run(u.life.Update(time.Now(), m))
		case <-ctx.Done():
			u.run(u.life.Update(time.Now(), attempt.CancelMsg{}))
		}
	}
	if !u.life.Finished() {
		n.run(u.finish)
	}
	return *u.reply, u.sends
}

// finish follows the sends that are left after the reply. Each ends by its own timeout.
func (u *urgent) finish(ctx context.Context) {
	for !u.life.Finished() {
		select {
		case m := <-u.msgs:
			u.run(u.life.Update(time.Now(), m))
		case <-ctx.Done():
			return
		}
	}
}

// send delivers a message. The buffer holds all messages that one request can cause.
func (u *urgent) send(m attempt.Msg) {
	select {
	case u.msgs <- m:
	case <-u.n.ctx.Done():
	}
}

// run carries out commands.
func (u *urgent) run(cmds []attempt.Command) {
	for len(cmds) > 0 {
		more := u.command(cmds[0])
		cmds = append(more, cmds[1:]...)
	}
}

// command carries out one command and returns those that follow at once.
func (u *urgent) command(c attempt.Command) []attempt.Command {
	switch c := c.(type) {
	case attempt.ReserveCmd:
		return u.reserve(c)
	case attempt.SendCmd:
		u.sendCall(c)
	case attempt.ForwardCmd:
		u.passed = true
		go u.forward(c)
	case attempt.QueueCmd:
		return u.enqueue(c)
	case attempt.HedgeTimerCmd:
		time.AfterFunc(c.After, func() { u.send(attempt.TimerMsg{}) })
	case attempt.ReleaseCmd:
		u.release(c)
	case attempt.ReplyCmd:
		u.answer(c)
	}
	return nil
}

// sendCall sends the request to a worker.
func (u *urgent) sendCall(c attempt.SendCmd) {
	now := time.Now()
	z := &u.n.zone
	z.mu.Lock()
	fence, held := z.holdings.Fence(c.Worker, now)
	address := z.workers[c.Worker].address
	z.mu.Unlock()
	if !held {
		u.send(attempt.RefusedMsg{Attempt: c.Attempt})
		return
	}
	switch {
	case u.hedges[c.Attempt]:
		u.sends.hedges++
	case u.sends.first > 0:
		u.sends.retries++
	default:
		u.sends.first++
	}
	u.fences[c.Attempt] = fence.Before
	u.sentAt, u.worker = now, c.Worker
	call := fleet.Call{Fence: fence, Request: u.id, Attempt: c.Attempt, Class: u.req.Class, Body: u.req.Body}
	go func() {
		ctx, cancel := context.WithDeadline(u.n.ctx, u.end)
		defer cancel()
		a, err := u.n.fleet.Call(ctx, address, call)
		switch {
		case err == nil:
			u.send(attempt.AnswerMsg{Attempt: c.Attempt, Answer: a})
		case errors.Is(err, fleet.ErrRefused), errors.Is(err, fleet.ErrNotSent):
			u.send(attempt.RefusedMsg{Attempt: c.Attempt})
		default:
			u.n.log.WithError(err).WithField("worker", c.Worker).Debug("Call ended without an answer.")
			u.send(attempt.UnknownMsg{Attempt: c.Attempt})
		}
	}()
}

// forward passes the request on to a peer.
func (u *urgent) forward(c attempt.ForwardCmd) {
	ctx, cancel := context.WithDeadline(u.n.ctx, u.end)
	defer cancel()
	defer u.n.peers.take(c.Peer)()
	left := time.Until(u.end)
	rep, err := u.n.peer.Call(ctx, c.Peer, peer.Call{
		Request: u.id, Class: u.req.Class, Team: u.req.Team, Body: u.req.Body, Left: left, Base: c.Base,
	})
	if err != nil {
		u.n.peers.unanswered(c.Peer)
	}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		u.send(attempt.PeerReplyMsg{Outcome: attempt.NotRun, Reason: string(outcome.ReasonPeer)})
	case err != nil:
		u.n.log.WithError(err).Debug("Peer did not answer a forwarded request.")
		u.send(attempt.PeerReplyMsg{Outcome: attempt.Unknown, Reason: string(outcome.ReasonPeer)})
	default:
		r := rep.Reply
		u.send(attempt.PeerReplyMsg{
			Outcome: attempt.Outcome(r.Outcome), Reason: string(r.Reason), RetryAfter: r.RetryAfter,
			Answer: fleet.Answer{Request: rep.Request, Body: r.Body, Digest: rep.Digest, Took: r.Run, Failed: r.Failed},
		})
	}
}

// answer keeps the reply and learns from it.
func (u *urgent) answer(c attempt.ReplyCmd) {
	now := time.Now()
	u.reply = &outcome.Reply{
		Outcome: outcome.Outcome(c.Outcome), Reason: callReason(c.Reason), RetryAfter: c.RetryAfter,
		Body: c.Answer.Body, Failed: c.Answer.Failed, Attempts: u.sends.first + u.sends.retries + u.sends.hedges, Run: c.Answer.Took,
	}
	if c.Outcome == attempt.Done {
		u.reply.Reason, u.reply.Worker = outcome.ReasonNone, u.worker
	}
	if !u.sentAt.IsZero() {
		u.reply.Wait = u.sentAt.Sub(u.arrived)
	}
	z := &u.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	v := u.n.classOf(u.req.Class)
	v.queue.Cancel(u.id)
	delete(v.waiting, u.id)
	if c.Outcome == attempt.Done && u.worker != "" {
		total := now.Sub(u.arrived)
		v.queue.Observe(c.Answer.Took)
		v.times.observe(total)
		z.policy.Update(now, policy.CallMsg{Worker: u.worker, Class: u.req.Class, Took: c.Answer.Took, Total: total})
	}
}

// callReason maps a reason of the life of a request to that for the caller.
func callReason(reason string) outcome.Reason {
	if reason == "no_slot" {
		return outcome.ReasonNoWorker
	}
	return outcome.Reason(reason)
}

// PeerCall serves a request that a peer passed on. It is not passed on again.
func (n *Node) PeerCall(ctx context.Context, r peer.Call) (peer.CallReply, error) {
	if !n.inFlight.enter() {
		reply := stopping()
		if r.Key != "" {
			reply = stoppingKeyed()
		}
		return peer.CallReply{Reply: reply, Request: r.Request}, nil
	}
	defer n.inFlight.leave()
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	req := caller.Request{Class: r.Class, Team: r.Team, Key: r.Key, Body: r.Body}
	var reply outcome.Reply
	if r.Key != "" {
		reply = n.keyed(ctx, now, req)
	} else {
		reply, _ = n.idempotent(ctx, now, req, r.Request, r.Base, true)
	}
	return peer.CallReply{Reply: reply, Request: r.Request, Digest: xxhash.Sum64(reply.Body)}, nil
}

// percentiles returns the 95th and 99th percentile of the samples.
func percentiles(samples []time.Duration) (p95, p99 time.Duration) {
	s := slices.Clone(samples)
	slices.Sort(s)
	return s[len(s)*95/100], s[len(s)*99/100]
}
