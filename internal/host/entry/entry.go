// Package entry is the entry host that the command join starts. It stores the state of the deployment in the platform's
// partitioned log behind ledger.Store, which the comments call the store or the log. The entry host that the command
// serve starts is that of package node.
//
// Every entry host accepts requests from callers and knows the manifest. One host is the leader: only the leader sends
// orders to workers and writes the state of the jobs. The other hosts forward requests to the leader, and one of them
// takes over when the leader fails.
//
// Locks: Host.mu and term.mu are never held at the same time.
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
	"sassafraswind.example/sassafraswind/internal/request/access"
	"sassafraswind.example/sassafraswind/internal/request/route"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// Manifest is the operators' configuration after decoding. It is sent between hosts under its Go field names.
type Manifest struct {
	Catalog dispatch.Catalog
	Routes  []route.Route
	// MaxBody and MaxHeader limit the size of a caller's request, in bytes.
	MaxBody   int64
	MaxHeader int
	// Keys holds the API keys of the teams in Catalog.Teams.
	Keys []access.Key
	// IncludesTeams is set in all manifests that hosts of this version decode, also in those without teams. Hosts of
	// earlier versions leave out the teams and their keys.
	IncludesTeams bool
	// HeaderTimeout bounds the time for the header of a caller's request, and IdleTimeout that between two requests on a
	// connection. 0 stands for the default.
	HeaderTimeout, IdleTimeout time.Duration
}

// WorkerChanges holds the changes in the platform's list of workers.
type WorkerChanges struct {
	// Listed holds the workers that are new or have changed, Removed the IDs of those that were removed.
	Listed  []dispatch.Registration
	Removed []string
	// Invalid holds the IDs of the workers whose newest record could not be decoded. They stay listed as they were.
	Invalid []string
	// Complete is set if Listed and Invalid contain all workers; any worker that is in neither has been removed.
	Complete bool
	// NextOffset is the offset from which to read the next changes.
	NextOffset int64
	// Errors holds an error for each record that could not be decoded and was left out.
	Errors []error
}

// OperatorChanges holds the changes that operators have made.
type OperatorChanges struct {
	// Manifest is the newest manifest, nil if it has not changed.
	Manifest *Manifest
	// EvacuatedZones holds, for each zone in it, whether the zone is evacuated now.
	EvacuatedZones map[string]bool
	// Complete is set if EvacuatedZones replaces all earlier values.
	Complete bool
	// Behind is set if the store held further records when it answered.
	Behind bool
	// ManifestHidden is set if the newest manifest is invalid and an earlier valid one may exist that was not found.
	ManifestHidden bool
	// NextOffset is the offset from which to read the next changes.
	NextOffset int64
	// Errors holds an error for each record that could not be decoded and was left out.
	Errors []error
}

// Directory reads the records that workers and operators write.
type Directory interface {
	// WorkerChanges returns the changes from an offset on, or all workers if the offset is negative.
	WorkerChanges(ctx context.Context, from int64) (WorkerChanges, error)
	// OperatorChanges returns the operators' changes from an offset on, or the complete configuration if the offset is
	// negative. If there is no change yet, it waits up to the given time for one.
	OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error)
}

// Workers sends orders and lease renewals to workers.
type Workers interface {
	// SendOrder sends an order to a worker and returns its answer and its clock in milliseconds, 0 if there is none. It
	// calls permit right before it sends the order, and sends nothing and returns dispatch.AnswerLate if that is false.
	SendOrder(ctx context.Context, o dispatch.Order, permit func() bool) (dispatch.Answer, int64, error)
	// RenewLeases renews the leases of a worker and returns what runs there and which runs have ended. It calls permit
	// right before it sends the renewal, and fails if that is false.
	RenewLeases(ctx context.Context, r dispatch.LeaseRenewal, permit func() bool) (dispatch.Report, error)
	// CloseConnections closes the connections to an address.
	CloseConnections(address string)
}

// Adviser selects the workers that may run a stage.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the stage, and how long the tickets are valid.
	Advise(ctx context.Context, stage string, workers []string) ([]dispatch.AdviceTicket, time.Duration, error)
}

// Clock reads the host's clocks.
type Clock interface {
	// Now reads the boot clock, which also advances while the host is suspended. Only differences between its readings
	// are meaningful.
	Now() time.Time
	// Wall returns the time of day.
	Wall() time.Time
}

