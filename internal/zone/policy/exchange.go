package policy

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Estimates is what a host learned from its own workers and sends to other hosts. Numbers are in thousandths. It
// contains nothing received from others, so that estimates do not return to the host they came from.
type Estimates struct {
	// At is when the host made the estimates; of two messages from a host the later one counts.
	At     time.Time `msgpack:"at"`
	Urgent []string  `msgpack:"urgent"`
	Batch  []string  `msgpack:"batch"`
	// Slowdown and StdDev are the slowdown per unit of load and its standard deviation, by urgent and then by batch
	// class. A StdDev of 0 marks an unknown pair.
	Slowdown []int16 `msgpack:"slow"`
	StdDev   []int16 `msgpack:"error"`
	// Cores and Memory are the ratios of used to declared size, by batch class.
	Cores  Ratios `msgpack:"cores"`
	Memory Ratios `msgpack:"memory"`
}

// Ratios holds learned ratios of used to declared size by batch class, in thousandths.
type Ratios struct {
	Mean []int16 `msgpack:"mean"`
	// Deviation is the mean absolute deviation from Mean.
	Deviation []int16 `msgpack:"spread"`
	// Count is the number of reports, not in thousandths; 0 marks an unknown ratio.
	Count []int16 `msgpack:"count"`
}

// RemoteEstimatesMsg carries the estimates of another host. The newest message of a host replaces its earlier ones.
// The estimates of a host are dropped after 10 minutes without a message.
type RemoteEstimatesMsg struct {
	Host string `msgpack:"host"`
	Estimates
}

func (RemoteEstimatesMsg) message() {}

// WithHost sets the name under which the host sends its estimates, so that its own messages are ignored.
func WithHost(name string) Option { return func(p *Policy) { p.host = name } }

const (
	// maxSharedUrgent and maxSharedBatch bound the classes in Estimates. With 8 and 20 classes, a message takes
	// less than 2 KiB.
	maxSharedUrgent, maxSharedBatch = 16, 40
	// maxRemoteHosts bounds the other hosts whose estimates are kept.
	maxRemoteHosts = 64
	// remoteEstimatesTTL is the time without a message after which the estimates of a host are dropped.
	remoteEstimatesTTL = 10 * time.Minute
	// hostStdDev is the standard deviation assumed between the slowdowns on workers of two hosts.
	hostStdDev = 0.015
	// maxRemoteReports bounds the weight of a host's sizes: its estimates reflect about the last 20 reports, see
	// ratioEstimate.add.
	maxRemoteReports = 20
)

// remoteHost holds the newest estimates of another host.
type remoteHost struct {
	host       string
	receivedAt time.Time
	estimates  Estimates
}

// weightedSum sums estimates weighted by their inverse variances.
type weightedSum struct{ weight, sum float64 }

func toThousandths(v float64) int16 {
	return int16(math.Round(min(max(v*1000, math.MinInt16), math.MaxInt16)))
}

// LocalEstimates returns what this host learned from its own workers. It leaves out large estimates without a recent
// report; otherwise all hosts would keep each other from trying the pair again.
func (p *Policy) LocalEstimates(now time.Time) Estimates {
	out := Estimates{At: now}
	urgent := p.urgentClasses[:min(len(p.urgentClasses), maxSharedUrgent)]
	var batch []*class
	for _, c := range p.classesByIndex {
		if c.kind == KindBatch && len(batch) < maxSharedBatch && (c.localSize.cores.reports > 0 ||
			c.localSize.memory.reports > 0 ||
			slices.ContainsFunc(urgent, func(u *class) bool { return u.interference.isShareable(now, c) })) {
			batch = append(batch, c)
			out.Batch = append(out.Batch, c.name)
			out.Cores.add(&c.localSize.cores)
			out.Memory.add(&c.localSize.memory)
		}
	}
	for _, u := range urgent {
		out.Urgent = append(out.Urgent, u.name)
		for _, c := range batch {
			var k, dev int16
			if mean, variance := u.interference.withoutPrior(c); variance > 0 && u.interference.isShareable(now, c) {
				k, dev = toThousandths(mean), max(toThousandths(math.Sqrt(variance)), 1)
			}
			out.Slowdown, out.StdDev = append(out.Slowdown, k), append(out.StdDev, dev)
		}
	}
	return out
}

