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
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// lockedBudget is the retry budget shared by all requests.
type lockedBudget struct{ n *Node }

// Take implements attempt.Budget under the lock of the budget.
func (b lockedBudget) Take(now time.Time) bool {
	b.n.budgetMu.Lock()
	defer b.n.budgetMu.Unlock()
	return b.n.budget.Take(now)
}

// Request serves an urgent request of a caller and returns the reply.
func (n *Node) Request(ctx context.Context, r caller.Request) outcome.Reply {
	if !n.inFlight.begin() {
		if r.Key != "" {
			return stoppingKeyedReply()
		}
		return stoppingReply()
	}
	defer n.inFlight.end()
	now := time.Now()
	reply, sends := n.runRequest(ctx, now, r)
	n.recordRequestMetrics(r, reply, sends, time.Since(now))
	return reply
}

// sendCounts holds how often one idempotent request was sent to workers of this host: the first send, retries and
// hedges. For a keyed request, only first is set, to 1.
type sendCounts struct{ first, retries, hedges int }

// runRequest checks a request against its class and runs it as an idempotent or a keyed one, here or at a peer.
func (n *Node) runRequest(ctx context.Context, now time.Time, r caller.Request) (outcome.Reply, sendCounts) {
	if !n.hasConfig() {
		return refuseRequest(r,
			outcome.NotRunReply(outcome.ReasonNotReady, "this host has no configuration yet")), sendCounts{}
	}
	c, ok := n.classConfig(r.Class)
	switch {
	case !ok:
		return refuseRequest(r, outcome.InvalidReply("class", "unknown class")), sendCounts{}
	case c.Kind != config.KindUrgent:
		return refuseRequest(r, outcome.InvalidReply("class", "is a batch class; submit a job instead")), sendCounts{}
	case !c.Idempotent && r.Key == "":
		return outcome.InvalidReply("key", "is required: the class is not idempotent"), sendCounts{}
	case c.Idempotent && r.Key != "":
		return refuseRequest(r, outcome.InvalidReply("key", "must be empty: the class is idempotent")), sendCounts{}
	case !c.Idempotent:
		return n.serveKeyed(ctx, now, r), sendCounts{first: 1}
	}
	return n.runIdempotent(ctx, now, r, uuid.NewString(), 0, false)
}

// refuseRequest returns the reply to a request that the configuration of this host does not allow. If the request has a
// key, the outcome is unknown, since another host with another configuration may have run it.
func refuseRequest(r caller.Request, reply outcome.Reply) outcome.Reply {
	if r.Key != "" {
		reply.Outcome = outcome.Unknown
	}
	return reply
}

// recordRequestMetrics records the metrics of a request. took is the time from its arrival to its reply.
func (n *Node) recordRequestMetrics(r caller.Request, reply outcome.Reply, s sendCounts, took time.Duration) {
	if n.metrics == nil {
		return
	}
	n.metrics.RecordRequest(context.Background(), telemetry.Request{
		Class: r.Class, Team: r.Team, Outcome: string(reply.Outcome), Reason: string(reply.Reason),
		WaitTime: reply.Wait, RunTime: reply.Run, Latency: took, Retries: s.retries, Hedges: s.hedges,
	})
}

// idempotentRequest executes the commands of the lifecycle of one idempotent request.
type idempotentRequest struct {
	n         *Node
	lifecycle *attempt.Lifecycle
	// fromPeer is set for a request that a peer forwarded to this host. forwardedToPeer is set once this host has
	// forwarded it to a peer.
	fromPeer, forwardedToPeer bool

	id        string
	req       caller.Request
	arrivedAt time.Time
	deadline  time.Time
	msgs      chan attempt.Msg
	// latestStarts holds, by attempt, the time on the worker's clock until which the call may start.
	latestStarts map[int]time.Duration
	sentAt       time.Time
	reply        *outcome.Reply
	// isHedge holds, by attempt, whether it was requested as a hedge.
	isHedge map[int]bool
	sends   sendCounts
	worker  string
}

