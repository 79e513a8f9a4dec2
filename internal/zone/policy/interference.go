package policy

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// interferenceModel learns how much batch classes slow down the calls of one urgent class. An urgent and a batch class
// together are called a pair. The model predicts the mean execution time in a window as
//
//	mean = base * (1 + own * busy + sum over batch classes of k * load)
//
// where base is the undisturbed execution time, busy is the fraction of the worker's slots that urgent calls kept
// busy, and load is the fraction of the worker's cores that the batch class used in that window. The model is a
// Kalman filter over base and the products of base with own and k. It keeps the full covariance because base and k
// are strongly correlated when every worker always runs batch tasks.
type interferenceModel struct {
	// state[0] is base in seconds, state[1] is base*own, and the others are base*k of the batch classes by position.
	state []float64
	// covariance is the covariance of state, row by row.
	covariance [][]float64
	// positions maps the index of a class to its position in state, 0 for none.
	positions []int
	// reportCounts is the number of reports in which the class had a notable load, by position.
	reportCounts []int
	// lastNotableAt is the end of the newest window with a notable load, by position.
	lastNotableAt []time.Time
	updatedAt     time.Time
	// firstMean is the mean execution time in seconds of the first report, 0 before it.
	firstMean float64
	// reports is the number of reports learned from; settleStartedAt is when isSettled was first called.
	reports         int
	settleStartedAt time.Time
	// errorScale is the mean squared prediction error relative to the expected one.
	errorScale float64

	// remote holds the sums over the estimates of other hosts, combined the slowdown per unit of load from local and
	// remote estimates. Both are by class index.
	remote   []weightedSum
	combined []float64
}

const (
	// priorSlowdown is the slowdown per unit of load assumed for an unknown pair: half the largest seen in
	// practice. With a prior of zero, several unknown classes could meet on one worker.
	priorSlowdown = 0.15
	// priorStdDev is the standard deviation of k of an unknown pair.
	priorStdDev = 0.3
	// slowdownDriftStdDev is the standard deviation of the drift of k in an hour.
	slowdownDriftStdDev = 0.05
	// urgentLoadStdDev is the standard deviation assumed for own, baseDriftStdDev that of the drift of base in an hour.
	urgentLoadStdDev, baseDriftStdDev = 0.3, 0.05
	// callStdDev is the relative standard deviation of single execution times, modelStdDev that of the model itself.
	callStdDev, modelStdDev = 0.8, 0.02
	// minKnownReports is the number of reports with a notable load after which a pair counts as known. The pair also
	// needs a standard deviation below maxKnownStdDev, or sufficientReports reports.
	minKnownReports, maxKnownStdDev, sufficientReports = 4, 0.1, 20
	// minSettleReports is the number of reports about an urgent class after which batch classes may be tried with it;
	// trials begin after maxSettleWait at the latest.
	minSettleReports, maxSettleWait = 10, time.Minute
	// minNotableLoad is the load from which a report counts as information about a class.
	minNotableLoad = 0.02
	// staleAfter is the time without a notable load after which a pair with a large estimate is tried again.
	staleAfter = 10 * time.Minute
	// outlierThreshold is the squared normalized prediction error above which the variances of the pairs involved are
	// raised, so that they are learned again faster.
	outlierThreshold = 9
	// errorScaleGain is the weight of a report in errorScale, which stays between minErrorScale and maxErrorScale.
	errorScaleGain, minErrorScale, maxErrorScale = 0.02, 0.2, 10
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{
		state: []float64{0, 0}, covariance: [][]float64{{0, 0}, {0, 0}}, reportCounts: []int{0, 0},
		lastNotableAt: make([]time.Time, 2), errorScale: 1}
}

// referenceMean returns the mean execution time in seconds of the first report. If there was none, the given mean is
// stored as the first.
func (m *interferenceModel) referenceMean(mean time.Duration) float64 {
	if m.firstMean == 0 {
		m.firstMean = mean.Seconds()
	}
	return m.firstMean
}

// position returns the position of the class in state, 0 if it has none.
func (m *interferenceModel) position(c *class) int {
	if c.index < len(m.positions) {
		return m.positions[c.index]
	}
	return 0
}

