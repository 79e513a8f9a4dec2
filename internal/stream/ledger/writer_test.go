package ledger

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// scriptedStore answers appends with the errors of its script, then with success, and records the appends.
type scriptedStore struct {
	Store
	script []error
	sent   []Append
}

func (s *scriptedStore) Append(_ context.Context, a Append) (OffsetRange, error) {
	s.sent = append(s.sent, a)
	if len(s.script) > 0 {
		err := s.script[0]
		s.script = s.script[1:]
		return OffsetRange{}, err
	}
	return OffsetRange{}, nil
}

func testWriter(s Store) *Writer {
	w := NewWriter(s, Partition{Topic: "t"}, "me", 7)
	w.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return w
}

// TestWriter guards against retries under a new sequence number and retries that never end.
func TestWriter(t *testing.T) {
	lost := errors.New("no answer")
	record := []Record{{Key: "k", Value: []byte("v")}}
	Convey("A writer", t, func() {
		s := &scriptedStore{}
		w := testWriter(s)
		Convey("retries an unanswered append under the same sequence number", func() {
			s.script = []error{lost, lost}
			So(w.Write(context.Background(), record), ShouldBeNil)
			So(w.Write(context.Background(), record), ShouldBeNil)
			So(s.sent, ShouldHaveLength, 4)
			So(s.sent[2].Sequence, ShouldEqual, s.sent[0].Sequence)
			So(s.sent[3].Sequence, ShouldEqual, s.sent[0].Sequence+1)
			So(s.sent[0].Epoch, ShouldEqual, 7)
		})
		Convey("stops when a later epoch has fenced it", func() {
			s.script = []error{lost, ErrFenced}
			So(errors.Is(w.Write(context.Background(), record), ErrFenced), ShouldBeTrue)
			So(s.sent, ShouldHaveLength, 2)
		})
		Convey("stops when its context ends", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			s.script = []error{lost, lost}
			So(errors.Is(w.Write(ctx, record), context.Canceled), ShouldBeTrue)
		})
	})
}

// TestWriterSplits guards against appends that are too large, sequence numbers with gaps and records that are not sent.
func TestWriterSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedStore{}
		w := testWriter(s)
		sizes := rapid.SliceOfN(rapid.IntRange(0, maxAppendBytes/3), 1, 20).Draw(t, "sizes")
		records := make([]Record, len(sizes))
		for i, n := range sizes {
			records[i] = Record{Key: "k", Value: []byte(strings.Repeat("x", n))}
		}
		if err := w.Write(context.Background(), records); err != nil {
			t.Fatal(err)
		}
		got := 0
		for i, a := range s.sent {
			size := 0
			for _, r := range a.Records {
				size += recordOverhead + len(r.Key) + len(r.Value)
			}
			if len(a.Records) > 1 && size > maxAppendBytes+maxAppendBytes/3+recordOverhead+1 {
				t.Fatalf("append %d of several records has %d bytes, more than allowed", i, size)
			}
			if a.Sequence != int64(i) {
				t.Fatalf("append %d, counted from 0, has sequence number %d, want the same number", i, a.Sequence)
			}
			got += len(a.Records)
		}
		if got != len(records) {
			t.Fatalf("%d of %d records were sent", got, len(records))
		}
	})
}
