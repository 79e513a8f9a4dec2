package policy

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// model learns how batch classes slow down the calls of one urgent class. The mean execution time in a
// window is modelled as
//
//	mean = base * (1 + own * busy + sum over batch classes of k * load)
//
// where busy is the share of the worker's slots that urgent calls kept busy and load the share of its cores
// that the batch class used in that window. It is a Kalman filter
// over the base time and the products of base with own and k, with a full covariance, because base and k are strongly
// correlated when every worker always runs batch tasks.
type model struct {
	// state[0] is the base time in seconds, state[1] is base*own, and the others are base*k of the batch
	// classes by slots.
	state []float64
	// cov is the covariance of state, row by row.
	cov [][]float64
	// slots maps a class index to its position in state, 0 for none.
	slots []int
	// seen is the number of reports in which the class had a notable load, by position.
	seen []int
	// at is the end of the newest window with a notable load, by position.
	at    []time.Time
	last  time.Time
	first float64
	// reports is the number of reports learned from, asked when settled was first called.
	reports int
	asked   time.Time
	// spread is the mean squared prediction error relative to the expected one.
	spread float64

	// others is what other hosts know and mixed the slowdown per unit of load by own and their knowledge, by
	// class index.
	others []evidence
	mixed  []float64
}

const (
	// priorK is the slowdown per unit of load assumed for an unknown pair: half the largest seen in
	// practice, since a prior of zero would let several unknown classes meet on one worker.
	priorK = 0.15
	// priorDev is the standard deviation of k of an unknown pair.
	priorDev = 0.3
	// driftDev is the standard deviation by which k drifts in an hour.
	driftDev = 0.05
	// ownDev is the standard deviation assumed for own, baseDrift that by which base drifts in an hour.
	ownDev, baseDrift = 0.3, 0.05
	// callDev is the relative standard deviation of single execution times, modelDev that of the model
	// itself.
	callDev, modelDev = 0.8, 0.02
	// knownReports is the number of reports with a notable load after which a pair counts as known.
	// It also needs a standard deviation of at most knownDev, or maxReports reports.
	knownReports, knownDev, maxReports = 4, 0.1, 20
	// settleReports is the number of reports about a class after which trials begin, at the latest after
	// settleWait.
	settleReports, settleWait = 10, time.Minute
	// notableLoad is the load from which on a report says something about a class.
	notableLoad = 0.02
	// retryAfter is the time without a notable load after which a pair with a large estimate is tried again.
	retryAfter = 10 * time.Minute
	// surprise is the squared normalised error from which on the affected pairs are learned anew faster.
	surprise = 9
	// spreadGain is the weight of a report in the measured spread of prediction errors.
	spreadGain, minSpread, maxSpread = 0.02, 0.2, 10
)

func newModel() *model {
	return &model{state: []float64{0, 0}, cov: [][]float64{{0, 0}, {0, 0}}, seen: []int{0, 0}, at: make([]time.Time, 2), spread: 1}
}

// reference returns the mean execution time in seconds of the first report, which is the given one if there
// was none yet.
func (m *model) reference(mean time.Duration) float64 {
	if m.first == 0 {
		m.first = mean.Seconds()
	}
	return m.first
}

// slot returns the position of the class, 0 if it has none.
func (m *model) slot(c *class) int {
	if c.index < len(m.slots) {
		return m.slots[c.index]
	}
	return 0
}

