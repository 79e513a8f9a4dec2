// Package intent keeps the state of idempotency keys, which hosts build from the records of the stream keys, and
// decides what a host does for a request with a key so that the request runs at most once. The package is pure: it
// reads no clock and performs no I/O.
//
// A host writes an intent to the log before it sends a call to a worker, and the answer after it. Each attempt of a key
// is an intent of its own.
package intent

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Limits of keys and fields.
const (
	// MaxKeyAge is the age up to which hosts accept a request with a key.
	MaxKeyAge = 24 * time.Hour
	// KeyRetention is how long a key is remembered: MaxKeyAge and 1 h for differences between wall clocks.
	KeyRetention = 25 * time.Hour
	// MaxKeyAhead is how far the timestamp of a key may be in the future.
	MaxKeyAhead = 5 * time.Minute
	// MaxBodyBytes is the largest size of the body of an answer.
	MaxBodyBytes = 64 << 10
	// MaxRetainedBytes is the largest total size of the answers whose bodies are kept, with answerOverheadBytes for each
	// of them. The oldest bodies are dropped first. The key of a dropped body stays answered: the request is never sent
	// again, and a retry gets the outcome unknown, since done promises the whole answer.
	MaxRetainedBytes = 8 << 20
	// answerOverheadBytes is the approximate memory of an answer without its body.
	answerOverheadBytes = 128
	// MaxNameBytes is the largest size of a name or reason.
	MaxNameBytes = 128
)

// The kinds of records in the stream keys.
const (
	KindIntent   record.Kind = "intent"
	KindAnswer   record.Kind = "answer"
	KindClose    record.Kind = "close"
	KindHomeZone record.Kind = "home"
)

// Errors of CheckKey.
var (
	ErrInvalidKey = errors.New("intent: key is no UUIDv7")
	ErrKeyTooOld  = errors.New("intent: key is older than 24 h")
	ErrKeyAhead   = errors.New("intent: key is more than 5 min in the future")
)

// The errors with which Table.Apply ignores a record. For a malformed record, it returns record.ErrMalformed.
var (
	ErrUnknownKind     = errors.New("intent: unknown kind of record")
	ErrUnknownKey      = errors.New("intent: unknown key")
	ErrWrongAttempt    = errors.New("intent: attempt or previous offset does not match the last intent")
	ErrWrongKind       = errors.New("intent: record does not apply to this kind of key")
	ErrAlreadyRecorded = errors.New("intent: attempt is already recorded")
	ErrConflict        = errors.New("intent: key is in use with another digest")
	ErrAnswered        = errors.New("intent: key is answered")
	ErrClosed          = errors.New("intent: key is closed")
	ErrExpired         = errors.New("intent: key is older than the watermark of the log allows")
	ErrStaleHop        = errors.New("intent: hop is not newer than that of the last move")
)

// KeyKind is the kind of work that a key stands for.
type KeyKind string

// The kinds of keys.
const (
	KeyKindCall KeyKind = "call"
	KeyKindJob  KeyKind = "job"
)

// Intent is the record that claims the next attempt of a key for a host, before the call is sent.
type Intent struct {
	Key string `msgpack:"key"`
	// Digest is the digest of the request's content. All intents of a key have the same digest.
	Digest uint64  `msgpack:"digest"`
	Kind   KeyKind `msgpack:"kind"`
	Class  string  `msgpack:"class"`
	Zone   string  `msgpack:"zone"`
	Host   string  `msgpack:"host"`
	// Worker, Boot and LatestStart are set for calls. Boot changes with every restart of the worker. LatestStart is the
	// latest time, by the worker's monotonic clock, at which the call may start.
	Worker      string        `msgpack:"worker,omitempty"`
	Boot        string        `msgpack:"boot,omitempty"`
	LatestStart time.Duration `msgpack:"before,omitempty"`
	Attempt     int           `msgpack:"attempt"`
	// PreviousOffset is the offset of the intent that this one follows, 0 for attempt 1.
	PreviousOffset uint64 `msgpack:"after,omitempty"`
}

// Answer is the record of a worker's answer to the last attempt of a call. Failed is set if the call ran and ended with
// an error, which Body describes.
type Answer struct {
	Key     string `msgpack:"key"`
	Attempt int    `msgpack:"attempt"`
	Body    []byte `msgpack:"body"`
	// Digest is the xxhash64 of Body.
	Digest uint64 `msgpack:"digest"`
	Failed bool   `msgpack:"failed,omitempty"`
}

// Close is the record that a key will never run. Attempt 0 is valid only in the first record of the key. Otherwise
// Attempt and PreviousOffset name the last intent, which has certainly not started.
type Close struct {
	Key            string `msgpack:"key"`
	Attempt        int    `msgpack:"attempt"`
	PreviousOffset uint64 `msgpack:"after,omitempty"`
	Reason         string `msgpack:"reason"`
}

