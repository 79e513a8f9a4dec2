package dispatch

import (
	"slices"
	"testing"
	"time"
)

// TestShortlistChoosesAsFullScan checks that a waiting task gets the worker that a comparison with all workers would
// give it, whether or not its stage is compared only with changed workers: under a load that leaves room, and under one
// that does not.
func TestShortlistChoosesAsFullScan(t *testing.T) {
	light, heavy := loadMix{short: 0.2, long: 0.5, longRunning: 0.2}, loadMix{short: 0.2, long: 2, longRunning: 0.2}
	if compared, _, found := compareShortlists(t, light); found < 40 {
		t.Errorf("light load: %d comparisons, %d with a worker; want at least 40", compared, found)
	}
	if compared, partial, _ := compareShortlists(t, heavy); partial < 100 {
		t.Errorf("heavy load: %d comparisons, %d with changed workers only; want at least 100", compared, partial)
	}
}

// compareShortlists compares the choice of a worker from the candidates of a stage with that from all workers, for the
// first plain short or best-effort task of the first 20 stages and the newest one at a time. It returns the number of comparisons, of those
// with changed workers only, and of those that found a worker.
func compareShortlists(t *testing.T, load loadMix) (compared, partial, found int) {
	t.Helper()
	sim := newLoadSim(1, 120, load)
	sim.run(8 * time.Second)
	for i := range 250 {
		sim.run(5 * time.Millisecond)
		if i%5 == 0 {
			// New tasks wait at this moment, also if there is room for them.
			sim.submit("short", sim.spec(1, 1, 3500, time.Second, false))
			commitAll(sim.s)
		}
		first := min(len(sim.s.ready), 20)
		newest := sim.s.ready[max(first, len(sim.s.ready)-1):]
		for _, st := range slices.Concat(sim.s.ready[:first], newest) {
			task := firstPlainTask(st)
			if task == nil {
				continue
			}
			scan := st.scan
			candidates := sim.s.candidates(sim.now, st)
			st.scan = scan
			var got *Worker
			if l := sim.s.newShortlist(sim.now, task, candidates); l.Len() > 0 {
				got = (*l)[0].worker
				found++
			}
			if want := sim.s.findWorker(sim.now, task, nil); got != want {
				t.Fatalf("%+v, %v: task %s gets %+v of %d candidates, want %+v",
					load, sim.now.Sub(simEpoch), task.name, got, len(candidates), want)
			}
			compared++
			if len(candidates) < len(sim.workers) {
				partial++
			}
		}
	}
	return compared, partial, found
}

// firstPlainTask returns the first waiting plain task of a stage of short or best-effort tasks, nil if there is none.
func firstPlainTask(st *stage) *task {
	for _, t := range st.tasks {
		if t.queued && t.isPlain() && !t.step().LongRunning {
			return t
		}
	}
	return nil
}
