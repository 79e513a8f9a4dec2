package dispatch

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Operators may remove a queue that has accepted jobs. These run on, also under a later leader, which does not find the
// settings of the queue in its catalog.

// prefixQueue is the prefix of the keys under which the settings of the queues with accepted jobs are stored.
const prefixQueue = "q/"

// keepQueue has the settings of a queue with accepted jobs stored, if they are not yet.
func (s *Scheduler) keepQueue(q Queue) {
	if kept, ok := s.keptQueues[q.Name]; ok && kept == q {
		return
	}
	s.keptQueues[q.Name] = q
	s.journal.records = append(s.journal.records, Record{Key: prefixQueue + q.Name, Value: encode(&q)})
}

// restoreQueue restores the settings of a queue. It returns an error if the record is malformed.
func (s *Scheduler) restoreQueue(name string, value []byte) error {
	var q Queue
	if err := msgpack.Unmarshal(value, &q); err != nil {
		return errors.Wrapf(err, "dispatch: decode queue %s", name)
	}
	s.keptQueues[name] = q
	return nil
}

// forgetQueues removes the settings of removed queues without open jobs.
func (s *Scheduler) forgetQueues() {
	var unused []string
	for name := range s.keptQueues {
		if _, ok := s.catalog.Queues[name]; !ok && !s.hasOpenJob(name) {
			unused = append(unused, name)
		}
	}
	slices.Sort(unused)
	for _, name := range unused {
		delete(s.keptQueues, name)
		s.journal.records = append(s.journal.records, Record{Key: prefixQueue + name})
	}
}

// hasOpenJob reports whether the queue has a job that has not ended.
func (s *Scheduler) hasOpenJob(queue string) bool {
	for _, j := range s.jobs {
		if j.queue == queue && !j.isFinal() {
			return true
		}
	}
	return false
}
