package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// Service is the name of the service whose workers the stand-in runs.
	Service = "pool"
	// workerKind is the first label of each worker.
	workerKind = "std"
	// racksPerZone is the number of racks over which the workers of a zone are spread.
	racksPerZone = 2
	// drainTime is how long a worker goes on after it has announced that it will leave, and drainExcess how much longer
	// than announced it does so until it begins to leave.
	drainTime   = 2500 * time.Millisecond
	drainExcess = 500 * time.Millisecond
	// crashNoticeTime is the time after which the entry of a worker that has crashed is removed: three intervals of its
	// heartbeat.
	crashNoticeTime = 3300 * time.Millisecond
	// minRestartTime and maxRestartTime bound the time until a worker that is started again is back.
	minRestartTime = 100 * time.Millisecond
	maxRestartTime = time.Second
	// maxClockStart bounds the reading of a worker's clock at its start, in milliseconds.
	maxClockStart = 1_000_000
	// maxClockLag is the largest share by which a worker's clock is slow.
	maxClockLag = 0.02
)

// Action is a change of a worker.
type Action string

// The actions on workers.
const (
	// ActionDrain announces that a worker will leave. It leaves after a while, in the steps of a Departure.
	ActionDrain Action = "drain"
	// ActionReplace closes the address of a worker without notice, at which another one of a later start and under another
	// ID listens at once. The former process leaves in the other steps of a Departure.
	ActionReplace Action = "replace"
	// ActionKill ends a worker without notice.
	ActionKill Action = "kill"
	// ActionRestart ends a worker without notice and starts it again under the same ID and at the same address, after a
	// random time between minRestartTime and maxRestartTime.
	ActionRestart Action = "restart"
	// ActionAdd starts a new worker.
	ActionAdd Action = "add"
)

// ErrAction marks errors about an action that can't be applied.
var ErrAction = errors.New("standin: action can't be applied")

// pool runs the workers and registers them in the store.
type pool struct {
	cfg      Config
	store    *store
	faults   *faultTable
	conns    *connTable
	recorder *recorder
	log      logrus.FieldLogger

	mu      sync.Mutex
	rng     *rand.Rand
	members []*member
	// boots holds the newest boot of each worker, by ID.
	boots map[string]*worker
	// added is the number of workers that were ever added, lastBoot the boot of the newest worker.
	added    int
	lastBoot int64
	// removals holds when the entries of crashed workers are removed, by ID.
	removals map[string]time.Time
	// starts holds the workers that are to start at the address of a former one.
	starts []workerStart
}

// workerStart is a worker that is to start at the given time.
type workerStart struct {
	id, zone, rack, address string
	at                      time.Time
}

// member is a worker that is served.
type member struct {
	worker *worker
	server *server
	// leaveAt is the announced time at which the worker leaves, zero unless it drains.
	leaveAt time.Time
	// departure is nil unless the worker drains or leaves.
	departure *departure
}

// newPool returns a pool without workers.
func newPool(cfg Config, s *store, t *faultTable, c *connTable, r *recorder, log logrus.FieldLogger) *pool {
	return &pool{
		cfg: cfg, store: s, faults: t, conns: c, recorder: r, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		removals: map[string]time.Time{}, boots: map[string]*worker{},
	}
}

// close stops the servers of all workers.
func (p *pool) close() {
	p.mu.Lock()
	members := p.members
	p.members = nil
	p.mu.Unlock()
	for _, m := range members {
		m.worker.leave(time.Now())
		m.server.close()
	}
}

// add starts a new worker in the zone and registers it.
func (p *pool) add(ctx context.Context, zone string, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	port := p.cfg.WorkerPort
	if port != 0 {
		port += p.added
	}
	id := p.newID()
	rack := fmt.Sprintf("%s-r%d", zone, p.added%racksPerZone)
	p.added++
	return p.serveWorker(ctx, id, zone, rack, net.JoinHostPort(p.cfg.IP, strconv.Itoa(port)), now)
}

