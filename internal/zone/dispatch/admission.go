package dispatch

import (
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// tooLargeRetryAfter is when a caller should come back with a job that no worker is large enough for: workers of another kind
// come within minutes at best.
const tooLargeRetryAfter = time.Minute

// addCapacity keeps the capacity of a worker, unless it fits into one that was seen before. Workers that have gone count
// on: they or their like come back.
func (s *Scheduler) addCapacity(service string, capacity fleet.Size) {
	known := s.capacities[service]
	if slices.ContainsFunc(known, capacity.Fits) {
		return
	}
	known = slices.DeleteFunc(known, func(k fleet.Size) bool { return k.Fits(capacity) })
	s.capacities[service] = append(known, capacity)
}

// admit refuses a job that can't be done: one with a task that no worker of the service has been large enough for in
// this term. It would wait until its caller gives up.
func (s *Scheduler) admit(j *Job) (Reply, bool) {
	capacities := s.capacities[j.service]
	if len(capacities) == 0 || !s.allWorkersAccounted() {
		// Nothing is known yet of the workers to come, or of some that an earlier leader used.
		return Reply{}, false
	}
	for i := range j.spec.Steps {
		if !slices.ContainsFunc(capacities, j.spec.Steps[i].Reserved().Fits) {
			return Reply{Outcome: OutcomeRefused, RetryAfter: tooLargeRetryAfter, Reason: "no worker is large enough"}, true
		}
	}
	return Reply{}, false
}
