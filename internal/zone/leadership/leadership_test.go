package leadership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// runElector runs an elector against a leader that answers pings and renews as told, until the elector claims or the
// limit has passed. It returns the time until the claim and whether there was one. Each ping without an answer takes
// pingCost.
func runElector(
	e *Elector, now time.Time, limit, pingCost time.Duration, answers, renews func(time.Time) bool,
) (time.Duration, bool) {
	begun := now
	renewal := int64(1)
	for now.Sub(begun) < limit {
		if renews(now) {
			renewal = 1 + int64(now.Sub(begun)/RenewInterval)
		}
		action, until := e.NextAction(now)
		switch action {
		case ActionPing:
			e.RecordPing(now)
			if answers(now) {
				sentAt := now
				now = now.Add(2 * time.Millisecond)
				e.RecordAnswer(now, sentAt, e.Claim().Offset)
			} else {
				now = now.Add(pingCost)
			}
		case ActionReadRenewal:
			now = now.Add(5 * time.Millisecond)
			e.RecordRenewal(now, renewal)
		case ActionClaim:
			return now.Sub(begun), true
		default:
			now = until
		}
	}
	return 0, false
}

// newFollower returns an elector that has seen the claim of another host.
func newFollower(now time.Time) *Elector {
	e := NewElector("me")
	e.ObserveClaim(now, Claim{Offset: 4, Name: "other", Address: "a", Instance: "leader", Serial: 1})
	return e
}

func always(time.Time) bool { return true }
func never(time.Time) bool  { return false }

// TestElector guards against a host that claims the leadership while the leader answers or renews, and against a
// leadership that nobody claims.
func TestElector(t *testing.T) {
	Convey("A host claims the leadership", t, func() {
		Convey("when the log has no claim", func() {
			e := NewElector("me")
			e.ObserveClaim(start, Claim{Offset: -1})
			action, _ := e.NextAction(start)
			So(action, ShouldEqual, ActionClaim)
		})
		Convey("when the leader's host is switched off, although each ping takes longer than the pause between two", func() {
			took, claimed := runElector(newFollower(start), start, 10*time.Second, 450*time.Millisecond, never, never)
			So(claimed, ShouldBeTrue)
			So(took, ShouldBeLessThan, 4*time.Second)
		})
		Convey("soon after the host of a leader that has reported its renewals was switched off", func() {
			// The next leader's first starts are due 1.5 s after the loss, and its takeover takes a tenth of that.
			const limit = 1350 * time.Millisecond
			for loss := 5 * time.Second; loss < 6*time.Second; loss += 50 * time.Millisecond {
				e := newFollower(start)
				renews := func(now time.Time) bool { return now.Sub(start) <= loss }
				answers := func(now time.Time) bool {
					if renews(now) {
						e.RecordPingAnswer(now, now, 1+int64(now.Sub(start)/RenewInterval))
					}
					return renews(now)
				}
				took, claimed := runElector(e, start, 20*time.Second, 450*time.Millisecond, answers, renews)
				So(claimed, ShouldBeTrue)
				So(took-loss, ShouldBeBetween, 300*time.Millisecond, limit)
			}
		})
		Convey("at once when the leader's process is certain to have ended", func() {
			e := newFollower(start)
			e.RecordLeaderEnd(start, 4)
			action, _ := e.NextAction(start)
			So(action, ShouldEqual, ActionClaim)
		})
		Convey("later if it has a claim delay", func() {
			e := newFollower(start)
			e.SetClaimDelay(200 * time.Millisecond)
			e.RecordLeaderEnd(start, 4)
			action, until := e.NextAction(start)
			So(action, ShouldEqual, ActionWait)
			So(until, ShouldEqual, start.Add(200*time.Millisecond))
		})
		Convey("again after a pause, in which hosts without a claim delay come first", func() {
			e := newFollower(start)
			e.SetClaimDelay(500 * time.Millisecond)
			e.RecordLeaderEnd(start, 4)
			now := start.Add(time.Second)
			e.RecordClaim(now)
			action, until := e.NextAction(now)
			So(action, ShouldEqual, ActionWait)
			So(until, ShouldEqual, now.Add(claimRetryInterval+500*time.Millisecond))
		})
	})
	Convey("A host does not claim", t, func() {
		Convey("while the leader answers", func() {
			_, claimed := runElector(newFollower(start), start, time.Minute, time.Millisecond, always, never)
			So(claimed, ShouldBeFalse)
		})
		Convey("while the leader renews, even if this host can't reach it", func() {
			_, claimed := runElector(newFollower(start), start, time.Minute, 450*time.Millisecond, never, always)
			So(claimed, ShouldBeFalse)
		})
		Convey("when it is stopping", func() {
			e := newFollower(start)
			e.DisableClaims()
			e.RecordLeaderEnd(start, 4)
			action, _ := e.NextAction(start)
			So(action, ShouldEqual, ActionWait)
		})
		Convey("for a while after it has given the leadership up", func() {
			e := NewElector("me")
			e.ObserveClaim(start, Claim{Offset: 4, Name: "me", Instance: "me"})
			So(e.IsLeader(), ShouldBeTrue)
			e.RecordLeaderEnd(start, 4)
			e.Yield(start, time.Second)
			So(e.IsLeader(), ShouldBeFalse)
			action, _ := e.NextAction(start)
			So(action, ShouldEqual, ActionWait)
			action, _ = e.NextAction(start.Add(time.Second))
			So(action, ShouldEqual, ActionClaim)
		})
	})
}

