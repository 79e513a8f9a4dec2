package intent

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// MaxAttempts is the number of attempts after which a key is closed instead of tried again.
const MaxAttempts = 3

// Result is the outcome of a request for its caller.
type Result string

// The results of a request.
const (
	ResultDone    Result = "done"
	ResultNotRun  Result = "not_run"
	ResultUnknown Result = "unknown"
)

// The reasons of replies, besides those of close records and of CheckKey.
const (
	ReasonLog       = "log unreachable"
	ReasonDeadline  = "deadline passed"
	ReasonRestarted = "worker restarted"
	ReasonConflict  = "key is in use with other content"
	ReasonExpired   = "key expired"
	ReasonDropped   = "ran, but its answer is no longer kept"
)

// Request is a caller's request on a key, at one host.
type Request struct {
	Key    string
	Digest uint64
	Class  string
	Zone   string
	Host   string
	// Deadline is when the caller must have a reply.
	Deadline time.Time
	// Poll is the time between two look-ups of a call.
	Poll time.Duration
}

// Msg is an event of a request.
type Msg interface{ isMsg() }

// Messages of a request.
type (
	// StartMsg begins the request.
	StartMsg struct{}
	// ReservedMsg answers Reserve: a slot was reserved on a worker. Before is in its clock.
	ReservedMsg struct {
		Worker string
		Boot   string
		Before time.Duration
	}
	// NoWorkerMsg answers Reserve: no slot can be had in time.
	NoWorkerMsg struct{ Reason string }
	// WrittenMsg answers a Write command: the record was read back with the verdict Err.
	WrittenMsg struct{ Err error }
	// UnreachableMsg answers a Write command: the record was not read back in time and may still take effect.
	UnreachableMsg struct{}
	// SentMsg answers Send. An Err of fleet.ErrRefused means that the attempt will certainly not start.
	SentMsg struct {
		Answer fleet.Answer
		Err    error
	}
	// LookedUpMsg answers AskWorker.
	LookedUpMsg struct {
		Status fleet.CallStatus
		Err    error
	}
	// TickMsg tells that time has passed or that the log has a new record of the key.
	TickMsg struct{}
)

func (StartMsg) isMsg()       {}
func (ReservedMsg) isMsg()    {}
func (NoWorkerMsg) isMsg()    {}
func (WrittenMsg) isMsg()     {}
func (UnreachableMsg) isMsg() {}
func (SentMsg) isMsg()        {}
func (LookedUpMsg) isMsg()    {}
func (TickMsg) isMsg()        {}

// Command is an effect that the runtime carries out.
type Command interface{ isCommand() }

// Commands of a request.
type (
	// Reserve asks for a slot on a worker other than Avoid.
	Reserve struct{ Avoid string }
	// Release gives the reserved slot back. Sent is set if the call may still run, so that the slot is free only once
	// the worker's status says so.
	Release struct{ Sent bool }
	// WriteIntent writes an intent and reports its verdict, by WrittenMsg, once it was read back.
	WriteIntent struct{ Intent Intent }
	// WriteAnswer writes an answer in the same way.
	WriteAnswer struct{ Answer Answer }
	// WriteClose writes a close in the same way.
	WriteClose struct{ Close Close }
	// Send sends the call of an intent that this request won. It is given once per intent and must not be repeated
	// by the runtime: the refusal of a repeated message says nothing about the first one.
	Send struct{ Intent Intent }
	// AskWorker looks a call up at its worker, not before At.
	AskWorker struct {
		Intent Intent
		At     time.Time
	}
	// Reply ends the request.
	Reply struct {
		Result Result
		Reason string
		Answer Answer
	}
)

func (Reserve) isCommand()     {}
func (Release) isCommand()     {}
func (WriteIntent) isCommand() {}
func (WriteAnswer) isCommand() {}
func (WriteClose) isCommand()  {}
func (Send) isCommand()        {}
func (AskWorker) isCommand()   {}
func (Reply) isCommand()       {}

// phase is what a request waits for.
type phase uint8

const (
	idle phase = iota
	reserving
	writingIntent
	writingAnswer
	writingClose
	sending
	asking
	replied
)

