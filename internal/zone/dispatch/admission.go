package dispatch

import (
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// tooLargeRetryAfter is when a caller should submit again a job for which no worker is large enough: it takes minutes
// at best until workers of another kind are added.
const tooLargeRetryAfter = time.Minute

// addCapacity keeps the capacity of a worker, unless it fits into a known one. Capacities of workers that have gone are
// kept: these workers or similar ones come back.
func (s *Scheduler) addCapacity(service string, capacity fleet.Size) {
	known := s.capacities[service]
	if slices.ContainsFunc(known, capacity.Fits) {
		return
	}
	known = slices.DeleteFunc(known, func(k fleet.Size) bool { return k.Fits(capacity) })
	s.capacities[service] = append(known, capacity)
}

// admit refuses a job with a task for which no worker of the service has been large enough in this term. Such a job
// would wait until its caller gives up. It returns the refusal and true, or false if the job is admitted.
func (s *Scheduler) admit(j *Job) (Reply, bool) {
	capacities := s.capacities[j.service]
	if len(capacities) == 0 || !s.allWorkersAccounted() {
		// Some workers may still be unknown: none has been listed yet, or those of an earlier leader are unaccounted
		// for.
		return Reply{}, false
	}
	for i := range j.spec.Steps {
		if !slices.ContainsFunc(capacities, j.spec.Steps[i].Reserved().Fits) {
			return Reply{
				Outcome: OutcomeRefused, RetryAfter: tooLargeRetryAfter, Reason: "no worker is large enough",
			}, true
		}
	}
	return Reply{}, false
}
