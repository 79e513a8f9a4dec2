package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/host/edge"
	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// countingRecorder implements edge.Recorder. It counts malformed messages.
type countingRecorder struct{ malformed atomic.Int32 }

func (r *countingRecorder) RecordRefusal(_, reason string) {
	if reason == string(edge.ReasonMalformed) {
		r.malformed.Add(1)
	}
}

// TestCrowdOfConnections guards against clients at the address of the peers that take connections or memory without bound,
// cut a call in progress, or keep other hosts out.
func TestCrowdOfConnections(t *testing.T) {
	Convey("With a server that has room for four connections and 300 kB, and a call in progress", t, func() {
		log, _ := test.NewNullLogger()
		recorder := &countingRecorder{}
		e, closeEdge := edge.New(log, recorder)
		defer closeEdge()
		size := limit.Size{Conns: 4, Bytes: 300_000}
		l, err := e.Listen(t.Context(), "peers", "127.0.0.1:0", size, edge.DefaultLimits)
		So(err, ShouldBeNil)
		begun, release := make(chan struct{}), make(chan struct{})
		_, stop := ServeRoutes(edge.MessageListener{Listener: l}, Routes{
			"/echo": UnaryHandler(func(_ context.Context, s string) (string, error) { return s, nil }),
			"/wait": UnaryHandler(func(_ context.Context, s string) (string, error) {
				close(begun)
				<-release
				return s, nil
			}),
			"/hold": UnaryHandler(func(_ context.Context, s string) (string, error) {
				<-release
				return s, nil
			}),
			"/list": UnaryHandler(func(context.Context, []int) (string, error) { return "", nil }),
		}, func(error) {})
		defer stop()
		c, closeClient := NewClient()
		defer closeClient()
		call := func(method, text string) error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			reply, err := Invoke[string, string](ctx, c, l.Addr().String(), method, text)
			if err == nil && reply != text {
				t.Errorf("the reply has %d bytes, want %d", len(reply), len(text))
			}
			return err
		}
		var waiting error
		var wg sync.WaitGroup
		wg.Go(func() { waiting = call("/wait", "x") })
		<-begun
		finish := func() {
			close(release)
			wg.Wait()
			So(waiting, ShouldBeNil)
		}
		// crowd opens connections that each send a text.
		crowd := func(text string) {
			for range 50 {
				conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
				So(err, ShouldBeNil)
				Reset(func() { _ = conn.Close() })
				// The server may have closed it already.
				_, _ = io.WriteString(conn, text)
			}
		}
		Convey("silent connections are closed, the call goes on and others are answered", func() {
			crowd("")
			So(call("/echo", "y"), ShouldBeNil)
			So(call("/echo", strings.Repeat("z", 90_000)), ShouldBeNil)
			So(e.States()[0].Conns, ShouldBeLessThanOrEqualTo, size.Conns)
			finish()
			await(func() bool { return e.States()[0].Bytes == 0 })
		})
		Convey("messages that stop short hold no more than the share", func() {
			// A frame of 200,000 bytes of which half are sent.
			frame := append([]byte{1 << 1, 1, 1}, binary.AppendUvarint(nil, 200_000)...)
			crowd(string(frame) + strings.Repeat("a", 100_000))
			So(e.States()[0].Bytes, ShouldBeLessThanOrEqualTo, size.Bytes)
			So(call("/echo", "y"), ShouldBeNil)
			finish()
		})
		Convey("a message that takes too much memory once it is decoded is refused, and its sender knows that it has not run", func() {
			hold := strings.Repeat("h", 80_000)
			// The decoded form of the list takes more than what is left beside another message.
			other, closeOther := NewClient()
			defer closeOther()
			wg.Go(func() { _, _ = Invoke[string, string](shortContext(t), other, l.Addr().String(), "/hold", hold) })
			await(func() bool { return e.States()[0].Bytes > 200_000 })
			_, err := Invoke[[]int, string](shortContext(t), c, l.Addr().String(), "/list", make([]int, 4000))
			So(errors.Is(err, ErrRefused), ShouldBeTrue)
			So(call("/echo", "y"), ShouldBeNil)
			finish()
		})
		Convey("a message that no host sends is refused and counted", func() {
			// A list that is longer than the message, and a number in place of a list.
			for _, data := range []string{"\xdd\xff\xff\xff\xff", "\x2a"} {
				_, err := Invoke[msgpack.RawMessage, string](shortContext(t), c, l.Addr().String(), "/list", msgpack.RawMessage(data))
				So(err, ShouldNotBeNil)
			}
			await(func() bool { return recorder.malformed.Load() == 2 })
			So(call("/echo", "y"), ShouldBeNil)
			finish()
		})
		Convey("a message above the limit is not carried out", func() {
			So(call("/echo", strings.Repeat("z", maxMessageBytes+1)), ShouldNotBeNil)
			So(call("/echo", "y"), ShouldBeNil)
			finish()
		})
	})
}

// shortContext returns a context for one call.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// await waits until a condition holds.
func await(fn func() bool) {
	for range 500 {
		if fn() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("the condition", ShouldEqual, "met")
}
