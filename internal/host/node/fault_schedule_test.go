package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/standin/backend"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
)

// Environment variables of TestRandomFaults: one seed that replaces the fixed ones, the time for which a run applies
// faults, and the time for which runs with new seeds are repeated.
const (
	envSeed   = "FAULTS_SEED"
	envLength = "FAULTS_LENGTH"
	envSoak   = "FAULTS_SOAK"
)

// retainedRecords is the number of records that the log keeps in random runs, so that long runs need snapshots.
const retainedRecords = 2000

// TestRandomFaults guards against violations of the guarantees in docs/design.md, section 9, such as a keyed request
// that is executed twice or accepted work that never ends, when random faults of hosts, workers and the log overlap.
func TestRandomFaults(t *testing.T) {
	length := 5 * time.Second
	if s := os.Getenv(envLength); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil {
			t.Fatal(err)
		}
		length = d
	}
	if s := os.Getenv(envSeed); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runRandomFaults(t, seed, length)
		return
	}
	if s := os.Getenv(envSoak); s != "" {
		limit, err := time.ParseDuration(s)
		if err != nil {
			t.Fatal(err)
		}
		soak(t, limit, length)
		return
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed, length)
		})
	}
}

// soak repeats runs with new seeds, two at a time, until limit has passed or a run fails.
func soak(t *testing.T, limit, length time.Duration) {
	end := time.Now().Add(limit)
	for runs := 0; time.Now().Before(end) && !t.Failed(); runs += 2 {
		t.Run("pair", func(t *testing.T) {
			for range 2 {
				seed := rand.Uint64N(1 << 32)
				t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
					t.Parallel()
					fmt.Printf("seed %d begins at %s\n", seed, time.Now().Format(time.TimeOnly))
					runRandomFaults(t, seed, length)
					if t.Failed() {
						fmt.Printf("seed %d failed; repeat with:\n  %s=%d %s=%s go test -race -count=1 -run '^TestRandomFaults$' ./internal/host/node\n",
							seed, envSeed, seed, envLength, length)
					}
				})
			}
		})
		fmt.Printf("%d runs ended\n", runs+2)
	}
}

// faultSchedule applies random faults to a test platform.
type faultSchedule struct {
	platform  *testPlatform
	rng       *rand.Rand
	startedAt time.Time
	// pendingFaults counts the faults that have not ended.
	pendingFaults sync.WaitGroup

	mu           sync.Mutex
	events       []string
	replacements int
}

// recordEvent keeps an event, which is logged if the run fails.
func (s *faultSchedule) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// healAfter ends a fault after d by calling heal.
func (s *faultSchedule) healAfter(d time.Duration, heal func()) {
	s.pendingFaults.Add(1)
	time.AfterFunc(d, func() {
		defer s.pendingFaults.Done()
		heal()
	})
}

func (s *faultSchedule) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// replaceHost starts a host with a new ID and without stored state in place of one that was stopped or killed.
func (s *faultSchedule) replaceHost(old *testNode) {
	s.mu.Lock()
	s.replacements++
	id := fmt.Sprintf("%s-n%d", old.zoneName, s.replacements)
	s.mu.Unlock()
	s.platform.hosts.Remove(old.id)
	s.platform.start(id, old.zoneName)
	s.recordEvent("host %s replaces %s", id, old.id)
}

// injectFault begins one random fault.
func (s *faultSchedule) injectFault() {
	switch k := s.rng.IntN(10); {
	case k < 5:
		s.injectHostFault()
	case k < 8:
		s.injectWorkerFault()
	default:
		s.injectLogFault()
	}
}

