package intent

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// entry is what is known of a key. Its fields are exported for the codec only.
type entry struct {
	Key string `msgpack:"key"`
	// Intent is the last valid intent, with Attempt 0 if the key was closed first. Offset is its offset.
	Intent Intent `msgpack:"intent"`
	Offset uint64 `msgpack:"offset"`
	// At most one of Answer and Close is set. No intent follows either.
	Answer *Answer `msgpack:"answer"`
	Close  *Close  `msgpack:"close"`
	// Dropped is set once the body of Answer is no longer kept.
	Dropped bool `msgpack:"dropped,omitempty"`
	// Hop is that of the last home record. It moved Intent.Zone.
	Hop int `msgpack:"hop"`
	// stamp is the key's timestamp in milliseconds.
	stamp int64
}

// Table is the aggregate of keyed requests. It is not safe for concurrent use.
//
// The verdict on a record must not depend on whether a reader has already forgotten the key. The table therefore keeps
// a watermark: the highest timestamp of the keys that valid first records named. A record whose key is more than Keep
// older than the watermark gets ErrExpired from every reader, whether it still knows the key or not, and Expire
// forgets only such keys. The watermark comes from the log alone, so it is the same for all readers. Hosts refuse keys
// that are more than 5 min ahead of their clock, so it is ahead of the true time by no more than that and the
// difference between wall clocks, both of which the hour between Window and Keep covers.
type Table struct {
	keys map[string]*entry
	// mark is the watermark in milliseconds.
	mark int64
	// bodies are the answers whose bodies are kept, in log order, and size is their total. Keys that Expire forgot are
	// among them, so that both are the same for all readers.
	bodies []body
	size   int
}

// body is the size of an answer's body. Its fields are exported for the codec only.
type body struct {
	Key  string `msgpack:"key"`
	Size int    `msgpack:"size"`
}

// New returns an empty table.
func New() *Table { return &Table{keys: map[string]*entry{}} }

// expired reports whether records of a key with a timestamp are ignored.
func (t *Table) expired(stamp int64) bool { return stamp < t.mark-Keep.Milliseconds() }

// Apply applies the record at an offset of the stream keys. An error means that the record was ignored, by every
// reader alike. The verdict does not depend on now. Records must come in log order.
func (t *Table) Apply(_ time.Time, offset uint64, item record.Item) error {
	var err error
	switch item.Kind {
	case KindIntent:
		err = run(item, func(i Intent) error { return t.intent(offset, i) })
	case KindAnswer:
		err = run(item, t.answer)
	case KindClose:
		err = run(item, t.close)
	case KindHome:
		err = run(item, t.home)
	default:
		err = ErrUnknownKind
	}
	return errors.Wrapf(err, "intent: %.32q at offset %d", item.Kind, offset)
}

// run decodes and checks a record before it is applied.
func run[T message](item record.Item, apply func(T) error) error {
	m, err := record.DecodeItem[T](item)
	if err != nil {
		return err
	}
	if err := m.check(); err != nil {
		return err
	}
	return apply(m)
}

// find returns the entry of a key, nil if there is none, and the key's timestamp.
func (t *Table) find(key string) (*entry, int64, error) {
	at, err := parseKey(key)
	if err != nil {
		return nil, 0, malformed("%v", err)
	}
	stamp := at.UnixMilli()
	if t.expired(stamp) {
		return nil, 0, ErrExpired
	}
	return t.keys[key], stamp, nil
}

// known returns the entry of a key that has one.
func (t *Table) known(key string) (*entry, error) {
	e, _, err := t.find(key)
	if err == nil && e == nil {
		err = ErrUnknownKey
	}
	return e, err
}

func (t *Table) insert(e *entry) {
	t.keys[e.Key] = e
	t.mark = max(t.mark, e.stamp)
}

// settled returns an error if nothing may follow in the key's history.
func (e *entry) settled() error {
	switch {
	case e.Close != nil:
		return ErrClosed
	case e.Answer != nil:
		return ErrAnswered
	}
	return nil
}

func (t *Table) intent(offset uint64, i Intent) error {
	e, stamp, err := t.find(i.Key)
	switch {
	case err != nil:
		return err
	case e == nil && i.Attempt == 1:
		t.insert(&entry{Key: i.Key, Intent: i, Offset: offset, stamp: stamp})
		return nil
	case e == nil:
		return ErrUnknownKey
	case e.Intent.Attempt > 0 && (e.Intent.Digest != i.Digest || e.Intent.Kind != i.Kind):
		return ErrConflict
	}
	if err := e.settled(); err != nil {
		return err
	}
	switch {
	case i.Attempt <= e.Intent.Attempt:
		return ErrExists
	case i.Attempt != e.Intent.Attempt+1 || i.After != e.Offset:
		return ErrWrongAttempt
	}
	e.Intent, e.Offset = i, offset
	return nil
}

func (t *Table) answer(a Answer) error {
	e, err := t.known(a.Key)
	if err != nil {
		return err
	}
	if err := e.settled(); err != nil {
		return err
	}
	switch {
	case e.Intent.Kind != Call:
		return ErrWrongKind
	case a.Attempt != e.Intent.Attempt:
		return ErrWrongAttempt
	}
	e.Answer = &a
	t.keep(body{Key: a.Key, Size: len(a.Body) + bodyOverhead})
	return nil
}

