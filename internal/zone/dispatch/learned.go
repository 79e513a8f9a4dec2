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
	// learnedEvery is the interval at which it is written: behaviour changes within seconds.
	learnedEvery = 3 * time.Second
	// learnedSpread is the variance of a coefficient that an earlier leader has learned.
	learnedSpread = 0.03
)

// learnedRecord is what has been learned of one lasting image.
type learnedRecord struct {
	// Calm is the smallest tail in milliseconds.
	Calm float64
	// Images have the coefficients of the same place.
	Images  []string
	Weights []float64
}

// writeLearned hands what has been learned since the last time to the log.
func (s *Scheduler) writeLearned(now time.Time) {
	if now.Sub(s.learned) < learnedEvery {
		return
	}
	s.learned = now
	for _, image := range slices.Sorted(maps.Keys(s.interference.changed)) {
		rec := s.interference.record(image)
		s.journal.records = append(s.journal.records, Record{Key: prefixLearned + image, Value: encode(&rec)})
	}
	clear(s.interference.changed)
}

func (m *interference) record(image string) learnedRecord {
	rec := learnedRecord{Calm: m.calm[image]}
	if model := m.models[image]; model != nil {
		rec.Images = slices.SortedFunc(maps.Keys(model.column), func(a, b string) int { return model.column[a] - model.column[b] })
		rec.Weights = slices.Clone(model.weight)
	}
	return rec
}

// restoreLearned takes over what an earlier leader has learned of a lasting image.
func (m *interference) restoreLearned(image string, value []byte) error {
	var rec learnedRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: what was learned of image %s", image)
	}
	if len(rec.Images) != len(rec.Weights) || len(rec.Images) > maxColumns {
		return errors.Newf("dispatch: %d images and %d coefficients were learned of image %s", len(rec.Images), len(rec.Weights), image)
	}
	if rec.Calm > 0 && !math.IsInf(rec.Calm, 0) {
		m.calm[image] = rec.Calm
	}
	if len(rec.Images) == 0 {
		return nil
	}
	model := &pressModel{column: map[string]int{}}
	for i, other := range rec.Images {
		w := rec.Weights[i]
		if _, ok := model.column[other]; ok || math.IsNaN(w) || math.IsInf(w, 0) {
			return errors.Newf("dispatch: coefficient %v of %s was learned of image %s", w, other, image)
		}
		c := model.grow(w)
		model.column[other] = c
		model.spread[c][c] = learnedSpread
	}
	m.models[image] = model
	return nil
}
