package policy

import (
	"math"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// sizes learns how much the tasks of a class use per unit declared.
type sizes struct {
	cores, memory estimate
}

// estimate is a running mean and mean deviation of a ratio of used to declared.
type estimate struct {
	mean, dev float64
	n         int
}

const (
	// releaseReports is the number of reports before less than the declared size is planned.
	releaseReports = 12
	// releaseFloor is the least share of the declared size that is planned. Tasks declared 4 times too
	// large are the largest error expected.
	releaseFloor = 0.25
	// raiseCeiling bounds what one class may be planned at, so that one faulty report cannot block it.
	raiseCeiling = 8
	// sizeMargin is the number of mean deviations that are planned above the mean.
	sizeMargin = 2
)

func newSizes() sizes {
	return sizes{cores: estimate{mean: 1}, memory: estimate{mean: 1}}
}

// ratio is the mean use of cores per declared core.
func (s *sizes) ratio() float64 { return s.cores.mean }

// learn takes the use of all tasks of the class on one worker in a window in which the given amounts were
// declared. Amounts below a quarter of a core or 64 MiB say too little and are skipped.
func (s *sizes) learn(used fleet.Size, declared amount) {
	if declared.cores >= 250 {
		s.cores.add(float64(used.Cores) / declared.cores)
	}
	if declared.memory >= 64 {
		s.memory.add(float64(used.Memory) / declared.memory)
	}
}

func (e *estimate) add(v float64) {
	v = min(v, raiseCeiling)
	e.n++
	if e.n == 1 {
		e.mean, e.dev = v, 0.25*v
		return
	}
	a := max(0.05, 1/float64(e.n))
	d := v - e.mean
	e.mean += a * d
	e.dev += a * (math.Abs(d) - e.dev)
}

// factor is the planned size per declared size: raised at once, lowered below 1 only after enough reports.
func (e *estimate) factor() float64 {
	if e.n == 0 {
		return 1
	}
	f := e.mean + sizeMargin*e.dev
	if e.n < releaseReports {
		f = max(f, 1)
	}
	return max(f, releaseFloor)
}

// plan returns the size to plan for a task of the class, at least one thousandth of a core and 1 MiB.
func (s *sizes) plan(declared fleet.Size) fleet.Size {
	return fleet.Size{
		Cores:        max(1, int64(math.Ceil(float64(declared.Cores)*s.cores.factor()))),
		Memory:       max(1, int64(math.Ceil(float64(declared.Memory)*s.memory.factor()))),
		Accelerators: declared.Accelerators,
	}
}
