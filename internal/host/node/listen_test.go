package node

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFailedListenClosesListeners guards against listeners that stay open, and accept connections that nobody answers,
// after a start that failed because an address was taken.
func TestFailedListenClosesListeners(t *testing.T) {
	Convey("If the address for peers is taken, the other listeners are closed", t, func() {
		open := func(address string) (net.Listener, error) {
			return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		}
		taken, err := open("127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = taken.Close() })
		free, err := open("127.0.0.1:0")
		So(err, ShouldBeNil)
		So(free.Close(), ShouldBeNil)
		cfg := testSettings("a-1", "a")
		cfg.Callers.Listen, cfg.Operators.Listen = free.Addr().String(), "127.0.0.1:0"
		cfg.Peers.Listen = taken.Addr().String()
		_, err = listen(cfg)
		So(err, ShouldNotBeNil)
		again, err := open(free.Addr().String())
		So(err, ShouldBeNil)
		So(again.Close(), ShouldBeNil)
	})
}