func (r *Ratios) add(e *ratioEstimate) {
	r.Mean = append(r.Mean, toThousandths(e.mean))
	r.Deviation = append(r.Deviation, toThousandths(e.deviation))
	r.Count = append(r.Count, int16(min(e.reports, maxRemoteReports)))
}

// isValid reports whether there is one entry per class.
func (r *Ratios) isValid(n int) bool {
	return len(r.Mean) == n && len(r.Deviation) == n && len(r.Count) == n
}

// isValid reports whether the numbers of classes are within bounds and there is one entry per class or pair.
func (e *Estimates) isValid() bool {
	n := len(e.Urgent) * len(e.Batch)
	return len(e.Urgent) <= maxSharedUrgent && len(e.Batch) <= maxSharedBatch &&
		len(e.Slowdown) == n && len(e.StdDev) == n &&
		e.Cores.isValid(len(e.Batch)) && e.Memory.isValid(len(e.Batch))
}

// addRemoteEstimates stores the estimates of another host. It ignores messages that are this host's own, malformed,
// outdated or from more than maxRemoteHosts hosts.
func (p *Policy) addRemoteEstimates(now time.Time, m RemoteEstimatesMsg) {
	if m.Host == p.host || !m.isValid() || now.Sub(m.At) >= remoteEstimatesTTL {
		return
	}
	// The hosts are sorted by name because the order of summation changes the last digits.
	i, found := slices.BinarySearchFunc(p.remoteHosts, m.Host,
		func(r remoteHost, host string) int { return strings.Compare(r.host, host) })
	switch {
	case !found && len(p.remoteHosts) >= maxRemoteHosts, found && !m.At.After(p.remoteHosts[i].estimates.At):
		return
	case !found:
		p.remoteHosts = slices.Insert(p.remoteHosts, i, remoteHost{})
	}
	p.remoteHosts[i] = remoteHost{m.Host, now, m.Estimates}
	p.combineRemote()
}

// dropSilentHosts drops the estimates of hosts without a message for remoteEstimatesTTL.
func (p *Policy) dropSilentHosts(now time.Time) {
	n := len(p.remoteHosts)
	p.remoteHosts = slices.DeleteFunc(p.remoteHosts,
		func(r remoteHost) bool { return now.Sub(r.receivedAt) >= remoteEstimatesTTL })
	if len(p.remoteHosts) != n {
		p.combineRemote()
	}
}

// combineRemote computes the sums over the estimates of other hosts again. It leaves out classes not known here.
func (p *Policy) combineRemote() {
	for _, u := range p.urgentClasses {
		u.interference.remote = append(u.interference.remote[:0], make([]weightedSum, len(p.classesByIndex))...)
	}
	for _, c := range p.classesByIndex {
		c.remoteSize = sizeEstimates{}
	}
	for i := range p.remoteHosts {
		estimates := &p.remoteHosts[i].estimates
		for b, name := range estimates.Batch {
			c := p.classes[name]
			if c == nil || c.kind != KindBatch {
				continue
			}
			c.remoteSize.cores.addRemote(&estimates.Cores, b)
			c.remoteSize.memory.addRemote(&estimates.Memory, b)
			for a, urgent := range estimates.Urgent {
				at := a*len(estimates.Batch) + b
				u := p.classes[urgent]
				if u == nil || u.kind != KindUrgent || estimates.StdDev[at] <= 0 {
					continue
				}
				dev := float64(estimates.StdDev[at]) / 1000
				weight := 1 / (dev*dev + hostStdDev*hostStdDev)
				e := &u.interference.remote[c.index]
				e.weight += weight
				e.sum += weight * float64(estimates.Slowdown[at]) / 1000
			}
		}
	}
	for _, u := range p.urgentClasses {
		u.interference.combine()
	}
	for _, c := range p.classesByIndex {
		c.combineSizes()
	}
}

