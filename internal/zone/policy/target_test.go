package policy

import (
	"testing"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// The bounds of these tests are the policy targets of design section 9.
const (
	steadyP99    = 1.10
	disturbedP99 = 1.25
	windowShare  = 0.99
	evictShare   = 0.1
)

func short(name string, d deployment, mode string) (*result, scenario) {
	for _, sc := range scenarios {
		if sc.name == name {
			sc.warm = 8 * minute
			sc.length = 20 * minute
			for _, p := range []*[2]float64{&sc.noisy, &sc.zone, &sc.disturbed} {
				if p[1] > 0 {
					*p = [2]float64{10 * minute, 15 * minute}
				}
			}
			return newWorld(d, sc, mode, 11).run(), sc
		}
	}
	panic("no scenario " + name)
}

func checkAlways(t *testing.T, r, off *result, sc scenario) {
	t.Helper()
	if r.overcommit > 0 {
		t.Errorf("%d placements planned a worker above its capacity", r.overcommit)
	}
	if v := r.windows(off, sc); v < windowShare {
		t.Errorf("target met in %.3f of the one-minute windows, want %.2f", v, windowShare)
	}
	if v := r.overBudget(); v > 1 {
		t.Errorf("evictions are %.2f of the disruption target", v)
	}
}

// Guards against placements that slow urgent calls down in steady state or evict needlessly.
func TestSteady(t *testing.T) {
	t.Parallel()
	r, sc := short("steady", ashyq, modePolicy)
	off, _ := short("steady", ashyq, modeOff)
	least, _ := short("steady", ashyq, modeLeast)
	checkAlways(t, r, off, sc)
	if v := r.ratio(off, 0.99, phaseNormal); v > steadyP99 {
		t.Errorf("p99 is %.3f of the run without batch, want at most %.2f", v, steadyP99)
	}
	if v, limit := r.evicted(), evictShare*float64(least.evicted()); float64(v) > limit {
		t.Errorf("%d evictions, want at most %.0f", v, limit)
	}
}

// Guards against a lack of reaction when two batch classes become four times as harmful.
func TestNoisy(t *testing.T) {
	t.Parallel()
	r, sc := short("noisy", kiskopyora, modePolicy)
	off, _ := short("noisy", kiskopyora, modeOff)
	checkAlways(t, r, off, sc)
	if v := r.ratio(off, 0.99, phaseDisturbed); v > disturbedP99 {
		t.Errorf("p99 is %.3f of the run without batch, want at most %.2f", v, disturbedP99)
	}
}

// Guards against latency spikes while a zone is out and after it returns.
func TestZoneOut(t *testing.T) {
	t.Parallel()
	r, sc := short("zone", kiskopyora, modePolicy)
	off, _ := short("zone", kiskopyora, modeOff)
	checkAlways(t, r, off, sc)
	for _, phase := range []int{phaseDisturbed, phaseAfter} {
		if v := r.ratio(off, 0.99, phase); v > disturbedP99 {
			t.Errorf("p99 in phase %d is %.3f of the run without batch, want at most %.2f", phase, v, disturbedP99)
		}
	}
}

// Guards against a worker that fails everything getting more and more tasks, and against bad jobs that
// quarantine good workers.
func TestFaulty(t *testing.T) {
	t.Parallel()
	r, _ := short("faulty", ashyq, modePolicy)
	if r.badStarts > trustLimit {
		t.Errorf("a worker that fails everything got %d tasks, want at most %d", r.badStarts, trustLimit)
	}
	if r.quarantine > blameLimit {
		t.Errorf("%d good workers are quarantined, want at most %d", r.quarantine, blameLimit)
	}
}

// Guards against planning with declared sizes that are wrong by four times.
func TestWrongSizes(t *testing.T) {
	t.Parallel()
	r, _ := short("wrong", kiskopyora, modePolicy)
	if r.overcommit > 0 {
		t.Errorf("%d placements planned a worker above its capacity", r.overcommit)
	}
	if v := r.overBudget(); v > 1 {
		t.Errorf("evictions are %.2f of the disruption target", v)
	}
}

// A decision that grows with the number of workers or tasks would look at more than a bounded sample.
func TestDecisionAllocatesLittle(t *testing.T) {
	p, now := planned(t, 4)
	c := Candidate{Task: "x", Job: "x", Class: "b1", Team: "team1", Size: fleet.Size{Cores: 2000, Memory: 4096}}
	if n := testing.AllocsPerRun(100, func() { p.PlaceTask(now, c) }); n > 2 {
		t.Errorf("a decision allocates %.0f times", n)
	}
}
