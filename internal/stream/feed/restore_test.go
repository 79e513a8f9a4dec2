package feed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// add appends a record of a writer.
func (l *fakeLog) add(t *testing.T, writer string, seq uint64, items ...record.Item) uint64 {
	data, err := record.Encode(record.Envelope{Writer: writer, Seq: seq, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	return l.put(data)
}

// truncateTo removes the newest records until at most keep are left.
func (l *fakeLog) truncateTo(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recs = l.recs[:min(keep, len(l.recs))]
}

// limitedSink refuses to restore snapshots with more than limit values.
type limitedSink struct {
	listSink
	limit   int
	refused int
}

func (s *limitedSink) Restore(data []byte, base uint64) error {
	var other listSink
	if err := other.Restore(data, base); err != nil {
		return err
	}
	if len(other.vals) > s.limit {
		s.refused++
		return errors.New("refused")
	}
	return s.listSink.Restore(data, base)
}

// TestRefusedSnapshot guards against a reader that overlooks an older snapshot once its sink has refused the newest,
// and treats the oldest retained records as the whole stream although earlier ones have expired.
func TestRefusedSnapshot(t *testing.T) {
	// The old snapshot is in the first window of the scan, or in a later one.
	for _, between := range []int{1, 300} {
		synctest.Test(t, func(t *testing.T) {
			l, want, seq := newFakeLog(1), &listSink{}, uint64(0)
			values := func(n int) {
				for range n {
					seq++
					_ = want.Apply(time.Time{}, l.add(t, "w", seq, encodeItem(int(seq))), encodeItem(int(seq)))
				}
			}
			snapshot := func(id string) {
				state, _ := want.Snapshot()
				pieces, err := SplitSnapshot(Snapshot{
					ID: id, Base: l.first + uint64(len(l.recs)) - 1, Writers: []WriterSeq{{"w", seq}}, State: state,
				})
				if err != nil {
					t.Fatal(err)
				}
				for i, p := range pieces {
					item, _ := record.EncodeItem(KindSnapshotPiece, p)
					l.add(t, id, uint64(i+1), item)
				}
			}
			values(10)
			snapshot("old")
			values(between)
			snapshot("new")
			values(5)
			// The first 8 of the 10 values expire. Both snapshots and all records after them are retained.
			l.expireAllBut(between + 9)
			// The old snapshot holds 7 of the 10 values, because the sink refuses multiples of three.
			s := &limitedSink{limit: 7}
			f, stop := NewFeed(l, "s", "joiner", s)
			defer stop()
			<-f.Ready()
			if s.refused != 1 || f.Counts().Restores != 1 || f.Counts().Gaps != 0 {
				t.Errorf("%d records between the snapshots: %d refused, counts %+v; want 1 refused, 1 restored and no gap",
					between, s.refused, f.Counts())
			}
			if got := s.values(); !slices.Equal(got, want.values()) {
				t.Errorf("%d records between the snapshots: %d values, want the %d that were applied before",
					between, len(got), len(want.values()))
			}
		})
	}
}

// TestInFlightBatchInSnapshot guards against a write that hangs until it is given up, or is applied twice, when the
// reader gets its record only as part of a restored snapshot.
func TestInFlightBatchInSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		a, b := &listSink{}, &listSink{}
		half := WithRandom(func() float64 { return 0.5 })
		fa, stopA := NewFeed(l, "s", "a", a, WithSnapshots(5), half)
		defer stopA()
		logB := &failingReadLog{fakeLog: l}
		fb, stopB := NewFeed(logB, "s", "b", b, half)
		defer stopB()
		<-fb.Ready()
		logB.setFailing(true)
		time.Sleep(2 * time.Second)
		start := time.Now()
		result := make(chan error, 1)
		go func() {
			_, err := fb.Write(t.Context(), encodeItem(1000))
			result <- err
		}()
		time.Sleep(time.Second)
		for i := range 30 {
			if _, err := fa.Write(t.Context(), encodeItem(i)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(8 * time.Second)
		// The first records and some copies of the write expire; a snapshot and the records after it are retained.
		l.expireAllBut(20)
		logB.setFailing(false)
		err := <-result
		if took := time.Since(start); !errors.Is(err, ErrUnknown) || took > 20*time.Second {
			t.Errorf("Write returned %v after %s, want ErrUnknown within 20 s", err, took)
		}
		time.Sleep(10 * time.Second)
		if fb.Counts().Restores != 1 || !slices.Equal(a.values(), b.values()) || !slices.Contains(b.values(), 1000) {
			t.Errorf("%d restores, values %v; want 1 restore, values %v and among them 1000",
				fb.Counts().Restores, b.values(), a.values())
		}
	})
}

// TestCloseEndsWrites guards against writes that hang, or claim that nothing was sent, when the feed is closed.
func TestCloseEndsWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		f, stop := NewFeed(l, "s", "a", &listSink{})
		<-f.Ready()
		l.setFaults(true, 0)
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := f.Write(context.Background(), encodeItem(i))
				results <- err
			}()
			// The first write is in flight when the second is queued.
			time.Sleep(time.Second)
		}
		stop()
		_, err := f.Write(context.Background(), encodeItem(3))
		for _, err := range []error{<-results, <-results, err} {
			if !errors.Is(err, ErrUnknown) {
				t.Errorf("Write returned %v, want ErrUnknown", err)
			}
		}
	})
}

