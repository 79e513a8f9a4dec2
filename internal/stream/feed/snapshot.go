package feed

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// KindSnapshotPiece is the kind of snapshot pieces. The feed handles these items itself and does not pass them to the
// Sink.
const KindSnapshotPiece record.Kind = "snap"

const (
	// maxPieceBytes is the largest Piece.Data in bytes.
	maxPieceBytes = 64 << 10
	// maxPieces limits the memory that malformed pieces can make a reader allocate, to 256 MiB for one snapshot.
	maxPieces = 4096
)

// Piece is one part of an encoded snapshot. Index counts from 0 to Count-1.
type Piece struct {
	ID string `msgpack:"id"`
	// Base is the offset of the last record that the snapshot contains. It is lower than the offset of the piece.
	Base  uint64 `msgpack:"base"`
	Index int    `msgpack:"part"`
	Count int    `msgpack:"parts"`
	Data  []byte `msgpack:"data"`
	// Digest is the xxhash64 of the data of all pieces.
	Digest uint64 `msgpack:"digest"`
}

// valid reports whether the fields of a piece found at the offset are consistent and within their limits.
func (p Piece) valid(offset uint64) bool {
	return p.ID != "" && p.Base < offset && p.Count >= 1 && p.Count <= maxPieces &&
		p.Index >= 0 && p.Index < p.Count && len(p.Data) <= maxPieceBytes
}

// Snapshot is the state of a reader as of offset Base.
type Snapshot struct {
	ID   string `msgpack:"-"`
	Base uint64 `msgpack:"-"`
	// Writers is the deduplication table, least recently seen first.
	Writers []WriterSeq `msgpack:"writers"`
	// State is what Sink.Snapshot returned.
	State []byte `msgpack:"state"`
}

// SplitSnapshot encodes a snapshot as pieces with at most 64 KiB of data each. It returns ErrTooLarge, wrapped, if
// there would be more than maxPieces.
func SplitSnapshot(s Snapshot) ([]Piece, error) {
	data, err := msgpack.Marshal(&s)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode snapshot")
	}
	count := (len(data) + maxPieceBytes - 1) / maxPieceBytes
	if count > maxPieces {
		return nil, errors.Wrapf(ErrTooLarge, "snapshot of %d bytes", len(data))
	}
	digest := xxhash.Sum64(data)
	pieces := make([]Piece, 0, count)
	for i := range count {
		chunk := data[i*maxPieceBytes : min(len(data), (i+1)*maxPieceBytes)]
		pieces = append(pieces, Piece{ID: s.ID, Base: s.Base, Index: i, Count: count, Data: chunk, Digest: digest})
	}
	return pieces, nil
}

// partialSnapshot is an incomplete snapshot: the piece that was found first and the data of all found pieces.
type partialSnapshot struct {
	first       Piece
	dataByIndex map[int][]byte
}

// SnapshotScan assembles snapshots from pieces that arrive in any order. It does no I/O.
type SnapshotScan struct {
	// incomplete holds the snapshots whose pieces were not all found yet, by ID.
	incomplete map[string]*partialSnapshot
	// best is the complete snapshot with the highest base, nil if there is none.
	best *Snapshot
	// refused holds the IDs of snapshots that are invalid or could not be restored.
	refused map[string]bool
}

// NewSnapshotScan returns an empty scan.
func NewSnapshotScan() *SnapshotScan {
	return &SnapshotScan{incomplete: make(map[string]*partialSnapshot), refused: make(map[string]bool)}
}

// Add collects the pieces of one record. Anything else in the record is ignored.
func (s *SnapshotScan) Add(r logservice.Record) {
	e, err := record.Decode(r.Data)
	if err != nil {
		return
	}
	for _, item := range e.Items {
		if item.Kind != KindSnapshotPiece {
			continue
		}
		if p, err := record.DecodeItem[Piece](item); err == nil {
			s.AddPiece(r.Offset, p)
		}
	}
}

