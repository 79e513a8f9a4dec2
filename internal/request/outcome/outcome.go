// Package outcome defines the reply that reports the result of a request to its caller.
package outcome

import "time"

// Outcome says whether a request was run.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran and the whole answer is in the reply. With ReasonAccepted, it means that a job was
	// recorded, whose tasks run later.
	Done Outcome = "done"
	// NotRun means that the request was not run and will not be run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have been run.
	Unknown Outcome = "unknown"
)

// Reason qualifies an outcome; for NotRun and Unknown it says why the request was not answered.
type Reason string

// The reasons. They are label values of the refusal counters, so their number is kept small.
const (
	ReasonNone Reason = ""
	// ReasonInvalid means that a field is missing or has a value that is not allowed.
	ReasonInvalid Reason = "invalid"
	// ReasonConflict means that the key is in use with other content, or that the job does not allow the action.
	ReasonConflict Reason = "conflict"
	// ReasonExpired means that the key is too old or that the answer to it is no longer kept.
	ReasonExpired Reason = "expired"
	// ReasonBusy means that the queue of the class is full or that the slot found for a queued request was taken.
	ReasonBusy Reason = "busy"
	// ReasonDeadline means that the deadline passed or would pass before the answer.
	ReasonDeadline Reason = "deadline"
	// ReasonNoWorker means that no worker has a free slot.
	ReasonNoWorker Reason = "no_worker"
	// ReasonRefused means that the worker tried last did not accept the call, or that a change of the configuration does
	// not apply.
	ReasonRefused Reason = "refused"
	// ReasonLog means that a record was not read back from the log in time, or that the log could not be read.
	ReasonLog Reason = "log"
	// ReasonWorker means that the worker has restarted since the request was sent to it.
	ReasonWorker Reason = "worker"
	// ReasonPeer means that a peer, or every host of another zone, could not be reached or did not reply.
	ReasonPeer Reason = "peer"
	// ReasonStopping means that the host is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonNotReady means that the host cannot answer yet, as without a configuration.
	ReasonNotReady Reason = "not_ready"
	// ReasonCancelled means that the caller stopped waiting for the reply.
	ReasonCancelled Reason = "cancelled"
	// ReasonClosed means that the key was closed, so that the request will never run.
	ReasonClosed Reason = "closed"
	// ReasonNotFound means that there is no such job, task or path.
	ReasonNotFound Reason = "not_found"
	// ReasonNeverFits means that no known worker is large enough for a task of the job.
	ReasonNeverFits Reason = "never_fits"
	// ReasonTooLarge means that the body of the request exceeds the limit of the host.
	ReasonTooLarge Reason = "too_large"
	// ReasonQuota means that the quota of the team is used up. Hosts do not give it at present.
	ReasonQuota Reason = "quota"
	// ReasonUnexpected means that a message could not be encoded, or that the reply of another host could not be decoded.
	ReasonUnexpected Reason = "unexpected"
	// ReasonAccepted marks a Done reply to a job that was accepted and runs later.
	ReasonAccepted Reason = "accepted"
)

// Reply is the result of a request as the entry host reports it.
type Reply struct {
	Outcome Outcome `msgpack:"outcome"`
	Reason  Reason  `msgpack:"reason,omitempty"`
	// Message is a sentence for people.
	Message string `msgpack:"message,omitempty"`
	// Field names the field of the request that Message is about, if any.
	Field string `msgpack:"field,omitempty"`
	// RetryAfter is the delay after which a retry may succeed, 0 if that is not known.
	RetryAfter time.Duration `msgpack:"after,omitempty"`
	// Body is the answer of the backend server, for Done.
	Body []byte `msgpack:"body,omitempty"`
	// Failed is true when the backend server ran the request and it ended in an error.
	Failed bool `msgpack:"failed,omitempty"`
	// Worker is the worker that answered, Attempts the number of attempts sent.
	Worker   string `msgpack:"worker,omitempty"`
	Attempts int    `msgpack:"tries,omitempty"`
	// Wait is the time until the answered attempt was sent, Run the execution time on the worker.
	Wait time.Duration `msgpack:"wait,omitempty"`
	Run  time.Duration `msgpack:"run,omitempty"`
}

// NotRunReply returns a NotRun reply.
func NotRunReply(reason Reason, message string) Reply {
	return Reply{Outcome: NotRun, Reason: reason, Message: message}
}

// InvalidReply returns a NotRun reply for an invalid field, which every host would refuse in the same way.
func InvalidReply(field, message string) Reply {
	return Reply{Outcome: NotRun, Reason: ReasonInvalid, Field: field, Message: message}
}

// UnknownReply returns an Unknown reply.
func UnknownReply(reason Reason, message string) Reply {
	return Reply{Outcome: Unknown, Reason: reason, Message: message}
}
