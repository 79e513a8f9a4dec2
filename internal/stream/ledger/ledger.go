// Package ledger appends keyed records to a partitioned log under a fencing epoch and reads the newest record of each
// key.
//
// The log acknowledges an append only once it is durable, and refuses one whose epoch is lower than the highest it
// has seen. An acknowledged append is therefore final, and a writer of an earlier term can't change anything after
// a later one has opened the partition.
package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. After any other error, it is unknown whether the call took effect.
var (
	// ErrFenced means that a writer with a higher epoch has opened the partition.
	ErrFenced = errors.New("ledger: a later writer has opened the partition")
	// ErrConflict means that the partition does not end at Append.ExpectedEnd.
	ErrConflict = errors.New("ledger: the partition has grown since it was read")
	// ErrSequence means that the append's sequence number does not follow that of its writer's last append.
	ErrSequence = errors.New("ledger: sequence number does not follow")
	// ErrNotDone means that the log refused the call and it had no effect.
	ErrNotDone = errors.New("ledger: the log refused the call")
	// ErrRejected means that the log refused the call and always will, for instance because a record is too large.
	ErrRejected = errors.New("ledger: the log permanently rejects the call")
	// ErrExpired means that the requested records are no longer retained.
	ErrExpired = errors.New("ledger: records have expired")
)

// AnyOffset is the Append.ExpectedEnd of an append that may go to any offset.
const AnyOffset = -1

// Partition identifies a partition of a topic by its index.
type Partition struct {
	Topic string
	Index int
}

// Record is a keyed record. A record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record with its offset.
type Entry struct {
	Record
	Offset int64
}

// Append is a request to append records atomically.
type Append struct {
	Partition
	Records []Record
	// ExpectedEnd is the offset at which the partition must end for the append to succeed, or AnyOffset.
	ExpectedEnd int64
	// Writer, Epoch and Sequence are used for fencing and deduplication; they are not sent if Writer is empty.
	Writer   string
	Epoch    int64
	Sequence int64
}

// OffsetRange is the range of offsets of appended records.
type OffsetRange struct {
	// Offset is the offset of the first record, End the offset after the last.
	Offset, End int64
}

// Page is a range of records read from a partition.
type Page struct {
	Entries []Entry
	// End is the offset after the last record of the partition, First the oldest retained offset.
	End, First int64
	// DecodeErrors holds one error for each record that could not be decoded. The entry of the record
	// holds only its offset.
	DecodeErrors []error
}

// NewestPage is one page of the newest records of each key, in the order of keys.
type NewestPage struct {
	Entries []Entry
	// More is true if there are keys after the last entry.
	More bool
	// End is the offset after the last record of the partition when the page was read.
	End int64
}

// Store is the platform's partitioned log. The streams of package feed are in another log service.
type Store interface {
	// Append appends records. It fails with ErrFenced, ErrConflict, ErrSequence, ErrNotDone, ErrRejected or an error after
	// which it is unknown whether the append took effect.
	Append(ctx context.Context, a Append) (OffsetRange, error)
	// Read returns the records from an offset on. If there are none, it waits up to the given time for one. It fails with
	// ErrExpired if the offset is no longer retained.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest records of the keys after the given one. The empty key stands before all others.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// ReadNewest returns the newest record of each key and the offset from which to read the log for later changes. The
// pages are not a consistent snapshot: a record may be newer than that offset.
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