// Config is the configuration of one entry host.
type Config struct {
	Name, Zone string
	// PeerAddress is the address at which this host answers other entry hosts.
	PeerAddress string
	Limits      dispatch.Limits
	// Power is the host's processor time per second in thousandths of a core, 0 if it is unknown. A host with much less
	// of it than another one leaves the leadership to that host.
	Power int64
	// Revocation decides when the keys of an unconfirmed manifest are no longer accepted.
	Revocation access.Revocation
	// OnTerm is called when a term of this host begins. The function that it returns is called when the term ends. It may
	// be nil.
	OnTerm func() func()
	// IsWorkerRestart reports whether an error of Workers.RenewLeases means that another boot of the worker answered.
	IsWorkerRestart func(error) bool
}

// The project's partitions in the store.
var (
	claimPartition   = ledger.Partition{Topic: "keyed.sassafraswind.lead", Index: 0}
	renewalPartition = ledger.Partition{Topic: "keyed.sassafraswind.lead", Index: 1}
	memberPartition  = ledger.Partition{Topic: "keyed.sassafraswind.lead", Index: 2}
	statePartition   = ledger.Partition{Topic: "keyed.sassafraswind.state", Index: 0}
)

// Host is an entry host.
type Host struct {
	cfg Config
	// instance is a random ID of this start of the host.
	instance  string
	store     ledger.Store
	directory Directory
	workers   Workers
	adviser   Adviser
	recorder  Recorder
	clock     Clock
	log       logrus.FieldLogger
	peers     *peer.Client

	// routing is derived from the newest manifest. It is nil until the first manifest is known.
	routing atomic.Pointer[Routing]
	// operatorRecordsUnreadable is set while the operators' records can't be read from the store.
	operatorRecordsUnreadable atomic.Bool

	mu sync.Mutex
	// elector tracks which host leads, as far as this host knows, and decides when to claim the leadership.
	elector *leadership.Elector
	// term is the current term while this host leads, nil otherwise.
	term *term
	// claiming is set while this host appends a claim and until it knows the result. Other hosts may read the claim in
	// the log before this host learns that it leads.
	claiming bool
	// leaderChanged is closed and replaced whenever the leader changes.
	leaderChanged chan struct{}
	// configuration is the newest one; operatorRecordsRead is set after the first read. Only updateConfiguration replaces it.
	configuration       configuration
	operatorRecordsRead bool
	// manifestHidden is the last OperatorChanges.ManifestHidden, until a manifest is read. The leader is asked for its
	// manifest meanwhile.
	manifestHidden bool
	// ignoredVersion is the version of the last manifest that was ignored since it lacked its teams.
	ignoredVersion uint64
	// confirmation tracks when manifest was last known to be the newest. loggedKeyState is the result of KeyState that was
	// last logged, at keyStateLoggedAt.
	confirmation     access.Confirmation
	loggedKeyState   access.State
	keyStateLoggedAt time.Time
	// leaderStamp is the newest stamp of the leader with the newest known claim, 0 if there is none.
	leaderStamp int64
	// members holds the other known hosts by name.
	members map[string]member
	// membersFullLoggedAt is when it was last logged that there are too many of them.
	membersFullLoggedAt time.Time
	// storeLatency is the time of a call to the store, measured when this host last read all claims.
	storeLatency time.Duration
	// storeAnsweredAt is the time of the store's last answer, leaderAnsweredAt that of the leader's last answer.
	storeAnsweredAt, leaderAnsweredAt time.Time
	stopping                          bool
	// inflight is the number of callers' requests in progress.
	inflight int
	// forwarding is the number of requests in progress at other hosts, by address.
	forwarding map[string]int
	// watchWake wakes watchLeader.
	watchWake chan struct{}

	outcomes outcomeTotals
}

// Routing is the part of a manifest that is needed to serve callers' requests. It is immutable: a new version replaces the
// routes and the keys at once.
type Routing struct {
	Table *route.Table
	// MaxBody is the largest body of a request in bytes, 0 if the manifest sets no limit.
	MaxBody int64
	// Version is that of the manifest.
	Version uint64
	// Access holds the keys of the teams, nil if the manifest has no teams.
	Access *access.Table
}

// member is what this host knows of another entry host. It is stored under the Go names of its exported fields.
type member struct {
	Name     string
	Address  string
	Instance string
	// Power is the host's Config.Power, 0 if it is unknown.
	Power int64
	// manifestVersion is the version of the manifest that the host reported in its last ping.
	manifestVersion uint64
	// storeAge is the time since the store's last answer to that host, as of pingedAt. pingedAt is when its last ping
	// arrived, the zero time if there was none.
	storeAge time.Duration
	pingedAt time.Time
	// sentAfter is a time after which the last ping was sent, the zero time if none is known: it may have been held up.
	sentAfter time.Time
}

