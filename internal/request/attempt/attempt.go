// Package attempt is the life of one idempotent urgent request: queueing, tries, hedges and its outcome.
package attempt

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// peerAttemptOffset separates the attempt numbers of a peer from those of the host that forwarded the request.
const peerAttemptOffset = 1000

// Budget pays for retries and hedges.
type Budget interface {
	Take(now time.Time) bool
}

// Request describes the request.
type Request struct {
	ID       string
	Deadline time.Time
	// HedgeDelay is the class's learned 95th percentile, 0 for no hedge.
	HedgeDelay time.Duration
	// MaxAttempts bounds the sends to workers of this host.
	MaxAttempts int
	// AttemptOffset is the number before that of the first attempt.
	AttemptOffset int
	// Forwarded is set for a request from a peer, which is not forwarded again.
	Forwarded bool
}

type attemptPhase int

const (
	phaseReserving attemptPhase = iota
	phaseSent
	phaseEnded
)

type attemptState struct {
	worker string
	phase  attemptPhase
	hedge  bool
}

// Lifecycle is the aggregate of one request.
type Lifecycle struct {
	req         Request
	budget      Budget
	attempts    map[int]*attemptState
	lastAttempt int
	// reserving and inFlight count tries that are asked for and sent.
	reserving, inFlight int
	// forwarded is set once a peer got the request, awaitingPeer until it replied.
	forwarded, awaitingPeer bool
	// mayHaveRun is set once a send ended without certainty that the request did not run.
	mayHaveRun bool
	// failedAnswer is the newest answer that says the backend server ran the request in vain.
	failedAnswer *fleet.Answer
	avoid        []string
	hedgeAt      time.Time
	replied      bool
	reason       string
	retryAfter   time.Duration
}

// New returns the life of the request.
func New(req Request, budget Budget) *Lifecycle {
	return &Lifecycle{req: req, budget: budget, attempts: map[int]*attemptState{}, lastAttempt: req.AttemptOffset, reason: "no_slot"}
}

// Finished reports whether the caller has its reply and nothing is left to be released.
func (l *Lifecycle) Finished() bool { return l.replied && l.inFlight == 0 }

