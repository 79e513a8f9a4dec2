package edge

import (
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// TestBackgroundRead guards against a connection that is closed at the bound between the last read of its body and the moment
// at which the request counts as complete, while the HTTP server already waits for the end of the connection.
func TestBackgroundRead(t *testing.T) {
	Convey("With a connection on which a body is read", t, func() {
		log, _ := test.NewNullLogger()
		e, closeEdge := New(log, &refusals{n: map[string]int{}})
		defer closeEdge()
		l, err := e.Listen(t.Context(), "callers", "127.0.0.1:0", limit.Size{Conns: 1, Bytes: 300_000}, DefaultLimits)
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		client, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = client.Close() }()
		nc, err := l.Accept()
		So(err, ShouldBeNil)
		c := nc.(*conn)
		l.mu.Lock()
		c.setComplete()
		c.state.SetIncomplete()
		c.state.SetWaiting(false)
		l.mu.Unlock()
		// waits reports whether the connection may be closed during a read of n bytes.
		waits := func(n int) bool {
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = c.Read(make([]byte, n))
			}()
			defer func() {
				_ = c.Close()
				<-done
			}()
			for range 20 {
				time.Sleep(5 * time.Millisecond)
				l.mu.Lock()
				waiting := c.state.Waiting()
				l.mu.Unlock()
				if waiting {
					return true
				}
			}
			return false
		}
		Convey("it may be closed while more of the body is awaited", func() {
			So(waits(4096), ShouldBeTrue)
		})
		Convey("it may not be closed during the background read", func() {
			So(waits(1), ShouldBeFalse)
		})
	})
}
