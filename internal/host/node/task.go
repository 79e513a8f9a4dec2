package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/capacity"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

const (
	schedulePeriod = 100 * time.Millisecond
	policyPeriod   = time.Second
	// perClass bounds the pending tasks of a class that are looked at in one round.
	perClass = 32
	// rotation is how long a pending task is one host's to start before it becomes the next one's.
	rotation = 2 * time.Second
	// deadFor is how long a worker must not have answered this host before its tasks are doubted.
	deadFor = time.Minute
)

// placement is a task attempt that this host is starting.
type placement struct {
	worker  string
	attempt int
	// sent is set once the start may have reached the worker. It may start until the worker's clock passes before.
	sent   bool
	before time.Duration
}

// schedule starts pending tasks that are this host's to start.
func (n *Node) schedule(now time.Time) {
	if !n.mayStart(now) {
		return
	}
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, class := range z.jobs.Classes() {
		looked := 0
		for t := range z.jobs.Pending(class) {
			if looked++; looked > perClass {
				break
			}
			if z.placements[t.ID()] != nil || z.recordPending[t.ID()] || t.Job().Cancelled() {
				continue
			}
			if n.starter(now, t, hosts) == n.cfg.Host {
				n.place(now, t)
			}
		}
	}
}

// mayStart reports whether this host may start tasks at all.
func (n *Node) mayStart(now time.Time) bool {
	if n.stopping.Load() || now.Sub(n.configFreshAt()) > n.cfg.Freshness.MaxConfigAge {
		return false
	}
	select {
	case <-n.zone.feed.Ready():
	default:
		return false
	}
	return now.Sub(n.zone.feed.FreshAsOf()) <= n.cfg.Freshness.MaxConfigAge && !n.zoneOut(n.cfg.Zone)
}

// zoneOut reports whether operators have taken the zone out, as far as this host knows.
func (n *Node) zoneOut(zone string) bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	z, _, ok := n.config.state.Zone(zone)
	return ok && z.TakenOut
}

// starter returns the host that is to start the task: the hosts take turns in the order of a rendezvous hash,
// so that a task whose first host has no room reaches the others.
func (n *Node) starter(now time.Time, t *job.Task, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	turn := int(now.Sub(n.zone.jobs.PendingSince(t)) / rotation)
	first := int(xxhash.Sum64String(t.ID()) % uint64(len(hosts)))
	return hosts[(first+max(turn, 0))%len(hosts)]
}

// place chooses a worker for the task and begins its start, with zone.mu held.
func (n *Node) place(now time.Time, t *job.Task) {
	z := &n.zone
	j := t.Job()
	attempt := t.Attempt() + 1
	p, ok := z.policy.PlaceTask(now, policy.Candidate{
		Task: t.ID(), Job: j.ID(), Class: j.Class(), Team: j.Team(), Size: j.Size(), Attempts: t.Attempt(),
		FailedOn: z.failedWorkers[t.ID()],
	})
	if !ok {
		if p.Park {
			n.settle(t.ID(), "park", func() (record.Item, error) {
				return job.ParkItem(job.Park{Task: t.ID(), Reason: string(p.Reason)})
			}, nil)
		}
		return
	}
	key := capacity.Key{ID: t.ID(), Attempt: attempt}
	if !z.leases.AcceptsBatch(p.Worker, now) || !z.capacity.ReserveTask(p.Worker, key, p.Size) {
		return
	}
	fence, _ := z.leases.Fence(p.Worker, now)
	z.policy.Update(now, policy.StartMsg{
		Worker: p.Worker, Task: t.ID(), Job: j.ID(), Class: j.Class(), Team: j.Team(),
		Attempt: attempt, Declared: j.Size(), Planned: p.Size,
	})
	pl := &placement{worker: p.Worker, attempt: attempt}
	z.placements[t.ID()] = pl
	start := job.Start{Task: t.ID(), Attempt: attempt, Worker: p.Worker, Boot: fence.Boot, Host: n.cfg.Host}
	order := fleet.Order{
		Task: t.ID(), Attempt: attempt, Class: j.Class(), Size: p.Size, Checkpoint: t.Checkpoint(), Body: j.Body(),
	}
	pending := now.Sub(z.jobs.PendingSince(t))
	team := j.Team()
	n.runBackground(func(ctx context.Context) {
		if n.start(ctx, pl, start, order) && n.metrics != nil {
			n.metrics.RecordTaskStart(ctx, order.Class, team, pending)
		}
	})
}

