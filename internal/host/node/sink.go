package node

import (
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// lockedSink is a sink whose methods hold a lock, and that reports accepted items.
type lockedSink struct {
	feed.Sink
	mu *sync.Mutex
	// onApplied is called without the lock after an item was accepted.
	onApplied func(item record.Item)
}

// Apply implements feed.Sink under the lock and calls onApplied if the item was accepted.
func (s *lockedSink) Apply(now time.Time, offset uint64, item record.Item) error {
	s.mu.Lock()
	err := s.Sink.Apply(now, offset, item)
	s.mu.Unlock()
	if err == nil {
		s.onApplied(item)
	}
	return err
}

// Snapshot implements feed.Sink under the lock.
func (s *lockedSink) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Sink.Snapshot()
}

// Restore implements feed.Sink under the lock.
func (s *lockedSink) Restore(data []byte, base uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Sink.Restore(data, base)
}

// zoneSink applies the records of the zone's stream to the jobs and passes what follows from them on to the lease
// manager and the policy.
type zoneSink struct{ n *Node }

// Apply implements feed.Sink. It applies the item to the jobs, reports the end of an attempt to the policy and passes
// holds and holder queries on to the lease manager.
func (s *zoneSink) Apply(now time.Time, offset uint64, item record.Item) error {
	z := &s.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	ended, class := s.attemptEnd(item)
	if err := z.jobs.Apply(now, offset, item); err != nil {
		return err
	}
	if ended != nil {
		s.n.countAttemptEnd(now, class, ended.Outcome)
		s.n.reportEnd(now, *ended)
		z.dropPlacement(ended.Task)
	}
	switch item.Kind {
	case job.KindHold:
		if h, err := record.DecodeItem[job.Hold](item); err == nil {
			delete(z.holderQueries, h.Worker)
			z.leases.Update(now, lease.HoldMsg{Worker: h.Worker, Host: h.Host, Boot: h.Boot, Grant: h.Grant, Offset: offset})
		}
	case job.KindHolderQuery:
		if query, err := record.DecodeItem[job.HolderQuery](item); err == nil {
			z.answerHolderQuery(now, query.Worker)
		}
	}
	return nil
}

// dropPlacement removes the placement of a task whose attempt has ended. Without that, an attempt that ended before a
// worker's status listed it, for example because the worker restarted, would keep its placement, and this host would
// not start the task again. The caller holds mu.
func (z *zoneView) dropPlacement(id string) {
	pl, t := z.placements[id], z.jobs.Task(id)
	if pl == nil {
		return
	}
	if t == nil || t.Attempt() > pl.attempt || t.Attempt() == pl.attempt && t.State() != job.Running {
		delete(z.placements, id)
	}
}

// reportEnd reports the end of an attempt to the policy, also if another host holds the worker, and notes the worker if
// the task failed there. The caller holds zone.mu.
func (n *Node) reportEnd(now time.Time, e policy.EndMsg) {
	z := &n.zone
	if e.Outcome == policy.OutcomeFailed {
		z.failedWorkers[e.Task] = append(z.failedWorkers[e.Task], e.Worker)
	}
	if w := z.workers[e.Worker]; w != nil && w.held {
		z.policy.Update(now, e)
		return
	}
	if t := z.jobs.Task(e.Task); t != nil && (e.Outcome == policy.OutcomeDone || e.Outcome == policy.OutcomeFailed) {
		z.policy.Update(now, policy.RemoteOutcomeMsg{
			Worker: e.Worker, Job: t.Job().ID(), Class: t.Job().Class(), Outcome: e.Outcome,
		})
	}
}

// attemptEnd returns the message for the policy and the class of the task if the item, which is not applied yet and may
// be refused, is to end a running attempt, and nil otherwise. The caller holds zone.mu.
func (s *zoneSink) attemptEnd(item record.Item) (end *policy.EndMsg, class string) {
	var id string
	var attempt int
	outcome := policy.OutcomeEvicted
	switch item.Kind {
	case job.KindEnd:
		e, err := record.DecodeItem[job.End](item)
		if err != nil {
			return nil, ""
		}
		id, attempt, outcome = e.Task, e.Attempt, policy.OutcomeDone
		if e.Result == job.ResultFailed {
			outcome = policy.OutcomeFailed
		}
	case job.KindEvict:
		e, err := record.DecodeItem[job.Evict](item)
		if err != nil {
			return nil, ""
		}
		id, attempt = e.Task, e.Attempt
		if e.Reason == job.ReasonRefused {
			outcome = policy.OutcomeCancelled
		}
	default:
		return nil, ""
	}
	t := s.n.zone.jobs.Task(id)
	if t == nil || t.State() != job.Running || t.Attempt() != attempt {
		return nil, ""
	}
	if t.Cancelling() && outcome == policy.OutcomeEvicted {
		outcome = policy.OutcomeCancelled
	}
	return &policy.EndMsg{Worker: t.Worker(), Task: id, Attempt: attempt, Outcome: outcome}, t.Job().Class()
}

// Snapshot implements feed.Sink. It returns a snapshot of the jobs.
func (s *zoneSink) Snapshot() ([]byte, error) {
	s.n.zone.mu.Lock()
	defer s.n.zone.mu.Unlock()
	return s.n.zone.jobs.Snapshot()
}

// Restore implements feed.Sink. It restores the jobs, drops the placements of attempts that have ended and passes the
// holds of the snapshot on to the lease manager. The waits of holder queries begin anew: an open query of the snapshot
// may be later than the one that this host has waited for.
func (s *zoneSink) Restore(data []byte, base uint64) error {
	z := &s.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if err := z.jobs.Restore(data, base); err != nil {
		return err
	}
	for id := range z.placements {
		z.dropPlacement(id)
	}
	clear(z.holderQueries)
	z.applyHolds(time.Now())
	return nil
}

// countAttemptEnd counts the end of an attempt for the status report. It leaves out records that are read while the
// host catches up with the log, since those attempts ended earlier. The caller holds zone.mu.
func (n *Node) countAttemptEnd(now time.Time, class string, outcome policy.Outcome) {
	if n.zone.feed == nil || n.zone.feed.FreshAsOf().IsZero() {
		return
	}
	switch outcome {
	case policy.OutcomeDone:
		n.countersOf(class).finished.add(now)
	case policy.OutcomeEvicted:
		n.countersOf(class).evicted.add(now)
	}
}

// onKeyRecord notifies the requests of this host that wait for records of the item's key.
func (n *Node) onKeyRecord(item record.Item) {
	k, err := record.DecodeItem[struct {
		Key string `msgpack:"key"`
	}](item)
	if err != nil {
		return
	}
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	for ch := range n.keys.waiters[k.Key] {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
