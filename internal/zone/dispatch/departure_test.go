package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// simRetryInterval is the pause of a leader after a lease renewal that was refused.
const simRetryInterval = 150 * time.Millisecond

// departure says how a worker leaves, in steps that may lie many seconds apart, and when another one takes its address.
type departure struct {
	// drains is set if the worker says that it drains, and for how long at least, which is the notice.
	drains bool
	notice time.Duration
	// unlist and closeAddress are the times after the notice until the entry is removed from the list, and until the worker
	// accepts no connections any more. staysListed is set if the entry stays until the runs end.
	unlist, closeAddress time.Duration
	staysListed          bool
	// closeOpen, replace and end are counted from closeAddress: the worker closes the connections that were open, another
	// one listens at the address, and the runs end, which is the last step of the worker itself.
	closeOpen, replace, end time.Duration
}

// String returns the departure as it is named in a failure message.
func (d departure) String() string {
	type steps departure
	return fmt.Sprintf("%+v", steps(d))
}

// percents are the whole numbers from 0 to 100.
var percents = func() []int {
	out := make([]int, 101)
	for i := range out {
		out[i] = i
	}
	return out
}()

// drawDuration draws a duration of up to the limit, in steps of a percent of it. rapid.IntRange prefers small numbers.
func drawDuration(t *rapid.T, limit time.Duration, label string) time.Duration {
	return limit * time.Duration(rapid.SampledFrom(percents).Draw(t, label)) / 100
}

// drawDelay draws a time between two steps, short ones as often as those of many seconds.
func drawDelay(t *rapid.T, label string) time.Duration {
	limits := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 10 * time.Second}
	return drawDuration(t, rapid.SampledFrom(limits).Draw(t, label+" at most"), label)
}

// drawDeparture draws the departure of a worker that drains, with its first steps in either order.
func drawDeparture(t *rapid.T) departure {
	first := drawDelay(t, "first step")
	d := departure{
		drains: true, notice: drawDelay(t, "notice"), unlist: first, closeAddress: first,
		closeOpen: drawDuration(t, time.Second, "close open"), replace: drawDelay(t, "replace"),
	}
	if second := drawDelay(t, "second step"); rapid.Bool().Draw(t, "closes last") {
		d.closeAddress += second
	} else {
		d.unlist += second
	}
	d.end = max(d.closeOpen, d.unlist-d.closeAddress) + drawDelay(t, "end")
	return d
}

// drawTakeOver draws the departure of a worker that says nothing, and whose address another one takes while it runs on.
func drawTakeOver(t *rapid.T) departure {
	d := departure{
		unlist: drawDelay(t, "unlist"), staysListed: rapid.Bool().Draw(t, "stays listed"),
		closeOpen: drawDuration(t, 4*time.Second, "close open"), replace: drawDuration(t, 2*time.Second, "replace"),
	}
	d.end = max(d.closeOpen, d.replace, d.unlist) + drawDelay(t, "end")
	return d
}

// drawDepartures has some workers leave, as planned or as another one takes their address.
func (sim *simulation) drawDepartures(t *rapid.T) {
	for range rapid.SampledFrom([]int{0, 1, 2, 4}).Draw(t, "departures") {
		at := drawDuration(t, 9*time.Second, "at")
		sw := rapid.SampledFrom(sim.workers).Draw(t, "worker")
		draw := drawTakeOver
		if rapid.Bool().Draw(t, "planned") {
			draw = drawDeparture
		}
		d := draw(t)
		sim.after(at, func() { sim.leave(sw, d) })
	}
}

// leave has a worker leave. A crash or restart before it closes its address calls that off.
func (sim *simulation) leave(sw *simWorker, d departure) {
	if sw.down || sw.left || sw.draining {
		return
	}
	boot := sw.boot
	step := func(after time.Duration, fn func()) {
		sim.after(after, func() {
			if !sw.down && sw.boot == boot {
				fn()
			}
		})
	}
	if d.drains {
		sw.draining, sw.leavesAt = true, sim.now.Add(d.notice)
		sim.relist()
	}
	if !d.staysListed {
		step(d.notice+d.unlist, func() {
			sw.unlisted = true
			sim.relist()
		})
	}
	var closeAddress func()
	closeAddress = func() {
		if sim.runsDeadly(sw) {
			step(deadlyDelay, closeAddress)
			return
		}
		sw.left, sw.keepsOpen = true, true
		step(d.closeOpen, func() { sw.keepsOpen = false })
		step(d.end, func() {
			sim.loseState(sw)
			sw.down, sw.keepsOpen = true, false
			sim.relist()
		})
		sim.after(d.replace, func() { sim.replace(sw) })
	}
	step(d.notice+d.closeAddress, closeAddress)
}

