// Command standin serves stand-ins for the platform: its log service, its host list and its workers, or the users'
// platform as a whole.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/standin/backend"
	standinhosts "sassafraswind.example/sassafraswind/internal/standin/hostlist"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
)

var cli struct {
	Log      logCmd      `cmd:"" help:"Serve the log service."`
	Hosts    hostsCmd    `cmd:"" help:"Serve the host list."`
	Workers  workersCmd  `cmd:"" help:"Serve workers, each on its own port."`
	Platform platformCmd `cmd:"" help:"Serve the users' platform, on which entry hosts run under the command join."`
}

func main() {
	logrus.SetOutput(os.Stderr)
	k := kong.Parse(&cli, kong.Name("standin"), kong.Description("Stand-ins for the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err != nil {
		logrus.WithError(err).Error("standin: failed")
		os.Exit(1)
	}
}

// logCmd is the command that serves the log service.
type logCmd struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7000"`
	Rate   float64       `help:"Limit of appends a second, 0 for none." default:"500"`
	Count  int           `help:"Records that a stream retains, 0 for all." default:"100000"`
	Age    time.Duration `help:"Age up to which records are retained, 0 for any." default:"0s"`
}

// Run serves the log until the context ends.
func (c *logCmd) Run(ctx context.Context) error {
	l := standinlog.New(standinlog.WithFaults(standinlog.Faults{Rate: c.Rate, MaxRecords: c.Count, MaxAge: c.Age}))
	return serve(ctx, "log", c.Listen, standinlog.Handler(l))
}

// hostsCmd is the command that serves the host list.
type hostsCmd struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7001"`
	File   string        `help:"List of hosts, JSON with comments." required:"" type:"existingfile"`
	Lag    time.Duration `help:"Time until a change is shown." default:"2s"`
}

// Run serves the host list until the context ends.
func (c *hostsCmd) Run(ctx context.Context) error {
	hosts, err := readHosts(c.File)
	if err != nil {
		return err
	}
	return serve(ctx, "hosts", c.Listen, standinhosts.Handler(standinhosts.New(hosts, c.Lag, nil)))
}

// readHosts reads a host list, which is JSON with comments and trailing commas.
func readHosts(file string) ([]hostlist.Host, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "parse host list %s", file)
	}
	var hosts []hostlist.Host
	return hosts, errors.Wrapf(json.Unmarshal(data, &hosts), "parse host list %s", file)
}

// workersCmd is the command that serves workers.
type workersCmd struct {
	Listen       string `help:"IP address to listen on." default:"127.0.0.1"`
	Port         int    `help:"Port of the first worker." default:"7100"`
	Count        int    `help:"Number of workers." default:"1"`
	Zone         string `help:"Availability zone, part of the workers' names." required:""`
	Region       string `help:"Region of the zone." required:""`
	Cores        int64  `help:"Cores of a worker." default:"32"`
	Memory       int64  `help:"Memory of a worker in MiB." default:"125000"`
	Accelerators int64  `help:"Accelerators of a worker." default:"0"`
	Slots        int    `help:"Urgent calls that a worker runs at a time." default:"8"`
	Admin        string `help:"Address of the fault switches, none if empty." default:""`
}

// Run serves the workers until the context ends.
func (c *workersCmd) Run(ctx context.Context) error {
	recorder, clock := backend.NewExecutionRecorder(), backend.MonotonicClock()
	var servers []*backend.Server
	for i := range c.Count {
		addr := net.JoinHostPort(c.Listen, strconv.Itoa(c.Port+i))
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		w := backend.New(backend.Config{
			ID:       fmt.Sprintf("%s-w%d", c.Zone, i),
			Capacity: fleet.Size{Cores: c.Cores * 1000, Memory: c.Memory, Accelerators: c.Accelerators},
			Slots:    c.Slots, Connections: fleet.MaxConnections, SlowdownFactor: slowdownFactor,
		}, clock, recorder)
		s, closeServer := backend.Serve(w, l)
		defer closeServer()
		servers = append(servers, s)
	}
	log := logrus.WithFields(logrus.Fields{"zone": c.Zone, "region": c.Region})
	log.Infof("workers: %d serving from %s:%d on", c.Count, c.Listen, c.Port)
	if c.Admin != "" {
		return serve(ctx, "workers", c.Admin, backend.AdminHandler(servers, recorder))
	}
	<-ctx.Done()
	log.Info("workers: stopped")
	return nil
}

// slowdownFactor returns the factor by which a batch class slows down an urgent class: a value from 1 to 2.5 that is
// the same for a pair of classes on all workers and in all runs. The scheduler does not know it.
func slowdownFactor(urgent, batch string) float64 {
	return 1 + 1.5*float64(xxhash.Sum64String(urgent+"\x00"+batch)%1000)/1000
}

// serve serves the handler on addr until the context ends, then waits up to 5 s for requests in progress. Log lines and
// errors begin with the name. It returns an error if it can't listen or the server fails.
func serve(ctx context.Context, name, addr string, h http.Handler) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "%s: listen on %s", name, addr)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: 10 * time.Second,
		// Long polls end with the context, so that they don't delay the shutdown.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	logrus.Infof("%s: serving on %s", name, l.Addr())
	select {
	case err := <-failed:
		return errors.Wrapf(err, "%s: serve", name)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		_ = srv.Close()
	}
	logrus.Infof("%s: stopped", name)
	return nil
}