// start records a start and sends it once the record was read back as valid. It reports whether the start may have
// reached the worker.
func (n *Node) start(ctx context.Context, pl *placement, s job.Start, o fleet.Order) bool {
	key := capacity.Key{ID: s.Task, Attempt: s.Attempt}
	err := n.writeZone(ctx, "start", func() (record.Item, error) { return job.StartItem(s) })
	if err != nil {
		// If the record still takes effect, its task is listed as running here without a placement, and is
		// then evicted as never sent.
		n.abandonStart(pl, key, s)
		return false
	}
	fence, address, ok := n.fenceFor(time.Now(), pl, s)
	if !ok {
		n.refuseStart(ctx, pl, key, s)
		return false
	}
	o.Fence = fence
	sendCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err = n.fleet.Start(sendCtx, address, o)
	if errors.Is(err, fleet.ErrRefused) || errors.Is(err, fleet.ErrNotSent) {
		n.log.WithError(err).WithField("task", s.Task).Info("Worker refused a start.")
		n.refuseStart(ctx, pl, key, s)
		return false
	}
	if err != nil {
		n.log.WithError(err).WithField("task", s.Task).Info("Start was not confirmed; the worker's status will tell.")
	}
	n.zone.mu.Lock()
	n.zone.capacity.AbandonTask(s.Worker, key, fence.Before)
	n.zone.mu.Unlock()
	return true
}

// fenceFor checks, immediately before the send, that the start is still allowed.
func (n *Node) fenceFor(now time.Time, pl *placement, s job.Start) (fleet.Fence, string, bool) {
	if !n.mayStart(now) {
		return fleet.Fence{}, "", false
	}
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	t := z.jobs.Task(s.Task)
	fence, held := z.leases.Fence(s.Worker, now)
	if t == nil || t.State() != job.Running || t.Attempt() != s.Attempt || t.Cancelling() ||
		!held || !z.leases.AcceptsBatch(s.Worker, now) || fence.Boot != s.Boot {
		return fleet.Fence{}, "", false
	}
	pl.sent, pl.before = true, fence.Before
	return fence, z.workers[s.Worker].address, true
}

// refuseStart evicts an attempt that was certainly not started.
func (n *Node) refuseStart(ctx context.Context, pl *placement, key capacity.Key, s job.Start) {
	_ = n.writeZone(ctx, "evict", func() (record.Item, error) {
		return job.EvictItem(job.Evict{Task: s.Task, Attempt: s.Attempt, Reason: job.ReasonRefused, Host: n.cfg.Host})
	})
	n.abandonStart(pl, key, s)
}

// abandonStart gives the reservation of a start back.
func (n *Node) abandonStart(pl *placement, key capacity.Key, s job.Start) {
	now := time.Now()
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	z.capacity.ReleaseTask(now, s.Worker, key)
	z.policy.Update(now, policy.EndMsg{Worker: s.Worker, Task: s.Task, Attempt: s.Attempt, Outcome: policy.OutcomeCancelled})
	if z.placements[s.Task] == pl {
		delete(z.placements, s.Task)
	}
}

// reconcile compares the tasks that the zone's stream has as running on a worker with its status. It returns the
// effects that settle differences. zone.mu is held, and the status is complete and under this host's lease.
func (n *Node) reconcile(now time.Time, w *workerView) []func(context.Context) {
	z := &n.zone
	var effects []func(context.Context)
	add := func(e func(context.Context)) {
		if e != nil {
			effects = append(effects, e)
		}
	}
	running := map[string]bool{}
	for _, t := range z.jobs.RunningOn(w.status.Worker) {
		running[t.ID()] = true
		known, listed := w.tasks[t.ID()]
		switch {
		case listed && known.Attempt == t.Attempt():
			add(n.follow(now, w, t, known))
		case w.status.Boot != t.Boot():
			add(n.evict(t, job.ReasonRestarted, nil))
		case n.neverStarted(w, t):
			add(n.evict(t, job.ReasonRefused, nil))
		}
	}
	fence, held := z.leases.Fence(w.status.Worker, now)
	if !held {
		return effects
	}
	// A task that the stream does not have as running here must not go on. The stream has every start before the
	// worker does, so this is certain once a read that was sent after the task was first listed reached the end.
	// Reads complete seconds after they were sent, hence the time of the first listing is kept.
	strays := map[fleet.TaskRef]time.Time{}
	var done []fleet.TaskRef
	for id, t := range w.tasks {
		if running[id] && z.jobs.Task(id).Attempt() == t.Attempt {
			continue
		}
		ref := fleet.TaskRef{ID: id, Attempt: t.Attempt}
		since, known := w.strays[ref]
		if !known {
			since = now
		}
		strays[ref] = since
		switch {
		case !z.feed.FreshAsOf().After(since):
		case t.State == fleet.TaskRunning:
			add(n.control(w.address, fence, t, fleet.ActionStop, 0))
		default:
			done = append(done, ref)
		}
	}
	w.strays = strays
	if len(done) > 0 {
		add(n.forget(w, fence, done))
	}
	return effects
}

