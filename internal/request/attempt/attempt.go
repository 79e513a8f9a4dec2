// Package attempt implements the lifecycle of one idempotent urgent request as a state machine: it queues the request,
// sends attempts, retries and hedges, forwards to a peer and decides the outcome.
package attempt

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// peerAttemptOffset separates the attempt numbers of a peer from those of the host that forwarded the request. It
// exceeds the number of attempts of one host.
const peerAttemptOffset = 1000

// Budget limits retries and hedges.
type Budget interface {
	// Take takes one token for a retry or hedge and returns false if there is none.
	Take(now time.Time) bool
}

// Request describes the request whose lifecycle is tracked.
type Request struct {
	ID       string
	Deadline time.Time
	// HedgeDelay is the time from the first send to the hedge, 0 for no hedge. It is the 95th percentile of the class's
	// times from arrival to reply.
	HedgeDelay time.Duration
	// MaxAttempts limits the attempts of this host, whether they are sent or get no slot. The attempt that follows a peer
	// that did not run the request may exceed it by one.
	MaxAttempts int
	// AttemptOffset is one less than the number of the first attempt.
	AttemptOffset int
	// FromPeer is true for a request that a peer forwarded; such a request is not forwarded again.
	FromPeer bool
}

// attemptPhase is the progress of one attempt.
type attemptPhase int

const (
	phaseReserving attemptPhase = iota
	phaseSent
	phaseEnded
)

// attemptState is the state of one attempt.
type attemptState struct {
	worker string
	phase  attemptPhase
	hedge  bool
}

// Lifecycle is the state machine of one request. Its caller carries out the commands that Update returns.
type Lifecycle struct {
	req         Request
	budget      Budget
	attempts    map[int]*attemptState
	lastAttempt int
	// reserving counts attempts that wait for a slot, inFlight attempts that were sent and have not ended.
	reserving, inFlight int
	// forwarded is true once the request went to a peer, awaitingPeer from then until the peer replied.
	forwarded, awaitingPeer bool
	// mayHaveRun is true once a send or forward ended without certainty that the request did not run.
	mayHaveRun bool
	// failedAnswer is the newest answer saying that the backend server ran the request and it failed.
	failedAnswer *fleet.Answer
	// usedWorkers are the workers that attempts were sent to. ReserveCmd lists them in Avoid.
	usedWorkers []string
	// hedgeAt is when the hedge is due, zero if none is scheduled.
	hedgeAt time.Time
	replied bool
	// reason says why the request was refused last, by the queue, a worker or the peer, and is no_slot until then.
	// retryAfter is the newest delay that the queue or the peer gave.
	reason     string
	retryAfter time.Duration
}

// New returns the lifecycle of the request. It sends nothing until Update receives a StartMsg.
func New(req Request, budget Budget) *Lifecycle {
	return &Lifecycle{
		req: req, budget: budget, attempts: map[int]*attemptState{}, lastAttempt: req.AttemptOffset, reason: "no_slot",
	}
}

// Finished reports whether the caller has its reply and the reservation of every sent attempt was released.
func (l *Lifecycle) Finished() bool { return l.replied && l.inFlight == 0 }

// Update applies the message and returns the commands to carry out, in order.
func (l *Lifecycle) Update(now time.Time, msg Msg) []Command {
	switch m := msg.(type) {
	case StartMsg:
		if l.lastAttempt == l.req.AttemptOffset && !l.replied {
			return l.reserve(false)
		}
	case SlotReservedMsg:
		return l.handleSlotReserved(now, m)
	case NoSlotMsg:
		return l.handleNoSlot(now, m)
	case QueueRejectedMsg:
		if l.endSlotWait(m.Attempt) {
			l.reason, l.retryAfter = m.Reason, m.RetryAfter
			return l.replyIfIdle()
		}
	case AnswerMsg:
		return l.handleAnswer(now, m)
	case RefusedMsg:
		if state := l.endSend(m.Attempt); state != nil {
			l.reason = "refused"
			return append([]Command{ReleaseCmd{state.worker, m.Attempt, true}}, l.retryOrReply(now)...)
		}
	case CallFailedMsg:
		if state := l.endSend(m.Attempt); state != nil {
			l.mayHaveRun = true
			return append([]Command{ReleaseCmd{state.worker, m.Attempt, false}}, l.retryOrReply(now)...)
		}
	case TimerMsg:
		return l.handleTimer(now)
	case PeerReplyMsg:
		return l.handlePeerReply(now, m)
	case CancelMsg:
		return l.replyWithKnownOutcome("cancelled")
	}
	return nil
}

