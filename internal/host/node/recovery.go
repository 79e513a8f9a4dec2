package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

const (
	// recoveryPeriod is the interval between checks for lost zones.
	recoveryPeriod = 5 * time.Second
	// recoveryBatch is the largest number of records that a recovery writes in one append.
	recoveryBatch = 32
)

// lostZone is the state of another zone that was taken out of service, until its tasks have been moved away.
type lostZone struct {
	// version is that of the zone's entry in the configuration. Another one shows that the zone was back in service in
	// between, so that the wait begins anew.
	version uint64
	// since is when this host learned that the zone was taken out of service. A lease holder in that zone whose view is
	// older than that stops renewing task leases within Freshness.RenewalCutoff after it.
	since time.Time
	// recovering is set while this host reads the zone's stream and moves its tasks.
	recovering atomic.Bool
}

// recoverLostZones moves the tasks of zones whose hosts were lost without notice and that operators then took out of
// service. If a zone still has hosts, they move its tasks themselves; see drainZone. It waits until task leases in the
// zone can no longer be in force, and a tenth longer, since the rates of two clocks may differ by that much; see
// package lease.
func (n *Node) recoverLostZones(now time.Time) {
	wait := n.cfg.Freshness.RenewalCutoff + n.cfg.Lease.TaskTTL
	wait += wait / 10
	n.trackLostZones(now)
	for zone, z := range n.lostZones {
		if z.recovering.Load() || now.Sub(z.since) < wait || !n.mayStartTasks(now) ||
			n.heardFromZone(zone, now) || !n.isRecoveryHost(zone, now) {
			continue
		}
		z.recovering.Store(true)
		n.runBackground(func(ctx context.Context) {
			defer z.recovering.Store(false)
			n.recoverZone(ctx, zone, z.version)
		})
	}
}

// trackLostZones brings lostZones up to date with the configuration.
func (n *Node) trackLostZones(now time.Time) {
	for zone, z := range n.lostZones {
		if version, out := n.takenOutVersion(zone); !out || version != z.version {
			delete(n.lostZones, zone)
		}
	}
	for zone := range n.zonesTakenOut() {
		version, out := n.takenOutVersion(zone)
		if out && zone != n.cfg.Zone && n.lostZones[zone] == nil {
			n.lostZones[zone] = &lostZone{version: version, since: now}
		}
	}
}

// takenOutVersion returns the version of the zone's entry in the configuration, and whether operators have taken the
// zone out of service.
func (n *Node) takenOutVersion(zone string) (version uint64, out bool) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	z, version, ok := n.config.state.Zone(zone)
	return version, ok && z.TakenOut
}

// awaitTakenOut waits until this host has read the configuration as it was at a time or later. It returns an error if
// the zone was brought back into service after the version with which it was taken out.
func (n *Node) awaitTakenOut(ctx context.Context, zone string, version uint64, at time.Time) error {
	for !n.configFreshAt().After(at) {
		select {
		case <-time.After(schedulePeriod):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "node: read the configuration before the recovery of zone %s", zone)
		}
	}
	if v, out := n.takenOutVersion(zone); !out || v != version {
		return errors.Newf("node: zone %s was brought back into service", zone)
	}
	return nil
}

// heardFromZone reports whether a host of the zone was heard from within the last two recovery periods.
func (n *Node) heardFromZone(zone string, now time.Time) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, v := range n.peers.known {
		if v.state.Zone == zone && !v.stateAt.IsZero() && now.Sub(v.stateAt) < 2*recoveryPeriod {
			return true
		}
	}
	return false
}

// isRecoveryHost reports whether this host is the one in its zone that moves the tasks of the lost zone. Hosts of
// several zones may do so at once: the order of the log decides which move of a task is valid.
func (n *Node) isRecoveryHost(zone string, now time.Time) bool {
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	return len(hosts) > 0 && hosts[xxhash.Sum64String(zone)%uint64(len(hosts))] == n.cfg.Host
}

// zoneRecovery is one pass over the stream of a lost zone.
type zoneRecovery struct {
	n    *Node
	zone string
	// version is that of the zone's entry in the configuration with which it was taken out.
	version uint64
	mu      sync.Mutex
	jobs    *job.Table
	feed    *feed.Feed
}

