package node

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
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

// TestReasonOfRefusedKey guards against a key that is refused as closed, as if the log had settled it, although no host
// can use it.
func TestReasonOfRefusedKey(t *testing.T) {
	Convey("The reply to a key that a host does not use names the key and says why", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a")
		p.declareClasses(n)
		keyAt := func(at time.Time) string {
			u := uuid.Must(uuid.NewV7())
			for i, ms := 5, at.UnixMilli(); i >= 0; i, ms = i-1, ms>>8 {
				u[i] = byte(ms)
			}
			return u.String()
		}
		for key, want := range map[string]outcome.Reply{
			"no UUID":                              {Outcome: outcome.NotRun, Reason: outcome.ReasonInvalid, Field: "key"},
			keyAt(time.Now().Add(time.Hour)):       {Outcome: outcome.Unknown, Reason: outcome.ReasonInvalid, Field: "key"},
			keyAt(time.Now().Add(-48 * time.Hour)): {Outcome: outcome.Unknown, Reason: outcome.ReasonExpired},
		} {
			r := p.request(n, "quote", key, nil, time.Second)
			So(outcome.Reply{Outcome: r.Outcome, Reason: r.Reason, Field: r.Field}, ShouldResemble, want)
		}
	})
}
