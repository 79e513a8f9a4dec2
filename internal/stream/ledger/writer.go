package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAppendBytes bounds the bytes of one append, so that it takes a third of a call's time over a link of 10 Mbit/s.
	maxAppendBytes = 256 << 10
	// recordOverhead is what a record takes beside its key and value, in bytes.
	recordOverhead = 5
	// minRetryDelay and lastRetry bound the pause before an append is sent again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// Writer appends to one partition under one epoch, one append at a time. It is not safe for concurrent use.
type Writer struct {
	store     Store
	partition Partition
	name      string
	epoch     int64
	// nextSequence is the sequence number of the nextSequence append.
	nextSequence int64
	// callTimeout bounds one call.
	callTimeout time.Duration
	sleep       func(ctx context.Context, d time.Duration) error
	onRetry     func(err error, try int)
}

// Option changes a Writer.
type Option func(*Writer)

// WithRetryHook sets a function that is told of each failed try.
func WithRetryHook(fn func(err error, try int)) Option { return func(w *Writer) { w.onRetry = fn } }

// WithCallTimeout bounds one call to the log.
func WithCallTimeout(d time.Duration) Option { return func(w *Writer) { w.callTimeout = d } }

// CallTimeout bounds one call of a writer unless WithCallTimeout says otherwise: a silent connection has to be given up
// before callers do.
const CallTimeout = 700 * time.Millisecond

// NewWriter returns a writer with the given name and epoch.
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

// Open bars the writers of lower epochs. Nothing of theirs reaches the partition after it has returned.
func (w *Writer) Open(ctx context.Context) error {
	err := w.appendUntilAnswered(ctx, Append{Partition: w.partition, ExpectedEnd: AnyOffset, Writer: w.name, Epoch: w.epoch, Sequence: w.nextSequence})
	return errors.Wrapf(err, "ledger: open %s/%d under epoch %d", w.partition.Topic, w.partition.Index, w.epoch)
}

// Write appends the records and returns once they are durable. It sends the same append again until it is answered,
// so that it only fails with ErrFenced or when the context ends.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size < maxAppendBytes) {
			size += recordOverhead + len(records[n].Key) + len(records[n].Value)
			n++
		}
		a := Append{
			Partition: w.partition, Records: records[:n], ExpectedEnd: AnyOffset, Writer: w.name, Epoch: w.epoch, Sequence: w.nextSequence,
		}
		if err := w.appendUntilAnswered(ctx, a); err != nil {
			return errors.Wrapf(err, "ledger: append %d to %s/%d", w.nextSequence, w.partition.Topic, w.partition.Index)
		}
		w.nextSequence++
		records = records[n:]
	}
	return nil
}

// appendUntilAnswered sends an append until it is answered. The log answers a appendUntilAnswered with its first answer.
func (w *Writer) appendUntilAnswered(ctx context.Context, a Append) error {
	pause := minRetryDelay
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, w.callTimeout)
		_, err := w.store.Append(callCtx, a)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrSequence) || errors.Is(err, ErrConflict) {
			return err
		}
		w.onRetry(err, try)
		if err := w.sleep(ctx, pause); err != nil {
			return err
		}
		pause = min(2*pause, maxRetryDelay)
	}
}