// Update applies the message and returns what is to be done.
func (l *Lifecycle) Update(now time.Time, msg Msg) []Command {
	switch m := msg.(type) {
	case StartMsg:
		if l.lastAttempt == l.req.AttemptOffset && !l.replied {
			return l.reserve(false)
		}
	case SlotReservedMsg:
		return l.handleSlot(now, m)
	case NoSlotMsg:
		return l.handleNoSlot(now, m)
	case QueueRejectedMsg:
		if l.endReservation(m.Attempt) {
			l.reason, l.retryAfter = m.Reason, m.RetryAfter
			return l.replyIfIdle()
		}
	case AnswerMsg:
		return l.handleAnswer(now, m)
	case RefusedMsg:
		if t := l.endSend(m.Attempt); t != nil {
			l.reason = "refused"
			return append([]Command{ReleaseCmd{t.worker, m.Attempt, true}}, l.retryOrReply(now)...)
		}
	case CallFailedMsg:
		if t := l.endSend(m.Attempt); t != nil {
			l.mayHaveRun = true
			return append([]Command{ReleaseCmd{t.worker, m.Attempt, false}}, l.retryOrReply(now)...)
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

func (l *Lifecycle) reserve(hedge bool) []Command {
	l.lastAttempt++
	l.reserving++
	l.attempts[l.lastAttempt] = &attemptState{hedge: hedge}
	return []Command{ReserveCmd{Attempt: l.lastAttempt, Avoid: append([]string(nil), l.avoid...), Hedge: hedge}}
}

// endReservation ends a try that got no slot. It returns false if the attempt was not asked for.
func (l *Lifecycle) endReservation(attempt int) bool {
	t := l.attempts[attempt]
	if t == nil || t.phase != phaseReserving {
		return false
	}
	t.phase = phaseEnded
	l.reserving--
	return true
}

// endSend ends a try that was sent, or returns nil if the attempt is not in flight.
func (l *Lifecycle) endSend(attempt int) *attemptState {
	t := l.attempts[attempt]
	if t == nil || t.phase != phaseSent {
		return nil
	}
	t.phase = phaseEnded
	l.inFlight--
	return t
}

func (l *Lifecycle) handleSlot(now time.Time, m SlotReservedMsg) []Command {
	t := l.attempts[m.Attempt]
	if t == nil || !l.endReservation(m.Attempt) {
		return nil
	}
	if l.replied || !now.Before(l.req.Deadline) {
		return append([]Command{ReleaseCmd{m.Worker, m.Attempt, true}}, l.replyWithKnownOutcome("deadline")...)
	}
	t.worker, t.phase = m.Worker, phaseSent
	l.inFlight++
	l.avoid = append(l.avoid, m.Worker)
	cmds := []Command{SendCmd{m.Worker, m.Attempt}}
	if l.hedgeAt.IsZero() && l.req.HedgeDelay > 0 {
		l.hedgeAt = now.Add(l.req.HedgeDelay)
		cmds = append(cmds, HedgeTimerCmd{l.req.HedgeDelay})
	}
	return cmds
}

func (l *Lifecycle) handleNoSlot(now time.Time, m NoSlotMsg) []Command {
	t := l.attempts[m.Attempt]
	if t == nil || t.phase != phaseReserving || l.replied {
		return nil
	}
	switch {
	case t.hedge:
		l.endReservation(m.Attempt)
		return l.retryOrReply(now)
	case m.Peer != "" && !l.req.Forwarded && !l.forwarded:
		l.endReservation(m.Attempt)
		l.forwarded, l.awaitingPeer = true, true
		return []Command{ForwardCmd{Peer: m.Peer, AttemptOffset: l.req.AttemptOffset + peerAttemptOffset}}
	}
	return []Command{QueueCmd{m.Attempt}}
}

func (l *Lifecycle) handleAnswer(now time.Time, m AnswerMsg) []Command {
	a := m.Answer
	if a.Request != l.req.ID || a.Attempt != m.Attempt {
		return nil
	}
	t := l.endSend(m.Attempt)
	if t == nil {
		return nil
	}
	cmds := []Command{ReleaseCmd{t.worker, m.Attempt, true}}
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

func (l *Lifecycle) handlePeerReply(now time.Time, m PeerReplyMsg) []Command {
	if !l.awaitingPeer {
		return nil
	}
	l.awaitingPeer = false
	a := m.Answer
	switch {
	case m.Outcome == NotRun:
		// The peer's hop cost no execution, so that the local try that follows takes nothing from the budget.
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

// takeAttempt reports whether another try is within the bounds and the budget, and takes it from the budget.
func (l *Lifecycle) takeAttempt(now time.Time) bool {
	return l.lastAttempt-l.req.AttemptOffset < l.req.MaxAttempts && now.Before(l.req.Deadline) && l.budget.Take(now)
}

// retryOrReply retries after a try that brought no good answer, if none is under way.
func (l *Lifecycle) retryOrReply(now time.Time) []Command {
	if l.replied || l.inFlight > 0 || l.reserving > 0 || l.awaitingPeer {
		return nil
	}
	if l.takeAttempt(now) {
		return l.reserve(false)
	}
	return l.replyIfIdle()
}

// replyIfIdle replies if nothing is under way.
func (l *Lifecycle) replyIfIdle() []Command {
	if l.inFlight > 0 || l.reserving > 0 || l.awaitingPeer {
		return nil
	}
	return l.replyWithKnownOutcome(l.reason)
}

// replyWithKnownOutcome replies with what is known.
func (l *Lifecycle) replyWithKnownOutcome(reason string) []Command {
	switch {
	case l.failedAnswer != nil:
		return l.replyOnce(ReplyCmd{Outcome: Done, Reason: "failed", Answer: *l.failedAnswer})
	case l.mayHaveRun || l.inFlight > 0 || l.awaitingPeer:
		return l.replyOnce(ReplyCmd{Outcome: Unknown, Reason: reason})
	}
	return l.replyOnce(ReplyCmd{Outcome: NotRun, Reason: reason, RetryAfter: l.retryAfter})
}

func (l *Lifecycle) replyOnce(r ReplyCmd) []Command {
	if l.replied {
		return nil
	}
	l.replied = true
	return []Command{r}
}