// newID returns the ID of a new worker. The caller holds mu.
func (p *pool) newID() string { return fmt.Sprintf("i-%08x", p.rng.Uint32()) }

// serveWorker starts a new boot of a worker and registers it. The caller holds mu.
func (p *pool) serveWorker(ctx context.Context, id, zone, rack, address string, now time.Time) error {
	p.lastBoot = max(p.lastBoot+1, now.UnixMilli())
	w := &worker{
		life: life{id: id, boot: p.lastBoot}, zone: zone, labels: []string{workerKind, rack}, capacity: p.cfg.Capacity,
		recorder: p.recorder, startedAt: now, clockStart: 1 + p.rng.Int64N(maxClockStart),
		clockRate: 1 - maxClockLag*p.rng.Float64(), runs: map[runKey]*run{}, closed: map[string]int{},
		changed: make(chan struct{}),
	}
	p.recorder.workerUp(w)
	srv, err := p.conns.serve(ctx, id, address, workerHandler(w, p.faults))
	if err != nil {
		p.recorder.workerGone(w.life)
		return err
	}
	if former := p.boots[id]; former != nil {
		former.next.Store(w)
	}
	p.boots[id] = w
	m := &member{worker: w, server: srv}
	p.members = append(p.members, m)
	delete(p.removals, id)
	p.register(m, now)
	return nil
}

// register writes the registration of a worker.
func (p *pool) register(m *member, now time.Time) {
	w := m.worker
	b := registrationBody{
		ID: w.id, Service: Service, Address: m.server.address(), Zone: w.zone, State: "ready", Labels: w.labels, Born: w.boot,
		Capacity: capacityBody{CPU: w.capacity.Cores, MemMb: w.capacity.Memory, GPU: w.capacity.Accelerators},
	}
	if !m.leaveAt.IsZero() {
		b.State, b.RemainingMs = "draining", m.leaveAt.Sub(now).Milliseconds()
	}
	data, err := json.Marshal(b)
	if err != nil {
		p.log.WithError(err).Error("standin: encode registration")
		return
	}
	p.store.put(workerTopic, w.id, data)
}

// step lets time pass for all workers: runs end, workers leave, entries of crashed workers are removed, and workers start
// at the address of a former one.
func (p *pool) step(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 0; i < len(p.members); i++ {
		m := p.members[i]
		m.worker.advance(now)
		if m.departure == nil {
			continue
		}
		if !now.Before(m.departure.endAt) {
			p.remove(m, now)
			i--
			p.log.WithField("worker", m.worker.id).Info("standin: worker has left")
		}
		m.departure.advance(now)
	}
	for id, at := range p.removals {
		if !now.Before(at) {
			delete(p.removals, id)
			p.store.put(workerTopic, id, nil)
		}
	}
	p.startDue(ctx, now)
}

// startDue starts the workers that are to start by now at the address of a former one. The caller holds mu.
func (p *pool) startDue(ctx context.Context, now time.Time) {
	p.starts = slices.DeleteFunc(p.starts, func(s workerStart) bool {
		if now.Before(s.at) {
			return false
		}
		err := p.serveWorker(ctx, s.id, s.zone, s.rack, s.address, now)
		if err != nil {
			// Another process may use the port for a connection for a while.
			p.log.WithError(err).WithField("worker", s.id).Warn("standin: start worker at former address")
		}
		return err == nil
	})
}

// startAtAddress has a worker start at the address of the given one at the given time. The caller holds mu.
func (p *pool) startAtAddress(former *member, id string, at time.Time) {
	p.starts = append(p.starts, workerStart{
		id: id, zone: former.worker.zone, rack: former.worker.labels[1], address: former.server.address(), at: at,
	})
}

// unlist removes the entry of a worker.
func (p *pool) unlist(m *member) { p.store.put(workerTopic, m.worker.id, nil) }

