package policy

import (
	"math"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// sizes learns how much the tasks of a class use per unit declared.
type sizeEstimates struct {
	cores, memory ratioEstimate
}

// estimate is a running mean and mean deviation of a ratio of used to declared.
type ratioEstimate struct {
	mean, deviation float64
	reports         int
}

const (
	// releaseReports is the number of reports before less than the declared size is planned.
	minReportsToShrink = 12
	// releaseFloor is the least share of the declared size that is planned. Tasks declared 4 times too
	// large are the largest error expected.
	minPlanFactor = 0.25
	// raiseCeiling bounds what one class may be planned at, so that one faulty report cannot block it.
	maxRatio = 8
	// sizeMargin is the number of mean deviations that are planned above the mean.
	marginDeviations = 2
)

func newSizeEstimates() sizeEstimates {
	return sizeEstimates{cores: ratioEstimate{mean: 1}, memory: ratioEstimate{mean: 1}}
}

// ratio is the mean use of cores per declared core.
func (s *sizeEstimates) coresRatio() float64 { return s.cores.mean }

// learn takes the use of all tasks of the class on one worker in a window in which the given amounts were
// declared. Amounts below a quarter of a core or 64 MiB say too little and are skipped.
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
	a := max(0.05, 1/float64(e.reports))
	d := v - e.mean
	e.mean += a * d
	e.deviation += a * (math.Abs(d) - e.deviation)
}

// factor is the planned size per declared size: raised at once, lowered below 1 only after enough reports.
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
