package policy

import (
	"math"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// sizeEstimates learns how much the tasks of a class use per unit declared.
type sizeEstimates struct {
	cores, memory ratioEstimate
}

// ratioEstimate is a running mean and mean deviation of a ratio of used to declared size.
type ratioEstimate struct {
	mean, deviation float64
	reports         int
}

const (
	// minReportsToShrink is the number of reports needed before less than the declared size is planned.
	minReportsToShrink = 12
	// minPlanFactor is the least fraction of the declared size that is planned. Tasks declared 4 times too large are
	// the largest error expected.
	minPlanFactor = 0.25
	// maxRatio bounds the ratio taken from one report, so that one faulty report cannot block a class.
	maxRatio = 8
	// marginDeviations is the number of mean deviations that are planned above the mean.
	marginDeviations = 2
)

func newSizeEstimates() sizeEstimates {
	return sizeEstimates{cores: ratioEstimate{mean: 1}, memory: ratioEstimate{mean: 1}}
}

// coresRatio returns the mean number of cores used per declared core.
func (s *sizeEstimates) coresRatio() float64 { return s.cores.mean }

// update takes the use of all tasks of the class on one worker in a window in which the given amounts were declared.
// It skips declared amounts below a quarter of a core or 64 MiB, which say too little.
func (s *sizeEstimates) update(used fleet.Size, declared declaredAmount) {
	if declared.cores >= 250 {
		s.cores.add(float64(used.Cores) / declared.cores)
	}
	if declared.memory >= 64 {
		s.memory.add(float64(used.Memory) / declared.memory)
	}
}

func (e *ratioEstimate) add(v float64) {
	v = min(v, maxRatio)
	e.reports++
	if e.reports == 1 {
		e.mean, e.deviation = v, 0.25*v
		return
	}
	// With a gain of at least 0.05 the estimate follows about the last 20 reports.
	a := max(0.05, 1/float64(e.reports))
	d := v - e.mean
	e.mean += a * d
	e.deviation += a * (math.Abs(d) - e.deviation)
}

// planFactor returns the planned size per declared size. Reports can raise it at once; it falls below 1 only after
// minReportsToShrink of them.
func (e *ratioEstimate) planFactor() float64 {
	if e.reports == 0 {
		return 1
	}
	f := e.mean + marginDeviations*e.deviation
	if e.reports < minReportsToShrink {
		f = max(f, 1)
	}
	return max(f, minPlanFactor)
}

// plan returns the size to plan for a task of the class, at least one thousandth of a core and 1 MiB.
func (s *sizeEstimates) plan(declared fleet.Size) fleet.Size {
	return fleet.Size{
		Cores:        max(1, int64(math.Ceil(float64(declared.Cores)*s.cores.planFactor()))),
		Memory:       max(1, int64(math.Ceil(float64(declared.Memory)*s.memory.planFactor()))),
		Accelerators: declared.Accelerators,
	}
}
