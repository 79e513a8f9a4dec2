package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// saturate returns a deployment whose long-running tasks of eight cores have been at work for a while when a load of
// short tasks of three to four cores begins that takes more room than there is, and the first long-running task has just
// been stopped for them.
func saturate(seed uint64, workers int) *loadSim {
	sim := newLoadSim(seed, workers, loadMix{})
	for range workers / 3 {
		sim.submit("long-running", sim.spec(1, 6, 8000, 0, true))
	}
	sim.run(12 * time.Second)
	sim.submitAtRate("short", float64(workers)*16*1.2/(1.5*10*3.5), func() workflow.Spec {
		return sim.spec(1+sim.rng.IntN(2), 10, 3000+sim.rng.Int64N(1000), time.Second, false)
	})
	for end := sim.now.Add(10 * time.Second); sim.now.Before(end) && len(sim.s.stops) == 0; {
		sim.run(5 * time.Millisecond)
	}
	return sim
}

// absences runs the simulation for the given time and returns for how long long-running tasks that have run ran nowhere,
// each time that one did.
func (sim *loadSim) absences(d time.Duration) []time.Duration {
	var out []time.Duration
	lastSeen := map[string]time.Time{}
	for end := sim.now.Add(d); sim.now.Before(end); {
		for _, w := range sim.workers {
			for k, r := range w.runs {
				if !r.longRunning {
					continue
				}
				if last, ok := lastSeen[k.task]; ok && sim.now.Sub(last) > 100*time.Millisecond {
					out = append(out, sim.now.Sub(last))
				}
				lastSeen[k.task] = sim.now
			}
		}
		sim.run(20 * time.Millisecond)
	}
	for _, last := range lastSeen {
		if away := sim.now.Sub(last); away > 100*time.Millisecond {
			out = append(out, away)
		}
	}
	return out
}

// TestShortTasksDontStarveLongRunningOnes guards against a long-running task whose room was reclaimed, and which doesn't
// start again because each hole that a short task leaves is too small for it and filled by the next short task.
func TestShortTasksDontStarveLongRunningOnes(t *testing.T) {
	for _, changes := range []bool{false, true} {
		for seed := range uint64(5) {
			Convey(fmt.Sprintf("Under too many short tasks, change of leader %v, seed %d", changes, seed), t, func() {
				sim := saturate(seed, 24)
				So(sim.s.stops, ShouldNotBeEmpty)
				if changes {
					sim.after(100*time.Millisecond, sim.handOver)
				}
				absences, late, longest := sim.absences(30*time.Second), 0, time.Duration(0)
				for _, away := range absences {
					longest = max(longest, away)
					if away > maxLongRunningWait {
						late++
					}
				}
				t.Logf("change %v, seed %d: %d absences, %d too long, longest %v; short in time %.3f", changes, seed,
					len(absences), late, longest, sim.shareInTime("short", 12*time.Second, 30*time.Second))
				So(longest, ShouldBeLessThan, maxLongRunningWait)
			})
		}
	}
}
