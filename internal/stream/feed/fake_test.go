package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// errDown is the error of every failed call.
var errDown = errors.New("log is down")

// fakeLog is a log in memory that can fail. Offsets start at 1.
type fakeLog struct {
	mu    sync.Mutex
	rng   *rand.Rand
	first uint64
	recs  []logservice.Record
	// faults is the probability of a fault in an append: it fails, loses its answer, takes effect late or is delayed. down
	// makes all calls fail.
	faults float64
	down   bool
	wake   chan struct{}
	wg     sync.WaitGroup
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{rng: rand.New(rand.NewPCG(seed, 1)), first: 1, wake: make(chan struct{})}
}

// put appends a record and returns its offset.
func (l *fakeLog) put(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	off := l.first + uint64(len(l.recs))
	l.recs = append(l.recs, logservice.Record{Offset: off, Data: data})
	close(l.wake)
	l.wake = make(chan struct{})
	return off
}

// expireAllBut lets the oldest records expire until at most keep are left.
func (l *fakeLog) expireAllBut(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.recs) - keep; n > 0 {
		l.first, l.recs = l.first+uint64(n), l.recs[n:]
	}
}

// setFaults changes down and faults.
func (l *fakeLog) setFaults(down bool, faults float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.faults = down, faults
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	fault, kind, delay := l.rng.Float64() < l.faults, l.rng.IntN(4), time.Duration(l.rng.IntN(9000))*time.Millisecond
	down := l.down
	l.mu.Unlock()
	switch {
	case down || fault && kind == 0:
		return 0, errDown
	case fault && kind == 1: // The answer is lost after the append took effect.
		l.put(data)
		return 0, errDown
	case fault && kind == 2: // The append takes effect late, possibly after later ones.
		l.wg.Go(func() { time.Sleep(delay); l.put(data) })
		return 0, errDown
	case fault && !sleep(ctx, delay/4):
		return 0, ctx.Err()
	}
	return l.put(data), nil
}

func (l *fakeLog) Read(
	ctx context.Context, _ string, from uint64, limit int, wait time.Duration,
) (logservice.Page, error) {
	for deadline := time.Now().Add(wait); ; {
		l.mu.Lock()
		p := logservice.Page{First: l.first, Next: l.first + uint64(len(l.recs))}
		down, wake := l.down, l.wake
		if from >= l.first && from < p.Next {
			i := from - l.first
			p.Records = append(p.Records, l.recs[i:min(uint64(len(l.recs)), i+uint64(limit))]...)
		}
		l.mu.Unlock()
		switch {
		case down:
			return logservice.Page{}, errDown
		case from < p.First && from != 0:
			return logservice.Page{}, logservice.ErrExpired
		case len(p.Records) > 0 || !time.Now().Before(deadline):
			return p, nil
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-wake:
		case <-t.C:
		case <-ctx.Done():
			return logservice.Page{}, ctx.Err()
		}
		t.Stop()
	}
}

var errThird = errors.New("multiples of three are refused")

// listSink keeps the accepted values in order. It refuses multiples of three.
type listSink struct {
	mu   sync.Mutex
	vals []int
}

func (s *listSink) Apply(_ time.Time, _ uint64, item record.Item) error {
	v, err := record.DecodeItem[int](item)
	if err != nil {
		return err
	}
	if v%3 == 0 {
		return errThird
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vals = append(s.vals, v)
	return nil
}

func (s *listSink) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return msgpack.Marshal(s.vals)
}

func (s *listSink) Restore(data []byte, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return msgpack.Unmarshal(data, &s.vals)
}

func (s *listSink) values() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int{}, s.vals...)
}
