package intent

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// entry is the state of a key. Its fields are exported for the codec only.
type entry struct {
	Key string `msgpack:"key"`
	// Intent is the last valid intent, with Attempt 0 if the key was closed first. Offset is its offset.
	Intent Intent `msgpack:"intent"`
	Offset uint64 `msgpack:"offset"`
	// At most one of Answer and Close is set. No intent follows either.
	Answer *Answer `msgpack:"answer"`
	Close  *Close  `msgpack:"close"`
	// BodyDropped is set once the body of Answer is no longer kept.
	BodyDropped bool `msgpack:"dropped,omitempty"`
	// Hop is that of the last HomeZone record, which also replaced Intent.Zone.
	Hop int `msgpack:"hop"`
	// timestampMs is the timestamp of the key, in milliseconds of Unix time.
	timestampMs int64
}

// Table is the state of all keys as the log gives it. It is not safe for concurrent use.
//
// Whether a record is accepted must not depend on whether a reader has already forgotten the key. The table therefore
// keeps a watermark: the highest timestamp of the keys whose first record was accepted. A record whose key is more than
// KeyRetention older than the watermark gets ErrExpired from every reader, whether it still knows the key or not, and
// Expire forgets only such keys. The watermark comes from the log alone, so it is the same for all readers. Hosts
// refuse keys that are more than 5 min ahead of their clock, so the watermark is ahead of the true time by no more than
// that and the difference between wall clocks. The hour between MaxKeyAge and KeyRetention covers both.
type Table struct {
	keys map[string]*entry
	// watermarkMs is the watermark, in milliseconds of Unix time.
	watermarkMs int64
	// retainedBodies are the answers whose bodies are kept, in log order, and retainedBytes is their total size. Keys
	// that Expire forgot are among them, so that both are the same for all readers.
	retainedBodies []retainedBody
	retainedBytes  int
}

// retainedBody is the size of an answer whose body is kept, with answerOverheadBytes. Its fields are exported for the
// codec only.
type retainedBody struct {
	Key  string `msgpack:"key"`
	Size int    `msgpack:"size"`
}

// New returns an empty table.
func New() *Table { return &Table{keys: map[string]*entry{}} }

// expired reports whether the records of a key with the given timestamp are ignored because of its age.
func (t *Table) expired(timestampMs int64) bool {
	return timestampMs < t.watermarkMs-KeyRetention.Milliseconds()
}

// Apply applies a record at an offset of the stream keys. An error means that the record was ignored. The time, which a
// feed passes to every sink, is not used, so that every reader ignores the same records. Records must come in the order
// of the log.
func (t *Table) Apply(_ time.Time, offset uint64, item record.Item) error {
	var err error
	switch item.Kind {
	case KindIntent:
		err = decodeAndApply(item, func(i Intent) error { return t.applyIntent(offset, i) })
	case KindAnswer:
		err = decodeAndApply(item, t.applyAnswer)
	case KindClose:
		err = decodeAndApply(item, t.close)
	case KindHomeZone:
		err = decodeAndApply(item, t.applyHomeZone)
	default:
		err = ErrUnknownKind
	}
	return errors.Wrapf(err, "intent: %.32q at offset %d", item.Kind, offset)
}

// decodeAndApply decodes, checks and applies a record.
func decodeAndApply[T recordBody](item record.Item, apply func(T) error) error {
	m, err := record.DecodeItem[T](item)
	if err != nil {
		return err
	}
	if err := m.check(); err != nil {
		return err
	}
	return apply(m)
}

// findEntry returns the entry of a key, nil if there is none, and the key's timestamp in milliseconds.
func (t *Table) findEntry(key string) (*entry, int64, error) {
	at, err := keyTimestamp(key)
	if err != nil {
		return nil, 0, malformedError("%v", err)
	}
	timestampMs := at.UnixMilli()
	if t.expired(timestampMs) {
		return nil, 0, ErrExpired
	}
	return t.keys[key], timestampMs, nil
}

