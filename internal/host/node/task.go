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
	// schedulePeriod is the interval between rounds that start pending tasks.
	schedulePeriod = 100 * time.Millisecond
	// policyPeriod is the interval between ticks of the policy.
	policyPeriod = time.Second
	// maxPendingPerRound is the largest number of pending tasks of a class that are examined in one round.
	maxPendingPerRound = 32
	// starterTurn is how long one host may start a pending task before it is the next host's turn.
	starterTurn = 2 * time.Second
	// holderQueryDelay is how long a worker must not have answered this host before a holder query about it is written.
	holderQueryDelay = time.Minute
)

// placement is the choice of a worker for a task attempt that this host is starting.
type placement struct {
	worker  string
	attempt int
	// sent is set once the start may have reached the worker. The worker may carry it out until its clock passes
	// latestStart.
	sent        bool
	latestStart time.Duration
}

// schedule starts the pending tasks whose turn to be started is this host's.
func (n *Node) schedule(now time.Time) {
	if !n.mayStartTasks(now) {
		return
	}
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, class := range z.jobs.PendingClasses() {
		examined := 0
		for t := range z.jobs.Pending(class) {
			if examined++; examined > maxPendingPerRound {
				break
			}
			if z.placements[t.ID()] != nil || z.recordPending[t.ID()] || t.Job().Cancelled() {
				continue
			}
			if n.starterHost(now, t, hosts) == n.cfg.Host {
				n.placeTask(now, t)
			}
		}
	}
}

// mayStartTasks reports whether this host may start tasks: it is not stopping, its views of the configuration and of
// the zone's stream are fresh, and its zone is in service.
func (n *Node) mayStartTasks(now time.Time) bool {
	if n.stopping.Load() || now.Sub(n.configFreshAt()) > n.cfg.Freshness.MaxViewAge {
		return false
	}
	select {
	case <-n.zone.feed.Ready():
	default:
		return false
	}
	return now.Sub(n.zone.feed.FreshAsOf()) <= n.cfg.Freshness.MaxViewAge && !n.isZoneTakenOut(n.cfg.Zone)
}

// isZoneTakenOut reports whether operators have taken the zone out of service, as far as this host knows.
func (n *Node) isZoneTakenOut(zone string) bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	z, _, ok := n.config.state.Zone(zone)
	return ok && z.TakenOut
}

// starterHost returns the host whose turn it is to start the task. The first turn is chosen by a hash of the task's ID;
// the others follow in the order of hosts, so that a task whose first host has no room reaches the others.
func (n *Node) starterHost(now time.Time, t *job.Task, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	turn := int(now.Sub(n.zone.jobs.PendingSince(t)) / starterTurn)
	first := int(xxhash.Sum64String(t.ID()) % uint64(len(hosts)))
	return hosts[(first+max(turn, 0))%len(hosts)]
}