// HomeZone is the record of the zone that a job was moved to. Hop grows with each move, so that a late record of an
// earlier move is ignored.
type HomeZone struct {
	Key  string `msgpack:"key"`
	Zone string `msgpack:"zone"`
	Hop  int    `msgpack:"hop"`
}

// keyTimestamp returns the timestamp of a key. It returns ErrInvalidKey, wrapped, unless the key is a UUIDv7 in its
// canonical form.
func keyTimestamp(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.String() != key {
		return time.Time{}, errors.Wrapf(ErrInvalidKey, "key %.64q", key)
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// CheckKey returns an error if a host must not serve a request with a key. With ErrKeyTooOld the outcome is unknown,
// because the request may have run and its key been forgotten since, and with ErrKeyAhead because a host whose clock is
// ahead of this one's may have accepted the key. With ErrInvalidKey the request has not run, because every host refuses
// the key.
func CheckKey(now time.Time, key string) error {
	at, err := keyTimestamp(key)
	switch {
	case err != nil:
		return err
	case now.Sub(at) > MaxKeyAge:
		return errors.Wrapf(ErrKeyTooOld, "key %s", key)
	case at.Sub(now) > MaxKeyAhead:
		return errors.Wrapf(ErrKeyAhead, "key %s", key)
	}
	return nil
}

// recordBody is the content of a record, which can check its own fields.
type recordBody interface{ check() error }

func malformedError(format string, args ...any) error {
	return errors.Wrapf(record.ErrMalformed, format, args...)
}

// checkKeyAndNames returns record.ErrMalformed, wrapped, for an invalid key and for empty or long names.
func checkKeyAndNames(key string, names ...string) error {
	if _, err := keyTimestamp(key); err != nil {
		return malformedError("%v", err)
	}
	for _, n := range names {
		if n == "" || len(n) > MaxNameBytes {
			return malformedError("name of %d bytes", len(n))
		}
	}
	return nil
}

func (i Intent) check() error {
	if i.Attempt < 1 || i.Attempt > 1<<30 || i.Attempt == 1 && i.PreviousOffset != 0 {
		return malformedError("attempt %d after %d", i.Attempt, i.PreviousOffset)
	}
	switch i.Kind {
	case KeyKindJob:
		if i.Attempt != 1 {
			return malformedError("attempt %d of a job", i.Attempt)
		}
		return checkKeyAndNames(i.Key, i.Class, i.Zone, i.Host)
	case KeyKindCall:
		if i.LatestStart <= 0 {
			return malformedError("call without a latest start")
		}
		return checkKeyAndNames(i.Key, i.Class, i.Zone, i.Host, i.Worker, i.Boot)
	}
	return malformedError("kind %.64q", i.Kind)
}

func (a Answer) check() error {
	if a.Attempt < 1 || len(a.Body) > MaxBodyBytes || a.Digest != xxhash.Sum64(a.Body) {
		return malformedError("answer of %d bytes to attempt %d", len(a.Body), a.Attempt)
	}
	return checkKeyAndNames(a.Key)
}

func (c Close) check() error {
	if c.Attempt < 0 || c.Attempt == 0 && c.PreviousOffset != 0 {
		return malformedError("close of attempt %d after %d", c.Attempt, c.PreviousOffset)
	}
	return checkKeyAndNames(c.Key, c.Reason)
}

func (h HomeZone) check() error {
	if h.Hop < 1 || h.Hop > 1<<30 {
		return malformedError("hop %d", h.Hop)
	}
	return checkKeyAndNames(h.Key, h.Zone)
}

// encodeItem checks and encodes a record. It returns an error for a record that every reader would ignore as malformed.
func encodeItem[T recordBody](kind record.Kind, m T) (record.Item, error) {
	if err := m.check(); err != nil {
		return record.Item{}, errors.Wrapf(err, "intent: %s", kind)
	}
	return record.EncodeItem(kind, m)
}

// Item encodes an Intent. It has no prefix because the package has the same name as the type.
func Item(i Intent) (record.Item, error) { return encodeItem(KindIntent, i) }

// AnswerItem encodes an Answer and fills in its digest.
func AnswerItem(a Answer) (record.Item, error) {
	a.Digest = xxhash.Sum64(a.Body)
	return encodeItem(KindAnswer, a)
}

// CloseItem encodes a Close.
func CloseItem(c Close) (record.Item, error) { return encodeItem(KindClose, c) }

// HomeZoneItem encodes a HomeZone.
func HomeZoneItem(h HomeZone) (record.Item, error) { return encodeItem(KindHomeZone, h) }
