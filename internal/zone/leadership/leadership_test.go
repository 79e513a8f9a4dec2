package leadership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// runElector runs a watch against a leader that answers pings and renews as told, until it claims or the time is up. Each
// ping without an answer takes pingCost.
func runElector(w *Elector, now time.Time, limit, pingCost time.Duration, answers, renews func(time.Time) bool) (time.Duration, bool) {
	begun := now
	renewal := int64(1)
	for now.Sub(begun) < limit {
		if renews(now) {
			renewal = 1 + int64(now.Sub(begun)/RenewInterval)
		}
		action, until := w.NextAction(now)
		switch action {
		case ActionPing:
			w.RecordPing(now)
			if answers(now) {
				now = now.Add(2 * time.Millisecond)
				w.RecordAnswer(now, "leader")
			} else {
				now = now.Add(pingCost)
			}
		case ActionReadRenewal:
			now = now.Add(5 * time.Millisecond)
			w.RecordRenewal(now, renewal)
		case ActionClaim:
			return now.Sub(begun), true
		default:
			now = until
		}
	}
	return 0, false
}

func newFollower(now time.Time) *Elector {
	w := NewElector("me")
	w.ObserveClaim(now, Claim{Offset: 4, Name: "other", Address: "a", Instance: "leader", Serial: 1})
	return w
}

func always(time.Time) bool { return true }
func never(time.Time) bool  { return false }

func TestElector(t *testing.T) {
	Convey("A host claims the leadership", t, func() {
		Convey("when the log has no claim", func() {
			w := NewElector("me")
			w.ObserveClaim(start, Claim{Offset: -1})
			action, _ := w.NextAction(start)
			So(action, ShouldEqual, ActionClaim)
		})
		Convey("when the leader has lost power, although each ping takes longer than the pause between two", func() {
			took, claimed := runElector(newFollower(start), start, 10*time.Second, 450*time.Millisecond, never, never)
			So(claimed, ShouldBeTrue)
			So(took, ShouldBeLessThan, 4*time.Second)
		})
		Convey("at once when the leader's process is certain to have ended", func() {
			w := newFollower(start)
			w.RecordLeaderEnd(start, "leader")
			action, _ := w.NextAction(start)
			So(action, ShouldEqual, ActionClaim)
		})
		Convey("later if it has a handicap", func() {
			w := newFollower(start)
			w.SetClaimDelay(200 * time.Millisecond)
			w.RecordLeaderEnd(start, "leader")
			action, until := w.NextAction(start)
			So(action, ShouldEqual, ActionWait)
			So(until, ShouldEqual, start.Add(200*time.Millisecond))
		})
		Convey("again after a pause, in which hosts without a handicap come first", func() {
			w := newFollower(start)
			w.SetClaimDelay(500 * time.Millisecond)
			w.RecordLeaderEnd(start, "leader")
			now := start.Add(time.Second)
			w.RecordClaim(now)
			action, until := w.NextAction(now)
			So(action, ShouldEqual, ActionWait)
			So(until, ShouldEqual, now.Add(claimRetryInterval+500*time.Millisecond))
		})
	})
	Convey("A host does not claim", t, func() {
		Convey("while the leader answers", func() {
			_, claimed := runElector(newFollower(start), start, time.Minute, time.Millisecond, always, never)
			So(claimed, ShouldBeFalse)
		})
		Convey("while the leader renews, even if it can't be reached from here", func() {
			_, claimed := runElector(newFollower(start), start, time.Minute, 450*time.Millisecond, never, always)
			So(claimed, ShouldBeFalse)
		})
		Convey("when it is stopping", func() {
			w := newFollower(start)
			w.DisableClaims()
			w.RecordLeaderEnd(start, "leader")
			action, _ := w.NextAction(start)
			So(action, ShouldEqual, ActionWait)
		})
		Convey("for a while after it has given the leadership up", func() {
			w := NewElector("me")
			w.ObserveClaim(start, Claim{Offset: 4, Name: "me", Instance: "me"})
			So(w.IsLeader(), ShouldBeTrue)
			w.RecordLeaderEnd(start, "me")
			w.Yield(start, time.Second)
			So(w.IsLeader(), ShouldBeFalse)
			action, _ := w.NextAction(start)
			So(action, ShouldEqual, ActionWait)
			action, _ = w.NextAction(start.Add(time.Second))
			So(action, ShouldEqual, ActionClaim)
		})
	})
}

func TestClaimOffsetNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewElector("me")
		now := start
		highest := int64(-1)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				offset := int64(rapid.IntRange(0, 20).Draw(t, "offset"))
				w.ObserveClaim(now, Claim{Offset: offset, Name: "x", Instance: rapid.SampledFrom([]string{"me", "leader"}).Draw(t, "holder")})
				highest = max(highest, offset)
			case 1:
				w.RecordLeaderEnd(now, w.Claim().Instance)
			case 2:
				w.RecordAnswer(now, w.Claim().Instance)
			case 3:
				w.RecordRenewal(now, int64(rapid.IntRange(0, 3).Draw(t, "renewal")))
			case 4:
				w.NextAction(now)
			}
			if w.Claim().Offset != highest {
				t.Fatalf("claim %d after %d was seen", w.Claim().Offset, highest)
			}
			if action, until := w.NextAction(now); action == ActionWait && !until.After(now) {
				t.Fatalf("waits until %v at %v", until, now)
			}
		}
	})
}
