package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/host/edge"
	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/request/limit"
)

const (
	// stopTimeout is the longest time that a planned stop takes after the wait for the load balancer.
	stopTimeout = 60 * time.Second
	// maxDeadline is the longest deadline that a caller may ask for.
	maxDeadline = 5 * time.Minute
	// headerTimeout is the time that a client has to send a request's header, and that a shutdown waits for requests.
	headerTimeout = 10 * time.Second
)

// Serve runs an entry host with the settings file at path until ctx ends, then carries out a planned stop. It returns
// an error if the settings are invalid, an address cannot be listened on, or the stop was not complete in time.
func Serve(ctx context.Context, path string) error {
	cfg, err := settings.Load(path)
	if err != nil {
		return err
	}
	logger, closeLogger, err := newLogger(os.Stderr, cfg.Log)
	if err != nil {
		return err
	}
	defer closeLogger()
	metrics, closeMetrics, err := telemetry.NewMetrics(cfg.Host, cfg.Zone)
	if err != nil {
		return err
	}
	defer closeMetrics()
	debug.SetMemoryLimit(limit.SoftMemory(cfg.Limits.MemoryBytes))
	logs, closeLog := logservice.NewClient(cfg.Platform.Log)
	defer closeLog()
	hosts, closeHosts := hostlist.NewClient(cfg.Platform.Hosts)
	defer closeHosts()
	workers, closeWorkers := fleet.NewClient()
	defer closeWorkers()
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	n, closeNode := New(cfg, Platform{Log: logs, Fleet: workers, Hosts: hosts}, logger, metrics)
	defer closeNode()
	if err := n.registerGauges(); err != nil {
		return errors.CombineErrors(err, listeners.close())
	}
	closeListeners, err := listeners.serve(n, metrics, logger)
	if err != nil {
		return errors.CombineErrors(err, listeners.close())
	}
	defer closeListeners()
	n.log.Infof("Host %s of zone %s serves callers on %s, operators on %s and peers on %s.",
		cfg.Host, cfg.Zone, listeners.callers.Addr(), listeners.operators.Addr(), listeners.peers.Addr())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.DrainTime+stopTimeout)
	defer cancel()
	return n.Stop(stopCtx)
}

// newLogger returns the logger of a host, which never waits for out, and a function that writes the lines that are
// still buffered. Some lines are logged under the locks that requests and ticks need.
func newLogger(out io.Writer, cfg settings.Log) (*logrus.Logger, func(), error) {
	w, closeWriter := telemetry.NewAsyncWriter(out)
	logger, err := telemetry.NewLogger(w, cfg.Level, cfg.Format)
	if err != nil {
		closeWriter()
		return nil, nil, err
	}
	return logger, closeWriter, nil
}

// hostListeners are the three listeners of a host.
type hostListeners struct {
	cfg                       settings.Settings
	callers, operators, peers net.Listener
}

// close closes the listeners that are open.
func (s *hostListeners) close() error {
	var errs error
	for _, l := range []net.Listener{s.callers, s.operators, s.peers} {
		if l != nil {
			errs = errors.CombineErrors(errs, l.Close())
		}
	}
	return errs
}

// listen opens the listeners on the addresses of the settings. If one can't be opened, it closes the others.
func listen(cfg settings.Settings) (*hostListeners, error) {
	s := &hostListeners{cfg: cfg}
	for _, l := range []struct {
		listener *net.Listener
		field    string
		address  string
	}{
		{&s.callers, "callers", cfg.Callers.Listen},
		{&s.operators, "operators", cfg.Operators.Listen},
		{&s.peers, "peers", cfg.Peers.Listen},
	} {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "node: listen for %s", l.field), s.close())
		}
		*l.listener = listener
	}
	return s, nil
}

