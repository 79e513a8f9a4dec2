package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	product "sassafraswind.example/sassafraswind/platform"
)

// deployment is a stand-in with entry hosts in this process.
type deployment struct {
	t        *testing.T
	platform *Platform
	hosts    []*runningHost
	// tenants are those of the manifests, nil if there are none.
	tenants *Tenants

	mu sync.Mutex
	// version is that of the newest manifest.
	version int
	// jobs are those that submitJobs has sent, by their number, if there are tenants.
	jobs []submissionBody
}

// runningHost is an entry host that runs in this process or in one of its own.
type runningHost struct {
	settings    HostSettings
	path        string
	level       string
	metricsPort int
	// run runs the host and returns stop.
	run func(h *runningHost) (stop func() error)
	// signals and store tell when the host's process and its calls to the store were disturbed.
	signals, store harm
	// stop stops the host as the platform does before planned work and returns its error.
	stop func() error
}

// portsOfHost is the number of ports that a host needs.
const portsOfHost = 5

// startDeployment starts a stand-in with three zones of four workers, and entry hosts in all of them.
func startDeployment(t *testing.T, seed uint64, hosts int, departure Departure) *deployment {
	t.Helper()
	return startZones(t, []string{"a", "b", "c"}, seed, hosts, departure)
}

// startZones starts a stand-in with four workers in each of the zones, and entry hosts in the zones in turn.
func startZones(t *testing.T, zones []string, seed uint64, hosts int, departure Departure) *deployment {
	t.Helper()
	return startHosts(t, zones, seed, hosts, departure, runHere)
}

// startHosts does what startZones does with hosts that the function run runs.
func startHosts(
	t *testing.T, zones []string, seed uint64, hosts int, departure Departure, run func(h *runningHost) (stop func() error),
) *deployment {
	t.Helper()
	return startTenants(t, zones, seed, hosts, departure, run, nil)
}

// startTenants does what startHosts does with manifests that have the tenants, or none if they are nil.
func startTenants(
	t *testing.T, zones []string, seed uint64, hosts int, departure Departure, run func(h *runningHost) (stop func() error),
	tenants *Tenants,
) *deployment {
	t.Helper()
	manifest, err := DefaultManifest(1)
	if tenants != nil {
		manifest, err = tenants.Manifest(1)
	}
	So(err, ShouldBeNil)
	// PLATFORM_LOG sets the log level of the hosts and of the stand-in.
	level := cmp.Or(os.Getenv("PLATFORM_LOG"), "error")
	log, err := telemetry.NewLogger(os.Stdout, level, "json")
	So(err, ShouldBeNil)
	p, closePlatform, err := New(Config{
		Zones: zones, Workers: 4, Capacity: fleet.Size{Cores: 8000, Memory: 16000}, Departure: departure, IP: "127.0.0.1",
		Seed: seed, Manifest: manifest,
	}, log)
	So(err, ShouldBeNil)
	d := &deployment{t: t, platform: p, tenants: tenants, version: 1}
	free := reservePorts(t, portsOfHost*hosts)
	for i := range hosts {
		ports := free[portsOfHost*i:]
		s := HostSettings{
			Name: fmt.Sprintf("h%d", i), Zone: zones[i%len(zones)], IP: "127.0.0.1", CallersPort: ports[0], ReadyPort: ports[1],
			FirstPort: ports[2], LastPort: ports[3], MemoryMiB: 1024,
		}
		s.StoreAddress, err = p.AddStore(s.Name)
		So(err, ShouldBeNil)
		path := filepath.Join(t.TempDir(), s.Name+".conf")
		So(os.WriteFile(path, []byte(s.File()), 0o600), ShouldBeNil)
		d.hosts = append(d.hosts, &runningHost{
			settings: s, path: path, level: level, metricsPort: ports[4], run: run,
		})
	}
	for _, h := range d.hosts {
		h.start()
		p.AddHost(h.settings.Name, h.settings.CallersAddress(), h.settings.ReadyAddress())
	}
	Reset(func() {
		var wg sync.WaitGroup
		for _, h := range d.hosts {
			wg.Go(func() { _ = h.stop() })
		}
		wg.Wait()
		closePlatform()
	})
	So(eventually(max(15*time.Second, time.Duration(hosts)*time.Second), func() bool {
		return d.leader() != nil && p.ingress.readyHosts() == hosts
	}), ShouldBeTrue)
	return d
}