// forget returns the effect that makes a worker drop finished attempts. They stay listed here until it has confirmed.
func (n *Node) forget(w *workerView, f fleet.Fence, done []fleet.TaskRef) func(context.Context) {
	address := w.address
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		if err := n.fleet.Forget(ctx, address, f, done); err != nil {
			n.log.WithError(err).Debug("Finished tasks were not forgotten; trying again with the next status.")
			return
		}
		n.zone.mu.Lock()
		defer n.zone.mu.Unlock()
		for _, r := range done {
			if w.tasks[r.ID].Attempt == r.Attempt {
				delete(w.tasks, r.ID)
			}
		}
	}
}

// neverStarted reports whether an attempt that the worker's status lacks will certainly not start there.
// Messages of earlier holders are refused by their grant, so only a start by this process is in doubt.
func (n *Node) neverStarted(w *workerView, t *job.Task) bool {
	pl := n.zone.placements[t.ID()]
	if pl == nil || pl.attempt != t.Attempt() {
		return true
	}
	if !pl.sent || w.status.Clock <= pl.before {
		return false
	}
	delete(n.zone.placements, t.ID())
	return true
}

// follow handles a running attempt that its worker lists.
func (n *Node) follow(now time.Time, w *workerView, t *job.Task, known fleet.Task) func(context.Context) {
	z := &n.zone
	if pl := z.placements[t.ID()]; pl != nil && pl.sent {
		delete(z.placements, t.ID())
	}
	j := t.Job()
	switch known.State {
	case fleet.TaskDone, fleet.TaskFailed:
		result := job.ResultDone
		if known.State == fleet.TaskFailed {
			result = job.ResultFailed
		}
		id, class := t.ID(), j.Class()
		return n.settleLater(id, "end", func() (record.Item, error) {
			return job.EndItem(job.End{Task: id, Attempt: known.Attempt, Result: result, Output: bounded(known.Output, job.MaxOutput)})
		}, func(ctx context.Context) { n.metrics.RecordTaskEnd(ctx, class, string(result)) })
	case fleet.TaskStopped:
		return n.evict(t, job.ReasonStopped, known.Checkpoint)
	}
	z.policy.Update(now, policy.StartMsg{
		Worker: w.status.Worker, Task: t.ID(), Job: j.ID(), Class: j.Class(), Team: j.Team(),
		Attempt: known.Attempt, Declared: j.Size(), Planned: known.Size, CPUPercent: known.Share,
	})
	if t.Cancelling() {
		if fence, ok := z.leases.Fence(w.status.Worker, now); ok {
			return n.control(w.address, fence, known, fleet.ActionStop, 0)
		}
	}
	return nil
}

// bounded cuts data to at most n bytes.
func bounded(data []byte, n int) []byte {
	if len(data) > n {
		return data[:n]
	}
	return data
}

// evict returns the effect that records an attempt as evicted.
func (n *Node) evict(t *job.Task, reason job.EvictReason, checkpoint []byte) func(context.Context) {
	e := job.Evict{Task: t.ID(), Attempt: t.Attempt(), Reason: reason, Host: n.cfg.Host}
	if len(checkpoint) <= job.MaxCheckpoint {
		e.Checkpoint = checkpoint
	}
	switch reason {
	case job.ReasonNoHolder:
		e.HolderQuery, _ = n.zone.jobs.OpenHolderQuery(t.Worker())
	case job.ReasonRestarted, job.ReasonRefused:
		// They are concluded from a status, which the record names, so that an old one is not believed.
		if w := n.zone.workers[t.Worker()]; w != nil {
			e.Boot, e.Grant = w.status.Boot, w.status.Grant
		}
	}
	class := t.Job().Class()
	return n.settleLater(t.ID(), "evict", func() (record.Item, error) { return job.EvictItem(e) },
		func(ctx context.Context) { n.metrics.RecordTaskEviction(ctx, class, string(reason)) })
}

