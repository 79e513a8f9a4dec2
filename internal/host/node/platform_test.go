package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/standin/backend"
	standinhosts "sassafraswind.example/sassafraswind/internal/standin/hostlist"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Settings of the tests. The leases and the renewal cutoff are shorter than the default ones. The cutoff, by default
// 2 h, must be longer than testTaskTTL. MaxViewAge in testSettings is the default one, since the view of an idle stream
// is up to 2 s old.
const (
	testLeaseTTL      = 1200 * time.Millisecond
	testLeaseRenewal  = 300 * time.Millisecond
	testTaskTTL       = 3 * time.Second
	testRenewalCutoff = 10 * time.Second
	// testHostListLag is the delay after which a change of the host list is visible.
	testHostListLag = 200 * time.Millisecond
)

// testPlatform runs stand-ins of the platform's services, workers and entry hosts in one process.
type testPlatform struct {
	t        testing.TB
	log      *standinlog.Log
	hosts    *standinhosts.List
	recorder *backend.ExecutionRecorder
	logger   *logrus.Logger
	// closed is closed at the end of the test, so that messages no longer wait for frozen workers.
	closed chan struct{}
	// beforeStart is called, if set, before the start of a task is sent to a worker.
	beforeStart atomic.Pointer[func(l *link, worker string, r fleet.StartRequest)]

	mu      sync.Mutex
	workers map[string]*backend.Worker
	// zones holds the zone of each worker.
	zones map[string]string
	nodes []*testNode
	// executed holds, by the tag of a request body, how often workers started to execute it.
	executed map[int]int
	lastTag  int
	starts   []taskStart
	// deliveries describes, by request, the calls that reached a worker and their results. They are logged with a request
	// that was executed twice.
	deliveries map[string][]string
	// lastCallAt holds, by worker, when it last started to execute a call.
	lastCallAt map[string]time.Time
}

// testNode is one run of an entry host, from its start until it is killed or stopped.
type testNode struct {
	*Node
	link *link
	id   string
	// zoneName is the zone of the host.
	zoneName string
	close    func()
	once     sync.Once
	// ended is set once the host was killed or stopped.
	ended atomic.Bool
}

// newTestPlatform returns a platform of zones named a, b and so on, with the given number of workers in each zone and
// without entry hosts. With the variable FAULTS_LOG set, the hosts log to standard error.
func newTestPlatform(t testing.TB, zones, workers int) *testPlatform {
	p := &testPlatform{
		t: t, log: standinlog.New(), hosts: standinhosts.New(nil, testHostListLag, nil),
		recorder: backend.NewExecutionRecorder(), logger: logrus.New(), closed: make(chan struct{}),
		workers: map[string]*backend.Worker{}, zones: map[string]string{},
		executed: map[int]int{}, lastCallAt: map[string]time.Time{}, deliveries: map[string][]string{},
	}
	p.logger.SetOutput(io.Discard)
	if os.Getenv("FAULTS_LOG") != "" {
		p.logger.SetOutput(os.Stderr)
		p.logger.SetLevel(logrus.DebugLevel)
	}
	clock := backend.MonotonicClock()
	for z := range zones {
		zone := string(rune('a' + z))
		for i := range workers {
			id := fmt.Sprintf("%s-w%d", zone, i)
			p.workers[id] = backend.New(backend.Config{
				ID: id, Capacity: fleet.Size{Cores: 16000, Memory: 64000}, Slots: 8, Connections: 64,
				UsageWindow: 200 * time.Millisecond, UsageLag: 400 * time.Millisecond,
			}, clock, p.recorder)
			p.zones[id] = zone
			p.listWorker(id, false)
		}
	}
	t.Cleanup(func() {
		close(p.closed)
		for _, n := range p.liveHosts() {
			n.kill()
		}
		for _, b := range p.workers {
			b.Close()
		}
	})
	return p
}

// listWorker puts a worker on the host list.
func (p *testPlatform) listWorker(id string, leaving bool) {
	p.hosts.Put(hostlist.Host{
		ID: id, Kind: hostlist.KindWorker, Zone: p.zones[id], Region: "north", Rack: "r", Address: id, Leaving: leaving,
	})
}

