//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName  = "reprofile-svc"
	routeHost    = "depot.example"
	memoryMb     = 284
	restartDelay = 500 * time.Millisecond
	clientWait   = 3 * time.Second
	tick         = 5 * time.Millisecond
	// oneWay is the delay between two zones.
	oneWay = 900 * time.Microsecond
)

// zones are those of the deployment.
var zones = []string{"etela-a", "etela-b", "etela-c"}

// platform is the stand-in of the platform: the store, the workers and the processes of the system.
type platform struct {
	ctx     context.Context
	checks  *checks
	store   *store
	prefix  string
	dir     string
	root    string
	run     []string
	workers []*worker
	hosts   []*host
}

// host is a machine of the system with its process.
type host struct {
	p        *platform
	name, ip string
	conf     string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exits  int
	closed bool
}

// newPlatform starts the store on a free loopback address.
func newPlatform(ctx context.Context, c *checks, root, dir string) (*platform, error) {
	p := &platform{ctx: ctx, checks: c, store: newStore(), root: root, dir: dir}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			p.run = strings.Fields(strings.Trim(rest, `"`))
		}
	}
	if len(p.run) == 0 {
		return nil, fmt.Errorf("no command in the deploy file")
	}
	var l net.Listener
	for range 20 {
		p.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err = net.Listen("tcp", p.prefix+"1:8169"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: p.store.handler()}
	go func() { _ = server.Serve(l) }()
	p.store.onRefusal = func(topic string, size int) {
		c.logf("store refuses a record of %d bytes in %s; the limit is %d", size, topic, recordBytes)
	}
	p.setManifest(1)
	go p.passTime()
	return p, nil
}

