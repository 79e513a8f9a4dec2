package intent

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// MaxAttempts is the number of attempts after which a key is closed instead of being tried again.
const MaxAttempts = 3

// Outcome says whether a request ran. It is reported to the caller.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// The reasons of replies. Other reasons come from Close records, and from the errors of CheckKey without the key.
const (
	ReasonLogUnreachable  = "log unreachable"
	ReasonDeadlinePassed  = "deadline passed"
	ReasonWorkerRestarted = "worker restarted"
	ReasonConflict        = "key is in use with other content"
	ReasonKeyExpired      = "key expired"
	ReasonAnswerDropped   = "ran, but its answer is no longer kept"
)

// Request is a caller's request with a key, at one host.
type Request struct {
	Key string
	// Digest is the digest of the request's content. A key that is in use with another digest is a conflict.
	Digest uint64
	Class  string
	Zone   string
	Host   string
	// Deadline is when the caller must have a reply.
	Deadline time.Time
	// PollInterval is the time between two look-ups of a call.
	PollInterval time.Duration
	// SlotWait is how long the request waits for a slot while no worker has a free one. After that its key is closed.
	SlotWait time.Duration
}

// Msg is an event of a request, which is passed to Flow.Update.
type Msg interface{ isMsg() }

// Messages of a request.
type (
	// StartMsg begins the request.
	StartMsg struct{}
	// SlotReservedMsg responds to ReserveSlotCmd: a slot was reserved on a worker. LatestStart is in the worker's clock.
	SlotReservedMsg struct {
		Worker      string
		Boot        string
		LatestStart time.Duration
	}
	// NoWorkerMsg responds to ReserveSlotCmd: no worker has a free slot now.
	NoWorkerMsg struct{ Reason string }
	// WrittenMsg responds to a Write command: the record was read back, and Err is the result of applying it.
	WrittenMsg struct{ Err error }
	// LogUnreachableMsg responds to a Write command: the record was not read back in time and may still take effect.
	LogUnreachableMsg struct{}
	// SentMsg responds to SendCallCmd. An Err of fleet.ErrRefused means that the attempt will certainly not start.
	SentMsg struct {
		Answer fleet.Answer
		Err    error
	}
	// LookedUpMsg responds to LookUpCallCmd.
	LookedUpMsg struct {
		Status fleet.CallStatus
		Err    error
	}
	// TickMsg reports that time has passed or that a new record of the key was read.
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

// Command is an effect that the caller of Flow.Update carries out.
type Command interface{ isCommand() }

// Commands of a request.
type (
	// ReserveSlotCmd requests a slot on a worker other than AvoidWorker.
	ReserveSlotCmd struct{ AvoidWorker string }
	// ReleaseSlotCmd gives the reserved slot back. MayRun is set if the call may still run; the slot is then free only
	// once the status of the worker says so.
	ReleaseSlotCmd struct{ MayRun bool }
	// WriteIntentCmd writes an intent and reports with WrittenMsg, once it was read back, whether it was accepted.
	WriteIntentCmd struct{ Intent Intent }
	// WriteAnswerCmd writes an answer in the same way.
	WriteAnswerCmd struct{ Answer Answer }
	// WriteCloseCmd writes a close in the same way.
	WriteCloseCmd struct{ Close Close }
	// SendCallCmd sends the call of an intent that was accepted for this request. It is issued once per intent and must
	// not be retried: the refusal of a repeated message says nothing about the first one.
	SendCallCmd struct{ Intent Intent }
	// LookUpCallCmd asks the worker of an intent for the state of its call, not before At.
	LookUpCallCmd struct {
		Intent Intent
		At     time.Time
	}
	// ReplyCmd sends the reply to the caller and ends the request.
	ReplyCmd struct {
		Outcome Outcome
		Reason  string
		Answer  Answer
	}
)

func (ReserveSlotCmd) isCommand() {}
func (ReleaseSlotCmd) isCommand() {}
func (WriteIntentCmd) isCommand() {}
func (WriteAnswerCmd) isCommand() {}
func (WriteCloseCmd) isCommand()  {}
func (SendCallCmd) isCommand()    {}
func (LookUpCallCmd) isCommand()  {}
func (ReplyCmd) isCommand()       {}

// phase is the step that a request is in, which determines the event that it waits for.
type phase uint8

const (
	phaseIdle phase = iota
	phaseReserving
	phaseAwaitingSlot
	phaseWritingIntent
	phaseWritingAnswer
	phaseWritingClose
	phaseSending
	phaseLookingUp
	phaseReplied
)

// Flow is the state machine of one request with a key at one host. The zero value is not usable.
type Flow struct {
	req   Request
	phase phase
	// reserved is set while the request has a reserved slot.
	reserved bool
	// inFlight is set while the call of this request may run at the worker.
	inFlight bool
	// intent is the one that the request has written, sent or looked up. The log may hold a later one by now.
	intent Intent
	// unstartedAttempt is the last attempt that has certainly not started and never will, 0 if none is known.
	unstartedAttempt int
	// avoidWorker is the worker of that attempt.
	avoidWorker string
	// slotWaitUntil is until when the request waits for a slot, the zero time before it has found none.
	slotWaitUntil time.Time
	// answer is the answer of the worker, valid if answered is set.
	answer   Answer
	answered bool
}

// NewFlow returns the flow of a request.
func NewFlow(req Request) *Flow { return &Flow{req: req} }

// Replied reports whether a ReplyCmd was issued for the request.
func (f *Flow) Replied() bool { return f.phase == phaseReplied }

// AwaitsSlot reports whether the request waits because no worker had a free slot. It has no slot and no call then, and
// waits for no result of a command.
func (f *Flow) AwaitsSlot() bool { return f.phase == phaseAwaitingSlot }

// Update handles an event of the request and returns the commands to carry out. status is the key's status in the table
// of this host.
//
// A WrittenMsg must come only after the host's table has applied the record, and status must be at least as new.
// The outcome is not_run only if the log has closed the key, the key is in use with other content, or the key is
// malformed, so that every host refuses it. If the log does not determine the outcome before the deadline, it is unknown.
func (f *Flow) Update(now time.Time, status KeyStatus, msg Msg) []Command {
	if f.phase == phaseReplied {
		// A slot that is reserved after the reply is not needed any more.
		if _, ok := msg.(SlotReservedMsg); ok {
			return []Command{ReleaseSlotCmd{}}
		}
		return nil
	}
	switch m := msg.(type) {
	case StartMsg:
		switch err := CheckKey(now, f.req.Key); {
		case errors.Is(err, ErrInvalidKey):
			return f.reply(OutcomeNotRun, ErrInvalidKey.Error())
		case errors.Is(err, ErrKeyAhead):
			return f.reply(OutcomeUnknown, ErrKeyAhead.Error())
		case err != nil:
			return f.reply(OutcomeUnknown, ErrKeyTooOld.Error())
		}
	case SlotReservedMsg:
		f.reserved = true
		return f.handleSlotReserved(now, status, m)
	case NoWorkerMsg:
		if f.phase == phaseReserving {
			return f.handleNoWorker(now, status, m)
		}
	case LogUnreachableMsg:
		if f.phase == phaseWritingAnswer {
			return f.replyDone(f.answer)
		}
		return f.reply(OutcomeUnknown, ReasonLogUnreachable)
	case WrittenMsg:
		return f.handleWritten(now, status, m)
	case SentMsg:
		if f.phase == phaseSending {
			return f.handleSent(now, status, m)
		}
	case LookedUpMsg:
		if f.phase == phaseLookingUp {
			return f.handleLookedUp(now, status, m)
		}
	case TickMsg:
		if f.phase == phaseAwaitingSlot {
			f.phase = phaseIdle
		}
	}
	return f.continueFromLog(now, status)
}

// replyIfSettled replies if the log or the deadline determines the outcome, and returns nil otherwise.
func (f *Flow) replyIfSettled(now time.Time, status KeyStatus) []Command {
	hasIntent := status.Intent.Attempt > 0
	switch {
	case hasIntent && (status.Intent.Digest != f.req.Digest || status.Intent.Kind != KeyKindCall):
		return f.reply(OutcomeNotRun, ReasonConflict)
	case status.State == StateAnswered && !status.BodyDropped:
		return f.replyDone(status.Answer)
	case status.State == StateAnswered && f.answered && f.answer.Attempt == status.Answer.Attempt:
		return f.replyDone(f.answer)
	case status.State == StateAnswered:
		return f.reply(OutcomeUnknown, ReasonAnswerDropped)
	case status.State == StateClosed:
		return f.reply(OutcomeNotRun, status.Close.Reason)
	case status.State == StateExpired:
		return f.reply(OutcomeUnknown, ReasonKeyExpired)
	case now.Before(f.req.Deadline):
		return nil
	case f.answered:
		return f.replyDone(f.answer)
	}
	return f.reply(OutcomeUnknown, ReasonDeadlinePassed)
}

// continueFromLog replies or takes the next step that the key's status allows.
func (f *Flow) continueFromLog(now time.Time, status KeyStatus) []Command {
	if cmds := f.replyIfSettled(now, status); cmds != nil {
		return cmds
	}
	if f.phase != phaseIdle {
		return nil
	}
	if status.State == StateNone || status.Intent.Attempt == f.unstartedAttempt {
		if status.Intent.Attempt >= MaxAttempts {
			return f.close(status, "no worker started the call")
		}
		f.phase = phaseReserving
		return []Command{ReserveSlotCmd{AvoidWorker: f.avoidWorker}}
	}
	return f.lookUpCall(status, now)
}

// mayClaim reports whether the key's status allows this request to claim the next attempt.
func (f *Flow) mayClaim(status KeyStatus) bool {
	return status.State == StateNone || status.State == StateClaimed && status.Intent.Attempt == f.unstartedAttempt
}

func (f *Flow) handleSlotReserved(now time.Time, status KeyStatus, m SlotReservedMsg) []Command {
	if f.phase == phaseReserving {
		f.phase = phaseIdle
		if cmds := f.replyIfSettled(now, status); cmds != nil {
			return cmds
		}
		if f.mayClaim(status) {
			f.phase = phaseWritingIntent
			f.intent = Intent{
				Key: f.req.Key, Digest: f.req.Digest, Kind: KeyKindCall, Class: f.req.Class, Zone: f.req.Zone, Host: f.req.Host,
				Worker: m.Worker, Boot: m.Boot, LatestStart: m.LatestStart, Attempt: status.Intent.Attempt + 1,
			}
			if status.State == StateClaimed {
				f.intent.PreviousOffset = status.Offset
			}
			return []Command{WriteIntentCmd{Intent: f.intent}}
		}
	}
	return append(f.release(), f.continueFromLog(now, status)...)
}

func (f *Flow) handleNoWorker(now time.Time, status KeyStatus, m NoWorkerMsg) []Command {
	f.phase = phaseIdle
	if cmds := f.replyIfSettled(now, status); cmds != nil {
		return cmds
	}
	if !f.mayClaim(status) {
		return f.continueFromLog(now, status)
	}
	if f.slotWaitUntil.IsZero() {
		f.slotWaitUntil = now.Add(f.req.SlotWait)
	}
	if now.Before(f.slotWaitUntil) {
		f.phase = phaseAwaitingSlot
		return nil
	}
	return f.close(status, m.Reason)
}

// close writes that the key will never run. An empty reason stands for the lack of a free slot.
func (f *Flow) close(status KeyStatus, reason string) []Command {
	f.phase = phaseWritingClose
	if reason == "" {
		reason = "no worker has a free slot"
	}
	c := Close{Key: f.req.Key, Attempt: status.Intent.Attempt, Reason: reason}
	if status.State == StateClaimed {
		c.PreviousOffset = status.Offset
	}
	return []Command{WriteCloseCmd{Close: c}}
}

func (f *Flow) handleWritten(now time.Time, status KeyStatus, m WrittenMsg) []Command {
	previous := f.phase
	if previous == phaseWritingIntent || previous == phaseWritingAnswer || previous == phaseWritingClose {
		f.phase = phaseIdle
	}
	if cmds := f.replyIfSettled(now, status); cmds != nil {
		return cmds
	}
	// An attempt has one accepted intent. If the log has a later attempt, another request has found the worker's clock
	// past LatestStart, and this call can no longer start.
	if previous == phaseWritingIntent && m.Err == nil && status.Intent.Attempt == f.intent.Attempt {
		f.phase, f.inFlight = phaseSending, true
		return []Command{SendCallCmd{Intent: f.intent}}
	}
	return append(f.release(), f.continueFromLog(now, status)...)
}

func (f *Flow) handleSent(now time.Time, status KeyStatus, m SentMsg) []Command {
	f.phase = phaseIdle
	switch {
	case m.Err == nil && m.Answer.Request == f.req.Key && m.Answer.Attempt == f.intent.Attempt:
		f.inFlight = false
		return append(f.release(), f.writeAnswer(now, status, m.Answer)...)
	case errors.Is(m.Err, fleet.ErrRefused):
		f.inFlight = false
		f.unstartedAttempt, f.avoidWorker = f.intent.Attempt, f.intent.Worker
	}
	return append(f.release(), f.continueFromLog(now, status)...)
}

func (f *Flow) handleLookedUp(now time.Time, status KeyStatus, m LookedUpMsg) []Command {
	f.phase = phaseIdle
	if cmds := f.replyIfSettled(now, status); cmds != nil {
		return cmds
	}
	st, i := m.Status, f.intent
	switch {
	case status.Intent.Attempt != i.Attempt:
		return f.continueFromLog(now, status)
	case m.Err != nil:
	case st.Boot != i.Boot:
		return f.reply(OutcomeUnknown, ReasonWorkerRestarted)
	case st.State == fleet.CallDone && st.Answer != nil && st.Answer.Request == i.Key && st.Answer.Attempt == i.Attempt:
		return f.writeAnswer(now, status, *st.Answer)
	case st.State == fleet.CallNotStarted && st.Clock > i.LatestStart:
		f.unstartedAttempt, f.avoidWorker = i.Attempt, i.Worker
		return f.continueFromLog(now, status)
	}
	return f.lookUpCall(status, now.Add(f.req.PollInterval))
}

// writeAnswer writes the worker's answer to an attempt, unless the request is settled.
func (f *Flow) writeAnswer(now time.Time, status KeyStatus, a fleet.Answer) []Command {
	f.answer = Answer{Key: f.req.Key, Attempt: a.Attempt, Body: a.Body, Digest: a.Digest, Failed: a.Failed}
	f.answered = true
	if cmds := f.replyIfSettled(now, status); cmds != nil {
		return cmds
	}
	f.phase = phaseWritingAnswer
	return []Command{WriteAnswerCmd{Answer: f.answer}}
}

func (f *Flow) lookUpCall(status KeyStatus, at time.Time) []Command {
	f.phase, f.intent = phaseLookingUp, status.Intent
	return []Command{LookUpCallCmd{Intent: status.Intent, At: at}}
}

func (f *Flow) release() []Command {
	if !f.reserved {
		return nil
	}
	f.reserved = false
	return []Command{ReleaseSlotCmd{MayRun: f.inFlight}}
}

func (f *Flow) replyDone(a Answer) []Command {
	cmds := f.reply(OutcomeDone, "")
	cmds[len(cmds)-1] = ReplyCmd{Outcome: OutcomeDone, Answer: a}
	return cmds
}

func (f *Flow) reply(outcome Outcome, reason string) []Command {
	f.phase = phaseReplied
	return append(f.release(), ReplyCmd{Outcome: outcome, Reason: reason})
}
