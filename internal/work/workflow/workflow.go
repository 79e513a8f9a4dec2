// Package workflow describes jobs that consist of steps with dependencies: what a caller submits, its validation, and
// the due times and critical path that follow from it.
//
// The package is pure: it reads no clock and performs no I/O.
package workflow

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Limits of a specification.
const (
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 256
	// MaxTasks is the largest number of tasks of one step.
	MaxTasks = 10000
	// MaxPayloadBytes is the largest size of Spec.Payload.
	MaxPayloadBytes = 64 << 10
	// MaxNameBytes is the largest size of a label, a rack or an image. An image is part of a key in the log.
	MaxNameBytes = 200
	// MaxOccurrences is the largest number of occurrences of a recurring job.
	MaxOccurrences = 100000
	// MaxEstimate is the longest estimate or target latency of a step. The sum over MaxSteps steps fits a time.Duration.
	MaxEstimate = 366 * 24 * time.Hour
	// MaxSize is the largest number in the size of a task. The sum over all tasks of a job fits 64 bits.
	MaxSize = 1e12
)

// maxTime limits the first due time, from 1970 on, and the time from there to the last one.
const maxTime = 230 * 366 * 24 * time.Hour

// ErrInvalid marks the error of a specification that can't be carried out in any state of the workers.
var ErrInvalid = errors.New("workflow: invalid specification")