// setManifest writes the manifest as the operator does.
func (p *platform) setManifest(version int) {
	data, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{
				"Name": "check", "Host": routeHost, "PathPrefix": "/check/", "Service": serviceName, "Priority": 0,
				"MaxAttempts": 4, "SlackFactor": 2.0, "TargetLatencyMs": 500,
			},
			map[string]any{
				"Name": "watch", "Host": routeHost, "PathPrefix": "/watch/", "Service": serviceName, "Priority": 0,
				"MaxAttempts": 2, "SlackFactor": 2.0, "TargetLatencyMs": 3000,
			},
		},
		"Services": []any{map[string]any{"Name": serviceName, "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	})
	p.store.put("keyed.op", "config", data)
}

// passTime ends runs and sends the workers' check-ins.
func (p *platform) passTime() {
	last := time.Now()
	for p.ctx.Err() == nil {
		time.Sleep(tick)
		now := time.Now()
		for _, w := range p.workers {
			w.advance(now)
		}
		if now.Sub(last) < heartbeat {
			continue
		}
		last = now
		for _, w := range p.workers {
			w.register()
		}
	}
}

// addWorkers starts workers, spread over the zones.
func (p *platform) addWorkers(n int) error {
	for i := range n {
		w := &worker{
			p: p, id: fmt.Sprintf("i-%04x", 0x10+i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/8),
			address: fmt.Sprintf("%s%d:8080", p.prefix, 100+i),
		}
		if err := w.boot(); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	return nil
}

// addHosts starts the machines of the system, spread over the zones.
func (p *platform) addHosts(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:8166", p.prefix, 10+i))
	}
	for i := range n {
		zone := zones[i%len(zones)]
		h := &host{p: p, name: fmt.Sprintf("frontend-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s%d", p.prefix, 10+i)}
		h.conf = filepath.Join(p.dir, h.name+".conf")
		text := strings.NewReplacer("{name}", h.name, "{ip}", h.ip, "{zone}", zone, "{region}", strings.Split(zone, "-")[0],
			"{seeds}", strings.Join(seeds, ","), "{store}", p.prefix+"1:8169", "{memory}", fmt.Sprint(memoryMb)).Replace(settings)
		if err := os.WriteFile(h.conf, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	return nil
}

// settings is the settings file of a process.
const settings = `NodeName={name}
Role=entry
MachineClass=frontend
Serves=frontend
Ip={ip}
Zone={zone}
Region={region}
Zones.etela-a=etela
Zones.etela-b=etela
Zones.etela-c=etela
ListenAddresses.FrontendAddress={ip}:8161
ListenAddresses.ReadinessAddress={ip}:8167
ListenAddresses.Control={ip}:8166
InternalPorts=7720,7735
Seeds={seeds}
Bootstrap=true
InTolerance=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb={memory}
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=4000
Bounds.AckMs=5000
Bounds.CatchUpS=4
Bounds.DrainMs=2500
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2500
Bounds.RollbackSlackMs=250
Bounds.MaxExtensionMs=6000
Bounds.ColdOverrun=1.5
Bounds.ColdSlack=5
Bounds.EvacuationMs=5000
Bounds.RecoveryS=12
Bounds.HoldMaxMs=6000
Bounds.StopTimeoutMs=400
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RemoteFactor=1.5
Bounds.CheckpointIntervalS=1
Bounds.RestoreMs=600
Bounds.NoticeMs=5500
Bounds.MigrationS=1.5
Bounds.MaintenanceS=2
Bounds.FencingEnforced=false
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.PaceMs=100
Bounds.InterferenceMs=4000
Orders=invocation
Advice=
platform.Address={store}
platform.form=log
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.parts=12
platform.AppendMs=2.0
platform.PartitionMbS=20.0
platform.ReadMbS=80.0
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=20
platform.PartitionMb=200
platform.TtlMinMs=1000
CloudApi.Address=
CloudApi.RatePerS=60.0
CloudApi.Duties=
CloudApi.DutyPerS=60.0
`

// start starts the process. The platform starts it again after a short delay when it ends.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.p.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.p.run[0], h.p.run[1:]...)
	cmd.Dir = h.p.root
	cmd.Env = []string{"SASSAFRASWIND_NODE_FILE=" + h.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
	h.p.checks.logf("process of %s started, pid %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		h.exits++
		closed := h.closed
		h.mu.Unlock()
		h.p.checks.logf("process of %s ended: %v", h.name, err)
		if closed {
			return
		}
		time.Sleep(restartDelay)
		h.mu.Lock()
		closed = h.closed
		h.mu.Unlock()
		if !closed {
			_ = h.start()
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// close ends the process for good.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
}

// residentMb returns the memory of the process in MB, 0 if it is not known.
func (h *host) residentMb() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// get fetches a page of the process.
func (h *host) get(port int, path string) (int, string) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.ip, port, path))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// ready reports whether the host takes consumers, leads whether it leads by its own metrics.
func (h *host) ready() bool { status, _ := h.get(8167, "/readyz"); return status == http.StatusOK }

func (h *host) leads() bool {
	_, text := h.get(9464, "/metrics")
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "sassafraswind_entry_leads") && strings.HasSuffix(strings.TrimSpace(line), " 1") {
			return true
		}
	}
	return false
}

// await repeats a condition until it holds or the time is over.
func (p *platform) await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && p.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// allReady waits until all hosts are ready.
func (p *platform) allReady() error {
	if !p.await(25*time.Second, func() bool {
		for _, h := range p.hosts {
			if !h.ready() {
				return false
			}
		}
		return p.leader() != nil
	}) {
		return fmt.Errorf("the system was not ready in time")
	}
	return nil
}

// leader returns the host that leads by its metrics, nil if there is none.
func (p *platform) leader() *host {
	for _, h := range p.hosts {
		if h.leads() {
			return h
		}
	}
	return nil
}

// followers returns the hosts other than the given one.
func (p *platform) followers(leader *host) []*host {
	var out []*host
	for _, h := range p.hosts {
		if h != leader {
			out = append(out, h)
		}
	}
	return out
}

// close ends all processes.
func (p *platform) close() {
	for _, h := range p.hosts {
		h.close()
	}
	time.Sleep(100 * time.Millisecond)
}

// client is a consumer with connections of its own.
type client struct {
	p    *platform
	name string
	http *http.Client
}

func (p *platform) newClient(name string) *client {
	return &client{p: p, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// call sends a request to a host and returns the status, 0 if there is no response in time, and the body.
func (c *client) call(h *host, method, path string, body any, quiet bool) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(c.p.ctx, clientWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":8161"+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	if !quiet {
		c.p.checks.logf("%s sends %s %s to %s, %d bytes", c.name, method, path, h.name, len(data))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.p.checks.logf("%s gets no response to %s %s from %s: %v", c.name, method, path, h.name, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		c.p.checks.logf("%s gets a broken response to %s %s from %s", c.name, method, path, h.name)
		return 0, err.Error()
	}
	if !quiet {
		c.p.checks.logf("%s gets %d from %s for %s %s: %s", c.name, resp.StatusCode, h.name, method, path, strings.TrimSpace(string(answer)))
	}
	return resp.StatusCode, string(answer)
}

// submit hands in a submission: after no response, a 502 or a 504 it is sent again, at the next host, four times at most,
// and after a 429 or 503 when the response says.
func (c *client) submit(first int, prefix, id string, s submission, quiet bool) int {
	c.p.checks.submitted(id, s)
	status := 0
	for try := range 5 {
		status, _ = c.call(c.p.hosts[(first+try)%len(c.p.hosts)], http.MethodPost, prefix+id, s, quiet)
		if status >= 200 && status < 300 {
			return status
		}
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			time.Sleep(time.Second)
		}
	}
	return status
}

// state asks for a submission's state.
func (c *client) state(h *host, prefix, id string) (int, string) {
	status, body := c.call(h, http.MethodGet, prefix+id, nil, true)
	var shown struct{ State string }
	_ = json.Unmarshal([]byte(body), &shown)
	c.p.checks.logf("%s is told by %s: %d, %s is %q", c.name, h.name, status, id, shown.State)
	return status, shown.State
}
