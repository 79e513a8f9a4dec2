package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// prefixLearned is the prefix of the keys under which the interference learned of long-running images is stored. A new
// leader without it would keep most work away from long-running tasks until it had learned anew.
const prefixLearned = "m/"

const (
	// learnedInterval is the interval at which what was learned is written. It is short because behaviour changes within
	// seconds.
	learnedInterval = 3 * time.Second
	// learnedVariance is the variance of a coefficient that an earlier leader learned.
	learnedVariance = 0.03
)

// learnedRecord is the value of a long-running image's key.
type learnedRecord struct {
	// Baseline is the lowest tail latency in milliseconds.
	Baseline float64
	// Images holds the best-effort images. Coefficients holds theirs at the same index.
	Images       []string
	Coefficients []float64
}

// recordLearned adds records of what was learned since the last call to the log, at most every learnedInterval.
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

// learnedRecord returns the record of a long-running image.
func (m *interferenceModel) learnedRecord(image string) learnedRecord {
	rec := learnedRecord{Baseline: m.baseline[image]}
	if model := m.models[image]; model != nil {
		rec.Images = slices.SortedFunc(maps.Keys(model.columns), func(a, b string) int {
			return model.columns[a] - model.columns[b]
		})
		rec.Coefficients = slices.Clone(model.coefficients)
	}
	return rec
}

// restoreLearned restores what an earlier leader learned of a long-running image. It returns an error if the record is
// malformed.
func (m *interferenceModel) restoreLearned(image string, value []byte) error {
	var rec learnedRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode learned record of image %s", image)
	}
	if len(rec.Images) != len(rec.Coefficients) || len(rec.Images) > maxLearnedImages {
		return errors.Newf("dispatch: %d images and %d coefficients in learned record of image %s",
			len(rec.Images), len(rec.Coefficients), image)
	}
	if rec.Baseline > 0 && !math.IsInf(rec.Baseline, 0) {
		m.baseline[image] = rec.Baseline
	}
	if len(rec.Images) == 0 {
		return nil
	}
	model := &imageModel{columns: map[string]int{}}
	for i, other := range rec.Images {
		coefficient := rec.Coefficients[i]
		if _, ok := model.columns[other]; ok || math.IsNaN(coefficient) || math.IsInf(coefficient, 0) {
			return errors.Newf("dispatch: invalid coefficient %v of %s in learned record of image %s",
				coefficient, other, image)
		}
		c := model.addCoefficient(coefficient)
		model.columns[other] = c
		model.covariance[c][c] = learnedVariance
	}
	m.models[image] = model
	return nil
}
