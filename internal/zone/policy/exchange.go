package policy

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Estimates is what a host learned from its own workers, for other hosts. Numbers are in thousandths. It holds nothing
// that was taken in from others, so that knowledge does not return to its source.
type Estimates struct {
	// At is when the host made it; of two messages of a host the later one counts.
	At     time.Time `msgpack:"at"`
	Urgent []string  `msgpack:"urgent"`
	Batch  []string  `msgpack:"batch"`
	// Slowdown and Error are the slowdown per unit of load and its standard deviation, by urgent and then by batch
	// class. An Error of 0 marks an unknown pair.
	Slowdown []int16 `msgpack:"slow"`
	StdDev   []int16 `msgpack:"error"`
	// Cores and Memory are the use per declared unit, by batch class.
	Cores  Ratios `msgpack:"cores"`
	Memory Ratios `msgpack:"memory"`
}

// Ratios holds learned ratios of used to declared by batch class, in thousandths.
type Ratios struct {
	Mean      []int16 `msgpack:"mean"`
	Deviation []int16 `msgpack:"spread"`
	// Count is the number of reports, not in thousandths; 0 marks an unknown ratio.
	Count []int16 `msgpack:"count"`
}

// RemoteEstimatesMsg takes in what another host learned. The newest message of a host replaces its earlier ones; a host
// not heard of for 10 minutes is forgotten.
type RemoteEstimatesMsg struct {
	Host string `msgpack:"host"`
	Estimates
}

func (RemoteEstimatesMsg) message() {}

// WithHost sets the name under which the host sends its Learned, so that its own messages are ignored.
func WithHost(name string) Option { return func(p *Policy) { p.host = name } }

const (
	// shareUrgent and shareBatch bound the classes in a Learned: 8 and 20 take under 2 KiB.
	maxSharedUrgent, maxSharedBatch = 16, 40
	// sharePeers bounds the other hosts.
	maxRemoteHosts = 64
	// shareAge is the time after which a host not heard of is forgotten.
	remoteEstimatesTTL = 10 * time.Minute
	// shareDev is the standard deviation assumed between the slowdowns on workers of two hosts.
	hostStdDev = 0.015
	// shareCount bounds the weight of a host's sizes: estimates weigh about the last 20 reports.
	maxRemoteReports = 20
)

// peer is the newest message of another host.
type remoteHost struct {
	host       string
	receivedAt time.Time
	estimates  Estimates
}

// evidence sums estimates weighted by their inverse variances.
type weightedSum struct{ weight, sum float64 }

func toThousandths(v float64) int16 {
	return int16(math.Round(min(max(v*1000, math.MinInt16), math.MaxInt16)))
}