// existingEntry returns the entry of a key, or ErrUnknownKey if there is none.
func (t *Table) existingEntry(key string) (*entry, error) {
	e, _, err := t.findEntry(key)
	if err == nil && e == nil {
		err = ErrUnknownKey
	}
	return e, err
}

// insert adds the entry of a key whose first record was accepted, and raises the watermark to the key's timestamp.
func (t *Table) insert(e *entry) {
	t.keys[e.Key] = e
	t.watermarkMs = max(t.watermarkMs, e.timestampMs)
}

// checkOpen returns ErrClosed or ErrAnswered if the key accepts no further intent, answer or close.
func (e *entry) checkOpen() error {
	switch {
	case e.Close != nil:
		return ErrClosed
	case e.Answer != nil:
		return ErrAnswered
	}
	return nil
}

func (t *Table) applyIntent(offset uint64, i Intent) error {
	e, timestampMs, err := t.findEntry(i.Key)
	switch {
	case err != nil:
		return err
	case e == nil && i.Attempt == 1:
		t.insert(&entry{Key: i.Key, Intent: i, Offset: offset, timestampMs: timestampMs})
		return nil
	case e == nil:
		return ErrUnknownKey
	case e.Intent.Attempt > 0 && (e.Intent.Digest != i.Digest || e.Intent.Kind != i.Kind):
		return ErrConflict
	}
	if err := e.checkOpen(); err != nil {
		return err
	}
	switch {
	case i.Attempt <= e.Intent.Attempt:
		return ErrAlreadyRecorded
	case i.Attempt != e.Intent.Attempt+1 || i.PreviousOffset != e.Offset:
		return ErrWrongAttempt
	}
	e.Intent, e.Offset = i, offset
	return nil
}

func (t *Table) applyAnswer(a Answer) error {
	e, err := t.existingEntry(a.Key)
	if err != nil {
		return err
	}
	if err := e.checkOpen(); err != nil {
		return err
	}
	switch {
	case e.Intent.Kind != KeyKindCall:
		return ErrWrongKind
	case a.Attempt != e.Intent.Attempt:
		return ErrWrongAttempt
	}
	e.Answer = &a
	t.retain(retainedBody{Key: a.Key, Size: len(a.Body) + answerOverheadBytes})
	return nil
}

// retain adds an answer to those whose bodies are kept and drops the oldest bodies while the total exceeds
// MaxRetainedBytes.
func (t *Table) retain(b retainedBody) {
	t.retainedBodies = append(t.retainedBodies, b)
	t.retainedBytes += b.Size
	for t.retainedBytes > MaxRetainedBytes {
		oldest := t.retainedBodies[0]
		t.retainedBodies[0] = retainedBody{}
		t.retainedBodies = t.retainedBodies[1:]
		t.retainedBytes -= oldest.Size
		if e := t.keys[oldest.Key]; e != nil && e.Answer != nil {
			e.Answer.Body, e.BodyDropped = nil, true
		}
	}
}

func (t *Table) close(c Close) error {
	e, timestampMs, err := t.findEntry(c.Key)
	switch {
	case err != nil:
		return err
	case e == nil && c.Attempt == 0:
		t.insert(&entry{Key: c.Key, Close: &c, timestampMs: timestampMs})
		return nil
	case e == nil:
		return ErrUnknownKey
	}
	if err := e.checkOpen(); err != nil {
		return err
	}
	switch {
	case e.Intent.Kind != KeyKindCall:
		return ErrWrongKind
	case c.Attempt != e.Intent.Attempt || c.PreviousOffset != e.Offset:
		return ErrWrongAttempt
	}
	e.Close = &c
	return nil
}

func (t *Table) applyHomeZone(h HomeZone) error {
	e, err := t.existingEntry(h.Key)
	switch {
	case err != nil:
		return err
	case e.Close != nil:
		return ErrClosed
	case e.Intent.Kind != KeyKindJob:
		return ErrWrongKind
	case h.Hop <= e.Hop:
		return ErrStaleHop
	}
	e.Intent.Zone, e.Hop = h.Zone, h.Hop
	return nil
}