// addClass adds the batch class to the state with the prior slowdown and returns its position.
func (m *interferenceModel) addClass(c *class) int {
	for len(m.positions) <= c.index {
		m.positions = append(m.positions, 0)
	}
	n := len(m.state)
	m.positions[c.index] = n
	base := m.state[0]
	m.state = append(m.state, priorSlowdown*base)
	m.reportCounts = append(m.reportCounts, 0)
	m.lastNotableAt = append(m.lastNotableAt, time.Time{})
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = priorStdDev * priorStdDev * base * base
	m.covariance = append(m.covariance, row)
	return n
}

// slowdown returns the slowdown per unit of load by batch class c.
func (m *interferenceModel) slowdown(c *class) float64 {
	if c.index < len(m.combined) {
		return m.combined[c.index]
	}
	return priorSlowdown
}

// isKnown reports whether enough reports covered the pair, here or at other hosts.
func (m *interferenceModel) isKnown(c *class) bool {
	if c.index < len(m.remote) && m.remote[c.index].weight > 1/(maxKnownStdDev*maxKnownStdDev) {
		return true
	}
	i := m.position(c)
	return i > 0 && m.reportCounts[i] >= minKnownReports &&
		(m.covariance[i][i] < maxKnownStdDev*maxKnownStdDev*m.state[0]*m.state[0] || m.reportCounts[i] >= sufficientReports)
}

// isSettled reports whether the base time rests on enough reports. From maxSettleWait after its first call it always
// does, for hosts whose workers already run batch tasks or get few calls.
func (m *interferenceModel) isSettled(now time.Time) bool {
	if m.settleStartedAt.IsZero() {
		m.settleStartedAt = now
	}
	return m.reports >= minSettleReports || now.Sub(m.settleStartedAt) >= maxSettleWait
}

// resetStale resets a pair to the prior if its estimate is so large that it has had no notable load for staleAfter. The
// pair is then tried again.
func (m *interferenceModel) resetStale(now time.Time, c *class) {
	i := m.position(c)
	if i == 0 || m.reportCounts[i] < minKnownReports || !m.isStale(now, c) {
		return
	}
	base := m.state[0]
	m.state[i], m.reportCounts[i] = priorSlowdown*base, 0
	for j := range m.covariance {
		m.covariance[i][j], m.covariance[j][i] = 0, 0
	}
	m.covariance[i][i] = priorStdDev * priorStdDev * base * base
	m.combine()
}

// update applies one report about calls at worker w, attributed to the batch tasks that ran there between from and to.
// busy is the fraction of the worker's slots that urgent calls kept busy.
func (m *interferenceModel) update(w *worker, usage fleet.Usage, busy float64, from, to time.Time) {
	mean := usage.Mean.Seconds()
	if mean <= 0 {
		return
	}
	m.reports++
	if m.state[0] == 0 {
		// The standard deviation of the first base time is assumed to be half of it.
		m.state[0] = mean
		m.covariance[0][0] = 0.25 * mean * mean
		m.covariance[1][1] = urgentLoadStdDev * urgentLoadStdDev * mean * mean
		m.updatedAt = to
	}
	// An input is a position in state and the factor of that state in the predicted mean.
	type input struct {
		position int
		factor   float64
	}
	inputs := make([]input, 2, len(w.histories)+2)
	inputs[0], inputs[1] = input{0, 1}, input{1, busy}
	for _, hist := range w.histories {
		load := hist.average(from, to).cores * hist.class.size.coresRatio() / float64(w.capacity.Cores)
		if load <= 1e-4 {
			continue
		}
		at := m.position(hist.class)
		if at == 0 {
			at = m.addClass(hist.class)
		}
		if load >= minNotableLoad {
			m.reportCounts[at]++
			m.lastNotableAt[at] = to
		}
		inputs = append(inputs, input{at, load})
	}
	base := m.state[0]
	if dt := to.Sub(m.updatedAt); dt > 0 {
		m.updatedAt = to
		drift := slowdownDriftStdDev * slowdownDriftStdDev * base * base * dt.Hours()
		limit := priorStdDev * priorStdDev * base * base
		for i := 2; i < len(m.state); i++ {
			m.covariance[i][i] = min(m.covariance[i][i]+drift, max(limit, m.covariance[i][i]))
		}
		m.covariance[0][0] += baseDriftStdDev * baseDriftStdDev * base * base * dt.Hours()
	}
	noise := base * base * (callStdDev*callStdDev/float64(usage.Calls) + modelStdDev*modelStdDev) * m.errorScale
	n := len(m.state)
	crossCovariance := make([]float64, n)
	var errorVariance, predicted float64
	predict := func() {
		errorVariance, predicted = noise, 0
		for i := range crossCovariance {
			crossCovariance[i] = 0
			for _, in := range inputs {
				crossCovariance[i] += m.covariance[i][in.position] * in.factor
			}
		}
		for _, in := range inputs {
			errorVariance += crossCovariance[in.position] * in.factor
			predicted += m.state[in.position] * in.factor
		}
	}
	predict()
	predictionError := mean - predicted
	m.errorScale += errorScaleGain * (min(predictionError*predictionError/errorVariance, 2*outlierThreshold) - 1) *
		m.errorScale
	m.errorScale = min(max(m.errorScale, minErrorScale), maxErrorScale)
	if predictionError*predictionError/errorVariance > outlierThreshold {
		for _, in := range inputs[2:] {
			m.covariance[in.position][in.position] += 0.002 * base * base
		}
		predict()
	}
	for i := range crossCovariance {
		m.state[i] += crossCovariance[i] / errorVariance * predictionError
	}
	for i := range crossCovariance {
		for j := range crossCovariance {
			m.covariance[i][j] -= crossCovariance[i] * crossCovariance[j] / errorVariance
		}
	}
	// The lower limits are a tenth of the measured mean for base, 0 for own and -0.1 for the k of the inputs.
	m.state[0] = max(m.state[0], 0.1*mean)
	m.raiseTo(1, 0)
	for _, in := range inputs[2:] {
		m.raiseTo(in.position, -0.1*m.state[0])
	}
	m.combine()
}

