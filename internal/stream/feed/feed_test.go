package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) { seed.Main(m, 1, 100) }

// encodeItem returns the item of a value, as listSink expects it.
func encodeItem(v int) record.Item {
	i, err := record.EncodeItem("n", v)
	if err != nil {
		panic(err)
	}
	return i
}

// TestReadersAgreeUnderFaults guards against items that are applied twice, lost or applied in different orders when
// appends fail, lose their answers or take effect late, and against a reader that joins late and differs from one that
// read from the start.
func TestReadersAgreeUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) { checkAgreement(t, seed) })
	}
}

// checkAgreement writes through three feeds while the log is faulty and down, and compares the values of all readers.
func checkAgreement(t *testing.T, seed uint64) {
	l := newFakeLog(seed)
	l.setFaults(false, 0.5)
	sinks := make([]*listSink, 3)
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked := make(map[int]bool)
	closers := make([]func(), 0, len(sinks)+1)
	for w := range sinks {
		sinks[w] = &listSink{}
		f, stop := NewFeed(l, "s", fmt.Sprintf("w%d", w), sinks[w], WithSnapshots(10),
			WithRandom(func() float64 { return float64(w) / 3 }))
		closers = append(closers, stop)
		for c := range 4 {
			wg.Go(func() {
				for i := range 8 {
					v := w*1000 + c*100 + i
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(2+i)*time.Second)
					r, err := f.Write(ctx, encodeItem(v))
					cancel()
					mu.Lock()
					switch {
					case err == nil && r.ItemErrors[0] == nil:
						acked[v] = true
					case err == nil && v%3 != 0:
						t.Errorf("seed %d: value %d: Apply returned %v, want nil", seed, v, r.ItemErrors[0])
					case err != nil && !errors.Is(err, ErrUnknown):
						t.Errorf("seed %d: Write returned %v, want nil or ErrUnknown", seed, err)
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	l.setFaults(true, 0.5)
	time.Sleep(4 * time.Second)
	l.setFaults(false, 0.5)
	wg.Wait()
	l.setFaults(false, 0)
	time.Sleep(time.Minute)
	l.wg.Wait()
	time.Sleep(2 * time.Second)
	joiner := &listSink{}
	j, stop := NewFeed(l, "s", "joiner", joiner)
	closers = append(closers, stop)
	<-j.Ready()
	want := sinks[0].values()
	for _, s := range append(sinks[1:], joiner) {
		if !slices.Equal(s.values(), want) {
			t.Errorf("seed %d: readers have different values:\n%v, want\n%v", seed, s.values(), want)
		}
	}
	if j.Counts().Restores != 1 {
		t.Errorf("seed %d: the reader that joined late did not restore exactly one snapshot", seed)
	}
	times := make(map[int]int)
	for _, v := range want {
		times[v]++
	}
	for v, n := range times {
		if n != 1 {
			t.Errorf("seed %d: value %d was applied %d times", seed, v, n)
		}
	}
	for v := range acked {
		if times[v] != 1 {
			t.Errorf("seed %d: acknowledged value %d was applied %d times, want once", seed, v, times[v])
		}
	}
	if len(acked) == 0 {
		t.Errorf("seed %d: no write was acknowledged", seed)
	}
	for _, c := range closers {
		c()
	}
}

// TestReaderAfterExpiredRecords guards against a reader that stops for good, or goes back, when records expire that it
// has not read, and against a view that counts as fresh while the log is down.
func TestReaderAfterExpiredRecords(t *testing.T) {
	for _, snapshots := range []int{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			l := newFakeLog(1)
			a, b := &listSink{}, &listSink{}
			fa, stopA := NewFeed(l, "s", "a", a, WithSnapshots(snapshots))
			defer stopA()
			logB := &failingReadLog{fakeLog: l}
			fb, stopB := NewFeed(logB, "s", "b", b)
			defer stopB()
			<-fb.Ready()
			logB.setFailing(true)
			time.Sleep(2 * time.Second)
			before := fb.FreshAsOf()
			for i := range 30 {
				if _, err := fa.Write(t.Context(), encodeItem(i)); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(10 * time.Second)
			if !fb.FreshAsOf().Equal(before) {
				t.Error("FreshAsOf advanced while the reader's log was down")
			}
			l.expireAllBut(5)
			logB.setFailing(false)
			time.Sleep(10 * time.Second)
			// A poll of 1 s dates from its start, and the next takes 1 s more to replace it.
			if time.Since(fb.FreshAsOf()) > 2*time.Second+idlePause || fb.Position() != fa.Position() {
				t.Errorf("reader did not recover: position %d, want %d and a fresh view", fb.Position(), fa.Position())
			}
			if snapshots > 0 && (!slices.Equal(a.values(), b.values()) || fb.Counts().Gaps != 0) {
				t.Errorf("values after the snapshot: %v, want %v and no gap", b.values(), a.values())
			}
			if snapshots == 0 && fb.Counts().Gaps != 1 {
				t.Errorf("%d gaps reported, want 1", fb.Counts().Gaps)
			}
		})
	}
}

// failingReadLog is a log whose reads can fail, for one reader only.
type failingReadLog struct {
	*fakeLog
	failingMu sync.Mutex
	failing   bool
}

func (c *failingReadLog) setFailing(v bool) {
	c.failingMu.Lock()
	defer c.failingMu.Unlock()
	c.failing = v
}

func (c *failingReadLog) Read(
	ctx context.Context, s string, from uint64, n int, w time.Duration,
) (logservice.Page, error) {
	c.failingMu.Lock()
	failing := c.failing
	c.failingMu.Unlock()
	if failing {
		return logservice.Page{}, errDown
	}
	return c.fakeLog.Read(ctx, s, from, n, w)
}

// TestWriteErrors guards against writes that hang or return a certain result when the log is down, and against
// oversized records.
func TestWriteErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		s := &listSink{}
		f, stop := NewFeed(l, "s", "a", s)
		defer stop()
		big := record.Item{Kind: "n", Data: make([]byte, record.MaxSize)}
		if _, err := f.Write(t.Context(), big); !errors.Is(err, ErrTooLarge) {
			t.Errorf("Write of an oversized item: %v, want ErrTooLarge", err)
		}
		l.setFaults(true, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.Write(ctx, encodeItem(1)); !errors.Is(err, ErrUnknown) {
			t.Errorf("Write while the log is down: %v, want ErrUnknown", err)
		}
		l.setFaults(false, 0)
		time.Sleep(10 * time.Second)
		if !slices.Equal(s.values(), []int{1}) {
			t.Errorf("values %v: the write that was read back late is missing", s.values())
		}
	})
}

// TestCursorSkipsAndForgets guards against malformed records that stop a reader, and against a table of writers that
// grows without limit.
func TestCursorSkipsAndForgets(t *testing.T) {
	c := NewCursor(1, nil)
	if _, ok, err := c.Next(logservice.Record{Offset: 1, Data: []byte{0xc1}}); ok || err != nil || c.counts.Malformed != 1 {
		t.Fatal("malformed record was not skipped and counted")
	}
	for i := range MaxWriters + 1 {
		c.accept(fmt.Sprint(i), 7)
	}
	if len(c.Writers()) != MaxWriters || c.LastSeq("0") != 0 || c.LastSeq("1") != 7 || c.accept("1", 7) {
		t.Error("not exactly the least recently seen writer was forgotten")
	}
}

// TestSnapshotPieces guards against snapshots that change when they are split and assembled from pieces in any order.
func TestSnapshotPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := make([]byte, rapid.IntRange(0, 300<<10).Draw(t, "size"))
		pieces, err := SplitSnapshot(Snapshot{ID: "a/1", Base: 9, State: state, Writers: []WriterSeq{{"w", 3}}})
		if err != nil {
			t.Fatal(err)
		}
		scan := NewSnapshotScan()
		for i, p := range rapid.Permutation(pieces).Draw(t, "order") {
			if _, ok := scan.Best(0); ok {
				t.Fatal("snapshot is complete before the last piece")
			}
			scan.AddPiece(uint64(10+i), p)
		}
		got, ok := scan.Best(10)
		if !ok || got.Base != 9 || len(got.State) != len(state) || !slices.Equal(got.Writers, []WriterSeq{{"w", 3}}) {
			t.Fatalf("assembled snapshot differs from the one that was split, or is missing (found: %v)", ok)
		}
		if _, ok := scan.Best(11); ok {
			t.Fatal("Best returned a snapshot although records after it have expired")
		}
	})
}

