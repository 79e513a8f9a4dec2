package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// evacuationTime is EvacuationMs and MaxExtensionMs, the longest time that the rule allows.
const evacuationTime = 11 * time.Second

const (
	serviceName = "pool"
	routeHost   = "jobs.example"
	routePrefix = "/batch/"
	// The ports are those of DEPLOY.md. Each machine has a loopback address of its own.
	frontendPort, readinessPort, storePort, workerPort, metricsPort = 8161, 8167, 8169, 8300, 9464
)

// world is a small deployment: the store, workers, entry hosts and what was seen of them.
type world struct {
	rec   *record
	store *store
	net   string
	// perRack is the number of workers of a rack.
	perRack int
	// zones are the zones of the workers, in turn.
	zones []string
	// evacuated holds when the evacuation of a zone was acknowledged.
	evacuated map[string]time.Time
	binary    string
	dir       string

	hosts   []*host
	workers []*worker

	mu   sync.Mutex
	jobs map[string]submission
	// tasks is what workers have seen of each task.
	tasks  map[string]*taskSeen
	broken []string
	// rule is the rule that the case judges. Others are recorded only.
	rule string
	// gangs is what is known of each run of a gang.
	gangs map[string]*gang
	// onStart is called with each start of a run, while the worker is locked.
	onStart func(b *boot, r *run, c call)
}

// taskSeen is what workers have seen of a task.
type taskSeen struct {
	// running holds the runs at present, with their boots.
	running map[runID]*boot
	starts  int
	failed  int
	// doneAt is when a run ended as done, doneNoted is set once that was acknowledged.
	doneOn    *boot
	doneN     int64
	doneNoted bool
	// lastSeen is when the task last ran.
	lastSeen time.Time
}

// gang is one run of a gang: its members work from the moment when all of them are present.
type gang struct {
	present    map[string]bool
	completeAt time.Time
	broken     bool
}

// host is an entry host in a process of its own.
type host struct {
	name, ip, settings string
	cmd                *exec.Cmd
	log                *os.File
	done               chan struct{}
}

func listen(address string) (net.Listener, error) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = new(net.ListenConfig).Listen(context.Background(), "tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// newWorld starts the store and writes the first manifest.
func newWorld(rec *record, binary, dir string) (*world, error) {
	w := &world{
		rec: rec, perRack: 8, zones: []string{"zone-a"}, evacuated: map[string]time.Time{}, store: newStore(), binary: binary, dir: dir, jobs: map[string]submission{}, tasks: map[string]*taskSeen{},
		gangs: map[string]*gang{},
		net:   fmt.Sprintf("127.%d.%d.", 16+rand.Intn(200), 1+rand.Intn(250)),
	}
	l, err := listen(fmt.Sprintf("%s2:%d", w.net, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: w.store.handler()}).Serve(l) }()
	manifest, err := json.Marshal(map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "batch", "Host": routeHost, "PathPrefix": routePrefix, "Service": serviceName, "Priority": 0,
			"MaxAttempts": 4, "SlackFactor": 2, "TargetLatencyMs": 2000,
		}},
		"Services": []any{map[string]any{"Name": serviceName, "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	if err != nil {
		return nil, err
	}
	w.store.put(operatorTopic, "config", manifest)
	return w, nil
}

// addWorker starts a worker.
func (w *world) addWorker(k kind) (*worker, error) {
	n := len(w.workers)
	wk := &worker{
		world: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: fmt.Sprintf("%s%d:%d", w.net, 100+n, workerPort),
		zone: w.zoneOf(n), rack: fmt.Sprintf("r%d", n/w.perRack),
	}
	w.workers = append(w.workers, wk)
	return wk, wk.start(k)
}

// zoneOf returns the zone of the worker with the index.
func (w *world) zoneOf(n int) string { return w.zones[n%len(w.zones)] }

