package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// echo is a Node that returns what it receives. While hang is set, PeerRequest blocks until its context ends.
type echo struct{ hang atomic.Bool }

func (e *echo) Sync(_ context.Context, r SyncRequest) (SyncReply, error) {
	return SyncReply{State: r.State}, nil
}

func (e *echo) PeerRequest(ctx context.Context, r ForwardRequest) (ForwardReply, error) {
	if e.hang.Load() {
		<-ctx.Done()
		return ForwardReply{}, ctx.Err()
	}
	return ForwardReply{RequestID: r.RequestID, Reply: outcome.Reply{Outcome: outcome.Done, Body: r.Body}}, nil
}

func (e *echo) PeerJob(context.Context, JobRequest) (JobReply, error) {
	return JobReply{}, errors.New("no job")
}

// Guards against the reuse of a connection whose peer stopped answering, against a refused connection that is reported
// as a message that may have arrived, and against a call without a deadline.
func TestCalls(t *testing.T) {
	Convey("With a peer and a client", t, func() {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		n := &echo{}
		_, stop := Serve(l, n, func(error) {})
		defer stop()
		c, closeClient := NewClient()
		defer closeClient()
		call := func(limit time.Duration, request string) (ForwardReply, error) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return c.Forward(ctx, l.Addr().String(), ForwardRequest{RequestID: request, Body: []byte(request)})
		}
		Convey("calls are answered after one that timed out", func() {
			r, err := call(5*time.Second, "a")
			So(err, ShouldBeNil)
			So(r.RequestID, ShouldEqual, "a")
			n.hang.Store(true)
			_, err = call(100*time.Millisecond, "b")
			So(err, ShouldNotBeNil)
			So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			n.hang.Store(false)
			r, err = call(5*time.Second, "c")
			So(err, ShouldBeNil)
			So(string(r.Reply.Body), ShouldEqual, "c")
		})
		Convey("an error of the peer is an error, and a call needs a deadline", func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.Job(ctx, l.Addr().String(), JobRequest{})
			So(err.Error(), ShouldContainSubstring, "no job")
			_, err = c.Forward(t.Context(), l.Addr().String(), ForwardRequest{})
			So(err, ShouldNotBeNil)
		})
		Convey("a message is reported as not sent if the connection is refused", func() {
			free, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			addr := free.Addr().String()
			So(free.Close(), ShouldBeNil)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = c.Forward(ctx, addr, ForwardRequest{})
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}
