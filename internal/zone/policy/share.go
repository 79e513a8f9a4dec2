package policy

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Learned is what a host learned from its own workers, for other hosts. Numbers are in thousandths. It holds nothing
// that was taken in from others, so that knowledge does not return to its source.
type Learned struct {
	// At is when the host made it; of two messages of a host the later one counts.
	At     time.Time `msgpack:"at"`
	Urgent []string  `msgpack:"urgent"`
	Batch  []string  `msgpack:"batch"`
	// Slow and Error are the slowdown per unit of load and its standard deviation, by urgent and then by batch
	// class. An Error of 0 marks an unknown pair.
	Slow  []int16 `msgpack:"slow"`
	Error []int16 `msgpack:"error"`
	// Cores and Memory are the use per declared unit, by batch class.
	Cores  Ratios `msgpack:"cores"`
	Memory Ratios `msgpack:"memory"`
}

// Ratios holds learned ratios of used to declared by batch class, in thousandths.
type Ratios struct {
	Mean   []int16 `msgpack:"mean"`
	Spread []int16 `msgpack:"spread"`
	// Count is the number of reports, not in thousandths; 0 marks an unknown ratio.
	Count []int16 `msgpack:"count"`
}

// LearnedMsg takes in what another host learned. The newest message of a host replaces its earlier ones; a host
// not heard of for 10 minutes is forgotten.
type LearnedMsg struct {
	Host string `msgpack:"host"`
	Learned
}

func (LearnedMsg) message() {}

// WithHost sets the name under which the host sends its Learned, so that its own messages are ignored.
func WithHost(name string) Option { return func(p *Policy) { p.host = name } }

const (
	// shareUrgent and shareBatch bound the classes in a Learned: 8 and 20 take under 2 KiB.
	shareUrgent, shareBatch = 16, 40
	// sharePeers bounds the other hosts.
	sharePeers = 64
	// shareAge is the time after which a host not heard of is forgotten.
	shareAge = 10 * time.Minute
	// shareDev is the standard deviation assumed between the slowdowns on workers of two hosts.
	shareDev = 0.015
	// shareCount bounds the weight of a host's sizes: estimates weigh about the last 20 reports.
	shareCount = 20
)

// peer is the newest message of another host.
type peer struct {
	host  string
	heard time.Time
	known Learned
}

// evidence sums estimates weighted by their inverse variances.
type evidence struct{ weight, sum float64 }

func thousandths(v float64) int16 {
	return int16(math.Round(min(max(v*1000, math.MinInt16), math.MaxInt16)))
}

// Learned returns what this host learned from its own workers. Large estimates without a recent report are left
// out: all hosts would otherwise keep each other from trying the pair again.
func (p *Policy) Learned(now time.Time) Learned {
	out := Learned{At: now}
	urgent := p.urgent[:min(len(p.urgent), shareUrgent)]
	var batch []*class
	for _, c := range p.list {
		if c.kind == KindBatch && len(batch) < shareBatch && (c.own.cores.n > 0 || c.own.memory.n > 0 ||
			slices.ContainsFunc(urgent, func(u *class) bool { return u.model.shares(now, c) })) {
			batch = append(batch, c)
			out.Batch = append(out.Batch, c.name)
			out.Cores.add(&c.own.cores)
			out.Memory.add(&c.own.memory)
		}
	}
	for _, u := range urgent {
		out.Urgent = append(out.Urgent, u.name)
		for _, c := range batch {
			var k, dev int16
			if mean, variance := u.model.observed(c); variance > 0 && u.model.shares(now, c) {
				k, dev = thousandths(mean), max(thousandths(math.Sqrt(variance)), 1)
			}
			out.Slow, out.Error = append(out.Slow, k), append(out.Error, dev)
		}
	}
	return out
}

func (r *Ratios) add(e *estimate) {
	r.Mean = append(r.Mean, thousandths(e.mean))
	r.Spread = append(r.Spread, thousandths(e.dev))
	r.Count = append(r.Count, int16(min(e.n, shareCount)))
}

// valid reports whether there is one entry per class.
func (r *Ratios) valid(n int) bool {
	return len(r.Mean) == n && len(r.Spread) == n && len(r.Count) == n
}

func (l *Learned) valid() bool {
	n := len(l.Urgent) * len(l.Batch)
	return len(l.Urgent) <= shareUrgent && len(l.Batch) <= shareBatch && len(l.Slow) == n && len(l.Error) == n &&
		l.Cores.valid(len(l.Batch)) && l.Memory.valid(len(l.Batch))
}

func (p *Policy) takeIn(now time.Time, m LearnedMsg) {
	if m.Host == p.host || !m.valid() || now.Sub(m.At) >= shareAge {
		return
	}
	// The peers are in order of their names since the order of summation changes the last digits.
	i, found := slices.BinarySearchFunc(p.peers, m.Host, func(q peer, host string) int { return strings.Compare(q.host, host) })
	switch {
	case !found && len(p.peers) >= sharePeers, found && !m.At.After(p.peers[i].known.At):
		return
	case !found:
		p.peers = slices.Insert(p.peers, i, peer{})
	}
	p.peers[i] = peer{m.Host, now, m.Learned}
	p.combine()
}

