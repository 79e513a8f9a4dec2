package policy

import "math"

// latencyHistogram counts latencies in seconds. Each bucket is 1 % wider than the one before; the first starts at
// 0.1 ms.
type latencyHistogram struct {
	counts [1200]int
	total  int
}

func (h *latencyHistogram) add(v float64) {
	i := int(math.Log(v/1e-4) / math.Log(1.01))
	h.counts[min(max(i, 0), len(h.counts)-1)]++
	h.total++
}

func (h *latencyHistogram) quantile(q float64) float64 {
	rest := int(math.Ceil(float64(h.total) * (1 - q)))
	for i := len(h.counts) - 1; i >= 0; i-- {
		if rest -= h.counts[i]; rest <= 0 {
			return 1e-4 * math.Pow(1.01, float64(i)+0.5)
		}
	}
	return 0
}

// The phases of a run: normal, disturbed, and after the disturbance.
const (
	phaseNormal = iota
	phaseDisturbed
	phaseAfter
)

// result holds what one run measured. Histograms, finished and evictions leave out the warm-up.
type result struct {
	// histograms are by urgent class and phase.
	histograms []*[3]latencyHistogram
	// lateCalls and callCount count the calls of the present minute by urgent class; inTarget tells for each minute and
	// urgent class whether the class met its target.
	lateCalls []int
	callCount []int
	inTarget  [][]bool
	finished  int
	refused   map[Reason]int
	// evictions counts by cause: memory, stopped or zone.
	evictions map[string]int
	throttles int
	// overcommitted counts the placements that planned a worker above its capacity.
	overcommitted int
	parked        int
	// maxParkDelay is the longest time in seconds until a task was parked, counted from the first start of its job or,
	// if that is later or the task is too large, from its submission.
	maxParkDelay float64
	// perMinute is the mean work in cores of each minute of the run.
	perMinute []float64
	// workThisMinute is the work of the present minute in core seconds.
	workThisMinute float64
	// maxFailingWorkerStarts is the largest number of tasks that a worker which fails everything got outside quarantine,
	// healthyQuarantined the number of other workers in quarantine, both at the end of the newest minute.
	maxFailingWorkerStarts int
	healthyQuarantined     int
	// taskSeconds and evictionsByClass count by batch class, from the start of the run. evictionsByClass leaves out
	// evictions by a zone outage, which operators asked for.
	taskSeconds      []float64
	evictionsByClass []int
	// recoverySeconds is the time from the end of the zone outage until the zone does 90 % of its earlier work.
	recoverySeconds float64
	// idleTeamShare is the mean fraction of the planned cores that the idle team has from 5 minutes after it has work
	// again.
	idleTeamShare   float64
	idleTeamSamples int
}

func (r *result) addEviction(cause string, class int, warm bool) {
	if warm {
		r.evictions[cause]++
	}
	if cause != "zone" {
		r.evictionsByClass[class]++
	}
}

// overBudget returns the largest ratio over the batch classes of evictions to the disruption target. One eviction per
// class is within any target. It covers the warm-up too, since the budget accrues from the start.
func (r *result) overBudget() float64 {
	worst := 0.0
	for c, n := range r.evictionsByClass {
		worst = max(worst, float64(n)/max(1, evictionsPerTaskDay*r.taskSeconds[c]/day.Seconds()))
	}
	return worst
}

// evictionsPerTaskDay is the tolerable evictions per running task and day of every batch class.
const evictionsPerTaskDay = 2

func (r *result) addFinished(now float64, sc scenario) {
	if now >= sc.warmUp {
		r.finished++
	}
}

func (r *result) addWork(_, cores float64) { r.workThisMinute += cores }

func (r *result) addCall(sim *simulation, u int, took float64) {
	if r.lateCalls == nil {
		r.lateCalls, r.callCount = make([]int, len(sim.urgentClasses)), make([]int, len(sim.urgentClasses))
	}
	r.callCount[u]++
	if took > sim.urgentClasses[u].target {
		r.lateCalls[u]++
	}
	if sim.now >= sim.scenario.warmUp {
		r.histograms[u][sim.scenario.phase(sim.now)].add(took)
	}
}

