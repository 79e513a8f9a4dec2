package node

import (
	"context"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

const (
	// zoneDrainPeriod is the interval between rounds that stop and move the tasks of a zone that was taken out of
	// service.
	zoneDrainPeriod = time.Second
	// zoneDrainLimit is the time within which the running tasks of a zone that was taken out of service are stopped.
	zoneDrainLimit = 60 * time.Second
	// maxMovesPerRound is the largest number of tasks that are moved to other zones in one round.
	maxMovesPerRound = 64
	// maxCheckpointBytes is the largest total size of the checkpoints in one accept record.
	maxCheckpointBytes = 96 << 10
)

// takenOutRenewLimit returns for how long task leases are renewed after the zone was taken out of service: twice
// zoneDrainLimit, or half of Freshness.RenewalCutoff if that is less, so that the renewals end before that cutoff.
func (n *Node) takenOutRenewLimit() time.Duration {
	return min(2*zoneDrainLimit, n.cfg.Freshness.RenewalCutoff/2)
}

// drainZone stops and moves the tasks of this host's zone if operators have taken it out of service, and hands moved
// tasks over to their new zones.
func (n *Node) drainZone(now time.Time) {
	if n.isZoneTakenOut(n.cfg.Zone) && !n.stopping.Load() {
		n.stopRunningTasks(now)
		n.movePendingTasks(now)
	}
	n.handOver(now)
}

// stopRunningTasks stops a part of the running tasks of the held workers, so that all are stopped within
// zoneDrainLimit.
func (n *Node) stopRunningTasks(now time.Time) {
	z := &n.zone
	z.mu.Lock()
	var effects []func(context.Context)
	running := 0
	for _, id := range z.leases.HeldWorkers(now) {
		running += len(z.jobs.RunningOn(id))
	}
	// Stopping only a part gives the others time to end by themselves. After the limit all are stopped at once.
	budget := running/10 + 4
	if now.Sub(z.takenOutSince) > zoneDrainLimit {
		budget = running
	}
	for _, id := range z.leases.HeldWorkers(now) {
		w := z.workers[id]
		fence, ok := z.leases.Fence(id, now)
		if !ok || w == nil {
			continue
		}
		for _, t := range z.jobs.RunningOn(id) {
			if budget == 0 {
				break
			}
			if listedTask, listed := w.tasks[t.ID()]; listed && listedTask.State == fleet.TaskRunning {
				budget--
				effects = append(effects, n.controlTask(w.address, fence, listedTask, fleet.ActionStop, 0))
			}
		}
	}
	z.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
}

// movePendingTasks writes move records for the pending tasks whose turn to be started is this host's, if another zone
// can take them.
func (n *Node) movePendingTasks(now time.Time) {
	to := n.pickOtherZone(now)
	if to == "" {
		return
	}
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	left := maxMovesPerRound
	for _, class := range z.jobs.PendingClasses() {
		for t := range z.jobs.Pending(class) {
			if left == 0 {
				return
			}
			if z.recordPending[t.ID()] || z.placements[t.ID()] != nil || n.starterHost(now, t, hosts) != n.cfg.Host {
				continue
			}
			left--
			m := job.Move{Task: t.ID(), ToZone: to, Hop: t.Hop() + 1}
			n.writeInBackground(t.ID(), "move", func() (record.Item, error) { return job.MoveItem(m) }, nil)
		}
	}
}

// movedJob holds the tasks of one job that were moved to one zone.
type movedJob struct {
	// to is the zone that the tasks were moved to, and accept the record with which that zone accepts them.
	to     string
	accept job.Accept
	// moves are the confirmations. They are written once the other zone has recorded the tasks.
	moves []job.Move
}

// groupUnconfirmedMoves returns the tasks with unconfirmed moves for which want returns true, at most maxMovesPerRound,
// grouped by job and new zone. Tasks whose checkpoints do not fit into the accept record of their group are left for
// later rounds.
func groupUnconfirmedMoves(from string, jobs *job.Table, want func(*job.Task) bool) map[string]*movedJob {
	groups := map[string]*movedJob{}
	left := maxMovesPerRound
	for t := range jobs.UnconfirmedMoves() {
		if left == 0 {
			break
		}
		if !want(t) {
			continue
		}
		j := t.Job()
		g := groups[j.ID()+t.ToZone()]
		if g == nil {
			g = &movedJob{to: t.ToZone(), accept: job.Accept{
				ID: j.ID(), Class: j.Class(), Team: j.Team(), Count: j.Count(), Size: j.Size(),
				Body: j.Body(), RunTime: j.RunTime(), FromZone: from,
			}}
			groups[j.ID()+t.ToZone()] = g
		}
		if checkpointBytes(g.accept)+len(t.Checkpoint()) > maxCheckpointBytes {
			continue
		}
		left--
		g.accept.Tasks = append(g.accept.Tasks, t.MovedTask())
		g.moves = append(g.moves, job.Move{Task: t.ID(), ToZone: t.ToZone(), Hop: t.Hop(), Confirmed: true})
	}
	// An accept record lists its tasks in the order of their index, whereas moves come in any order.
	for _, g := range groups {
		slices.SortFunc(g.accept.Tasks, func(a, b job.MovedTask) int { return a.Index - b.Index })
	}
	return groups
}

// confirmations returns the records that confirm the moves, or an error if one cannot be encoded.
func (m *movedJob) confirmations() ([]record.Item, error) {
	items := make([]record.Item, 0, len(m.moves))
	for _, c := range m.moves {
		i, err := job.MoveItem(c)
		if err != nil {
			return nil, err
		}
		items = append(items, i)
	}
	return items, nil
}

// checkpointBytes returns the total size of the checkpoints in an accept record.
func checkpointBytes(a job.Accept) int {
	total := 0
	for _, t := range a.Tasks {
		total += len(t.Checkpoint)
	}
	return total
}

// handOver hands moved tasks over to their new zones in the background. Any host of this zone repeats it until the new
// zone has recorded the tasks, and each step is idempotent.
func (n *Node) handOver(now time.Time) {
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	groups := groupUnconfirmedMoves(n.cfg.Zone, z.jobs, func(t *job.Task) bool {
		return !z.recordPending[t.ID()] && n.starterHost(now, t, hosts) == n.cfg.Host
	})
	for _, g := range groups {
		for _, m := range g.moves {
			z.recordPending[m.Task] = true
		}
	}
	z.mu.Unlock()
	for _, g := range groups {
		n.runBackground(func(ctx context.Context) { n.handOverJob(ctx, g) })
	}
}

// handOverJob records tasks of one job in their new zone and then confirms their moves in this one.
func (n *Node) handOverJob(ctx context.Context, g *movedJob) {
	defer func() {
		n.zone.mu.Lock()
		defer n.zone.mu.Unlock()
		for _, m := range g.moves {
			delete(n.zone.recordPending, m.Task)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r := n.acceptInZone(ctx, g.to, g.accept)
	if r.Outcome != outcome.Done {
		n.log.WithField("job", g.accept.ID).Infof("Zone %s has not recorded moved tasks; trying again: %s.", g.to, r.Message)
		return
	}
	n.zone.mu.Lock()
	j := n.zone.jobs.Job(g.accept.ID)
	cancelled := j != nil && j.Cancelled()
	n.zone.mu.Unlock()
	if cancelled {
		// The job was cancelled after its tasks were moved and before their new zone recorded them.
		if r, ok := n.doInZone(ctx, g.to, g.accept.ID, peer.JobCancel); !ok || r.Outcome == outcome.Unknown {
			return
		}
	}
	items, err := g.confirmations()
	if err != nil {
		n.log.WithError(err).Error("Move record could not be encoded; the moved tasks stay unconfirmed.")
		return
	}
	if _, err := n.zone.feed.Write(ctx, items...); err != nil {
		n.log.WithError(err).Debug("Confirmations of moved tasks were not written; trying again.")
		return
	}
	n.recordHomeZone(ctx, g.accept.ID, g.to, g.moves[0].Hop)
}

// recordHomeZone records the home zone of a moved job in the stream of keys, which all hosts read. Without that record
// a host finds the job by asking the zones one after another.
func (n *Node) recordHomeZone(ctx context.Context, id, zone string, hop int) {
	item, err := intent.HomeZoneItem(intent.HomeZone{Key: id, Zone: zone, Hop: hop})
	if err == nil {
		_, err = n.keys.feed.Write(ctx, item)
	}
	if err != nil {
		n.log.WithError(err).Debug("Home zone of a moved job was not recorded; hosts find the job by asking the zones.")
	}
}
