package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// tooLargeRetryAfter is when a caller should submit again a job for which no worker is large enough: it takes minutes
// at best until workers of another kind are added.
const tooLargeRetryAfter = time.Minute

// addCapacity keeps the capacity of a worker, unless it fits into a known one. Capacities of workers that have gone or
// shrunk are kept: these workers grow again, and they or similar ones come back.
func (s *Scheduler) addCapacity(service string, capacity fleet.Size) {
	known := s.capacities[service]
	if slices.ContainsFunc(known, capacity.Fits) {
		return
	}
	known = slices.DeleteFunc(known, func(k fleet.Size) bool { return k.Fits(capacity) })
	s.capacities[service] = append(known, capacity)
	s.journal.dirtyCapacities[service] = struct{}{}
}

// prefixCapacities is the prefix of the keys under which the capacities known of each service are stored, so that the
// next leader accepts the same jobs.
const prefixCapacities = "r/"

// capacitiesRecord is the value of a service's key.
type capacitiesRecord struct{ Capacities []fleet.Size }

// capacitiesOf returns the record of the capacities known of a service.
func (s *Scheduler) capacitiesOf(service string) Record {
	return Record{
		Key: prefixCapacities + service, Value: encode(&capacitiesRecord{Capacities: s.capacities[service]}),
	}
}

// restoreCapacities restores the capacities that an earlier leader knew of a service. It returns an error if the record
// is malformed.
func (s *Scheduler) restoreCapacities(service string, value []byte) error {
	var rec capacitiesRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode capacities of service %s", service)
	}
	for _, capacity := range rec.Capacities {
		s.addCapacity(service, capacity)
	}
	delete(s.journal.dirtyCapacities, service)
	return nil
}

// admit rejects a job that exceeds a limit, and refuses one for which there is no memory now, or with a task for which no
// worker of the service has ever been large enough. The last would wait until its caller gives up. A job that is too large
// only for the present capacities waits until one has grown again: it keeps its turn, while a refused caller would have to
// guess that moment. It returns the reply and true, or false if the job is admitted.
func (s *Scheduler) admit(j *Job) (Reply, bool) {
	if reply, rejected := s.rejectOversized(j); rejected {
		return reply, true
	}
	if reply, refused := s.refuseOverload(j); refused {
		return reply, true
	}
	if reply, refused := s.refuseOverQuota(j); refused {
		return reply, true
	}
	if reply, refused := s.refuseBacklog(j); refused {
		return reply, true
	}
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