// disconnect closes the open connections to a worker that leaves.
func (p *pool) disconnect(m *member) {
	if m.departure.abrupt {
		p.conns.closeAll(m.worker.id)
	} else {
		m.server.closeIdle()
	}
}

// remove ends a worker and closes its address. The caller holds mu.
func (p *pool) remove(m *member, now time.Time) {
	m.worker.leave(now)
	m.server.close()
	for i, o := range p.members {
		if o == m {
			p.members = append(p.members[:i], p.members[i+1:]...)
			return
		}
	}
}

// change applies an action to n random workers that don't drain or leave, in the zone or in any zone if it is empty, and
// returns their IDs. It fails with an error marked with ErrAction if there are fewer.
func (p *pool) change(ctx context.Context, a Action, n int, zone string, now time.Time) ([]string, error) {
	if a == ActionAdd {
		for range n {
			to := zone
			if to == "" {
				to = p.cfg.Zones[p.intN(len(p.cfg.Zones))]
			}
			if err := p.add(ctx, to, now); err != nil {
				return nil, err
			}
		}
		return []string{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ready, err := p.choose(n, zone)
	if err != nil {
		return nil, errors.Wrapf(err, "standin: %s", a)
	}
	ids := make([]string, 0, n)
	for _, m := range ready {
		if err := p.apply(ctx, a, m, now); err != nil {
			return ids, err
		}
		ids = append(ids, m.worker.id)
	}
	p.log.WithFields(logrus.Fields{"action": a, "workers": ids}).Info("standin: changed workers")
	return ids, nil
}

// choose returns n random workers that don't drain or leave, in the zone or in any zone if it is empty. The caller holds
// mu.
func (p *pool) choose(n int, zone string) ([]*member, error) {
	var ready []*member
	for _, m := range p.members {
		if m.departure == nil && (zone == "" || m.worker.zone == zone) {
			ready = append(ready, m)
		}
	}
	if n < 0 || n > len(ready) {
		return nil, errors.Mark(errors.Newf("standin: %d of %d workers", n, len(ready)), ErrAction)
	}
	p.rng.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:n], nil
}

// pick returns the IDs of n random workers that don't drain or leave, in the zone or in any zone if it is empty.
func (p *pool) pick(n int, zone string) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen, err := p.choose(n, zone)
	ids := make([]string, 0, len(chosen))
	for _, m := range chosen {
		ids = append(ids, m.worker.id)
	}
	return ids, err
}

// intN returns a random number below n.
func (p *pool) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

// apply applies an action to a worker. The caller holds mu.
func (p *pool) apply(ctx context.Context, a Action, m *member, now time.Time) error {
	w := m.worker
	unlist, disconnect := func() { p.unlist(m) }, func() { p.disconnect(m) }
	switch a {
	case ActionDrain:
		m.leaveAt = now.Add(drainTime)
		m.departure = p.cfg.Departure.newDeparture(
			p.rng, m.leaveAt.Add(drainExcess), unlist, m.server.refuse, disconnect,
		)
		p.recorder.workerDraining(w.life)
		p.register(m, now)
	case ActionReplace:
		p.recorder.disturb(now)
		m.departure = p.cfg.Departure.newDeparture(p.rng, now, unlist, disconnect)
		p.recorder.workerDraining(w.life)
		m.server.refuse()
		p.startAtAddress(m, p.newID(), now)
		p.startDue(ctx, now)
	case ActionKill:
		p.recorder.disturb(now)
		p.remove(m, now)
		p.removals[w.id] = now.Add(crashNoticeTime)
	case ActionRestart:
		p.recorder.disturb(now)
		p.remove(m, now)
		p.removals[w.id] = now.Add(crashNoticeTime)
		after := minRestartTime + time.Duration(p.rng.Int64N(int64(maxRestartTime-minRestartTime)))
		p.startAtAddress(m, w.id, now.Add(after))
	default:
		return errors.Mark(errors.Newf("standin: no action %q", a), ErrAction)
	}
	return nil
}
