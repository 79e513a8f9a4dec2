// Package attempt is the life of one idempotent urgent request: queueing, tries, hedges and its outcome.
package attempt

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// peerBase separates the attempt numbers of a peer from those of the host that forwarded the request.
const peerBase = 1000

// Budget pays for retries and hedges.
type Budget interface {
	Take(now time.Time) bool
}

// Request describes the request.
type Request struct {
	ID       string
	Deadline time.Time
	// Hedge is the class's learned 95th percentile, 0 for no hedge.
	Hedge time.Duration
	// Tries bounds the sends to workers of this host.
	Tries int
	// Base is the number before that of the first attempt.
	Base int
	// Forwarded is set for a request from a peer, which is not forwarded again.
	Forwarded bool
}

type state int

const (
	asked state = iota
	sent
	ended
)

type try struct {
	worker string
	state  state
	hedge  bool
}

// Life is the aggregate of one request.
type Life struct {
	req    Request
	budget Budget
	tries  map[int]*try
	last   int
	// asking and flying count tries that are asked for and sent.
	asking, flying int
	// forwarded is set once a peer got the request, waiting until it replied.
	forwarded, waiting bool
	// maybe is set once a send ended without certainty that the request did not run.
	maybe bool
	// failed is the newest answer that says the backend server ran the request in vain.
	failed  *fleet.Answer
	avoid   []string
	hedgeAt time.Time
	replied bool
	reason  string
	retry   time.Duration
}

// New returns the life of the request.
func New(req Request, budget Budget) *Life {
	return &Life{req: req, budget: budget, tries: map[int]*try{}, last: req.Base, reason: "no_slot"}
}

// Finished reports whether the caller has its reply and nothing is left to be released.
func (l *Life) Finished() bool { return l.replied && l.flying == 0 }

// Update applies the message and returns what is to be done.
func (l *Life) Update(now time.Time, msg Msg) []Command {
	switch m := msg.(type) {
	case ArriveMsg:
		if l.last == l.req.Base && !l.replied {
			return l.ask(false)
		}
	case SlotMsg:
		return l.slot(now, m)
	case NoSlotMsg:
		return l.noSlot(now, m)
	case RejectedMsg:
		if l.drop(m.Attempt) {
			l.reason, l.retry = m.Reason, m.RetryAfter
			return l.settle()
		}
	case AnswerMsg:
		return l.answer(now, m)
	case RefusedMsg:
		if t := l.land(m.Attempt); t != nil {
			l.reason = "refused"
			return append([]Command{ReleaseCmd{t.worker, m.Attempt, true}}, l.again(now)...)
		}
	case UnknownMsg:
		if t := l.land(m.Attempt); t != nil {
			l.maybe = true
			return append([]Command{ReleaseCmd{t.worker, m.Attempt, false}}, l.again(now)...)
		}
	case TimerMsg:
		return l.timer(now)
	case PeerReplyMsg:
		return l.peer(now, m)
	case CancelMsg:
		return l.stop("cancelled")
	}
	return nil
}

func (l *Life) ask(hedge bool) []Command {
	l.last++
	l.asking++
	l.tries[l.last] = &try{hedge: hedge}
	return []Command{ReserveCmd{Attempt: l.last, Avoid: append([]string(nil), l.avoid...), Hedge: hedge}}
}

// drop ends a try that got no slot. It returns false if the attempt was not asked for.
func (l *Life) drop(attempt int) bool {
	t := l.tries[attempt]
	if t == nil || t.state != asked {
		return false
	}
	t.state = ended
	l.asking--
	return true
}

// land ends a try that was sent, or returns nil if the attempt is not in flight.
func (l *Life) land(attempt int) *try {
	t := l.tries[attempt]
	if t == nil || t.state != sent {
		return nil
	}
	t.state = ended
	l.flying--
	return t
}

