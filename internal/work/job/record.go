// Package job holds the state of the batch jobs and tasks of one availability zone.
//
// Every host of the zone builds a Table by replaying the zone's stream. Whether a record is valid depends only on the
// records before it, so hosts that have read the same part of the stream agree on the state of every task.
package job

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Bounds of the fields of a record. An envelope holds at most record.MaxSize bytes, so three records with the largest
// body or output still fit into one. An Accept of moved tasks can be larger, because it also holds their checkpoints;
// only its writer bounds their total size.
const (
	MaxBodyBytes       = 64 << 10
	MaxOutputBytes     = 64 << 10
	MaxCheckpointBytes = 16 << 10
	// MaxTasks bounds the number of tasks of a job.
	MaxTasks = 1000
	// MaxNameBytes bounds the names of classes, teams, zones, workers and hosts, boot IDs, and the IDs in Cancel and Park
	// records, in bytes.
	MaxNameBytes = 128
	// MaxReasonBytes bounds the reason of a Park record in bytes.
	MaxReasonBytes = 1024
	// MaxFailures is the number of failed attempts after which a task is parked.
	MaxFailures = 3
)

// The kinds of records in the stream of a zone.
const (
	KindAccept      record.Kind = "accept"
	KindStart       record.Kind = "start"
	KindEnd         record.Kind = "end"
	KindEvict       record.Kind = "evict"
	KindCancel      record.Kind = "cancel"
	KindPark        record.Kind = "park"
	KindMove        record.Kind = "move"
	KindHolderQuery record.Kind = "doubt"
	KindHold        record.Kind = "hold"
)

// The errors that Table.Apply returns, wrapped, for a record that it ignores. For a malformed record it returns
// record.ErrMalformed.
var (
	ErrUnknownKind = errors.New("job: unknown kind of record")
	ErrUnknownJob  = errors.New("job: unknown job")
	ErrUnknownTask = errors.New("job: unknown task")
	// ErrWrongAttempt is also returned for a Move whose hop does not follow that of the task.
	ErrWrongAttempt  = errors.New("job: not the attempt that the record needs")
	ErrNotPending    = errors.New("job: task is not pending")
	ErrNotRunning    = errors.New("job: task is not running")
	ErrNotMoved      = errors.New("job: task was not moved to the zone and with the hop of the record")
	ErrFinal         = errors.New("job: state is final")
	ErrExists        = errors.New("job: already recorded")
	ErrConflict      = errors.New("job: id is in use with other content")
	ErrExpired       = errors.New("job: id is too old to be accepted")
	ErrNoHolderQuery = errors.New("job: the holder query named in the record is not open")
	ErrNotHolder     = errors.New("job: another host's hold of the worker is newer")
)

// Accept adds a job, or the tasks of a job that were moved here from another zone.
type Accept struct {
	// ID is the job's key, a UUIDv7 in its canonical form.
	ID    string `msgpack:"id"`
	Class string `msgpack:"class"`
	Team  string `msgpack:"team"`
	// Count is the number of tasks in all zones, Size the declared size of each of them, and Body their input.
	Count int        `msgpack:"count"`
	Size  fleet.Size `msgpack:"size"`
	Body  []byte     `msgpack:"body,omitempty"`
	// RunTime is the declared run time of a task.
	RunTime time.Duration `msgpack:"run,omitempty"`
	// FromZone is the zone that the tasks come from, empty for a new job.
	FromZone string `msgpack:"from,omitempty"`
	// Tasks are the tasks that were moved, empty for a new job, in ascending order of their index. The tasks of one job
	// may be moved in several records. A record adds only the tasks whose hop is higher than the one that the table
	// knows.
	Tasks []MovedTask `msgpack:"tasks,omitempty"`
}

// MovedTask is the state of a task that was moved from another zone.
type MovedTask struct {
	Index int `msgpack:"index"`
	// Attempt is the last attempt that was started in any zone.
	Attempt  int `msgpack:"attempt"`
	Failures int `msgpack:"fails,omitempty"`
	// Hop is the number of times that the task was moved between zones, which is the hop of the Move that released it.
	Hop        int    `msgpack:"hop"`
	Checkpoint []byte `msgpack:"checkpoint,omitempty"`
}