// raiseTo raises a state to the limit and moves the others along their covariance with it. If it were raised alone, the
// base time would permanently keep the part that this state had explained.
func (m *interferenceModel) raiseTo(i int, limit float64) {
	d := limit - m.state[i]
	if d <= 0 || m.covariance[i][i] <= 0 {
		return
	}
	scale := d / m.covariance[i][i]
	for j := range m.state {
		m.state[j] += m.covariance[j][i] * scale
	}
}

// workerSlowdown predicts by how much the batch tasks on w, and extra thousandths of a core of class c, prolong the
// calls of the urgent class u, as a fraction of the undisturbed time.
func (p *Policy) workerSlowdown(w *worker, u, c *class, extra float64) float64 {
	var sum float64
	for _, hist := range w.histories {
		if v := hist.currentCores(); v > 0 {
			sum += p.pairSlowdown(u, hist.class) * w.load(hist)
		}
	}
	if c != nil {
		sum += max(p.pairSlowdown(u, c), 0) * extra / float64(w.capacity.Cores)
	}
	return max(sum, 0)
}

// pairSlowdown returns the slowdown of urgent class u per unit of load by batch class c.
func (p *Policy) pairSlowdown(u, c *class) float64 {
	if p.fixedSlowdown != nil {
		return p.fixedSlowdown(u.name, c.name)
	}
	return u.interference.slowdown(c)
}

// isPairKnown reports whether the pair needs no trial.
func (p *Policy) isPairKnown(u, c *class) bool {
	return p.fixedSlowdown != nil || u.interference.isKnown(c)
}

// Slowdown returns the learned slowdown of urgent calls per unit of load by the batch class, and whether the pair is
// known. A load of 1 uses all cores of a worker.
func (p *Policy) Slowdown(urgent, batch string) (k float64, known bool) {
	u, c := p.classes[urgent], p.classes[batch]
	if u == nil || c == nil || u.kind != KindUrgent {
		return priorSlowdown, false
	}
	return p.pairSlowdown(u, c), p.isPairKnown(u, c)
}

// CallScore returns the predicted execution time of a call of the class on the worker relative to an undisturbed call;
// lower is better. It is at least 1 and +Inf for a worker that is not held. The score of a quarantined worker is so
// high that it gets calls only when no other worker has a slot.
func (p *Policy) CallScore(workerName, className string) float64 {
	w, u := p.workers[workerName], p.classes[className]
	if w == nil {
		return math.Inf(1)
	}
	score := 1.0
	if u != nil && u.kind == KindUrgent {
		score += p.workerSlowdown(w, u, nil, 0)
	}
	if w.quarantined {
		score *= quarantineScoreFactor
	}
	return score
}
