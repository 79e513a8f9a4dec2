//go:build linux

package untrusted

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// The ports of the stand-in and of the host, counted from the first one, as cmd/standin lays them out.
const (
	controlPort = 0
	ingressPort = 1
	storePort   = 10
	callersPort = 100
	readyPort   = 101
	peersPort   = 103
	workerPort  = 500
	// hostPorts is the number of ports of each host.
	hostPorts = 10
	// portsInUse is the number of ports that the stand-in and one host take.
	portsInUse = 600
	// firstPort and lastPort bound the ports that are tried. They are below the ports of outgoing connections.
	firstPort = 21000
	lastPort  = 31000
)

const (
	// startTime is how long the processes may take to be ready, and answerTime how long an ordinary request is repeated
	// until it is answered. Neither is measured.
	startTime  = 60 * time.Second
	answerTime = 60 * time.Second
	// sampleInterval is the interval at which the open descriptors of the host are counted.
	sampleInterval = 50 * time.Millisecond
)

// manifest has the limits of the users' deployments.
const manifest = `{"Version":2,"Routes":[{"Name":"batch","Host":"jobs.example","PathPrefix":"/batch/","Service":"pool",` +
	`"Priority":1,"MaxAttempts":3,"SlackFactor":2,"TargetLatencyMs":2000}],"Services":[{"Name":"pool"}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// programDir is the directory of the programs.
var programDir string

// programs builds the programs once for all tests.
var programs = sync.OnceValue(func() error {
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", programDir,
		"../../../cmd/sassafraswind", "../../../cmd/standin").CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
})

// TestMain removes the programs after the tests.
func TestMain(m *testing.M) {
	var err error
	if programDir, err = os.MkdirTemp("", "untrusted-"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(programDir)
	os.Exit(code)
}

// testHost is an entry host in a process of its own, on a stand-in of the platform in another one.
type testHost struct {
	t *testing.T
	// callers is the address for callers, and peers that for other hosts.
	callers, peers string
	// operators is the address for operators, empty for hosts that run join.
	operators string
	// ordinaryRequest sends a request as ordinary clients do, on a connection of its own.
	ordinaryRequest func() error
	// settings is the path of the settings file.
	settings string
	// memory is the memory limit in bytes and descriptors the number of descriptors, both of the settings file.
	memory, descriptors int
	platform            *program

	mu sync.Mutex
	// host is the present process of the host.
	host *program
	// maxDescriptors is the highest number of open descriptors that was seen.
	maxDescriptors int
	// maxMemory is the largest resident size that checkMemory has seen, of all processes of the host.
	maxMemory int
}

// startHost starts a platform and one entry host with the given limits and waits until the host answers.
func startHost(t *testing.T, memoryMiB, descriptors int) *testHost {
	return startHosts(t, 1, memoryMiB, descriptors)[0]
}

// startHosts starts a platform and n entry hosts with the given limits and waits until all of them answer.
func startHosts(t *testing.T, n, memoryMiB, descriptors int) []*testHost {
	if err := programs(); err != nil {
		t.Fatal(err)
	}
	dir, base := t.TempDir(), freePorts(t)
	platform := start(t, filepath.Join(dir, "platform.log"), filepath.Join(programDir, "standin"), "platform", "--dir", dir,
		"--port", strconv.Itoa(base), "--zones", "zone-a", "--workers", "2", "--hosts", strconv.Itoa(n), "--limit", strconv.Itoa(memoryMiB))
	hosts := make([]*testHost, n)
	for i := range hosts {
		first := base + i*hostPorts
		hosts[i] = &testHost{
			t: t, callers: address(first + callersPort), peers: address(first + peersPort), memory: memoryMiB << 20,
			descriptors: descriptors, settings: filepath.Join(dir, fmt.Sprintf("entry-%d.conf", i+1)), platform: platform,
		}
		hosts[i].ordinaryRequest = hosts[i].countJobs
	}
	hosts[0].await("the platform", func() error {
		return send(http.MethodPost, "http://"+address(base+controlPort)+"/manifest", manifest, http.StatusNoContent)
	})
	for _, h := range hosts {
		h.setDescriptors()
		h.start()
	}
	for _, h := range hosts {
		h.await("the host", h.ordinaryRequest)
	}
	return hosts
}

// setDescriptors adds the number of descriptors to the settings file.
func (h *testHost) setDescriptors() {
	file, err := os.OpenFile(h.settings, os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = fmt.Fprintf(file, "Limits.MaxFds=%d\n", h.descriptors)
		err = errors.CombineErrors(err, file.Close())
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// start starts the process of the host.
func (h *testHost) start() {
	p := start(h.t, h.settings+".log", filepath.Join(programDir, "sassafraswind"), "join", "--settings", h.settings)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.host = p
}

// process returns the present process of the host.
func (h *testHost) process() *program {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.host
}

// countJobs asks for the number of pending jobs on a connection of its own.
func (h *testHost) countJobs() error {
	return send(http.MethodGet, "http://"+h.callers+"/batch/", "", http.StatusOK)
}

// await repeats fn until it succeeds. The test fails if a process ends or if that takes too long.
func (h *testHost) await(what string, fn func() error) {
	h.t.Helper()
	var err error
	for begun := time.Now(); time.Since(begun) < startTime; time.Sleep(100 * time.Millisecond) {
		h.checkProcesses()
		if err = fn(); err == nil {
			return
		}
	}
	h.t.Fatalf("%s doesn't answer: %v", what, err)
}

// checkProcesses fails the test if a process has ended.
func (h *testHost) checkProcesses() {
	h.t.Helper()
	for _, p := range []*program{h.platform, h.process()} {
		if p == nil {
			continue
		}
		select {
		case <-p.ended:
			h.t.Fatalf("%s ended by itself: %v", p.cmd.Path, p.err)
		default:
		}
	}
}

// watchDescriptors counts the open descriptors of the host until the returned function is called.
func (h *testHost) watchDescriptors() func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			// The process may have ended.
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process().cmd.Process.Pid))
			h.mu.Lock()
			h.maxDescriptors = max(h.maxDescriptors, len(open))
			h.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// peakMemory returns the largest resident size of the host so far, in bytes.
func (h *testHost) peakMemory() int {
	h.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process().cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kib int
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		h.t.Fatalf("read VmHWM: %v", err)
	}
	return kib << 10
}

// program is a running program.
type program struct {
	cmd *exec.Cmd
	// ended is closed when the program has ended, with err set.
	ended chan struct{}
	err   error
}

// start starts a program, which is stopped at the end of the test. Its output is printed if the test fails.
func start(t *testing.T, logPath, path string, args ...string) *program {
	t.Helper()
	// A program that is started again goes on with the file.
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &program{cmd: exec.CommandContext(context.WithoutCancel(t.Context()), path, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The program ends with the test even if that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		// The program may have ended already.
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(20 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
		_ = out.Close()
		if data, err := os.ReadFile(logPath); err == nil && t.Failed() {
			t.Logf("%s:\n%s", filepath.Base(logPath), data[max(0, len(data)-4000):])
		}
	})
	return p
}

// address returns the loopback address with a port.
func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePorts returns the first port of a range in which nothing listens on the ports that matter.
func freePorts(t *testing.T) int {
	t.Helper()
	for base := firstPort; base < lastPort; base += portsInUse {
		free := true
		for _, offset := range []int{
			controlPort, ingressPort, storePort, callersPort, readyPort, peersPort, workerPort, workerPort + 1,
		} {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address(base+offset))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
	t.Fatal("no range of free ports")
	return 0
}

// send sends one request on a connection of its own. It fails if the status of the answer is another one.
func send(method, url, body string, status int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Host = "jobs.example"
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != status {
		return errors.Newf("%s %s: status %d: %s", method, url, resp.StatusCode, answer)
	}
	return nil
}
