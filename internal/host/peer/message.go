package peer

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// State is what an entry host reports about itself to its peers.
type State struct {
	Host   string `msgpack:"host"`
	Zone   string `msgpack:"zone"`
	Region string `msgpack:"region"`
	// Version is the version of the configuration that the host uses, Age the time since that configuration was last
	// known to be the newest. Age is negative if the configuration never was.
	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
	// FreeSlots is the number of free slots on the workers that the host holds, HeldWorkers the number of these workers.
	FreeSlots   int `msgpack:"free"`
	HeldWorkers int `msgpack:"held"`
	// TaskCapacities are distinct capacities that these workers have for tasks. The sender limits their number, so that
	// the message stays small.
	TaskCapacities []fleet.Size `msgpack:"shapes,omitempty"`
	Ready          bool         `msgpack:"ready"`
	Stopping       bool         `msgpack:"leaving,omitempty"`
}

// SyncRequest carries the sender's state to a peer. If the sender's configuration is older than the peer's, the reply
// carries the newer one.
type SyncRequest struct {
	State State `msgpack:"state"`
	// Estimates holds what the sender's policy has estimated from its own workers. It is sent to each peer only every
	// few seconds, so it is nil in most messages.
	Estimates *policy.Estimates `msgpack:"learned,omitempty"`
}

// SyncReply is the reply to a SyncRequest.
type SyncReply struct {
	State State `msgpack:"state"`
	// Config is the encoded configuration of version State.Version. It is present if it is newer than that of the
	// SyncRequest's sender.
	Config []byte `msgpack:"config,omitempty"`
}

// ForwardRequest forwards a caller's request to a host that has a worker for it, which does not forward it again.
type ForwardRequest struct {
	RequestID string `msgpack:"request"`
	Class     string `msgpack:"class"`
	Team      string `msgpack:"team"`
	Key       string `msgpack:"key,omitempty"`
	Body      []byte `msgpack:"body"`
	// TimeLeft is the time from the sending of the message to the request's deadline.
	TimeLeft time.Duration `msgpack:"left"`
	// AttemptOffset is one less than the number of the first attempt, so that attempts of different hosts have
	// different numbers.
	AttemptOffset int `msgpack:"base,omitempty"`
	// ReturnIfNoSlot asks the receiver to return a request with an unused key at once if it has no free slot, rather than
	// to wait for one and then close the key.
	ReturnIfNoSlot bool `msgpack:"return,omitempty"`
}

// ForwardReply is the reply to a ForwardRequest.
type ForwardReply struct {
	// RequestID repeats that of the ForwardRequest, so that a reply to another request is noticed.
	RequestID string        `msgpack:"request"`
	Reply     outcome.Reply `msgpack:"reply"`
	// Digest is the xxhash64 of the reply's body.
	Digest uint64 `msgpack:"digest"`
	// Returned is set if the request was returned because of ReturnIfNoSlot. Nothing was written for its key, and there is
	// no Reply.
	Returned bool `msgpack:"returned,omitempty"`
}

// JobAction is the action that a JobRequest asks for.
type JobAction string

// The actions of JobRequest.
const (
	JobSubmit JobAction = "submit"
	JobShow   JobAction = "show"
	JobList   JobAction = "list"
	JobCancel JobAction = "cancel"
)

// JobRequest concerns a job in the zone of the host that receives it.
type JobRequest struct {
	Action JobAction `msgpack:"action"`
	// ID is the ID of the job or task.
	ID string `msgpack:"id,omitempty"`
	// Record is the encoded accept record of the job, for JobSubmit.
	Record []byte `msgpack:"record,omitempty"`
	// TimeLeft is the time from the sending of the message to the deadline of the request.
	TimeLeft time.Duration `msgpack:"left"`
}

// JobReply is the reply to a JobRequest.
type JobReply struct {
	Reply outcome.Reply `msgpack:"reply"`
	// JobJSON is the JSON form of the job, if there is one.
	JobJSON []byte `msgpack:"view,omitempty"`
}