// closeMinute records the figures of the minute that ends now.
func (r *result) closeMinute(sim *simulation) {
	met := make([]bool, len(sim.urgentClasses))
	for u := range met {
		met[u] = float64(r.lateCalls[u]) <= 0.01*float64(r.callCount[u])
		r.lateCalls[u], r.callCount[u] = 0, 0
	}
	r.inTarget = append(r.inTarget, met)
	r.perMinute = append(r.perMinute, r.workThisMinute/60)
	r.workThisMinute = 0
	if sim.scenario.idleTeam[1] > 0 && sim.now > sim.scenario.idleTeam[1]+300 {
		r.idleTeamSamples++
		r.idleTeamShare += (sim.teamShare("team0") - r.idleTeamShare) / float64(r.idleTeamSamples)
	}
	r.maxFailingWorkerStarts, r.healthyQuarantined = 0, 0
	for _, sw := range sim.workers {
		if sw.failsAll {
			r.maxFailingWorkerStarts = max(r.maxFailingWorkerStarts, sw.trustedStarts)
		} else if p, ok := sim.hosts[sw.host].(*Policy); ok && p.IsQuarantined(sw.name) {
			r.healthyQuarantined++
		}
	}
}

// worstQuantileRatio returns the largest ratio over the urgent classes of a quantile to that of the run without batch
// tasks, in the given phase.
func (r *result) worstQuantileRatio(noBatch *result, q float64, phase int) float64 {
	worst := 0.0
	for u := range r.histograms {
		if r.histograms[u][phase].total > 0 {
			worst = max(worst, r.histograms[u][phase].quantile(q)/noBatch.histograms[u][phase].quantile(q))
		}
	}
	return worst
}

// worstWindowsInTarget returns the fraction of one-minute windows after the warm-up in which a class met its target, of
// those in which it did in the run without batch tasks. The class with the smallest fraction counts.
func (r *result) worstWindowsInTarget(noBatch *result, sc scenario) float64 {
	least := 1.0
	for u := range r.histograms {
		met, all := 0, 0
		for m := int(sc.warmUp / 60); m < len(r.inTarget); m++ {
			if noBatch.inTarget[m][u] {
				all++
				if r.inTarget[m][u] {
					met++
				}
			}
		}
		if all > 0 {
			least = min(least, float64(met)/float64(all))
		}
	}
	return least
}

// meanCores returns the mean work per minute after the warm-up, in cores.
func (r *result) meanCores(sc scenario) float64 {
	var sum float64
	from := int(sc.warmUp / 60)
	for _, v := range r.perMinute[from:] {
		sum += v
	}
	return sum / float64(len(r.perMinute)-from)
}

func (r *result) totalEvictions() int {
	n := 0
	for _, v := range r.evictions {
		n += v
	}
	return n
}

// workDuringOutage returns the work per minute while the zone is out, as a fraction of that before.
func (r *result) workDuringOutage(sc scenario) float64 {
	part := func(from, to float64) float64 {
		var sum float64
		for _, v := range r.perMinute[int(from/60):int(to/60)] {
			sum += v
		}
		return sum / (to - from)
	}
	return part(sc.zoneOutage[0], sc.zoneOutage[1]) / max(part(sc.warmUp, sc.zoneOutage[0]), 1e-9)
}

// recordStep records at each step what only the simulation can observe.
func (sim *simulation) recordStep() {
	if sc := sim.scenario; sc.zoneOutage[1] > 0 {
		if use := sim.firstZoneCores(); sim.now == sc.zoneOutage[0]-1 {
			sim.useBeforeOutage = use
		} else if sim.now >= sc.zoneOutage[1] && sim.result.recoverySeconds == 0 && use >= 0.9*sim.useBeforeOutage {
			sim.result.recoverySeconds = sim.now - sc.zoneOutage[1] + 1
		}
	}
	if int(sim.now)%60 == 59 {
		sim.result.closeMinute(sim)
	}
}

// firstZoneCores returns the work per second of the first zone in cores.
func (sim *simulation) firstZoneCores() float64 {
	var sum float64
	for _, sw := range sim.workers {
		if sw.zone == 0 {
			for _, t := range sw.tasks {
				sum += t.cores * t.cpuFraction / 1000
			}
		}
	}
	return sum
}

// teamShare returns the fraction of the planned cores that a team has.
func (sim *simulation) teamShare(team string) float64 {
	var teamCores, allCores float64
	for _, sw := range sim.workers {
		for _, t := range sw.tasks {
			allCores += float64(t.planned.Cores)
			if t.Team == team {
				teamCores += float64(t.planned.Cores)
			}
		}
	}
	return teamCores / max(allCores, 1)
}