// Expire forgets the keys that are older than KeyRetention, both by this host's clock and by the watermark, and returns
// their number. It changes no later result of Apply, since records of these keys are ignored already.
func (t *Table) Expire(now time.Time) int {
	n := 0
	for key, e := range t.keys {
		if t.expired(e.timestampMs) && now.Sub(time.UnixMilli(e.timestampMs)) > KeyRetention {
			delete(t.keys, key)
			n++
		}
	}
	return n
}

// Len returns the number of keys that the table holds.
func (t *Table) Len() int { return len(t.keys) }

// State is the state of a key according to the log.
type State uint8

// The states of a key.
const (
	StateNone State = iota
	// StateClaimed means that the key has an intent, but neither an answer nor a close. The work may not have started.
	StateClaimed
	StateAnswered
	StateClosed
	// StateExpired means that the key is so old that its records may be forgotten, or that it is invalid.
	StateExpired
)

// KeyStatus is the state of a key and its last records.
type KeyStatus struct {
	State State
	// Intent is the last intent, with the zone of the last HomeZone record. Its Attempt is 0 if there is no intent.
	Intent Intent
	// Offset is the offset of Intent.
	Offset uint64
	Answer Answer
	// BodyDropped is set if the body of Answer is no longer kept.
	BodyDropped bool
	Close       Close
}

// LookUp returns the status of a key.
func (t *Table) LookUp(key string) KeyStatus {
	e, _, err := t.findEntry(key)
	switch {
	case err != nil:
		return KeyStatus{State: StateExpired}
	case e == nil:
		return KeyStatus{}
	}
	status := KeyStatus{State: StateClaimed, Intent: e.Intent, Offset: e.Offset}
	if e.Answer != nil {
		status.State, status.Answer, status.BodyDropped = StateAnswered, *e.Answer, e.BodyDropped
	}
	if e.Close != nil {
		status.State, status.Close = StateClosed, *e.Close
	}
	return status
}

// tableSnapshot is the encoded form of a Table.
type tableSnapshot struct {
	WatermarkMs int64          `msgpack:"mark"`
	Keys        []entry        `msgpack:"keys"`
	Bodies      []retainedBody `msgpack:"bodies"`
}

// Snapshot encodes the table. It leaves out expired keys, so that readers of the same records have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := tableSnapshot{WatermarkMs: t.watermarkMs, Bodies: t.retainedBodies}
	for _, e := range t.keys {
		if !t.expired(e.timestampMs) {
			s.Keys = append(s.Keys, *e)
		}
	}
	slices.SortFunc(s.Keys, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
	data, err := msgpack.Marshal(&s)
	return data, errors.Wrap(err, "intent: encode snapshot")
}

// Restore replaces the table by a snapshot taken at offset base. On error the table is unchanged.
func (t *Table) Restore(data []byte, base uint64) error {
	s, err := record.DecodeItem[tableSnapshot](record.Item{Kind: "snap", Data: data})
	if err != nil {
		return errors.Wrapf(err, "intent: snapshot at offset %d", base)
	}
	n := &Table{keys: make(map[string]*entry, len(s.Keys)), watermarkMs: s.WatermarkMs, retainedBodies: s.Bodies}
	for _, b := range s.Bodies {
		if b.Size < answerOverheadBytes || b.Size > MaxBodyBytes+answerOverheadBytes {
			return errors.Wrapf(malformedError("body of %d bytes", b.Size), "intent: snapshot at offset %d", base)
		}
		n.retainedBytes += b.Size
	}
	for i := range s.Keys {
		e := &s.Keys[i]
		at, err := keyTimestamp(e.Key)
		if err != nil {
			return errors.Wrapf(malformedError("%v", err), "intent: snapshot at offset %d", base)
		}
		e.timestampMs = at.UnixMilli()
		n.keys[e.Key] = e
	}
	*t = *n
	return nil
}