// Option configures a Host.
type Option func(*Host)

// WithAdviser sets the Adviser that selects workers for stages which need advice.
func WithAdviser(a Adviser) Option { return func(h *Host) { h.adviser = a } }

// New starts an entry host that answers other hosts on the listener. The returned function stops it: the host gives up
// the leadership and waits for the requests in progress until the context ends.
func New(
	cfg Config, l net.Listener, store ledger.Store, d Directory, w Workers, c Clock, log logrus.FieldLogger,
	opts ...Option,
) (*Host, func(ctx context.Context)) {
	h := &Host{
		cfg: cfg, instance: uuid.NewString(), directory: d, workers: w, clock: c,
		log: log, recorder: nopRecorder{}, members: map[string]member{},
		forwarding:    map[string]int{},
		leaderChanged: make(chan struct{}), watchWake: make(chan struct{}, 1),
	}
	h.store = observedStore{store, h}
	h.elector = leadership.NewElector(h.instance)
	for _, o := range opts {
		o(h)
	}
	client, closePeers := peer.NewClient()
	h.peers = client
	ctx, cancel := context.WithCancel(context.Background())
	_, stopServer := peer.ServeRoutes(l, peer.Routes{
		methodRequest:  peer.UnaryHandler(h.handlePeerRequest),
		methodPing:     peer.UnaryHandler(h.handlePeerPing),
		methodAnnounce: peer.UnaryHandler(h.handlePeerAnnouncement),
	}, func(err error) {
		telemetry.ComponentLogger(h.log, "peers").WithError(err).Debug("Connection from another host ended")
	})

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

// logger returns a logger for a component of the host.
func (h *Host) logger(name string) *logrus.Entry { return telemetry.ComponentLogger(h.log, name) }

// waitForRequests waits until no request is in progress or the context ends.
func (h *Host) waitForRequests(ctx context.Context) {
	for {
		h.mu.Lock()
		n := h.inflight
		h.mu.Unlock()
		if n == 0 {
			return
		}
		if !sleep(ctx, idlePollInterval) {
			h.logger("host").WithField("requests", n).Warn("Grace period ended with requests still in progress")
			return
		}
	}
}

// idlePollInterval is the interval at which a stopping host checks whether requests are in progress.
const idlePollInterval = 20 * time.Millisecond

// observedStore is a ledger.Store that records when the store last answered.
type observedStore struct {
	ledger.Store
	host *Host
}

// recordAnswer records an answer of the store. Conflicts and fencing errors are answers too.
func (s observedStore) recordAnswer(err error) {
	if err == nil || errors.Is(err, ledger.ErrConflict) || errors.Is(err, ledger.ErrFenced) {
		s.host.mu.Lock()
		s.host.storeAnsweredAt = s.host.clock.Now()
		s.host.mu.Unlock()
	}
}

// Append implements ledger.Store.
func (s observedStore) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	p, err := s.Store.Append(ctx, a)
	s.recordAnswer(err)
	return p, err
}

// Read implements ledger.Store.
func (s observedStore) Read(
	ctx context.Context, p ledger.Partition, from int64, wait time.Duration,
) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	s.recordAnswer(err)
	return page, err
}

// Newest implements ledger.Store.
func (s observedStore) Newest(ctx context.Context, p ledger.Partition, after string) (ledger.NewestPage, error) {
	n, err := s.Store.Newest(ctx, p, after)
	s.recordAnswer(err)
	return n, err
}

// sleep waits for the duration or until the context ends. It returns false if the context has ended.
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

// Routing returns what is needed to serve callers' requests by the manifest in force, nil until a manifest is known.
func (h *Host) Routing() *Routing { return h.routing.Load() }

// readyLeaderAnswerAge is the maximum age of the leader's last answer at which the host is ready for new connections.
const readyLeaderAnswerAge = 2500 * time.Millisecond

// Ready reports whether the host can serve callers: it is not stopping, has a manifest, and leads or has a leader that
// answers.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping || h.configuration.manifest == nil {
		return false
	}
	return h.term != nil || h.clock.Now().Sub(h.leaderAnsweredAt) < readyLeaderAnswerAge
}