// Start begins an attempt of a pending task.
type Start struct {
	Task    string `msgpack:"task"`
	Attempt int    `msgpack:"attempt"`
	Worker  string `msgpack:"worker"`
	Boot    string `msgpack:"boot"`
	// Host names one process of a host, as in Evict and Hold.
	Host string `msgpack:"host"`
}

// Result is how an attempt ended.
type Result string

// The results of an attempt.
const (
	ResultDone   Result = "done"
	ResultFailed Result = "failed"
)

// End records the result of the running attempt.
type End struct {
	Task    string `msgpack:"task"`
	Attempt int    `msgpack:"attempt"`
	Result  Result `msgpack:"state"`
	Output  []byte `msgpack:"output,omitempty"`
	// Digest is the xxhash64 of Output. EndItem fills it in.
	Digest uint64 `msgpack:"digest"`
}

// EvictReason is why an attempt is known to have stopped running.
type EvictReason string

// The reasons of an eviction.
const (
	// ReasonRefused means that the attempt was not started: its start was not sent or was refused by the worker, or the
	// worker does not list the attempt and no start of it can arrive any more.
	ReasonRefused EvictReason = "refused"
	// ReasonStopped means that the worker reported the attempt as stopped.
	ReasonStopped EvictReason = "stopped"
	// ReasonLeaseExpired means that the task lease has certainly expired.
	ReasonLeaseExpired EvictReason = "expired"
	// ReasonRestarted means that the worker has restarted.
	ReasonRestarted EvictReason = "boot"
	// ReasonNoHolder means that a HolderQuery about the worker stayed unanswered for so long that every host has stopped
	// renewing its task leases and these have expired: the renewal cutoff plus the TTL of a task lease.
	ReasonNoHolder EvictReason = "doubt"
	// ReasonZoneLost means that the zone was lost and has been taken out of service.
	ReasonZoneLost EvictReason = "drained"
)

// Evict ends the running attempt without a result.
type Evict struct {
	Task       string      `msgpack:"task"`
	Attempt    int         `msgpack:"attempt"`
	Checkpoint []byte      `msgpack:"checkpoint,omitempty"`
	Reason     EvictReason `msgpack:"reason"`
	// Host is the host that wrote the record. Its name differs for each start of its process, since a later process
	// knows nothing of what an earlier one has sent or may still send. ReasonLeaseExpired is valid only from the host with the newest Hold of the
	// worker, because a host that has lost the worker to another one cannot know until when that one renews the task
	// leases. The same holds for ReasonRestarted, and for ReasonRefused unless the host wrote the Start itself, because
	// a host that was paused may rely on an old status.
	Host string `msgpack:"host,omitempty"`
	// Boot and Grant are those of the status that ReasonRestarted and ReasonRefused rely on. A Grant of 0 means that
	// they are not known. Then only the host's name is compared, which does not detect a status from an earlier grant
	// of the same host.
	Boot  string `msgpack:"boot,omitempty"`
	Grant uint64 `msgpack:"grant,omitempty"`
	// HolderQuery is the offset of the HolderQuery record that ReasonNoHolder relies on. Without it, a host that waited
	// after an older query could rely on a newer one whose wait has not passed.
	HolderQuery uint64 `msgpack:"doubt,omitempty"`
}

// Cancel cancels a job or a task.
type Cancel struct {
	ID string `msgpack:"id"`
}

// Park gives up a pending task permanently.
type Park struct {
	Task   string `msgpack:"task"`
	Reason string `msgpack:"reason"`
}

// Move hands a pending task over to another zone. A second record with Confirmed ends the handover.
type Move struct {
	Task   string `msgpack:"task"`
	ToZone string `msgpack:"to"`
	// Hop is one more than the task's present hop, and with Confirmed the hop of the first record.
	Hop int `msgpack:"hop"`
	// Confirmed is set in the second record, written once the Accept was read back in the stream of zone ToZone.
	Confirmed bool `msgpack:"done,omitempty"`
}

