package dispatch

import (
	"testing"
	"time"
)

// newOverloadSim returns a large deployment that has had more work than room for some seconds, so that thousands of tasks
// of all kinds wait.
func newOverloadSim(seed uint64) *loadSim {
	sim := newLoadSim(seed, 890, loadMix{short: 0.3, long: 1.2, longRunning: 1.2})
	sim.run(12 * time.Second)
	return sim
}

// BenchmarkDecideUnderOverload measures one decision of a leader that decides three times a second, so that all workers
// have changed and all that is due at intervals is due each time.
func BenchmarkDecideUnderOverload(b *testing.B) {
	sim := newOverloadSim(1)
	for b.Loop() {
		sim.s.markAllChanged()
		sim.now = sim.now.Add(300 * time.Millisecond)
		sim.s.Decide(sim.now, sim.now)
		sim.s.Events()
	}
	b.ReportMetric(float64(len(sim.s.ready)), "stages")
}

// BenchmarkUpdateScarcity measures the rating of all workers by the scarcity of room, which is done once a second.
func BenchmarkUpdateScarcity(b *testing.B) {
	sim := newOverloadSim(1)
	for b.Loop() {
		sim.s.updateScarcity()
	}
}
