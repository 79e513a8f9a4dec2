package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/work/intent"
)

// TestReserveSendsWithoutLock guards against a request that holds the zone's lock while it waits for room in its own
// channel of messages, so that no other request of the host goes on.
func TestReserveSendsWithoutLock(t *testing.T) {
	Convey("While the result of a reservation waits to be delivered, the zone's lock is free", t, func() {
		n := newTestPlatform(t, 1, 1).start("a-1", "a")
		k := &keyedRequest{n: n.Node, ctx: t.Context(), req: caller.Request{Class: "quote"}, msgs: make(chan intent.Msg)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.reserve(intent.ReserveSlotCmd{})
		}()
		free := within(time.Second, func() bool {
			select {
			case <-done:
				return false
			default:
			}
			// The host's own loops hold the lock for moments only.
			time.Sleep(50 * time.Millisecond)
			ok := n.zone.mu.TryLock()
			if ok {
				n.zone.mu.Unlock()
			}
			return ok
		})
		So(<-k.msgs, ShouldNotBeNil)
		<-done
		So(free, ShouldBeTrue)
	})
}