// HolderQuery asks whether any host still holds a worker. It is stored as "doubt". A host that holds the worker answers
// with a new Hold.
type HolderQuery struct {
	Worker string `msgpack:"worker"`
}

// Hold states that a host holds the lease of a worker. A host renews the task leases of a worker only after it has read
// its Hold back, and writes the Hold again to answer a HolderQuery.
type Hold struct {
	Worker string `msgpack:"worker"`
	// Host is the name under which the worker knows its holder.
	Host string `msgpack:"host"`
	// Boot and Grant are those of the lease that the host has.
	Boot  string `msgpack:"boot"`
	Grant uint64 `msgpack:"grant"`
	// NextOffset is one more than the offset of the newest hold of the worker that the host had read when it sent the
	// request whose reply named it the holder. It is 1 if the host had read none, and 0 if the host does not state it.
	// Without it, a record that takes effect late could pass for the newest hold although its lease had already ended.
	NextOffset uint64 `msgpack:"next,omitempty"`
	// Offset is the offset of the record. It is set when the record is applied.
	Offset uint64 `msgpack:"at,omitempty"`
}

// recordBody is the decoded content of a record. check returns an error if a field is out of its bounds.
type recordBody interface{ check() error }

// malformedError returns an error that wraps record.ErrMalformed.
func malformedError(format string, args ...any) error {
	return errors.Wrapf(record.ErrMalformed, format, args...)
}

// checkName returns an error if a name is empty or longer than MaxNameBytes.
func checkName(field, s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return malformedError("%s of %d bytes", field, len(s))
	}
	return nil
}

// checkNames checks names that are given as pairs of the field and its value.
func checkNames(pairs ...string) error {
	for i := 0; i < len(pairs); i += 2 {
		if err := checkName(pairs[i], pairs[i+1]); err != nil {
			return err
		}
	}
	return nil
}

// checkAttempt returns an error if the number of an attempt is out of range.
func checkAttempt(attempt int) error {
	if attempt < 1 || attempt > 1<<30 {
		return malformedError("attempt %d", attempt)
	}
	return nil
}

// check returns an error if a field of the record is out of its bounds.
func (a Accept) check() error {
	id, err := uuid.Parse(a.ID)
	if err != nil || id.Version() != 7 || id.String() != a.ID {
		return malformedError("job id %.64q is no UUIDv7", a.ID)
	}
	if err := checkNames("class", a.Class, "team", a.Team); err != nil {
		return err
	}
	switch {
	case a.Count < 1 || a.Count > MaxTasks:
		return malformedError("count %d", a.Count)
	case a.Size.IsNegative():
		return malformedError("negative size")
	case a.RunTime < 0:
		return malformedError("negative run time")
	case len(a.Body) > MaxBodyBytes:
		return malformedError("body of %d bytes", len(a.Body))
	case len(a.FromZone) > MaxNameBytes:
		return malformedError("from of %d bytes", len(a.FromZone))
	case (a.FromZone == "") != (len(a.Tasks) == 0):
		return malformedError("moved tasks and zone of origin go together")
	case len(a.Tasks) > a.Count:
		return malformedError("%d of %d tasks moved", len(a.Tasks), a.Count)
	}
	last := -1
	for _, moved := range a.Tasks {
		switch {
		case moved.Index <= last || moved.Index >= a.Count:
			return malformedError("moved task %d of %d", moved.Index, a.Count)
		case moved.Attempt < 0 || moved.Attempt > 1<<30 || moved.Failures < 0 || moved.Failures >= MaxFailures ||
			moved.Hop < 1 || moved.Hop > 1<<30:
			return malformedError(
				"moved task %d: attempt %d, failures %d, hop %d", moved.Index, moved.Attempt, moved.Failures, moved.Hop)
		case len(moved.Checkpoint) > MaxCheckpointBytes:
			return malformedError("checkpoint of %d bytes", len(moved.Checkpoint))
		}
		last = moved.Index
	}
	return nil
}