// AddPiece collects one piece found at the offset. Invalid pieces and those that contradict earlier pieces of
// the same snapshot are ignored.
func (s *SnapshotScan) AddPiece(offset uint64, p Piece) {
	if !p.valid(offset) || s.refused[p.ID] || s.best != nil && p.Base <= s.best.Base {
		return
	}
	partial, ok := s.incomplete[p.ID]
	if !ok {
		partial = &partialSnapshot{first: p, dataByIndex: make(map[int][]byte)}
		s.incomplete[p.ID] = partial
	}
	if partial.first.Base != p.Base || partial.first.Count != p.Count || partial.first.Digest != p.Digest {
		return
	}
	partial.dataByIndex[p.Index] = p.Data
	if len(partial.dataByIndex) < p.Count {
		return
	}
	delete(s.incomplete, p.ID)
	var data []byte
	for i := range p.Count {
		data = append(data, partial.dataByIndex[i]...)
	}
	snap, err := decodeSnapshot(data, p)
	if err != nil {
		s.refused[p.ID] = true
		return
	}
	s.best = &snap
}

// decodeSnapshot checks the digest of an assembled snapshot and decodes it.
func decodeSnapshot(data []byte, p Piece) (Snapshot, error) {
	if xxhash.Sum64(data) != p.Digest {
		return Snapshot{}, errors.Wrap(record.ErrMalformed, "snapshot digest")
	}
	snap, err := record.DecodeItem[Snapshot](record.Item{Kind: KindSnapshotPiece, Data: data})
	if err != nil {
		return Snapshot{}, err
	}
	snap.ID, snap.Base = p.ID, p.Base
	return snap, nil
}

// Best returns the newest complete snapshot, if all records after it are retained. first is the oldest retained offset.
func (s *SnapshotScan) Best(first uint64) (Snapshot, bool) {
	if s.best == nil || s.best.Base+1 < first {
		return Snapshot{}, false
	}
	return *s.best, true
}

// Refuse drops a snapshot that could not be restored, so that the scan can go on to an older one.
func (s *SnapshotScan) Refuse(id string) {
	s.refused[id] = true
	if s.best != nil && s.best.ID == id {
		s.best = nil
	}
}

// snapshotTracker tracks which snapshots in the stream are complete, without their data. The reader uses it while it
// follows the stream.
type snapshotTracker struct {
	// records counts the records without snapshot pieces that were read.
	records uint64
	// recordsAtSnapshot is the value of records when the first piece of the newest complete snapshot was read.
	recordsAtSnapshot uint64
	// base is the base of that snapshot, 0 if there is none.
	base uint64
	// incomplete holds the pieces read of the snapshots that are not complete, by ID.
	incomplete map[string]*pieceSet
}

// pieceSet holds the indexes of the pieces read of one snapshot.
type pieceSet struct {
	// recordsAtFirst is the value of snapshotTracker.records when the first piece was read.
	recordsAtFirst uint64
	indexes        map[int]bool
}

// maxTracked limits the incomplete snapshots tracked at a time; if there are more than a few, most were abandoned by
// their writers. When the limit is reached, all of them are forgotten.
const maxTracked = 64

// addPiece adds a piece and reports whether it completes a snapshot newer than the newest known one.
func (t *snapshotTracker) addPiece(offset uint64, piece Piece) bool {
	if !piece.valid(offset) || piece.Base <= t.base {
		return false
	}
	if t.incomplete == nil || len(t.incomplete) >= maxTracked {
		t.incomplete = make(map[string]*pieceSet)
	}
	set, ok := t.incomplete[piece.ID]
	if !ok {
		set = &pieceSet{recordsAtFirst: t.records, indexes: make(map[int]bool)}
		t.incomplete[piece.ID] = set
	}
	set.indexes[piece.Index] = true
	if len(set.indexes) < piece.Count {
		return false
	}
	delete(t.incomplete, piece.ID)
	t.base, t.recordsAtSnapshot = piece.Base, set.recordsAtFirst
	return true
}

// markRestored records the base of the snapshot from which the reader continues.
func (t *snapshotTracker) markRestored(base uint64) { t.base, t.recordsAtSnapshot = base, t.records }

// recordsSinceSnapshot returns the number of records read since the newest complete snapshot.
func (t *snapshotTracker) recordsSinceSnapshot() uint64 { return t.records - t.recordsAtSnapshot }
