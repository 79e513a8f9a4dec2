// Package node is the runtime of an entry host: it runs the commands of the pure packages and feeds results back.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/roster"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/capacity"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// Names of the streams in the log.
const (
	streamConfig = "config"
	streamKeys   = "keys"
	streamZone   = "zone."
)

const (
	// snapshotEvery is the number of records after which a stream's state is appended again.
	snapshotEvery = 2000
	// maxSends bounds the sends of one idempotent request by this host, hedges included.
	maxSends = 3
	// retryRatio and retryBurst bound retries and hedges: 10 % of requests and at most 20 saved up.
	retryRatio = 0.1
	retryRate  = 1.0
	retryBurst = 20
	// firstService is the service time assumed before one was measured.
	firstService = 20 * time.Millisecond
)

// Fleet is what the node needs of the workers.
type Fleet interface {
	Brief(ctx context.Context, addr string) (fleet.Status, error)
	Lease(ctx context.Context, addr string, l fleet.LeaseRequest) (fleet.Status, error)
	Release(ctx context.Context, addr string, f fleet.Fence) error
	Start(ctx context.Context, addr string, o fleet.Order) error
	Control(ctx context.Context, addr string, c fleet.Control) (fleet.Task, error)
	Forget(ctx context.Context, addr string, f fleet.Fence, tasks []fleet.TaskRef) error
	Call(ctx context.Context, addr string, c fleet.Call) (fleet.Answer, error)
	Lookup(ctx context.Context, addr, request string, attempt int) (fleet.CallStatus, error)
}

// Roster is what the node needs of the host list.
type Roster interface {
	Hosts(ctx context.Context) ([]roster.Host, error)
}

// Node is the runtime of one entry host.
//
// Lock order: config.mu, keys.mu, zone.mu, peers.mu. No lock is held during I/O.
type Node struct {
	cfg   settings.Settings
	log   *logrus.Entry
	mtr   *telemetry.Metrics
	fleet Fleet
	hosts Roster
	peer  *peer.Client
	// writer identifies this process start in the log.
	writer string

	config configView
	keys   keysView
	zone   zoneView
	peers  peersView

	budgetMu sync.Mutex
	budget   *limit.Budget

	// listRead is set once reading the host list was tried.
	listRead atomic.Bool
	// logs is the log, for streams that are read now and then.
	logs feed.Log
	// lost has the other zones that are out. Only the loop of rescue uses it.
	lost map[string]*lostZone

	leaving  atomic.Bool
	inFlight gate
	started  time.Time
	// ctx ends when the node is closed; effects that outlive a request use it.
	ctx context.Context
	bg  sync.WaitGroup
}

// configView is the configuration as this host knows it.
type configView struct {
	mu    sync.Mutex
	state *config.State
	feed  *feed.Feed
	// relayed is the time at which a configuration relayed by a peer was known to be the newest.
	relayed time.Time
	// asked is set once all known peers were asked for their configuration.
	asked bool
}

// keysView has the keyed requests.
type keysView struct {
	mu    sync.Mutex
	table *intent.Table
	feed  *feed.Feed
	// waiters are told of each record of a key that a request of this host is about.
	waiters map[string]map[chan struct{}]struct{}
}

// zoneView has what belongs to the availability zone: its jobs, and the workers that this host holds.
type zoneView struct {
	mu       sync.Mutex
	rng      *rand.Rand
	jobs     *job.Table
	feed     *feed.Feed
	holdings *lease.Manager
	capacity *capacity.Table
	policy   *policy.Policy
	// workers has what is known of the workers of the zone beyond the aggregates.
	workers map[string]*workerView
	// placing has the task attempts that this host is starting, with their worker.
	placing map[string]*placement
	// settling has the task attempts for which a record is being written.
	settling map[string]bool
	// classes has the queues and learned times of the urgent classes.
	classes map[string]*classView
	// out is set while the zone is taken out, outSince is when this host noticed.
	out      bool
	outSince time.Time
	// failed has the workers on which an unfinished task failed.
	failed map[string][]string
	// tallies counts finished and evicted tasks by class.
	tallies map[string]*classTally
	// doubts has when this host read back its doubt of a worker.
	doubts map[string]time.Time
}

// WithRandom sets the source of random choices.
func WithRandom(r *rand.Rand) Option { return func(n *Node) { n.zone.rng = r } }

// Option changes a default of New.
type Option func(*Node)

// Platform has the clients of the platform's services.
type Platform struct {
	Log   feed.Log
	Fleet Fleet
	Hosts Roster
}

