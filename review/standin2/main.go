//go:build review

// Command standin2 runs the script cases of the second review: it starts entry hosts in processes of their own with the
// command of the deploy file, serves a store and workers for them on loopback addresses, sends requests as callers do,
// causes one disruption, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "pool"
	// routeHost and the prefixes name the queues.
	routeHost   = "jobs.example"
	batchPrefix = "/batch/"
	lastPrefix  = "/lasting/"
	// callersPort, readyPort and the internal ports are those of each host, on an address of its own.
	callersPort, readyPort, firstPort, lastPort = 8161, 8167, 7720, 7735
)

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	out    io.Writer
	starts []start
}

// start is a start of a run on a worker.
type start struct {
	at         time.Time
	worker     string
	task       string
	number     int
	checkpoint string
}

// logf writes a line to the record.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
}

// started records a start.
func (r *record) started(now time.Time, w *worker, run *workerRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{at: now, worker: w.id, task: run.task, number: run.number, checkpoint: run.checkpoint})
}

// startsOf returns the starts of the tasks whose names begin with the prefix.
func (r *record) startsOf(prefix string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, prefix) {
			out = append(out, s)
		}
	}
	return out
}

// host is an entry host.
type host struct {
	name, zone, ip, settings string
	cmd                      *exec.Cmd
	door                     *storeDoor
}

// world is a small deployment.
type world struct {
	rec     *record
	store   *store
	fleet   *fleet
	hosts   []*host
	trouble bool
	dir     string
	run     []string
	net     string
	// attempts is MaxAttempts of the queues.
	attempts int
	stop     chan struct{}
}

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// newWorld starts the store and reads the command of the deploy file.
func newWorld(rec *record, trouble bool) (*world, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, store: newStore(), trouble: trouble, dir: dir, run: strings.Fields(string(m[1])), stop: make(chan struct{}),
		net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
	}
	w.fleet = &fleet{store: w.store, rec: rec, acked: map[string]string{}}
	w.attempts = 2
	go w.fleet.run(w.stop)
	return w, nil
}

// setManifest writes a manifest as an operator does.
func (w *world) setManifest(version int) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": routeHost, "PathPrefix": prefix, "Service": service, "Priority": priority,
			"MaxAttempts": w.attempts, "SlackFactor": 3, "TargetLatencyMs": 3000,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": []any{route("lasting", lastPrefix, 0), route("batch", batchPrefix, 1)},
		"Services": []any{map[string]any{"Name": service, "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	w.store.put("keyed.op", "config", data)
}

// addHost adds an entry host and starts it.
func (w *world) addHost(zone string) (*host, error) {
	n := len(w.hosts)
	h := &host{name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s%d", w.net, 10+n)}
	h.settings = filepath.Join(w.dir, h.name+".conf")
	h.door = &storeDoor{store: w.store}
	l, err := net.Listen("tcp", w.net+"2:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, h.door) }()
	text := fmt.Sprintf(`NodeName=%s
Role=entry
MachineClass=frontend
Serves=frontend
Ip=%s
Zone=%s
Region=r
Zones.a=r
Zones.b=r
Zones.c=r
ListenAddresses.FrontendAddress=%s:%d
ListenAddresses.ReadinessAddress=%s:%d
InternalPorts=%d,%d
Bootstrap=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1100
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.ContactMs=4000
Bounds.AckMs=5000
Bounds.DrainMs=2500
Bounds.GraceS=6
Bounds.ConfigApplyMs=2500
Bounds.EvacuationMs=5000
Bounds.RecoveryS=12
Bounds.HoldMaxMs=6000
Bounds.StopTimeoutMs=200
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RemoteFactor=2
Bounds.CheckpointIntervalS=1
Bounds.RestoreMs=600
Bounds.FencingEnforced=false
Bounds.LeaseMs=3000
Bounds.InterferenceMs=4000
Orders=invocation
platform.Address=%s
platform.form=log
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.RecordBytes=262144
platform.RequestBytes=2097152
`, h.name, h.ip, zone, h.ip, callersPort, h.ip, readyPort, firstPort, lastPort, l.Addr())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, w.start(h)
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command(w.run[0], w.run[1:]...)
	h.cmd.Env = append(os.Environ(), "SASSAFRASWIND_NODE_FILE="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.rec.logf("host %s starts", h.name)
	return h.cmd.Start()
}

// signal sends a signal to a host. After SIGKILL it waits for its end.
func (w *world) signal(h *host, s syscall.Signal) {
	w.rec.logf("host %s gets signal %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = h.cmd.Wait()
	}
}

// close ends all processes and listeners, and keeps the logs if KEEP is set.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.cmd.Process != nil && h.cmd.ProcessState == nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	close(w.stop)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// isReady reports whether a host is ready for callers.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leads reports whether a host leads, by its metrics.
func (w *world) leads(h *host) bool {
	c := http.Client{Timeout: time.Second}
	port := "9464"
	for i, word := range w.run {
		if word == "--metrics" && i+1 < len(w.run) {
			port = w.run[i+1]
		}
	}
	resp, err := c.Get(fmt.Sprintf("http://%s:%s/metrics", h.ip, port))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return regexp.MustCompile(`(?m)^sassafraswind_entry_leads(\{.*\})? 1$`).Match(data)
}

// leader waits for a leader among the hosts and returns it.
func (w *world) leader(limit time.Duration) (*host, error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, h := range w.hosts {
			if h.cmd.ProcessState == nil && w.leads(h) {
				return h, nil
			}
		}
	}
	return nil, errors.New("no host leads")
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(w.hosts) {
			return nil
		}
	}
	return errors.New("the hosts don't get ready")
}

// call sends a request of a caller to a host on a new connection, with the time limit, and returns the status, 0 if there
// was no answer within it, and the body.
func (w *world) call(h *host, method, path string, body any, limit time.Duration) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, callersPort, path), bytes.NewReader(data))
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	w.rec.logf("caller to %s: %s %s %s", h.name, method, path, data)
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		w.rec.logf("caller: no answer to %s %s: %v", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.rec.logf("caller: answer to %s %s: %d %s", method, path, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit sends a submission until it is accepted.
func (w *world) submit(h *host, path string, body any) error {
	for range 20 {
		if status, _ := w.call(h, http.MethodPost, path, body, 3*time.Second); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%s is not accepted", path)
}

// state returns the state of a submission, empty without an answer.
func (w *world) state(h *host, path string) string {
	_, text := w.call(h, http.MethodGet, path, nil, 3*time.Second)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(text), &body)
	return body.State
}

// cases holds the cases by name.
var cases = map[string]func(w *world) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	// The processes of the hosts are killed if the thread that has started them ends.
	runtime.LockOSThread()
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	rec := &record{begun: time.Now(), out: out}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(rec, trouble)
	if err == nil {
		defer w.close()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-interrupted
			w.close()
			os.Exit(2)
		}()
		err = run(w)
	}
	switch {
	case errors.Is(err, errBroken):
		rec.logf("BROKEN: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
