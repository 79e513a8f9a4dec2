// Package job is the aggregate of the batch jobs and tasks of one availability zone.
//
// A Table is replayed from the zone's stream by every host of the zone. The verdict on a record depends only on
// the records before it, so hosts that have read the same part of the stream agree on every task.
package job

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Bounds of the fields of a record. An envelope holds at most record.MaxSize bytes, so that three of the
// largest items still fit into one.
const (
	MaxBody       = 64 << 10
	MaxOutput     = 64 << 10
	MaxCheckpoint = 16 << 10
	MaxTasks      = 1000
	// MaxName bounds the names of classes, teams, zones, workers and hosts and the reasons of evictions, in bytes.
	MaxName = 128
	// MaxReason bounds the reason of a park record in bytes.
	MaxReason = 1024
	// MaxFails is the number of failed attempts after which a task is parked.
	MaxFails = 3
)

// The kinds of records in the stream of a zone.
const (
	KindAccept record.Kind = "accept"
	KindStart  record.Kind = "start"
	KindEnd    record.Kind = "end"
	KindEvict  record.Kind = "evict"
	KindCancel record.Kind = "cancel"
	KindPark   record.Kind = "park"
	KindMove   record.Kind = "move"
	KindDoubt  record.Kind = "doubt"
	KindHold   record.Kind = "hold"
)

// Verdicts on records that are ignored. Malformed records are refused with record.ErrMalformed.
var (
	ErrUnknownKind  = errors.New("job: unknown kind of record")
	ErrUnknownJob   = errors.New("job: unknown job")
	ErrUnknownTask  = errors.New("job: unknown task")
	ErrWrongAttempt = errors.New("job: not the attempt that the record needs")
	ErrNotPending   = errors.New("job: task is not pending")
	ErrNotRunning   = errors.New("job: task is not running")
	ErrNotMoved     = errors.New("job: task has not been moved in this way")
	ErrFinal        = errors.New("job: state is final")
	ErrExists       = errors.New("job: already recorded")
	ErrConflict     = errors.New("job: id is in use with other content")
	ErrExpired      = errors.New("job: id is too old to be accepted")
	ErrNoDoubt      = errors.New("job: the named doubt of the worker does not stand")
	ErrNoHold       = errors.New("job: another host's hold of the worker is newer")
)

// Accept adds a job, or the tasks of a job that were moved here from another zone.
type Accept struct {
	// ID is the job's key, a UUIDv7 in its canonical form.
	ID    string     `msgpack:"id"`
	Class string     `msgpack:"class"`
	Team  string     `msgpack:"team"`
	Count int        `msgpack:"count"`
	Size  fleet.Size `msgpack:"size"`
	Body  []byte     `msgpack:"body,omitempty"`
	// Run is the declared run time of a task.
	Run time.Duration `msgpack:"run,omitempty"`
	// From is the zone that the tasks come from, empty for a new job.
	From string `msgpack:"from,omitempty"`
	// Tasks are the tasks that were moved, empty for a new job. The tasks of one job may be moved in several
	// records; a record adds the tasks that it carries with a higher hop than the table knows.
	Tasks []Carried `msgpack:"tasks,omitempty"`
}

// Carried is a task that was moved from another zone.
type Carried struct {
	Index int `msgpack:"index"`
	// Attempt is the last attempt that was started anywhere.
	Attempt int `msgpack:"attempt"`
	Fails   int `msgpack:"fails,omitempty"`
	// Hop is the hop of the move record that released the task.
	Hop        int    `msgpack:"hop"`
	Checkpoint []byte `msgpack:"checkpoint,omitempty"`
}

// Start begins an attempt of a pending task.
type Start struct {
	Task    string `msgpack:"task"`
	Attempt int    `msgpack:"attempt"`
	Worker  string `msgpack:"worker"`
	Boot    string `msgpack:"boot"`
	Host    string `msgpack:"host"`
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
	State   Result `msgpack:"state"`
	Output  []byte `msgpack:"output,omitempty"`
	// Digest is the xxhash64 of Output. EndItem fills it in.
	Digest uint64 `msgpack:"digest"`
}

// Reason is why an attempt is known not to run any more.
type Reason string

