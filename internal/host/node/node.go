// Package node is the entry host that the command serve starts. The one that the command join starts is that of package
// entry.
//
// The packages of the request, work and zone logic do no I/O; this package executes the commands that they return and
// passes the results back to them as messages.
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
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/capacity"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

// Names of the streams in the log. The name of a zone follows streamZone.
const (
	streamConfig = "config"
	streamKeys   = "keys"
	streamZone   = "zone."
)

const (
	// recordsPerSnapshot is the number of records of a stream after which a snapshot of its state is appended.
	recordsPerSnapshot = 2000
	// maxSends is the largest number of sends of one idempotent request by this host, hedges included.
	maxSends = 3
	// retryRatio, retryRate and retryBurst bound retries and hedges to 10 % of the idempotent requests plus 1 a second;
	// at most 20 unused ones are saved up.
	retryRatio = 0.1
	retryRate  = 1.0
	retryBurst = 20
	// initialServiceTime is the service time that is assumed until one has been measured.
	initialServiceTime = 20 * time.Millisecond
)

// Fleet sends messages to workers. fleet.Client implements it.
type Fleet interface {
	BriefStatus(ctx context.Context, addr string) (fleet.Status, error)
	Lease(ctx context.Context, addr string, l fleet.LeaseRequest) (fleet.Status, error)
	Release(ctx context.Context, addr string, f fleet.Fence) error
	Start(ctx context.Context, addr string, r fleet.StartRequest) error
	Control(ctx context.Context, addr string, c fleet.Control) (fleet.Task, error)
	Forget(ctx context.Context, addr string, f fleet.Fence, tasks []fleet.TaskRef) error
	Call(ctx context.Context, addr string, c fleet.Call) (fleet.Answer, error)
	Lookup(ctx context.Context, addr, request string, attempt int) (fleet.CallStatus, error)
}

// HostLister reads the host list. hostlist.Client implements it.
type HostLister interface {
	Hosts(ctx context.Context) ([]hostlist.Host, error)
}

// Node is the runtime of one entry host.
//
// Locks are taken in the order config.mu, keys.mu, zone.mu, peers.mu. budgetMu and the lock of inFlight are never held
// together with another lock. No lock is held during I/O.
type Node struct {
	cfg        settings.Settings
	log        *logrus.Entry
	metrics    *telemetry.Metrics
	fleet      Fleet
	hosts      HostLister
	peerClient *peer.Client
	// writer identifies this start of the process in the records that it writes to the log, and as the holder of workers.
	writer string

	config configView
	keys   keysView
	zone   zoneView
	peers  peersView

	budgetMu sync.Mutex
	budget   *limit.Budget

	// hostListTried is set once this host has tried to read the host list, with or without success.
	hostListTried atomic.Bool
	// streamLog is the client of the log. It is kept for streams that are read only occasionally and so have no feed.
	streamLog feed.Log
	// lostZones holds the other zones that are taken out. Only the goroutine that runs recoverLostZones uses it.
	lostZones map[string]*lostZone

	stopping  atomic.Bool
	inFlight  inFlightRequests
	startedAt time.Time
	// ctx ends when the node is closed. Background work that outlives a request uses it.
	ctx        context.Context
	background sync.WaitGroup
}

// configView is the configuration as this host knows it.
type configView struct {
	mu    sync.Mutex
	state *config.State
	feed  *feed.Feed
	// relayedAt is the time at which a configuration that a peer relayed was known to be the newest.
	relayedAt time.Time
	// peersAsked is set once all known peers have been asked for their configuration.
	peersAsked bool
}

// keysView is the state of the keyed requests as this host has read it from the log.
type keysView struct {
	mu    sync.Mutex
	table *intent.Table
	feed  *feed.Feed
	// waiters holds, by key, the channels of this host's requests that get a value when records of their key are read.
	waiters map[string]map[chan struct{}]struct{}
}

// zoneView is the state of the host's own availability zone: its jobs, and the workers that this host holds.
type zoneView struct {
	mu       sync.Mutex
	rng      *rand.Rand
	jobs     *job.Table
	feed     *feed.Feed
	leases   *lease.Manager
	capacity *capacity.Table
	policy   *policy.Policy
	// workers holds what is known of the workers of the zone besides leases, capacity and policy. It has every worker that
	// leases knows.
	workers map[string]*workerView
	// placements holds the task attempts that this host is starting, with their worker.
	placements map[string]*placement
	// recordPending holds the IDs of the tasks, and of the queried workers, for which a record is being written.
	recordPending map[string]bool
	// classes holds the queues and measured latencies of the urgent classes.
	classes map[string]*classView
	// takenOut is set while the zone is taken out of service. takenOutSince is when this host noticed.
	takenOut      bool
	takenOutSince time.Time
	// failedWorkers holds, by unfinished task, the workers on which it failed.
	failedWorkers map[string][]string
	// counters holds the counts of finished and evicted tasks by class.
	counters map[string]*classCounters
	// holderQueries holds, by worker, when this host read back its holder query about the worker.
	holderQueries map[string]time.Time
}

// WithRandom returns an option that sets the source of random choices.
func WithRandom(r *rand.Rand) Option { return func(n *Node) { n.zone.rng = r } }

// Option is a change of a default of New.
type Option func(*Node)

// Platform holds the clients of the platform's services.
type Platform struct {
	Log   feed.Log
	Fleet Fleet
	Hosts HostLister
}