// control returns the effect that acts on a task at its worker.
func (n *Node) control(address string, f fleet.Fence, t fleet.Task, a fleet.Action, share int) func(context.Context) {
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		_, err := n.fleet.Control(ctx, address, fleet.Control{Fence: f, Task: t.ID, Attempt: t.Attempt, Action: a, Share: share})
		if err != nil {
			n.log.WithError(err).WithField("task", t.ID).Debugf("Worker did not confirm %s.", a)
		}
	}
}

// settle writes a record about a task, at most one at a time. zone.mu is held.
func (n *Node) settle(task, step string, item func() (record.Item, error), then func()) {
	if e := n.settleLater(task, step, item, nil); e != nil {
		n.runBackground(func(ctx context.Context) {
			e(ctx)
			if then != nil {
				then()
			}
		})
	}
}

// settleLater marks the task and returns the effect that writes the record, or nil if one is being written. The metrics
// count the record at its writer, once it was read back as valid. zone.mu is held.
func (n *Node) settleLater(
	task, step string, item func() (record.Item, error), count func(context.Context),
) func(context.Context) {
	if n.zone.recordPending[task] {
		return nil
	}
	n.zone.recordPending[task] = true
	return func(ctx context.Context) {
		if err := n.writeZone(ctx, step, item); err == nil && count != nil && n.metrics != nil {
			count(ctx)
		}
		n.zone.mu.Lock()
		delete(n.zone.recordPending, task)
		n.zone.mu.Unlock()
	}
}

// writeZone writes one record to the zone's stream and returns its verdict.
func (n *Node) writeZone(ctx context.Context, step string, item func() (record.Item, error)) error {
	i, err := item()
	if err != nil {
		n.log.WithError(err).Errorf("Record %s was not encoded.", step)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r, err := n.zone.feed.Write(ctx, i)
	if err != nil {
		return errors.Wrapf(err, "node: write %s to stream of zone %s", step, n.cfg.Zone)
	}
	return errors.Wrapf(r.ItemErrors[0], "node: %s lost", step)
}

// tickPolicy acts on running tasks to protect urgent classes, and settles the tasks of silent workers.
func (n *Node) tickPolicy(now time.Time) {
	n.updateTargets(now)
	z := &n.zone
	z.mu.Lock()
	var effects []func(context.Context)
	for _, c := range z.policy.Tick(now) {
		w := z.workers[c.Worker]
		fence, held := z.leases.Fence(c.Worker, now)
		if w == nil || !held {
			continue
		}
		n.log.WithField("task", c.Task).Infof("Policy asks for %s: %s.", c.Action, c.Reason)
		if c.Action == fleet.ActionThrottle && n.metrics != nil {
			if t := z.jobs.Task(c.Task); t != nil {
				n.metrics.RecordTaskThrottle(n.ctx, t.Job().Class())
			}
		}
		effects = append(effects, n.control(w.address, fence, fleet.Task{ID: c.Task, Attempt: c.Attempt}, c.Action, c.CPUPercent))
	}
	effects = append(effects, n.settleSilent(now)...)
	z.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
}

// settleSilent evicts the tasks of workers that do not answer, once they certainly do not run. zone.mu is held.
func (n *Node) settleSilent(now time.Time) []func(context.Context) {
	z := &n.zone
	var effects []func(context.Context)
	for _, id := range z.jobs.Workers() {
		if _, held := z.leases.Fence(id, now); held {
			continue
		}
		reason := job.ReasonLeaseExpired
		if !z.leases.TaskLeasesExpired(id, now) {
			if !n.doubted(now, id) {
				continue
			}
			reason = job.ReasonNoHolder
		}
		for _, t := range z.jobs.RunningOn(id) {
			if e := n.evict(t, reason, nil); e != nil {
				effects = append(effects, e)
			}
		}
	}
	return effects
}
