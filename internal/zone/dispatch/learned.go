package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// prefixLearned is the prefix of the keys of what has been learned of lasting images. A new leader that knew nothing
// would keep most work away from lasting tasks until it had learned anew.
const prefixLearned = "m/"

const (
	// learnedInterval is the interval at which it is written: behaviour changes within seconds.
	learnedInterval = 3 * time.Second
	// learnedVariance is the variance of a coefficient that an earlier leader has learned.
	learnedVariance = 0.03
)

// learnedRecord is what has been learned of one lasting image.
type learnedRecord struct {
	// Baseline is the smallest tail in milliseconds.
	Baseline float64
	// Images have the coefficients of the same place.
	Images       []string
	Coefficients []float64
}

// recordLearned hands what has been learned since the last time to the log.
func (s *Scheduler) recordLearned(now time.Time) {
	if now.Sub(s.learnedWrittenAt) < learnedInterval {
		return
	}
	s.learnedWrittenAt = now
	for _, image := range slices.Sorted(maps.Keys(s.interference.changed)) {
		rec := s.interference.learnedRecord(image)
		s.journal.records = append(s.journal.records, Record{Key: prefixLearned + image, Value: encode(&rec)})
	}
	clear(s.interference.changed)
}

func (m *interferenceModel) learnedRecord(image string) learnedRecord {
	rec := learnedRecord{Baseline: m.baseline[image]}
	if model := m.models[image]; model != nil {
		rec.Images = slices.SortedFunc(maps.Keys(model.columns), func(a, b string) int { return model.columns[a] - model.columns[b] })
		rec.Coefficients = slices.Clone(model.coefficients)
	}
	return rec
}

// restoreLearned takes over what an earlier leader has learned of a lasting image.
func (m *interferenceModel) restoreLearned(image string, value []byte) error {
	var rec learnedRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: what was learned of image %s", image)
	}
	if len(rec.Images) != len(rec.Coefficients) || len(rec.Images) > maxLearnedImages {
		return errors.Newf("dispatch: %d images and %d coefficients were learned of image %s", len(rec.Images), len(rec.Coefficients), image)
	}
	if rec.Baseline > 0 && !math.IsInf(rec.Baseline, 0) {
		m.baseline[image] = rec.Baseline
	}
	if len(rec.Images) == 0 {
		return nil
	}
	model := &imageModel{columns: map[string]int{}}
	for i, other := range rec.Images {
		w := rec.Coefficients[i]
		if _, ok := model.columns[other]; ok || math.IsNaN(w) || math.IsInf(w, 0) {
			return errors.Newf("dispatch: coefficient %v of %s was learned of image %s", w, other, image)
		}
		c := model.addCoefficient(w)
		model.columns[other] = c
		model.covariance[c][c] = learnedVariance
	}
	m.models[image] = model
	return nil
}