// dropPeers forgets the hosts not heard of for shareAge.
func (p *Policy) dropPeers(now time.Time) {
	n := len(p.peers)
	p.peers = slices.DeleteFunc(p.peers, func(q peer) bool { return now.Sub(q.heard) >= shareAge })
	if len(p.peers) != n {
		p.combine()
	}
}

// combine sums what other hosts know anew. Classes that are not known here are left out.
func (p *Policy) combine() {
	for _, u := range p.urgent {
		u.model.others = append(u.model.others[:0], make([]evidence, len(p.list))...)
	}
	for _, c := range p.list {
		c.others = sizes{}
	}
	for i := range p.peers {
		l := &p.peers[i].known
		for b, name := range l.Batch {
			c := p.classes[name]
			if c == nil || c.kind != KindBatch {
				continue
			}
			c.others.cores.pool(&l.Cores, b)
			c.others.memory.pool(&l.Memory, b)
			for a, urgent := range l.Urgent {
				at := a*len(l.Batch) + b
				u := p.classes[urgent]
				if u == nil || u.kind != KindUrgent || l.Error[at] <= 0 {
					continue
				}
				dev := float64(l.Error[at]) / 1000
				weight := 1 / (dev*dev + shareDev*shareDev)
				e := &u.model.others[c.index]
				e.weight += weight
				e.sum += weight * float64(l.Slow[at]) / 1000
			}
		}
	}
	for _, u := range p.urgent {
		u.model.blend()
	}
	for _, c := range p.list {
		c.blend()
	}
}

// pool takes the ratio at position i into the mean weighted by counts.
func (e *estimate) pool(r *Ratios, i int) {
	n := min(int(r.Count[i]), shareCount)
	if n <= 0 || r.Mean[i] < 0 || r.Spread[i] < 0 {
		return
	}
	e.n += n
	f := float64(n) / float64(e.n)
	e.mean += f * (float64(r.Mean[i])/1000 - e.mean)
	e.dev += f * (float64(r.Spread[i])/1000 - e.dev)
}

// blend uses the sizes known from others until this host has enough reports.
func (c *class) blend() {
	c.size = c.own
	if c.own.cores.n < releaseReports && c.others.cores.n > c.own.cores.n {
		c.size.cores = c.others.cores
	}
	if c.own.memory.n < releaseReports && c.others.memory.n > c.own.memory.n {
		c.size.memory = c.others.memory
	}
}

// own returns the slowdown per unit of load by batch class c and its variance as learned here.
func (m *model) own(c *class) (k, variance float64) { return m.ownAt(m.slot(c)) }

func (m *model) ownAt(i int) (k, variance float64) {
	base := m.state[0]
	if i == 0 || base <= 0 {
		return priorK, priorDev * priorDev
	}
	k = m.state[i] / base
	// The slowdown is a quotient, so that the error of the base time counts as well.
	variance = (m.cov[i][i] - 2*k*m.cov[i][0] + k*k*m.cov[0][0]) / (base * base)
	return k, max(variance, 1e-6)
}

// observed returns the slowdown and its variance as they follow from the reports alone, without the prior, which
// would otherwise count once for every host and draw the mean towards it. The variance is 0 if the reports say
// too little.
func (m *model) observed(c *class) (k, variance float64) {
	k, variance = m.own(c)
	weight := 1/variance - 1/(priorDev*priorDev)
	if weight < 1 {
		return 0, 0
	}
	return (k/variance - priorK/(priorDev*priorDev)) / weight, 1 / weight
}

// shares reports whether the pair was learned here and need not be tried again.
func (m *model) shares(now time.Time, c *class) bool {
	i := m.slot(c)
	return i > 0 && m.seen[i] >= knownReports && !m.stale(now, c)
}

// stale reports whether a large estimate has had no report for retryAfter.
func (m *model) stale(now time.Time, c *class) bool {
	k, _ := m.own(c)
	return k > priorK && now.Sub(m.at[m.slot(c)]) >= retryAfter
}

// blend combines the own estimates with those of other hosts by inverse variance.
func (m *model) blend() {
	m.mixed = append(m.mixed[:0], make([]float64, max(len(m.slots), len(m.others)))...)
	for i := range m.mixed {
		at := 0
		if i < len(m.slots) {
			at = m.slots[i]
		}
		k, variance := m.ownAt(at)
		if i < len(m.others) && m.others[i].weight > 0 {
			// Batch work speeds no call up. A negative estimate, which stands for an error of the own base time,
			// would let other classes fill the worker further.
			k = max((k/variance+m.others[i].sum)/(1/variance+m.others[i].weight), 0)
		}
		m.mixed[i] = k
	}
}