// placeTask chooses a worker for the task and begins its start, or parks the task if the policy gives it up. The caller
// holds zone.mu.
func (n *Node) placeTask(now time.Time, t *job.Task) {
	z := &n.zone
	j := t.Job()
	attempt := t.Attempt() + 1
	p, ok := z.policy.PlaceTask(now, policy.Candidate{
		Task: t.ID(), Job: j.ID(), Class: j.Class(), Team: j.Team(), Size: j.Size(), Attempts: t.Attempt(),
		FailedOn: z.failedWorkers[t.ID()],
	})
	if !ok {
		if p.Park {
			n.writeInBackground(t.ID(), "park", func() (record.Item, error) {
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
	start := job.Start{Task: t.ID(), Attempt: attempt, Worker: p.Worker, Boot: fence.Boot, Host: n.writer}
	req := fleet.StartRequest{
		Task: t.ID(), Attempt: attempt, Class: j.Class(), Size: p.Size, Checkpoint: t.Checkpoint(), Body: j.Body(),
	}
	pending := now.Sub(z.jobs.PendingSince(t))
	team := j.Team()
	n.runBackground(func(ctx context.Context) {
		if n.startTask(ctx, pl, start, req) && n.metrics != nil {
			n.metrics.RecordTaskStart(ctx, req.Class, team, pending)
		}
	})
}

// startTask records a start, and sends it to the worker once the record was read back as valid. It reports whether the
// start may have reached the worker.
func (n *Node) startTask(ctx context.Context, pl *placement, start job.Start, req fleet.StartRequest) bool {
	key := capacity.Key{ID: start.Task, Attempt: start.Attempt}
	err := n.writeZone(ctx, "start", func() (record.Item, error) { return job.StartItem(start) })
	if err != nil {
		// If the record takes effect later, the zone's stream has the task as running without a placement here.
		// reconcileTasks then evicts the attempt, since neverStarted finds no placement.
		n.releaseReservation(pl, key, start)
		return false
	}
	fence, address, ok := n.checkStart(time.Now(), pl, start)
	if !ok {
		n.evictRefused(ctx, pl, key, start)
		return false
	}
	req.Fence = fence
	sendCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err = n.fleet.Start(sendCtx, address, req)
	if errors.Is(err, fleet.ErrRefused) || errors.Is(err, fleet.ErrNotSent) {
		n.log.WithError(err).WithField("task", start.Task).
			Info("Task start was refused or not sent; evicting the attempt.")
		n.evictRefused(ctx, pl, key, start)
		return false
	}
	if err != nil {
		n.log.WithError(err).WithField("task", start.Task).
			Info("Worker did not confirm a start; its next status will show if the task runs.")
	}
	n.zone.mu.Lock()
	n.zone.capacity.AbandonTask(start.Worker, key, fence.Before)
	n.zone.mu.Unlock()
	return true
}

// checkStart checks, immediately before a start is sent, that it is still allowed. If so, it marks the placement as
// sent and returns the fence to send, the worker's address and true.
func (n *Node) checkStart(now time.Time, pl *placement, start job.Start) (fleet.Fence, string, bool) {
	if !n.mayStartTasks(now) {
		return fleet.Fence{}, "", false
	}
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	t := z.jobs.Task(start.Task)
	fence, held := z.leases.Fence(start.Worker, now)
	if t == nil || t.State() != job.Running || t.Attempt() != start.Attempt || t.Cancelling() ||
		!held || !z.leases.AcceptsBatch(start.Worker, now) || fence.Boot != start.Boot {
		return fleet.Fence{}, "", false
	}
	pl.sent, pl.latestStart = true, fence.Before
	return fence, z.workers[start.Worker].address, true
}

// evictRefused records the eviction of an attempt that was certainly not started and releases its reservation.
func (n *Node) evictRefused(ctx context.Context, pl *placement, key capacity.Key, start job.Start) {
	_ = n.writeZone(ctx, "evict", func() (record.Item, error) {
		return job.EvictItem(job.Evict{
			Task: start.Task, Attempt: start.Attempt, Reason: job.ReasonRefused, Host: n.writer,
		})
	})
	n.releaseReservation(pl, key, start)
}

// releaseReservation releases the capacity that was reserved for an attempt and removes its placement.
func (n *Node) releaseReservation(pl *placement, key capacity.Key, start job.Start) {
	now := time.Now()
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	z.capacity.ReleaseTask(now, start.Worker, key)
	z.policy.Update(now, policy.EndMsg{
		Worker: start.Worker, Task: start.Task, Attempt: start.Attempt, Outcome: policy.OutcomeCancelled,
	})
	if z.placements[start.Task] == pl {
		delete(z.placements, start.Task)
	}
}

// reconcileTasks compares the tasks that the zone's stream has as running on a worker with the worker's complete task
// list, which the worker sent to this host as its lease holder. It returns the effects that resolve the differences:
// functions that write records or send messages, to be called without zone.mu. The caller holds zone.mu.
func (n *Node) reconcileTasks(now time.Time, w *workerView) []func(context.Context) {
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
		listedTask, listed := w.tasks[t.ID()]
		switch {
		case listed && listedTask.Attempt == t.Attempt():
			add(n.handleListedAttempt(now, w, t, listedTask))
		case w.status.Boot != t.Boot():
			add(n.recordEviction(t, job.ReasonRestarted, nil))
		case n.neverStarted(w, t):
			add(n.recordEviction(t, job.ReasonRefused, nil))
		}
	}
	fence, held := z.leases.Fence(w.status.Worker, now)
	if !held {
		return effects
	}
	// A task that the stream does not have as running on this worker must be stopped. Each start is in the stream
	// before it reaches the worker, so it is certain that the stream lacks the start once a read that was sent after
	// the task was first listed has reached the end of the stream. As reads complete seconds after they were sent, the
	// time of the first listing is kept.
	unexpected := map[fleet.TaskRef]time.Time{}
	var done []fleet.TaskRef
	for id, t := range w.tasks {
		if running[id] && z.jobs.Task(id).Attempt() == t.Attempt {
			continue
		}
		ref := fleet.TaskRef{ID: id, Attempt: t.Attempt}
		since, known := w.unexpectedSince[ref]
		if !known {
			since = now
		}
		unexpected[ref] = since
		switch {
		case !z.feed.FreshAsOf().After(since):
		case t.State == fleet.TaskRunning:
			add(n.controlTask(w.address, fence, t, fleet.ActionStop, 0))
		default:
			done = append(done, ref)
		}
	}
	w.unexpectedSince = unexpected
	if len(done) > 0 {
		add(n.forgetTasks(w, fence, done))
	}
	return effects
}

// forgetTasks returns the effect that makes a worker delete ended attempts. They stay in the task list here until
// the worker has confirmed.
func (n *Node) forgetTasks(w *workerView, f fleet.Fence, done []fleet.TaskRef) func(context.Context) {
	address := w.address
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		if err := n.fleet.Forget(ctx, address, f, done); err != nil {
			n.log.WithError(err).Debug("Worker did not delete ended attempts; trying again after its next status.")
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

// neverStarted reports whether it is certain that an attempt that is missing from the worker's task list will not start
// there, and if so removes its placement. The worker refuses messages of earlier holders by their grant, so only a
// start by this process can still take effect, until the worker's clock passes latestStart. The caller holds zone.mu.
func (n *Node) neverStarted(w *workerView, t *job.Task) bool {
	pl := n.zone.placements[t.ID()]
	if pl == nil || pl.attempt != t.Attempt() {
		return true
	}
	if !pl.sent || w.status.Clock <= pl.latestStart {
		return false
	}
	delete(n.zone.placements, t.ID())
	return true
}

// handleListedAttempt applies the state in which a worker lists an attempt that the zone's stream has as running there.
// It returns the effect that writes the record or sends the stop that follows, or nil. The caller holds zone.mu.
func (n *Node) handleListedAttempt(
	now time.Time, w *workerView, t *job.Task, listedTask fleet.Task,
) func(context.Context) {
	z := &n.zone
	if pl := z.placements[t.ID()]; pl != nil && pl.sent {
		delete(z.placements, t.ID())
	}
	j := t.Job()
	switch listedTask.State {
	case fleet.TaskDone, fleet.TaskFailed:
		result := job.ResultDone
		if listedTask.State == fleet.TaskFailed {
			result = job.ResultFailed
		}
		id, class := t.ID(), j.Class()
		return n.deferWrite(id, "end", func() (record.Item, error) {
			return job.EndItem(job.End{
				Task: id, Attempt: listedTask.Attempt, Result: result,
				Output: truncate(listedTask.Output, job.MaxOutputBytes),
			})
		}, func(ctx context.Context) { n.metrics.RecordTaskEnd(ctx, class, string(result)) })
	case fleet.TaskStopped:
		return n.recordEviction(t, job.ReasonStopped, listedTask.Checkpoint)
	}
	z.policy.Update(now, policy.StartMsg{
		Worker: w.status.Worker, Task: t.ID(), Job: j.ID(), Class: j.Class(), Team: j.Team(),
		Attempt: listedTask.Attempt, Declared: j.Size(), Planned: listedTask.Size, CPUPercent: listedTask.Share,
	})
	if t.Cancelling() {
		if fence, ok := z.leases.Fence(w.status.Worker, now); ok {
			return n.controlTask(w.address, fence, listedTask, fleet.ActionStop, 0)
		}
	}
	return nil
}

// truncate returns data, cut to at most n bytes.
func truncate(data []byte, n int) []byte {
	if len(data) > n {
		return data[:n]
	}
	return data
}

// recordEviction returns the effect that records an attempt as evicted, or nil if a record about the task is being
// written. The caller holds zone.mu.
func (n *Node) recordEviction(t *job.Task, reason job.EvictReason, checkpoint []byte) func(context.Context) {
	e := job.Evict{Task: t.ID(), Attempt: t.Attempt(), Reason: reason, Host: n.writer}
	if len(checkpoint) <= job.MaxCheckpointBytes {
		e.Checkpoint = checkpoint
	}
	switch reason {
	case job.ReasonNoHolder:
		e.HolderQuery, _ = n.zone.jobs.OpenHolderQuery(t.Worker())
	case job.ReasonRestarted, job.ReasonRefused:
		// These reasons are concluded from a status. The record names the boot and grant of that status, so that a
		// conclusion from an old status is rejected.
		if w := n.zone.workers[t.Worker()]; w != nil {
			e.Boot, e.Grant = w.status.Boot, w.status.Grant
		}
	}
	class := t.Job().Class()
	return n.deferWrite(t.ID(), "evict", func() (record.Item, error) { return job.EvictItem(e) },
		func(ctx context.Context) { n.metrics.RecordTaskEviction(ctx, class, string(reason)) })
}

// controlTask returns the effect that sends a control message about a task to its worker. cpuPercent is the percentage
// of its usual processor time to which fleet.ActionThrottle limits the task.
func (n *Node) controlTask(
	address string, f fleet.Fence, t fleet.Task, a fleet.Action, cpuPercent int,
) func(context.Context) {
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		_, err := n.fleet.Control(ctx, address, fleet.Control{
			Fence: f, Task: t.ID, Attempt: t.Attempt, Action: a, Share: cpuPercent,
		})
		if err != nil {
			n.log.WithError(err).WithField("task", t.ID).Debugf("Worker did not confirm action %s on a task.", a)
		}
	}
}

// writeInBackground writes a record about a task or worker in the background and then calls then, which may be nil. It
// does nothing while another record about the same task or worker is being written. The caller holds zone.mu.
func (n *Node) writeInBackground(id, recordName string, item func() (record.Item, error), then func()) {
	if e := n.deferWrite(id, recordName, item, nil); e != nil {
		n.runBackground(func(ctx context.Context) {
			e(ctx)
			if then != nil {
				then()
			}
		})
	}
}

// deferWrite marks the task or worker and returns the effect that writes the record, or nil if a record about it is
// being written. The effect calls count, which may be nil, once the record was read back as valid, so that only the
// host that wrote a record counts it in its metrics. The caller holds zone.mu.
func (n *Node) deferWrite(
	id, recordName string, item func() (record.Item, error), count func(context.Context),
) func(context.Context) {
	if n.zone.recordPending[id] {
		return nil
	}
	n.zone.recordPending[id] = true
	return func(ctx context.Context) {
		if err := n.writeZone(ctx, recordName, item); err == nil && count != nil && n.metrics != nil {
			count(ctx)
		}
		n.zone.mu.Lock()
		delete(n.zone.recordPending, id)
		n.zone.mu.Unlock()
	}
}

// writeZone writes one record to the zone's stream. It returns an error if the record could not be encoded or written,
// or was rejected when it was read back.
func (n *Node) writeZone(ctx context.Context, recordName string, item func() (record.Item, error)) error {
	i, err := item()
	if err != nil {
		n.log.WithError(err).Errorf("Record %s could not be encoded and was not written.", recordName)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r, err := n.zone.feed.Write(ctx, i)
	if err != nil {
		return errors.Wrapf(err, "node: write %s to stream of zone %s", recordName, n.cfg.Zone)
	}
	return errors.Wrapf(r.ItemErrors[0], "node: %s lost", recordName)
}

// tickPolicy passes the targets in force on to the policy and carries out its actions on running tasks, which protect
// the urgent classes and reclaim lent quota. It also evicts tasks from workers whose lease this host does
// not have.
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
		n.log.WithField("task", c.Task).Infof("Policy requested action %s on a task: %s.", c.Action, c.Reason)
		if c.Action == fleet.ActionThrottle && n.metrics != nil {
			if t := z.jobs.Task(c.Task); t != nil {
				n.metrics.RecordTaskThrottle(n.ctx, t.Job().Class())
			}
		}
		effects = append(effects, n.controlTask(
			w.address, fence, fleet.Task{ID: c.Task, Attempt: c.Attempt}, c.Action, c.CPUPercent))
	}
	effects = append(effects, n.evictFromWorkersWithoutLease(now)...)
	z.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
}

// evictFromWorkersWithoutLease returns the effects that evict the tasks of workers whose lease this host does not have,
// once it is certain that the tasks no longer run: their leases have expired, or no host has answered a holder query
// for long enough. The caller holds zone.mu.
func (n *Node) evictFromWorkersWithoutLease(now time.Time) []func(context.Context) {
	z := &n.zone
	var effects []func(context.Context)
	for _, id := range z.jobs.BusyWorkers() {
		if _, held := z.leases.Fence(id, now); held {
			continue
		}
		reason := job.ReasonLeaseExpired
		if !z.leases.TaskLeasesExpired(id, now) {
			if !n.holderQueryExpired(now, id) {
				continue
			}
			reason = job.ReasonNoHolder
		}
		for _, t := range z.jobs.RunningOn(id) {
			if e := n.recordEviction(t, reason, nil); e != nil {
				effects = append(effects, e)
			}
		}
	}
	return effects
}
