package dispatch

// interferenceModel learns how much best-effort tasks raise the tail latencies of the long-running tasks beside them.
// The effect depends on the pair of images: what disturbs one long-running image may not affect another. A tail latency
// grows as 1/(1-p) with the pressure p on the worker, so the headroom 1-p is the latency of an undisturbed task divided
// by the present one. The pressure that an image adds is taken as linear in the share of the worker's cores that it
// uses. The load of the long-running tasks varies unobserved, and work is placed where it is low. So only the changes
// between two reports of a worker are compared, by recursive least squares.
type interferenceModel struct {
	// models holds the coefficients for each long-running image.
	models map[string]*imageModel
	// baseline is the lowest tail latency seen of each long-running image, in milliseconds.
	baseline map[string]float64
	// changed names the long-running images of which something was learned since the last write.
	changed map[string]struct{}
}

// imageModel holds how much one long-running image is disturbed by each best-effort image.
type imageModel struct {
	// columns holds the index of each best-effort image among the coefficients.
	columns      map[string]int
	coefficients []float64
	// covariance is the covariance of the coefficients.
	covariance [][]float64
}

const (
	// priorCoefficient is the coefficient of an image that was not seen beside the long-running image yet.
	priorCoefficient = 0.4
	// priorVariance is the variance of a coefficient before the first report. It also bounds the variance later, which
	// forgetting would otherwise raise without bound for an image that is not seen.
	priorVariance = 0.3
	// saturatedHeadroom is the headroom below which a latency is not used for learning: there it grows faster than in
	// the model.
	saturatedHeadroom = 0.06
	// forgettingFactor lowers the weight of old reports, since the behaviour of images changes within seconds.
	forgettingFactor = 0.9995
	// noiseVariance is the variance of a report around the model. It is large because the load of long-running tasks
	// varies unobserved.
	noiseVariance = 0.006
	// maxLearnedImages bounds the best-effort images that are learned separately. Further ones have the prior
	// coefficient.
	maxLearnedImages = 40
)

// newInterferenceModel returns a model that has learned nothing.
func newInterferenceModel() *interferenceModel {
	return &interferenceModel{
		models: map[string]*imageModel{}, baseline: map[string]float64{}, changed: map[string]struct{}{},
	}
}

// addCoefficient adds a coefficient with the given value and returns its index.
func (m *imageModel) addCoefficient(prior float64) int {
	n := len(m.coefficients)
	m.coefficients = append(m.coefficients, prior)
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = priorVariance
	m.covariance = append(m.covariance, row)
	return n
}

// coefficient returns the pressure that a best-effort image would put on a long-running image if it used all cores of
// the worker.
func (m *interferenceModel) coefficient(longRunning, image string) float64 {
	if model := m.models[longRunning]; model != nil {
		if c, ok := model.columns[image]; ok {
			return max(0, model.coefficients[c])
		}
	}
	return priorCoefficient
}

// headroom returns the share of a long-running task's capacity that is not under pressure, from its tail latency in
// milliseconds. It lowers the image's baseline if the latency is the lowest seen.
func (m *interferenceModel) headroom(image string, tail int) float64 {
	t := float64(max(1, tail))
	if baseline, ok := m.baseline[image]; !ok || t < baseline {
		m.baseline[image] = t
		m.changed[image] = struct{}{}
	}
	return m.baseline[image] / t
}

// neededHeadroom returns the headroom at which an image's tail latency is at the given share of its target, 0 if the
// baseline or the target is not known.
func (m *interferenceModel) neededHeadroom(image string, targetMillis, share float64) float64 {
	baseline, ok := m.baseline[image]
	if !ok || targetMillis <= 0 {
		return 0
	}
	return min(1, baseline/(targetMillis*share))
}

// observe updates the model with the change of the pressure on a long-running image between two reports, and the change
// of the share of the worker's cores that each best-effort image uses.
func (m *interferenceModel) observe(longRunning string, pressureChange float64, useChange map[string]float64) {
	model := m.models[longRunning]
	if model == nil {
		model = &imageModel{columns: map[string]int{}}
		m.models[longRunning] = model
	}
	for image := range useChange {
		if _, ok := model.columns[image]; !ok && len(model.coefficients) < maxLearnedImages {
			model.columns[image] = model.addCoefficient(priorCoefficient)
		}
	}
	x := make([]float64, len(model.coefficients))
	moved := false
	for image, share := range useChange {
		if c, ok := model.columns[image]; ok && (share > minUseChange || share < -minUseChange) {
			x[c] = share
			moved = true
		}
	}
	if moved {
		m.changed[longRunning] = struct{}{}
		model.update(x, pressureChange)
	}
}

// minUseChange is the smallest change of a used share from which the model learns.
const minUseChange = 0.02

// update performs one step of recursive least squares.
func (m *imageModel) update(x []float64, pressureChange float64) {
	n := len(x)
	px := make([]float64, n)
	denominator, predicted := noiseVariance, 0.0
	for i := range n {
		predicted += m.coefficients[i] * x[i]
		for j, v := range x {
			if v != 0 {
				px[i] += m.covariance[i][j] * v
			}
		}
	}
	for i, v := range x {
		denominator += v * px[i]
	}
	residual := pressureChange - predicted
	for i := range n {
		gain := px[i] / denominator
		m.coefficients[i] += gain * residual
		for j := range n {
			m.covariance[i][j] = (m.covariance[i][j] - gain*px[j]) / forgettingFactor
		}
		m.covariance[i][i] = min(m.covariance[i][i], priorVariance)
	}
}