// TestLateAnswerAfterLeaderEnd guards against a takeover that is put off because the answer to an older message arrives
// after the leader has stepped down.
func TestLateAnswerAfterLeaderEnd(t *testing.T) {
	Convey("A leader steps down while a request to it is under way", t, func() {
		e := newFollower(start)
		sentAt := start.Add(300 * time.Millisecond)
		endedAt := sentAt.Add(100 * time.Millisecond)
		e.RecordLeaderEnd(endedAt, 4)
		Convey("its answer does not fill the vacancy", func() {
			now := endedAt.Add(50 * time.Millisecond)
			e.RecordAnswer(now, sentAt, e.Claim().Offset)
			action, _ := e.NextAction(now)
			So(action, ShouldEqual, ActionClaim)
			e.ObserveClaim(now, Claim{Offset: 5, Name: "me", Instance: "me"})
			So(e.PredecessorEnd(now, time.Minute, -1), ShouldEqual, endedAt)
		})
		Convey("an answer to a later message does, for the host still leads", func() {
			now := endedAt.Add(50 * time.Millisecond)
			e.RecordAnswer(now, endedAt.Add(time.Millisecond), 4)
			action, _ := e.NextAction(now)
			So(action, ShouldNotEqual, ActionClaim)
		})
	})
}

// TestPredecessorEnd guards against a new leader that takes the orders of the one before to have ended while that one
// still has a renewal which nobody saw.
func TestPredecessorEnd(t *testing.T) {
	Convey("A host has seen the leader's renewal 7 and claims", t, func() {
		const maxUnconfirmed = 2500 * time.Millisecond
		e := newFollower(start)
		e.RecordAnswer(start, start, 4)
		e.RecordPingAnswer(start, start, 0)
		e.RecordRenewal(start, 7)
		claimedAt := start.Add(1200 * time.Millisecond)
		e.ObserveClaim(claimedAt, Claim{Offset: 5, Name: "me", Instance: "me"})
		now := claimedAt.Add(10 * time.Millisecond)
		Convey("the leader's orders end with that renewal if it is the newest in the log", func() {
			So(e.PredecessorEnd(now, maxUnconfirmed, 7), ShouldEqual, start.Add(maxUnconfirmed))
		})
		Convey("they may go on from now if there is a newer one or none of the leader's, or if the log can't be read", func() {
			So(e.PredecessorEnd(now, maxUnconfirmed, 8), ShouldEqual, now.Add(maxUnconfirmed))
			So(e.PredecessorEnd(now, maxUnconfirmed, 0), ShouldEqual, now.Add(maxUnconfirmed))
			So(e.PredecessorEnd(now, maxUnconfirmed, -1), ShouldEqual, now.Add(maxUnconfirmed))
		})
	})
	Convey("The orders of a leader that has certainly ended end then", t, func() {
		e := newFollower(start)
		e.RecordLeaderEnd(start.Add(time.Second), 4)
		e.ObserveClaim(start.Add(2*time.Second), Claim{Offset: 5, Name: "me", Instance: "me"})
		So(e.PredecessorEnd(start.Add(2*time.Second), time.Second, -1), ShouldEqual, start.Add(time.Second))
	})
}

// TestLeaderInOutage guards against a new leader that takes the orders of the one before to have ended, although that one
// did not count on this host and goes on in an outage of the store.
func TestLeaderInOutage(t *testing.T) {
	const maxUnconfirmed = 2500 * time.Millisecond
	mine := Claim{Offset: 5, Name: "me", Instance: "me"}
	Convey("A host that the leader had not heard of for long allows for orders as long as any outage lasts", t, func() {
		e := newFollower(start)
		e.RecordAnswer(start, start, 4)
		e.RecordPingAnswer(start, start, 0)
		renewedAt := start.Add(MemberTimeout)
		e.RecordRenewal(renewedAt, 8)
		e.ObserveClaim(renewedAt.Add(time.Second), mine)
		So(e.PredecessorEnd(renewedAt.Add(time.Second), maxUnconfirmed, 8), ShouldHappenAfter, renewedAt.Add(MaxOutage))
	})
	Convey("So does a host that has started anew", t, func() {
		e := newFollower(start)
		e.ObserveClaim(start, mine)
		So(e.PredecessorEnd(start, maxUnconfirmed, 7), ShouldHappenAfter, start.Add(MaxOutage))
	})
	Convey("A host that the leader has answered shortly before its last renewal does not", t, func() {
		e := newFollower(start)
		e.RecordAnswer(start, start, 4)
		e.RecordPingAnswer(start, start, 0)
		renewedAt := start.Add(MemberTimeout / 2)
		e.RecordRenewal(renewedAt, 8)
		e.ObserveClaim(renewedAt.Add(time.Second), mine)
		So(e.PredecessorEnd(renewedAt.Add(time.Second), maxUnconfirmed, 8), ShouldEqual, renewedAt.Add(maxUnconfirmed))
	})
}

