package feed

import (
	"container/list"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// MaxWriters is the number of writers whose last sequence number a reader remembers. A late duplicate of a writer that
// was forgotten would be applied again.
const MaxWriters = 512

// ErrNotContiguous is returned by Cursor.Next for a record that is not at the cursor's position.
var ErrNotContiguous = errors.New("feed: record does not continue at the reader's position")

// WriterSeq is the highest sequence number read of a writer.
type WriterSeq struct {
	Writer string `msgpack:"writer"`
	Seq    uint64 `msgpack:"seq"`
}

// Cursor decides, record by record, what a reader applies. It is deterministic and does no I/O: all readers of the same
// records make the same decisions.
type Cursor struct {
	// pos is the offset of the next record. It never decreases.
	pos uint64
	// seen holds the elements of order by writer; both have at most MaxWriters entries.
	seen map[string]*list.Element
	// order holds WriterSeq values, least recently seen first.
	order *list.List
	// counts holds the counts of records, and those of items, which the Feed adds.
	counts Counts
}

// NewCursor returns a cursor whose next record is at pos. The writers are ordered as by Cursor.Writers.
func NewCursor(pos uint64, writers []WriterSeq) *Cursor {
	c := &Cursor{pos: pos}
	c.load(writers)
	return c
}

// load replaces the remembered writers.
func (c *Cursor) load(writers []WriterSeq) {
	c.seen, c.order = make(map[string]*list.Element), list.New()
	for _, w := range writers {
		c.accept(w.Writer, w.Seq)
	}
}

// Position returns the offset of the next record.
func (c *Cursor) Position() uint64 { return c.pos }

// Writers returns the remembered writers, least recently seen first.
func (c *Cursor) Writers() []WriterSeq {
	ws := make([]WriterSeq, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		ws = append(ws, e.Value.(WriterSeq))
	}
	return ws
}

// LastSeq returns the highest sequence number read of a writer, 0 if it is not remembered.
func (c *Cursor) LastSeq(writer string) uint64 {
	if e, ok := c.seen[writer]; ok {
		return e.Value.(WriterSeq).Seq
	}
	return 0
}

// SkipTo moves the cursor forward to pos with the given writers, as after restoring a snapshot.
func (c *Cursor) SkipTo(pos uint64, writers []WriterSeq) {
	c.pos = max(c.pos, pos)
	c.load(writers)
}

// Next advances over one record. It returns the envelope and true if its items are to be applied. Records that
// are duplicates, malformed or of a newer version are counted and skipped. The only error is ErrNotContiguous,
// which leaves the cursor unchanged.
func (c *Cursor) Next(r logservice.Record) (record.Envelope, bool, error) {
	if r.Offset != c.pos {
		return record.Envelope{}, false, errors.Wrapf(ErrNotContiguous, "offset %d at position %d", r.Offset, c.pos)
	}
	c.pos++
	e, err := record.Decode(r.Data)
	if c.countDecodeError(err) {
		return record.Envelope{}, false, nil
	}
	if !c.accept(e.Writer, e.Seq) {
		c.counts.Duplicates++
		return record.Envelope{}, false, nil
	}
	c.counts.Records++
	return e, true, nil
}

// countDecodeError counts a record that could not be decoded and reports whether it was one.
func (c *Cursor) countDecodeError(err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, record.ErrNewerVersion):
		c.counts.NewerVersion++
	default:
		c.counts.Malformed++
	}
	return true
}

// accept records the sequence number and reports whether it is higher than all earlier ones of the writer. An abandoned
// batch that takes effect after its successor is therefore dropped by every reader.
func (c *Cursor) accept(writer string, seq uint64) bool {
	e, ok := c.seen[writer]
	if !ok {
		c.seen[writer] = c.order.PushBack(WriterSeq{Writer: writer, Seq: seq})
		if c.order.Len() > MaxWriters {
			oldest := c.order.Remove(c.order.Front()).(WriterSeq)
			delete(c.seen, oldest.Writer)
		}
		return true
	}
	c.order.MoveToBack(e)
	last := e.Value.(WriterSeq)
	if seq <= last.Seq {
		return false
	}
	e.Value = WriterSeq{Writer: writer, Seq: seq}
	return true
}
