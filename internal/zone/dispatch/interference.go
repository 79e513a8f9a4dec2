package dispatch

// interferenceModel learns how much tasks that fill raise the tails of the lasting tasks beside them. It depends on the
// pair of images: what one lasting image suffers from does not touch another. A tail grows as 1/(1-p) with the
// pressure p on the worker, so that the slack 1-p is the tail of an undisturbed task divided by the present one. What
// an image adds to the pressure is taken as linear in the cores that it uses as a share of the worker's. The load of
// the lasting tasks swings unseen and work is placed where it is low, so that only the changes between two reports of
// a worker are compared, by recursive least squares.
type interferenceModel struct {
	// models holds the coefficients for each lasting image.
	models map[string]*imageModel
	// baseline is the smallest tail seen of each lasting image, in milliseconds.
	baseline map[string]float64
	// changed names the lasting images of which something was learned since it was last written.
	changed map[string]struct{}
}

// imageModel is what one lasting image suffers from the images that fill.
type imageModel struct {
	// columns is the place of an image among the coefficients.
	columns      map[string]int
	coefficients []float64
	// covariance is the covariance of the coefficients.
	covariance [][]float64
}

const (
	// priorCoefficient is the coefficient of an image that has not been seen beside lasting tasks.
	priorCoefficient = 0.4
	// priorVariance is the variance of a coefficient before the first report.
	priorVariance = 0.3
	// saturatedSlack is the slack below which a tail says little: there it grows faster than the model has it.
	saturatedSlack = 0.06
	// forgettingFactor lets old reports count less: the images' behaviour changes within seconds.
	forgettingFactor = 0.9995
	// noiseVariance is the variance of a report around the model, large since the load of lasting tasks moves unseen.
	noiseVariance = 0.006
	// maxLearnedImages bounds the images that are learned apart; further ones have the prior.
	maxLearnedImages = 40
)

func newInterference() *interferenceModel {
	return &interferenceModel{models: map[string]*imageModel{}, baseline: map[string]float64{}, changed: map[string]struct{}{}}
}

// addCoefficient adds a coefficient.
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

// coefficient returns the pressure that an image would put on tasks of a lasting image if it used all cores of a worker.
func (m *interferenceModel) coefficient(longRunning, image string) float64 {
	if model := m.models[longRunning]; model != nil {
		if c, ok := model.columns[image]; ok {
			return max(0, model.coefficients[c])
		}
	}
	return priorCoefficient
}

// slack returns the part of a lasting task's capacity that is not under pressure, from its tail in milliseconds.
func (m *interferenceModel) slack(image string, tail int) float64 {
	t := float64(max(1, tail))
	if c, ok := m.baseline[image]; !ok || t < c {
		m.baseline[image] = t
		m.changed[image] = struct{}{}
	}
	return m.baseline[image] / t
}

// neededSlack is the slack at which a task's tail is at the given share of its target.
func (m *interferenceModel) neededSlack(image string, targetMillis, share float64) float64 {
	c, ok := m.baseline[image]
	if !ok || targetMillis <= 0 {
		return 0
	}
	return min(1, c/(targetMillis*share))
}

// observe takes over by how much the pressure on a lasting image has changed between two reports, and by how much the
// share of the worker's cores that each image uses.
func (m *interferenceModel) observe(longRunning string, pressure float64, use map[string]float64) {
	model := m.models[longRunning]
	if model == nil {
		model = &imageModel{columns: map[string]int{}}
		m.models[longRunning] = model
	}
	for image := range use {
		if _, ok := model.columns[image]; !ok && len(model.coefficients) < maxLearnedImages {
			model.columns[image] = model.addCoefficient(priorCoefficient)
		}
	}
	x := make([]float64, len(model.coefficients))
	moved := false
	for image, share := range use {
		if c, ok := model.columns[image]; ok && (share > minUseChange || share < -minUseChange) {
			x[c] = share
			moved = true
		}
	}
	if moved {
		m.changed[longRunning] = struct{}{}
		model.update(x, pressure)
	}
}

// minUseChange is the smallest change of a share that teaches something.
const minUseChange = 0.02

// update is one step of recursive least squares.
func (m *imageModel) update(x []float64, pressure float64) {
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
	residual := pressure - predicted
	for i := range n {
		gain := px[i] / denominator
		m.coefficients[i] += gain * residual
		for j := range n {
			m.covariance[i][j] = (m.covariance[i][j] - gain*px[j]) / forgettingFactor
		}
		m.covariance[i][i] = min(m.covariance[i][i], priorVariance)
	}
}