// worker returns a worker by its ID, nil if there is none.
func (p *testPlatform) worker(id string) *backend.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// liveHosts returns the hosts that were neither killed nor stopped.
func (p *testPlatform) liveHosts() []*testNode {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*testNode
	for _, n := range p.nodes {
		if !n.ended.Load() {
			out = append(out, n)
		}
	}
	return out
}

// testSettings returns the settings of an entry host.
func testSettings(id, zone string) settings.Settings {
	return settings.Settings{
		Host: id, Zone: zone, Region: "north", DrainTime: 300 * time.Millisecond,
		Limits:    settings.Limits{MaxBodyBytes: 1 << 20, MaxQueuedRequests: 256, DefaultDeadline: 3 * time.Second},
		Freshness: settings.Freshness{MaxViewAge: 3 * time.Second, RenewalCutoff: testRenewalCutoff},
		Lease:     settings.Lease{TTL: testLeaseTTL, RenewInterval: testLeaseRenewal, TaskTTL: testTaskTTL},
	}
}

// startOption changes the settings or the clients of the platform with which a host is started.
type startOption func(*settings.Settings, *Platform)

// start starts an entry host that has no state from an earlier run.
func (p *testPlatform) start(id, zone string, opts ...startOption) *testNode {
	in, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	l := newLink(p)
	cfg := testSettings(id, zone)
	cfg.Peers.Listen, cfg.Peers.Advertise = in.Addr().String(), in.Addr().String()
	clients := Platform{Log: logLink{link: l, log: p.log}, Fleet: fleetLink{l}, Hosts: hostListLink{l}}
	for _, o := range opts {
		o(&cfg, &clients)
	}
	n, closeNode := New(cfg, clients, p.logger, nil, WithRandom(rand.New(rand.NewPCG(xxhash.Sum64String(id), 1))))
	_, closePeers := peer.Serve(in, peerLink{link: l, n: n}, func(error) {})
	tn := &testNode{Node: n, link: l, id: id, zoneName: zone}
	tn.close = func() {
		tn.once.Do(func() {
			tn.ended.Store(true)
			l.kill()
			closePeers()
			closeNode()
		})
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, tn)
	p.mu.Unlock()
	p.hosts.Put(hostlist.Host{ID: id, Kind: hostlist.KindEntry, Zone: zone, Region: "north", Address: in.Addr().String()})
	return tn
}

// kill ends the host at once. What it has not sent yet is not sent.
func (n *testNode) kill() { n.close() }

// stop ends the host by a planned stop.
func (n *testNode) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := n.Stop(ctx)
	n.close()
	return err
}

// eventually waits until a condition holds. It fails the test if that takes longer than limit.
func (p *testPlatform) eventually(limit time.Duration, what string, ok func() bool) {
	p.t.Helper()
	if !within(limit, ok) {
		p.t.Fatalf("condition did not hold within %s: %s", limit, what)
	}
}

