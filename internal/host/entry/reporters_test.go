package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// TestRestartedHostKnowsPredecessorsEnd guards against accepted work that waits for half a minute after all hosts have lost power,
// because the next leader's process has never pinged the former one.
func TestRestartedHostKnowsPredecessorsEnd(t *testing.T) {
	Convey("A host has started anew and takes over from a leader that is gone", t, func() {
		const maxUnconfirmed = 2500 * time.Millisecond
		start := time.Unix(1000, 0)
		former := leadership.Claim{Offset: 4, Name: "a", Address: "a", Instance: "a", Serial: 1, Members: true}
		entry := func(c leadership.Claim, names ...string) ledger.Entry {
			return ledger.Entry{Record: ledger.Record{Key: membersKey, Value: encodeMembers(c, names)}}
		}
		// ordersFor returns for how long the host allows for the former leader's orders.
		ordersFor := func(c leadership.Claim, entries ...ledger.Entry) time.Duration {
			e := leadership.NewElector("b")
			e.ObserveClaim(start, c)
			e.RecordRenewal(start, 7)
			e.ObserveClaim(start, leadership.Claim{Offset: 5, Name: "b", Instance: "b", Serial: 2})
			if needsHost(c, entries, "b") {
				e.RecordPredecessorNeedsHost(5)
			}
			return e.PredecessorEnd(start, maxUnconfirmed, 7).Sub(start)
		}
		Convey("which had recorded the host as an active member", func() {
			So(ordersFor(former, entry(former, "b", "c")), ShouldEqual, maxUnconfirmed)
		})
		Convey("which had recorded nobody", func() {
			So(ordersFor(former), ShouldEqual, maxUnconfirmed)
			So(ordersFor(former, entry(former)), ShouldEqual, maxUnconfirmed)
			So(ordersFor(former, entry(leadership.Claim{Offset: 3}, "c")), ShouldEqual, maxUnconfirmed)
		})
		Convey("which had recorded others only: it may go on with their reports", func() {
			So(ordersFor(former, entry(former, "c")), ShouldBeGreaterThan, leadership.MaxOutage)
		})
		Convey("of a version that records nobody: it may go on with any report", func() {
			former.Members = false
			So(ordersFor(former, entry(former, "b")), ShouldBeGreaterThan, leadership.MaxOutage)
		})
	})
}

// TestFollowerEndsPredecessorsOrders guards against accepted work that waits for half a minute although a host on whose reports the
// former leader depends follows the present one.
func TestFollowerEndsPredecessorsOrders(t *testing.T) {
	Convey("A leader whose predecessor had recorded another host gets its ping", t, func() {
		h := &Host{
			cfg: Config{Name: "b", Limits: dispatch.Limits{MaxUnconfirmedTerm: 2500 * time.Millisecond}}, clock: bootclock.Clock{},
			members: map[string]member{},
		}
		h.term = &term{host: h, previousMembers: []string{"c"}}
		ping := func(name string) {
			_, err := h.handlePeerPing(t.Context(), Ping{Name: name})
			So(err, ShouldBeNil)
		}
		ping("d")
		So(h.term.previousOrdersEnd().IsZero(), ShouldBeTrue)
		ping("c")
		So(h.term.previousOrdersEnd(), ShouldHappenWithin, 3*time.Second, h.clock.Now())
	})
}