// runIdempotent runs an idempotent request until its reply is decided. Sends that are still in flight then are awaited
// in the background, so that their slots are released. attemptOffset is one less than the number of the first attempt;
// fromPeer is set for a request that a peer forwarded.
func (n *Node) runIdempotent(
	ctx context.Context, now time.Time, r caller.Request, id string, attemptOffset int, fromPeer bool,
) (outcome.Reply, sendCounts) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(n.cfg.Limits.DefaultDeadline)
	}
	n.budgetMu.Lock()
	n.budget.CountRequest(now)
	n.budgetMu.Unlock()
	n.zone.mu.Lock()
	hedgeDelay := n.classViewOf(r.Class).latencies.p95
	n.zone.mu.Unlock()
	u := &idempotentRequest{
		n: n, id: id, req: r, arrivedAt: now, deadline: deadline, fromPeer: fromPeer,
		msgs:         make(chan attempt.Msg, 4*maxSends+8),
		latestStarts: map[int]time.Duration{},
		isHedge:      map[int]bool{},
		lifecycle: attempt.New(attempt.Request{
			ID: id, Deadline: deadline, HedgeDelay: hedgeDelay, MaxAttempts: maxSends,
			AttemptOffset: attemptOffset, FromPeer: fromPeer,
		}, lockedBudget{n}),
	}
	u.executeAll(u.lifecycle.Update(now, attempt.StartMsg{}))
	timer := time.AfterFunc(time.Until(deadline), func() { u.post(attempt.TimerMsg{}) })
	defer timer.Stop()
	for u.reply == nil {
		select {
		case m := <-u.msgs:
			u.executeAll(u.lifecycle.Update(time.Now(), m))
		case <-ctx.Done():
			u.executeAll(u.lifecycle.Update(time.Now(), attempt.CancelMsg{}))
		}
	}
	if !u.lifecycle.Finished() {
		n.runBackground(u.awaitSends)
	}
	return *u.reply, u.sends
}

// awaitSends handles the results of the sends that are still in flight after the reply. Each send ends by its own
// timeout.
func (u *idempotentRequest) awaitSends(ctx context.Context) {
	for !u.lifecycle.Finished() {
		select {
		case m := <-u.msgs:
			u.executeAll(u.lifecycle.Update(time.Now(), m))
		case <-ctx.Done():
			return
		}
	}
}

// post delivers a message to the goroutine of the request. The channel's buffer holds all messages that one request can
// cause, so that post does not block.
func (u *idempotentRequest) post(m attempt.Msg) {
	select {
	case u.msgs <- m:
	case <-u.n.ctx.Done():
	}
}

// executeAll executes commands, and those that follow from them, in order.
func (u *idempotentRequest) executeAll(cmds []attempt.Command) {
	for len(cmds) > 0 {
		more := u.execute(cmds[0])
		cmds = append(more, cmds[1:]...)
	}
}

// execute executes one command and returns the commands that follow from it at once.
func (u *idempotentRequest) execute(c attempt.Command) []attempt.Command {
	switch c := c.(type) {
	case attempt.ReserveCmd:
		return u.reserve(c)
	case attempt.SendCmd:
		u.sendCall(c)
	case attempt.ForwardCmd:
		u.forwardedToPeer = true
		go u.forward(c)
	case attempt.QueueCmd:
		return u.enqueue(c)
	case attempt.HedgeTimerCmd:
		time.AfterFunc(c.Delay, func() { u.post(attempt.TimerMsg{}) })
	case attempt.ReleaseCmd:
		u.release(c)
	case attempt.ReplyCmd:
		u.setReply(c)
	}
	return nil
}

// sendCall sends the request to a worker and posts the result. It posts a refusal if this host no longer holds the
// worker.
func (u *idempotentRequest) sendCall(c attempt.SendCmd) {
	now := time.Now()
	z := &u.n.zone
	z.mu.Lock()
	fence, held := z.leases.Fence(c.Worker, now)
	var address string
	if w := z.workers[c.Worker]; w != nil {
		address = w.address
	}
	z.mu.Unlock()
	if !held {
		u.post(attempt.RefusedMsg{Attempt: c.Attempt})
		return
	}
	switch {
	case u.isHedge[c.Attempt]:
		u.sends.hedges++
	case u.sends.first > 0:
		u.sends.retries++
	default:
		u.sends.first++
	}
	u.latestStarts[c.Attempt] = fence.Before
	u.sentAt, u.worker = now, c.Worker
	call := fleet.Call{Fence: fence, Request: u.id, Attempt: c.Attempt, Class: u.req.Class, Body: u.req.Body}
	go func() {
		ctx, cancel := context.WithDeadline(u.n.ctx, u.deadline)
		defer cancel()
		a, err := u.n.fleet.Call(ctx, address, call)
		switch {
		case err == nil:
			u.post(attempt.AnswerMsg{Attempt: c.Attempt, Answer: a})
		case errors.Is(err, fleet.ErrRefused), errors.Is(err, fleet.ErrNotSent):
			u.post(attempt.RefusedMsg{Attempt: c.Attempt})
		default:
			u.n.log.WithError(err).WithField("worker", c.Worker).Debug("Worker did not answer a call; its outcome is unknown.")
			u.post(attempt.CallFailedMsg{Attempt: c.Attempt})
		}
	}()
}

