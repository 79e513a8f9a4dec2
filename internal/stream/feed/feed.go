// Package feed reads and writes one stream of the log service (package logservice) for an aggregate, whose state is
// built from the stream. The comments call that state, as far as the reader has read the stream, the view.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Errors of Write.
var (
	// ErrUnknown means that the items may have taken effect or may still do so.
	ErrUnknown = errors.New("feed: effect of the write is unknown")
	// ErrTooLarge means that nothing was sent.
	ErrTooLarge = errors.New("feed: request is too large for one record")
	// ErrUnknownKind is the error in Receipt.ItemErrors for an item whose kind is not among those of WithKinds.
	ErrUnknownKind = errors.New("feed: unknown kind")
)

// Log is the part of the log service that the feed uses.
type Log interface {
	// Append adds a record and returns its offset. After an error, it is unknown whether the append took effect.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records starting at from. At the end of the stream it waits for a record for up to wait.
	// A read beyond the end returns an empty page with First and Next. A read of an offset that is no longer retained
	// fails with logservice.ErrExpired and may return First and Next.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logservice.Page, error)
}

// Sink is the aggregate whose state is built from the stream. All its methods are called from one goroutine of the
// feed.
type Sink interface {
	// Apply applies one item. An error means that the item conflicts with an earlier one or is invalid, and has
	// changed nothing; every reader must come to the same result.
	Apply(now time.Time, offset uint64, item record.Item) error
	// Snapshot returns the state after the last applied item.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot, or returns an error and changes nothing. base is the offset of the
	// last record that the snapshot contains.
	Restore(data []byte, base uint64) error
}

// Receipt is the result of a write that was read back from the stream.
type Receipt struct {
	// Offset is the offset of the record that holds the items.
	Offset uint64
	// ItemErrors holds the error of each item: what Sink.Apply returned, or ErrUnknownKind. Nil means applied.
	ItemErrors []error
}

// Counts are totals since the start of the feed.
type Counts struct {
	// Records is the number of records whose items were applied or refused one by one. Rejected is the number of items
	// that Sink.Apply refused. Duplicates is the number of records skipped for a sequence number that is not higher than
	// an earlier one of the writer, NewerVersion that of records of a newer format. Malformed counts records and items
	// that could not be decoded, UnknownKind items of a kind that is not among those of WithKinds.
	Records, Rejected, Duplicates, Malformed, NewerVersion, UnknownKind uint64
	// Gaps is the number of times that records expired unread and no snapshot covered them.
	Gaps uint64
	// Restores is the number of snapshots that were loaded, Snapshots that of snapshots queued for writing. A queued
	// snapshot is incomplete in the log if a batch with one of its pieces was given up.
	Restores, Snapshots uint64
	// Retries is the number of times that a batch was sent again, Abandoned the number of batches given up.
	Retries, Abandoned uint64
	// Truncations is the number of times that the stream was found to end before the reader's position: the log lost
	// its newest records or was replaced. The view does not become fresh until the stream has reached the position.
	Truncations uint64
	// ReadErrors counts failed reads.
	ReadErrors uint64
}

// settings holds the values that options change.
type settings struct {
	clock              func() time.Time
	random             func() float64
	logf               func(format string, args ...any)
	kinds              map[record.Kind]bool
	appendInterval     time.Duration
	giveUpAfter        time.Duration
	callTimeout        time.Duration
	pollWait           time.Duration
	recordsPerSnapshot uint64
	retention          time.Duration
	snapshotJitter     time.Duration
}

// Option changes a default of NewFeed.
type Option func(*settings)

// WithClock sets the source of the time that the reader uses, for Sink.Apply, freshness and snapshots, by default
// time.Now. The writer always uses time.Now.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.clock = now } }

// WithRandom sets the source of jitter, a function with values in [0,1). It must be safe for concurrent use.
func WithRandom(f func() float64) Option { return func(s *settings) { s.random = f } }

// WithLogf sets the callback that reports gaps and failures.
func WithLogf(f func(format string, args ...any)) Option { return func(s *settings) { s.logf = f } }

// WithKinds names the kinds that the Sink knows. Others are counted as unknown and not passed to it.
func WithKinds(kinds ...record.Kind) Option {
	return func(s *settings) {
		s.kinds = make(map[record.Kind]bool)
		for _, k := range kinds {
			s.kinds[k] = true
		}
	}
}

// WithAppendInterval sets the least time between two appends, by default 50 ms.
func WithAppendInterval(d time.Duration) Option { return func(s *settings) { s.appendInterval = d } }