// serve answers requests on the listeners until the returned function is called.
func (s *hostListeners) serve(n *Node, metrics *telemetry.Metrics, logger logrus.FieldLogger) (func(), error) {
	e, closeEdge, err := newEdge(metrics, logger)
	if err != nil {
		return nil, err
	}
	sizes := limit.SizesFor(s.cfg.Limits.MemoryBytes, edge.Descriptors(s.cfg.Limits.MaxDescriptors))
	limits := func(maxBody int64) func() edge.Limits {
		l := edge.DefaultLimits()
		l.HeaderTimeout, l.MaxBodyBytes = headerTimeout, maxBody
		return func() edge.Limits { return l }
	}
	callerLimits := caller.Limits{
		MaxBodyBytes: s.cfg.Limits.MaxBodyBytes, DefaultDeadline: s.cfg.Limits.DefaultDeadline, MaxDeadline: maxDeadline,
	}
	callers := e.Wrap(s.callers, "callers", sizes.Callers, limits(s.cfg.Limits.MaxBodyBytes))
	closeCallers := serveHTTP(callers, caller.NewHandler(n, callerLimits), telemetry.ComponentLogger(logger, "caller"))
	operators := e.Wrap(s.operators, "operators", sizes.Internal, limits(operator.DefaultMaxBodyBytes))
	closeOperators := serveHTTP(operators, operator.NewHandler(n, metrics.Handler()),
		telemetry.ComponentLogger(logger, "operator"))
	log := telemetry.ComponentLogger(logger, "peer")
	peers := edge.MessageListener{Listener: e.Wrap(s.peers, "peers", sizes.Peers, edge.DefaultLimits)}
	_, closePeers := peer.Serve(peers, n, func(err error) { log.WithError(err).Debug("Connection from a peer ended.") })
	return func() {
		closeCallers()
		closePeers()
		closeOperators()
		closeEdge()
	}, nil
}

// newEdge returns the edge of the host and a function that ends its log.
func newEdge(metrics *telemetry.Metrics, logger logrus.FieldLogger) (*edge.Edge, func(), error) {
	recorder, err := metrics.Edge()
	if err != nil {
		return nil, nil, err
	}
	e, closeEdge := edge.New(telemetry.ComponentLogger(logger, "edge"), recorder)
	err = recorder.RegisterGauges(func() []telemetry.EdgeState {
		states := e.States()
		edgeStates := make([]telemetry.EdgeState, len(states))
		for i, s := range states {
			edgeStates[i] = telemetry.EdgeState(s)
		}
		return edgeStates
	})
	if err != nil {
		closeEdge()
		return nil, nil, err
	}
	return e, closeEdge, nil
}

// serveHTTP answers HTTP requests on a listener until the returned function is called. That function lets requests in
// flight finish, for up to headerTimeout.
func serveHTTP(l *edge.Listener, h http.Handler, log *logrus.Entry) func() {
	srv := l.NewServer(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("Listener failed; no more requests are served on it.")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			log.WithError(err).Warn("Listener was shut down while requests on it were still in flight.")
		}
		<-done
	}
}

// registerGauges registers the gauges of the host with its metrics.
func (n *Node) registerGauges() error {
	locked := func(fn func() float64) func() float64 {
		return func() float64 {
			n.zone.mu.Lock()
			defer n.zone.mu.Unlock()
			return fn()
		}
	}
	var errs error
	for _, g := range []struct {
		name, text string
		read       func() float64
	}{
		{"sassafraswind.workers.held", "Workers that this host holds.", locked(func() float64 {
			return float64(len(n.zone.leases.HeldWorkers(time.Now())))
		})},
		{"sassafraswind.slots.free", "Free slots on the held workers.", locked(func() float64 {
			return float64(n.zone.capacity.FreeSlots())
		})},
		{"sassafraswind.config.age", "Age of the view of the configuration in seconds.", func() float64 {
			return time.Since(n.configFreshAt()).Seconds()
		}},
		{"sassafraswind.config.version", "Version of the configuration in force.", func() float64 {
			n.config.mu.Lock()
			defer n.config.mu.Unlock()
			return float64(n.config.state.Version())
		}},
		{"sassafraswind.log.skipped",
			"Records of all streams that were skipped as malformed, newer or unknown.", func() float64 {
				total := uint64(0)
				for _, c := range n.feedCounts() {
					total += c.Malformed + c.NewerVersion + c.UnknownKind
				}
				return float64(total)
			}},
		{"sassafraswind.log.gaps", "Times that records expired unread.", func() float64 {
			total := uint64(0)
			for _, c := range n.feedCounts() {
				total += c.Gaps
			}
			return float64(total)
		}},
	} {
		errs = errors.CombineErrors(errs, n.metrics.RegisterGauge(g.name, g.text, g.read))
	}
	return errors.CombineErrors(errs, n.metrics.RegisterClassGauges(n.classStates))
}