func (l *Life) slot(now time.Time, m SlotMsg) []Command {
	t := l.tries[m.Attempt]
	if t == nil || !l.drop(m.Attempt) {
		return nil
	}
	if l.replied || !now.Before(l.req.Deadline) {
		return append([]Command{ReleaseCmd{m.Worker, m.Attempt, true}}, l.stop("deadline")...)
	}
	t.worker, t.state = m.Worker, sent
	l.flying++
	l.avoid = append(l.avoid, m.Worker)
	cmds := []Command{SendCmd{m.Worker, m.Attempt}}
	if l.hedgeAt.IsZero() && l.req.Hedge > 0 {
		l.hedgeAt = now.Add(l.req.Hedge)
		cmds = append(cmds, HedgeTimerCmd{l.req.Hedge})
	}
	return cmds
}

func (l *Life) noSlot(now time.Time, m NoSlotMsg) []Command {
	t := l.tries[m.Attempt]
	if t == nil || t.state != asked || l.replied {
		return nil
	}
	switch {
	case t.hedge:
		l.drop(m.Attempt)
		return l.again(now)
	case m.Peer != "" && !l.req.Forwarded && !l.forwarded:
		l.drop(m.Attempt)
		l.forwarded, l.waiting = true, true
		return []Command{ForwardCmd{Peer: m.Peer, Base: l.req.Base + peerBase}}
	}
	return []Command{QueueCmd{m.Attempt}}
}

func (l *Life) answer(now time.Time, m AnswerMsg) []Command {
	a := m.Answer
	if a.Request != l.req.ID || a.Attempt != m.Attempt {
		return nil
	}
	t := l.land(m.Attempt)
	if t == nil {
		return nil
	}
	cmds := []Command{ReleaseCmd{t.worker, m.Attempt, true}}
	switch {
	case xxhash.Sum64(a.Body) != a.Digest:
		l.maybe = true
	case a.Failed:
		l.failed = &a
	default:
		return append(cmds, l.reply(ReplyCmd{Outcome: Done, Answer: a})...)
	}
	return append(cmds, l.again(now)...)
}

func (l *Life) timer(now time.Time) []Command {
	if !now.Before(l.req.Deadline) {
		return l.stop("deadline")
	}
	due := !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt)
	if due && !l.replied && l.flying == 1 && l.asking == 0 && l.more(now) {
		return l.ask(true)
	}
	return nil
}

func (l *Life) peer(now time.Time, m PeerReplyMsg) []Command {
	if !l.waiting {
		return nil
	}
	l.waiting = false
	a := m.Answer
	switch {
	case m.Outcome == NotRun:
		// The peer's hop cost no execution, so that the local try that follows takes nothing from the budget.
		if l.reason, l.retry = m.Reason, m.RetryAfter; !l.replied && now.Before(l.req.Deadline) {
			return l.ask(false)
		}
	case m.Outcome != Done || a.Request != l.req.ID || xxhash.Sum64(a.Body) != a.Digest:
		l.maybe = true
	case a.Failed:
		l.failed = &a
	default:
		return l.reply(ReplyCmd{Outcome: Done, Answer: a})
	}
	return l.again(now)
}

// more reports whether another try is within the bounds and the budget, and takes it from the budget.
func (l *Life) more(now time.Time) bool {
	return l.last-l.req.Base < l.req.Tries && now.Before(l.req.Deadline) && l.budget.Take(now)
}

// again retries after a try that brought no good answer, if none is under way.
func (l *Life) again(now time.Time) []Command {
	if l.replied || l.flying > 0 || l.asking > 0 || l.waiting {
		return nil
	}
	if l.more(now) {
		return l.ask(false)
	}
	return l.settle()
}

// settle replies if nothing is under way.
func (l *Life) settle() []Command {
	if l.flying > 0 || l.asking > 0 || l.waiting {
		return nil
	}
	return l.stop(l.reason)
}

// stop replies with what is known.
func (l *Life) stop(reason string) []Command {
	switch {
	case l.failed != nil:
		return l.reply(ReplyCmd{Outcome: Done, Reason: "failed", Answer: *l.failed})
	case l.maybe || l.flying > 0 || l.waiting:
		return l.reply(ReplyCmd{Outcome: Unknown, Reason: reason})
	}
	return l.reply(ReplyCmd{Outcome: NotRun, Reason: reason, RetryAfter: l.retry})
}

func (l *Life) reply(r ReplyCmd) []Command {
	if l.replied {
		return nil
	}
	l.replied = true
	return []Command{r}
}
