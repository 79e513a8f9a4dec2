package policy

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
)

var seeds = flag.Int("policy.seeds", 10, "seeds per measured case")

type runKey struct {
	deployment, scenario, mode string
	seed                       uint64
}

var (
	runsMu sync.Mutex
	runs   = map[runKey]*result{}
)

// measure returns the runs of all seeds, from earlier calls if there are any, four at a time.
func measure(d deployment, sc scenario, mode string, n int) []*result {
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
			out[i] = newWorld(d, sc, mode, key.seed).run()
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

func worstOf(n int, f func(i int) float64) float64 {
	worst := f(0)
	for i := range n {
		worst = max(worst, f(i))
	}
	return worst
}

// parts names, by case, the parts of the policy that the case justifies.
var parts = map[string][]string{
	"steady":  {modeNoLearning, modeNoShare, modeShareZone},
	"zone":    {modeNoShare, modeShareZone},
	"replace": {modeNoShare, modeShareZone},
	"noisy":   {modeNoThrottle, modeNoLearning},
	"faulty":  {modeNoQuarantine},
	"quota":   {modeNoQuota},
}

// BenchmarkCase reports the figures of every case, deployment and mode.
func BenchmarkCase(b *testing.B) {
	for _, sc := range scenarios {
		for _, d := range []deployment{ashyq, kiskopyora} {
			modes := slices.Concat([]string{modePolicy, modeTruth, modeLeast, modeFirst, modeOff}, parts[sc.name])
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

func reportCase(b *testing.B, d deployment, sc scenario, mode string) {
	n := *seeds
	off := measure(d, sc, modeOff, n)
	truth := measure(d, sc, modeTruth, n)
	runs := measure(d, sc, mode, n)
	for phase, name := range []string{"normal", "disturbed", "after"} {
		if runs[0].hists[0][phase].n == 0 {
			continue
		}
		for _, q := range []struct {
			v    float64
			name string
		}{{0.5, "p50"}, {0.99, "p99"}, {0.999, "p99.9"}} {
			b.ReportMetric(mean(n, func(i int) float64 { return runs[i].ratio(off[i], q.v, phase) }), name+"-"+q.name)
		}
		b.ReportMetric(worstOf(n, func(i int) float64 { return runs[i].ratio(off[i], 0.99, phase) }), name+"-p99-worst")
	}
	hours := (sc.length - sc.warm) / 3600
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].windows(off[i], sc) }), "windows")
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].throughput(sc) }), "cores")
	b.ReportMetric(mean(n, func(i int) float64 { return runs[i].throughput(sc) / truth[i].throughput(sc) }), "of-bound")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].finished) / hours }), "finished/h")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].finished) / float64(max(truth[i].finished, 1)) }), "finished-of-bound")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].evicted() - runs[i].evictions["zone"]) }), "evictions")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].evictions["memory"]) }), "evictions-memory")
	b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].throttles) }), "throttles")
	b.ReportMetric(worstOf(n, func(i int) float64 { return float64(runs[i].overcommit) }), "overcommit")
	b.ReportMetric(worstOf(n, func(i int) float64 { return runs[i].overBudget() }), "over-budget")
	if sc.zone[1] > 0 {
		b.ReportMetric(worstOf(n, func(i int) float64 { return runs[i].fullUse }), "full-use-s")
		b.ReportMetric(mean(n, func(i int) float64 { return runs[i].absence(sc) }), "absence-work")
	}
	for _, r := range []struct {
		reason Reason
		name   string
	}{{ReasonRoom, "room"}, {ReasonHarm, "harm"}, {ReasonTrial, "trial"}, {ReasonQuota, "quota"}, {ReasonQuarantine, "trust"}, {ReasonTooLarge, "large"}} {
		b.ReportMetric(mean(n, func(i int) float64 { return float64(runs[i].refused[r.reason]) }), "refused-"+r.name)
	}
	if sc.idle[1] > 0 {
		b.ReportMetric(mean(n, func(i int) float64 { return runs[i].share }), "team-share")
	}
	if sc.badWorkers2 {
		b.ReportMetric(worstOf(n, func(i int) float64 { return float64(runs[i].badStarts) }), "bad-starts")
		b.ReportMetric(worstOf(n, func(i int) float64 { return float64(runs[i].quarantine) }), "good-quarantined")
		b.ReportMetric(worstOf(n, func(i int) float64 { return runs[i].parkDelay }), "park-s")
	}
	b.ReportMetric(0, "ns/op")
}
