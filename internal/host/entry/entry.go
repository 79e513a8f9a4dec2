// Package entry runs an entry host of a deployment whose state lives in the platform's log.
//
// Every host serves callers and knows the manifest. One of them leads: it alone gives orders to workers and writes
// the state of the jobs. The others pass requests on to it and take its place when it is gone.
//
// Lock order: Host.mu is never held while a term's mu is taken, nor the other way round.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/request/route"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// Manifest is the operators' configuration as the product uses it.
type Manifest struct {
	Catalog dispatch.Catalog
	Routes  []route.Route
	// MaxBody and MaxHeader bound callers' requests, in bytes.
	MaxBody   int64
	MaxHeader int
}

// WorkerChanges is what has changed in the platform's list of workers.
type WorkerChanges struct {
	Listed  []dispatch.Registration
	Removed []string
	// Complete is set if Listed names all workers, so that others are gone.
	Complete   bool
	NextOffset int64
	Errors     []error
}

// OperatorChanges is what operators have changed.
type OperatorChanges struct {
	// Manifest is the newest one, nil if it has not changed.
	Manifest *Manifest
	// EvacuatedZones says for each zone whether it is evacuated now.
	EvacuatedZones map[string]bool
	Complete       bool
	NextOffset     int64
	Errors         []error
}

// Directory is what workers and operators write.
type Directory interface {
	// WorkerChanges returns the changes from a position on, all workers for a negative one.
	WorkerChanges(ctx context.Context, from int64) (WorkerChanges, error)
	// OperatorChanges returns the operators' changes, and waits for one if there is none.
	OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error)
}

// Workers gives orders to workers.
type Workers interface {
	SendOrder(ctx context.Context, o dispatch.Order) (dispatch.Answer, int64, error)
	RenewLeases(ctx context.Context, h dispatch.Hold) (dispatch.Report, error)
	// CloseConnections closes the connections to an address.
	CloseConnections(address string)
}

// Adviser names the workers that may run a stage.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) ([]dispatch.Permit, time.Duration, error)
}

// Clock reads the host's clocks.
type Clock interface {
	// Now is the boot clock, which also counts while the host is suspended. Only differences mean something.
	Now() time.Time
	// Wall is the time of day.
	Wall() time.Time
}

// Config is what a host needs to know of itself.
type Config struct {
	Name, Zone string
	// PeerAddress is the address on which other hosts are answered.
	PeerAddress string
	Limits      dispatch.Limits
	// Power is the host's processor time per second in thousandths of a core, 0 if it is not known. Much weaker hosts
	// leave the leadership to others.
	Power int64
	// IsWorkerRestart recognises an error of Workers.Hold that another boot of the worker has answered.
	IsWorkerRestart func(error) bool
}

// The topics of the project in the platform's log.
var (
	claimPartition   = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 0}
	renewalPartition = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 1}
	memberPartition  = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 2}
	statePartition   = ledger.Partition{Topic: "keyed.sassafraswind.state", Part: 0}
)

// Host is an entry host.
type Host struct {
	cfg       Config
	instance  string
	store     ledger.Store
	directory Directory
	workers   Workers
	adviser   Adviser
	recorder  Recorder
	clock     Clock
	log       logrus.FieldLogger
	peers     *peer.Client

	// routing is the routing of the newest manifest, nil before the first.
	routing atomic.Pointer[routing]
	// operatorRecordsUnreadable is set while the operators' records can't be read.
	operatorRecordsUnreadable atomic.Bool

	mu sync.Mutex
	// watch is this host's view of the leadership.
	watch *leadership.Watch
	// term is the present term while this host leads, nil otherwise.
	term *term
	// claiming is set while a claim of this host is on its way. Others may read it in the log before this host knows
	// that it leads.
	claiming bool
	// leaderChanged is closed and replaced whenever the leadership changes.
	leaderChanged chan struct{}
	// manifest and zones are the newest configuration; operatorsRead is set after the first reading.
	manifest            *Manifest
	evacuatedZones      map[string]bool
	operatorRecordsRead bool
	// members holds the addresses of the other hosts that are known.
	members map[string]member
	// storeLatency is the time of a call to the store when this host last read all claims.
	storeLatency time.Duration
	// storeAnsweredAt is when the store last answered, leaderAnsweredAt when the leader did.
	storeAnsweredAt, leaderAnsweredAt time.Time
	stopping                          bool
	// inflight counts the callers' requests in progress.
	inflight  int
	watchWake chan struct{}
}

// routing is the part of the manifest that callers' requests need.
type routing struct {
	table   *route.Table
	maxBody int64
}

