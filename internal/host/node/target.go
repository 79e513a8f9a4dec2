package node

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// onConfigRecord logs that a configuration record was accepted.
func (n *Node) onConfigRecord(item record.Item) {
	n.log.Infof("Configuration changed by a %s record.", item.Kind)
}

// updateTargets applies the configuration in force: it passes the targets and quotas on to the policy, sets the service
// of each urgent class and the size of the largest call, and records whether the zone is taken out of service. The
// finished tasks per hour and the quotas are set for the whole system, so a host takes the share of them that its held
// workers have among all listed workers.
func (n *Node) updateTargets(now time.Time) {
	n.config.mu.Lock()
	classes := n.config.state.Classes()
	teams := n.config.state.Teams()
	zone, _, known := n.config.state.Zone(n.cfg.Zone)
	n.config.mu.Unlock()
	total := n.peers.workerCount()
	capacities := n.peers.taskCapacitiesByZone(now)[n.cfg.Zone]
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if known && z.takenOut && !zone.TakenOut {
		z.policy.Update(now, policy.ZoneReturnMsg{})
		n.log.Info("The zone was brought back into service; the capacity in use here rises step by step.")
	}
	if known && zone.TakenOut && !z.takenOut {
		z.takenOutSince = now
	}
	z.takenOut = known && zone.TakenOut
	z.capacity.SetCallSize(maxCallSize(classes))
	z.policy.Update(now, policy.RemoteCapacitiesMsg{Capacities: capacities})
	share := 1.0
	if total > 0 {
		share = float64(z.policy.WorkerCount()) / float64(total)
	}
	for _, c := range classes {
		v := c.Value
		kind := policy.KindBatch
		if v.Kind == config.KindUrgent {
			kind = policy.KindUrgent
		}
		if kind == policy.KindUrgent {
			n.classViewOf(v.Name).service = v.Service
		}
		z.policy.Update(now, policy.ClassMsg{
			Name: v.Name, Kind: kind, P99Latency: v.Target.P99Latency, FinishedPerHour: v.Target.FinishedPerHour * share,
			EvictionsPerTaskDay: v.Target.EvictionsPerTaskDay,
		})
	}
	for _, t := range teams {
		quota := t.Value.Quota
		if t.Dropped {
			z.policy.Update(now, policy.TeamMsg{Name: t.Value.Name, Quota: fleet.Size{Cores: -1}})
			continue
		}
		z.policy.Update(now, policy.TeamMsg{Name: t.Value.Name, Quota: scaleSize(quota, share)})
	}
}

// maxCallSize returns the largest declared cores and the largest declared memory of a call of the urgent classes.
func maxCallSize(classes []config.Versioned[config.Class]) fleet.Size {
	var size fleet.Size
	for _, c := range classes {
		if c.Value.Kind == config.KindUrgent && !c.Dropped {
			size.Cores = max(size.Cores, c.Value.Size.Cores)
			size.Memory = max(size.Memory, c.Value.Size.Memory)
		}
	}
	return size
}

// scaleSize returns a size multiplied by share. If the size has accelerators, the result has at least one: every host
// gets one, since a device cannot be split.
func scaleSize(s fleet.Size, share float64) fleet.Size {
	out := fleet.Size{Cores: int64(float64(s.Cores) * share), Memory: int64(float64(s.Memory) * share)}
	if s.Accelerators > 0 {
		out.Accelerators = max(1, int64(float64(s.Accelerators)*share))
	}
	return out
}

// classConfig returns a class of the configuration in force, or false if there is none of that name.
func (n *Node) classConfig(name string) (config.Class, bool) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	c, _, ok := n.config.state.Class(name)
	return c, ok
}

// classView is what this host keeps of an urgent class: the waiting requests and the measured latencies.
type classView struct {
	queue *limit.Queue
	// service is the service that workers of the class must offer, empty for any.
	service string
	// waiting holds the requests in the queue, by ID.
	waiting   map[string]*slotWaiter
	latencies latencyWindow
}

// classViewOf returns the view of an urgent class and creates it if needed. The caller holds zone.mu.
func (n *Node) classViewOf(name string) *classView {
	v := n.zone.classes[name]
	if v == nil {
		v = &classView{
			queue: limit.NewQueue(n.cfg.Limits.MaxQueuedRequests, initialServiceTime), waiting: map[string]*slotWaiter{},
		}
		n.zone.classes[name] = v
	}
	return v
}

// latencyWindow computes the 95th and 99th percentile of the latencies of a class, which are the times from the arrival
// of a request to its answer, from the last 512 samples.
type latencyWindow struct {
	samples [512]time.Duration
	count   int
	p95     time.Duration
	p99     time.Duration
}

// minSamples is the smallest number of samples from which the percentiles are computed.
const minSamples = 100

// observe adds a sample and recomputes the percentiles after every 64 samples, once there are minSamples.
func (w *latencyWindow) observe(d time.Duration) {
	w.samples[w.count%len(w.samples)] = d
	w.count++
	if w.count >= minSamples && w.count%64 == 0 {
		w.p95, w.p99 = percentiles(w.samples[:min(w.count, len(w.samples))])
	}
}
