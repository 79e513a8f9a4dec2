package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// fixedWait is the rule of before: a task waits for half of what a remote run costs and at most 1 s, whatever is expected.
func fixedWait(now time.Time, in locality.Input) locality.Decision {
	until := in.WaitingSince.Add(locality.BlindWait(in.RemoteCost()))
	if now.Before(until) {
		return locality.Decision{Choice: locality.Wait, Until: until}
	}
	return locality.Decision{Choice: locality.StartRemote, Reason: locality.ReasonWaitedEnough}
}

// hotRackResult is what a simulated hot rack has given.
type hotRackResult struct {
	// hot and other are the mean times to the end of the jobs for the rack and of the others, unended counts those without
	// an end.
	hot, other time.Duration
	unended    int
	// overdue counts the decisions after which a task for the rack had waited for longer than any may, with room elsewhere.
	overdue int
}

// runHotRack simulates ten racks of which one is wanted by more tasks than it has room for, for 6 s.
func runHotRack(seed uint64, perSecond float64, estimate time.Duration, rough bool,
	rule func(time.Time, locality.Input) locality.Decision) hotRackResult {
	sim := newLoadSim(seed, 120, loadMix{short: 0.2, long: 0.1})
	sim.s.nearRule = rule
	if rough {
		sim.rough = rand.New(rand.NewPCG(seed, 2))
	}
	sim.run(3 * time.Second)
	var r hotRackResult
	hot := sim.heatRack(6*time.Second, perSecond, estimate, func() { r.overdue += sim.overdueNearWaits() })
	sim.run(20 * time.Second)
	var hotSum, otherSum time.Duration
	others := 0
	for id, j := range sim.s.jobs {
		switch took := j.endedAt.Sub(j.acceptedAt); {
		case j.finalState != StateCompleted:
			if hot[id] {
				r.unended++
			}
		case hot[id]:
			hotSum += took
		default:
			others++
			otherSum += took
		}
	}
	r.hot, r.other = hotSum/time.Duration(max(1, len(hot)-r.unended)), otherSum/time.Duration(max(1, others))
	return r
}

// heatRack submits jobs of ten tasks of four cores for the rack r3 for the given time, calls check after each decision and
// returns the IDs of the jobs.
func (sim *loadSim) heatRack(d time.Duration, perSecond float64, estimate time.Duration, check func()) map[string]bool {
	hot := map[string]bool{}
	interval := time.Duration(10 / perSecond * float64(time.Second))
	for end := sim.now.Add(d); sim.now.Before(end); {
		spec := sim.spec(1, 10, 4000, estimate, false)
		spec.Steps[0].DataRack, spec.Steps[0].BestEffort = "r3", false
		sim.submit("short", spec)
		hot[jobID(sim.jobs)] = true
		sim.decide()
		check()
		sim.run(interval)
	}
	return hot
}

// overdueNearWaits counts the stages of which a task, right after a decision, has waited for a near place for longer than any
// may, although there is room elsewhere.
func (sim *loadSim) overdueNearWaits() int {
	n := 0
	for _, st := range sim.s.ready {
		t := st.longestWaiting()
		if t == nil || st.step().DataRack == "" || sim.s.mayRunUnaccounted(t) {
			continue
		}
		if limit := locality.LongestWait(sim.s.remoteCost(st.step())); sim.now.Sub(t.waitingSince) < limit {
			continue
		}
		if sim.s.findWorker(sim.now, t, nil) != nil {
			n++
		}
	}
	return n
}

