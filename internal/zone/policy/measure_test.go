package policy

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
)

var seeds = flag.Int("policy.seeds", 10, "seeds per measured scenario")

type runKey struct {
	deployment, scenario, mode string
	seed                       uint64
}

// runs holds the results of finished runs; runsMu guards it.
var (
	runsMu sync.Mutex
	runs   = map[runKey]*result{}
)

// runSeeds returns the runs of n seeds. It reuses earlier runs and makes at most four at a time.
func runSeeds(d deployment, sc scenario, mode string, n int) []*result {
	out := make([]*result, n)
	limit := make(chan struct{}, 4)
	var wg sync.WaitGroup
	for i := range n {
		key := runKey{d.name, sc.name, mode, uint64(i + 1)}
		runsMu.Lock()
		out[i] = runs[key]
		runsMu.Unlock()
		if out[i] != nil {
			continue
		}
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			out[i] = newSimulation(d, sc, mode, key.seed).run()
			runsMu.Lock()
			runs[key] = out[i]
			runsMu.Unlock()
		})
	}
	wg.Wait()
	return out
}

func mean(n int, f func(i int) float64) float64 {
	var sum float64
	for i := range n {
		sum += f(i)
	}
	return sum / float64(n)
}

func largest(n int, f func(i int) float64) float64 {
	worst := f(0)
	for i := range n {
		worst = max(worst, f(i))
	}
	return worst
}

// ablationModes lists the modes without a part of the policy, by the scenario that shows what the part is for.
var ablationModes = map[string][]string{
	"steady":  {modeNoLearning, modeNoExchange, modeZoneExchange},
	"zone":    {modeNoExchange, modeZoneExchange},
	"replace": {modeNoExchange, modeZoneExchange},
	"noisy":   {modeNoThrottle, modeNoLearning},
	"faulty":  {modeNoQuarantine},
	"quota":   {modeNoQuota},
}

// BenchmarkCase reports the measurements of every scenario, deployment and mode.
func BenchmarkCase(b *testing.B) {
	for _, sc := range scenarios {
		for _, d := range []deployment{ashyq, kiskopyora} {
			modes := slices.Concat(
				[]string{modePolicy, modeTrueInterference, modeLeastLoaded, modeFirstFit, modeNoBatch},
				ablationModes[sc.name],
			)
			for _, mode := range modes {
				b.Run(fmt.Sprintf("%s/%s/%s", sc.name, d.name, mode), func(b *testing.B) {
					for b.Loop() {
						reportCase(b, d, sc, mode)
					}
				})
			}
		}
	}
}

// reportCase reports means over the seeds, or the worst seed. The bound of placed work is the run in
// modeTrueInterference.
func reportCase(b *testing.B, d deployment, sc scenario, mode string) {
	n := *seeds
	noBatch := runSeeds(d, sc, modeNoBatch, n)
	bound := runSeeds(d, sc, modeTrueInterference, n)
	runs := runSeeds(d, sc, mode, n)
	for phase, name := range []string{"normal", "disturbed", "after"} {
		if runs[0].histograms[0][phase].total == 0 {
			continue
		}
		for _, q := range []struct {
			v    float64
			name string
		}{{0.5, "p50"}, {0.99, "p99"}, {0.999, "p99.9"}} {
			b.ReportMetric(mean(n, func(i int) float64 {
				return runs[i].worstQuantileRatio(noBatch[i], q.v, phase)
			}), name+"-"+q.name)
		}
		b.ReportMetric(largest(n, func(i int) float64 {
			return runs[i].worstQuantileRatio(noBatch[i], 0.99, phase)
		}), name+"-p99-worst")
	}
	hours := (sc.length - sc.warmUp) / 3600
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].worstWindowsInTarget(noBatch[i], sc) }), "windows")
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].meanCores(sc) }), "cores")
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].meanCores(sc) / bound[i].meanCores(sc) }), "of-bound")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].finished) / hours }), "finished/h")
	b.ReportMetric(mean(n, func(i int) float64 {
		return float64(runs[i].finished) / float64(max(bound[i].finished, 1))
	}), "finished-of-bound")
	b.ReportMetric(mean(n, func(i int) float64 {
		return float64(runs[i].totalEvictions() - runs[i].evictions["zone"])
	}), "evictions")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].evictions["memory"]) }), "evictions-memory")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].throttles) }), "throttles")
	b.ReportMetric(largest(n, func(i int) float64 { return float64(runs[i].overcommitted) }), "overcommit")
	b.ReportMetric(largest(n, func(i int) float64 { return runs[i].overBudget() }), "over-budget")
	if sc.zoneOutage[1] > 0 {
		b.ReportMetric(largest(n, func(i int) float64 { return runs[i].recoverySeconds }), "full-use-s")
		b.ReportMetric(mean(n, func(i int) float64 { return runs[i].workDuringOutage(sc) }), "absence-work")
	}
	for _, r := range []struct {
		reason Reason
		name   string
	}{
		{ReasonNoRoom, "room"}, {ReasonSlowdown, "harm"}, {ReasonTrial, "trial"}, {ReasonQuota, "quota"},
		{ReasonNotTrusted, "trust"}, {ReasonTooLarge, "large"},
	} {
		b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].refused[r.reason]) }), "refused-"+r.name)
	}
	if sc.idleTeam[1] > 0 {
		b.ReportMetric(mean(n, func(i int) float64 { return runs[i].idleTeamShare }), "team-share")
	}
	if sc.failingWorkers {
		b.ReportMetric(largest(n, func(i int) float64 { return float64(runs[i].maxFailingWorkerStarts) }), "bad-starts")
		b.ReportMetric(largest(n, func(i int) float64 { return float64(runs[i].healthyQuarantined) }), "good-quarantined")
		b.ReportMetric(largest(n, func(i int) float64 { return runs[i].maxParkDelay }), "park-s")
	}
	b.ReportMetric(0, "ns/op")
}