// TestNoSnapshotAfterGap guards against a reader that missed records and writes its incomplete state as a snapshot,
// which hosts that join would restore.
func TestNoSnapshotAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		fa, stopA := NewFeed(l, "s", "a", &listSink{})
		defer stopA()
		logB := &failingReadLog{fakeLog: l}
		fb, stopB := NewFeed(logB, "s", "b", &listSink{}, WithSnapshots(5))
		defer stopB()
		<-fb.Ready()
		write := func(n int) {
			for i := range n {
				if _, err := fa.Write(t.Context(), encodeItem(i)); err != nil {
					t.Fatal(err)
				}
			}
		}
		logB.setFailing(true)
		time.Sleep(2 * time.Second)
		write(20)
		l.expireAllBut(3)
		logB.setFailing(false)
		write(50)
		time.Sleep(30 * time.Second)
		if c := fb.Counts(); c.Gaps != 1 || c.Snapshots != 0 || c.Records < 50 {
			t.Errorf("counts %+v, want 1 gap, no snapshot and at least 50 records", c)
		}
	})
}

// TestTruncatedLog guards against a reader whose view silently stays stale because the log lost its newest records.
func TestTruncatedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		var mu sync.Mutex
		var lines []string
		f, stop := NewFeed(l, "s", "a", &listSink{}, WithLogf(func(format string, _ ...any) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, format)
		}))
		defer stop()
		for i := range 10 {
			l.add(t, "w", uint64(i+1), encodeItem(i))
		}
		time.Sleep(2 * time.Second)
		l.truncateTo(4)
		time.Sleep(10 * time.Second)
		if c := f.Counts(); c.Truncations != 1 || time.Since(f.FreshAsOf()) < 8*time.Second {
			t.Errorf("counts %+v, view is %s old; want 1 truncation and at least 8 s", c, time.Since(f.FreshAsOf()))
		}
		for i := range 10 {
			l.add(t, "x", uint64(i+1), encodeItem(i))
		}
		time.Sleep(5 * time.Second)
		l.truncateTo(2)
		time.Sleep(5 * time.Second)
		if c := f.Counts(); c.Truncations != 2 {
			t.Errorf("counts %+v, want a second truncation", c)
		}
		mu.Lock()
		defer mu.Unlock()
		if n := len(lines); n != 2 || !strings.Contains(lines[0], "before the reader's position") {
			t.Errorf("log lines %q, want 2 about the end of the stream", lines)
		}
	})
}

// expiringLog fails one read with ErrExpired although the record is retained.
type expiringLog struct {
	*fakeLog
	mu    sync.Mutex
	fault bool
}

func (l *expiringLog) Read(
	ctx context.Context, s string, from uint64, n int, w time.Duration,
) (logservice.Page, error) {
	l.mu.Lock()
	fault := l.fault && w > 0
	l.fault = l.fault && !fault
	l.mu.Unlock()
	if fault {
		return logservice.Page{}, logservice.ErrExpired
	}
	return l.fakeLog.Read(ctx, s, from, n, w)
}

// TestOlderSnapshotIsNotRestored guards against restoring a snapshot that is older than the reader's position, which
// would bring back an old state.
func TestOlderSnapshotIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := &expiringLog{fakeLog: newFakeLog(1)}, &listSink{}
		f, stop := NewFeed(l, "s", "a", s)
		defer stop()
		<-f.Ready()
		l.add(t, "w", 1, encodeItem(1))
		pieces, _ := SplitSnapshot(Snapshot{ID: "x/1", Base: 1, Writers: []WriterSeq{{"w", 1}}, State: []byte{0x91, 1}})
		item, _ := record.EncodeItem(KindSnapshotPiece, pieces[0])
		l.add(t, "x", 1, item)
		l.add(t, "w", 2, encodeItem(2))
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		l.fault = true
		l.mu.Unlock()
		time.Sleep(5 * time.Second)
		l.add(t, "w", 3, encodeItem(4))
		time.Sleep(2 * time.Second)
		if c := f.Counts(); !slices.Equal(s.values(), []int{1, 2, 4}) || c.Restores != 0 || c.Gaps != 0 {
			t.Errorf("values %v, counts %+v; want values 1, 2, 4, no restore and no gap", s.values(), c)
		}
	})
}