// reservePorts returns n ascending ports that no other process that calls it uses at the same time. Hosts can't be given
// listeners. The ports are below the range from which the system chooses one for a connection.
func reservePorts(t *testing.T, n int) []int {
	t.Helper()
	const first, last, block = 24000, 28000, 40
	ports := make([]int, 0, n)
	for base := first; base < last && len(ports) < n; base += block {
		// The first port of a block is kept open until the end of the test, as a lock.
		lock, err := new(net.ListenConfig).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		for port := base + 1; port < base+block && len(ports) < n; port++ {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err == nil {
				So(l.Close(), ShouldBeNil)
				ports = append(ports, port)
			}
		}
	}
	if len(ports) < n {
		t.Fatal("no free ports")
	}
	return ports
}

// start starts the host.
func (h *runningHost) start() { h.stop = h.run(h) }

// runHere runs a host in this process.
func runHere(h *runningHost) func() error {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- product.Run(ctx, h.path, h.level, h.metricsPort) }()
	return sync.OnceValue(func() error {
		cancel()
		return <-stopped
	})
}

// leads reports whether the host leads.
func (h *runningHost) leads() bool {
	_, body := send(http.MethodGet, fmt.Sprintf("127.0.0.1:%d", h.metricsPort), "", "/metrics", nil)
	for line := range strings.Lines(body) {
		if strings.HasPrefix(line, "sassafraswind_entry_leads") && strings.HasSuffix(strings.TrimSpace(line), " 1") {
			return true
		}
	}
	return false
}

// leader returns a host that leads, nil if there is none. It doesn't ask hosts whose process is disturbed.
func (d *deployment) leader() *runningHost {
	found := make(chan *runningHost, len(d.hosts))
	for _, h := range d.hosts {
		go func() {
			if h.signals.isLasting() || !h.leads() {
				h = nil
			}
			found <- h
		}()
	}
	for range d.hosts {
		if h := <-found; h != nil {
			return h
		}
	}
	return nil
}

// setStoreFaults replaces the store's faults for the hosts, or for all if none is given.
func (d *deployment) setStoreFaults(f Faults, hosts ...*runningHost) {
	names, hosts := d.selectHosts(hosts)
	for _, h := range hosts {
		h.store.set(true)
	}
	d.platform.SetFaults(f, names...)
	for _, h := range hosts {
		h.store.set(f != Faults{})
	}
}

// blackholeStore makes a share of the connections of the hosts to the store silent, or of all hosts if none is given.
func (d *deployment) blackholeStore(share float64, hosts ...*runningHost) {
	names, hosts := d.selectHosts(hosts)
	d.platform.BlackholeStore(share, names...)
	for _, h := range hosts {
		h.store.touch()
	}
}

// selectHosts returns the names of the hosts, and the hosts or, if there are none, all hosts.
func (d *deployment) selectHosts(hosts []*runningHost) ([]string, []*runningHost) {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.settings.Name)
	}
	if len(hosts) == 0 {
		return nil, d.hosts
	}
	return names, hosts
}

// harm is a record of disturbances of one kind.
type harm struct {
	mu sync.Mutex
	// lasting is set while a disturbance lasts, and at is when one began or ended last.
	lasting bool
	at      time.Time
}

// set records that a disturbance begins, or that it ends.
func (h *harm) set(lasting bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lasting, h.at = lasting, time.Now()
}

// touch records a disturbance at this time only.
func (h *harm) touch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = time.Now()
}

// isLasting reports whether a disturbance lasts.
func (h *harm) isLasting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lasting
}

// noneSince reports whether there was no disturbance since the given time.
func (h *harm) noneSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lasting && h.at.Before(t)
}

// send sends a request and returns the status, 0 if there is no answer, and the body.
func send(method, address, host, path string, body any) (int, string) {
	return sendWithKey(method, address, host, path, "", body)
}

// sendWithKey does what send does with an API key, unless it is empty.
func sendWithKey(method, address, host, path, key string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

// call sends a request of a caller, again until it has an answer that tells the outcome.
func (d *deployment) call(method, path string, body any) string {
	var answer string
	So(eventually(10*time.Second, func() bool {
		var status int
		status, answer = send(method, d.platform.IngressAddress(), RouteHost, path, body)
		return status == http.StatusOK
	}), ShouldBeTrue)
	return answer
}

// eventually waits up to the given time until fn returns true and reports whether it did.
func eventually(limit time.Duration, fn func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if fn() {
			return true
		}
	}
	return false
}

// departed reports whether all workers that were to leave have ended.
func (d *deployment) departed() bool {
	p := d.platform.workers
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.members, func(m *member) bool { return m.departure != nil })
}

// departures are the ways in which workers leave: in one instant, and as real processes do.
var departures = map[string]Departure{"in one instant": {}, "in steps": DefaultDeparture()}