// evacuate writes the operator's request that nothing more be sent to the workers of a zone.
func (w *world) evacuate(zone string) {
	w.store.put(operatorTopic, "evacuate/"+zone, []byte("{}"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[zone] = time.Now()
	w.rec.add("op/evacuate/%s is written and acknowledged", zone)
}

// addHost starts an entry host with the command of the deploy file.
func (w *world) addHost() (*host, error) {
	n := len(w.hosts)
	h := &host{name: fmt.Sprintf("frontend-zone-a-%d", n+1), ip: fmt.Sprintf("%s%d", w.net, 11+n)}
	h.settings = filepath.Join(w.dir, h.name+".conf")
	text := fmt.Sprintf(`NodeName=%[1]s
Role=entry
MachineClass=frontend
Serves=frontend
Ip=%[2]s
Zone=zone-a
Region=region-a
Zones.zone-a=region-a
ListenAddresses.FrontendAddress=%[2]s:8161
ListenAddresses.ReadinessAddress=%[2]s:8167
ListenAddresses.Control=%[2]s:8166
InternalPorts=7720,7735
Seeds=
Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
Entry=vip
HeartbeatMs=1100
Contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
FaultTolerance.Machines=1
FaultTolerance.Zones=1
Bounds.ContactMs=4000
Bounds.AckMs=5000
Bounds.DrainMs=2500
Bounds.GraceS=6
Bounds.ConfigApplyMs=2500
Bounds.EvacuationMs=5000
Bounds.HoldMaxMs=6000
Bounds.StopTimeoutMs=200
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RemoteFactor=2
Bounds.CheckpointIntervalS=2
Bounds.RestoreMs=600
Bounds.NoticeMs=5500
Bounds.FencingEnforced=false
Bounds.PaceMs=100
Bounds.InterferenceMs=4000
Orders=invocation
platform.Address=%[3]s2:8169
platform.form=log
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.parts=12
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=300
platform.PartitionMb=200
`, h.name, h.ip, w.net)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.start(w)
}

// start starts the process of a host.
func (h *host) start(w *world) error {
	f, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.binary, "join", "--metrics", "9464")
	cmd.Env = append(os.Environ(), "SASSAFRASWIND_NODE_FILE="+h.settings)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.log, h.done = cmd, f, make(chan struct{})
	done := h.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	w.rec.add("host %s starts", h.name)
	return nil
}

// kill ends the process of a host at once.
func (h *host) kill(w *world) {
	w.rec.add("host %s is killed", h.name)
	_ = h.cmd.Process.Kill()
	<-h.done
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.done
			_ = h.log.Close()
		}
	}
}

// awaitReady waits until all hosts are ready and one leads.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readinessPort)); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) && w.leader() != nil {
			w.rec.add("all hosts are ready, %s leads", w.leader().name)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready")
}

// leader returns the host that says that it leads, nil if none does.
func (w *world) leader() *host {
	for _, h := range w.hosts {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.ip, metricsPort))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "sassafraswind_entry_leads") && strings.HasSuffix(line, " 1") {
				return h
			}
		}
	}
	return nil
}