// Flow is the state of one request on a key at one host. The zero value is not usable.
type Flow struct {
	req   Request
	phase phase
	// reserved is set while the request owns a slot.
	reserved bool
	// inFlight is set while the call of this request may run at the worker.
	inFlight bool
	// intent is the one that the request has written, sent or asked for. The log may have moved on since.
	intent Intent
	// never is the last attempt that certainly never started and never will, 0 if none is known.
	never int
	// avoid is the worker of that attempt.
	avoid string
	// answer is what the worker answered, valid if answered is set.
	answer   Answer
	answered bool
}

// NewFlow returns the flow of a request.
func NewFlow(req Request) *Flow { return &Flow{req: req} }

// Done reports whether the request was replied to.
func (f *Flow) Done() bool { return f.phase == replied }

// Decide handles an event of the request, given what this host has read of the key.
//
// An answer to Write must come only after the host's table has applied the record, and out must be as new as that.
// not_run is replied only when the log has closed the key, when it is bound to other content, or when every host
// refuses the key. Whatever the log cannot settle before the deadline is unknown.
func (f *Flow) Decide(now time.Time, out Outcome, msg Msg) []Command {
	if f.phase == replied {
		if _, ok := msg.(ReservedMsg); ok {
			return []Command{Release{}}
		}
		return nil
	}
	switch m := msg.(type) {
	case StartMsg:
		if err := CheckKey(now, f.req.Key); errors.Is(err, ErrOld) {
			return f.reply(ResultUnknown, err.Error())
		} else if err != nil {
			return f.reply(ResultNotRun, err.Error())
		}
	case ReservedMsg:
		f.reserved = true
		return f.reservedSlot(now, out, m)
	case NoWorkerMsg:
		if f.phase == reserving {
			return f.noWorker(now, out, m)
		}
	case UnreachableMsg:
		if f.phase == writingAnswer {
			return f.done(f.answer)
		}
		return f.reply(ResultUnknown, ReasonLog)
	case WrittenMsg:
		return f.written(now, out, m)
	case SentMsg:
		if f.phase == sending {
			return f.sent(now, out, m)
		}
	case LookedUpMsg:
		if f.phase == asking {
			return f.lookedUp(now, out, m)
		}
	}
	return f.follow(now, out)
}

// settled replies if the log, or the deadline, has settled the request.
func (f *Flow) settled(now time.Time, out Outcome) []Command {
	bound := out.Intent.Attempt > 0
	switch {
	case bound && (out.Intent.Digest != f.req.Digest || out.Intent.Kind != Call):
		return f.reply(ResultNotRun, ReasonConflict)
	case out.State == Answered && !out.Dropped:
		return f.done(out.Answer)
	case out.State == Answered && f.answered && f.answer.Attempt == out.Answer.Attempt:
		return f.done(f.answer)
	case out.State == Answered:
		return f.reply(ResultUnknown, ReasonDropped)
	case out.State == Closed:
		return f.reply(ResultNotRun, out.Close.Reason)
	case out.State == Expired:
		return f.reply(ResultUnknown, ReasonExpired)
	case now.Before(f.req.Deadline):
		return nil
	case f.answered:
		return f.done(f.answer)
	}
	return f.reply(ResultUnknown, ReasonDeadline)
}

// follow takes the next step from what the log says.
func (f *Flow) follow(now time.Time, out Outcome) []Command {
	if cmds := f.settled(now, out); cmds != nil {
		return cmds
	}
	if f.phase != idle {
		return nil
	}
	if out.State == None || out.Intent.Attempt == f.never {
		if out.Intent.Attempt >= MaxAttempts {
			return f.close(out, "no worker started the call")
		}
		f.phase = reserving
		return []Command{Reserve{Avoid: f.avoid}}
	}
	return f.ask(out, now)
}

// mayClaim reports whether the next attempt may be claimed after what the log says.
func (f *Flow) mayClaim(out Outcome) bool {
	return out.State == None || out.State == Started && out.Intent.Attempt == f.never
}

func (f *Flow) reservedSlot(now time.Time, out Outcome, m ReservedMsg) []Command {
	if f.phase == reserving {
		f.phase = idle
		if cmds := f.settled(now, out); cmds != nil {
			return cmds
		}
		if f.mayClaim(out) {
			f.phase = writingIntent
			f.intent = Intent{
				Key: f.req.Key, Digest: f.req.Digest, Kind: Call, Class: f.req.Class, Zone: f.req.Zone, Host: f.req.Host,
				Worker: m.Worker, Boot: m.Boot, Before: m.Before, Attempt: out.Intent.Attempt + 1,
			}
			if out.State == Started {
				f.intent.After = out.Offset
			}
			return []Command{WriteIntent{Intent: f.intent}}
		}
	}
	return append(f.release(), f.follow(now, out)...)
}