// Guards against a handover or a leaving worker that costs a run too much, one run too few, or a job.
func TestPlannedChangesOfLeader(t *testing.T) {
	for way, departure := range departures {
		Convey("Two planned changes of the leader while workers leave "+way+" break no rule", t, func() {
			d := startDeployment(t, 1, 3, departure)
			const serving, chain = ServingPrefix + "00000000000000a1", BatchPrefix + "00000000000000b1"
			d.call(http.MethodPost, serving, submissionBody{Spec: "s", Steps: []stepBody{{
				Count: 6, CPU: 1000, MemMb: 512, EstimatedMs: 1000, LongRunning: true, TargetMs: 200,
			}}})
			d.call(http.MethodPost, chain, submissionBody{Spec: "c", Steps: []stepBody{
				{Count: 8, CPU: 1000, MemMb: 512, EstimatedMs: 2500, Checkpointing: true},
				{Count: 8, CPU: 2000, MemMb: 512, EstimatedMs: 1000, DependsOn: []int{0}},
			}})
			for range 2 {
				leader := d.leader()
				So(leader, ShouldNotBeNil)
				_, err := d.platform.ChangeWorkers(ActionDrain, 2, "")
				So(err, ShouldBeNil)
				So(leader.stop(), ShouldBeNil)
				leader.start()
				So(eventually(10*time.Second, func() bool { return d.leader() != nil }), ShouldBeTrue)
			}
			So(eventually(30*time.Second, func() bool {
				return strings.Contains(d.call(http.MethodGet, chain, nil), `"completed"`)
			}), ShouldBeTrue)
			So(eventually(20*time.Second, d.departed), ShouldBeTrue)
			// Long enough for a long-running task to count as lost.
			time.Sleep(restartTime + time.Second)
			So(d.call(http.MethodGet, serving, nil), ShouldContainSubstring, `"running"`)
			r := d.platform.Report()
			So(r.Violations, ShouldBeEmpty)
			So(r.Accepted, ShouldEqual, 2)
			So(r.Done, ShouldEqual, 16)
			So(r.Running, ShouldEqual, 6)
		})
	}
}

// Guards against a deadline that each leader begins anew, so that tasks of a worker that has left wait for several terms.
func TestSuccessiveChangesOfLeader(t *testing.T) {
	for way, departure := range departures {
		Convey("Two planned changes of the leader in succession, when workers leave "+way+", break no rule", t, func() {
			d := startDeployment(t, 1, 3, departure)
			const tasks, drained, serving = 8, 5, ServingPrefix + "00000000000000a1"
			d.call(http.MethodPost, serving, submissionBody{Spec: "s", Steps: []stepBody{{
				Count: tasks, CPU: 1000, MemMb: 512, EstimatedMs: 1000, LongRunning: true, TargetMs: 200, AntiAffinity: 1,
			}}})
			So(eventually(5*time.Second, func() bool { return d.platform.Report().Running == tasks }), ShouldBeTrue)
			// Of the 12 workers 8 run a task, so that at least one of those that leave does.
			_, err := d.platform.ChangeWorkers(ActionAdd, drained, "")
			So(err, ShouldBeNil)
			_, err = d.platform.ChangeWorkers(ActionDrain, drained, "")
			So(err, ShouldBeNil)
			time.Sleep(drainTime + drainExcess + 100*time.Millisecond)
			for range 2 {
				leader := d.leader()
				So(leader, ShouldNotBeNil)
				So(leader.stop(), ShouldBeNil)
				leader.start()
				time.Sleep(3 * time.Second)
			}
			So(eventually(15*time.Second, d.departed), ShouldBeTrue)
			So(eventually(15*time.Second, func() bool { return d.platform.Report().Running == tasks }), ShouldBeTrue)
			r := d.platform.Report()
			So(r.Violations, ShouldBeEmpty)
		})
	}
}

// TestRequestOutlastsGracePeriod guards against a planned stop that cuts the connection of a request whose time limit is later
// than the end of the process.
func TestRequestOutlastsGracePeriod(t *testing.T) {
	Convey("A submission that waits for the store is answered before the process ends", t, func() {
		d := startHosts(t, []string{"a"}, 1, 1, Departure{}, runHere)
		h := d.hosts[0]
		d.setStoreFaults(Faults{Silent: true})
		data, err := json.Marshal(servingJob())
		So(err, ShouldBeNil)
		req, err := http.NewRequestWithContext(
			t.Context(), http.MethodPost, "http://"+h.settings.CallersAddress()+ServingPrefix+"00000000000000a1", bytes.NewReader(data),
		)
		So(err, ShouldBeNil)
		req.Host = RouteHost
		req.Header.Set("Deadline-Ms", "20000")
		status := make(chan int, 1)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				status <- 0
				return
			}
			_ = resp.Body.Close()
			status <- resp.StatusCode
		}()
		time.Sleep(200 * time.Millisecond)
		So(h.stop(), ShouldBeNil)
		So(<-status, ShouldEqual, http.StatusGatewayTimeout)
	})
}
