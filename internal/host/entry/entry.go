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

// WorkerNews is what has changed in the platform's list of workers.
type WorkerNews struct {
	Listed []dispatch.Registration
	Gone   []string
	// Whole is set if Listed names all workers, so that others are gone.
	Whole  bool
	Next   int64
	Faults []error
}

// OperatorNews is what operators have changed.
type OperatorNews struct {
	// Manifest is the newest one, nil if it has not changed.
	Manifest *Manifest
	// Zones says for each zone whether it is evacuated now.
	Zones  map[string]bool
	Whole  bool
	Next   int64
	Faults []error
}

// Directory is what workers and operators write.
type Directory interface {
	// Workers returns the changes from a position on, all workers for a negative one.
	Workers(ctx context.Context, from int64) (WorkerNews, error)
	// Operations returns the operators' changes, and waits for one if there is none.
	Operations(ctx context.Context, from int64, wait time.Duration) (OperatorNews, error)
}

// Workers gives orders to workers.
type Workers interface {
	Do(ctx context.Context, o dispatch.Order) (dispatch.Answer, int64, error)
	Hold(ctx context.Context, h dispatch.Hold) (dispatch.Report, error)
	// Forget closes the connections to an address.
	Forget(address string)
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
	// Peers is the address on which other hosts are answered.
	Peers  string
	Limits dispatch.Limits
	// Power is the host's processor time per second in thousandths of a core, 0 if it is not known. Much weaker hosts
	// leave the leadership to others.
	Power int64
	// IsRestarted recognises an error of Workers.Hold that another boot of the worker has answered.
	IsRestarted func(error) bool
}

// The topics of the project in the platform's log.
var (
	claimPart   = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 0}
	renewalPart = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 1}
	memberPart  = ledger.Partition{Topic: "keyed.sassafraswind.lead", Part: 2}
	statePart   = ledger.Partition{Topic: "keyed.sassafraswind.state", Part: 0}
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

	// table is the routing of the newest manifest, nil before the first.
	table atomic.Pointer[routing]
	// blind is set while the operators' records can't be read.
	blind atomic.Bool

	mu sync.Mutex
	// watch is this host's view of the leadership.
	watch *leadership.Elector
	// term is the present term while this host leads, nil otherwise.
	term *term
	// claiming is set while a claim of this host is on its way. Others may read it in the log before this host knows
	// that it leads.
	claiming bool
	// changed is closed and replaced whenever the leadership changes.
	changed chan struct{}
	// manifest and zones are the newest configuration; operatorsRead is set after the first reading.
	manifest      *Manifest
	zones         map[string]bool
	operatorsRead bool
	// members holds the addresses of the other hosts that are known.
	members map[string]member
	// distance is the time of a call to the store when this host last read all claims.
	distance time.Duration
	// lastStore is when the store last answered, lastLeader when the leader did.
	lastStore, lastLeader time.Time
	stopping              bool
	// inflight counts the callers' requests in progress.
	inflight int
	poke     chan struct{}
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
	// version is that of the host's manifest when it last said so.
	version uint64
	// storeAge is how long ago the store had answered the host when it last said so, at the time seen.
	storeAge time.Duration
	seen     time.Time
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
		log: log, recorder: noRecorder{}, zones: map[string]bool{}, members: map[string]member{}, changed: make(chan struct{}),
		poke: make(chan struct{}, 1),
	}
	h.store = observedStore{store, h}
	h.watch = leadership.NewElector(h.instance)
	for _, o := range opts {
		o(h)
	}
	client, closePeers := peer.NewClient()
	h.peers = client
	ctx, cancel := context.WithCancel(context.Background())
	_, stopServer := peer.ServeRoutes(l, peer.Routes{
		methodAsk:      peer.Handle(h.peerAsk),
		methodBeat:     peer.Handle(h.peerBeat),
		methodAnnounce: peer.Handle(h.peerAnnounce),
	}, func(err error) { telemetry.Part(h.log, "peers").WithError(err).Debug("Connection ended") })

	var wg sync.WaitGroup
	run := func(fn func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(ctx)
		}()
	}
	run(h.followOperators)
	run(h.followClaims)
	run(h.watchLeader)
	h.part("host").WithFields(logrus.Fields{"name": cfg.Name, "zone": cfg.Zone, "instance": h.instance}).Info("Started")
	return h, func(stopCtx context.Context) {
		h.Leave(stopCtx)
		h.waitIdle(stopCtx)
		cancel()
		h.endTerm("stopping")
		wg.Wait()
		stopServer()
		closePeers()
		h.part("host").Info("Stopped")
	}
}

func (h *Host) part(name string) *logrus.Entry { return telemetry.Part(h.log, name) }

// waitIdle waits until no request is in progress.
func (h *Host) waitIdle(ctx context.Context) {
	for {
		h.mu.Lock()
		n := h.inflight
		h.mu.Unlock()
		if n == 0 {
			return
		}
		if !pause(ctx, idlePoll) {
			h.part("host").WithField("requests", n).Warn("Requests were in progress at the end of the grace period")
			return
		}
	}
}

// idlePoll is the interval at which a stopping host looks whether requests are in progress.
const idlePoll = 20 * time.Millisecond

// observedStore notes when the store answers.
type observedStore struct {
	ledger.Store
	h *Host
}

func (s observedStore) note(err error) {
	if err == nil || errors.Is(err, ledger.ErrConflict) || errors.Is(err, ledger.ErrFenced) {
		s.h.mu.Lock()
		s.h.lastStore = s.h.clock.Now()
		s.h.mu.Unlock()
	}
}

// Append implements ledger.Store.
func (s observedStore) Append(ctx context.Context, a ledger.Append) (ledger.Position, error) {
	p, err := s.Store.Append(ctx, a)
	s.note(err)
	return p, err
}

// Read implements ledger.Store.
func (s observedStore) Read(ctx context.Context, p ledger.Partition, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	s.note(err)
	return page, err
}

// Newest implements ledger.Store.
func (s observedStore) Newest(ctx context.Context, p ledger.Partition, after string) (ledger.Newest, error) {
	n, err := s.Store.Newest(ctx, p, after)
	s.note(err)
	return n, err
}

// pause waits for the duration, less if the context ends. It reports whether the context still runs.
func pause(ctx context.Context, d time.Duration) bool {
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
	r := h.table.Load()
	if r == nil {
		return nil, 0
	}
	return r.table, r.maxBody
}

// readyBound is how old the leader's last answer may be for the host to take new connections.
const readyBound = 2500 * time.Millisecond

// Ready reports whether the host can serve callers: it has a manifest and a leader that answers.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping || h.manifest == nil {
		return false
	}
	return h.term != nil || h.clock.Now().Sub(h.lastLeader) < readyBound
}
