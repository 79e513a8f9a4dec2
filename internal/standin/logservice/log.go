// Package logservice is a stand-in for the platform's append-only log service: an in-process log with fault switches
// and its HTTP handler.
package logservice

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
)

// Errors of Append and Read, in addition to those of internal/port/logservice.
var (
	// ErrOutage is returned, wrapped, during a simulated outage. As with a failing service, the caller can't tell whether
	// an append took effect.
	ErrOutage = errors.New("logservice: outage")
	// ErrResponseLost is returned, wrapped, by an append that took effect but whose response was dropped.
	ErrResponseLost = errors.New("logservice: answer lost")
)

// MaxReadRecords is the maximum number of records that one read returns.
const MaxReadRecords = 1000

// Faults are the fault switches. The zero value is a healthy log.
type Faults struct {
	// Outage makes every append and read fail with ErrOutage. Appends have no effect.
	Outage bool `json:"outage"`
	// Delay is the delay before an append or read is carried out. It isn't carried out if its context ends first.
	Delay time.Duration `json:"delay"`
	// LoseResponses makes appends take effect and return ErrResponseLost.
	LoseResponses bool `json:"lose"`
	// EffectDelay is the delay before an append takes effect, which it does even if its context ends first.
	EffectDelay time.Duration `json:"late"`
	// Rate is the maximum number of appends a second over all streams, with bursts of up to a tenth of it, at least 1.
	// 0 means no limit.
	Rate float64 `json:"rate"`
	// MaxRecords and MaxAge are the retention limits of each stream. 0 means no limit.
	MaxRecords int           `json:"count"`
	MaxAge     time.Duration `json:"age"`
}

// Log is an append-only log. Its methods may be called from several goroutines.
type Log struct {
	clock func() time.Time

	mu     sync.Mutex
	faults Faults
	// limiter is nil if the rate of appends is not limited.
	limiter *rate.Limiter
	streams map[string]*stream
	// changed is closed and replaced on each append and on each change of the fault switches.
	changed chan struct{}
}

// stream holds the retained records of one stream.
type stream struct {
	// first is the offset of the oldest retained record and next that of the next append: first plus the number of
	// entries.
	first, next uint64
	entries     []entry
}

// entry is a record and the time of its append.
type entry struct {
	data       []byte
	appendedAt time.Time
}

// Option configures a Log.
type Option func(*Log)

// WithClock sets the clock that retention and the rate limit use. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(l *Log) { l.clock = clock }
}

// WithFaults sets the initial fault switches.
func WithFaults(f Faults) Option {
	return func(l *Log) { l.faults = f }
}

// New returns an empty log.
func New(opts ...Option) *Log {
	l := &Log{clock: time.Now, streams: map[string]*stream{}, changed: make(chan struct{})}
	for _, o := range opts {
		o(l)
	}
	l.SetFaults(l.faults)
	return l
}

// Faults returns the fault switches.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the fault switches.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Rate <= 0 {
		l.limiter = nil
	} else if l.limiter == nil || f.Rate != l.faults.Rate {
		l.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate/10)))
	}
	l.faults = f
	l.notify()
}

// Append appends one record to the stream and returns its offset. It returns logservice.ErrRejected, wrapped, above the
// rate limit, and ErrOutage, ErrResponseLost or the error of the context, wrapped.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	f := l.Faults()
	if err := sleep(ctx, f.Delay); err != nil {
		return 0, errors.Wrapf(err, "logservice: append to %s", name)
	}
	if f.Outage {
		return 0, errors.Wrapf(ErrOutage, "append to %s", name)
	}
	l.mu.Lock()
	allowed := l.limiter == nil || l.limiter.AllowN(l.clock(), 1)
	l.mu.Unlock()
	if !allowed {
		return 0, errors.Wrapf(logservice.ErrRejected, "append to %s: rate limit", name)
	}
	data = append([]byte(nil), data...)
	offset := l.storeAfterDelay(ctx, name, data, f.EffectDelay)
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(err, "logservice: append to %s", name)
	}
	if f.LoseResponses {
		return 0, errors.Wrapf(ErrResponseLost, "append to %s", name)
	}
	return offset, nil
}

// storeAfterDelay stores the record after the delay and returns its offset. If the context ends first, it returns
// 0 immediately and the record is still stored after the delay.
func (l *Log) storeAfterDelay(ctx context.Context, name string, data []byte, delay time.Duration) uint64 {
	if delay <= 0 {
		return l.store(name, data)
	}
	stored := make(chan uint64, 1)
	time.AfterFunc(delay, func() { stored <- l.store(name, data) })
	select {
	case offset := <-stored:
		return offset
	case <-ctx.Done():
		return 0
	}
}

// Read returns up to limit records of the stream, starting at the given offset. If there are none, it waits up to wait
// for one. If the offset is no longer retained, it returns logservice.ErrExpired, wrapped, and a page with only First
// and Next.
func (l *Log) Read(
	ctx context.Context, name string, from uint64, limit int, wait time.Duration,
) (logservice.Page, error) {
	if err := sleep(ctx, l.Faults().Delay); err != nil {
		return logservice.Page{}, errors.Wrapf(err, "logservice: read %s", name)
	}
	if limit <= 0 || limit > MaxReadRecords {
		limit = MaxReadRecords
	}
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for waiting := wait > 0; ; {
		page, changed, err := l.readPage(name, from, limit)
		if err != nil || len(page.Records) > 0 || !waiting {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return logservice.Page{}, errors.Wrapf(ctx.Err(), "logservice: read %s", name)
		}
	}
}

// readPage returns the records that are stored now, and a channel that is closed at the next change.
func (l *Log) readPage(name string, from uint64, limit int) (logservice.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return logservice.Page{}, nil, errors.Wrapf(ErrOutage, "read %s", name)
	}
	s := l.stream(name)
	l.expire(s)
	p := logservice.Page{First: s.first, Next: s.next, Records: []logservice.Record{}}
	if from < s.first {
		return p, nil, errors.Wrapf(logservice.ErrExpired, "read %s from %d, oldest is %d", name, from, s.first)
	}
	for o := from; o < s.next && len(p.Records) < limit; o++ {
		data := append([]byte(nil), s.entries[o-s.first].data...)
		p.Records = append(p.Records, logservice.Record{Offset: o, Data: data})
	}
	return p, l.changed, nil
}

// store appends the record to the stream and returns its offset.
func (l *Log) store(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next
	s.entries = append(s.entries, entry{data: data, appendedAt: l.clock()})
	s.next++
	l.expire(s)
	l.notify()
	return offset
}

// stream returns the stream of that name, creating it if needed.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// expire drops the records of the stream that exceed the retention limits.
func (l *Log) expire(s *stream) {
	n := 0
	if c := l.faults.MaxRecords; c > 0 {
		n = max(0, len(s.entries)-c)
	}
	if age := l.faults.MaxAge; age > 0 {
		oldest := l.clock().Add(-age)
		for n < len(s.entries) && s.entries[n].appendedAt.Before(oldest) {
			n++
		}
	}
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.first += uint64(n)
}

// notify wakes up the reads that wait for a change.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// sleep waits for the duration. It returns the error of the context if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
