package attempt

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Outcome says whether the request ran. It is reported to the caller.
type Outcome string

// The outcomes. NotRun is given only if the request certainly did not and will not run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Msg is an input of Lifecycle.Update.
type Msg interface{ isMsg() }

// StartMsg starts the request.
type StartMsg struct{}

// SlotReservedMsg reports, after ReserveCmd or QueueCmd, that a slot of the worker is reserved for the attempt.
type SlotReservedMsg struct {
	Attempt int
	Worker  string
}

// NoSlotMsg reports, after ReserveCmd, that this host offers no slot for the attempt. Peer is a host that the request
// can be forwarded to, or empty.
type NoSlotMsg struct {
	Attempt int
	Peer    string
}

// QueueRejectedMsg reports, after QueueCmd, that the request was not queued or was removed from the queue.
type QueueRejectedMsg struct {
	Attempt    int
	Reason     string
	RetryAfter time.Duration
}

// AnswerMsg carries the worker's answer to the call of the attempt.
type AnswerMsg struct {
	Attempt int
	Answer  fleet.Answer
}

// RefusedMsg reports that the worker certainly did not and will not start the attempt.
type RefusedMsg struct{ Attempt int }

// CallFailedMsg reports that the call of the attempt timed out or its connection failed, so that it is unknown whether
// the attempt ran.
type CallFailedMsg struct{ Attempt int }

// TimerMsg reports that the hedge timer or the deadline was reached.
type TimerMsg struct{}

// PeerReplyMsg carries the reply of the peer. Its outcome is Unknown if no reply came. Answer.Request names the request
// that the reply is for, whatever the outcome.
type PeerReplyMsg struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Answer     fleet.Answer
}

// CancelMsg reports that the caller no longer waits for the reply.
type CancelMsg struct{}

func (StartMsg) isMsg()         {}
func (SlotReservedMsg) isMsg()  {}
func (NoSlotMsg) isMsg()        {}
func (QueueRejectedMsg) isMsg() {}
func (AnswerMsg) isMsg()        {}
func (RefusedMsg) isMsg()       {}
func (CallFailedMsg) isMsg()    {}
func (TimerMsg) isMsg()         {}
func (PeerReplyMsg) isMsg()     {}
func (CancelMsg) isMsg()        {}

// Command is an effect that the caller carries out after Update.
type Command interface{ isCommand() }

// ReserveCmd asks for a slot on a worker that is not listed in Avoid.
type ReserveCmd struct {
	Attempt int
	Avoid   []string
	// Hedge is true if another attempt is still in flight.
	Hedge bool
}

// SendCmd sends the attempt to the worker.
type SendCmd struct {
	Worker  string
	Attempt int
}

// ForwardCmd sends the request to a peer, which numbers its attempts from AttemptOffset+1.
type ForwardCmd struct {
	Peer          string
	AttemptOffset int
}

// QueueCmd queues the request for a slot.
type QueueCmd struct{ Attempt int }

// HedgeTimerCmd asks for a TimerMsg after the delay.
type HedgeTimerCmd struct{ Delay time.Duration }

// ReplyCmd replies to the caller and removes the request from the queue.
type ReplyCmd struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Answer     fleet.Answer
}

// ReleaseCmd ends a reservation. If AttemptEnded is false, the worker may still run the attempt, so its slot is not
// certainly free.
type ReleaseCmd struct {
	Worker       string
	Attempt      int
	AttemptEnded bool
}

func (ReserveCmd) isCommand()    {}
func (SendCmd) isCommand()       {}
func (ForwardCmd) isCommand()    {}
func (QueueCmd) isCommand()      {}
func (HedgeTimerCmd) isCommand() {}
func (ReplyCmd) isCommand()      {}
func (ReleaseCmd) isCommand()    {}
