package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// TestPingsOfUnknownHosts guards against processes at the address for other hosts that fill the memory of a host with the names in
// their pings, or have a leader record more names than the log takes, with which it loses its term.
func TestPingsOfUnknownHosts(t *testing.T) {
	Convey("With a leader and another host", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, h.Ready), ShouldBeTrue)
		ping := func(name string) error {
			_, err := h.handlePeerPing(context.Background(), Ping{Name: name})
			return err
		}
		So(ping("b"), ShouldBeNil)
		Convey("a long name is refused", func() {
			So(ping(strings.Repeat("x", maxNameBytes+1)), ShouldNotBeNil)
		})
		Convey("a crowd of names is answered, but not kept, and known hosts stay", func() {
			for i := range 2 * maxMembers {
				So(ping(fmt.Sprint("x", i)), ShouldBeNil)
			}
			So(ping("b"), ShouldBeNil)
			h.mu.Lock()
			defer h.mu.Unlock()
			So(len(h.members), ShouldEqual, maxMembers)
			So(h.members, ShouldContainKey, "b")
			Convey("and makes way for new hosts once it is silent", func() {
				later := h.clock.Now().Add(2 * leadership.MemberTimeout)
				h.keepMember(later, member{Name: "c", pingedAt: later})
				So(h.members, ShouldContainKey, "c")
			})
		})
	})
	Convey("The names in the record of active members fit into a record of the log", t, func() {
		names := make([]string, 1000)
		for i := range names {
			names[i] = strings.Repeat("x", 100)
		}
		const maxRecord = 16 << 10
		fitting := fitMembersRecord(names, maxRecord)
		So(len(encodeMembers(leadership.Claim{}, fitting)), ShouldBeBetween, maxRecord/4, maxRecord)
		So(fitMembersRecord(names[:3], maxRecord), ShouldHaveLength, 3)
	})
	Convey("Requests and announcements with names that no host sends are refused", t, func() {
		long := strings.Repeat("x", maxQueueBytes+1)
		for _, req := range []Request{{ID: long}, {Queue: long}, {Team: long}} {
			So(req.validate(), ShouldNotBeNil)
		}
		So((&Announcement{Claim: leadership.Claim{Name: long}}).validate(), ShouldNotBeNil)
	})
}