// addRemote adds the ratio at position i to the mean weighted by numbers of reports.
func (e *ratioEstimate) addRemote(r *Ratios, i int) {
	n := min(int(r.Count[i]), maxRemoteReports)
	if n <= 0 || r.Mean[i] < 0 || r.Deviation[i] < 0 {
		return
	}
	e.reports += n
	f := float64(n) / float64(e.reports)
	e.mean += f * (float64(r.Mean[i])/1000 - e.mean)
	e.deviation += f * (float64(r.Deviation[i])/1000 - e.deviation)
}

// combineSizes uses the sizes from other hosts until this host has enough reports of its own.
func (c *class) combineSizes() {
	c.size = c.localSize
	if c.localSize.cores.reports < minReportsToShrink && c.remoteSize.cores.reports > c.localSize.cores.reports {
		c.size.cores = c.remoteSize.cores
	}
	if c.localSize.memory.reports < minReportsToShrink && c.remoteSize.memory.reports > c.localSize.memory.reports {
		c.size.memory = c.remoteSize.memory
	}
}

// local returns the slowdown per unit of load by batch class c and its variance as learned here.
func (m *interferenceModel) local(c *class) (k, variance float64) { return m.localAt(m.position(c)) }

func (m *interferenceModel) localAt(i int) (k, variance float64) {
	base := m.state[0]
	if i == 0 || base <= 0 {
		return priorSlowdown, priorStdDev * priorStdDev
	}
	k = m.state[i] / base
	// The slowdown is a quotient, so the error of the base time counts as well.
	variance = (m.covariance[i][i] - 2*k*m.covariance[i][0] + k*k*m.covariance[0][0]) / (base * base)
	return k, max(variance, 1e-6)
}

// withoutPrior returns the slowdown and its variance as they follow from the reports alone. The prior is taken out
// because it would count once for every host and draw the mean towards it. The variance is 0 if the reports say too
// little.
func (m *interferenceModel) withoutPrior(c *class) (k, variance float64) {
	k, variance = m.local(c)
	weight := 1/variance - 1/(priorStdDev*priorStdDev)
	if weight < 1 {
		return 0, 0
	}
	return (k/variance - priorSlowdown/(priorStdDev*priorStdDev)) / weight, 1 / weight
}

// isShareable reports whether the pair was learned here and need not be tried again.
func (m *interferenceModel) isShareable(now time.Time, c *class) bool {
	i := m.position(c)
	return i > 0 && m.reportCounts[i] >= minKnownReports && !m.isStale(now, c)
}

// isStale reports whether a large estimate has had no notable load for staleAfter.
func (m *interferenceModel) isStale(now time.Time, c *class) bool {
	k, _ := m.local(c)
	return k > priorSlowdown && now.Sub(m.lastNotableAt[m.position(c)]) >= staleAfter
}

// combine combines the local estimates with those of other hosts by inverse variance.
func (m *interferenceModel) combine() {
	m.combined = append(m.combined[:0], make([]float64, max(len(m.positions), len(m.remote)))...)
	for i := range m.combined {
		at := 0
		if i < len(m.positions) {
			at = m.positions[i]
		}
		k, variance := m.localAt(at)
		if i < len(m.remote) && m.remote[i].weight > 0 {
			// Batch work does not speed up calls. A negative estimate stands for an error of the local base time
			// and would let other classes fill the worker further.
			k = max((k/variance+m.remote[i].sum)/(1/variance+m.remote[i].weight), 0)
		}
		m.combined[i] = k
	}
}
