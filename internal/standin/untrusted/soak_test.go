//go:build linux

package untrusted

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// soakHosts is the number of entry hosts, and soakRounds how often crowds come and go. The environment variable
	// UNTRUSTED_HOSTS sets another number of hosts.
	soakHosts  = 4
	soakRounds = 3
	// maxSoakClients is the size of the largest crowd at one host.
	maxSoakClients = 300
	// maxSignals is the largest number of signals in a round.
	maxSignals = 3
	// maxPause is the longest time before a signal, for which a process is stopped, and before it is started again.
	maxPause = 2 * time.Second
	// graceTime is the time after SIGTERM within which a process ends.
	graceTime = 10 * time.Second
)

// soakKinds are the crowds that are drawn.
var soakKinds = []struct {
	name    string
	address func(h *testHost) string
	behave  func(c *client) error
}{
	{"silent connections", callersAddress, func(*client) error { return nil }},
	{"headers of short fields", callersAddress, sendText(shortFields() + "{")},
	{"bodies that stop short", callersAddress, sendText(lengthHeader + largeBody()[:bodyBytes-missingBytes])},
	{"small steps", callersAddress, submitOnce(listBody(`{"Spec":"","Steps":[`, `{}`, `]}`))},
	{"small jobs of many steps", callersAddress, fillWithJobs(`{"Spec":"","Steps":[` + strings.Repeat(`{"Count":1,"Cpu":8000},`, 199) + `{"Count":1}]}`)},
	{"large jobs", callersAddress, fillWithJobs(largeJob)},
	{"answers never read", callersAddress, sendText(strings.Repeat("GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 100))},
	{"silent peers", peersAddress, func(*client) error { return nil }},
	{"messages that stop short", peersAddress, sendText(messageFrame(peerMessageBytes) + strings.Repeat("a", peerMessageBytes-missingBytes))},
	{"messages of empty elements", peersAddress, callWith(submission(100_000, strings.Repeat("\xc0", 100_000)))},
	{"messages with false lengths", peersAddress, callWith(submission(1<<31, ""))},
}

// sendText returns the behavior of clients that send a text and wait.
func sendText(text string) func(c *client) error {
	return func(c *client) error { return c.sendAll(text) }
}

// callWith returns the behavior of clients that send an encoded message and wait for the answer.
func callWith(message []byte) func(c *client) error {
	return func(c *client) error { return c.call(methodRequest, message) }
}

// soakJobs counts the jobs that were submitted, each of which has an ID of its own.
var soakJobs atomic.Uint32

// fillWithJobs returns the behavior of clients that submit equal jobs until one is refused.
func fillWithJobs(body string) func(c *client) error {
	return func(c *client) error {
		for range jobsPerClient {
			status, err := c.submit(fmt.Sprintf("%08x", soakJobs.Add(1)), body)
			if err != nil || status != http.StatusOK {
				return err
			}
		}
		return nil
	}
}

// TestMixedCrowds guards against crowds of several kinds that come to several hosts at the same time and take one of them, leader
// or not, beyond its memory or its descriptors, or end it, while hosts are stopped, killed and frozen in series that overlap.
// UNTRUSTED_SEED draws other series. A seed doesn't fix the timing of processes.
func TestMixedCrowds(t *testing.T) {
	seed := envNumber(t, "UNTRUSTED_SEED", 1)
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	hosts := startHosts(t, envNumber(t, "UNTRUSTED_HOSTS", soakHosts), envNumber(t, "UNTRUSTED_MEMORY", memoryMiB), manyDescriptors)
	for _, h := range hosts {
		defer h.watchDescriptors()()
	}
	for round := range soakRounds {
		var crowds, signals sync.WaitGroup
		quiet := make(chan struct{})
		for range 1 + rng.IntN(len(hosts)) {
			kind, n, h := soakKinds[rng.IntN(len(soakKinds))], 1+rng.IntN(maxSoakClients), hosts[rng.IntN(len(hosts))]
			t.Logf("round %d: %d clients with %s at %s", round, n, kind.name, h.callers)
			crowds.Go(func() {
				leave := crowd{n: n, address: kind.address, behave: kind.behave}.gather(h)
				<-quiet
				leave()
			})
		}
		perm := rng.Perm(len(hosts))
		for i := range rng.IntN(maxSignals + 1) {
			h := hosts[perm[i]]
			s := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}[rng.IntN(3)]
			before, pause := drawPause(rng), drawPause(rng)
			t.Logf("round %d: %v for %s after %v, for %v", round, s, h.callers, before, pause)
			signals.Go(func() {
				time.Sleep(before)
				h.interrupt(s, pause)
			})
		}
		signals.Wait()
		close(quiet)
		crowds.Wait()
		for _, h := range hosts {
			h.await(h.callers, h.ordinaryRequest)
			h.checkMemory()
		}
	}
	for _, h := range hosts {
		t.Logf("%s: memory %d MiB of %d, descriptors %d of %d", h.callers, h.maxMemory>>20, h.memory>>20, h.maxDescriptors, h.descriptors)
		if h.maxDescriptors > h.descriptors {
			t.Errorf("%s had %d descriptors open, its limit is %d", h.callers, h.maxDescriptors, h.descriptors)
		}
	}
}

// drawPause draws a time up to maxPause.
func drawPause(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(maxPause))) }

// interrupt sends a signal to the process. It is continued, or started again, after the pause.
func (h *testHost) interrupt(s syscall.Signal, pause time.Duration) {
	h.checkProcesses()
	h.checkMemory()
	p := h.process()
	if err := p.cmd.Process.Signal(s); err != nil {
		h.t.Errorf("signal %s: %v", h.callers, err)
		return
	}
	if s == syscall.SIGSTOP {
		time.Sleep(pause)
		if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			h.t.Errorf("continue %s: %v", h.callers, err)
		}
		return
	}
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		h.t.Errorf("%s has not ended %v after %v", h.callers, graceTime, s)
		return
	}
	time.Sleep(pause)
	h.start()
}

// checkMemory fails the test if the process has taken more memory than its limit.
func (h *testHost) checkMemory() {
	peak := h.peakMemory()
	h.maxMemory = max(h.maxMemory, peak)
	if peak > h.memory {
		h.t.Errorf("%s took %d MiB of memory, its limit is %d", h.callers, peak>>20, h.memory>>20)
	}
}
