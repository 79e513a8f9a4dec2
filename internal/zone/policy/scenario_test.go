package policy

// scenario is one case of design section 9. Times are in seconds.
type scenario struct {
	name         string
	length, warm float64
	// disturbed is the phase in which something is wrong.
	disturbed                  [2]float64
	shift, noisy, zone, outage [2]float64
	cancel                     [2]float64
	// replace is when hosts are replaced by empty ones, one every two minutes in turn.
	replace                     [2]float64
	idle                        [2]float64
	wrong, badJobs, badWorkers2 bool
}

const minute = 60.0

var scenarios = []scenario{
	{name: "steady", length: 60 * minute, warm: 20 * minute},
	{name: "shift", length: 70 * minute, warm: 20 * minute, shift: [2]float64{30 * minute, 1e9}, disturbed: [2]float64{30 * minute, 1e9}},
	{name: "noisy", length: 80 * minute, warm: 20 * minute, noisy: [2]float64{30 * minute, 60 * minute}, disturbed: [2]float64{30 * minute, 60 * minute}},
	{name: "wrong", length: 60 * minute, warm: 20 * minute, wrong: true},
	{name: "faulty", length: 50 * minute, warm: 20 * minute, badJobs: true, badWorkers2: true},
	{name: "cancel", length: 50 * minute, warm: 20 * minute, cancel: [2]float64{30 * minute, 31 * minute}, disturbed: [2]float64{30 * minute, 31 * minute}},
	{name: "zone", length: 110 * minute, warm: 20 * minute, zone: [2]float64{30 * minute, 90 * minute}, disturbed: [2]float64{30 * minute, 90 * minute}},
	{name: "replace", length: 50 * minute, warm: 20 * minute, replace: [2]float64{20 * minute, 38 * minute}, disturbed: [2]float64{20 * minute, 1e9}},
	{name: "outage", length: 60 * minute, warm: 20 * minute, outage: [2]float64{25 * minute, 45 * minute}, disturbed: [2]float64{25 * minute, 45 * minute}},
	{name: "quota", length: 60 * minute, warm: 10 * minute, idle: [2]float64{0, 30 * minute}, disturbed: [2]float64{30 * minute, 1e9}},
	{
		name: "everything", length: 130 * minute, warm: 20 * minute, wrong: true, badJobs: true, badWorkers2: true,
		shift: [2]float64{40 * minute, 1e9}, noisy: [2]float64{35 * minute, 65 * minute}, zone: [2]float64{30 * minute, 90 * minute},
		outage: [2]float64{50 * minute, 70 * minute}, cancel: [2]float64{45 * minute, 46 * minute},
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

// apply makes the disturbances due at the present step.
func (sc scenario) apply(w *world) {
	now := w.now
	if now == 0 && sc.badWorkers2 {
		// The first bad worker fails from the start, the second one later.
		w.workers[1].bad = true
	}
	if now == sc.warm && sc.badWorkers2 {
		fw := w.workers[len(w.workers)-2]
		fw.bad, fw.starts = true, 0
	}
	if sc.shift[1] > 0 && now == sc.shift[0] {
		w.load = 0.45
		for u := range w.k {
			for c := range w.k[u] {
				if (u+c)%3 == 0 {
					w.k[u][c] *= 1.5
				}
			}
		}
	}
	if sc.noisy[1] > 0 {
		f := 1.0
		// Two waves of ten minutes.
		if w.within(sc.noisy) && int((now-sc.noisy[0])/(10*minute))%2 == 0 {
			f = 4
		}
		w.classes[0].noise, w.classes[3].noise = f, f
	}
	w.idle["team0"] = sc.idle[1] > 0 && w.within(sc.idle)
	if sc.cancel[1] > 0 && w.within(sc.cancel) {
		for _, fw := range w.workers {
			for _, t := range append([]*fakeTask(nil), fw.tasks...) {
				if w.rng.Float64() < 0.02 {
					w.finish(t, OutcomeCancelled)
				}
			}
		}
	}
	if sc.replace[1] > 0 && w.within(sc.replace) && int(now-sc.replace[0])%120 == 0 {
		w.startHost(int(now-sc.replace[0]) / 120 % len(w.hosts))
	}
	if sc.zone[1] > 0 {
		w.zone(w.within(sc.zone))
	}
}

// zone takes the first zone out or brings it back.
func (w *world) zone(out bool) {
	if w.out[0] == out {
		return
	}
	w.out[0] = out
	for h, z := range w.zoneOf {
		if z == 0 && !out {
			w.hosts[h].Update(at(w.now), ReturnMsg{})
		}
	}
	if !out {
		return
	}
	for _, fw := range w.workers {
		if fw.zone == 0 {
			for _, t := range append([]*fakeTask(nil), fw.tasks...) {
				w.evict(t, "zone")
			}
		}
	}
	for c, q := range w.queues[0] {
		w.queues[1][c] = append(w.queues[1][c], q...)
		w.queues[0][c] = nil
	}
}
