// Package platform is a stand-in for the users' platform, on which entry hosts run under the command join: its store,
// its workers, its operators and the addresses at which callers reach the entry hosts. It follows the platform's
// protocols on loopback addresses, records what it is told, and reports from this record alone what a correct
// scheduler never does. It has no groups, gangs, advisers or moves of machines, and no limits of calls.
//
// Locks: the lock of a worker is taken before that of the recorder and never after it, and Platform.manifestMu before any other.
// No other two locks of the package are held together.
package platform

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// stepInterval is the interval at which the time of the workers advances between calls.
	stepInterval = 20 * time.Millisecond
	// headerTimeout is the longest time to read the header of a request.
	headerTimeout = 5 * time.Second
)

// Config configures a Platform.
type Config struct {
	// Zones are the availability zones. Each has the given number of workers at the start, in two racks.
	Zones   []string
	Workers int
	// Capacity is the capacity of a worker.
	Capacity fleet.Size
	// Departure bounds the random times that workers take to leave.
	Departure Departure
	// IP is the address on which everything listens. ControlPort, IngressPort, StorePort and WorkerPort are ports on it:
	// the last two are the first of a range. Port 0 stands for any free port.
	IP                                              string
	ControlPort, IngressPort, StorePort, WorkerPort int
	// Seed determines all random choices.
	Seed uint64
	// Manifest is the manifest at the start.
	Manifest []byte
}

// Platform is a running stand-in.
type Platform struct {
	cfg      Config
	ctx      context.Context
	log      logrus.FieldLogger
	recorder *recorder
	store    *store
	faults   *faultTable
	conns    *connTable
	// workerFaults are the faults of the workers, and workerConns the connections to them.
	workerFaults *faultTable
	workerConns  *connTable
	workers      *pool
	ingress      *ingress

	controlAddress, ingressAddress string

	// manifestMu is held while a manifest is written, so that they are recorded in the order of the store.
	manifestMu sync.Mutex

	mu sync.Mutex
	// closers are the clean-up functions in the order in which what they close was started.
	closers []func()
	// stores counts the callers of AddStore.
	stores int
}

// New starts a stand-in. The returned function stops it and closes all its listeners.
func New(cfg Config, log logrus.FieldLogger) (*Platform, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	rec := newRecorder(log)
	p := &Platform{
		cfg: cfg, ctx: ctx, log: log, recorder: rec, store: newStore(0),
		faults: newFaultTable("store", cfg.Seed, rec), conns: newConnTable(cfg.Seed, rec),
		workerFaults: newFaultTable("workers", cfg.Seed, rec), workerConns: newConnTable(cfg.Seed, rec),
		ingress: newIngress(rec, log),
	}
	p.workers = newPool(cfg, p.store, p.workerFaults, p.workerConns, rec, log)
	closeAll := func() {
		cancel()
		p.mu.Lock()
		closers := p.closers
		p.closers = nil
		p.mu.Unlock()
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
		p.workers.close()
	}
	if err := p.start(); err != nil {
		closeAll()
		return nil, nil, err
	}
	return p, closeAll, nil
}

// start writes the first manifest and starts the workers, the servers and the passage of time.
func (p *Platform) start() error {
	if err := p.SetManifest(p.cfg.Manifest); err != nil {
		return err
	}
	for _, zone := range p.cfg.Zones {
		for range p.cfg.Workers {
			if err := p.workers.add(p.ctx, zone, time.Now()); err != nil {
				return err
			}
		}
	}
	var err error
	if p.ingressAddress, err = p.serve(p.cfg.IngressPort, p.ingress.handler()); err != nil {
		return err
	}
	if p.controlAddress, err = p.serve(p.cfg.ControlPort, controlHandler(p)); err != nil {
		return err
	}
	p.runEvery(stepInterval, func() {
		now := time.Now()
		p.workers.step(p.ctx, now)
		p.recorder.check(now)
	})
	p.runEvery(probeInterval, func() { p.ingress.probe(p.ctx) })
	return nil
}

// runEvery calls fn at an interval until the platform is closed.
func (p *Platform) runEvery(interval time.Duration, fn func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-t.C:
				fn()
			}
		}
	}()
	p.addCloser(func() { <-done })
}

// addCloser adds a clean-up function.
func (p *Platform) addCloser(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, fn)
}

// serve serves the handler on the port, or on any free one if it is 0, and returns the address.
func (p *Platform) serve(port int, h http.Handler) (string, error) {
	address, closeServer, err := serve(p.ctx, net.JoinHostPort(p.cfg.IP, strconv.Itoa(port)), h)
	if err != nil {
		return "", err
	}
	p.addCloser(closeServer)
	return address, nil
}

// serve serves the handler on the address. It returns the address with its port and a function that stops the server
// and closes its connections at once. The requests' contexts derive from ctx.
func serve(ctx context.Context, address string, h http.Handler) (string, func(), error) {
	l, err := listen(ctx, address)
	if err != nil {
		return "", nil, err
	}
	return l.Addr().String(), serveOn(ctx, l, h).close, nil
}

