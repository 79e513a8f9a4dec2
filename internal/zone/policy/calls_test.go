package policy

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// callScale is the number of real calls that a sampled one of the class stands for, such that they keep the
// share load of all slots busy.
func (w *world) callScale(u int) float64 {
	busy := w.load * float64(8*len(w.workers)) / callsPerStep / float64(len(w.urgents))
	return busy / (w.urgents[u].base * math.Exp(sigma*sigma/2))
}

// call samples urgent calls.
func (w *world) call() {
	for _, fw := range w.workers {
		fw.calls *= 0.8
	}
	slots := w.load * float64(len(w.workers)) / callsPerStep
	for i := range callsPerStep * len(w.urgents) {
		u := i % len(w.urgents)
		h := int(w.crn.Int32N(int32(len(w.hosts))))
		for w.out[w.zoneOf[h]] {
			h = (h + 1) % len(w.hosts)
		}
		var best *fakeWorker
		var least float64
		for range 2 {
			fw := w.byHost[h][w.crn.IntN(len(w.byHost[h]))]
			s := w.hosts[h].CallScore(fw.name, w.urgents[u].name) * (1 + fw.calls)
			if best == nil || s < least {
				best, least = fw, s
			}
		}
		best.calls += 0.2 * slots / float64(len(w.urgents))
		took := w.urgents[u].base * best.slowdown[u] * math.Exp(sigma*w.crn.NormFloat64())
		best.slow[u] += best.slowdown[u]
		best.count[u]++
		d := time.Duration(took * 1e9)
		w.hosts[h].Update(at(w.now), CallMsg{Worker: best.name, Class: w.urgents[u].name, Took: d, Total: d})
		w.res.call(w, u, took)
	}
}

// report makes lagging usage reports.
func (w *world) report() {
	if int(w.now)%int(reportWindow) == int(reportWindow)-1 {
		for _, fw := range w.workers {
			var usage []fleet.Usage
			for c := range w.classes {
				if fw.used[c] > 0 {
					usage = append(usage, fleet.Usage{Class: w.classes[c].name, Window: 10 * time.Second, Used: fleet.Size{
						Cores: int64(fw.used[c] / reportWindow), Memory: int64(fw.memory[c] / reportWindow),
					}})
				}
				fw.used[c], fw.memory[c] = 0, 0
			}
			for u := range w.urgents {
				if n := fw.count[u]; n > 0 {
					mean := w.urgents[u].base * math.Exp(sigma*sigma/2) * fw.slow[u] / n
					calls := n * w.callScale(u)
					// Besides the spread of single calls, a window deviates by 2 % for reasons of its own.
					mean *= 1 + (0.02+0.53/math.Sqrt(calls))*w.rng.NormFloat64()
					usage = append(usage, fleet.Usage{
						Class: w.urgents[u].name, Window: 10 * time.Second, Calls: int(calls),
						Mean: time.Duration(mean * 1e9),
						Used: fleet.Size{Cores: int64(0.25 * fw.calls * float64(fw.capacity.Cores) / float64(len(w.urgents)))},
					})
				}
				fw.count[u], fw.slow[u] = 0, 0
			}
			w.pending = append(w.pending, pendingReport{
				at: w.now + 1 + reportLag*(0.5+w.rng.Float64()), end: w.now + 1, host: fw.host, msg: UsageMsg{Worker: fw.name, Usage: usage},
			})
		}
	}
	kept := w.pending[:0]
	for _, r := range w.pending {
		if r.at > w.now {
			kept = append(kept, r)
			continue
		}
		for i := range r.msg.Usage {
			r.msg.Usage[i].Lag = time.Duration((w.now - r.end) * 1e9)
		}
		w.hosts[r.host].Update(at(w.now), r.msg)
	}
	w.pending = kept
}