// TestRefusedConnectionIsNoProof guards against a new leader that counts the leases of the one before from the moment at
// which a partition reset a connection, although that leader lives on and extends them.
func TestRefusedConnectionIsNoProof(t *testing.T) {
	Convey("A host has seen the leader's renewal 7, and is refused a connection", t, func() {
		const maxUnconfirmed = 2500 * time.Millisecond
		e := newFollower(start)
		e.RecordAnswer(start, start, 4)
		e.RecordPingAnswer(start, start, 7)
		refusedAt := start.Add(400 * time.Millisecond)
		e.RecordPing(refusedAt)
		e.RecordRefusal(refusedAt, 4)
		Convey("it claims at once, and the leader's orders may go on as if it had not been refused", func() {
			action, _ := e.NextAction(refusedAt)
			So(action, ShouldEqual, ActionClaim)
			e.ObserveClaim(refusedAt, Claim{Offset: 5, Name: "me", Instance: "me"})
			So(e.PredecessorEnd(refusedAt, maxUnconfirmed, 7), ShouldEqual, start.Add(maxUnconfirmed))
			So(e.PredecessorEnd(refusedAt, maxUnconfirmed, 8), ShouldEqual, refusedAt.Add(maxUnconfirmed))
		})
	})
	Convey("A host that a leader has never answered does not claim when it is refused a connection", t, func() {
		e := newFollower(start)
		e.RecordPing(start)
		e.RecordRefusal(start, 4)
		action, _ := e.NextAction(start)
		So(action, ShouldEqual, ActionWait)
	})
}

// TestOldSuspicionIsCheckedAgain guards against a host that was cut off with resets, and claims over the living leader
// when it returns.
func TestOldSuspicionIsCheckedAgain(t *testing.T) {
	Convey("A host is refused by the leader and can't claim for twelve seconds", t, func() {
		e := newFollower(start)
		e.RecordAnswer(start, start, 4)
		e.RecordPingAnswer(start, start, 0)
		e.RecordPing(start)
		e.RecordRefusal(start, 4)
		e.RecordClaim(start)
		now := start.Add(12 * time.Second)
		action, _ := e.NextAction(now)
		So(action, ShouldEqual, ActionPing)
		Convey("it does not claim if the leader answers then", func() {
			e.RecordPing(now)
			e.RecordAnswer(now.Add(time.Millisecond), now, 4)
			action, _ := e.NextAction(now.Add(time.Millisecond))
			So(action, ShouldEqual, ActionWait)
		})
		Convey("it does not claim if the ping gets no answer, as long as the leader renews", func() {
			e.RecordPing(now)
			e.RecordSilence()
			_, claimed := runElector(e, now, time.Minute, 450*time.Millisecond, never, always)
			So(claimed, ShouldBeFalse)
		})
		Convey("it claims if it is refused again", func() {
			e.RecordPing(now)
			e.RecordRefusal(now, 4)
			action, _ := e.NextAction(now)
			So(action, ShouldEqual, ActionClaim)
		})
	})
}

// TestLateNewsOfEarlierTerm guards against a leadership that is taken to be vacant because news of the end of an earlier
// term of the same process arrives late.
func TestLateNewsOfEarlierTerm(t *testing.T) {
	Convey("A leader has given the leadership up and has claimed it again", t, func() {
		e := newFollower(start)
		e.ObserveClaim(start, Claim{Offset: 6, Name: "other", Address: "a", Instance: "leader", Serial: 2})
		e.RecordLeaderEnd(start, 4)
		action, _ := e.NextAction(start)
		So(action, ShouldNotEqual, ActionClaim)
	})
}

// TestClaimOffsetNeverDecreases guards against an older claim in place of a newer one, and against a wait that ends in
// the past.
func TestClaimOffsetNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewElector("me")
		now := start
		highest := int64(-1)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				offset := int64(rapid.IntRange(0, 20).Draw(t, "offset"))
				e.ObserveClaim(now, Claim{
					Offset: offset, Name: "x", Instance: rapid.SampledFrom([]string{"me", "leader"}).Draw(t, "holder"),
				})
				highest = max(highest, offset)
			case 1:
				e.RecordLeaderEnd(now, e.Claim().Offset)
			case 2:
				e.RecordAnswer(now, now, e.Claim().Offset)
			case 3:
				e.RecordRenewal(now, int64(rapid.IntRange(0, 3).Draw(t, "renewal")))
			case 4:
				e.NextAction(now)
			case 5:
				e.RecordRefusal(now, e.Claim().Offset)
			case 6:
				e.RecordSilence()
			}
			if e.Claim().Offset != highest {
				t.Fatalf("the newest claim has offset %d, want %d, the highest one seen", e.Claim().Offset, highest)
			}
			if action, until := e.NextAction(now); action == ActionWait && !until.After(now) {
				t.Fatalf("at %v the elector waits until %v, want a later time", now, until)
			}
		}
	})
}
