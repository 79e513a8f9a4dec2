package policy

import "math"

// hist counts answer times in buckets of 1 %.
type hist struct {
	counts [1200]int
	n      int
}

func (h *hist) add(v float64) {
	i := int(math.Log(v/1e-4) / math.Log(1.01))
	h.counts[min(max(i, 0), len(h.counts)-1)]++
	h.n++
}

func (h *hist) quantile(q float64) float64 {
	rest := int(math.Ceil(float64(h.n) * (1 - q)))
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

// result is what one run measured after its warm-up.
type result struct {
	hists      []*[3]hist
	late       []int
	count      []int
	inTarget   [][]bool
	finished   int
	refused    map[Reason]int
	evictions  map[string]int
	throttles  int
	overcommit int
	parked     int
	parkDelay  float64
	perMinute  []float64
	workNow    float64
	badStarts  int
	quarantine int
	// taskSeconds and evictedOf count by batch class; evictedOf leaves out the zone's absence, which
	// operators asked for.
	taskSeconds []float64
	evictedOf   []int
	fullUse     float64
	// share is the mean share of the planned cores that the team of the quota case has once it has work again.
	share float64
	n     int
}

func (r *result) evict(cause string, class int, warm bool) {
	if warm {
		r.evictions[cause]++
	}
	if cause != "zone" {
		r.evictedOf[class]++
	}
}

// overBudget is the largest ratio over the batch classes of evictions to the disruption target. One eviction
// per class is within any target. It covers the warm-up too, since the budget accrues from the start.
func (r *result) overBudget() float64 {
	worst := 0.0
	for c, n := range r.evictedOf {
		worst = max(worst, float64(n)/max(1, disruptionTarget*r.taskSeconds[c]/day.Seconds()))
	}
	return worst
}

// disruptionTarget is the tolerable evictions per running task and day of every batch class.
const disruptionTarget = 2

func (r *result) finish(now float64, sc scenario) {
	if now >= sc.warm {
		r.finished++
	}
}

func (r *result) work(_, cores float64) { r.workNow += cores }

func (r *result) call(w *world, u int, took float64) {
	if r.late == nil {
		r.late, r.count = make([]int, len(w.urgents)), make([]int, len(w.urgents))
	}
	r.count[u]++
	if took > w.urgents[u].target {
		r.late[u]++
	}
	if w.now >= w.sc.warm {
		r.hists[u][w.sc.phase(w.now)].add(took)
	}
}

// minute closes a one-minute window.
func (r *result) minute(w *world) {
	ok := make([]bool, len(w.urgents))
	for u := range ok {
		ok[u] = float64(r.late[u]) <= 0.01*float64(r.count[u])
		r.late[u], r.count[u] = 0, 0
	}
	r.inTarget = append(r.inTarget, ok)
	r.perMinute = append(r.perMinute, r.workNow/60)
	r.workNow = 0
	if w.sc.idle[1] > 0 && w.now > w.sc.idle[1]+300 {
		r.n++
		r.share += (w.teamShare("team0") - r.share) / float64(r.n)
	}
	r.badStarts, r.quarantine = 0, 0
	for _, fw := range w.workers {
		if fw.bad {
			r.badStarts = max(r.badStarts, fw.starts)
		} else if p, ok := w.hosts[fw.host].(*Policy); ok && p.Quarantined(fw.name) {
			r.quarantine++
		}
	}
}

// p99 is the largest ratio over the urgent classes of a quantile to that of the run without batch, over the
// given phases.
func (r *result) ratio(off *result, q float64, phase int) float64 {
	worst := 0.0
	for u := range r.hists {
		if r.hists[u][phase].n > 0 {
			worst = max(worst, r.hists[u][phase].quantile(q)/off.hists[u][phase].quantile(q))
		}
	}
	return worst
}

// windows is the share of one-minute windows after the warm-up in which a class met its target, of those in
// which the run without batch did; the class with the least share counts.
func (r *result) windows(off *result, sc scenario) float64 {
	least := 1.0
	for u := range r.hists {
		met, all := 0, 0
		for m := int(sc.warm / 60); m < len(r.inTarget); m++ {
			if off.inTarget[m][u] {
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

// throughput is the mean work per minute after the warm-up, in cores.
func (r *result) throughput(sc scenario) float64 {
	var sum float64
	from := int(sc.warm / 60)
	for _, v := range r.perMinute[from:] {
		sum += v
	}
	return sum / float64(len(r.perMinute)-from)
}

func (r *result) evicted() int {
	n := 0
	for _, v := range r.evictions {
		n += v
	}
	return n
}

// absence is the work per minute while the zone is out, as a share of that before.
func (r *result) absence(sc scenario) float64 {
	part := func(from, to float64) float64 {
		var sum float64
		for _, v := range r.perMinute[int(from/60):int(to/60)] {
			sum += v
		}
		return sum / (to - from)
	}
	return part(sc.zone[0], sc.zone[1]) / max(part(sc.warm, sc.zone[0]), 1e-9)
}

// observe notes what only the fake can see.
func (w *world) observe() {
	if sc := w.sc; sc.zone[1] > 0 {
		if use := w.zoneUse(); w.now == sc.zone[0]-1 {
			w.before = use
		} else if w.now >= sc.zone[1] && w.res.fullUse == 0 && use >= 0.9*w.before {
			w.res.fullUse = w.now - sc.zone[1] + 1
		}
	}
	if int(w.now)%60 == 59 {
		w.res.minute(w)
	}
}

// zoneUse is the work per second of the first zone in cores.
func (w *world) zoneUse() float64 {
	var sum float64
	for _, fw := range w.workers {
		if fw.zone == 0 {
			for _, t := range fw.tasks {
				sum += t.cores * t.share / 1000
			}
		}
	}
	return sum
}

// teamShare is the share of the planned cores that a team has.
func (w *world) teamShare(team string) float64 {
	var of, all float64
	for _, fw := range w.workers {
		for _, t := range fw.tasks {
			all += float64(t.planned.Cores)
			if t.Team == team {
				of += float64(t.planned.Cores)
			}
		}
	}
	return of / max(all, 1)
}