// call sends a request of a consumer to a host and returns the status and the body, 0 if there was no answer.
func (w *world) call(h *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, method, fmt.Sprintf("http://%s:%d%s%s", h.ip, frontendPort, routePrefix, id), bytes.NewReader(data),
	)
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.rec.add("%s %s at %s: no answer", method, id, h.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	w.rec.add("%s %s at %s: %d %s", method, id, h.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit hands a submission in until it is accepted, at the hosts in turn.
func (w *world) submit(id string, s submission) error {
	w.mu.Lock()
	w.jobs[id] = s
	w.mu.Unlock()
	for try := range 20 {
		if status, _ := w.call(w.hosts[try%len(w.hosts)], http.MethodPost, id, s); status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks for the state of a submission.
func (w *world) state(id string) string {
	for try := range 6 {
		if status, body := w.call(w.hosts[try%len(w.hosts)], http.MethodGet, id, nil); status == http.StatusOK {
			var m struct{ State string }
			_ = json.Unmarshal([]byte(body), &m)
			return m.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// violate notes a broken rule.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !strings.HasPrefix(text, w.rule+":") {
		w.rec.add("seen, not judged by this case: %s", text)
		return
	}
	w.broken = append(w.broken, text)
	w.rec.add("BROKEN: %s", text)
}

func (w *world) task(name string) *taskSeen {
	t := w.tasks[name]
	if t == nil {
		t = &taskSeen{running: map[runID]*boot{}}
		w.tasks[name] = t
	}
	return t
}

// stepOf returns the step of a task.
func (w *world) stepOf(task string) step {
	id, i := splitTask(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.jobs[id]; ok && i < len(s.Steps) {
		return s.Steps[i]
	}
	return step{EstimatedMs: 1000}
}

// gangOf returns the run of a gang to which the run of a member belongs. The caller holds mu.
func (w *world) gangOf(id runID) *gang {
	key := fmt.Sprintf("%s/%d", id.Task[:strings.LastIndexByte(id.Task, '.')], id.Run)
	g := w.gangs[key]
	if g == nil {
		g = &gang{present: map[string]bool{}}
		w.gangs[key] = g
	}
	return g
}

// gangState returns how long the gang of a run has worked, whether it is broken, and whether the run has waited too long.
func (w *world) gangState(r *run, now time.Time) (worked time.Duration, broken, alone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangOf(r.runID)
	if g.completeAt.IsZero() {
		return 0, g.broken, now.Sub(r.startedAt) >= gangTimeout
	}
	return now.Sub(g.completeAt), g.broken, false
}

// breakGang notes that a member of a gang has ended without being done. The caller holds mu.
func (w *world) breakGang(id runID) {
	if job, i := splitTask(id.Task); i < len(w.jobs[job].Steps) && w.jobs[job].Steps[i].Gang {
		w.gangOf(id).broken = true
	}
}

// started notes a start, and checks LIMIT, TWICE, ROUTE and UNASKED.
func (w *world) started(b *boot, r *run, c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("worker %s boot %d starts %s run %d (fence %d, %d of %d Cpu in use)",
		b.worker.id, b.born, r.Task, r.Run, c.FencingToken, b.used(), b.kind.cpu)
	t := w.task(r.Task)
	for id, other := range t.running {
		w.violate("TWICE: %s run %d on worker %s boot %d starts while run %d is on worker %s boot %d",
			r.Task, r.Run, b.worker.id, b.born, id.Run, other.worker.id, other.born)
	}
	if t.doneNoted {
		w.violate("TWICE: %s run %d starts on worker %s boot %d after an acknowledged end as done", r.Task, r.Run, b.worker.id, b.born)
	}
	t.starts++
	t.running[r.runID] = b
	if r.step.Gang {
		g := w.gangOf(r.runID)
		if g.present[r.Task] = true; len(g.present) == r.step.Count && !g.broken {
			g.completeAt = time.Now()
			w.rec.add("all members of the gang of %s run %d are present", r.Task, r.Run)
		}
	}
	if used := b.used(); used > b.kind.cpu {
		w.violate("LIMIT: the start of %s brings worker %s boot %d to %d of %d Cpu", r.Task, b.worker.id, b.born, used, b.kind.cpu)
	}
	if l := r.step.Requirements; l != "" && l != b.kind.name && l != b.worker.rack {
		w.violate("ROUTE: %s requires %s and starts on worker %s boot %d of kind %s", r.Task, l, b.worker.id, b.born, b.kind.name)
	}
	if at, ok := w.evacuated[b.worker.zone]; ok && time.Since(at) > evacuationTime {
		w.violate("EVAC: %s starts on worker %s in %s, %.1f s after its evacuation was acknowledged",
			r.Task, b.worker.id, b.worker.zone, time.Since(at).Seconds())
	}
	if id, _ := splitTask(r.Task); w.jobs[id].Spec != c.Spec {
		w.violate("UNASKED: %s starts with another Spec", r.Task)
	}
	if w.onStart != nil {
		w.onStart(b, r, c)
	}
}

// ended notes the end of a run.
func (w *world) ended(b *boot, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.task(e.Task)
	delete(t.running, e.runID)
	t.lastSeen = time.Now()
	if e.How == "failed" {
		t.failed++
	}
	if e.How != "done" {
		w.breakGang(e.runID)
	}
	if e.How == "done" {
		t.doneOn, t.doneN = b, e.N
	}
	w.rec.add("worker %s boot %d lists end %d: %s run %d %s", b.worker.id, b.born, e.N, e.Task, e.Run, e.How)
}

// vanished notes that a run ended with its worker.
func (w *world) vanished(b *boot, id runID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.task(id.Task)
	delete(t.running, id)
	t.lastSeen = time.Now()
	w.breakGang(id)
	w.rec.add("%s run %d is gone with worker %s boot %d", id.Task, id.Run, b.worker.id, b.born)
}

// acknowledged notes that an end was taken note of.
func (w *world) acknowledged(b *boot, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("worker %s boot %d: end %d (%s run %d %s) is acknowledged", b.worker.id, b.born, e.N, e.Task, e.Run, e.How)
	if t := w.task(e.Task); e.How == "done" && t.doneOn == b && t.doneN == e.N {
		t.doneNoted = true
	}
}

// lapsed notes that the lease of a boot has lapsed: its ends that are acknowledged later do not count.
func (w *world) lapsed(b *boot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("the lease of worker %s boot %d lapses", b.worker.id, b.born)
	for _, t := range w.tasks {
		if t.doneOn == b && !t.doneNoted {
			t.doneOn = nil
		}
	}
}

// running reports on which worker a task runs, nil if on none, and when it last ran.
func (w *world) running(task string) (*worker, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.task(task)
	for _, b := range t.running {
		return b.worker, time.Now()
	}
	return nil, t.lastSeen
}