// TestHotRack guards against a rule that is worse than a fixed wait for a rack that more tasks want than it has room for: the
// mean time to the end of their jobs is compared in the same replay, with tasks that take 0.5 to 1.5 times and 0.2 to 3.7 times
// their estimate. The other jobs, and those for a rack with room, must not take longer.
func TestHotRack(t *testing.T) {
	const seeds = 3
	for _, rough := range []bool{false, true} {
		for _, load := range []struct{ perSecond, limit float64 }{{80, 1.01}, {150, 0.97}, {300, 0.96}} {
			var fixed, weighed hotRackResult
			for seed := range uint64(seeds) {
				fixed.add(runHotRack(seed, load.perSecond, time.Second, rough, fixedWait))
				weighed.add(runHotRack(seed, load.perSecond, time.Second, rough, locality.Decide))
			}
			t.Logf("%v tasks/s, rough estimates %v: jobs for the rack take %v, with a fixed wait %v; others %v and %v",
				load.perSecond, rough, weighed.hot/seeds, fixed.hot/seeds, weighed.other/seeds, fixed.other/seeds)
			if ratio := float64(weighed.hot) / float64(fixed.hot); ratio > load.limit {
				t.Errorf("jobs for the rack take %.3f times as long as with a fixed wait, want at most %v", ratio, load.limit)
			}
			if ratio := float64(weighed.other) / float64(fixed.other); ratio > 1.08 {
				t.Errorf("other jobs take %.3f times as long as with a fixed wait, want at most 1.08", ratio)
			}
			if weighed.unended > 0 || weighed.overdue > 0 {
				t.Errorf("%d jobs have not ended, %d waits were too long, want none", weighed.unended, weighed.overdue)
			}
		}
	}
}

// add adds the result of another seed.
func (r *hotRackResult) add(o hotRackResult) {
	r.hot, r.other = r.hot+o.hot, r.other+o.other
	r.unended, r.overdue = r.unended+o.unended, r.overdue+o.overdue
}

// nearWaits counts the waiting tasks for which it is decided that they take places in their rack only.
func (sim *loadSim) nearWaits() int {
	n := 0
	for _, st := range sim.s.ready {
		for _, t := range st.tasks {
			if st.step().DataRack != "" && t.queued && t.nearWait > 0 && sim.s.staysNear(sim.now, t) {
				n++
			}
		}
	}
	return n
}

// unended counts the jobs that have not been done.
func (sim *loadSim) unended(jobs map[string]bool) int {
	n := 0
	for id := range jobs {
		if j := sim.s.jobs[id]; j == nil || j.finalState != StateCompleted {
			n++
		}
	}
	return n
}

// TestHotRackFails guards against tasks that wait on for a rack all of whose workers have fallen silent, and against jobs that
// never end then.
func TestHotRackFails(t *testing.T) {
	for seed := range uint64(2) {
		sim := newLoadSim(seed, 120, loadMix{short: 0.2, long: 0.1})
		sim.run(3 * time.Second)
		waited := 0
		hot := sim.heatRack(2*time.Second, 150, time.Second, func() { waited = max(waited, sim.nearWaits()) })
		if waited == 0 {
			t.Fatalf("seed %d: no task has waited for the rack", seed)
		}
		rackWorkers := sim.s.rackNamed("svc", "r3").workers
		for _, w := range rackWorkers {
			sim.workers[w.ID].silent = true
		}
		gone := false
		maps.Copy(hot, sim.heatRack(3*time.Second, 150, time.Second, func() {
			gone = gone || !slices.ContainsFunc(rackWorkers, (*Worker).isUsable)
			if n := sim.nearWaits(); gone && n > 0 {
				t.Fatalf("seed %d: %d tasks wait for a rack without usable workers", seed, n)
			}
		}))
		sim.run(25 * time.Second)
		if n := sim.unended(hot); n > 0 || !gone {
			t.Errorf("seed %d: %d of %d jobs have not ended, the rack was gone: %v", seed, n, len(hot), gone)
		}
	}
}

