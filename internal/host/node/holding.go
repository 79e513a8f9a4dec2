package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/roster"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

const (
	rosterPeriod = time.Second
	leasePeriod  = 200 * time.Millisecond
	// workerTimeout bounds a message to a worker other than a call.
	workerTimeout = time.Second
	// recordTimeout bounds the write of a record that no caller waits for.
	recordTimeout = 10 * time.Second
)

// workerView is what the node knows of a worker of its zone.
type workerView struct {
	address, rack, service string
	leaving                bool
	// held is set while the capacity table has the worker.
	held bool
	// status is the newest status as the holder, tasks the merged task list by task id.
	status fleet.Status
	sent   time.Time
	tasks  map[string]fleet.Task
	// strays has when attempts were first listed that the zone's stream does not have as running here.
	strays map[fleet.TaskRef]time.Time
	// reported is the end of the last usage window per class, in the worker's clock.
	reported map[string]time.Duration
}

// readRoster reads the host list. When it cannot be read, what was last read stays in force.
func (n *Node) readRoster(now time.Time) {
	ctx, cancel := context.WithTimeout(n.ctx, workerTimeout)
	defer cancel()
	hosts, err := n.hosts.Hosts(ctx)
	defer n.hostListTried.Store(true)
	if err != nil {
		n.log.WithError(err).Debug("Host list was not read; keeping the last one.")
		return
	}
	n.applyRoster(now, hosts)
}

// applyRoster takes over the list of hosts.
func (n *Node) applyRoster(now time.Time, hosts []roster.Host) {
	var workers []lease.Worker
	var entries []roster.Host
	addresses := map[string]string{}
	added := false
	z := &n.zone
	z.mu.Lock()
	for _, h := range hosts {
		if h.Kind == roster.KindWorker {
			addresses[h.ID] = h.Address
		}
		switch {
		case h.Kind == roster.KindEntry:
			entries = append(entries, h)
		case h.Zone == n.cfg.Zone:
			w := z.workers[h.ID]
			if w == nil {
				w = &workerView{tasks: map[string]fleet.Task{}, reported: map[string]time.Duration{}}
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
		// The holdings drop holds of workers that they do not know, and the stream may have been read before the list.
		z.passHolds(now)
	}
	z.forgetWorkers(addresses)
	z.mu.Unlock()
	n.peers.setListed(entries, n.cfg.Host, addresses)
}

// passHolds tells the holdings the newest hold of each worker, with mu held.
func (z *zoneView) passHolds(now time.Time) {
	for _, h := range z.jobs.Holds() {
		z.leases.Update(now, lease.HoldMsg{Worker: h.Worker, Host: h.Host, Boot: h.Boot, Grant: h.Grant, Offset: h.Offset})
	}
}

// forgetWorkers drops what is known of workers that are neither listed nor held and have no tasks, with mu held.
func (z *zoneView) forgetWorkers(listed map[string]string) {
	for id, w := range z.workers {
		if _, ok := listed[id]; !ok && !w.held && len(z.jobs.RunningOn(id)) == 0 {
			delete(z.workers, id)
		}
	}
}

// tickLeases runs what is due with the workers.
func (n *Node) tickLeases(now time.Time) {
	fresh := n.configFreshAt()
	z := &n.zone
	z.mu.Lock()
	stale := now.Sub(fresh) > n.cfg.Freshness.RenewalCutoff || now.Sub(z.feed.FreshAsOf()) > n.cfg.Freshness.RenewalCutoff
	// A host that has just started has no view yet. It cannot be older than the cut-off bound.
	if now.Sub(n.startedAt) < n.cfg.Freshness.RenewalCutoff && (fresh.IsZero() || z.feed.FreshAsOf().IsZero()) {
		stale = false
	}
	// In a zone that was taken out no task may outlive the drain: hosts of other zones move its tasks after the cut-off
	// bound, even if they cannot reach this host.
	stale = stale || z.takenOut && now.Sub(z.takenOutSince) > n.drainEnd()
	z.leases.Update(now, lease.StaleMsg{Stale: stale})
	// A host that is stopping keeps its workers until nothing is in flight: requests may still wait for their slots.
	z.leases.Update(now, lease.PeersMsg{Hosts: n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)})
	cmds := z.leases.Update(now, lease.TickMsg{})
	n.unholdLost(now)
	z.mu.Unlock()
	n.runLeaseCommands(cmds)
}

// unholdLost withdraws workers whose lease this host can no longer rely on, with zone.mu held.
func (n *Node) unholdLost(now time.Time) {
	for id, w := range n.zone.workers {
		if _, ok := n.zone.leases.Fence(id, now); ok || !w.held {
			continue
		}
		w.held = false
		w.tasks = map[string]fleet.Task{}
		n.zone.capacity.RemoveWorker(id)
		n.zone.policy.Update(now, policy.ReleaseMsg{Name: id})
	}
}

// runLeaseCommands carries out the commands of the holdings.
func (n *Node) runLeaseCommands(cmds []lease.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case lease.QueryCmd:
			n.runBackground(func(ctx context.Context) {
				n.askWorker(ctx, c.Worker, 0, true, func(ctx context.Context) (fleet.Status, error) {
					return n.fleet.Brief(ctx, c.Address)
				})
			})
		case lease.LeaseCmd:
			n.runBackground(func(ctx context.Context) {
				n.askWorker(ctx, c.Worker, c.Request.Seen, false, func(ctx context.Context) (fleet.Status, error) {
					return n.fleet.Lease(ctx, c.Address, c.Request)
				})
			})
		case lease.ReleaseCmd:
			n.runBackground(func(ctx context.Context) { n.releaseWorker(ctx, c) })
		case lease.RecordHoldCmd:
			n.runBackground(func(ctx context.Context) {
				_ = n.writeZone(ctx, "hold", func() (record.Item, error) {
					return job.HoldItem(job.Hold{Worker: c.Worker, Host: n.cfg.Host, Boot: c.Boot, Grant: c.Grant, NextOffset: c.NextOffset})
				})
			})
		}
	}
}

