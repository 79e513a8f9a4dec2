// Package ledger writes keyed records to a log under a fencing epoch and reads the newest record of each key.
//
// The log acknowledges an append only once it is durable, and refuses one whose epoch is lower than the highest it
// has seen. So the answer to an append is the decision, and a writer of an earlier term can't change anything after
// a later one has opened the partition.
package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. After any other error it is unknown whether the call has been carried out.
var (
	// ErrFenced means that a writer with a higher epoch has opened the partition.
	ErrFenced = errors.New("ledger: a later writer has opened the partition")
	// ErrConflict means that the partition does not end where the append expected.
	ErrConflict = errors.New("ledger: the partition has grown since it was read")
	// ErrSequence means that the append does not follow the last one of its writer.
	ErrSequence = errors.New("ledger: sequence number does not follow")
	// ErrNotDone means that the log refused the call and has done nothing.
	ErrNotDone = errors.New("ledger: the log refused the call")
	// ErrExpired means that the records asked for are no longer kept.
	ErrExpired = errors.New("ledger: records have expired")
)

// AnyOffset is the condition of an append that may go to any offset.
const AnyOffset = -1

// Partition names a part of a topic.
type Partition struct {
	Topic string
	Index int
}

// Record is a keyed record. One without a value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record with its offset.
type Entry struct {
	Record
	Offset int64
}

// Append adds records, all or none.
type Append struct {
	Partition
	Records []Record
	// ExpectedEnd is the offset at which the partition has to end, AnyOffset for any.
	ExpectedEnd int64
	// Writer, Epoch and Sequence fence and deduplicate; they are left out if Writer is empty.
	Writer   string
	Epoch    int64
	Sequence int64
}

// Position is where records were appended.
type Position struct {
	// Offset is that of the first record, End that after the last.
	Offset, End int64
}

// Page is a part of a partition.
type Page struct {
	Entries []Entry
	// End is the offset after the last record of the partition, First the oldest that is kept.
	End, First int64
	// DecodeErrors are records that could not be taken apart.
	DecodeErrors []error
}

// NewestPage is a part of the newest records of each key.
type NewestPage struct {
	Entries []Entry
	// More is set if keys follow the last one.
	More bool
	End  int64
}

// Store is the platform's log.
type Store interface {
	// Append fails with ErrFenced, ErrConflict, ErrSequence, ErrNotDone or an error that leaves the effect open.
	Append(ctx context.Context, a Append) (Position, error)
	// Read returns the records from an offset on, and waits for one if there is none. It fails with ErrExpired.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys after the given one.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// ReadNewest returns the newest record of each key and the offset from which on the log has to be read to learn what
// has changed since. The pages are not a snapshot: a record may be newer than that offset.
func ReadNewest(ctx context.Context, s Store, p Partition) ([]Entry, int64, error) {
	var all []Entry
	var from int64
	after := ""
	for page := 0; ; page++ {
		n, err := s.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "ledger: newest of %s/%d after %q", p.Topic, p.Index, after)
		}
		if page == 0 {
			from = n.End
		}
		all = append(all, n.Entries...)
		if !n.More || len(n.Entries) == 0 {
			return all, from, nil
		}
		after = n.Entries[len(n.Entries)-1].Key
	}
}