// Step is a number of equal tasks.
type Step struct {
	// Tasks is the number of tasks and Size the resources that each of them needs.
	Tasks int        `msgpack:"n"`
	Size  fleet.Size `msgpack:"s"`
	// Estimate is the caller's rough estimate of the run time of one task.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists the indexes of earlier steps, counted from 0, whose tasks must all be done first.
	DependsOn []int `msgpack:"a,omitempty"`
	// Gang is set if the tasks make progress only while all of them run; they end together.
	Gang bool `msgpack:"g,omitempty"`
	// Colocated is set if the tasks are slower when they are spread over several racks.
	Colocated bool `msgpack:"c,omitempty"`
	// Label is a label that the worker must have; empty allows any worker.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack that holds the data of the tasks. They are slower in any other rack.
	DataRack string `msgpack:"r,omitempty"`
	// MaxPerWorker is the largest number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `msgpack:"p,omitempty"`
	// Speculative is set if a task may run in several copies, of which the first to finish counts.
	Speculative bool `msgpack:"v,omitempty"`
	// Checkpointing is set if the tasks save checkpoints of their progress.
	Checkpointing bool `msgpack:"k,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled. They are restarted however they end.
	LongRunning bool `msgpack:"t,omitempty"`
	// BestEffort is set if the tasks use the processor time that the other tasks of a worker leave unused. Their
	// cores are not counted against the capacity of the worker.
	BestEffort bool `msgpack:"f,omitempty"`
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string `msgpack:"i,omitempty"`
	// TargetLatency is the tail latency that long-running tasks must offer their own users; 0 means no target.
	TargetLatency time.Duration `msgpack:"x,omitempty"`
	// MaxUnavailable is the number of long-running tasks that the system may make unavailable at the same time.
	// It is -1 if no limit was given.
	MaxUnavailable int `msgpack:"d"`
}

// Reserved returns how much of a worker's capacity a task takes: the cores of best-effort tasks are not counted.
func (s *Step) Reserved() fleet.Size {
	size := s.Size
	if s.BestEffort {
		size.Cores = 0
	}
	return size
}

// Spec is the specification of a job as a caller submits it.
//
// In a valid specification each index in Step.DependsOn is below that of the step itself.
type Spec struct {
	// Payload is a text that is passed to each task unchanged.
	Payload string `msgpack:"t"`
	Steps   Steps  `msgpack:"s"`
	// FirstDue and Interval give the due times of a recurring job that has OccurrenceCount occurrences.
	// OccurrenceCount is 0 for other jobs.
	FirstDue        time.Time     `msgpack:"f,omitempty"`
	Interval        time.Duration `msgpack:"e,omitempty"`
	OccurrenceCount int           `msgpack:"n,omitempty"`
}

// Validate returns the first mistake of the specification, marked as ErrInvalid, or nil.
func (s *Spec) Validate() error {
	switch {
	case len(s.Steps) == 0:
		return invalidError("no steps")
	case len(s.Steps) > MaxSteps:
		return invalidError("%d steps, at most %d are allowed", len(s.Steps), MaxSteps)
	case len(s.Payload) > MaxPayloadBytes:
		return invalidError("text of %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	case s.OccurrenceCount < 0 || s.OccurrenceCount > MaxOccurrences:
		return invalidError("%d occurrences, at most %d are allowed", s.OccurrenceCount, MaxOccurrences)
	case s.OccurrenceCount > 1 && s.Interval <= 0:
		return invalidError("%d occurrences without an interval", s.OccurrenceCount)
	case s.OccurrenceCount > 0 &&
		(s.FirstDue.After(time.Unix(0, 0).Add(maxTime)) || s.Interval > maxTime/time.Duration(s.OccurrenceCount)):
		return invalidError("%d occurrences are not due within %v of 1970", s.OccurrenceCount, maxTime)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate returns the first mistake of the step at an index of the specification, marked as ErrInvalid, or nil.
func (s *Step) validate(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalidError("step %d: %d tasks, from 1 to %d are allowed", index, s.Tasks, MaxTasks)
	case s.Size.IsNegative():
		return invalidError("step %d: negative size", index)
	case !s.Size.Fits(fleet.Size{Cores: MaxSize, Memory: MaxSize, Accelerators: MaxSize}):
		return invalidError("step %d: size over %d", index, int64(MaxSize))
	case s.Estimate < 0 || s.TargetLatency < 0:
		return invalidError("step %d: negative time", index)
	case s.Estimate > MaxEstimate || s.TargetLatency > MaxEstimate:
		return invalidError("step %d: time over %v", index, MaxEstimate)
	case max(len(s.Label), len(s.DataRack), len(s.Image)) > MaxNameBytes:
		return invalidError("step %d: label, rack or image of over %d bytes", index, MaxNameBytes)
	case s.MaxPerWorker < 0:
		return invalidError("step %d: negative limit of tasks per worker", index)
	case s.LongRunning && s.Gang:
		return invalidError("step %d: a gang can't last", index)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return invalidError("step %d: depends on step %d, which is not an earlier one", index, dependency)
		}
	}
	return nil
}

// invalidError returns an error that is marked as ErrInvalid.
func invalidError(format string, args ...any) error {
	return errors.Mark(errors.Newf("workflow: "+format, args...), ErrInvalid)
}

// Occurrences returns how many times the steps run; it is 1 for a job that does not recur.
func (s *Spec) Occurrences() int { return max(1, s.OccurrenceCount) }

// DueTime returns when an occurrence, counted from 0, may start. It is the zero time for a job that does not recur.
func (s *Spec) DueTime(occurrence int) time.Time {
	if s.OccurrenceCount == 0 {
		return time.Time{}
	}
	return s.FirstDue.Add(time.Duration(occurrence) * s.Interval)
}

// HasLongRunning reports whether the job has long-running tasks and so never completes.
func (s *Spec) HasLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the longest sum of estimates along a chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	paths := s.RemainingPaths()
	var longest time.Duration
	for _, path := range paths {
		longest = max(longest, path)
	}
	return longest
}

// RemainingPaths returns for each step the longest sum of estimates along a chain of dependent steps that begins with
// it, the step's own estimate included.
func (s *Spec) RemainingPaths() []time.Duration {
	paths := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		paths[i] += s.Steps[i].Estimate
		for _, dependency := range s.Steps[i].DependsOn {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths
}

// CoreSeconds returns the processor time that the estimates of all tasks add up to, in core-seconds.
func (s *Spec) CoreSeconds() float64 {
	var sum float64
	for i := range s.Steps {
		st := &s.Steps[i]
		sum += float64(st.Tasks) * float64(st.Size.Cores) / 1000 * st.Estimate.Seconds()
	}
	return sum
}
