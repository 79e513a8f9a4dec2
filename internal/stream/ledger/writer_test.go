package ledger

import (
	"context"
	"slices"
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

// pickyStore rejects appends with a record whose value begins with bad, and all appends as long as rejectAll is above 0.
type pickyStore struct {
	Store
	accepted  []string
	sequences []int64
	rejectAll int
}

func (s *pickyStore) Append(_ context.Context, a Append) (OffsetRange, error) {
	if s.rejectAll > 0 {
		s.rejectAll--
		return OffsetRange{}, ErrRejected
	}
	for _, r := range a.Records {
		if strings.HasPrefix(string(r.Value), "bad") {
			return OffsetRange{}, ErrRejected
		}
	}
	for _, r := range a.Records {
		s.accepted = append(s.accepted, string(r.Value))
	}
	if len(a.Records) > 0 {
		s.sequences = append(s.sequences, a.Sequence)
	}
	return OffsetRange{End: int64(len(s.accepted))}, nil
}

// TestRejectedRecordIsLeftOut guards against a writer that repeats an append for ever although the log never takes one of
// its records, and against one that leaves out records while the log refuses everything for a while.
func TestRejectedRecordIsLeftOut(t *testing.T) {
	write := func(s *pickyStore, values []string) (left []string, err error) {
		w := NewWriter(s, Partition{Topic: "t"}, "me", 7, WithRejectHook(func(r Record, _ error) {
			left = append(left, string(r.Value))
		}))
		w.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
		records := make([]Record, 0, len(values))
		for _, v := range values {
			records = append(records, Record{Key: "k", Value: []byte(v)})
		}
		return left, w.Write(context.Background(), records)
	}
	Convey("A writer leaves out exactly the records that the log rejects, in any order", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			values := rapid.SliceOfN(rapid.SampledFrom([]string{"good1", "good2", "bad1", "bad2"}), 1, 12).Draw(t, "values")
			s := &pickyStore{rejectAll: rapid.IntRange(0, 9).Draw(t, "rejectAll")}
			left, err := write(s, values)
			if err != nil {
				t.Fatal(err)
			}
			var good, bad []string
			for _, v := range values {
				if strings.HasPrefix(v, "bad") {
					bad = append(bad, v)
				} else {
					good = append(good, v)
				}
			}
			if !slices.Equal(good, s.accepted) || !slices.Equal(bad, left) {
				t.Fatalf("of %v the log has %v and %v were left out", values, s.accepted, left)
			}
			for i, n := range s.sequences {
				if n != int64(i) {
					t.Fatalf("sequence numbers %v have gaps", s.sequences)
				}
			}
		})
	})
	Convey("A writer without a reject hook fails", t, func() {
		w := testWriter(&pickyStore{})
		err := w.Write(context.Background(), []Record{{Key: "k", Value: []byte("bad")}})
		So(errors.Is(err, ErrRejected), ShouldBeTrue)
	})
}