// The reasons of an eviction.
const (
	// ReasonRefused means that the worker refused the start.
	ReasonRefused Reason = "refused"
	// ReasonStopped means that the worker reported the attempt as stopped.
	ReasonStopped Reason = "stopped"
	// ReasonExpired means that the task lease has certainly expired.
	ReasonExpired Reason = "expired"
	// ReasonBoot means that the worker has restarted.
	ReasonBoot Reason = "boot"
	// ReasonDoubt means that a doubt of the worker stood for the cut-off bound and the task lease.
	ReasonDoubt Reason = "doubt"
	// ReasonDrained means that the zone was lost and taken out.
	ReasonDrained Reason = "drained"
)

// Evict ends the running attempt without a result.
type Evict struct {
	Task       string `msgpack:"task"`
	Attempt    int    `msgpack:"attempt"`
	Checkpoint []byte `msgpack:"checkpoint,omitempty"`
	Reason     Reason `msgpack:"reason"`
	// Host is the writer. ReasonExpired is valid only for the host whose hold is the newest of the worker: a host that
	// has lost the worker to another one cannot know until when that one renews the task leases. So are ReasonBoot, and
	// ReasonRefused unless the host made the start itself: a host that was paused would judge by an old status.
	Host string `msgpack:"host,omitempty"`
	// Boot and Grant are those of the status that ReasonBoot and ReasonRefused rely on. A Grant of 0 means that they are
	// not known; the host's name must then do, which does not tell a status of an earlier grant of the same host.
	Boot  string `msgpack:"boot,omitempty"`
	Grant uint64 `msgpack:"grant,omitempty"`
	// Doubt is the offset of the doubt record that ReasonDoubt relies on. Without it a host that waited for an
	// older doubt could use a newer one whose wait has not passed.
	Doubt uint64 `msgpack:"doubt,omitempty"`
}

// Cancel cancels a job or a task.
type Cancel struct {
	ID string `msgpack:"id"`
}

// Park sets a pending task aside for good.
type Park struct {
	Task   string `msgpack:"task"`
	Reason string `msgpack:"reason"`
}

// Move releases a pending task to another zone.
type Move struct {
	Task string `msgpack:"task"`
	To   string `msgpack:"to"`
	// Hop is one more than the task's present hop.
	Hop int `msgpack:"hop"`
	// Done is set in a second record, once the accept was read back in the stream of zone To.
	Done bool `msgpack:"done,omitempty"`
}

// Doubt asks whether anybody still holds a worker.
type Doubt struct {
	Worker string `msgpack:"worker"`
}

// Hold tells that a host holds a worker. A host renews the task leases of a worker only after its hold was read back,
// and writes it again to answer a doubt.
type Hold struct {
	Worker string `msgpack:"worker"`
	Host   string `msgpack:"host"`
	// Boot and Grant are those of the lease that the host has.
	Boot  string `msgpack:"boot"`
	Grant uint64 `msgpack:"grant"`
	// Next is the offset after that of the newest hold of the worker that the host had read when it sent the request
	// whose reply named it the holder, 1 if it had read none. It is 0 if the host does not say. Without it, a record
	// that takes effect late can pass for the newest hold although its lease had ended before.
	Next uint64 `msgpack:"next,omitempty"`
	// At is the offset of the record. Readers set it.
	At uint64 `msgpack:"at,omitempty"`
}

// message is a record that can check its own fields.
type message interface{ check() error }

func malformed(format string, args ...any) error {
	return errors.Wrapf(record.ErrMalformed, format, args...)
}

func checkName(field, s string) error {
	if s == "" || len(s) > MaxName {
		return malformed("%s of %d bytes", field, len(s))
	}
	return nil
}