// runsDeadly reports whether the worker is about to crash under a deadly task.
func (sim *simulation) runsDeadly(sw *simWorker) bool {
	for k := range sw.runs {
		if _, ok := sim.deadly[k.task]; ok {
			return true
		}
	}
	return false
}

// replace has another worker of a later start listen at the address of one that has closed it.
func (sim *simulation) replace(sw *simWorker) {
	sw.successor = &simWorker{
		id: sw.id + "'", address: sw.address, boot: sw.boot + 1, clockRate: sw.clockRate, startedAt: sim.now,
		runs: map[runKey]*simRun{}, barredRuns: map[string]int{}, zone: sw.zone, capacity: sw.capacity,
	}
	sim.workers = append(sim.workers, sw.successor)
	sim.relist()
}

// serves reports whether calls of the leader still reach the worker, unless it is down.
func (sw *simWorker) serves(l *simLeader) bool {
	return !sw.left || (sw.keepsOpen && l.connected[sw.id])
}

// isTakenOverFrom reports whether another worker answers the calls of the leader to the worker.
func (sw *simWorker) isTakenOverFrom(l *simLeader) bool {
	return sw.isReplaced() && !sw.successor.left && (sw.down || !sw.serves(l))
}

// refuses reports whether the worker closes the connections of the leader and refuses new ones. One that has ended on a
// machine that is off does so only once.
func (sw *simWorker) refuses(l *simLeader) bool {
	return !sw.serves(l) && (!sw.down || l.connected[sw.id])
}

// refuseRenewal tells the leader that the worker has closed the connection, or refuses a new one.
func (sim *simulation) refuseRenewal(l *simLeader, id string) {
	l.connected[id] = false
	l.s.HandleRenewalFailure(sim.now, id)
	sim.after(simRetryInterval, func() { l.renewalPending[id] = false })
}

// submitLongTasks submits jobs of a few tasks that run for some seconds, over some seconds.
func (sim *simulation) submitLongTasks(first, jobs int) {
	for n := range jobs {
		step := newStep(1+sim.rng.IntN(4), 500+int64(sim.rng.IntN(2000)), time.Duration(2+sim.rng.IntN(9))*time.Second)
		sim.after(time.Duration(sim.rng.IntN(6000))*time.Millisecond, func() { sim.submitAll(first+n, 1, step) })
	}
}

// departureCases calls fn with departures whose steps come in different orders and lie up to several seconds apart.
func departureCases(fn func(d departure)) {
	const short, long = 300 * time.Millisecond, 3 * time.Second
	for _, unlist := range []time.Duration{0, short, long} {
		for _, closeAddress := range []time.Duration{0, short, long} {
			for _, end := range []time.Duration{short, 2 * time.Second, 8 * time.Second} {
				d := departure{drains: true, notice: time.Second, unlist: unlist, closeAddress: closeAddress}
				d.end = max(0, unlist-closeAddress) + end
				d.replace = d.end + time.Second
				fn(d)
			}
		}
	}
}

// checkDepartures has one worker after the other leave while each runs tasks of some seconds, and checks that no task runs
// twice and all are done.
func checkDepartures(seed uint64, d departure) {
	sim := newSimulation(seed, 6)
	sim.run(500 * time.Millisecond)
	const jobs = 6
	sim.submitAll(0, jobs, newStep(4, 1500, 6*time.Second))
	for n, sw := range sim.workers[:3] {
		sim.after(time.Duration(1500+1200*n)*time.Millisecond, func() { sim.leave(sw, d) })
	}
	sim.run(45 * time.Second)
	So(sim.violations, ShouldBeEmpty)
	for n := range jobs {
		So(sim.finalState(jobID(n)), ShouldEqual, StateCompleted)
	}
}

// TestTasksOfLeavingWorkersRunOnce guards against a task that runs twice because its worker, which ends what it runs after
// all else, is taken for gone by the signs of its leaving.
func TestTasksOfLeavingWorkersRunOnce(t *testing.T) {
	departureCases(func(d departure) {
		Convey(fmt.Sprintf("Workers with tasks leave in steps: %v", d), t, func() {
			for seed := range uint64(3) {
				checkDepartures(seed, d)
			}
		})
	})
}

// TestTasksOfWorkersWhoseAddressIsTakenRunOnce guards against a task that runs twice because another worker answers at the
// address of its own, which runs on without its listener.
func TestTasksOfWorkersWhoseAddressIsTakenRunOnce(t *testing.T) {
	for _, closeOpen := range []time.Duration{0, 2 * time.Second} {
		for _, replace := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			for _, end := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
				d := departure{staysListed: true, closeOpen: closeOpen, replace: replace, end: closeOpen + replace + end}
				Convey(fmt.Sprintf("The addresses of workers with tasks are taken: %v", d), t, func() {
					for seed := range uint64(3) {
						checkDepartures(seed, d)
					}
				})
			}
		}
	}
}
