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
	ReasonLogUnreachable  = "log unreachable"
	ReasonDeadlinePassed  = "deadline passed"
	ReasonWorkerRestarted = "worker restarted"
	ReasonConflict        = "key is in use with other content"
	ReasonKeyExpired      = "key expired"
	ReasonAnswerDropped   = "ran, but its answer is no longer kept"
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
	// PollInterval is the time between two look-ups of a call.
	PollInterval time.Duration
}

// Msg is an event of a request.
type Msg interface{ isMsg() }

// Messages of a request.
type (
	// StartMsg begins the request.
	StartMsg struct{}
	// SlotReservedMsg answers Reserve: a slot was reserved on a worker. Before is in its clock.
	SlotReservedMsg struct {
		Worker      string
		Boot        string
		LatestStart time.Duration
	}
	// NoWorkerMsg answers Reserve: no slot can be had in time.
	NoWorkerMsg struct{ Reason string }
	// WrittenMsg answers a Write command: the record was read back with the verdict Err.
	WrittenMsg struct{ Err error }
	// LogUnreachableMsg answers a Write command: the record was not read back in time and may still take effect.
	LogUnreachableMsg struct{}
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

func (StartMsg) isMsg()          {}
func (SlotReservedMsg) isMsg()   {}
func (NoWorkerMsg) isMsg()       {}
func (WrittenMsg) isMsg()        {}
func (LogUnreachableMsg) isMsg() {}
func (SentMsg) isMsg()           {}
func (LookedUpMsg) isMsg()       {}
func (TickMsg) isMsg()           {}

// Command is an effect that the runtime carries out.
type Command interface{ isCommand() }

// Commands of a request.
type (
	// ReserveSlot asks for a slot on a worker other than Avoid.
	ReserveSlot struct{ AvoidWorker string }
	// ReleaseSlot gives the reserved slot back. Sent is set if the call may still run, so that the slot is free only once
	// the worker's status says so.
	ReleaseSlot struct{ MayRun bool }
	// WriteIntent writes an intent and reports its verdict, by WrittenMsg, once it was read back.
	WriteIntent struct{ Intent Intent }
	// WriteAnswer writes an answer in the same way.
	WriteAnswer struct{ Answer Answer }
	// WriteClose writes a close in the same way.
	WriteClose struct{ Close Close }
	// SendCall sends the call of an intent that this request won. It is given once per intent and must not be repeated
	// by the runtime: the refusal of a repeated message says nothing about the first one.
	SendCall struct{ Intent Intent }
	// LookUpCall looks a call up at its worker, not before At.
	LookUpCall struct {
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

func (ReserveSlot) isCommand() {}
func (ReleaseSlot) isCommand() {}
func (WriteIntent) isCommand() {}
func (WriteAnswer) isCommand() {}
func (WriteClose) isCommand()  {}
func (SendCall) isCommand()    {}
func (LookUpCall) isCommand()  {}
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
	lookingUp
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
	// unstartedAttempt is the last attempt that certainly unstartedAttempt started and unstartedAttempt will, 0 if none is known.
	unstartedAttempt int
	// avoidWorker is the worker of that attempt.
	avoidWorker string
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
func (f *Flow) Decide(now time.Time, out KeyStatus, msg Msg) []Command {
	if f.phase == replied {
		if _, ok := msg.(SlotReservedMsg); ok {
			return []Command{ReleaseSlot{}}
		}
		return nil
	}
	switch m := msg.(type) {
	case StartMsg:
		if err := CheckKey(now, f.req.Key); errors.Is(err, ErrKeyTooOld) {
			return f.reply(ResultUnknown, err.Error())
		} else if err != nil {
			return f.reply(ResultNotRun, err.Error())
		}
	case SlotReservedMsg:
		f.reserved = true
		return f.handleSlotReserved(now, out, m)
	case NoWorkerMsg:
		if f.phase == reserving {
			return f.handleNoWorker(now, out, m)
		}
	case LogUnreachableMsg:
		if f.phase == writingAnswer {
			return f.replyDone(f.answer)
		}
		return f.reply(ResultUnknown, ReasonLogUnreachable)
	case WrittenMsg:
		return f.handleWritten(now, out, m)
	case SentMsg:
		if f.phase == sending {
			return f.handleSent(now, out, m)
		}
	case LookedUpMsg:
		if f.phase == lookingUp {
			return f.handleLookedUp(now, out, m)
		}
	}
	return f.continueFromLog(now, out)
}

// replyIfSettled replies if the log, or the deadline, has replyIfSettled the request.
func (f *Flow) replyIfSettled(now time.Time, out KeyStatus) []Command {
	bound := out.Intent.Attempt > 0
	switch {
	case bound && (out.Intent.Digest != f.req.Digest || out.Intent.Kind != KeyKindCall):
		return f.reply(ResultNotRun, ReasonConflict)
	case out.State == StateAnswered && !out.Dropped:
		return f.replyDone(out.Answer)
	case out.State == StateAnswered && f.answered && f.answer.Attempt == out.Answer.Attempt:
		return f.replyDone(f.answer)
	case out.State == StateAnswered:
		return f.reply(ResultUnknown, ReasonAnswerDropped)
	case out.State == StateClosed:
		return f.reply(ResultNotRun, out.Close.Reason)
	case out.State == StateExpired:
		return f.reply(ResultUnknown, ReasonKeyExpired)
	case now.Before(f.req.Deadline):
		return nil
	case f.answered:
		return f.replyDone(f.answer)
	}
	return f.reply(ResultUnknown, ReasonDeadlinePassed)
}

// continueFromLog takes the next step from what the log says.
func (f *Flow) continueFromLog(now time.Time, out KeyStatus) []Command {
	if cmds := f.replyIfSettled(now, out); cmds != nil {
		return cmds
	}
	if f.phase != idle {
		return nil
	}
	if out.State == StateNone || out.Intent.Attempt == f.unstartedAttempt {
		if out.Intent.Attempt >= MaxAttempts {
			return f.close(out, "no worker started the call")
		}
		f.phase = reserving
		return []Command{ReserveSlot{AvoidWorker: f.avoidWorker}}
	}
	return f.lookUpCall(out, now)
}

// mayClaim reports whether the next attempt may be claimed after what the log says.
func (f *Flow) mayClaim(out KeyStatus) bool {
	return out.State == StateNone || out.State == StateStarted && out.Intent.Attempt == f.unstartedAttempt
}

func (f *Flow) handleSlotReserved(now time.Time, out KeyStatus, m SlotReservedMsg) []Command {
	if f.phase == reserving {
		f.phase = idle
		if cmds := f.replyIfSettled(now, out); cmds != nil {
			return cmds
		}
		if f.mayClaim(out) {
			f.phase = writingIntent
			f.intent = Intent{
				Key: f.req.Key, Digest: f.req.Digest, Kind: KeyKindCall, Class: f.req.Class, Zone: f.req.Zone, Host: f.req.Host,
				Worker: m.Worker, Boot: m.Boot, LatestStart: m.LatestStart, Attempt: out.Intent.Attempt + 1,
			}
			if out.State == StateStarted {
				f.intent.PreviousOffset = out.Offset
			}
			return []Command{WriteIntent{Intent: f.intent}}
		}
	}
	return append(f.release(), f.continueFromLog(now, out)...)
}

func (f *Flow) handleNoWorker(now time.Time, out KeyStatus, m NoWorkerMsg) []Command {
	f.phase = idle
	if cmds := f.replyIfSettled(now, out); cmds != nil {
		return cmds
	}
	if !f.mayClaim(out) {
		return f.continueFromLog(now, out)
	}
	return f.close(out, m.Reason)
}

func (f *Flow) close(out KeyStatus, reason string) []Command {
	f.phase = writingClose
	if reason == "" {
		reason = "no worker has a free slot"
	}
	c := Close{Key: f.req.Key, Attempt: out.Intent.Attempt, Reason: reason}
	if out.State == StateStarted {
		c.PreviousOffset = out.Offset
	}
	return []Command{WriteClose{Close: c}}
}

func (f *Flow) handleWritten(now time.Time, out KeyStatus, m WrittenMsg) []Command {
	was := f.phase
	if was == writingIntent || was == writingAnswer || was == writingClose {
		f.phase = idle
	}
	if cmds := f.replyIfSettled(now, out); cmds != nil {
		return cmds
	}
	// An attempt has one valid intent. If the log has moved on to another attempt, the worker's clock is past Before.
	if was == writingIntent && m.Err == nil && out.Intent.Attempt == f.intent.Attempt {
		f.phase, f.inFlight = sending, true
		return []Command{SendCall{Intent: f.intent}}
	}
	return append(f.release(), f.continueFromLog(now, out)...)
}

func (f *Flow) handleSent(now time.Time, out KeyStatus, m SentMsg) []Command {
	f.phase = idle
	switch {
	case m.Err == nil && m.Answer.Request == f.req.Key && m.Answer.Attempt == f.intent.Attempt:
		f.inFlight = false
		return append(f.release(), f.writeAnswer(now, out, m.Answer)...)
	case errors.Is(m.Err, fleet.ErrRefused):
		f.inFlight = false
		f.unstartedAttempt, f.avoidWorker = f.intent.Attempt, f.intent.Worker
	}
	return append(f.release(), f.continueFromLog(now, out)...)
}

func (f *Flow) handleLookedUp(now time.Time, out KeyStatus, m LookedUpMsg) []Command {
	f.phase = idle
	if cmds := f.replyIfSettled(now, out); cmds != nil {
		return cmds
	}
	st, i := m.Status, f.intent
	switch {
	case out.Intent.Attempt != i.Attempt:
		return f.continueFromLog(now, out)
	case m.Err != nil:
	case st.Boot != i.Boot:
		return f.reply(ResultUnknown, ReasonWorkerRestarted)
	case st.State == fleet.CallDone && st.Answer != nil && st.Answer.Request == i.Key && st.Answer.Attempt == i.Attempt:
		return f.writeAnswer(now, out, *st.Answer)
	case st.State == fleet.CallNotStarted && st.Clock > i.LatestStart:
		f.unstartedAttempt, f.avoidWorker = i.Attempt, i.Worker
		return f.continueFromLog(now, out)
	}
	return f.lookUpCall(out, now.Add(f.req.PollInterval))
}

// writeAnswer writes the worker's answer to the last attempt.
func (f *Flow) writeAnswer(now time.Time, out KeyStatus, a fleet.Answer) []Command {
	f.answer = Answer{Key: f.req.Key, Attempt: a.Attempt, Body: a.Body, Digest: a.Digest, Failed: a.Failed}
	f.answered = true
	if cmds := f.replyIfSettled(now, out); cmds != nil {
		return cmds
	}
	f.phase = writingAnswer
	return []Command{WriteAnswer{Answer: f.answer}}
}

func (f *Flow) lookUpCall(out KeyStatus, at time.Time) []Command {
	f.phase, f.intent = lookingUp, out.Intent
	return []Command{LookUpCall{Intent: out.Intent, At: at}}
}

func (f *Flow) release() []Command {
	if !f.reserved {
		return nil
	}
	f.reserved = false
	return []Command{ReleaseSlot{MayRun: f.inFlight}}
}

func (f *Flow) replyDone(a Answer) []Command {
	cmds := f.reply(ResultDone, "")
	cmds[len(cmds)-1] = Reply{Result: ResultDone, Answer: a}
	return cmds
}

func (f *Flow) reply(result Result, reason string) []Command {
	f.phase = replied
	return append(f.release(), Reply{Result: result, Reason: reason})
}