// New starts the runtime of an entry host. The returned function ends it at once; for a planned stop, call Stop before.
func New(
	cfg settings.Settings, p Platform, logger logrus.FieldLogger, metrics *telemetry.Metrics, opts ...Option,
) (*Node, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: telemetry.ComponentLogger(logger, "node"), metrics: metrics, fleet: p.Fleet, hosts: p.Hosts,
		writer: cfg.Host + "/" + uuid.NewString(), startedAt: time.Now(), ctx: ctx,
		budget: limit.NewBudget(retryRatio, retryRate, retryBurst),
	}
	n.lostZones = map[string]*lostZone{}
	n.config.state = config.NewState()
	n.keys.table = intent.New()
	n.keys.waiters = map[string]map[chan struct{}]struct{}{}
	n.zone = zoneView{
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), jobs: job.New(),
		leases: lease.New(cfg.Host, lease.WithHolder(n.writer), lease.WithTTL(cfg.Lease.TTL),
			lease.WithRenewInterval(cfg.Lease.RenewInterval), lease.WithTaskTTL(cfg.Lease.TaskTTL)),
		policy: policy.New(policy.WithHost(cfg.Host)), workers: map[string]*workerView{}, placements: map[string]*placement{},
		recordPending: map[string]bool{}, classes: map[string]*classView{}, holderQueries: map[string]time.Time{},
		counters: map[string]*classCounters{}, failedWorkers: map[string][]string{},
	}
	n.zone.capacity = capacity.New(capacity.WithScore(n.callScore))
	n.peers.known = map[string]*peerView{}
	for _, o := range opts {
		o(n)
	}
	client, closeClient := peer.NewClient(peer.WithSizeRecorder(n.countPeerBytes))
	n.peerClient = client
	closeFeeds := n.openFeeds(p.Log)
	n.runPeriodically(hostListPeriod, n.readHostList)
	n.runPeriodically(syncPeriod, n.syncPeers)
	n.runPeriodically(leasePeriod, n.tickLeases)
	n.runPeriodically(schedulePeriod, n.schedule)
	n.runPeriodically(policyPeriod, n.tickPolicy)
	n.runPeriodically(zoneDrainPeriod, n.drainZone)
	n.runPeriodically(recoveryPeriod, n.recoverLostZones)
	n.runPeriodically(housekeepingPeriod, n.housekeep)
	return n, func() {
		cancel()
		closeFeeds()
		n.background.Wait()
		closeClient()
	}
}

// openFeeds starts to read the three streams. The returned function stops reading.
func (n *Node) openFeeds(log feed.Log) func() {
	logf := telemetry.ComponentLogger(n.log.Logger, "feed").Warnf
	n.streamLog = n.withByteCount(log)
	open := func(stream string, sink feed.Sink) (*feed.Feed, func()) {
		return feed.NewFeed(n.streamLog, stream, n.writer, sink, feed.WithLogf(logf), feed.WithSnapshots(recordsPerSnapshot))
	}
	var closeConfig, closeKeys, closeZone func()
	n.config.feed, closeConfig = open(streamConfig,
		&lockedSink{mu: &n.config.mu, Sink: n.config.state, onApplied: n.onConfigRecord})
	n.keys.feed, closeKeys = open(streamKeys, &lockedSink{mu: &n.keys.mu, Sink: n.keys.table, onApplied: n.onKeyRecord})
	// The zone sink reads n.zone.feed under this lock, so no record is applied before the field is set.
	n.zone.mu.Lock()
	n.zone.feed, closeZone = open(streamZone+n.cfg.Zone, &zoneSink{n: n})
	n.zone.mu.Unlock()
	return func() {
		closeConfig()
		closeKeys()
		closeZone()
	}
}

// runPeriodically calls fn with the present time in a new goroutine, at once and then every period until the node is
// closed.
func (n *Node) runPeriodically(period time.Duration, fn func(now time.Time)) {
	n.background.Go(func() {
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

// runBackground calls fn in a new goroutine. Its context ends when the node is closed.
func (n *Node) runBackground(fn func(ctx context.Context)) {
	n.background.Go(func() { fn(n.ctx) })
}

// Ready reports whether the host may get requests, and if not, why.
func (n *Node) Ready(now time.Time) (bool, string) {
	if n.stopping.Load() {
		return false, "stopping"
	}
	if !n.hasConfig() {
		return false, "no configuration was read from the log or a peer yet"
	}
	if !n.canServe(now) {
		return false, "no worker is held and no peer has one"
	}
	return true, ""
}

// hasConfig reports whether the host has read the configuration from the log, or has one and has asked all known peers
// for a newer one.
func (n *Node) hasConfig() bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	select {
	case <-n.config.feed.Ready():
		return true
	default:
	}
	return n.config.peersAsked && n.config.state.Version() > 0
}

// canServe reports whether this host holds a worker or a peer has free slots.
func (n *Node) canServe(now time.Time) bool {
	n.zone.mu.Lock()
	held := len(n.zone.leases.HeldWorkers(now))
	n.zone.mu.Unlock()
	return held > 0 || n.pickPeer(now, false) != ""
}

// configFreshAt returns the latest time at which the configuration in force here was known to be the newest.
func (n *Node) configFreshAt() time.Time {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	t := n.config.feed.FreshAsOf()
	if n.config.relayedAt.After(t) {
		t = n.config.relayedAt
	}
	return t
}

// Stop carries out a planned stop: it reports not ready, waits for the load balancer to notice, finishes the requests
// in flight and releases the workers. The listeners stay open meanwhile. It returns an error if ctx ends before the
// requests have finished.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.log.Infof("Stopping; waiting %s for the load balancer to send no more requests.", n.cfg.DrainTime)
	select {
	case <-time.After(n.cfg.DrainTime):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: stop")
	}
	if err := n.inFlight.closeWhenIdle(ctx); err != nil {
		return err
	}
	n.releaseAll(ctx)
	n.log.Info("Stopped.")
	return nil
}
