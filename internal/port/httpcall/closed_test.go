package httpcall

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// unreachableConn is a connection to a peer that can't be reached any more.
type unreachableConn struct{ net.Conn }

func (unreachableConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.EHOSTUNREACH)}
}

// TestIsClosed guards against a peer that has left being taken for one that is cut off, and the reverse.
func TestIsClosed(t *testing.T) {
	Convey("A request waits at a peer", t, func() {
		arrived, release := make(chan struct{}, 1), make(chan struct{})
		address, _, srv := startPeer(func(http.ResponseWriter, *http.Request) {
			arrived <- struct{}{}
			<-release
		})
		p, done := NewClientPool(2, time.Second, time.Minute)
		defer done()
		defer srv.Close()
		defer close(release)
		Convey("that closes its connections", func() {
			go func() {
				<-arrived
				srv.CloseClientConnections()
			}()
			_, _, err := post(p, 5*time.Second, Call{Address: address})
			So(IsClosed(err), ShouldBeTrue)
		})
		Convey("that doesn't answer in time", func() {
			_, _, err := post(p, 50*time.Millisecond, Call{Address: address})
			So(err, ShouldNotBeNil)
			So(IsClosed(err), ShouldBeFalse)
		})
	})
	Convey("A peer refuses connections", t, func() {
		var lc net.ListenConfig
		l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		p, done := NewClientPool(2, time.Second, time.Minute)
		defer done()
		_, _, err = post(p, time.Second, Call{Address: l.Addr().String()})
		So(IsClosed(err), ShouldBeTrue)
	})
}

// TestUnreachablePeerIsNotClosed guards against a worker that is cut off being taken for one that has left.
func TestUnreachablePeerIsNotClosed(t *testing.T) {
	Convey("A peer can't be reached any more while a response is awaited", t, func() {
		p, done := NewClientPool(2, time.Second, time.Minute)
		defer done()
		err := p.read(unreachableConn{}, &fasthttp.Response{})
		So(err, ShouldNotBeNil)
		So(IsClosed(err), ShouldBeFalse)
	})
}
