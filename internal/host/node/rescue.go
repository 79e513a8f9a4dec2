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
	rescuePeriod = 5 * time.Second
	// rescueBatch bounds the records written in one append of a rescue.
	rescueBatch = 32
)

// lostZone follows a zone that was taken out, until its tasks have been moved away.
type lostZone struct {
	// since is when this host learned that the zone is out. A holder in that zone whose view is older has stopped
	// renewing task leases by the cut-off bound after that.
	since time.Time
	// running is set while a pass over the zone's stream is under way.
	running atomic.Bool
}

// rescue moves the tasks of zones that were lost without notice and taken out by operators. Hosts of a zone that is
// still there move its tasks themselves; see drain.
func (n *Node) rescue(now time.Time) {
	out := n.zonesOut()
	wait := n.cfg.Freshness.RenewalCutoff + n.cfg.Lease.TaskTTL
	wait += wait / 10
	for zone := range n.lostZones {
		if !out[zone] {
			delete(n.lostZones, zone)
		}
	}
	for zone := range out {
		if zone == n.cfg.Zone {
			continue
		}
		z := n.lostZones[zone]
		if z == nil {
			z = &lostZone{since: now}
			n.lostZones[zone] = z
		}
		if z.running.Load() || now.Sub(z.since) < wait || out[n.cfg.Zone] || !n.mayStart(now) || n.anyHeard(zone, now) || !n.rescuer(zone, now) {
			continue
		}
		z.running.Store(true)
		n.runBackground(func(ctx context.Context) {
			defer z.running.Store(false)
			n.rescueZone(ctx, zone)
		})
	}
}

// anyHeard reports whether a host of the zone was heard of lately.
func (n *Node) anyHeard(zone string, now time.Time) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, v := range n.peers.known {
		if v.state.Zone == zone && !v.stateAt.IsZero() && now.Sub(v.stateAt) < 2*rescuePeriod {
			return true
		}
	}
	return false
}

// rescuer reports whether this host is the one of its zone that moves the tasks of a lost zone. Hosts of several zones
// may do so at once: log order settles which move of a task is valid.
func (n *Node) rescuer(zone string, now time.Time) bool {
	hosts := n.peers.hostsInZone(now, n.cfg.Host, n.cfg.Zone)
	return len(hosts) > 0 && hosts[xxhash.Sum64String(zone)%uint64(len(hosts))] == n.cfg.Host
}

// rescueRun is one pass over the stream of a lost zone.
type rescueRun struct {
	n    *Node
	zone string
	mu   sync.Mutex
	jobs *job.Table
	feed *feed.Feed
}

// rescueZone reads the stream of a lost zone and moves its unfinished tasks here. A pass that is cut short is repeated.
func (n *Node) rescueZone(ctx context.Context, zone string) {
	r := &rescueRun{n: n, zone: zone, jobs: job.New()}
	f, closeFeed := feed.NewFeed(n.streamLog, streamZone+zone, n.writer, &lockedSink{mu: &r.mu, Sink: r.jobs, onApplied: func(record.Item) {}})
	defer closeFeed()
	r.feed = f
	select {
	case <-f.Ready():
	case <-ctx.Done():
		return
	}
	if err := r.move(ctx); err != nil {
		n.log.WithError(err).Warnf("Tasks of lost zone %s were not all moved; trying again.", zone)
	}
}

// move evicts, releases and takes over the unfinished tasks of the zone.
func (r *rescueRun) move(ctx context.Context) error {
	var evicts, moves []record.Item
	r.mu.Lock()
	for _, w := range r.jobs.Workers() {
		for _, t := range r.jobs.RunningOn(w) {
			i, err := job.EvictItem(job.Evict{Task: t.ID(), Attempt: t.Attempt(), Reason: job.ReasonDrained, Host: r.n.cfg.Host})
			if err != nil {
				r.mu.Unlock()
				return err
			}
			evicts = append(evicts, i)
		}
	}
	r.mu.Unlock()
	if err := r.write(ctx, evicts); err != nil {
		return err
	}
	r.mu.Lock()
	for _, class := range r.jobs.Classes() {
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
	if err := r.write(ctx, moves); err != nil {
		return err
	}
	if len(evicts)+len(moves) > 0 {
		r.n.log.Infof("Lost zone %s: evicted %d attempts and released %d tasks.", r.zone, len(evicts), len(moves))
	}
	return r.takeOver(ctx)
}

// takeOver records the released tasks in this zone's stream and confirms their moves.
func (r *rescueRun) takeOver(ctx context.Context) error {
	r.mu.Lock()
	groups := groupMoved(r.zone, r.jobs, func(t *job.Task) bool { return t.ToZone() == r.n.cfg.Zone })
	r.mu.Unlock()
	for _, g := range groups {
		if reply := r.n.acceptHere(ctx, g.accept); reply.Outcome != outcome.Done {
			return errors.Newf("node: take over job %s: %s", g.accept.ID, reply.Message)
		}
		items, err := g.confirmations()
		if err != nil {
			return err
		}
		if err := r.write(ctx, items); err != nil {
			return err
		}
		r.n.recordHome(ctx, g.accept.ID, r.n.cfg.Zone, g.moves[0].Hop)
	}
	return nil
}

// write writes items in batches. Verdicts are left to the table: an item may have lost to a host of another zone.
func (r *rescueRun) write(ctx context.Context, items []record.Item) error {
	for len(items) > 0 {
		k := min(rescueBatch, len(items))
		if _, err := r.feed.Write(ctx, items[:k]...); err != nil {
			return errors.Wrapf(err, "node: write to stream of lost zone %s", r.zone)
		}
		items = items[k:]
	}
	return nil
}