// listen listens on the address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "standin: listen on %s", address)
}

// server is a running server.
type server struct {
	listener net.Listener
	http     *http.Server
	// done is closed when no more connections are accepted.
	done chan struct{}
}

// serveOn serves the handler on the listener until the server is closed.
func serveOn(ctx context.Context, l net.Listener, h http.Handler) *server {
	s := &server{listener: l, done: make(chan struct{}), http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx },
	}}
	go func() {
		defer close(s.done)
		// Serve always returns an error, since the listener is closed at some time.
		_ = s.http.Serve(l)
	}()
	return s
}

// address returns the address of the server with its port.
func (s *server) address() string { return s.listener.Addr().String() }

// refuse closes the address. The server goes on on the open connections.
func (s *server) refuse() {
	// An error means that the listener is already closed.
	_ = s.listener.Close()
	<-s.done
}

// closeIdle closes the connections without a request, and each other one after the next response on it.
func (s *server) closeIdle() { s.http.SetKeepAlivesEnabled(false) }

// close closes the address and all connections at once.
func (s *server) close() {
	// An error means that the listener is already closed.
	_ = s.http.Close()
	<-s.done
}

// ControlAddress returns the address of the fault switches and of the report.
func (p *Platform) ControlAddress() string { return p.controlAddress }

// IngressAddress returns the address at which callers reach the entry hosts.
func (p *Platform) IngressAddress() string { return p.ingressAddress }

// AddStore opens an address of the store for one caller, so that faults can be limited to that caller, and returns it.
func (p *Platform) AddStore(caller string) (string, error) {
	p.mu.Lock()
	port := p.cfg.StorePort
	if port != 0 {
		port += p.stores
	}
	p.stores++
	p.mu.Unlock()
	srv, err := p.conns.serve(
		p.ctx, caller, net.JoinHostPort(p.cfg.IP, strconv.Itoa(port)), storeHandler(p.store, p.faults, caller),
	)
	if err != nil {
		return "", err
	}
	p.addCloser(srv.close)
	return srv.address(), nil
}

// AddHost adds an entry host, to which callers are forwarded while it is ready.
func (p *Platform) AddHost(name, callersAddress, readyAddress string) {
	p.ingress.add(&entryHost{name: name, callers: callersAddress, ready: readyAddress})
}

// SetManifest writes a manifest as an operator.
func (p *Platform) SetManifest(manifest []byte) error {
	m, err := p.ingress.setManifest(manifest)
	if err != nil {
		return err
	}
	p.manifestMu.Lock()
	defer p.manifestMu.Unlock()
	p.recorder.writeManifest(m, func() { p.store.put(operatorTopic, "config", manifest) })
	return nil
}

// SetEvacuated begins or ends the evacuation of a zone as an operator.
func (p *Platform) SetEvacuated(zone string, on bool) {
	var value []byte
	if on {
		value = []byte("{}")
	}
	p.store.put(operatorTopic, "evacuate/"+zone, value)
	p.recorder.setEvacuated(zone, on, time.Now())
}

// SetFaults replaces the store's faults for the callers, or for all callers if there is no name.
func (p *Platform) SetFaults(f Faults, callers ...string) { p.faults.set(callers, f, time.Now()) }

// SetWorkerFaults replaces the faults of n random workers that are ready, of the given zone or of any if it is empty, and
// returns their IDs. If n is 0, it replaces those of all workers.
func (p *Platform) SetWorkerFaults(f Faults, n int, zone string) ([]string, error) {
	ids := []string{}
	if n > 0 {
		var err error
		if ids, err = p.workers.pick(n, zone); err != nil {
			return nil, err
		}
	}
	p.workerFaults.set(ids, f, time.Now())
	return ids, nil
}

// BlackholeStore makes a share of the open connections to the store silent for good, those of the callers or, if there is no
// name, of all callers. New connections work. It returns the number of these connections.
func (p *Platform) BlackholeStore(share float64, callers ...string) int {
	return p.conns.blackhole(callers, share, time.Now())
}

// BlackholeWorkers makes a share of the open connections to the workers silent for good, those to n random workers that are
// ready, of the given zone or of any if it is empty, or those to all workers if n is 0. New connections work. It returns
// the number of these connections.
func (p *Platform) BlackholeWorkers(share float64, n int, zone string) (int, error) {
	var ids []string
	if n > 0 {
		var err error
		if ids, err = p.workers.pick(n, zone); err != nil {
			return 0, err
		}
	}
	return p.workerConns.blackhole(ids, share, time.Now()), nil
}

// ChangeWorkers applies an action to a number of workers that are ready, of the given zone or of any if it is empty, and
// returns their IDs.
func (p *Platform) ChangeWorkers(a Action, n int, zone string) ([]string, error) {
	return p.workers.change(p.ctx, a, n, zone, time.Now())
}

// Report returns what was seen so far.
func (p *Platform) Report() Report { return p.recorder.report() }