// LocalEstimates returns what this host learned from its own workers. Large estimates without a recent report are left
// out: all hosts would otherwise keep each other from trying the pair again.
func (p *Policy) LocalEstimates(now time.Time) Estimates {
	out := Estimates{At: now}
	urgent := p.urgent[:min(len(p.urgent), maxSharedUrgent)]
	var batch []*class
	for _, c := range p.classesByIndex {
		if c.kind == KindBatch && len(batch) < maxSharedBatch && (c.localSize.cores.reports > 0 || c.localSize.memory.reports > 0 ||
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

// valid reports whether there is one entry per class.
func (r *Ratios) isValid(n int) bool {
	return len(r.Mean) == n && len(r.Deviation) == n && len(r.Count) == n
}

func (l *Estimates) isValid() bool {
	n := len(l.Urgent) * len(l.Batch)
	return len(l.Urgent) <= maxSharedUrgent && len(l.Batch) <= maxSharedBatch && len(l.Slowdown) == n && len(l.StdDev) == n &&
		l.Cores.isValid(len(l.Batch)) && l.Memory.isValid(len(l.Batch))
}

func (p *Policy) addRemoteEstimates(now time.Time, m RemoteEstimatesMsg) {
	if m.Host == p.host || !m.isValid() || now.Sub(m.At) >= remoteEstimatesTTL {
		return
	}
	// The peers are in order of their names since the order of summation changes the last digits.
	i, found := slices.BinarySearchFunc(p.peers, m.Host, func(q remoteHost, host string) int { return strings.Compare(q.host, host) })
	switch {
	case !found && len(p.peers) >= maxRemoteHosts, found && !m.At.After(p.peers[i].estimates.At):
		return
	case !found:
		p.peers = slices.Insert(p.peers, i, remoteHost{})
	}
	p.peers[i] = remoteHost{m.Host, now, m.Estimates}
	p.combineRemote()
}

// dropPeers forgets the hosts not heard of for shareAge.
func (p *Policy) dropSilentHosts(now time.Time) {
	n := len(p.peers)
	p.peers = slices.DeleteFunc(p.peers, func(q remoteHost) bool { return now.Sub(q.receivedAt) >= remoteEstimatesTTL })
	if len(p.peers) != n {
		p.combineRemote()
	}
}

// combine sums what other hosts know anew. Classes that are not known here are left out.
func (p *Policy) combineRemote() {
	for _, u := range p.urgent {
		u.interference.remote = append(u.interference.remote[:0], make([]weightedSum, len(p.classesByIndex))...)
	}
	for _, c := range p.classesByIndex {
		c.remoteSize = sizeEstimates{}
	}
	for i := range p.peers {
		l := &p.peers[i].estimates
		for b, name := range l.Batch {
			c := p.classes[name]
			if c == nil || c.kind != KindBatch {
				continue
			}
			c.remoteSize.cores.addRemote(&l.Cores, b)
			c.remoteSize.memory.addRemote(&l.Memory, b)
			for a, urgent := range l.Urgent {
				at := a*len(l.Batch) + b
				u := p.classes[urgent]
				if u == nil || u.kind != KindUrgent || l.StdDev[at] <= 0 {
					continue
				}
				dev := float64(l.StdDev[at]) / 1000
				weight := 1 / (dev*dev + hostStdDev*hostStdDev)
				e := &u.interference.remote[c.index]
				e.weight += weight
				e.sum += weight * float64(l.Slowdown[at]) / 1000
			}
		}
	}
	for _, u := range p.urgent {
		u.interference.combine()
	}
	for _, c := range p.classesByIndex {
		c.combineSizes()
	}
}

// pool takes the ratio at position i into the mean weighted by counts.
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

// blend uses the sizes known from others until this host has enough reports.
func (c *class) combineSizes() {
	c.size = c.localSize
	if c.localSize.cores.reports < minReportsToShrink && c.remoteSize.cores.reports > c.localSize.cores.reports {
		c.size.cores = c.remoteSize.cores
	}
	if c.localSize.memory.reports < minReportsToShrink && c.remoteSize.memory.reports > c.localSize.memory.reports {
		c.size.memory = c.remoteSize.memory
	}
}

// own returns the slowdown per unit of load by batch class c and its variance as learned here.
func (m *interferenceModel) local(c *class) (k, variance float64) { return m.localAt(m.position(c)) }

func (m *interferenceModel) localAt(i int) (k, variance float64) {
	base := m.state[0]
	if i == 0 || base <= 0 {
		return priorSlowdown, priorStdDev * priorStdDev
	}
	k = m.state[i] / base
	// The slowdown is a quotient, so that the error of the base time counts as well.
	variance = (m.covariance[i][i] - 2*k*m.covariance[i][0] + k*k*m.covariance[0][0]) / (base * base)
	return k, max(variance, 1e-6)
}

// observed returns the slowdown and its variance as they follow from the reports alone, without the prior, which
// would otherwise count once for every host and draw the mean towards it. The variance is 0 if the reports say
// too little.
func (m *interferenceModel) withoutPrior(c *class) (k, variance float64) {
	k, variance = m.local(c)
	weight := 1/variance - 1/(priorStdDev*priorStdDev)
	if weight < 1 {
		return 0, 0
	}
	return (k/variance - priorSlowdown/(priorStdDev*priorStdDev)) / weight, 1 / weight
}

// shares reports whether the pair was learned here and need not be tried again.
func (m *interferenceModel) isShareable(now time.Time, c *class) bool {
	i := m.position(c)
	return i > 0 && m.reportCounts[i] >= minKnownReports && !m.isStale(now, c)
}

// stale reports whether a large estimate has had no report for retryAfter.
func (m *interferenceModel) isStale(now time.Time, c *class) bool {
	k, _ := m.local(c)
	return k > priorSlowdown && now.Sub(m.lastNotable[m.position(c)]) >= staleAfter
}

// blend combines the own estimates with those of other hosts by inverse variance.
func (m *interferenceModel) combine() {
	m.combined = append(m.combined[:0], make([]float64, max(len(m.positions), len(m.remote)))...)
	for i := range m.combined {
		at := 0
		if i < len(m.positions) {
			at = m.positions[i]
		}
		k, variance := m.localAt(at)
		if i < len(m.remote) && m.remote[i].weight > 0 {
			// Batch work speeds no call up. A negative estimate, which stands for an error of the own base time,
			// would let other classes fill the worker further.
			k = max((k/variance+m.remote[i].sum)/(1/variance+m.remote[i].weight), 0)
		}
		m.combined[i] = k
	}
}