func (s *faultSchedule) injectHostFault() {
	hosts := s.platform.liveHosts()
	n := hosts[s.rng.IntN(len(hosts))]
	d := s.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	faults := []struct {
		name string
		set  func(f *linkFaults, on bool)
	}{
		{"paused", func(f *linkFaults, on bool) { f.Paused = on }},
		{"cut from the log", func(f *linkFaults, on bool) { f.CutLog = on }},
		{"cut from workers", func(f *linkFaults, on bool) { f.CutWorkers = on }},
		{"cut from peers", func(f *linkFaults, on bool) { f.CutPeers = on }},
		{"cut from the host list", func(f *linkFaults, on bool) { f.CutHostList = on }},
		{"cut from all", func(f *linkFaults, on bool) { f.CutLog, f.CutWorkers, f.CutPeers, f.CutHostList = on, on, on, on }},
		{"answers of workers lost", func(f *linkFaults, on bool) { f.LoseAnswers = on }},
		{"calls delivered twice", func(f *linkFaults, on bool) { f.DuplicateCalls = on }},
	}
	switch k := s.rng.IntN(len(faults) + 4); {
	case k < len(faults):
		s.recordEvent("host %s %s for %s", n.id, faults[k].name, d)
		n.link.setFaults(func(f *linkFaults) { faults[k].set(f, true) })
		s.healAfter(d, func() { n.link.setFaults(func(f *linkFaults) { faults[k].set(f, false) }) })
	case k == len(faults):
		delay := s.randomDuration(10*time.Millisecond, 1500*time.Millisecond)
		s.recordEvent("host %s messages to workers delayed by %s for %s", n.id, delay, d)
		n.link.setFaults(func(f *linkFaults) { f.WorkerDelay = delay })
		s.healAfter(d, func() { n.link.setFaults(func(f *linkFaults) { f.WorkerDelay = 0 }) })
	case k == len(faults)+1:
		s.recordEvent("host %s stops as planned", n.id)
		n.ended.Store(true)
		s.replaceHost(n)
		s.healAfter(0, func() { _ = n.stop() })
	case k == len(faults)+2 && s.rng.IntN(4) == 0:
		s.recordEvent("all hosts of zone %s are killed", n.zoneName)
		for _, o := range hosts {
			if o.zoneName == n.zoneName {
				o.kill()
				s.replaceHost(o)
			}
		}
	default:
		s.recordEvent("host %s is killed", n.id)
		n.kill()
		s.replaceHost(n)
	}
}

func (s *faultSchedule) injectWorkerFault() {
	ids := make([]string, 0, len(s.platform.workers))
	for id := range s.platform.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	b := s.platform.worker(ids[s.rng.IntN(len(ids))])
	d := s.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	set := func(name string, d time.Duration, change func(f *backend.Faults, on bool)) {
		s.recordEvent("worker %s %s for %s", b.ID(), name, d)
		apply := func(on bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			f := b.Faults()
			change(&f, on)
			b.SetFaults(f)
		}
		apply(true)
		s.healAfter(d, func() { apply(false) })
	}
	switch s.rng.IntN(7) {
	case 0:
		set("frozen", d, func(f *backend.Faults, on bool) { f.Freeze = on })
	case 1:
		set("fails all tasks and calls that start", d/8, func(f *backend.Faults, on bool) { f.Fail = on })
	case 2:
		set("reports itself as leaving", d, func(f *backend.Faults, on bool) { f.Leaving = on })
	case 3:
		set("unreachable", d, func(f *backend.Faults, on bool) { f.Unreachable = on })
	case 4:
		s.recordEvent("worker %s restarts", b.ID())
		b.Restart()
	case 5:
		s.recordEvent("worker %s listed as leaving for %s", b.ID(), d)
		s.platform.listWorker(b.ID(), true)
		s.healAfter(d, func() { s.platform.listWorker(b.ID(), false) })
	case 6:
		s.recordEvent("worker %s unlisted for %s", b.ID(), d)
		s.platform.hosts.Remove(b.ID())
		s.healAfter(d, func() { s.platform.listWorker(b.ID(), false) })
	}
}

func (s *faultSchedule) injectLogFault() {
	d := s.randomDuration(100*time.Millisecond, 2*time.Second)
	f := standinlog.Faults{MaxRecords: retainedRecords}
	switch s.rng.IntN(4) {
	case 0:
		f.Outage = true
	case 1:
		f.Delay = s.randomDuration(50*time.Millisecond, 1500*time.Millisecond)
	case 2:
		f.LoseResponses = true
	case 3:
		f.EffectDelay = s.randomDuration(50*time.Millisecond, 1500*time.Millisecond)
	}
	s.recordEvent("log %+v for %s", f, d)
	s.platform.log.SetFaults(f)
	s.healAfter(d, func() { s.platform.log.SetFaults(standinlog.Faults{MaxRecords: retainedRecords}) })
}

// run applies faults until the given time and then waits until all have ended.
func (s *faultSchedule) run(end time.Time) {
	for time.Now().Before(end) {
		s.injectFault()
		time.Sleep(s.randomDuration(50*time.Millisecond, 450*time.Millisecond))
	}
	s.pendingFaults.Wait()
	s.recordEvent("all faults have ended")
}
