// Package workflow describes jobs that consist of steps with dependencies and keeps the progress of one job.
//
// The package is pure: it reads no clock and performs no I/O.
package workflow

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Bounds of a specification.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
	// MaxTasks bounds the tasks of one step.
	MaxTasks = 10000
	// MaxPayloadBytes bounds the text that is handed to each task, in bytes.
	MaxPayloadBytes = 64 << 10
	// MaxOccurrences bounds the occurrences of a recurring job.
	MaxOccurrences = 100000
)

// ErrInvalid marks a specification that can't be carried out whatever the state of the workers.
var ErrInvalid = errors.New("workflow: invalid specification")

// Step is a number of equal tasks.
type Step struct {
	Tasks int        `msgpack:"n"`
	Size  fleet.Size `msgpack:"s"`
	// Estimate is the caller's rough guess of the run time of one task.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists earlier steps, counted from 0, whose tasks must all be done first.
	DependsOn []int `msgpack:"a,omitempty"`
	// Gang tasks work only while all of them run, and end together.
	Gang bool `msgpack:"g,omitempty"`
	// Colocated tasks are slower when they are spread over several racks.
	Colocated bool `msgpack:"c,omitempty"`
	// Label is one that the worker must have, empty for any worker.
	Label string `msgpack:"l,omitempty"`
	// DataRack holds the data of the tasks, which are slower in any other rack.
	DataRack string `msgpack:"r,omitempty"`
	// MaxPerWorker is the largest number of tasks of the step on one worker, 0 for any number.
	MaxPerWorker int `msgpack:"p,omitempty"`
	// Speculative tasks may run in several copies, of which the first to finish counts.
	Speculative bool `msgpack:"v,omitempty"`
	// Checkpointing is set if the tasks save their progress.
	Checkpointing bool `msgpack:"k,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `msgpack:"t,omitempty"`
	// BestEffort tasks take what the other tasks of a worker leave unused; their cores are not counted against it.
	BestEffort bool `msgpack:"f,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `msgpack:"i,omitempty"`
	// TargetLatency is the tail latency that lasting tasks must offer their own users, 0 for none.
	TargetLatency time.Duration `msgpack:"x,omitempty"`
	// MaxUnavailable is the number of lasting tasks that the system may make unavailable at the same time.
	// It is -1 if no limit was given.
	MaxUnavailable int `msgpack:"d"`
}

// Reserved is what a task takes of a worker's capacity: the cores of tasks that fill are not counted.
func (s *Step) Reserved() fleet.Size {
	size := s.Size
	if s.BestEffort {
		size.Cores = 0
	}
	return size
}

// Spec is what a caller submits.
//
// Each number in DependsOn is below that of its step.
type Spec struct {
	// Payload is handed to each task.
	Payload string `msgpack:"t"`
	Steps   []Step `msgpack:"s"`
	// FirstDue and Interval give the due times of a recurring job of OccurrenceCount occurrences.
	// OccurrenceCount is 0 for other jobs.
	FirstDue        time.Time     `msgpack:"f,omitempty"`
	Interval        time.Duration `msgpack:"e,omitempty"`
	OccurrenceCount int           `msgpack:"n,omitempty"`
}

// Validate returns the first mistake of the specification, marked as ErrInvalid.
func (s *Spec) Validate() error {
	switch {
	case len(s.Steps) == 0:
		return invalid("no steps")
	case len(s.Steps) > MaxSteps:
		return invalid("%d steps, at most %d are allowed", len(s.Steps), MaxSteps)
	case len(s.Payload) > MaxPayloadBytes:
		return invalid("text of %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	case s.OccurrenceCount < 0 || s.OccurrenceCount > MaxOccurrences:
		return invalid("%d occurrences, at most %d are allowed", s.OccurrenceCount, MaxOccurrences)
	case s.OccurrenceCount > 1 && s.Interval <= 0:
		return invalid("%d occurrences without an interval", s.OccurrenceCount)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalid("step %d: %d tasks, from 1 to %d are allowed", index, s.Tasks, MaxTasks)
	case s.Size.IsNegative():
		return invalid("step %d: negative size", index)
	case s.Estimate < 0 || s.TargetLatency < 0:
		return invalid("step %d: negative time", index)
	case s.MaxPerWorker < 0:
		return invalid("step %d: negative limit of tasks per worker", index)
	case s.LongRunning && s.Gang:
		return invalid("step %d: a gang can't last", index)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= index {
			return invalid("step %d: depends on step %d, which is not an earlier one", index, a)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf("workflow: "+format, args...), ErrInvalid)
}

// Occurrences returns how often the steps run: 1 for a job that does not recur.
func (s *Spec) Occurrences() int { return max(1, s.OccurrenceCount) }

// DueTime returns when an occurrence may start, the zero time for a job that does not recur.
func (s *Spec) DueTime(occurrence int) time.Time {
	if s.OccurrenceCount == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(occurrence) * s.Interval)
}

// HasLongRunning reports whether the job has lasting tasks and so never completes.
func (s *Spec) HasLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the sum of the estimates along the longest chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	tails := s.RemainingPaths()
	var longest time.Duration
	for _, t := range tails {
		longest = max(longest, t)
	}
	return longest
}

// RemainingPaths returns for each step the longest chain of estimates that begins with it.
func (s *Spec) RemainingPaths() []time.Duration {
	tails := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		tails[i] += s.Steps[i].Estimate
		for _, a := range s.Steps[i].DependsOn {
			tails[a] = max(tails[a], tails[i])
		}
	}
	return tails
}

// CoreSeconds returns the core-seconds that the estimates add up to.
func (s *Spec) CoreSeconds() float64 {
	var sum float64
	for i := range s.Steps {
		st := &s.Steps[i]
		sum += float64(st.Tasks) * float64(st.Size.Cores) / 1000 * st.Estimate.Seconds()
	}
	return sum
}