// newerVersionRecord returns a record of a version that this reader does not know.
func newerVersionRecord() []byte {
	data, err := msgpack.Marshal(&record.Envelope{
		Version: record.Version + 1, Writer: "w", Seq: 9, Items: []record.Item{encodeItem(1)},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// TestSkippedRecords guards against a record that a reader cannot decode and that stops the reader, is applied or is
// not counted.
func TestSkippedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := newFakeLog(1), &listSink{}
		f, stop := NewFeed(l, "s", "a", s, WithKinds("n"))
		defer stop()
		l.add(t, "w", 1, encodeItem(1), record.Item{Kind: "other", Data: []byte{1}}, encodeItem(2))
		l.put([]byte{0xc1})
		l.put(nil)
		l.put(newerVersionRecord())
		l.add(t, "w", 2, record.Item{Kind: "n", Data: []byte{0xa1}},
			record.Item{Kind: KindSnapshotPiece, Data: []byte{0x01}}, encodeItem(4))
		time.Sleep(2 * time.Second)
		c := f.Counts()
		if !slices.Equal(s.values(), []int{1, 2, 4}) || c.UnknownKind != 1 || c.Malformed != 4 || c.NewerVersion != 1 ||
			c.Records != 2 {
			t.Errorf("values %v, counts %+v; want values 1, 2, 4 and 2 records, 1 unknown kind, 4 malformed, 1 newer version",
				s.values(), c)
		}
	})
}

// FuzzRecord guards against log content that makes the cursor or the scan panic.
func FuzzRecord(f *testing.F) {
	item, _ := record.EncodeItem(KindSnapshotPiece, Piece{ID: "a", Base: 1, Count: 1, Data: []byte{1}})
	data, _ := record.Encode(record.Envelope{Writer: "w", Seq: 1, Items: []record.Item{item}})
	f.Add(data)
	f.Add([]byte{})
	f.Add(data[:len(data)-1])
	f.Add(newerVersionRecord())
	unknownKind, _ := record.Encode(record.Envelope{
		Writer: "w", Seq: 2, Items: []record.Item{{Kind: "other"}, {Kind: KindSnapshotPiece, Data: []byte{0xc1}}},
	})
	f.Add(unknownKind)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := logservice.Record{Offset: 5, Data: data}
		_, _, _ = NewCursor(5, nil).Next(r)
		s := NewSnapshotScan()
		s.Add(r)
		s.Best(0)
	})
}