// forward forwards the request to a peer and posts its reply.
func (u *idempotentRequest) forward(c attempt.ForwardCmd) {
	ctx, cancel := context.WithDeadline(u.n.ctx, u.deadline)
	defer cancel()
	defer u.n.peers.countForwarded(c.Peer)()
	left := time.Until(u.deadline)
	rep, err := u.n.peerClient.Forward(ctx, c.Peer, peer.ForwardRequest{
		RequestID: u.id, Class: u.req.Class, Team: u.req.Team, Body: u.req.Body, TimeLeft: left,
		AttemptOffset: c.AttemptOffset,
	})
	if err != nil {
		u.n.peers.markUnresponsive(c.Peer)
	}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		u.post(attempt.PeerReplyMsg{
			Outcome: attempt.NotRun, Reason: string(outcome.ReasonPeer), Answer: fleet.Answer{Request: u.id},
		})
	case err != nil:
		u.n.log.WithError(err).Debug("Peer did not answer a forwarded request; its outcome is unknown.")
		u.post(attempt.PeerReplyMsg{Outcome: attempt.Unknown, Reason: string(outcome.ReasonPeer)})
	default:
		r := rep.Reply
		u.post(attempt.PeerReplyMsg{
			Outcome: attempt.Outcome(r.Outcome), Reason: string(r.Reason), RetryAfter: r.RetryAfter,
			Answer: fleet.Answer{Request: rep.RequestID, Body: r.Body, Digest: rep.Digest, Took: r.Run, Failed: r.Failed},
		})
	}
}

// setReply sets the reply to the caller, takes the request out of the queue and, if a worker of this host ran it,
// passes its times to the queue, the policy and the latency window, from which the hedging delay is computed.
func (u *idempotentRequest) setReply(c attempt.ReplyCmd) {
	now := time.Now()
	u.reply = &outcome.Reply{
		Outcome: outcome.Outcome(c.Outcome), Reason: replyReason(c.Reason), RetryAfter: c.RetryAfter,
		Body: c.Answer.Body, Failed: c.Answer.Failed,
		Attempts: u.sends.first + u.sends.retries + u.sends.hedges, Run: c.Answer.Took,
	}
	if c.Outcome == attempt.Done {
		u.reply.Reason, u.reply.Worker = outcome.ReasonNone, u.worker
	}
	if !u.sentAt.IsZero() {
		u.reply.Wait = u.sentAt.Sub(u.arrivedAt)
	}
	z := &u.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	v := u.n.classViewOf(u.req.Class)
	v.queue.Cancel(u.id)
	delete(v.waiting, u.id)
	if c.Outcome == attempt.Done && u.worker != "" {
		total := now.Sub(u.arrivedAt)
		v.queue.ObserveServiceTime(c.Answer.Took)
		v.latencies.observe(total)
		z.policy.Update(now, policy.CallMsg{Worker: u.worker, Class: u.req.Class, Took: c.Answer.Took, Latency: total})
	}
}

// replyReason converts a reason of the request's lifecycle to the reason in the reply to the caller.
func replyReason(reason string) outcome.Reason {
	if reason == "no_slot" {
		return outcome.ReasonNoWorker
	}
	return outcome.Reason(reason)
}

// PeerRequest serves a request that a peer forwarded. It does not forward the request again. The error is always nil.
func (n *Node) PeerRequest(ctx context.Context, r peer.ForwardRequest) (peer.ForwardReply, error) {
	if !n.inFlight.begin() {
		reply := stoppingReply()
		if r.Key != "" {
			reply = stoppingKeyedReply()
		}
		return peer.ForwardReply{Reply: reply, RequestID: r.RequestID}, nil
	}
	defer n.inFlight.end()
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.TimeLeft)
	defer cancel()
	req := caller.Request{Class: r.Class, Team: r.Team, Key: r.Key, Body: r.Body}
	var reply outcome.Reply
	decided := true
	if r.Key != "" {
		reply, decided = n.runKeyed(ctx, now, req, n.slotWait(ctx, now), func() bool {
			return r.ReturnIfNoSlot && n.keyStatus(r.Key).State == intent.StateNone
		})
	} else {
		reply, _ = n.runIdempotent(ctx, now, req, r.RequestID, r.AttemptOffset, true)
	}
	return peer.ForwardReply{
		Reply: reply, RequestID: r.RequestID, Digest: xxhash.Sum64(reply.Body), Returned: !decided,
	}, nil
}

// percentiles returns the 95th and 99th percentile of the samples, of which there must be at least one.
func percentiles(samples []time.Duration) (p95, p99 time.Duration) {
	s := slices.Clone(samples)
	slices.Sort(s)
	return s[len(s)*95/100], s[len(s)*99/100]
}