// within reports whether a condition holds at some time within limit.
func within(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// awaitReady waits until the hosts are ready.
func (p *testPlatform) awaitReady(nodes ...*testNode) {
	p.t.Helper()
	for _, n := range nodes {
		p.eventually(10*time.Second, "host "+n.id+" is ready", func() bool { ok, _ := n.Ready(time.Now()); return ok })
	}
}

// declareClasses waits until the hosts are ready, adds the classes of the tests to the configuration through the first
// host and waits until all have them.
func (p *testPlatform) declareClasses(nodes ...*testNode) {
	p.t.Helper()
	p.awaitReady(nodes...)
	size := fleet.Size{Cores: 500, Memory: 256}
	for _, c := range []config.Class{
		{
			Name: "check", Kind: config.KindUrgent, Idempotent: true, Size: size, RunTime: 5 * time.Millisecond,
			Target: config.Target{P99Latency: time.Second},
		},
		{
			Name: "quote", Kind: config.KindUrgent, Size: size, RunTime: 5 * time.Millisecond,
			Target: config.Target{P99Latency: time.Second},
		},
		{
			Name: "plan", Kind: config.KindBatch, Size: fleet.Size{Cores: 1000, Memory: 512},
			RunTime: 300 * time.Millisecond, Target: config.Target{FinishedPerHour: 1000, EvictionsPerTaskDay: 100},
		},
	} {
		p.changeConfig(nodes[0], config.RecordClass, config.ClassUpdate{Class: c})
	}
	for _, n := range nodes {
		p.eventually(5*time.Second, "host "+n.id+" has the classes", func() bool {
			_, ok := n.classConfig("plan")
			return ok
		})
	}
	// The node passes the classes on to the policy once a second.
	time.Sleep(1200 * time.Millisecond)
}

// changeConfig makes a change of the configuration through a host.
func (p *testPlatform) changeConfig(n *testNode, kind record.Kind, msg any) {
	p.t.Helper()
	item, err := record.EncodeItem(kind, msg)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := n.Change(ctx, item); err != nil {
		p.t.Fatalf("change of the configuration through host %s failed: %v", n.id, err)
	}
}

// setZoneOut takes a zone out of service or brings it back, through a host.
func (p *testPlatform) setZoneOut(n *testNode, zone string, out bool) {
	p.t.Helper()
	_, base, _ := func() (config.Zone, uint64, bool) {
		n.config.mu.Lock()
		defer n.config.mu.Unlock()
		return n.config.state.Zone(zone)
	}()
	p.changeConfig(n, config.RecordZone, config.ZoneUpdate{BaseVersion: base, Name: zone, Region: "north", TakenOut: out})
}

// newBody returns a request body with a unique tag, and the tag.
func (p *testPlatform) newBody(run time.Duration) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTag++
	data, _ := json.Marshal(requestTag{RunMs: float64(run) / float64(time.Millisecond), Tag: p.lastTag})
	return data, p.lastTag
}

// executions returns how often workers started to execute the body with a tag.
func (p *testPlatform) executions(tag int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.executed[tag]
}

// request sends an urgent request and checks that an answer belongs to it.
func (p *testPlatform) request(n *testNode, class, key string, body []byte, limit time.Duration) outcome.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r := n.Request(ctx, caller.Request{Class: class, Team: "team", Key: key, Body: body})
	if r.Outcome == outcome.Done && !r.Failed {
		var e backend.Echo
		if err := json.Unmarshal(r.Body, &e); err != nil || e.Digest != fmt.Sprintf("%016x", xxhash.Sum64(body)) ||
			key != "" && e.Request != key {
			p.t.Errorf("host %s: answer %s does not belong to the request with key %q and body %s", n.id, r.Body, key, body)
		}
	}
	return r
}

// submit submits a job through a host and returns the reply.
func (p *testPlatform) submit(n *testNode, id string, count int, run time.Duration, limit time.Duration) outcome.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// Without Use, a task of the stand-in reports the planned size as its use. The learned size then grows with each
	// report until no worker has room for the task.
	body, _ := json.Marshal(backend.Body{
		RunMs: float64(run) / float64(time.Millisecond), Use: &fleet.Size{Cores: 1000, Memory: 512},
	})
	return n.Submit(ctx, caller.Submission{Key: id, Class: "plan", Team: "team", Count: count, Body: body})
}

// show returns a job as a host shows it, and whether the host does.
func (p *testPlatform) show(n *testNode, id string) (jobJSON, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var v jobJSON
	r := n.Show(ctx, id)
	ok := r.Outcome == outcome.Done && json.Unmarshal(r.Body, &v) == nil
	return v, ok
}

// checkNoViolations checks that the recorder of the workers has no violations.
func (p *testPlatform) checkNoViolations() {
	p.t.Helper()
	if v := p.recorder.Violations(); v.Tasks != 0 || v.Calls != 0 || v.Overload != 0 {
		p.t.Errorf("the workers counted violations, want none: %+v", v)
	}
}

// newKey returns a new key of a request or job, a UUID of version 7.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
