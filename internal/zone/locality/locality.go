// Package locality decides how long a task waits for a place near its data, or a gang for room in one rack, before it
// runs remotely, where it takes longer.
//
// The package is pure: the present time is an argument.
package locality

import "time"

const (
	// MaxWait is the longest wait for a near place. It bounds what a wrong estimate of a long task costs: estimates are off
	// by a factor of about 2 to 2.5 either way.
	MaxWait = 10 * time.Second
	// estimateError is the factor by which a wait may be longer than expected, since the estimates of the runs that have to
	// end first are off by as much.
	estimateError = 2.5
	// maxBlindWait and blindShare bound the wait for a near place of which it isn't known when it will be free. The share is
	// that of the time that a remote run takes longer: a wait for half of it costs at most half as much again as a remote
	// start would have.
	maxBlindWait = time.Second
	blindShare   = 0.5
)

// Choice says what a task does now.
type Choice int

// The choices.
const (
	// StartNear means that the task starts near now.
	StartNear Choice = iota + 1
	// StartRemote means that the task takes any place now.
	StartRemote
	// Wait means that the task takes near places only until Decision.Until.
	Wait
)

// Reason says why the choice was made.
type Reason string

// The reasons.
const (
	ReasonNearFree     Reason = "near room is free"
	ReasonNoCost       Reason = "a remote run takes no longer"
	ReasonNoNearPlace  Reason = "no usable near place"
	ReasonWaitIsLonger Reason = "near room is expected too late"
	ReasonObjective    Reason = "only a remote run is sure of the objective"
	ReasonWaitedEnough Reason = "the longest wait has passed"
	ReasonWaitPays     Reason = "near room is expected soon"
	ReasonUnpredicted  Reason = "it is not known when near room is free"
)

// Near is what is known of the near places that can take the task.
type Near struct {
	// Usable is set if there is one, occupied or not.
	Usable bool
	// Free is set if one has room now.
	Free bool
	// At is when one is expected to have room, after the tasks that come first, the zero time if that isn't known. Where
	// it is later than any wait that pays, it may be a lower bound.
	At time.Time
}

// Input is what a decision rests on.
type Input struct {
	// WaitingSince is when the task became waiting.
	WaitingSince time.Time
	// Estimate is the expected time of a near run, RemoteFactor times which a remote run is expected to take.
	Estimate     time.Duration
	RemoteFactor float64
	// EndBy is when the task has to end for its job to meet the objective.
	EndBy time.Time
	Near  Near
}

// Decision is the result of the rule.
type Decision struct {
	Choice Choice
	// Until is when the rule has to be asked again at the latest. It is set with Wait only.
	Until  time.Time
	Reason Reason
}

// RemoteCost returns how much longer a remote run is expected to take than a near one, which may be negative.
func (in *Input) RemoteCost() time.Duration {
	return time.Duration((in.RemoteFactor - 1) * float64(in.Estimate))
}

// Decide says whether a task that has to run starts near, starts remotely or waits. It answers the load in which many jobs want
// one rack for some seconds while other racks have room: those that get their turn there soon wait, the others take the
// other racks.
//
// A wait pays as long as a near run is expected to end before a remote one that starts now. It no longer pays once only the
// remote run is sure of the job's objective: the near one would miss it if the wait took estimateError times as long as
// expected. If neither is in time, the objective doesn't count.
//
// A wait ends when it has lasted for as long as a remote run takes longer, and at MaxWait in any case, counted from when the
// task became waiting: the expected time of near room may be put off again and again.
func Decide(now time.Time, in Input) Decision {
	cost := in.RemoteCost()
	switch {
	case in.Near.Free:
		return Decision{Choice: StartNear, Reason: ReasonNearFree}
	case cost <= 0:
		return remote(ReasonNoCost)
	case !in.Near.Usable:
		return remote(ReasonNoNearPlace)
	case in.Near.At.IsZero():
		return wait(now, in.WaitingSince.Add(BlindWait(cost)), ReasonUnpredicted)
	}
	nearAt := in.Near.At
	if nearAt.Before(now) {
		nearAt = now
	}
	limit := in.WaitingSince.Add(LongestWait(cost))
	// lastRemote is the last time at which a remote run can start that meets the objective.
	lastRemote := in.EndBy.Add(-in.Estimate - cost)
	latestNear := now.Add(time.Duration(estimateError * float64(nearAt.Sub(now))))
	switch {
	case nearAt.Sub(now) >= cost:
		return remote(ReasonWaitIsLonger)
	case !now.After(lastRemote) && latestNear.Add(in.Estimate).After(in.EndBy):
		return remote(ReasonObjective)
	case nearAt.After(limit):
		return remote(ReasonWaitedEnough)
	case now.Before(lastRemote) && lastRemote.Before(limit):
		return wait(now, lastRemote, ReasonWaitPays)
	}
	return wait(now, limit, ReasonWaitPays)
}

// LongestWait returns the longest wait of a task whose remote run takes longer by the given time.
func LongestWait(cost time.Duration) time.Duration { return max(0, min(cost, MaxWait)) }

// BlindWait returns the longest such wait if it isn't known when near room will be free.
func BlindWait(cost time.Duration) time.Duration {
	return max(0, min(time.Duration(blindShare*float64(cost)), maxBlindWait))
}

// remote returns the decision to start remotely.
func remote(reason Reason) Decision { return Decision{Choice: StartRemote, Reason: reason} }

// wait returns the decision to wait until the given time, or to start remotely if that has passed.
func wait(now, until time.Time, reason Reason) Decision {
	if !now.Before(until) {
		return remote(ReasonWaitedEnough)
	}
	return Decision{Choice: Wait, Until: until, Reason: reason}
}
