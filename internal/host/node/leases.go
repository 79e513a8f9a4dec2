package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

const (
	// hostListPeriod is the interval between reads of the host list.
	hostListPeriod = time.Second
	// leasePeriod is the interval between ticks of the lease manager.
	leasePeriod = 200 * time.Millisecond
	// workerTimeout is the longest time that a message to a worker, other than a call, may take.
	workerTimeout = time.Second
	// recordTimeout is the longest time that the write of a record may take for which no caller waits.
	recordTimeout = 10 * time.Second
)

// workerView is what the node knows of a worker of its zone.
type workerView struct {
	address, rack, service string
	leaving                bool
	// held is set while the capacity table contains the worker.
	held bool
	// status is the newest status that the worker sent to this host as its lease holder, and statusSentAt the time at
	// which this host sent the request for it. tasks is the task list by task ID, merged from full lists and changes.
	status       fleet.Status
	statusSentAt time.Time
	tasks        map[string]fleet.Task
	// unexpectedSince holds, by attempt that the worker lists but the zone's stream does not have as running there,
	// when it was first listed.
	unexpectedSince map[fleet.TaskRef]time.Time
	// usageEnd holds, by class, the end of the last usage window passed to the policy, on the worker's clock.
	usageEnd map[string]time.Duration
}

// readHostList reads the host list. If it cannot be read, the last one that was read stays in force.
func (n *Node) readHostList(now time.Time) {
	ctx, cancel := context.WithTimeout(n.ctx, workerTimeout)
	defer cancel()
	hosts, err := n.hosts.Hosts(ctx)
	defer n.hostListTried.Store(true)
	if err != nil {
		n.log.WithError(err).Debug("Host list was not read; keeping the last one.")
		return
	}
	n.applyHostList(now, hosts)
}

// applyHostList passes a host list that was read on to the lease manager, the capacity table and the peers.
func (n *Node) applyHostList(now time.Time, hosts []hostlist.Host) {
	var workers []lease.Worker
	var entries []hostlist.Host
	workerAddresses := map[string]string{}
	added := false
	z := &n.zone
	z.mu.Lock()
	for _, h := range hosts {
		if h.Kind == hostlist.KindWorker {
			workerAddresses[h.ID] = h.Address
		}
		switch {
		case h.Kind == hostlist.KindEntry:
			entries = append(entries, h)
		case h.Zone == n.cfg.Zone:
			w := z.workers[h.ID]
			if w == nil {
				w = &workerView{tasks: map[string]fleet.Task{}, usageEnd: map[string]time.Duration{}}
				z.workers[h.ID] = w
				added = true
			}
			w.address, w.rack, w.service, w.leaving = h.Address, h.Rack, h.Service, h.Leaving
			workers = append(workers, lease.Worker{ID: h.ID, Address: h.Address, Leaving: h.Leaving})
			z.capacity.SetLeaving(h.ID, h.Leaving)
		}
	}
	z.leases.Update(now, lease.WorkersMsg{Workers: workers})
	if added {
		// The lease manager ignores hold records of workers that it does not know, and the stream may have been read
		// before the host list.
		z.applyHolds(now)
	}
	z.removeUnlistedWorkers(workerAddresses)
	z.mu.Unlock()
	n.peers.setListed(entries, n.cfg.Host, workerAddresses)
}

// applyHolds passes the newest hold record of each worker to the lease manager, and the holder query that follows it, if
// there is one. The caller holds mu.
func (z *zoneView) applyHolds(now time.Time) {
	for _, h := range z.jobs.Holds() {
		z.leases.Update(now, lease.HoldMsg{Worker: h.Worker, Host: h.Host, Boot: h.Boot, Grant: h.Grant, Offset: h.Offset})
		if _, asked := z.jobs.OpenHolderQuery(h.Worker); asked {
			z.answerHolderQuery(now, h.Worker)
		}
	}
}

// removeUnlistedWorkers removes the workers that are neither listed nor known to the lease manager, which may take an
// unlisted worker again, and have no running tasks. The caller holds mu.
func (z *zoneView) removeUnlistedWorkers(listed map[string]string) {
	for id, w := range z.workers {
		if _, ok := listed[id]; !ok && !w.held && !z.leases.Knows(id) && len(z.jobs.RunningOn(id)) == 0 {
			delete(z.workers, id)
		}
	}
}