// keep adds an answer to those whose bodies are kept and drops the oldest bodies beyond KeepBodies.
func (t *Table) keep(b body) {
	t.bodies = append(t.bodies, b)
	t.size += b.Size
	for t.size > KeepBodies {
		oldest := t.bodies[0]
		t.bodies[0] = body{}
		t.bodies = t.bodies[1:]
		t.size -= oldest.Size
		if e := t.keys[oldest.Key]; e != nil && e.Answer != nil {
			e.Answer.Body, e.Dropped = nil, true
		}
	}
}

func (t *Table) close(c Close) error {
	e, stamp, err := t.find(c.Key)
	switch {
	case err != nil:
		return err
	case e == nil && c.Attempt == 0:
		t.insert(&entry{Key: c.Key, Close: &c, stamp: stamp})
		return nil
	case e == nil:
		return ErrUnknownKey
	}
	if err := e.settled(); err != nil {
		return err
	}
	switch {
	case e.Intent.Kind != Call:
		return ErrWrongKind
	case c.Attempt != e.Intent.Attempt || c.After != e.Offset:
		return ErrWrongAttempt
	}
	e.Close = &c
	return nil
}

func (t *Table) home(h Home) error {
	e, err := t.known(h.Key)
	switch {
	case err != nil:
		return err
	case e.Close != nil:
		return ErrClosed
	case e.Intent.Kind != Job:
		return ErrWrongKind
	case h.Hop <= e.Hop:
		return ErrStaleHop
	}
	e.Intent.Zone, e.Hop = h.Zone, h.Hop
	return nil
}

// Expire forgets the keys that are older than Keep, both by this host's clock and by the watermark, and returns their
// number. It changes no later verdict, since records of these keys are ignored already.
func (t *Table) Expire(now time.Time) int {
	n := 0
	for key, e := range t.keys {
		if t.expired(e.stamp) && now.Sub(time.UnixMilli(e.stamp)) > Keep {
			delete(t.keys, key)
			n++
		}
	}
	return n
}

// Len returns the number of keys that are remembered.
func (t *Table) Len() int { return len(t.keys) }

// State is what the log says of a key.
type State uint8

// The states of a key.
const (
	None State = iota
	// Started means that the last record is an intent.
	Started
	Answered
	Closed
	// Expired means that the key is too old for the log to say.
	Expired
)

// Outcome is the result of a look-up of a key.
type Outcome struct {
	State State
	// Intent is the last intent, with the zone of the last home record. Its Attempt is 0 if there is none.
	Intent Intent
	// Offset is that of Intent.
	Offset uint64
	Answer Answer
	// Dropped is set if the body of Answer is no longer kept.
	Dropped bool
	Close   Close
}

// Outcome looks up a key.
func (t *Table) Outcome(key string) Outcome {
	e, _, err := t.find(key)
	switch {
	case err != nil:
		return Outcome{State: Expired}
	case e == nil:
		return Outcome{}
	}
	o := Outcome{State: Started, Intent: e.Intent, Offset: e.Offset}
	if e.Answer != nil {
		o.State, o.Answer, o.Dropped = Answered, *e.Answer, e.Dropped
	}
	if e.Close != nil {
		o.State, o.Close = Closed, *e.Close
	}
	return o
}

type savedTable struct {
	Mark   int64   `msgpack:"mark"`
	Keys   []entry `msgpack:"keys"`
	Bodies []body  `msgpack:"bodies"`
}

// Snapshot encodes the state. It leaves out expired keys, so that readers with equal verdicts have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := savedTable{Mark: t.mark, Bodies: t.bodies}
	for _, e := range t.keys {
		if !t.expired(e.stamp) {
			s.Keys = append(s.Keys, *e)
		}
	}
	slices.SortFunc(s.Keys, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
	data, err := msgpack.Marshal(&s)
	return data, errors.Wrap(err, "intent: encode snapshot")
}

// Restore replaces the state by a snapshot taken at offset base. On error the state is unchanged.
func (t *Table) Restore(data []byte, base uint64) error {
	s, err := record.DecodeItem[savedTable](record.Item{Kind: "snap", Data: data})
	if err != nil {
		return errors.Wrapf(err, "intent: snapshot at offset %d", base)
	}
	n := &Table{keys: make(map[string]*entry, len(s.Keys)), mark: s.Mark, bodies: s.Bodies}
	for _, b := range s.Bodies {
		if b.Size < bodyOverhead || b.Size > MaxBody+bodyOverhead {
			return errors.Wrapf(malformed("body of %d bytes", b.Size), "intent: snapshot at offset %d", base)
		}
		n.size += b.Size
	}
	for i := range s.Keys {
		e := &s.Keys[i]
		at, err := parseKey(e.Key)
		if err != nil {
			return errors.Wrapf(malformed("%v", err), "intent: snapshot at offset %d", base)
		}
		e.stamp = at.UnixMilli()
		n.keys[e.Key] = e
	}
	*t = *n
	return nil
}
