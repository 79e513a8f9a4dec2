package policy

import (
	"testing"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// The bounds of these tests are the policy targets of design section 9.
const (
	// maxSteadyP99Ratio and maxDisturbedP99Ratio bound the 99th percentile of the latency of urgent calls relative to the
	// run without batch tasks.
	maxSteadyP99Ratio    = 1.10
	maxDisturbedP99Ratio = 1.25
	// minWindowsInTarget is the least fraction of one-minute windows in which an urgent class must meet its target.
	minWindowsInTarget = 0.99
	// maxEvictionRatio bounds the evictions as a fraction of those of the least-loaded baseline.
	maxEvictionRatio = 0.1
)

// runShortened runs the scenario in 20 minutes, with its interference waves or zone outage from minute 10 to 15.
func runShortened(name string, d deployment, mode string) (*result, scenario) {
	for _, sc := range scenarios {
		if sc.name == name {
			sc.warmUp = 8 * minute
			sc.length = 20 * minute
			for _, p := range []*[2]float64{&sc.interferenceWaves, &sc.zoneOutage, &sc.disturbed} {
				if p[1] > 0 {
					*p = [2]float64{10 * minute, 15 * minute}
				}
			}
			return newSimulation(d, sc, mode, 11).run(), sc
		}
	}
	panic("no scenario " + name)
}

func checkCommonBounds(t *testing.T, r, noBatch *result, sc scenario) {
	t.Helper()
	if r.overcommitted > 0 {
		t.Errorf("%d placements planned a worker above its capacity", r.overcommitted)
	}
	if v := r.worstWindowsInTarget(noBatch, sc); v < minWindowsInTarget {
		t.Errorf("an urgent class met its target in a fraction of %.3f of the one-minute windows, want at least %.2f",
			v, minWindowsInTarget)
	}
	if v := r.overBudget(); v > 1 {
		t.Errorf("evictions of a batch class are %.2f times its disruption target, want at most 1", v)
	}
}

// Guards against placements that slow urgent calls down in steady state or evict tasks needlessly.
func TestSteadyStateLatency(t *testing.T) {
	t.Parallel()
	r, sc := runShortened("steady", ashyq, modePolicy)
	noBatch, _ := runShortened("steady", ashyq, modeNoBatch)
	leastLoaded, _ := runShortened("steady", ashyq, modeLeastLoaded)
	checkCommonBounds(t, r, noBatch, sc)
	if v := r.worstQuantileRatio(noBatch, 0.99, phaseNormal); v > maxSteadyP99Ratio {
		t.Errorf("p99 is %.3f times that of the run without batch tasks, want at most %.2f", v, maxSteadyP99Ratio)
	}
	if v, limit := r.totalEvictions(), maxEvictionRatio*float64(leastLoaded.totalEvictions()); float64(v) > limit {
		t.Errorf("%d evictions, want at most %.0f by comparison with the least-loaded baseline", v, limit)
	}
}

// Guards against a missing reaction when the interference of two batch classes grows by a factor of four.
func TestInterferenceWaves(t *testing.T) {
	t.Parallel()
	r, sc := runShortened("noisy", kiskopyora, modePolicy)
	noBatch, _ := runShortened("noisy", kiskopyora, modeNoBatch)
	checkCommonBounds(t, r, noBatch, sc)
	if v := r.worstQuantileRatio(noBatch, 0.99, phaseDisturbed); v > maxDisturbedP99Ratio {
		t.Errorf("p99 is %.3f times that of the run without batch tasks, want at most %.2f", v, maxDisturbedP99Ratio)
	}
}

// Guards against latency spikes while a zone is out and after it returns.
func TestZoneOutage(t *testing.T) {
	t.Parallel()
	r, sc := runShortened("zone", kiskopyora, modePolicy)
	noBatch, _ := runShortened("zone", kiskopyora, modeNoBatch)
	checkCommonBounds(t, r, noBatch, sc)
	for _, phase := range []int{phaseDisturbed, phaseAfter} {
		if v := r.worstQuantileRatio(noBatch, 0.99, phase); v > maxDisturbedP99Ratio {
			t.Errorf("p99 in phase %d (1: outage, 2: after it) is %.3f times that without batch tasks, want at most %.2f",
				phase, v, maxDisturbedP99Ratio)
		}
	}
}

// Guards against a worker that fails everything and gets more and more tasks, and against failing jobs that quarantine
// healthy workers.
func TestFaultyWorkersAndJobs(t *testing.T) {
	t.Parallel()
	r, _ := runShortened("faulty", ashyq, modePolicy)
	if r.maxFailingWorkerStarts > maxUnprovenTasks {
		t.Errorf("a worker that fails everything got %d tasks outside quarantine, want at most %d",
			r.maxFailingWorkerStarts, maxUnprovenTasks)
	}
	if r.healthyQuarantined > maxQuarantines {
		t.Errorf("%d healthy workers are quarantined, want at most %d", r.healthyQuarantined, maxQuarantines)
	}
}

// Guards against overfilled workers and needless evictions when declared sizes are wrong by a factor of four.
func TestWrongDeclaredSizes(t *testing.T) {
	t.Parallel()
	r, _ := runShortened("wrong", kiskopyora, modePolicy)
	if r.overcommitted > 0 {
		t.Errorf("%d placements planned a worker above its capacity", r.overcommitted)
	}
	if v := r.overBudget(); v > 1 {
		t.Errorf("evictions of a batch class are %.2f times its disruption target, want at most 1", v)
	}
}

// If a decision looked at more than a bounded sample, its cost would grow with the number of workers or tasks. The
// test notices this only as allocations.
func TestPlaceTaskAllocations(t *testing.T) {
	p, now := newFullSizePolicy(t, 4)
	c := Candidate{Task: "x", Job: "x", Class: "b1", Team: "team1", Size: fleet.Size{Cores: 2000, Memory: 4096}}
	if n := testing.AllocsPerRun(100, func() { p.PlaceTask(now, c) }); n > 2 {
		t.Errorf("a placement decision allocates %.0f times, want at most 2", n)
	}
}