// tickLeases tells the lease manager about stale views and the hosts of the zone, and sends the lease messages that are
// due.
func (n *Node) tickLeases(now time.Time) {
	freshAt := n.configFreshAt()
	z := &n.zone
	z.mu.Lock()
	zoneFreshAt := z.feed.FreshAsOf()
	if zoneFreshAt.IsZero() {
		// A holder has read its own hold record, so it has read what precedes the start of its process.
		zoneFreshAt = n.startedAt
	}
	// A host that has just started and has no view of the configuration may have missed that the zone was taken out of
	// service long before.
	stale := now.Sub(freshAt) > n.cfg.Freshness.RenewalCutoff ||
		now.Sub(zoneFreshAt) > n.cfg.Freshness.RenewalCutoff
	// In a zone that was taken out of service, no task may run on after the drain of the zone: hosts of other zones
	// move its tasks after RenewalCutoff, even if they cannot reach this host.
	stale = stale || z.takenOut && now.Sub(z.takenOutSince) > n.takenOutRenewLimit()
	z.leases.Update(now, lease.StaleMsg{Stale: stale})
	// A stopping host keeps its workers until no request is in flight, as requests may still wait for their slots.
	z.leases.Update(now, lease.PeersMsg{Hosts: n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)})
	cmds := z.leases.Update(now, lease.TickMsg{})
	n.removeWorkersWithoutLease(now)
	z.mu.Unlock()
	n.runLeaseCommands(cmds)
}

// removeWorkersWithoutLease removes workers whose lease this host can no longer rely on from the capacity table and the
// policy. The caller holds zone.mu.
func (n *Node) removeWorkersWithoutLease(now time.Time) {
	for id, w := range n.zone.workers {
		if _, ok := n.zone.leases.Fence(id, now); ok || !w.held {
			continue
		}
		w.held = false
		w.tasks = map[string]fleet.Task{}
		n.zone.capacity.RemoveWorker(id)
		n.zone.policy.Update(now, policy.RemoveWorkerMsg{Name: id})
	}
}

// runLeaseCommands executes the commands of the lease manager in the background, other than ApplyStatusCmd.
func (n *Node) runLeaseCommands(cmds []lease.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case lease.StatusCmd:
			n.runBackground(func(ctx context.Context) {
				n.sendLeaseMessage(ctx, c.Worker, 0, true, func(ctx context.Context) (fleet.Status, error) {
					return n.fleet.BriefStatus(ctx, c.Address)
				})
			})
		case lease.LeaseCmd:
			n.runBackground(func(ctx context.Context) {
				n.sendLeaseMessage(ctx, c.Worker, c.Request.Seen, false, func(ctx context.Context) (fleet.Status, error) {
					return n.fleet.Lease(ctx, c.Address, c.Request)
				})
			})
		case lease.ReleaseCmd:
			n.runBackground(func(ctx context.Context) { n.releaseWorker(ctx, c) })
		case lease.RecordHoldCmd:
			n.runBackground(func(ctx context.Context) {
				_ = n.writeZone(ctx, "hold", func() (record.Item, error) {
					return job.HoldItem(job.Hold{
						Worker: c.Worker, Host: n.writer, Boot: c.Boot, Grant: c.Grant, NextOffset: c.NextOffset,
					})
				})
			})
		}
	}
}

// sendLeaseMessage sends a status or lease message to a worker by calling send, and passes the result to the lease
// manager. seen is the change number that the request contains, and brief is set if the reply has no task list.
func (n *Node) sendLeaseMessage(
	ctx context.Context, id string, seen uint64, brief bool, send func(context.Context) (fleet.Status, error),
) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	sentAt := time.Now()
	s, err := send(ctx)
	receivedAt := time.Now()
	var msg lease.Msg
	switch {
	case errors.Is(err, fleet.ErrLeaseHeld):
		s.Worker = id // A refusal contains no status.
		msg = lease.RefusedMsg{Status: s, Sent: sentAt, Received: receivedAt}
	case err != nil:
		n.log.WithError(err).WithField("worker", id).Debug("Worker did not answer a lease message.")
		msg = lease.FailedMsg{Worker: id, Refused: errors.Is(err, fleet.ErrRefused)}
	default:
		msg = lease.StatusMsg{Status: s, Sent: sentAt, Received: receivedAt, Seen: seen, WithoutTasks: brief}
	}
	n.zone.mu.Lock()
	// The time is read under the lock, so that a lease that had expired at an earlier tick has expired here as well.
	now := time.Now()
	var remaining []lease.Command
	var effects []func(context.Context)
	for _, c := range n.zone.leases.Update(now, msg) {
		if a, ok := c.(lease.ApplyStatusCmd); ok {
			// This happens under the same lock, so that lists of changes are applied in the order of their requests.
			effects = append(effects, n.applyStatus(now, a)...)
			continue
		}
		remaining = append(remaining, c)
	}
	n.zone.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
	n.runLeaseCommands(remaining)
}

