package peer

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// State is what entry hosts tell each other about themselves.
type State struct {
	Host   string `msgpack:"host"`
	Zone   string `msgpack:"zone"`
	Region string `msgpack:"region"`
	// Version is the version of the configuration that the host follows, Age how long ago that
	// configuration was known to be the newest.
	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
	// FreeSlots is the number of free slots on the workers that the host holds, Held the number of those workers.
	FreeSlots   int `msgpack:"free"`
	HeldWorkers int `msgpack:"held"`
	// TaskCapacities are the distinct capacities for tasks of those workers, at most a few.
	TaskCapacities []fleet.Size `msgpack:"shapes,omitempty"`
	Ready          bool         `msgpack:"ready"`
	Leaving        bool         `msgpack:"leaving,omitempty"`
}

// SyncRequest exchanges states. A host whose version is behind gets the newer configuration with the reply.
type SyncRequest struct {
	State State `msgpack:"state"`
	// Estimates is what the host's policy has learned itself. It is sent to each peer every few seconds.
	Estimates *policy.Estimates `msgpack:"learned,omitempty"`
}

// SyncReply answers Sync.
type SyncReply struct {
	State State `msgpack:"state"`
	// Config is the configuration of State.Version, present if it is newer than the asker's.
	Config []byte `msgpack:"config,omitempty"`
}

// CallRequest passes a request on to a host that has a worker for it. It is not passed on again.
type CallRequest struct {
	RequestID string `msgpack:"request"`
	Class     string `msgpack:"class"`
	Team      string `msgpack:"team"`
	Key       string `msgpack:"key,omitempty"`
	Body      []byte `msgpack:"body"`
	// TimeLeft is the time left until the request's deadline when the message was sent.
	TimeLeft time.Duration `msgpack:"left"`
	// AttemptOffset is the number before that of the first attempt, so that attempts of different hosts differ.
	AttemptOffset int `msgpack:"base,omitempty"`
}

// CallReply answers Call.
type CallReply struct {
	// RequestID repeats that of the call, so that crossed replies are noticed.
	RequestID string        `msgpack:"request"`
	Reply     outcome.Reply `msgpack:"reply"`
	// Digest is the xxhash64 of the reply's body.
	Digest uint64 `msgpack:"digest"`
}

// JobAction is what a Job message asks for.
type JobAction string

// The actions of Job.
const (
	JobSubmit JobAction = "submit"
	JobShow   JobAction = "show"
	JobList   JobAction = "list"
	JobCancel JobAction = "cancel"
)

// JobRequest concerns a job of the zone of the host that gets the message.
type JobRequest struct {
	Action JobAction `msgpack:"action"`
	// ID is the job or task.
	ID string `msgpack:"id,omitempty"`
	// Record is the encoded accept record, for JobSubmit.
	Record   []byte        `msgpack:"record,omitempty"`
	TimeLeft time.Duration `msgpack:"left"`
}

// JobReply answers Job.
type JobReply struct {
	Reply outcome.Reply `msgpack:"reply"`
	// View is the JSON form of the job, if there is one.
	View []byte `msgpack:"view,omitempty"`
}
