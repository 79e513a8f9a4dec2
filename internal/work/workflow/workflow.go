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
	// MaxText bounds the text that is handed to each task, in bytes.
	MaxText = 64 << 10
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
	// After lists earlier steps, counted from 0, whose tasks must all be done first.
	After []int `msgpack:"a,omitempty"`
	// Gang tasks work only while all of them run, and end together.
	Gang bool `msgpack:"g,omitempty"`
	// Colocated tasks are slower when they are spread over several racks.
	Colocated bool `msgpack:"c,omitempty"`
	// Label is one that the worker must have, empty for any worker.
	Label string `msgpack:"l,omitempty"`
	// Rack holds the data of the tasks, which are slower in any other rack.
	Rack string `msgpack:"r,omitempty"`
	// Spread is the largest number of tasks of the step on one worker, 0 for any number.
	Spread int `msgpack:"p,omitempty"`
	// Speculative tasks may run in several copies, of which the first to finish counts.
	Speculative bool `msgpack:"v,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `msgpack:"k,omitempty"`
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool `msgpack:"t,omitempty"`
	// Fills tasks take what the other tasks of a worker leave unused; their cores are not counted against it.
	Fills bool `msgpack:"f,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `msgpack:"i,omitempty"`
	// Target is the tail latency that lasting tasks must offer their own users, 0 for none.
	Target time.Duration `msgpack:"x,omitempty"`
	// Disruptable is the number of lasting tasks that the system may make unavailable at the same time.
	// It is -1 if no limit was given.
	Disruptable int `msgpack:"d"`
}

// Reserved is what a task takes of a worker's capacity: the cores of tasks that fill are not counted.
func (s *Step) Reserved() fleet.Size {
	size := s.Size
	if s.Fills {
		size.Cores = 0
	}
	return size
}

// Spec is what a caller submits.
//
// Each number in After is below that of its step.
type Spec struct {
	// Text is handed to each task.
	Text  string `msgpack:"t"`
	Steps []Step `msgpack:"s"`
	// First and Every give the due times of a recurring job of Times occurrences. Times is 0 for other jobs.
	First time.Time     `msgpack:"f,omitempty"`
	Every time.Duration `msgpack:"e,omitempty"`
	Times int           `msgpack:"n,omitempty"`
}

// Validate returns the first mistake of the specification, marked as ErrInvalid.
func (s *Spec) Validate() error {
	switch {
	case len(s.Steps) == 0:
		return invalid("no steps")
	case len(s.Steps) > MaxSteps:
		return invalid("%d steps, at most %d are allowed", len(s.Steps), MaxSteps)
	case len(s.Text) > MaxText:
		return invalid("text of %d bytes, at most %d are allowed", len(s.Text), MaxText)
	case s.Times < 0 || s.Times > MaxOccurrences:
		return invalid("%d occurrences, at most %d are allowed", s.Times, MaxOccurrences)
	case s.Times > 1 && s.Every <= 0:
		return invalid("%d occurrences without an interval", s.Times)
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
	case s.Estimate < 0 || s.Target < 0:
		return invalid("step %d: negative time", index)
	case s.Spread < 0:
		return invalid("step %d: negative limit of tasks per worker", index)
	case s.Lasting && s.Gang:
		return invalid("step %d: a gang can't last", index)
	}
	for _, a := range s.After {
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
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// Due returns when an occurrence may start, the zero time for a job that does not recur.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Every)
}

// Lasts reports whether the job has lasting tasks and so never completes.
func (s *Spec) Lasts() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Chain returns the sum of the estimates along the longest chain of dependent steps.
func (s *Spec) Chain() time.Duration {
	tails := s.Tails()
	var longest time.Duration
	for _, t := range tails {
		longest = max(longest, t)
	}
	return longest
}

// Tails returns for each step the longest chain of estimates that begins with it.
func (s *Spec) Tails() []time.Duration {
	tails := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		tails[i] += s.Steps[i].Estimate
		for _, a := range s.Steps[i].After {
			tails[a] = max(tails[a], tails[i])
		}
	}
	return tails
}

// Work returns the core-seconds that the estimates add up to.
func (s *Spec) Work() float64 {
	var sum float64
	for i := range s.Steps {
		st := &s.Steps[i]
		sum += float64(st.Tasks) * float64(st.Size.Cores) / 1000 * st.Estimate.Seconds()
	}
	return sum
}