func (m *model) add(c *class) int {
	for len(m.slots) <= c.index {
		m.slots = append(m.slots, 0)
	}
	n := len(m.state)
	m.slots[c.index] = n
	base := m.state[0]
	m.state = append(m.state, priorK*base)
	m.seen = append(m.seen, 0)
	m.at = append(m.at, time.Time{})
	for i := range m.cov {
		m.cov[i] = append(m.cov[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = priorDev * priorDev * base * base
	m.cov = append(m.cov, row)
	return n
}

// k returns the slowdown per unit of load by batch class c.
func (m *model) k(c *class) float64 {
	if c.index < len(m.mixed) {
		return m.mixed[c.index]
	}
	return priorK
}

// known reports whether enough reports covered the pair, here or at other hosts.
func (m *model) known(c *class) bool {
	if c.index < len(m.others) && m.others[c.index].weight > 1/(knownDev*knownDev) {
		return true
	}
	i := m.slot(c)
	return i > 0 && m.seen[i] >= knownReports && (m.cov[i][i] < knownDev*knownDev*m.state[0]*m.state[0] || m.seen[i] >= maxReports)
}

// settled reports whether the base time rests on a few reports. It gives up waiting after settleWait, for a
// host whose workers already run batch tasks or get few calls.
func (m *model) settled(now time.Time) bool {
	if m.asked.IsZero() {
		m.asked = now
	}
	return m.reports >= settleReports || now.Sub(m.asked) >= settleWait
}

// expire forgets a pair whose large estimate kept the class away for retryAfter, so that it is tried anew.
func (m *model) expire(now time.Time, c *class) {
	i := m.slot(c)
	if i == 0 || m.seen[i] < knownReports || !m.stale(now, c) {
		return
	}
	base := m.state[0]
	m.state[i], m.seen[i] = priorK*base, 0
	for j := range m.cov {
		m.cov[i][j], m.cov[j][i] = 0, 0
	}
	m.cov[i][i] = priorDev * priorDev * base * base
	m.blend()
}

// learn applies one report about worker w, attributed to what ran there between from and to.
func (m *model) learn(w *worker, u fleet.Usage, busy float64, from, to time.Time) {
	mean := u.Mean.Seconds()
	if mean <= 0 {
		return
	}
	m.reports++
	if m.state[0] == 0 {
		m.state[0] = mean
		m.cov[0][0] = 0.25 * mean * mean
		m.cov[1][1] = ownDev * ownDev * mean * mean
		m.last = to
	}
	type input struct {
		at int
		x  float64
	}
	inputs := make([]input, 2, len(w.levels)+2)
	inputs[0], inputs[1] = input{0, 1}, input{1, busy}
	for _, l := range w.levels {
		x := l.average(from, to).cores * l.class.size.ratio() / float64(w.capacity.Cores)
		if x <= 1e-4 {
			continue
		}
		at := m.slot(l.class)
		if at == 0 {
			at = m.add(l.class)
		}
		if x >= notableLoad {
			m.seen[at]++
			m.at[at] = to
		}
		inputs = append(inputs, input{at, x})
	}
	base := m.state[0]
	if dt := to.Sub(m.last); dt > 0 {
		m.last = to
		q := driftDev * driftDev * base * base * dt.Hours()
		limit := priorDev * priorDev * base * base
		for i := 2; i < len(m.state); i++ {
			m.cov[i][i] = min(m.cov[i][i]+q, max(limit, m.cov[i][i]))
		}
		m.cov[0][0] += baseDrift * baseDrift * base * base * dt.Hours()
	}
	noise := base * base * (callDev*callDev/float64(u.Calls) + modelDev*modelDev) * m.spread
	n := len(m.state)
	px := make([]float64, n)
	var s, predicted float64
	gain := func() {
		s, predicted = noise, 0
		for i := range px {
			px[i] = 0
			for _, in := range inputs {
				px[i] += m.cov[i][in.at] * in.x
			}
		}
		for _, in := range inputs {
			s += px[in.at] * in.x
			predicted += m.state[in.at] * in.x
		}
	}
	gain()
	e := mean - predicted
	m.spread += spreadGain * (min(e*e/s, 2*surprise) - 1) * m.spread
	m.spread = min(max(m.spread, minSpread), maxSpread)
	if e*e/s > surprise {
		for _, in := range inputs[2:] {
			m.cov[in.at][in.at] += 0.002 * base * base
		}
		gain()
	}
	for i := range px {
		m.state[i] += px[i] / s * e
	}
	for i := range px {
		for j := range px {
			m.cov[i][j] -= px[i] * px[j] / s
		}
	}
	m.state[0] = max(m.state[0], 0.1*mean)
	m.bound(1, 0)
	for _, in := range inputs[2:] {
		m.bound(in.at, -0.1*m.state[0])
	}
	m.blend()
}

// bound raises a state to the limit and moves the others along their covariance with it. Raising it alone
// would leave what it had explained in the base time for good.
func (m *model) bound(i int, limit float64) {
	d := limit - m.state[i]
	if d <= 0 || m.cov[i][i] <= 0 {
		return
	}
	scale := d / m.cov[i][i]
	for j := range m.state {
		m.state[j] += m.cov[j][i] * scale
	}
}

// slowdown predicts by how much the batch tasks on w, and extra cores of class c, prolong the calls of the
// urgent class u, as a fraction of the undisturbed time.
func (p *Policy) slowdown(w *worker, u, c *class, extra float64) float64 {
	var sum float64
	for _, l := range w.levels {
		if v := l.value(); v > 0 {
			sum += p.k(u, l.class) * w.load(l)
		}
	}
	if c != nil {
		sum += max(p.k(u, c), 0) * extra / float64(w.capacity.Cores)
	}
	return max(sum, 0)
}

// k returns the slowdown of urgent class u per unit of load by batch class c.
func (p *Policy) k(u, c *class) float64 {
	if p.given != nil {
		return p.given(u.name, c.name)
	}
	return u.model.k(c)
}

// known reports whether the pair needs no trial.
func (p *Policy) known(u, c *class) bool {
	return p.given != nil || u.model.known(c)
}

// Slowdown returns the learned slowdown of urgent calls per unit of a worker's cores used by the batch class,
// and whether the pair is known.
func (p *Policy) Slowdown(urgent, batch string) (k float64, known bool) {
	u, c := p.classes[urgent], p.classes[batch]
	if u == nil || c == nil || u.kind != KindUrgent {
		return priorK, false
	}
	return p.k(u, c), p.known(u, c)
}

// CallScore returns the predicted execution time of a call of the class on the worker relative to an
// undisturbed one, 1 or more; lower is better. It is +Inf for a worker that is not held. A quarantined
// worker gets calls only when no other has a slot.
func (p *Policy) CallScore(workerName, className string) float64 {
	w, u := p.workers[workerName], p.classes[className]
	if w == nil {
		return math.Inf(1)
	}
	score := 1.0
	if u != nil && u.kind == KindUrgent {
		score += p.slowdown(w, u, nil, 0)
	}
	if w.quarantined {
		score *= quarantinePenalty
	}
	return score
}
