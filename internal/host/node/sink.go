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

// lockedSink guards an aggregate by its lock and reports applied items.
type lockedSink struct {
	feed.Sink
	mu *sync.Mutex
	// after is called without the lock after an item was accepted.
	after func(item record.Item)
}

// Apply implements feed.Sink.
func (s *lockedSink) Apply(now time.Time, offset uint64, item record.Item) error {
	s.mu.Lock()
	err := s.Sink.Apply(now, offset, item)
	s.mu.Unlock()
	if err == nil {
		s.after(item)
	}
	return err
}

// Snapshot implements feed.Sink.
func (s *lockedSink) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Sink.Snapshot()
}

// Restore implements feed.Sink.
func (s *lockedSink) Restore(data []byte, base uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Sink.Restore(data, base)
}

// zoneSink applies the records of the zone's stream to the jobs and tells the other aggregates.
type zoneSink struct{ n *Node }

// Apply implements feed.Sink.
func (s *zoneSink) Apply(now time.Time, offset uint64, item record.Item) error {
	z := &s.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	ended := s.endedBy(now, item)
	if err := z.jobs.Apply(now, offset, item); err != nil {
		return err
	}
	if ended != nil {
		s.n.tellPolicy(now, *ended)
		z.dropPlacement(ended.Task)
	}
	switch item.Kind {
	case job.KindHold:
		if h, err := record.Open[job.Hold](item); err == nil {
			delete(z.doubts, h.Worker)
			z.holdings.Update(now, lease.HoldMsg{Worker: h.Worker, Host: h.Host, Boot: h.Boot, Grant: h.Grant, Offset: offset})
		}
	case job.KindHolderQuery:
		if d, err := record.Open[job.HolderQuery](item); err == nil {
			s.n.answerDoubt(now, d.Worker)
		}
	}
	return nil
}

// dropPlacement forgets the start of an attempt that has ended, with mu held. The attempt may have ended without a
// status that lists it, for example because its worker restarted, and no host starts a task that it is still placing.
func (z *zoneView) dropPlacement(id string) {
	pl, t := z.placing[id], z.jobs.Task(id)
	if pl == nil {
		return
	}
	if t == nil || t.Attempt() > pl.attempt || t.Attempt() == pl.attempt && t.State() != job.Running {
		delete(z.placing, id)
	}
}

// tellPolicy passes on the end of an attempt, also of one on a worker that another host holds, with zone.mu held.
func (n *Node) tellPolicy(now time.Time, e policy.EndMsg) {
	z := &n.zone
	if e.Outcome == policy.OutcomeFailed {
		z.failed[e.Task] = append(z.failed[e.Task], e.Worker)
	}
	if w := z.workers[e.Worker]; w != nil && w.held {
		z.policy.Update(now, e)
		return
	}
	if t := z.jobs.Task(e.Task); t != nil && (e.Outcome == policy.OutcomeDone || e.Outcome == policy.OutcomeFailed) {
		z.policy.Update(now, policy.ElsewhereMsg{Worker: e.Worker, Job: t.Job().ID(), Class: t.Job().Class(), Outcome: e.Outcome})
	}
}

// endedBy returns what the policy is told if the item ends an attempt, with zone.mu held.
func (s *zoneSink) endedBy(now time.Time, item record.Item) *policy.EndMsg {
	var id string
	var attempt int
	outcome := policy.OutcomeEvicted
	switch item.Kind {
	case job.KindEnd:
		e, err := record.Open[job.End](item)
		if err != nil {
			return nil
		}
		id, attempt, outcome = e.Task, e.Attempt, policy.OutcomeDone
		if e.Result == job.ResultFailed {
			outcome = policy.OutcomeFailed
		}
	case job.KindEvict:
		e, err := record.Open[job.Evict](item)
		if err != nil {
			return nil
		}
		id, attempt = e.Task, e.Attempt
		if e.Reason == job.ReasonRefused {
			outcome = policy.OutcomeCancelled
		}
	default:
		return nil
	}
	t := s.n.zone.jobs.Task(id)
	if t == nil || t.State() != job.Running || t.Attempt() != attempt {
		return nil
	}
	if t.Cancelling() && outcome == policy.OutcomeEvicted {
		outcome = policy.OutcomeCancelled
	}
	s.n.countEnd(now, t, outcome)
	return &policy.EndMsg{Worker: t.Worker(), Task: id, Attempt: attempt, Outcome: outcome}
}

// Snapshot implements feed.Sink.
func (s *zoneSink) Snapshot() ([]byte, error) {
	s.n.zone.mu.Lock()
	defer s.n.zone.mu.Unlock()
	return s.n.zone.jobs.Snapshot()
}

// Restore implements feed.Sink.
func (s *zoneSink) Restore(data []byte, base uint64) error {
	z := &s.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if err := z.jobs.Restore(data, base); err != nil {
		return err
	}
	for id := range z.placing {
		z.dropPlacement(id)
	}
	z.passHolds(time.Now())
	return nil
}

// countEnd counts an attempt that ended for the status. Records that are read while the host catches up happened earlier
// and are left out.
func (n *Node) countEnd(now time.Time, t *job.Task, outcome policy.Outcome) {
	if n.zone.feed == nil || n.zone.feed.Fresh().IsZero() {
		return
	}
	switch outcome {
	case policy.OutcomeDone:
		n.tallyOf(t.Job().Class()).finished.add(now)
	case policy.OutcomeEvicted:
		n.tallyOf(t.Job().Class()).evicted.add(now)
	}
}

// keyChanged wakes the requests of this host that wait for a key.
func (n *Node) keyChanged(item record.Item) {
	k, err := record.Open[struct {
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