// check returns an error if a field of the record is out of its bounds.
func (s Start) check() error {
	if err := checkNames("worker", s.Worker, "boot", s.Boot, "host", s.Host); err != nil {
		return err
	}
	return checkAttempt(s.Attempt)
}

// check returns an error if a field of the record is out of its bounds or the digest does not match.
func (e End) check() error {
	switch {
	case e.Result != ResultDone && e.Result != ResultFailed:
		return malformedError("result %.64q", e.Result)
	case len(e.Output) > MaxOutputBytes:
		return malformedError("output of %d bytes", len(e.Output))
	case e.Digest != xxhash.Sum64(e.Output):
		return malformedError("output does not match its digest")
	}
	return checkAttempt(e.Attempt)
}

// check returns an error if a field of the record is out of its bounds.
func (e Evict) check() error {
	switch e.Reason {
	case ReasonRefused, ReasonStopped, ReasonLeaseExpired, ReasonRestarted, ReasonNoHolder, ReasonZoneLost:
	default:
		return malformedError("reason %.64q", e.Reason)
	}
	if len(e.Checkpoint) > MaxCheckpointBytes {
		return malformedError("checkpoint of %d bytes", len(e.Checkpoint))
	}
	return checkAttempt(e.Attempt)
}

// check returns an error if a field of the record is out of its bounds.
func (c Cancel) check() error { return checkName("id", c.ID) }

// check returns an error if a field of the record is out of its bounds.
func (p Park) check() error {
	if len(p.Reason) > MaxReasonBytes {
		return malformedError("reason of %d bytes", len(p.Reason))
	}
	return checkName("task", p.Task)
}

// check returns an error if a field of the record is out of its bounds.
func (m Move) check() error {
	if m.Hop < 1 || m.Hop > 1<<30 {
		return malformedError("hop %d", m.Hop)
	}
	return checkName("to", m.ToZone)
}

// check returns an error if a field of the record is out of its bounds.
func (q HolderQuery) check() error { return checkName("worker", q.Worker) }

// check returns an error if a field of the record is out of its bounds.
func (h Hold) check() error {
	if err := checkName("worker", h.Worker); err != nil {
		return err
	}
	if err := checkName("host", h.Host); err != nil {
		return err
	}
	return checkName("boot", h.Boot)
}

// encodeItem encodes a record. It returns an error if every reader would ignore the record as malformed.
func encodeItem[T recordBody](kind record.Kind, m T) (record.Item, error) {
	if err := m.check(); err != nil {
		return record.Item{}, errors.Wrapf(err, "job: %s", kind)
	}
	return record.EncodeItem(kind, m)
}

// AcceptItem encodes an Accept.
func AcceptItem(a Accept) (record.Item, error) { return encodeItem(KindAccept, a) }

// StartItem encodes a Start.
func StartItem(s Start) (record.Item, error) { return encodeItem(KindStart, s) }

// EndItem encodes an End and fills in its digest.
func EndItem(e End) (record.Item, error) {
	e.Digest = xxhash.Sum64(e.Output)
	return encodeItem(KindEnd, e)
}

// EvictItem encodes an Evict.
func EvictItem(e Evict) (record.Item, error) { return encodeItem(KindEvict, e) }

// CancelItem encodes a Cancel.
func CancelItem(c Cancel) (record.Item, error) { return encodeItem(KindCancel, c) }

// ParkItem encodes a Park.
func ParkItem(p Park) (record.Item, error) { return encodeItem(KindPark, p) }

// MoveItem encodes a Move.
func MoveItem(m Move) (record.Item, error) { return encodeItem(KindMove, m) }

// HolderQueryItem encodes a HolderQuery.
func HolderQueryItem(q HolderQuery) (record.Item, error) { return encodeItem(KindHolderQuery, q) }

// HoldItem encodes a Hold.
func HoldItem(h Hold) (record.Item, error) { return encodeItem(KindHold, h) }
