package node

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// configChanged is called after a configuration record was accepted.
func (n *Node) configChanged(item record.Item) {
	n.log.Infof("Configuration changed by a %s record.", item.Kind)
}

// updateTargets tells the policy the targets in force. Targets and quotas hold for the whole system, so that each
// host gets the share that its workers have of all workers.
func (n *Node) updateTargets(now time.Time) {
	n.config.mu.Lock()
	classes := n.config.state.Classes()
	teams := n.config.state.Teams()
	zone, _, known := n.config.state.Zone(n.cfg.Zone)
	n.config.mu.Unlock()
	total := n.peers.workers()
	shapes := n.peers.shapesOf(now)[n.cfg.Zone]
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if known && z.out && !zone.Out {
		z.policy.Update(now, policy.ZoneReturnMsg{})
		n.log.Info("The zone was brought back in.")
	}
	if known && zone.Out && !z.out {
		z.outSince = now
	}
	z.out = known && zone.Out
	z.capacity.SetCallSize(callSize(classes))
	z.policy.Update(now, policy.RemoteCapacitiesMsg{Capacities: shapes})
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
			n.classOf(v.Name).service = v.Service
		}
		z.policy.Update(now, policy.ClassMsg{
			Name: v.Name, Kind: kind, P99: v.Target.Answer, FinishedPerHour: v.Target.Finished * share, EvictionsPerTaskDay: v.Target.Disruption,
		})
	}
	for _, t := range teams {
		q := t.Value.Quota
		if t.Dropped {
			z.policy.Update(now, policy.TeamMsg{Name: t.Value.Name, Quota: fleet.Size{Cores: -1}})
			continue
		}
		z.policy.Update(now, policy.TeamMsg{Name: t.Value.Name, Quota: scale(q, share)})
	}
}

// callSize returns the largest declared size of a call of the urgent classes.
func callSize(classes []config.Versioned[config.Class]) fleet.Size {
	var size fleet.Size
	for _, c := range classes {
		if c.Value.Kind == config.KindUrgent && !c.Dropped {
			size.Cores = max(size.Cores, c.Value.Size.Cores)
			size.Memory = max(size.Memory, c.Value.Size.Memory)
		}
	}
	return size
}

// scale returns the share of a size. A quota of at least one accelerator leaves one to every host, since devices
// cannot be split.
func scale(s fleet.Size, share float64) fleet.Size {
	out := fleet.Size{Cores: int64(float64(s.Cores) * share), Memory: int64(float64(s.Memory) * share)}
	if s.Accelerators > 0 {
		out.Accelerators = max(1, int64(float64(s.Accelerators)*share))
	}
	return out
}

// class returns a class of the configuration.
func (n *Node) class(name string) (config.Class, bool) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	c, _, ok := n.config.state.Class(name)
	return c, ok
}

// classView has what is learned of an urgent class, and its waiting requests.
type classView struct {
	queue *limit.Queue
	// service restricts the class to workers of that service, empty for any.
	service string
	// waiting has the requests of the queue by id.
	waiting map[string]*waiter
	times   answerTimes
}

// classOf returns the view of an urgent class, with zone.mu held.
func (n *Node) classOf(name string) *classView {
	v := n.zone.classes[name]
	if v == nil {
		v = &classView{queue: limit.NewQueue(n.cfg.Limits.Queue, firstService), waiting: map[string]*waiter{}}
		n.zone.classes[name] = v
	}
	return v
}

// answerTimes learns the 95th and 99th percentile of a class's times from a window of samples.
type answerTimes struct {
	samples [512]time.Duration
	n       int
	p95     time.Duration
	p99     time.Duration
}

// minSamples is the number of samples before a percentile is used.
const minSamples = 100

// observe adds a sample and refreshes the percentiles every 64 samples.
func (a *answerTimes) observe(d time.Duration) {
	a.samples[a.n%len(a.samples)] = d
	a.n++
	if a.n >= minSamples && a.n%64 == 0 {
		a.p95, a.p99 = percentiles(a.samples[:min(a.n, len(a.samples))])
	}
}