// askWorker sends a status or lease message and feeds the reply back.
func (n *Node) askWorker(ctx context.Context, id string, seen uint64, brief bool, ask func(context.Context) (fleet.Status, error)) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	sent := time.Now()
	s, err := ask(ctx)
	received := time.Now()
	var msg lease.Msg
	switch {
	case errors.Is(err, fleet.ErrLeaseHeld):
		s.Worker = id // The worker's refusal has no status.
		msg = lease.RefusedMsg{Status: s, Sent: sent, Received: received}
	case err != nil:
		n.log.WithError(err).WithField("worker", id).Debug("Worker did not answer a lease message.")
		msg = lease.FailedMsg{Worker: id, Refused: errors.Is(err, fleet.ErrRefused)}
	default:
		msg = lease.StatusMsg{Status: s, Sent: sent, Received: received, Seen: seen, WithoutTasks: brief}
	}
	n.zone.mu.Lock()
	// The time is read under the lock, so that a lapse that an earlier tick has seen is seen here as well.
	now := time.Now()
	var left []lease.Command
	var effects []func(context.Context)
	for _, c := range n.zone.leases.Update(now, msg) {
		if a, ok := c.(lease.ApplyStatusCmd); ok {
			// Under the same lock, so that lists of changes are applied in the order of their requests.
			effects = append(effects, n.applyStatus(now, a)...)
			continue
		}
		left = append(left, c)
	}
	n.zone.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
	n.runLeaseCommands(left)
}

// releaseWorker gives up the lease of a worker.
func (n *Node) releaseWorker(ctx context.Context, c lease.ReleaseCmd) {
	n.zone.mu.Lock()
	w := n.zone.workers[c.Worker]
	var f fleet.Fence
	if w != nil {
		f = fleet.Fence{Boot: w.status.Boot, Grant: w.status.Grant, Before: w.status.Clock + time.Since(w.sent) + workerTimeout}
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

// releaseAll gives up all workers at a planned stop, so that other hosts can take them at once.
func (n *Node) releaseAll(ctx context.Context) {
	n.zone.mu.Lock()
	cmds := n.zone.leases.Update(time.Now(), lease.LeaveMsg{})
	n.zone.mu.Unlock()
	n.runLeaseCommands(cmds)
	for ctx.Err() == nil {
		n.zone.mu.Lock()
		left := n.zone.leases.UnreleasedCount(time.Now())
		n.zone.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// applyStatus takes over the status of a held worker and returns the effects that follow, with zone.mu held.
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
	w.status, w.sent = c.Status, c.Sent
	z.policy.Update(now, policy.WorkerMsg{
		Name: c.Status.Worker, Rack: w.rack, Capacity: z.capacity.TaskCapacity(c.Status.Worker), Slots: c.Status.Slots,
		Unschedulable: w.leaving || c.Status.Leaving,
	})
	n.reportUsage(now, w)
	n.assignFreeSlots(now)
	return n.reconcile(now, w)
}

// reportUsage passes on the usage reports that were not seen before, with zone.mu held.
func (n *Node) reportUsage(now time.Time, w *workerView) {
	var fresh []fleet.Usage
	for _, u := range w.status.Usage {
		end := w.status.Clock - u.Lag
		if end > w.reported[u.Class] {
			w.reported[u.Class] = end
			fresh = append(fresh, u)
		}
	}
	if len(fresh) > 0 {
		n.zone.policy.Update(now, policy.UsageMsg{Worker: w.status.Worker, Usage: fresh})
	}
}
