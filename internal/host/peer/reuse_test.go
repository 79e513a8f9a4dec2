package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// slowCancelCtx is a context whose cancellation drpc carries out slowly: its second reading of the context's error, with
// which it closes the connection, returns only after delay. The first one, with which it ends the call, does not wait.
type slowCancelCtx struct {
	context.Context
	delay time.Duration
	reads atomic.Int32
	// canceling is closed at the first reading.
	canceling chan struct{}
}

// Err implements context.Context.
func (c *slowCancelCtx) Err() error {
	err := c.Context.Err()
	if err == nil {
		return nil
	}
	switch c.reads.Add(1) {
	case 1:
		close(c.canceling)
	case 2:
		time.Sleep(c.delay)
	}
	return err
}

// newSlowCancelCtx returns a slowCancelCtx that ends after limit, and its cancel function.
func newSlowCancelCtx(t *testing.T, limit time.Duration) (*slowCancelCtx, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	return &slowCancelCtx{Context: ctx, delay: 300 * time.Millisecond, canceling: make(chan struct{})}, cancel
}

// decodeHook is called while a hookedReply is decoded.
var decodeHook atomic.Pointer[func()]

// hookedReply is a reply that calls decodeHook.
type hookedReply struct{ Text string }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *hookedReply) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	if f := decodeHook.Load(); f != nil {
		(*f)()
	}
	r.Text, err = d.DecodeString()
	return err
}

// Guards against a call that ends with the error of the call before it, whose context has ended but whose connection
// was not closed yet when it was used again.
func TestCallAfterCanceledCall(t *testing.T) {
	Convey("With a peer and a client", t, func() {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var hang atomic.Bool
		_, stop := ServeRoutes(l, Routes{"/echo": UnaryHandler(func(ctx context.Context, s string) (string, error) {
			if hang.Load() {
				<-ctx.Done()
			}
			return s, ctx.Err()
		})}, func(error) {})
		defer stop()
		c, closeClient := NewClient()
		defer closeClient()
		addr := l.Addr().String()
		callNext := func() {
			hang.Store(false)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			s, err := Invoke[string, string](ctx, c, addr, "/echo", "next")
			So(err, ShouldBeNil)
			So(s, ShouldEqual, "next")
		}
		callNext()
		Convey("a call is answered after one that timed out", func() {
			hang.Store(true)
			ctx, cancel := newSlowCancelCtx(t, 50*time.Millisecond)
			defer cancel()
			_, err := Invoke[string, string](ctx, c, addr, "/echo", "late")
			So(err, ShouldNotBeNil)
			callNext()
		})
		Convey("a call is answered after one that was canceled while its reply arrived", func() {
			ctx, cancel := newSlowCancelCtx(t, 5*time.Second)
			defer cancel()
			var once sync.Once
			hook := func() {
				once.Do(func() {
					cancel()
					<-ctx.canceling
					time.Sleep(50 * time.Millisecond) // drpc waits for the end of the decoding with the call's lock held.
				})
			}
			decodeHook.Store(&hook)
			defer decodeHook.Store(nil)
			r, err := Invoke[string, hookedReply](ctx, c, addr, "/echo", "last")
			So(err, ShouldBeNil)
			So(r.Text, ShouldEqual, "last")
			callNext()
		})
	})
}