// recoverZone reads the stream of a lost zone and moves its unfinished tasks to this host's zone. version is that of the
// zone's entry in the configuration with which it was taken out. recoverLostZones repeats it as long as the zone is lost,
// so that the next pass moves what one pass has left.
func (n *Node) recoverZone(ctx context.Context, zone string, version uint64) {
	r := &zoneRecovery{n: n, zone: zone, version: version, jobs: job.New()}
	f, closeFeed := feed.NewFeed(n.streamLog, streamZone+zone, n.writer,
		&lockedSink{mu: &r.mu, Sink: r.jobs, onApplied: func(record.Item) {}})
	defer closeFeed()
	r.feed = f
	select {
	case <-f.Ready():
	case <-ctx.Done():
		return
	}
	if err := r.moveTasks(ctx); err != nil {
		n.log.WithError(err).Warnf("Not all tasks of lost zone %s could be moved to this zone; trying again.", zone)
	}
}

// moveTasks evicts the running tasks of the lost zone, moves its unfinished tasks and accepts them in this zone. It
// returns an error if the zone is back in service, a record cannot be encoded or written, or a job is not accepted.
func (r *zoneRecovery) moveTasks(ctx context.Context) error {
	var evicts, moves []record.Item
	r.mu.Lock()
	for _, w := range r.jobs.BusyWorkers() {
		for _, t := range r.jobs.RunningOn(w) {
			i, err := job.EvictItem(job.Evict{
				Task: t.ID(), Attempt: t.Attempt(), Reason: job.ReasonZoneLost, Host: r.n.writer,
			})
			if err != nil {
				r.mu.Unlock()
				return err
			}
			evicts = append(evicts, i)
		}
	}
	r.mu.Unlock()
	// A pass may take long, for example while the log is down. An attempt that was read from the stream may have been
	// started since the zone is back in service, which then precedes it in the log.
	if err := r.n.awaitTakenOut(ctx, r.zone, r.version, time.Now()); err != nil {
		return err
	}
	if err := r.writeBatches(ctx, evicts); err != nil {
		return err
	}
	r.mu.Lock()
	for _, class := range r.jobs.PendingClasses() {
		for t := range r.jobs.Pending(class) {
			i, err := job.MoveItem(job.Move{Task: t.ID(), ToZone: r.n.cfg.Zone, Hop: t.Hop() + 1})
			if err != nil {
				r.mu.Unlock()
				return err
			}
			moves = append(moves, i)
		}
	}
	r.mu.Unlock()
	if err := r.writeBatches(ctx, moves); err != nil {
		return err
	}
	if len(evicts)+len(moves) > 0 {
		r.n.log.Infof("Recovering lost zone %s: evicted %d attempts and moved %d tasks to this zone.",
			r.zone, len(evicts), len(moves))
	}
	return r.acceptMoved(ctx)
}

// acceptMoved records the moved tasks in this zone's stream and confirms their moves in the stream of the lost zone. It
// returns an error if a job is not accepted or a record cannot be written.
func (r *zoneRecovery) acceptMoved(ctx context.Context) error {
	r.mu.Lock()
	groups := groupUnconfirmedMoves(r.zone, r.jobs, func(t *job.Task) bool { return t.ToZone() == r.n.cfg.Zone })
	r.mu.Unlock()
	for _, g := range groups {
		if reply := r.n.acceptInOwnZone(ctx, g.accept); reply.Outcome != outcome.Done {
			return errors.Newf("node: take over job %s: %s", g.accept.ID, reply.Message)
		}
		items, err := g.confirmations()
		if err != nil {
			return err
		}
		if err := r.writeBatches(ctx, items); err != nil {
			return err
		}
		r.n.recordHomeZone(ctx, g.accept.ID, r.n.cfg.Zone, g.moves[0].Hop)
	}
	return nil
}

// writeBatches writes items to the lost zone's stream, in batches. It ignores the errors of single items: an item may
// have lost to one of a host of another zone; the table shows which moves are valid.
func (r *zoneRecovery) writeBatches(ctx context.Context, items []record.Item) error {
	for len(items) > 0 {
		k := min(recoveryBatch, len(items))
		if _, err := r.feed.Write(ctx, items[:k]...); err != nil {
			return errors.Wrapf(err, "node: write to stream of lost zone %s", r.zone)
		}
		items = items[k:]
	}
	return nil
}