// releaseWorker releases the lease of a worker. If that fails, the lease expires by itself.
func (n *Node) releaseWorker(ctx context.Context, c lease.ReleaseCmd) {
	n.zone.mu.Lock()
	w := n.zone.workers[c.Worker]
	var f fleet.Fence
	if w != nil {
		f = fleet.Fence{
			Boot: w.status.Boot, Grant: w.status.Grant,
			Before: w.status.Clock + time.Since(w.statusSentAt) + workerTimeout,
		}
	}
	n.zone.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err := n.fleet.Release(ctx, c.Address, f)
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	if err != nil {
		n.log.WithError(err).WithField("worker", c.Worker).Debug("Release failed; the lease will expire.")
		n.zone.leases.Update(time.Now(), lease.FailedMsg{Worker: c.Worker})
		return
	}
	n.zone.leases.Update(time.Now(), lease.ReleasedMsg{Worker: c.Worker})
}

// releaseAll releases the leases of all workers in a planned stop, so that other hosts can take them at once. It
// returns when all are released or ctx ends.
func (n *Node) releaseAll(ctx context.Context) {
	n.zone.mu.Lock()
	cmds := n.zone.leases.Update(time.Now(), lease.StopMsg{})
	n.zone.mu.Unlock()
	n.runLeaseCommands(cmds)
	for ctx.Err() == nil {
		n.zone.mu.Lock()
		unreleased := n.zone.leases.UnreleasedCount(time.Now())
		n.zone.mu.Unlock()
		if unreleased == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// applyStatus applies the status of a held worker and returns the effects that follow: functions that do I/O, to be
// called without zone.mu. The caller of applyStatus holds zone.mu.
func (n *Node) applyStatus(now time.Time, c lease.ApplyStatusCmd) []func(context.Context) {
	z := &n.zone
	w := z.workers[c.Status.Worker]
	if w == nil {
		return nil
	}
	if !w.held {
		w.held = true
		z.capacity.AddWorker(c.Status.Worker)
		z.capacity.SetLeaving(c.Status.Worker, w.leaving)
		n.log.WithField("worker", c.Status.Worker).Info("Took the lease of a worker.")
	}
	if !z.capacity.ApplyStatus(c.Status, c.Sent, c.Full) {
		return nil
	}
	if c.Full {
		w.tasks = map[string]fleet.Task{}
	}
	for _, t := range c.Status.Tasks {
		w.tasks[t.ID] = t
	}
	w.status, w.statusSentAt = c.Status, c.Sent
	z.policy.Update(now, policy.WorkerMsg{
		Name: c.Status.Worker, Rack: w.rack, Capacity: z.capacity.TaskCapacity(c.Status.Worker), Slots: c.Status.Slots,
		Unschedulable: w.leaving || c.Status.Leaving,
	})
	n.reportUsage(now, w)
	n.assignFreeSlots(now)
	return n.reconcileTasks(now, w)
}

// reportUsage passes the usage reports that are newer than the last ones to the policy. The caller holds zone.mu.
func (n *Node) reportUsage(now time.Time, w *workerView) {
	var fresh []fleet.Usage
	for _, u := range w.status.Usage {
		end := w.status.Clock - u.Lag
		if end > w.usageEnd[u.Class] {
			w.usageEnd[u.Class] = end
			fresh = append(fresh, u)
		}
	}
	if len(fresh) > 0 {
		n.zone.policy.Update(now, policy.UsageMsg{Worker: w.status.Worker, Usage: fresh})
	}
}
