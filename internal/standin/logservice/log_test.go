package logservice

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 1, 100) }

// TestClientAppendOutcome guards against a client that reports an append as rejected although it may have taken effect,
// and against records and retained ranges that change on the way over HTTP.
func TestClientAppendOutcome(t *testing.T) {
	Convey("Given a log that is served over HTTP", t, func() {
		ctx := context.Background()
		l := New()
		srv := httptest.NewServer(Handler(l))
		c, closeClient := logservice.NewClient(srv.URL, logservice.WithTimeout(200*time.Millisecond))
		Reset(func() { closeClient(); srv.Close() })
		countRecords := func() int {
			l.SetFaults(Faults{})
			page, err := c.Read(ctx, "zone.a", 0, 10, 0)
			So(err, ShouldBeNil)
			return len(page.Records)
		}

		Convey("records come back as appended", func() {
			offset, err := c.Append(ctx, "zone.a", []byte{0, 1})
			So(err, ShouldBeNil)
			page, err := c.Read(ctx, "zone.a", offset, 10, 0)
			So(err, ShouldBeNil)
			So(page, ShouldResemble, logservice.Page{Next: 1, Records: []logservice.Record{{Offset: 0, Data: []byte{0, 1}}}})
		})
		Convey("an append whose response is lost is not reported as rejected, and its record is stored", func() {
			l.SetFaults(Faults{LoseResponses: true})
			_, err := c.Append(ctx, "zone.a", []byte("x"))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, logservice.ErrRejected), ShouldBeFalse)
			So(countRecords(), ShouldEqual, 1)
		})
		Convey("an append that times out is not reported as rejected, and its record is stored later", func() {
			l.SetFaults(Faults{EffectDelay: 300 * time.Millisecond})
			_, err := c.Append(ctx, "zone.a", []byte("x"))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, logservice.ErrRejected), ShouldBeFalse)
			l.SetFaults(Faults{})
			page, err := c.Read(ctx, "zone.a", 0, 10, time.Second)
			So(err, ShouldBeNil)
			So(page.Records, ShouldHaveLength, 1)
		})
		Convey("an append during an outage is not reported as rejected", func() {
			l.SetFaults(Faults{Outage: true})
			_, err := c.Append(ctx, "zone.a", []byte("x"))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, logservice.ErrRejected), ShouldBeFalse)
		})
		Convey("an append above the rate limit is rejected and not stored", func() {
			l.SetFaults(Faults{Rate: 0.001})
			// The limiter admits one append at first.
			_, _ = c.Append(ctx, "zone.a", []byte("x"))
			_, err := c.Append(ctx, "zone.a", []byte("x"))
			So(errors.Is(err, logservice.ErrRejected), ShouldBeTrue)
			So(countRecords(), ShouldEqual, 1)
		})
		Convey("an append to a closed server is rejected", func() {
			srv.Close()
			_, err := c.Append(ctx, "zone.a", []byte("x"))
			So(errors.Is(err, logservice.ErrRejected), ShouldBeTrue)
		})
		Convey("a read of an expired offset returns ErrExpired and the retained range", func() {
			l.SetFaults(Faults{MaxRecords: 1})
			_, _ = c.Append(ctx, "zone.a", []byte("x"))
			_, _ = c.Append(ctx, "zone.a", []byte("y"))
			page, err := c.Read(ctx, "zone.a", 0, 10, 0)
			So(errors.Is(err, logservice.ErrExpired), ShouldBeTrue)
			So(page, ShouldResemble, logservice.Page{First: 1, Next: 2})
		})
	})
}

// TestDelayedAppend guards against a delayed append that is dropped when its caller gives up, and against a long poll
// that misses it.
func TestDelayedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(WithFaults(Faults{EffectDelay: 3 * time.Second, MaxAge: time.Minute}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		if _, err := l.Append(ctx, "keys", []byte("x")); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("append delayed beyond the deadline of its context: got %v, want context.DeadlineExceeded", err)
		}
		page, err := l.Read(context.Background(), "keys", 0, 10, time.Minute)
		if err != nil || len(page.Records) != 1 || time.Since(start) != 3*time.Second {
			t.Fatalf("read returned after %s, want one record after 3s: page %+v, error %v", time.Since(start), page, err)
		}
		time.Sleep(61 * time.Second)
		if _, err := l.Read(context.Background(), "keys", 0, 10, 0); !errors.Is(err, logservice.ErrExpired) {
			t.Fatalf("read of an expired record: got %v, want ErrExpired", err)
		}
	})
}

// TestRetention guards against gaps and wrong offsets after records have expired.
func TestRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRecords := rapid.IntRange(1, 5).Draw(t, "count")
		total := rapid.IntRange(0, 12).Draw(t, "total")
		l, ctx := New(WithFaults(Faults{MaxRecords: maxRecords})), context.Background()
		for i := range total {
			if offset, err := l.Append(ctx, "s", fmt.Appendf(nil, "%d", i)); err != nil || offset != uint64(i) {
				t.Fatalf("append %d: got offset %d and error %v, want the number of the append as offset", i, offset, err)
			}
		}
		first := uint64(max(0, total-maxRecords))
		page, err := l.Read(ctx, "s", first, 100, 0)
		if err != nil || page.First != first || page.Next != uint64(total) ||
			len(page.Records) != min(total, maxRecords) {
			t.Fatalf("read from the oldest retained record: got page %+v and error %v, want all retained records", page, err)
		}
		for _, r := range page.Records {
			if string(r.Data) != fmt.Sprint(r.Offset) {
				t.Fatalf("the record at offset %d holds %q, want its offset", r.Offset, r.Data)
			}
		}
	})
}