// reserve starts an attempt by asking for a slot on a worker that has not been used yet.
func (l *Lifecycle) reserve(hedge bool) []Command {
	l.lastAttempt++
	l.reserving++
	l.attempts[l.lastAttempt] = &attemptState{hedge: hedge}
	return []Command{ReserveCmd{Attempt: l.lastAttempt, Avoid: append([]string(nil), l.usedWorkers...), Hedge: hedge}}
}

// endSlotWait ends the wait of an attempt for a slot. It returns false if the attempt was not waiting for one.
func (l *Lifecycle) endSlotWait(attempt int) bool {
	state := l.attempts[attempt]
	if state == nil || state.phase != phaseReserving {
		return false
	}
	state.phase = phaseEnded
	l.reserving--
	return true
}

// endSend ends an attempt that was sent and returns its state, or nil if the attempt is not in flight.
func (l *Lifecycle) endSend(attempt int) *attemptState {
	state := l.attempts[attempt]
	if state == nil || state.phase != phaseSent {
		return nil
	}
	state.phase = phaseEnded
	l.inFlight--
	return state
}

// handleSlotReserved sends the attempt. If the caller has its reply already or the deadline has passed, it releases the
// slot instead, and replies if there was no reply.
func (l *Lifecycle) handleSlotReserved(now time.Time, m SlotReservedMsg) []Command {
	state := l.attempts[m.Attempt]
	if state == nil || !l.endSlotWait(m.Attempt) {
		return nil
	}
	if l.replied || !now.Before(l.req.Deadline) {
		return append([]Command{ReleaseCmd{m.Worker, m.Attempt, true}}, l.replyWithKnownOutcome("deadline")...)
	}
	state.worker, state.phase = m.Worker, phaseSent
	l.inFlight++
	l.usedWorkers = append(l.usedWorkers, m.Worker)
	cmds := []Command{SendCmd{m.Worker, m.Attempt}}
	if l.hedgeAt.IsZero() && l.req.HedgeDelay > 0 {
		l.hedgeAt = now.Add(l.req.HedgeDelay)
		cmds = append(cmds, HedgeTimerCmd{l.req.HedgeDelay})
	}
	return cmds
}

// handleNoSlot drops the attempt if it is a hedge. Otherwise it forwards the request to the peer if that is allowed, or
// else queues it.
func (l *Lifecycle) handleNoSlot(now time.Time, m NoSlotMsg) []Command {
	state := l.attempts[m.Attempt]
	if state == nil || state.phase != phaseReserving || l.replied {
		return nil
	}
	switch {
	case state.hedge:
		l.endSlotWait(m.Attempt)
		return l.retryOrReply(now)
	case m.Peer != "" && !l.req.FromPeer && !l.forwarded:
		l.endSlotWait(m.Attempt)
		l.forwarded, l.awaitingPeer = true, true
		return []Command{ForwardCmd{Peer: m.Peer, AttemptOffset: l.req.AttemptOffset + peerAttemptOffset}}
	}
	return []Command{QueueCmd{m.Attempt}}
}

