package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Operators may remove a queue that has accepted jobs. These run on, also under a later leader, which does not find the
// settings of the queue in its catalog.

// prefixQueue is the prefix of the keys under which the settings of the queues with accepted jobs are stored.
const prefixQueue = "q/"

// queueRecord is the value of a queue's key. It has no further field: a host of another version can't decode an array of another
// length. So the class of a removed queue is not known to later leaders, which count its jobs under its name.
type queueRecord struct {
	Name               string
	Service            string
	Priority, Attempts int
	Slack              float64
	Target             time.Duration
	Advised            bool
}

// record returns the queue's record.
func (q Queue) record() queueRecord {
	return queueRecord{
		Name: q.Name, Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Slack: q.Slack, Target: q.Target,
		Advised: q.Advised,
	}
}

// keepQueue has the settings of a queue with accepted jobs stored, if they are not yet.
func (s *Scheduler) keepQueue(q Queue) {
	kept, ok := s.keptQueues[q.Name]
	s.keptQueues[q.Name] = q
	rec := q.record()
	if ok && kept.record() == rec {
		return
	}
	s.journal.records = append(s.journal.records, Record{Key: prefixQueue + q.Name, Value: encode(&rec)})
}

// restoreQueue restores the settings of a queue. It returns an error if the record is malformed.
func (s *Scheduler) restoreQueue(name string, value []byte) error {
	var rec queueRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode queue %s", name)
	}
	s.keptQueues[name] = Queue{
		Name: rec.Name, Service: rec.Service, Priority: rec.Priority, Attempts: rec.Attempts, Slack: rec.Slack,
		Target: rec.Target, Advised: rec.Advised,
	}
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