// TestHotRackLeaderChange guards against tasks that are lost or wait without end when the leader changes while they wait for a
// rack.
func TestHotRackLeaderChange(t *testing.T) {
	for seed := range uint64(2) {
		sim := newLoadSim(seed, 120, loadMix{short: 0.2, long: 0.1})
		sim.run(3 * time.Second)
		hot := sim.heatRack(3*time.Second, 150, time.Second, func() {})
		if sim.nearWaits() == 0 {
			t.Fatalf("seed %d: no task waits for the rack", seed)
		}
		sim.handOver()
		overdue := 0
		maps.Copy(hot, sim.heatRack(3*time.Second, 150, time.Second, func() { overdue += sim.overdueNearWaits() }))
		sim.run(20 * time.Second)
		if n := sim.unended(hot); n > 0 || overdue > 0 {
			t.Errorf("seed %d: %d of %d jobs have not ended, %d waits were too long", seed, n, len(hot), overdue)
		}
	}
}

// gangResult is what a simulated load of colocated gangs has given: the mean times to the end of the gangs' jobs and of the
// others, and the gangs that had not ended within 8 s.
type gangResult struct {
	gangs, others time.Duration
	unended       int
}

// runGangs simulates ten racks for 20 s with colocated gangs, which take half of a rack for 2 s, beside short jobs that take the
// given share of the room.
func runGangs(seed uint64, perSecond, short float64, rough bool,
	rule func(time.Time, locality.Input) locality.Decision) gangResult {
	sim := newLoadSim(seed, 120, loadMix{short: short})
	sim.s.nearRule = rule
	if rough {
		sim.rough = rand.New(rand.NewPCG(seed, 2))
	}
	ids := map[string]bool{}
	sim.submitAtRate("short", perSecond, func() workflow.Spec {
		spec := sim.spec(1, 16, 8000, 2*time.Second, false)
		spec.Steps[0].Gang, spec.Steps[0].Colocated, spec.Steps[0].BestEffort = true, true, false
		ids[jobID(sim.jobs+1)] = true
		return spec
	})
	sim.run(20 * time.Second)
	var r gangResult
	gangs, others := 0, 0
	for id, j := range sim.s.jobs {
		took := j.endedAt.Sub(j.acceptedAt)
		switch {
		case j.finalState != StateCompleted:
			if ids[id] && sim.now.Sub(j.acceptedAt) >= 8*time.Second {
				r.unended++
			}
		case ids[id]:
			gangs++
			r.gangs += took
		default:
			others++
			r.others += took
		}
	}
	r.gangs, r.others = r.gangs/time.Duration(max(1, gangs)), r.others/time.Duration(max(1, others))
	return r
}

// TestColocatedGangsUnderLoad guards against gangs that are spread over racks rather than wait for one: each then takes room for
// twice as long, so that the next ones find no rack either. The mean time to their end is compared with that of gangs that never
// wait, in the same replay. Other jobs must not take longer.
func TestColocatedGangsUnderLoad(t *testing.T) {
	neverWait := func(time.Time, locality.Input) locality.Decision {
		return locality.Decision{Choice: locality.StartRemote}
	}
	for _, load := range []struct {
		perSecond, short float64
		rough            bool
		limit            float64
	}{{9, 0.2, false, 0.6}, {6, 0.4, false, 0.6}, {9, 0.2, true, 1}} {
		before := runGangs(1, load.perSecond, load.short, load.rough, neverWait)
		now := runGangs(1, load.perSecond, load.short, load.rough, locality.Decide)
		t.Logf("%+v: gangs take %v, %d not ended, without waits %v, %d; others %v and %v",
			load, now.gangs, now.unended, before.gangs, before.unended, now.others, before.others)
		if ratio := float64(now.gangs) / float64(before.gangs); ratio > load.limit || now.unended > before.unended {
			t.Errorf("gangs take %.3f times as long as without waits, want at most %v; %d have not ended, without waits %d",
				ratio, load.limit, now.unended, before.unended)
		}
		if ratio := float64(now.others) / float64(before.others); ratio > 1.08 {
			t.Errorf("other jobs take %.3f times as long, want at most 1.08", ratio)
		}
	}
}