// WithGiveUpAfter sets how long a batch is retried before it is given up, by default 30 s.
func WithGiveUpAfter(d time.Duration) Option { return func(s *settings) { s.giveUpAfter = d } }

// WithCallTimeout sets the timeout of an append, and of a read in addition to its wait, by default 5 s.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.callTimeout = d } }

// WithPollWait sets the wait of a long poll, by default 1 s. While the stream is idle, the view is up to two such waits
// old.
func WithPollWait(d time.Duration) Option { return func(s *settings) { s.pollWait = d } }

// WithSnapshots sets the number of records after which the feed writes a snapshot. It writes one sooner if records
// expire so fast that the newest might no longer be usable. With 0, the default, it writes none.
func WithSnapshots(every int) Option {
	return func(s *settings) { s.recordsPerSnapshot = uint64(max(every, 0)) }
}

// WithRetention sets the retention time of the log. With WithSnapshots, a snapshot is then also written when the newest
// one is older than a quarter of that time.
func WithRetention(d time.Duration) Option { return func(s *settings) { s.retention = d } }

// WithSnapshotJitter sets the largest random delay of a snapshot that is due, by default 5 s.
func WithSnapshotJitter(d time.Duration) Option { return func(s *settings) { s.snapshotJitter = d } }

// Feed reads and writes one stream.
type Feed struct {
	settings
	log    Log
	stream string
	writer string
	sink   Sink
	ready  chan struct{}
	// wake holds a token when the write loop may have something to send.
	wake chan struct{}

	// The fields from cursor to snapshotCount belong to the goroutine of the read loop.
	cursor  *Cursor
	tracker snapshotTracker
	// truncated is set while the stream ends before the reader's position.
	truncated bool
	// newestSnapshotAt is when the newest snapshot was completed or, without one, when the reader joined.
	newestSnapshotAt time.Time
	// snapshotDueAt is when the scheduled snapshot is to be written, zero if none is scheduled.
	snapshotDueAt time.Time
	// snapshotCount numbers the snapshots of this writer.
	snapshotCount uint64

	mu sync.Mutex
	// freshAsOf, pos and counts are the values that FreshAsOf, Position and Counts return.
	freshAsOf time.Time
	pos       uint64
	counts    Counts
	// queue holds the requests of Write that are in no batch yet, in order of arrival.
	queue []*writeRequest
	// pieces holds snapshot pieces still to be written; one is added to a batch at a time.
	pieces []*writeRequest
	// inFlight is the only batch that is being sent, nil if there is none.
	inFlight *batch
	closed   bool
}

// NewFeed starts reading the stream into the sink. The writer must be unique to this process start.
// The returned function stops the feed and waits for its goroutines; pending writes return ErrUnknown.
func NewFeed(log Log, stream, writer string, sink Sink, opts ...Option) (*Feed, func()) {
	f := &Feed{
		settings: settings{
			clock: time.Now, random: rand.Float64, logf: func(string, ...any) {},
			appendInterval: 50 * time.Millisecond, giveUpAfter: 30 * time.Second, callTimeout: 5 * time.Second,
			pollWait: time.Second, snapshotJitter: 5 * time.Second,
		},
		log: log, stream: stream, writer: writer, sink: sink,
		ready: make(chan struct{}), wake: make(chan struct{}, 1), cursor: NewCursor(0, nil),
	}
	for _, o := range opts {
		o(&f.settings)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.readLoop(ctx) })
	wg.Go(func() { f.writeLoop(ctx) })
	return f, func() {
		cancel()
		wg.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, r := range f.queue {
			r.fail()
		}
		f.queue, f.pieces = nil, nil
	}
}

// FreshAsOf returns when the last read that reached the end of the stream was sent. The view holds all records appended
// before. It is the zero time if no read has reached the end yet.
func (f *Feed) FreshAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAsOf
}

// Position returns the offset of the next record to be applied.
func (f *Feed) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos
}

// Ready returns a channel that is closed when the reader first arrives at the end of the stream.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// Counts returns the totals since the start.
func (f *Feed) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// count updates the counts under the lock.
func (f *Feed) count(update func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.counts)
}

// backoff returns the delay after failure n, counted from 0. It doubles from base up to limit, and a random part of up
// to half of it is left out, so that hosts do not retry at the same time.
func (f *Feed) backoff(n int, base, limit time.Duration) time.Duration {
	d := limit
	if n < 16 {
		d = min(limit, base<<n)
	}
	return d/2 + time.Duration(f.random()*float64(d/2))
}

// sleep waits for d or until ctx is done, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
