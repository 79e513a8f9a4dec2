package edge

import (
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// TestMessageBytes guards against peers whose messages take memory that no share counts: in small pieces on an idle
// connection, while a call is carried out, or in the buffer that the server's reader keeps after the answer.
func TestMessageBytes(t *testing.T) {
	Convey("With a connection of a peer", t, func() {
		log, _ := test.NewNullLogger()
		e, closeEdge := New(log, &refusals{n: map[string]int{}})
		defer closeEdge()
		inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = inner.Close() }()
		l := MessageListener{e.Wrap(inner, "peers", limit.Size{Conns: 4, Bytes: 300_000}, DefaultLimits)}
		open := func() (net.Conn, *conn) {
			client, err := new(net.Dialer).DialContext(t.Context(), "tcp", inner.Addr().String())
			So(err, ShouldBeNil)
			nc, err := l.Accept()
			So(err, ShouldBeNil)
			Reset(func() {
				_ = client.Close()
				_ = nc.Close()
			})
			return client, nc.(*conn)
		}
		client, c := open()
		send := func(client net.Conn, c *conn, n int) error {
			if _, err := client.Write(make([]byte, n)); err != nil {
				return err
			}
			_, err := io.ReadFull(c, make([]byte, n))
			return err
		}
		held := func() int64 { return e.States()[0].Bytes }
		So(c.MessageArrived(), ShouldBeTrue)
		Convey("pieces below the least message on an idle connection are counted", func() {
			c.MessageAnswered()
			for range 200 {
				So(send(client, c, messageBytes-1), ShouldBeNil)
			}
			So(held(), ShouldBeGreaterThan, 0)
		})
		Convey("a call ends if more than its end follows its message", func() {
			So(send(client, c, 100), ShouldBeNil)
			So(send(client, c, 2*callSlack), ShouldNotBeNil)
		})
		Convey("the next message may begin to arrive while the answer is written, and is counted", func() {
			_, err := c.Write([]byte("answer"))
			So(err, ShouldBeNil)
			So(send(client, c, 50_000), ShouldBeNil)
			So(held(), ShouldBeGreaterThan, 0)
			c.MessageAnswered()
			So(c.state.Phase(), ShouldEqual, limit.PhaseIncomplete)
			So(c.MessageArrived(), ShouldBeTrue)
		})
		Convey("a message is held until its connection gives way or is closed", func() {
			c.MessageAnswered()
			So(send(client, c, 80_000), ShouldBeNil)
			So(c.MessageArrived(), ShouldBeTrue)
			c.MessageAnswered()
			before := held()
			So(before, ShouldBeGreaterThan, 200_000)
			failed := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				failed <- err
			}()
			await(func() bool {
				c.l.mu.Lock()
				defer c.l.mu.Unlock()
				return c.state.Waiting()
			})
			other, o := open()
			So(send(other, o, 80_000), ShouldBeNil)
			So(<-failed, ShouldNotBeNil)
			So(held(), ShouldBeLessThanOrEqualTo, before)
			So(o.Close(), ShouldBeNil)
			So(held(), ShouldEqual, 0)
		})
	})
}
