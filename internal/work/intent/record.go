// Package intent is the aggregate of keyed requests and decides what a host does for a request on a key.
package intent

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Bounds of keys and fields.
const (
	// MaxKeyAge is the age up to which hosts accept a request on a key.
	MaxKeyAge = 24 * time.Hour
	// KeyRetention is how long a key is remembered: Window and 1 h for differences between wall clocks.
	KeyRetention = 25 * time.Hour
	// MaxKeyAhead is how far the timestamp of a key may be in the future.
	MaxKeyAhead = 5 * time.Minute
	// MaxBodyBytes bounds an answer in bytes.
	MaxBodyBytes = 64 << 10
	// MaxRetainedBytes bounds the bytes of the answers that are kept, bodyOverhead included for each. The oldest are dropped
	// first. The key of a dropped body stays answered: the request is never sent again, and a retry is told unknown,
	// since done promises the whole answer.
	MaxRetainedBytes = 8 << 20
	// answerOverheadBytes is the approximate memory of an answer without its body.
	answerOverheadBytes = 128
	// MaxNameBytes bounds all names and reasons in bytes.
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

// Verdicts on records that are ignored. Malformed records are refused with record.ErrMalformed.
var (
	ErrUnknownKind     = errors.New("intent: unknown kind of record")
	ErrUnknownKey      = errors.New("intent: unknown key")
	ErrWrongAttempt    = errors.New("intent: not the attempt or predecessor that the record needs")
	ErrWrongKind       = errors.New("intent: record does not apply to this kind of key")
	ErrAlreadyRecorded = errors.New("intent: already recorded")
	ErrConflict        = errors.New("intent: key is in use with another digest")
	ErrAnswered        = errors.New("intent: key is answered")
	ErrClosed          = errors.New("intent: key is closed")
	ErrExpired         = errors.New("intent: key is older than the watermark of the log allows")
	ErrStaleHop        = errors.New("intent: home with a hop that is not newer")
)

// KeyKind is what a key is for.
type KeyKind string

// The kinds of keys.
const (
	KeyKindCall KeyKind = "call"
	KeyKindJob  KeyKind = "job"
)

// Intent claims a key, or the next attempt of it.
type Intent struct {
	Key    string  `msgpack:"key"`
	Digest uint64  `msgpack:"digest"`
	Kind   KeyKind `msgpack:"kind"`
	Class  string  `msgpack:"class"`
	Zone   string  `msgpack:"zone"`
	Host   string  `msgpack:"host"`
	// Worker, Boot and Before are set for calls. Before is the latest start in the worker's clock.
	Worker      string        `msgpack:"worker,omitempty"`
	Boot        string        `msgpack:"boot,omitempty"`
	LatestStart time.Duration `msgpack:"before,omitempty"`
	Attempt     int           `msgpack:"attempt"`
	// PreviousOffset is the offset of the intent that this one follows, 0 for attempt 1.
	PreviousOffset uint64 `msgpack:"after,omitempty"`
}

// Answer records the result of the last attempt.
type Answer struct {
	Key     string `msgpack:"key"`
	Attempt int    `msgpack:"attempt"`
	Body    []byte `msgpack:"body"`
	// Digest is the xxhash64 of Body.
	Digest uint64 `msgpack:"digest"`
	Failed bool   `msgpack:"failed,omitempty"`
}

// Close settles that a key will never run. Attempt 0 is valid only as the first record of the key. Otherwise Attempt
// and After name the last intent, which is certain not to have started.
type Close struct {
	Key            string `msgpack:"key"`
	Attempt        int    `msgpack:"attempt"`
	PreviousOffset uint64 `msgpack:"after,omitempty"`
	Reason         string `msgpack:"reason"`
}

// HomeZone records the zone that a job was moved to.
type HomeZone struct {
	Key  string `msgpack:"key"`
	Zone string `msgpack:"zone"`
	Hop  int    `msgpack:"hop"`
}

// keyTimestamp returns the timestamp of a key.
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

// CheckKey decides whether a host may serve a request on a key. After ErrOld the outcome is unknown, since the key may
// have run and been forgotten. After the other errors it is not run, since every host refuses the key.
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

// message is a record that can check its own fields.
type message interface{ check() error }

func malformed(format string, args ...any) error {
	return errors.Wrapf(record.ErrMalformed, format, args...)
}

func checkKeyAndNames(key string, names ...string) error {
	if _, err := keyTimestamp(key); err != nil {
		return malformed("%v", err)
	}
	for _, n := range names {
		if n == "" || len(n) > MaxNameBytes {
			return malformed("name of %d bytes", len(n))
		}
	}
	return nil
}

func (i Intent) check() error {
	if i.Attempt < 1 || i.Attempt > 1<<30 || i.Attempt == 1 && i.PreviousOffset != 0 {
		return malformed("attempt %d after %d", i.Attempt, i.PreviousOffset)
	}
	switch i.Kind {
	case KeyKindJob:
		if i.Attempt != 1 {
			return malformed("attempt %d of a job", i.Attempt)
		}
		return checkKeyAndNames(i.Key, i.Class, i.Zone, i.Host)
	case KeyKindCall:
		if i.LatestStart <= 0 {
			return malformed("call without a latest start")
		}
		return checkKeyAndNames(i.Key, i.Class, i.Zone, i.Host, i.Worker, i.Boot)
	}
	return malformed("kind %.64q", i.Kind)
}

func (a Answer) check() error {
	if a.Attempt < 1 || len(a.Body) > MaxBodyBytes || a.Digest != xxhash.Sum64(a.Body) {
		return malformed("answer of %d bytes to attempt %d", len(a.Body), a.Attempt)
	}
	return checkKeyAndNames(a.Key)
}

func (c Close) check() error {
	if c.Attempt < 0 || c.Attempt == 0 && c.PreviousOffset != 0 {
		return malformed("close of attempt %d after %d", c.Attempt, c.PreviousOffset)
	}
	return checkKeyAndNames(c.Key, c.Reason)
}

func (h HomeZone) check() error {
	if h.Hop < 1 || h.Hop > 1<<30 {
		return malformed("hop %d", h.Hop)
	}
	return checkKeyAndNames(h.Key, h.Zone)
}

// seal refuses a record that every reader would ignore as malformed.
func seal[T message](kind record.Kind, m T) (record.Item, error) {
	if err := m.check(); err != nil {
		return record.Item{}, errors.Wrapf(err, "intent: %s", kind)
	}
	return record.Seal(kind, m)
}

// Item encodes an Intent. The function has no prefix as the package already bears the name.
func Item(i Intent) (record.Item, error) { return seal(KindIntent, i) }

// AnswerItem encodes an Answer and fills in its digest.
func AnswerItem(a Answer) (record.Item, error) {
	a.Digest = xxhash.Sum64(a.Body)
	return seal(KindAnswer, a)
}

// CloseItem encodes a Close.
func CloseItem(c Close) (record.Item, error) { return seal(KindClose, c) }

// HomeZoneItem encodes a Home.
func HomeZoneItem(h HomeZone) (record.Item, error) { return seal(KindHomeZone, h) }