// handleAnswer replies with a good answer of the attempt; after a failed or damaged one, it retries. An answer to
// another request or attempt is ignored.
func (l *Lifecycle) handleAnswer(now time.Time, m AnswerMsg) []Command {
	a := m.Answer
	if a.Request != l.req.ID || a.Attempt != m.Attempt {
		return nil
	}
	state := l.endSend(m.Attempt)
	if state == nil {
		return nil
	}
	cmds := []Command{ReleaseCmd{state.worker, m.Attempt, true}}
	switch {
	case xxhash.Sum64(a.Body) != a.Digest:
		l.mayHaveRun = true
	case a.Failed:
		l.failedAnswer = &a
	default:
		return append(cmds, l.replyOnce(ReplyCmd{Outcome: Done, Answer: a})...)
	}
	return append(cmds, l.retryOrReply(now)...)
}

// handleTimer replies at the deadline. It starts a hedge that is due if the request has exactly one attempt in flight.
func (l *Lifecycle) handleTimer(now time.Time) []Command {
	if !now.Before(l.req.Deadline) {
		return l.replyWithKnownOutcome("deadline")
	}
	due := !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt)
	if due && !l.replied && l.inFlight == 1 && l.reserving == 0 && l.takeAttempt(now) {
		return l.reserve(true)
	}
	return nil
}

// handlePeerReply replies with the peer's good answer, starts an attempt on this host if the peer did not run the
// request, and retries after any other reply.
func (l *Lifecycle) handlePeerReply(now time.Time, m PeerReplyMsg) []Command {
	if !l.awaitingPeer {
		return nil
	}
	l.awaitingPeer = false
	a := m.Answer
	switch {
	case m.Outcome == NotRun && a.Request == l.req.ID:
		// The peer did not run the request, so the local attempt that follows takes nothing from the budget.
		if l.reason, l.retryAfter = m.Reason, m.RetryAfter; !l.replied && now.Before(l.req.Deadline) {
			return l.reserve(false)
		}
	case m.Outcome != Done || a.Request != l.req.ID || xxhash.Sum64(a.Body) != a.Digest:
		l.mayHaveRun = true
	case a.Failed:
		l.failedAnswer = &a
	default:
		return l.replyOnce(ReplyCmd{Outcome: Done, Answer: a})
	}
	return l.retryOrReply(now)
}

// takeAttempt reports whether another attempt is allowed by MaxAttempts, the deadline and the budget. If so, it takes a
// token from the budget.
func (l *Lifecycle) takeAttempt(now time.Time) bool {
	return l.lastAttempt-l.req.AttemptOffset < l.req.MaxAttempts && now.Before(l.req.Deadline) && l.budget.Take(now)
}

// retryOrReply starts another attempt after one that brought no good answer, or replies if no more are allowed. It does
// nothing while an attempt or a forward is under way.
func (l *Lifecycle) retryOrReply(now time.Time) []Command {
	if l.replied || l.inFlight > 0 || l.reserving > 0 || l.awaitingPeer {
		return nil
	}
	if l.takeAttempt(now) {
		return l.reserve(false)
	}
	return l.replyIfIdle()
}

// replyIfIdle replies if no attempt or forward is under way.
func (l *Lifecycle) replyIfIdle() []Command {
	if l.inFlight > 0 || l.reserving > 0 || l.awaitingPeer {
		return nil
	}
	return l.replyWithKnownOutcome(l.reason)
}

// replyWithKnownOutcome replies with what is known at this time: the failed answer if there is one, Unknown if the
// request may have run or may still run, NotRun otherwise.
func (l *Lifecycle) replyWithKnownOutcome(reason string) []Command {
	switch {
	case l.failedAnswer != nil:
		return l.replyOnce(ReplyCmd{Outcome: Done, Reason: "failed", Answer: *l.failedAnswer})
	case l.mayHaveRun || l.inFlight > 0 || l.awaitingPeer:
		return l.replyOnce(ReplyCmd{Outcome: Unknown, Reason: reason})
	}
	return l.replyOnce(ReplyCmd{Outcome: NotRun, Reason: reason, RetryAfter: l.retryAfter})
}

// replyOnce returns the reply, or nothing if there was one before.
func (l *Lifecycle) replyOnce(r ReplyCmd) []Command {
	if l.replied {
		return nil
	}
	l.replied = true
	return []Command{r}
}
