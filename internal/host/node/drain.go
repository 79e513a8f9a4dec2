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
	drainPeriod = time.Second
	// drainLimit is the time in which the running tasks of a zone that was taken out are stopped.
	drainLimit = 60 * time.Second
	// moveBatch bounds the tasks released to another zone in one round.
	moveBatch = 64
	// carryBytes bounds the checkpoints in one accept record.
	carryBytes = 96 << 10
)

// drainEnd returns how long after a take-out task leases are renewed: twice the drain limit, and less than the cut-off
// bound.
func (n *Node) drainEnd() time.Duration { return min(2*drainLimit, n.cfg.Freshness.RenewalCutoff/2) }

// drain stops and moves the tasks of a zone that operators have taken out.
func (n *Node) drain(now time.Time) {
	if n.zoneOut(n.cfg.Zone) && !n.stopping.Load() {
		n.stopTasks(now)
		n.releaseTasks(now)
	}
	n.handOver(now)
}

// stopTasks stops some running tasks of the held workers, so that all are stopped within the drain limit.
func (n *Node) stopTasks(now time.Time) {
	z := &n.zone
	z.mu.Lock()
	var effects []func(context.Context)
	running := 0
	for _, id := range z.leases.HeldWorkers(now) {
		running += len(z.jobs.RunningOn(id))
	}
	// The share leaves tasks time to end by themselves; after the limit all are stopped at once.
	budget := running/10 + 4
	if now.Sub(z.takenOutSince) > drainLimit {
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
			if known, listed := w.tasks[t.ID()]; listed && known.State == fleet.TaskRunning {
				budget--
				effects = append(effects, n.control(w.address, fence, known, fleet.ActionStop, 0))
			}
		}
	}
	z.mu.Unlock()
	for _, e := range effects {
		n.runBackground(e)
	}
}

// releaseTasks writes move records for pending tasks, if another zone can take them.
func (n *Node) releaseTasks(now time.Time) {
	to := n.otherZone(now)
	if to == "" {
		return
	}
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	left := moveBatch
	for _, class := range z.jobs.Classes() {
		for t := range z.jobs.Pending(class) {
			if left == 0 {
				return
			}
			if z.recordPending[t.ID()] || z.placements[t.ID()] != nil || n.starter(now, t, hosts) != n.cfg.Host {
				continue
			}
			left--
			m := job.Move{Task: t.ID(), ToZone: to, Hop: t.Hop() + 1}
			n.settle(t.ID(), "move", func() (record.Item, error) { return job.MoveItem(m) }, nil)
		}
	}
}

// movedJob is the tasks of one job that were released to one zone.
type movedJob struct {
	to     string
	accept job.Accept
	// moves are the confirmations, written once the other zone has the tasks.
	moves []job.Move
}

// groupMoved collects the unconfirmed moves that are wanted, at most moveBatch, by job and zone.
func groupMoved(from string, jobs *job.Table, want func(*job.Task) bool) map[string]*movedJob {
	groups := map[string]*movedJob{}
	left := moveBatch
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
				ID: j.ID(), Class: j.Class(), Team: j.Team(), Count: j.Count(), Size: j.Size(), Body: j.Body(), RunTime: j.RunTime(), FromZone: from,
			}}
			groups[j.ID()+t.ToZone()] = g
		}
		if carried(g.accept)+len(t.Checkpoint()) > carryBytes {
			continue
		}
		left--
		g.accept.Tasks = append(g.accept.Tasks, t.MovedTask())
		g.moves = append(g.moves, job.Move{Task: t.ID(), ToZone: t.ToZone(), Hop: t.Hop(), Done: true})
	}
	// An accept lists its tasks by index, whereas moves come in any order.
	for _, g := range groups {
		slices.SortFunc(g.accept.Tasks, func(a, b job.MovedTask) int { return a.Index - b.Index })
	}
	return groups
}

// confirmations returns the records that end the moves.
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

// carried returns the size of the checkpoints of an accept.
func carried(a job.Accept) int {
	total := 0
	for _, t := range a.Tasks {
		total += len(t.Checkpoint)
	}
	return total
}

// handOver gives moved tasks to their new zone. It is repeated until the other zone has recorded them, by any host of
// this zone, and each step is idempotent.
func (n *Node) handOver(now time.Time) {
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	z := &n.zone
	z.mu.Lock()
	groups := groupMoved(n.cfg.Zone, z.jobs, func(t *job.Task) bool {
		return !z.recordPending[t.ID()] && n.starter(now, t, hosts) == n.cfg.Host
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

// handOverJob records tasks of one job in their new zone and then confirms their moves here.
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
	r := n.acceptIn(ctx, g.to, g.accept)
	if r.Outcome != outcome.Done {
		n.log.WithField("job", g.accept.ID).Infof("Zone %s has not taken over tasks yet: %s.", g.to, r.Message)
		return
	}
	n.zone.mu.Lock()
	j := n.zone.jobs.Job(g.accept.ID)
	cancelled := j != nil && j.Cancelled()
	n.zone.mu.Unlock()
	if cancelled {
		// The cancellation came while the tasks were on their way.
		if r, ok := n.inZone(ctx, g.to, g.accept.ID, peer.JobCancel); !ok || r.Outcome == outcome.Unknown {
			return
		}
	}
	items, err := g.confirmations()
	if err != nil {
		n.log.WithError(err).Error("Move was not encoded.")
		return
	}
	if _, err := n.zone.feed.Write(ctx, items...); err != nil {
		n.log.WithError(err).Debug("Moves were not confirmed; trying again.")
		return
	}
	n.recordHome(ctx, g.accept.ID, g.to, g.moves[0].Hop)
}

// recordHome tells all hosts which zone has a moved job. Without it the job is found by asking the zones.
func (n *Node) recordHome(ctx context.Context, id, zone string, hop int) {
	item, err := intent.HomeZoneItem(intent.HomeZone{Key: id, Zone: zone, Hop: hop})
	if err == nil {
		_, err = n.keys.feed.Write(ctx, item)
	}
	if err != nil {
		n.log.WithError(err).Debug("Home of a moved job was not recorded.")
	}
}
