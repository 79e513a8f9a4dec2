package policy

// scenario is one scenario of design section 9. Times are in seconds; pairs are the start and end of a phase. An end of
// 0 means that there is no such phase, an end of 1e9 that it lasts to the end of the run.
type scenario struct {
	name           string
	length, warmUp float64
	// disturbed is the phase whose latencies are counted as disturbed.
	disturbed [2]float64
	// In loadShift the urgent load is higher and some interference stronger, in interferenceWaves two batch classes
	// interfere four times as much, in zoneOutage the first zone is out, and in placementOutage no tasks are placed.
	loadShift, interferenceWaves, zoneOutage, placementOutage [2]float64
	// cancelPhase is when running tasks are cancelled at random.
	cancelPhase [2]float64
	// hostReplacement is when hosts are replaced by ones without state, one every two minutes in turn.
	hostReplacement [2]float64
	// idleTeam is when team0 gets no tasks placed.
	idleTeam [2]float64
	// With wrongSizes the declared sizes are wrong by a factor of 4 in either direction, with failingJobs some jobs fail
	// or are too large for every worker, and with failingWorkers two workers fail every task.
	wrongSizes, failingJobs, failingWorkers bool
}

// minute is in seconds.
const minute = 60.0

var scenarios = []scenario{
	{name: "steady", length: 60 * minute, warmUp: 20 * minute},
	{
		name: "shift", length: 70 * minute, warmUp: 20 * minute, loadShift: [2]float64{30 * minute, 1e9},
		disturbed: [2]float64{30 * minute, 1e9},
	},
	{
		name: "noisy", length: 80 * minute, warmUp: 20 * minute,
		interferenceWaves: [2]float64{30 * minute, 60 * minute}, disturbed: [2]float64{30 * minute, 60 * minute},
	},
	{name: "wrong", length: 60 * minute, warmUp: 20 * minute, wrongSizes: true},
	{name: "faulty", length: 50 * minute, warmUp: 20 * minute, failingJobs: true, failingWorkers: true},
	{
		name: "cancel", length: 50 * minute, warmUp: 20 * minute, cancelPhase: [2]float64{30 * minute, 31 * minute},
		disturbed: [2]float64{30 * minute, 31 * minute},
	},
	{
		name: "zone", length: 110 * minute, warmUp: 20 * minute, zoneOutage: [2]float64{30 * minute, 90 * minute},
		disturbed: [2]float64{30 * minute, 90 * minute},
	},
	{
		name: "replace", length: 50 * minute, warmUp: 20 * minute,
		hostReplacement: [2]float64{20 * minute, 38 * minute}, disturbed: [2]float64{20 * minute, 1e9},
	},
	{
		name: "outage", length: 60 * minute, warmUp: 20 * minute,
		placementOutage: [2]float64{25 * minute, 45 * minute}, disturbed: [2]float64{25 * minute, 45 * minute},
	},
	{
		name: "quota", length: 60 * minute, warmUp: 10 * minute, idleTeam: [2]float64{0, 30 * minute},
		disturbed: [2]float64{30 * minute, 1e9},
	},
	{
		name: "everything", length: 130 * minute, warmUp: 20 * minute, wrongSizes: true, failingJobs: true,
		failingWorkers: true, loadShift: [2]float64{40 * minute, 1e9},
		interferenceWaves: [2]float64{35 * minute, 65 * minute}, zoneOutage: [2]float64{30 * minute, 90 * minute},
		placementOutage: [2]float64{50 * minute, 70 * minute}, cancelPhase: [2]float64{45 * minute, 46 * minute},
		disturbed: [2]float64{30 * minute, 90 * minute},
	},
}

func (sc scenario) phase(now float64) int {
	switch {
	case sc.disturbed[1] == 0 || now < sc.disturbed[0]:
		return phaseNormal
	case now < sc.disturbed[1]:
		return phaseDisturbed
	}
	return phaseAfter
}

// applyDisturbances applies the disturbances of the scenario that are due at the present step.
func (sc scenario) applyDisturbances(sim *simulation) {
	now := sim.now
	if now == 0 && sc.failingWorkers {
		// The first failing worker fails from the start, the second one later.
		sim.workers[1].failsAll = true
	}
	if now == sc.warmUp && sc.failingWorkers {
		sw := sim.workers[len(sim.workers)-2]
		sw.failsAll, sw.trustedStarts = true, 0
	}
	if sc.loadShift[1] > 0 && now == sc.loadShift[0] {
		sim.callLoad = 0.45
		for u := range sim.slowdownPerLoad {
			for c := range sim.slowdownPerLoad[u] {
				if (u+c)%3 == 0 {
					sim.slowdownPerLoad[u][c] *= 1.5
				}
			}
		}
	}
	if sc.interferenceWaves[1] > 0 {
		factor := 1.0
		// The waves last ten minutes, with ten minutes between them.
		if sim.inPhase(sc.interferenceWaves) && int((now-sc.interferenceWaves[0])/(10*minute))%2 == 0 {
			factor = 4
		}
		sim.batchClasses[0].interferenceFactor, sim.batchClasses[3].interferenceFactor = factor, factor
	}
	sim.idleTeams["team0"] = sc.idleTeam[1] > 0 && sim.inPhase(sc.idleTeam)
	if sc.cancelPhase[1] > 0 && sim.inPhase(sc.cancelPhase) {
		for _, sw := range sim.workers {
			for _, t := range append([]*simTask(nil), sw.tasks...) {
				if sim.rng.Float64() < 0.02 {
					sim.endTask(t, OutcomeCancelled)
				}
			}
		}
	}
	if sc.hostReplacement[1] > 0 && sim.inPhase(sc.hostReplacement) && int(now-sc.hostReplacement[0])%120 == 0 {
		sim.startHost(int(now-sc.hostReplacement[0]) / 120 % len(sim.hosts))
	}
	if sc.zoneOutage[1] > 0 {
		sim.setFirstZoneOut(sim.inPhase(sc.zoneOutage))
	}
}

// setFirstZoneOut takes the first zone out of service or brings it back.
func (sim *simulation) setFirstZoneOut(out bool) {
	if sim.zoneOut[0] == out {
		return
	}
	sim.zoneOut[0] = out
	for h, z := range sim.zoneOf {
		if z == 0 && !out {
			sim.hosts[h].Update(simTime(sim.now), ZoneReturnMsg{})
		}
	}
	if !out {
		return
	}
	for _, sw := range sim.workers {
		if sw.zone == 0 {
			for _, t := range append([]*simTask(nil), sw.tasks...) {
				sim.evictTask(t, "zone")
			}
		}
	}
	for c, q := range sim.queues[0] {
		sim.queues[1][c] = append(sim.queues[1][c], q...)
		sim.queues[0][c] = nil
	}
}