func (f *Flow) noWorker(now time.Time, out Outcome, m NoWorkerMsg) []Command {
	f.phase = idle
	if cmds := f.settled(now, out); cmds != nil {
		return cmds
	}
	if !f.mayClaim(out) {
		return f.follow(now, out)
	}
	return f.close(out, m.Reason)
}

func (f *Flow) close(out Outcome, reason string) []Command {
	f.phase = writingClose
	if reason == "" {
		reason = "no worker has a free slot"
	}
	c := Close{Key: f.req.Key, Attempt: out.Intent.Attempt, Reason: reason}
	if out.State == Started {
		c.After = out.Offset
	}
	return []Command{WriteClose{Close: c}}
}

func (f *Flow) written(now time.Time, out Outcome, m WrittenMsg) []Command {
	was := f.phase
	if was == writingIntent || was == writingAnswer || was == writingClose {
		f.phase = idle
	}
	if cmds := f.settled(now, out); cmds != nil {
		return cmds
	}
	// An attempt has one valid intent. If the log has moved on to another attempt, the worker's clock is past Before.
	if was == writingIntent && m.Err == nil && out.Intent.Attempt == f.intent.Attempt {
		f.phase, f.inFlight = sending, true
		return []Command{Send{Intent: f.intent}}
	}
	return append(f.release(), f.follow(now, out)...)
}

func (f *Flow) sent(now time.Time, out Outcome, m SentMsg) []Command {
	f.phase = idle
	switch {
	case m.Err == nil && m.Answer.Request == f.req.Key && m.Answer.Attempt == f.intent.Attempt:
		f.inFlight = false
		return append(f.release(), f.record(now, out, m.Answer)...)
	case errors.Is(m.Err, fleet.ErrRefused):
		f.inFlight = false
		f.never, f.avoid = f.intent.Attempt, f.intent.Worker
	}
	return append(f.release(), f.follow(now, out)...)
}

func (f *Flow) lookedUp(now time.Time, out Outcome, m LookedUpMsg) []Command {
	f.phase = idle
	if cmds := f.settled(now, out); cmds != nil {
		return cmds
	}
	st, i := m.Status, f.intent
	switch {
	case out.Intent.Attempt != i.Attempt:
		return f.follow(now, out)
	case m.Err != nil:
	case st.Boot != i.Boot:
		return f.reply(ResultUnknown, ReasonRestarted)
	case st.State == fleet.CallDone && st.Answer != nil && st.Answer.Request == i.Key && st.Answer.Attempt == i.Attempt:
		return f.record(now, out, *st.Answer)
	case st.State == fleet.CallNotStarted && st.Clock > i.Before:
		f.never, f.avoid = i.Attempt, i.Worker
		return f.follow(now, out)
	}
	return f.ask(out, now.Add(f.req.Poll))
}

// record writes the worker's answer to the last attempt.
func (f *Flow) record(now time.Time, out Outcome, a fleet.Answer) []Command {
	f.answer = Answer{Key: f.req.Key, Attempt: a.Attempt, Body: a.Body, Digest: a.Digest, Failed: a.Failed}
	f.answered = true
	if cmds := f.settled(now, out); cmds != nil {
		return cmds
	}
	f.phase = writingAnswer
	return []Command{WriteAnswer{Answer: f.answer}}
}

func (f *Flow) ask(out Outcome, at time.Time) []Command {
	f.phase, f.intent = asking, out.Intent
	return []Command{AskWorker{Intent: out.Intent, At: at}}
}

func (f *Flow) release() []Command {
	if !f.reserved {
		return nil
	}
	f.reserved = false
	return []Command{Release{Sent: f.inFlight}}
}

func (f *Flow) done(a Answer) []Command {
	cmds := f.reply(ResultDone, "")
	cmds[len(cmds)-1] = Reply{Result: ResultDone, Answer: a}
	return cmds
}

func (f *Flow) reply(result Result, reason string) []Command {
	f.phase = replied
	return append(f.release(), Reply{Result: result, Reason: reason})
}
