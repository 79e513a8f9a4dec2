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

// silenceableConn is a connection whose received data is discarded once silent is set.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

// Read implements net.Conn.
func (c silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// silenceableListener is a listener whose present connections can be silenced, while new ones work.
type silenceableListener struct {
	net.Listener
	mu     sync.Mutex
	silent []*atomic.Bool
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := &atomic.Bool{}
	l.silent = append(l.silent, silent)
	return silenceableConn{c, silent}, nil
}

// Guards against a call that fails for each idle connection when all connections to a peer have gone silent.
func TestCallAfterSilentConnections(t *testing.T) {
	Convey("With a client that has three idle connections to a peer", t, func() {
		in, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := &silenceableListener{Listener: in}
		var arrived sync.WaitGroup
		arrived.Add(3)
		_, stop := ServeRoutes(l, Routes{
			"/echo": UnaryHandler(func(_ context.Context, s string) (string, error) { return s, nil }),
			"/meet": UnaryHandler(func(_ context.Context, s string) (string, error) {
				arrived.Done()
				arrived.Wait()
				return s, nil
			}),
		}, func(error) {})
		defer stop()
		c, closeClient := NewClient()
		defer closeClient()
		call := func(method string, limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err := Invoke[string, string](ctx, c, in.Addr().String(), method, "x")
			return err
		}
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { _ = call("/meet", 5*time.Second) })
		}
		wg.Wait()
		Convey("one call fails after all went silent, and the next one succeeds", func() {
			l.mu.Lock()
			So(len(l.silent), ShouldEqual, 3)
			for _, s := range l.silent {
				s.Store(true)
			}
			l.mu.Unlock()
			So(call("/echo", 200*time.Millisecond), ShouldNotBeNil)
			So(call("/echo", 2*time.Second), ShouldBeNil)
		})
	})
}