func checkNames(pairs ...string) error {
	for i := 0; i < len(pairs); i += 2 {
		if err := checkName(pairs[i], pairs[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func checkAttempt(attempt int) error {
	if attempt < 1 || attempt > 1<<30 {
		return malformed("attempt %d", attempt)
	}
	return nil
}

func (a Accept) check() error {
	id, err := uuid.Parse(a.ID)
	if err != nil || id.Version() != 7 || id.String() != a.ID {
		return malformed("job id %.64q is no UUIDv7", a.ID)
	}
	if err := checkNames("class", a.Class, "team", a.Team); err != nil {
		return err
	}
	switch {
	case a.Count < 1 || a.Count > MaxTasks:
		return malformed("count %d", a.Count)
	case a.Size.IsNegative():
		return malformed("negative size")
	case a.Run < 0:
		return malformed("negative run time")
	case len(a.Body) > MaxBody:
		return malformed("body of %d bytes", len(a.Body))
	case len(a.From) > MaxName:
		return malformed("from of %d bytes", len(a.From))
	case (a.From == "") != (len(a.Tasks) == 0):
		return malformed("moved tasks and zone of origin go together")
	case len(a.Tasks) > a.Count:
		return malformed("%d of %d tasks moved", len(a.Tasks), a.Count)
	}
	last := -1
	for _, c := range a.Tasks {
		switch {
		case c.Index <= last || c.Index >= a.Count:
			return malformed("moved task %d of %d", c.Index, a.Count)
		case c.Attempt < 0 || c.Attempt > 1<<30 || c.Fails < 0 || c.Fails >= MaxFails || c.Hop < 1 || c.Hop > 1<<30:
			return malformed("moved task %d: attempt %d, fails %d, hop %d", c.Index, c.Attempt, c.Fails, c.Hop)
		case len(c.Checkpoint) > MaxCheckpoint:
			return malformed("checkpoint of %d bytes", len(c.Checkpoint))
		}
		last = c.Index
	}
	return nil
}

func (s Start) check() error {
	if err := checkNames("worker", s.Worker, "boot", s.Boot, "host", s.Host); err != nil {
		return err
	}
	return checkAttempt(s.Attempt)
}

func (e End) check() error {
	switch {
	case e.State != ResultDone && e.State != ResultFailed:
		return malformed("result %.64q", e.State)
	case len(e.Output) > MaxOutput:
		return malformed("output of %d bytes", len(e.Output))
	case e.Digest != xxhash.Sum64(e.Output):
		return malformed("output does not match its digest")
	}
	return checkAttempt(e.Attempt)
}

func (e Evict) check() error {
	switch e.Reason {
	case ReasonRefused, ReasonStopped, ReasonExpired, ReasonBoot, ReasonDoubt, ReasonDrained:
	default:
		return malformed("reason %.64q", e.Reason)
	}
	if len(e.Checkpoint) > MaxCheckpoint {
		return malformed("checkpoint of %d bytes", len(e.Checkpoint))
	}
	return checkAttempt(e.Attempt)
}

func (c Cancel) check() error { return checkName("id", c.ID) }

func (p Park) check() error {
	if len(p.Reason) > MaxReason {
		return malformed("reason of %d bytes", len(p.Reason))
	}
	return checkName("task", p.Task)
}

func (m Move) check() error {
	if m.Hop < 1 || m.Hop > 1<<30 {
		return malformed("hop %d", m.Hop)
	}
	return checkName("to", m.To)
}

func (d Doubt) check() error { return checkName("worker", d.Worker) }

func (h Hold) check() error {
	if err := checkName("worker", h.Worker); err != nil {
		return err
	}
	if err := checkName("host", h.Host); err != nil {
		return err
	}
	return checkName("boot", h.Boot)
}

// seal refuses a record that every reader would ignore as malformed.
func seal[T message](kind record.Kind, m T) (record.Item, error) {
	if err := m.check(); err != nil {
		return record.Item{}, errors.Wrapf(err, "job: %s", kind)
	}
	return record.Seal(kind, m)
}

// AcceptItem encodes an Accept.
func AcceptItem(a Accept) (record.Item, error) { return seal(KindAccept, a) }

// StartItem encodes a Start.
func StartItem(s Start) (record.Item, error) { return seal(KindStart, s) }

// EndItem encodes an End and fills in its digest.
func EndItem(e End) (record.Item, error) {
	e.Digest = xxhash.Sum64(e.Output)
	return seal(KindEnd, e)
}

// EvictItem encodes an Evict.
func EvictItem(e Evict) (record.Item, error) { return seal(KindEvict, e) }

// CancelItem encodes a Cancel.
func CancelItem(c Cancel) (record.Item, error) { return seal(KindCancel, c) }

// ParkItem encodes a Park.
func ParkItem(p Park) (record.Item, error) { return seal(KindPark, p) }

// MoveItem encodes a Move.
func MoveItem(m Move) (record.Item, error) { return seal(KindMove, m) }

// DoubtItem encodes a Doubt.
func DoubtItem(d Doubt) (record.Item, error) { return seal(KindDoubt, d) }

// HoldItem encodes a Hold.
func HoldItem(h Hold) (record.Item, error) { return seal(KindHold, h) }