// member is another host as far as it is known.
type member struct {
	Name     string
	Address  string
	Instance string
	// Power is that of Config, 0 if it is not known.
	Power int64
	// manifestVersion is that of the host's manifest when it last said so.
	manifestVersion uint64
	// storeAge is how long ago the store had answered the host when it last said so, at the time seen.
	storeAge time.Duration
	pingedAt time.Time
}

// Option changes a Host.
type Option func(*Host)

// WithAdviser sets the adviser.
func WithAdviser(a Adviser) Option { return func(h *Host) { h.adviser = a } }

// New starts a host on the listener for other hosts. The returned function stops it: the host leaves and waits for the
// requests in progress until the context ends.
func New(
	cfg Config, l net.Listener, store ledger.Store, d Directory, w Workers, c Clock, log logrus.FieldLogger, opts ...Option,
) (*Host, func(ctx context.Context)) {
	h := &Host{
		cfg: cfg, instance: uuid.NewString(), directory: d, workers: w, clock: c,
		log: log, recorder: nopRecorder{}, evacuatedZones: map[string]bool{}, members: map[string]member{}, leaderChanged: make(chan struct{}),
		watchWake: make(chan struct{}, 1),
	}
	h.store = observedStore{store, h}
	h.watch = leadership.NewWatch(h.instance)
	for _, o := range opts {
		o(h)
	}
	client, closePeers := peer.NewClient()
	h.peers = client
	ctx, cancel := context.WithCancel(context.Background())
	_, stopServer := peer.ServeRoutes(l, peer.Routes{
		methodRequest:  peer.Handle(h.handlePeerRequest),
		methodPing:     peer.Handle(h.handlePeerPing),
		methodAnnounce: peer.Handle(h.handlePeerAnnouncement),
	}, func(err error) { telemetry.Part(h.log, "peers").WithError(err).Debug("Connection ended") })

	var wg sync.WaitGroup
	run := func(fn func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(ctx)
		}()
	}
	run(h.followOperatorRecords)
	run(h.followClaims)
	run(h.watchLeader)
	h.logger("host").WithFields(logrus.Fields{"name": cfg.Name, "zone": cfg.Zone, "instance": h.instance}).Info("Started")
	return h, func(stopCtx context.Context) {
		h.PrepareStop(stopCtx)
		h.waitForRequests(stopCtx)
		cancel()
		h.endTerm("stopping")
		wg.Wait()
		stopServer()
		closePeers()
		h.logger("host").Info("Stopped")
	}
}

func (h *Host) logger(name string) *logrus.Entry { return telemetry.Part(h.log, name) }

// waitForRequests waits until no request is in progress.
func (h *Host) waitForRequests(ctx context.Context) {
	for {
		h.mu.Lock()
		n := h.inflight
		h.mu.Unlock()
		if n == 0 {
			return
		}
		if !sleep(ctx, idlePollInterval) {
			h.logger("host").WithField("requests", n).Warn("Requests were in progress at the end of the grace period")
			return
		}
	}
}

// idlePollInterval is the interval at which a stopping host looks whether requests are in progress.
const idlePollInterval = 20 * time.Millisecond

// observedStore notes when the store answers.
type observedStore struct {
	ledger.Store
	host *Host
}

func (s observedStore) recordAnswer(err error) {
	if err == nil || errors.Is(err, ledger.ErrConflict) || errors.Is(err, ledger.ErrFenced) {
		s.host.mu.Lock()
		s.host.storeAnsweredAt = s.host.clock.Now()
		s.host.mu.Unlock()
	}
}

// Append implements ledger.Store.
func (s observedStore) Append(ctx context.Context, a ledger.Append) (ledger.Position, error) {
	p, err := s.Store.Append(ctx, a)
	s.recordAnswer(err)
	return p, err
}

// Read implements ledger.Store.
func (s observedStore) Read(ctx context.Context, p ledger.Partition, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	s.recordAnswer(err)
	return page, err
}

// Newest implements ledger.Store.
func (s observedStore) Newest(ctx context.Context, p ledger.Partition, after string) (ledger.Newest, error) {
	n, err := s.Store.Newest(ctx, p, after)
	s.recordAnswer(err)
	return n, err
}

// sleep waits for the duration, less if the context ends. It reports whether the context still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Routes returns the routing in force and the largest body of a request.
func (h *Host) Routes() (*route.Table, int64) {
	r := h.routing.Load()
	if r == nil {
		return nil, 0
	}
	return r.table, r.maxBody
}

// readyLeaderAnswerAge is how old the leader's last answer may be for the host to take new connections.
const readyLeaderAnswerAge = 2500 * time.Millisecond

// Ready reports whether the host can serve callers: it has a manifest and a leader that answers.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping || h.manifest == nil {
		return false
	}
	return h.term != nil || h.clock.Now().Sub(h.leaderAnsweredAt) < readyLeaderAnswerAge
}
