package dispatch

// interference learns how much tasks that fill raise the tails of the lasting tasks beside them. It depends on the
// pair of images: what one lasting image suffers from does not touch another. A tail grows as 1/(1-p) with the
// pressure p on the worker, so that the slack 1-p is the tail of an undisturbed task divided by the present one. What
// an image adds to the pressure is taken as linear in the cores that it uses as a share of the worker's. The load of
// the lasting tasks swings unseen and work is placed where it is low, so that only the changes between two reports of
// a worker are compared, by recursive least squares.
type interference struct {
	// models holds the coefficients for each lasting image.
	models map[string]*pressModel
	// calm is the smallest tail seen of each lasting image, in milliseconds.
	calm map[string]float64
	// changed names the lasting images of which something was learned since it was last written.
	changed map[string]struct{}
}

// pressModel is what one lasting image suffers from the images that fill.
type pressModel struct {
	// column is the place of an image among the coefficients.
	column map[string]int
	weight []float64
	// spread is the covariance of the coefficients.
	spread [][]float64
}

const (
	// priorPress is the coefficient of an image that has not been seen beside lasting tasks.
	priorPress = 0.4
	// priorSpread is the variance of a coefficient before the first report.
	priorSpread = 0.3
	// saturated is the slack below which a tail says little: there it grows faster than the model has it.
	saturated = 0.06
	// forgetting lets old reports count less: the images' behaviour changes within seconds.
	forgetting = 0.9995
	// noise is the variance of a report around the model, large since the load of lasting tasks moves unseen.
	noise = 0.006
	// maxColumns bounds the images that are learned apart; further ones have the prior.
	maxColumns = 40
)

func newInterference() *interference {
	return &interference{models: map[string]*pressModel{}, calm: map[string]float64{}, changed: map[string]struct{}{}}
}

// grow adds a coefficient.
func (m *pressModel) grow(prior float64) int {
	n := len(m.weight)
	m.weight = append(m.weight, prior)
	for i := range m.spread {
		m.spread[i] = append(m.spread[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = priorSpread
	m.spread = append(m.spread, row)
	return n
}

// press returns the pressure that an image would put on tasks of a lasting image if it used all cores of a worker.
func (m *interference) press(lasting, image string) float64 {
	if model := m.models[lasting]; model != nil {
		if c, ok := model.column[image]; ok {
			return max(0, model.weight[c])
		}
	}
	return priorPress
}

// slack returns the part of a lasting task's capacity that is not under pressure, from its tail in milliseconds.
func (m *interference) slack(image string, tail int) float64 {
	t := float64(max(1, tail))
	if c, ok := m.calm[image]; !ok || t < c {
		m.calm[image] = t
		m.changed[image] = struct{}{}
	}
	return m.calm[image] / t
}

// need is the slack at which a task's tail is at the given share of its target.
func (m *interference) need(image string, targetMillis, share float64) float64 {
	c, ok := m.calm[image]
	if !ok || targetMillis <= 0 {
		return 0
	}
	return min(1, c/(targetMillis*share))
}

// observe takes over by how much the pressure on a lasting image has changed between two reports, and by how much the
// share of the worker's cores that each image uses.
func (m *interference) observe(lasting string, pressure float64, use map[string]float64) {
	model := m.models[lasting]
	if model == nil {
		model = &pressModel{column: map[string]int{}}
		m.models[lasting] = model
	}
	for image := range use {
		if _, ok := model.column[image]; !ok && len(model.weight) < maxColumns {
			model.column[image] = model.grow(priorPress)
		}
	}
	x := make([]float64, len(model.weight))
	moved := false
	for image, share := range use {
		if c, ok := model.column[image]; ok && (share > usedMoves || share < -usedMoves) {
			x[c] = share
			moved = true
		}
	}
	if moved {
		m.changed[lasting] = struct{}{}
		model.update(x, pressure)
	}
}

// usedMoves is the smallest change of a share that teaches something.
const usedMoves = 0.02

// update is one step of recursive least squares.
func (m *pressModel) update(x []float64, pressure float64) {
	n := len(x)
	px := make([]float64, n)
	denominator, predicted := noise, 0.0
	for i := range n {
		predicted += m.weight[i] * x[i]
		for j, v := range x {
			if v != 0 {
				px[i] += m.spread[i][j] * v
			}
		}
	}
	for i, v := range x {
		denominator += v * px[i]
	}
	residual := pressure - predicted
	for i := range n {
		gain := px[i] / denominator
		m.weight[i] += gain * residual
		for j := range n {
			m.spread[i][j] = (m.spread[i][j] - gain*px[j]) / forgetting
		}
		m.spread[i][i] = min(m.spread[i][i], priorSpread)
	}
}
