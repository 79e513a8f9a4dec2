package policy

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// callsPerSample returns the number of real calls that one sampled call of the class stands for, so that together they
// keep the fraction callLoad of all slots busy.
func (sim *simulation) callsPerSample(u int) float64 {
	busy := sim.callLoad * float64(8*len(sim.workers)) / callsPerStep / float64(len(sim.urgentClasses))
	return busy / (sim.urgentClasses[u].medianTime * math.Exp(callTimeSigma*callTimeSigma/2))
}

// sendCalls samples urgent calls and sends each to the better of two workers of a host. The callLoad of a worker is a
// moving average with a weight of 0.2 for the present step.
func (sim *simulation) sendCalls() {
	for _, sw := range sim.workers {
		sw.callLoad *= 0.8
	}
	slots := sim.callLoad * float64(len(sim.workers)) / callsPerStep
	for i := range callsPerStep * len(sim.urgentClasses) {
		u := i % len(sim.urgentClasses)
		h := int(sim.callRand.Int32N(int32(len(sim.hosts))))
		for sim.zoneOut[sim.zoneOf[h]] {
			h = (h + 1) % len(sim.hosts)
		}
		var best *simWorker
		var least float64
		for range 2 {
			sw := sim.workersByHost[h][sim.callRand.IntN(len(sim.workersByHost[h]))]
			s := sim.hosts[h].CallScore(sw.name, sim.urgentClasses[u].name) * (1 + sw.callLoad)
			if best == nil || s < least {
				best, least = sw, s
			}
		}
		best.callLoad += 0.2 * slots / float64(len(sim.urgentClasses))
		took := sim.urgentClasses[u].medianTime * best.slowdown[u] * math.Exp(callTimeSigma*sim.callRand.NormFloat64())
		best.slowdownSum[u] += best.slowdown[u]
		best.callCount[u]++
		d := time.Duration(took * 1e9)
		sim.hosts[h].Update(simTime(sim.now), CallMsg{
			Worker: best.name, Class: sim.urgentClasses[u].name, Took: d, Latency: d,
		})
		sim.result.addCall(sim, u, took)
	}
}

// sendReports makes usage reports and delivers them with a lag.
func (sim *simulation) sendReports() {
	if int(sim.now)%int(reportWindow) == int(reportWindow)-1 {
		for _, sw := range sim.workers {
			var usage []fleet.Usage
			for c := range sim.batchClasses {
				if sw.coreSum[c] > 0 {
					usage = append(usage, fleet.Usage{Class: sim.batchClasses[c].name, Window: 10 * time.Second, Used: fleet.Size{
						Cores: int64(sw.coreSum[c] / reportWindow), Memory: int64(sw.memorySum[c] / reportWindow),
					}})
				}
				sw.coreSum[c], sw.memorySum[c] = 0, 0
			}
			for u := range sim.urgentClasses {
				if n := sw.callCount[u]; n > 0 {
					mean := sim.urgentClasses[u].medianTime * math.Exp(callTimeSigma*callTimeSigma/2) * sw.slowdownSum[u] / n
					calls := n * sim.callsPerSample(u)
					// Single calls have a relative standard deviation of 0.53, which follows from callTimeSigma. The mean
					// of a window deviates by another 2 % for other reasons.
					mean *= 1 + (0.02+0.53/math.Sqrt(calls))*sim.rng.NormFloat64()
					usage = append(usage, fleet.Usage{
						Class: sim.urgentClasses[u].name, Window: 10 * time.Second, Calls: int(calls),
						Mean: time.Duration(mean * 1e9),
						Used: fleet.Size{
							Cores: int64(0.25 * sw.callLoad * float64(sw.capacity.Cores) / float64(len(sim.urgentClasses))),
						},
					})
				}
				sw.callCount[u], sw.slowdownSum[u] = 0, 0
			}
			sim.pendingReports = append(sim.pendingReports, pendingReport{
				deliverAt: sim.now + 1 + reportLag*(0.5+sim.rng.Float64()), windowEnd: sim.now + 1, host: sw.host,
				msg: UsageMsg{Worker: sw.name, Usage: usage},
			})
		}
	}
	kept := sim.pendingReports[:0]
	for _, r := range sim.pendingReports {
		if r.deliverAt > sim.now {
			kept = append(kept, r)
			continue
		}
		for i := range r.msg.Usage {
			r.msg.Usage[i].Lag = time.Duration((sim.now - r.windowEnd) * 1e9)
		}
		sim.hosts[r.host].Update(simTime(sim.now), r.msg)
	}
	sim.pendingReports = kept
}
