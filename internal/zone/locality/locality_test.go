package locality

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// newInput returns the input of a task that has become waiting now, takes 2 s near and 4 s remotely, has ample time and finds
// near room after the given time.
func newInput(nearIn time.Duration) Input {
	return Input{
		WaitingSince: epoch, Estimate: 2 * time.Second, RemoteFactor: 2, EndBy: epoch.Add(time.Minute),
		Near: Near{Usable: true, At: epoch.Add(nearIn)},
	}
}

// TestDecide guards against waits that cost more than a remote run, and against remote runs where a short wait is cheaper.
func TestDecide(t *testing.T) {
	Convey("A task that takes 2 s near and 4 s remotely", t, func() {
		in := newInput(1900 * time.Millisecond)
		Convey("waits for near room in 1.9 s, for 2 s at most", func() {
			So(Decide(epoch, in), ShouldResemble, Decision{Wait, epoch.Add(2 * time.Second), ReasonWaitPays})
		})
		Convey("starts near if there is room", func() {
			in.Near.Free = true
			So(Decide(epoch, in), ShouldResemble, Decision{Choice: StartNear, Reason: ReasonNearFree})
		})
		Convey("starts remotely if near room is expected in 2 s", func() {
			in.Near.At = epoch.Add(2 * time.Second)
			So(Decide(epoch, in), ShouldResemble, remote(ReasonWaitIsLonger))
		})
		Convey("starts remotely if no near place is usable", func() {
			in.Near.Usable = false
			So(Decide(epoch, in), ShouldResemble, remote(ReasonNoNearPlace))
		})
		Convey("starts remotely if nothing takes longer there", func() {
			in.RemoteFactor = 1
			So(Decide(epoch, in), ShouldResemble, remote(ReasonNoCost))
		})
		Convey("starts remotely if only a remote run is sure of the objective", func() {
			// A wait of 1 s may become one of 2.5 s.
			in.Near.At, in.EndBy = epoch.Add(time.Second), epoch.Add(4400*time.Millisecond)
			So(Decide(epoch, in), ShouldResemble, remote(ReasonObjective))
			in.EndBy = epoch.Add(4500 * time.Millisecond)
			So(Decide(epoch, in), ShouldResemble, Decision{Wait, epoch.Add(500 * time.Millisecond), ReasonWaitPays})
		})
		Convey("that is late either way waits", func() {
			in.EndBy = epoch.Add(time.Second)
			So(Decide(epoch, in), ShouldResemble, Decision{Wait, epoch.Add(2 * time.Second), ReasonWaitPays})
		})
		Convey("of which a long wait is left starts remotely if near room comes after it", func() {
			in.WaitingSince = epoch.Add(-time.Second)
			So(Decide(epoch, in), ShouldResemble, remote(ReasonWaitedEnough))
		})
		Convey("that knows no time waits for a second", func() {
			in.Near.At = time.Time{}
			So(Decide(epoch, in), ShouldResemble, Decision{Wait, epoch.Add(time.Second), ReasonUnpredicted})
			So(Decide(epoch.Add(time.Second), in), ShouldResemble, remote(ReasonWaitedEnough))
		})
	})
}

// drawInput draws an input and the present time.
func drawInput(t *rapid.T) (time.Time, Input) {
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	now := epoch.Add(ms("now", 0, 30_000))
	in := Input{
		WaitingSince: epoch, Estimate: ms("estimate", 0, 40_000), RemoteFactor: rapid.Float64Range(0.5, 4).Draw(t, "factor"),
		EndBy: epoch.Add(ms("end by", -1000, 120_000)),
		Near: Near{
			Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 0, Free: rapid.IntRange(0, 9).Draw(t, "free") == 0,
			At: now.Add(ms("near in", -500, 20_000)),
		},
	}
	if rapid.IntRange(0, 9).Draw(t, "unpredicted") == 0 {
		in.Near.At = time.Time{}
	}
	return now, in
}

// nearEnd returns when a near run is expected to end, if the wait for it takes the given factor times as long as expected.
func (in *Input) nearEnd(now time.Time, factor float64) time.Time {
	return now.Add(time.Duration(factor*float64(max(0, in.Near.At.Sub(now)))) + in.Estimate)
}

// remoteEnd returns when a remote run that starts now is expected to end.
func (in *Input) remoteEnd(now time.Time) time.Time { return now.Add(in.Estimate + in.RemoteCost()) }

// TestWaitPays guards against a wait for a near run that is expected to end no earlier than a remote one, or maybe too late
// for an objective that the remote one meets, and against a remote start while the wait pays.
func TestWaitPays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, in := drawInput(t)
		d := Decide(now, in)
		if in.Near.At.IsZero() || !in.Near.Usable || in.Near.Free {
			return
		}
		pays := in.nearEnd(now, 1).Before(in.remoteEnd(now))
		needsRemote := in.nearEnd(now, estimateError).After(in.EndBy) && !in.remoteEnd(now).After(in.EndBy)
		limit := in.WaitingSince.Add(LongestWait(in.RemoteCost()))
		inLimit := now.Before(limit) && !in.Near.At.After(limit)
		if want := pays && !needsRemote && inLimit; want != (d.Choice == Wait) {
			t.Fatalf("%+v; the wait pays %v, only a remote run is sure to be in time %v, within the longest wait %v",
				d, pays, needsRemote, inLimit)
		}
	})
}

// TestWaitIsBounded guards against a wait that goes on for as long as near room is expected soon, decision by decision.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, in := drawInput(t)
		in.Near.Free = false
		limit := in.WaitingSince.Add(LongestWait(in.RemoteCost()))
		for d := Decide(now, in); d.Choice == Wait; d = Decide(now, in) {
			if !d.Until.After(now) || d.Until.After(limit) {
				t.Fatalf("waits until %v, want after %v and not after %v", d.Until, now, limit)
			}
			now = d.Until
			if !in.Near.At.IsZero() {
				in.Near.At = now.Add(time.Millisecond)
			}
		}
	})
}

// TestLaterObjective guards against a wait that an objective shortens although the near run is sure to meet it.
func TestLaterObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, in := drawInput(t)
		unhurried, later := in, in
		unhurried.EndBy = now.Add(24 * time.Hour)
		later.EndBy = in.EndBy.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "more")) * time.Millisecond)
		paying, early, late := Decide(now, unhurried), Decide(now, in), Decide(now, later)
		if !in.nearEnd(now, estimateError).After(in.EndBy) && (early.Choice != paying.Choice || late.Choice != paying.Choice) {
			t.Fatalf("%+v, with the objective %+v, with a later one %+v", paying, early, late)
		}
		if early.Choice == Wait && late.Choice == Wait && !in.remoteEnd(now).After(in.EndBy) && late.Until.Before(early.Until) {
			t.Fatalf("a later objective shortens %+v to %+v", early, late)
		}
		if late.Choice != paying.Choice && late.Reason != ReasonObjective {
			t.Fatalf("an objective changes %+v into %+v", paying, late)
		}
	})
}

// TestNoUsablePlace guards against a wait for a rack all of whose workers are gone.
func TestNoUsablePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, in := drawInput(t)
		in.Near.Usable, in.Near.Free = false, false
		if d := Decide(now, in); d.Choice != StartRemote {
			t.Fatalf("%+v without a usable near place", d)
		}
	})
}
