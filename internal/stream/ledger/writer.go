package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAppendBytes limits the size of one append, so that it takes a third of the call timeout over a 10 Mbit/s link. An
	// append exceeds it by less than its last record.
	maxAppendBytes = 256 << 10
	// recordOverhead is the size of an encoded record in bytes without its key and value.
	recordOverhead = 5
	// minRetryDelay and maxRetryDelay limit the delay before an append is retried.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// Writer appends to one partition under one epoch, one append at a time. It is not safe for concurrent use.
type Writer struct {
	store     Store
	partition Partition
	name      string
	epoch     int64
	// nextSequence is the sequence number of the next append.
	nextSequence int64
	// end is the offset after the last record that was appended.
	end int64
	// callTimeout limits the duration of one call to the log.
	callTimeout time.Duration
	sleep       func(ctx context.Context, d time.Duration) error
	onRetry     func(err error, try int)
	// onReject is nil if a record that the log rejects permanently makes Write fail.
	onReject func(r Record, err error)
}

// Option changes a default of NewWriter.
type Option func(*Writer)

// WithRetryHook sets a function that is called with the error and number of each failed try, numbered from 1.
func WithRetryHook(fn func(err error, try int)) Option { return func(w *Writer) { w.onRetry = fn } }

// WithRejectHook sets a function that is called with each record that the log rejects permanently and its error. Write
// leaves the record out and appends the others.
func WithRejectHook(fn func(r Record, err error)) Option { return func(w *Writer) { w.onReject = fn } }

// WithCallTimeout sets the timeout of one call to the log, by default CallTimeout.
func WithCallTimeout(d time.Duration) Option { return func(w *Writer) { w.callTimeout = d } }

// CallTimeout is the default timeout of one call of a writer. It is shorter than the time that callers wait, so that a
// connection that went silent is given up in time for a retry.
const CallTimeout = 700 * time.Millisecond

// NewWriter returns a writer to the partition with the given name and epoch.
func NewWriter(s Store, p Partition, name string, epoch int64, opts ...Option) *Writer {
	w := &Writer{
		store: s, partition: p, name: name, epoch: epoch, callTimeout: CallTimeout, sleep: sleep,
		onRetry: func(error, int) {},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// sleep waits for d and returns nil, or the error of ctx if that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Open fences the writers of lower epochs: once it has returned nil, they can no longer append to the partition. Its
// append has no records and uses up no sequence number.
func (w *Writer) Open(ctx context.Context) error {
	_, err := w.appendUntilAnswered(ctx, w.newAppend(nil))
	return errors.Wrapf(err, "ledger: open %s/%d under epoch %d", w.partition.Topic, w.partition.Index, w.epoch)
}

// Write appends the records in order and returns once they are durable. It may need several appends, each of which is
// atomic. It retries an append until the log accepts or permanently rejects it, so that Write fails only with
// ErrFenced, ErrSequence or ErrConflict, with ErrRejected if there is no reject hook, or when the context ends.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size < maxAppendBytes) {
			size += recordOverhead + len(records[n].Key) + len(records[n].Value)
			n++
		}
		if err := w.write(ctx, records[:n]); err != nil {
			return errors.Wrapf(err, "ledger: append %d to %s/%d", w.nextSequence, w.partition.Topic, w.partition.Index)
		}
		records = records[n:]
	}
	return nil
}

// newAppend returns the writer's next append.
func (w *Writer) newAppend(records []Record) Append {
	return Append{
		Partition: w.partition, Records: records, ExpectedEnd: AnyOffset, Writer: w.name, Epoch: w.epoch,
		Sequence: w.nextSequence,
	}
}

// write appends the records with one append. If the log permanently rejects that, it appends each half by itself, down to
// the records that are at fault.
func (w *Writer) write(ctx context.Context, records []Record) error {
	written, err := w.appendUntilAnswered(ctx, w.newAppend(records))
	switch {
	case err == nil:
		w.end = written.End
		w.nextSequence++
		return nil
	case !errors.Is(err, ErrRejected) || w.onReject == nil:
		return err
	case len(records) == 1:
		return w.writeRejected(ctx, records[0])
	}
	if err := w.write(ctx, records[:len(records)/2]); err != nil {
		return err
	}
	return w.write(ctx, records[len(records)/2:])
}

// writeRejected appends a record that was rejected again, after the log has accepted an append without records: a log
// that rejects everything for a while will accept the record later.
func (w *Writer) writeRejected(ctx context.Context, r Record) error {
	if err := w.Open(ctx); err != nil {
		return err
	}
	written, err := w.appendUntilAnswered(ctx, w.newAppend([]Record{r}))
	switch {
	case err == nil:
		w.end = written.End
		w.nextSequence++
	case errors.Is(err, ErrRejected):
		w.onReject(r, err)
		return nil
	}
	return err
}

// End returns the offset after the last record that this writer has appended, 0 if there is none.
func (w *Writer) End() int64 { return w.end }

// appendUntilAnswered sends an append until the log accepts or permanently rejects it. The log gives a repeated append
// the answer that it gave to the first.
func (w *Writer) appendUntilAnswered(ctx context.Context, a Append) (OffsetRange, error) {
	pause := minRetryDelay
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, w.callTimeout)
		written, err := w.store.Append(callCtx, a)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrSequence) || errors.Is(err, ErrConflict) ||
			(errors.Is(err, ErrRejected) && len(a.Records) > 0) {
			return written, err
		}
		w.onRetry(err, try)
		if err := w.sleep(ctx, pause); err != nil {
			return OffsetRange{}, err
		}
		pause = min(2*pause, maxRetryDelay)
	}
}