// New starts the runtime. The returned function stops it at once; Stop ends it gracefully before.
func New(cfg settings.Settings, p Platform, logger logrus.FieldLogger, mtr *telemetry.Metrics, opts ...Option) (*Node, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: telemetry.Part(logger, "node"), mtr: mtr, fleet: p.Fleet, hosts: p.Hosts,
		writer: cfg.Host + "/" + uuid.NewString(), started: time.Now(), ctx: ctx,
		budget: limit.NewBudget(retryRatio, retryRate, retryBurst),
	}
	n.lost = map[string]*lostZone{}
	n.config.state = config.NewState()
	n.keys.table = intent.New()
	n.keys.waiters = map[string]map[chan struct{}]struct{}{}
	n.zone = zoneView{
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), jobs: job.New(),
		holdings: lease.New(cfg.Host, lease.WithTTL(cfg.Lease.TTL), lease.WithRenewInterval(cfg.Lease.Renew), lease.WithTaskTTL(cfg.Lease.Tasks)),
		policy:   policy.New(policy.WithHost(cfg.Host)), workers: map[string]*workerView{}, placing: map[string]*placement{},
		settling: map[string]bool{}, classes: map[string]*classView{}, doubts: map[string]time.Time{},
		tallies: map[string]*classTally{}, failed: map[string][]string{},
	}
	n.zone.capacity = capacity.New(capacity.WithScore(n.callScore))
	n.peers.known = map[string]*peerView{}
	for _, o := range opts {
		o(n)
	}
	client, closeClient := peer.NewClient(peer.WithCounter(n.countPeerBytes))
	n.peer = client
	closeFeeds := n.openFeeds(p.Log)
	n.loop(rosterPeriod, n.readRoster)
	n.loop(syncPeriod, n.syncPeers)
	n.loop(leasePeriod, n.tickLeases)
	n.loop(schedulePeriod, n.schedule)
	n.loop(policyPeriod, n.tickPolicy)
	n.loop(drainPeriod, n.drain)
	n.loop(rescuePeriod, n.rescue)
	n.loop(housePeriod, n.housekeep)
	return n, func() {
		cancel()
		closeFeeds()
		n.bg.Wait()
		closeClient()
	}
}

// openFeeds starts reading the three streams.
func (n *Node) openFeeds(log feed.Log) func() {
	logf := telemetry.Part(n.log.Logger, "feed").Warnf
	n.logs = n.countLog(log)
	open := func(stream string, sink feed.Sink) (*feed.Feed, func()) {
		return feed.NewFeed(n.logs, stream, n.writer, sink, feed.WithLogf(logf), feed.WithSnapshots(snapshotEvery))
	}
	var closeConfig, closeKeys, closeZone func()
	n.config.feed, closeConfig = open(streamConfig, &lockedSink{mu: &n.config.mu, Sink: n.config.state, after: n.configChanged})
	n.keys.feed, closeKeys = open(streamKeys, &lockedSink{mu: &n.keys.mu, Sink: n.keys.table, after: n.keyChanged})
	// The sink reads the field, so that records wait for it.
	n.zone.mu.Lock()
	n.zone.feed, closeZone = open(streamZone+n.cfg.Zone, &zoneSink{n: n})
	n.zone.mu.Unlock()
	return func() {
		closeConfig()
		closeKeys()
		closeZone()
	}
}

// loop calls fn with the present time every period until the node is closed.
func (n *Node) loop(period time.Duration, fn func(now time.Time)) {
	n.bg.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			fn(time.Now())
			select {
			case <-n.ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

// run starts an effect that ends with the node.
func (n *Node) run(fn func(ctx context.Context)) {
	n.bg.Go(func() { fn(n.ctx) })
}

// Ready reports whether the host may get requests, and why not.
func (n *Node) Ready(now time.Time) (bool, string) {
	if n.leaving.Load() {
		return false, "stopping"
	}
	if !n.configured() {
		return false, "no configuration was read from the log or a peer yet"
	}
	if !n.canServe(now) {
		return false, "no worker is held and no peer has one"
	}
	return true, ""
}

// configured reports whether the host knows a configuration as new as it could have learned of.
func (n *Node) configured() bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	select {
	case <-n.config.feed.Ready():
		return true
	default:
	}
	return n.config.asked && n.config.state.Version() > 0
}

// canServe reports whether a worker can be reached, here or at a peer.
func (n *Node) canServe(now time.Time) bool {
	n.zone.mu.Lock()
	held := len(n.zone.holdings.HeldWorkers(now))
	n.zone.mu.Unlock()
	return held > 0 || n.pickPeer(now, false) != ""
}

// configFresh returns the time at which the configuration in force here was known to be the newest.
func (n *Node) configFresh() time.Time {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	t := n.config.feed.Fresh()
	if n.config.relayed.After(t) {
		t = n.config.relayed
	}
	return t
}

// Stop ends the node gracefully: it reports not ready, waits for the balancer, finishes what is in flight and
// releases its workers. The listeners stay open meanwhile.
func (n *Node) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.log.Infof("Stopping; waiting %s for the balancer.", n.cfg.Drain)
	select {
	case <-time.After(n.cfg.Drain):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: stop")
	}
	if err := n.inFlight.drain(ctx); err != nil {
		return err
	}
	n.releaseAll(ctx)
	n.log.Info("Stopped.")
	return nil
}
