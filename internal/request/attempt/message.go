package attempt

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Outcome is what the caller is told.
type Outcome string

// The outcomes. NotRun is given only if the request certainly did not and will not run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Msg is an input of Life.Update.
type Msg interface{ isMsg() }

// StartMsg starts the request.
type StartMsg struct{}

// SlotReservedMsg is the reply to ReserveCmd or QueueCmd: a slot of the worker is reserved for the attempt.
type SlotReservedMsg struct {
	Attempt int
	Worker  string
}

// NoSlotMsg is the reply to ReserveCmd when no held worker has a free slot. Peer has some, or is empty.
type NoSlotMsg struct {
	Attempt int
	Peer    string
}

// QueueRejectedMsg is the reply to QueueCmd when the request is not queued or was removed.
type QueueRejectedMsg struct {
	Attempt    int
	Reason     string
	RetryAfter time.Duration
}

// AnswerMsg is an answer to the call of the attempt.
type AnswerMsg struct {
	Attempt int
	Answer  fleet.Answer
}

// RefusedMsg reports that the worker certainly did not and will not start the attempt.
type RefusedMsg struct{ Attempt int }

// CallFailedMsg reports that the call of the attempt timed out or broke.
type CallFailedMsg struct{ Attempt int }

// TimerMsg reports that the hedge timer or the deadline was reached.
type TimerMsg struct{}

// PeerReplyMsg is the reply of the peer, or Unknown if none came.
type PeerReplyMsg struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Answer     fleet.Answer
}

// CancelMsg reports that the caller has gone.
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

// ReserveCmd asks for a slot on a worker that is not to be avoided.
type ReserveCmd struct {
	Attempt int
	Avoid   []string
	// Hedge is set if another send is still in flight.
	Hedge bool
}

// SendCmd sends the attempt to the worker.
type SendCmd struct {
	Worker  string
	Attempt int
}

// ForwardCmd sends the request to a peer, which numbers its attempts from Base+1.
type ForwardCmd struct {
	Peer          string
	AttemptOffset int
}

// QueueCmd queues the request for a slot.
type QueueCmd struct{ Attempt int }

// HedgeTimerCmd asks for a TimerMsg after the time.
type HedgeTimerCmd struct{ Delay time.Duration }

// ReplyCmd answers the caller and takes the request out of the queue.
type ReplyCmd struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Answer     fleet.Answer
}

// ReleaseCmd ends a reservation. If Certain is not set, the worker may still run the attempt.
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
