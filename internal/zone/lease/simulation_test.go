package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

// TestMain fixes the seed of the random tests, so that each run makes the same checks.
func TestMain(m *testing.M) { seed.Main(m, 7, 40) }

// simulationStep is the time by which one call of advance moves the simulation.
const simulationStep = 50 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

// fakeWorker is a fake worker with a drifting clock.
type fakeWorker struct {
	id                  string
	clockRate           float64
	boot                int
	bootedAt            time.Time
	holder              string
	grant               uint64
	until, taskLeaseEnd time.Duration
}

func (w *fakeWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.bootedAt)) * w.clockRate)
}

func (w *fakeWorker) bootID() string { return fmt.Sprintf("%s#%d", w.id, w.boot) }

func (w *fakeWorker) status(now time.Time) fleet.Status {
	s := fleet.Status{Worker: w.id, Boot: w.bootID(), Clock: w.clock(now), Grant: w.grant, Until: w.until}
	if w.until > s.Clock {
		s.Holder = w.holder
	}
	return s
}

// lease handles a lease request. It returns whether the lease was granted, and whether it was refused because another
// host holds the worker.
func (w *fakeWorker) lease(now time.Time, r fleet.LeaseRequest) (ok, held bool) {
	c := w.clock(now)
	if r.Boot != w.bootID() || r.Until <= c {
		return false, false
	}
	if w.holder != r.Holder {
		if w.until > c {
			return false, true
		}
		w.holder, w.until = r.Holder, 0
		w.grant++
	}
	w.until, w.taskLeaseEnd = max(w.until, r.Until), max(w.taskLeaseEnd, r.TaskLeasesUntil)
	return true, false
}

// accepts reports whether the worker accepts a message with the fence.
func (w *fakeWorker) accepts(now time.Time, f fleet.Fence) bool {
	return f.Boot == w.bootID() && f.Grant == w.grant && w.clock(now) <= f.Before
}

// event is what happens in the simulation at a later time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// simulatedHost is an entry host with a clock of its own.
type simulatedHost struct {
	*Manager
	id string
	// clockRate and clockOffset make the clocks of two hosts differ in rate and time.
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Time
	dead        bool
	// logRead is the number of log records that the host has read.
	logRead int
	// fencesBeforePause are the fences that the host had when its pause began.
	fencesBeforePause map[string]fleet.Fence
	// lastApplied is the highest worker clock that was passed on, by boot.
	lastApplied map[string]time.Duration
}

// localTime returns the host's clock at a time of the simulation.
func (h *simulatedHost) localTime(now time.Time) time.Time {
	return epoch.Add(h.clockOffset + time.Duration(float64(now.Sub(epoch))*h.clockRate))
}

// simulation has hosts and workers, the network between them and the zone's stream of hold records.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	hosts   []*simulatedHost
	workers map[string]*fakeWorker
	events  []event
	log     []HoldMsg
	// linkCutUntil and repliesLostUntil are keyed by the joined IDs of host and worker.
	linkCutUntil     map[string]time.Time
	repliesLostUntil map[string]time.Time
	logDownUntil     time.Time
	// reliable is set if no message is lost, duplicated or late by chance. Cut links and lost replies still apply.
	reliable bool
	// expiredCount is the number of checks that found the task leases of a worker expired.
	expiredCount int
	// violation describes the first status that was wrongly passed on, for example after a newer one.
	violation string
}

// newSimulation returns a simulation in which all hosts know all workers and each other.
func newSimulation(seed uint64, hosts, workers int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, workers: map[string]*fakeWorker{},
		linkCutUntil: map[string]time.Time{}, repliesLostUntil: map[string]time.Time{},
	}
	list := make([]Worker, 0, workers)
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		// The workers booted before the test, so that the first hold does not find clock 0.
		sim.workers[id] = &fakeWorker{id: id, clockRate: 0.95 + 0.1*sim.rng.Float64(), bootedAt: epoch.Add(-time.Hour)}
		list = append(list, Worker{ID: id})
	}
	for i := range hosts {
		id := fmt.Sprintf("h%d", i)
		h := &simulatedHost{
			Manager: New(id), id: id, fencesBeforePause: map[string]fleet.Fence{}, lastApplied: map[string]time.Duration{},
		}
		// The clock rates of worker and host differ by up to 8.5 %, less than the margin of 10 %.
		h.clockRate, h.clockOffset = 0.97+0.06*sim.rng.Float64(), time.Duration(sim.rng.Int64N(int64(24*time.Hour)))
		h.Update(h.localTime(sim.now), WorkersMsg{Workers: list})
		sim.hosts = append(sim.hosts, h)
	}
	sim.updatePeers()
	return sim
}

// updatePeers tells each host which hosts are live.
func (sim *simulation) updatePeers() {
	var live []string
	for _, h := range sim.hosts {
		if !h.dead {
			live = append(live, h.id)
		}
	}
	for _, h := range sim.hosts {
		h.Update(h.localTime(sim.now), PeersMsg{Hosts: live})
	}
}

// schedule runs a function after the time d.
func (sim *simulation) schedule(d time.Duration, run func(time.Time)) {
	sim.events = append(sim.events, event{sim.now.Add(d), run})
}

// delay returns the one-way time of a message, with a long tail unless the network is reliable.
func (sim *simulation) delay() time.Duration {
	if sim.reliable || sim.rng.IntN(10) > 0 {
		return time.Duration(sim.rng.IntN(20)) * time.Millisecond
	}
	return time.Duration(sim.rng.IntN(4000)) * time.Millisecond
}

// isLost reports whether a message between the host and the worker is lost.
func (sim *simulation) isLost(h *simulatedHost, id string) bool {
	return h.dead || sim.now.Before(sim.linkCutUntil[h.id+id]) || !sim.reliable && sim.rng.IntN(12) == 0
}

// deliver applies a message at the host, after the end of its pause if it is paused.
func (sim *simulation) deliver(h *simulatedHost, msg func(now time.Time) Msg) {
	if h.dead {
		return
	}
	if sim.now.Before(h.pausedUntil) {
		sim.events = append(sim.events, event{h.pausedUntil, func(time.Time) { sim.deliver(h, msg) }})
		return
	}
	sim.execute(h, h.Update(h.localTime(sim.now), msg(h.localTime(sim.now))))
}

// execute carries out the commands of a host and checks the statuses that it passes on.
func (sim *simulation) execute(h *simulatedHost, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case StatusCmd:
			sim.send(h, c.Worker, 0, true, func(fw *fakeWorker, now time.Time) (bool, bool) { return true, false })
		case LeaseCmd:
			sim.send(h, c.Worker, c.Request.Seen, false, func(fw *fakeWorker, now time.Time) (bool, bool) {
				return fw.lease(now, c.Request)
			})
		case ReleaseCmd:
			sim.schedule(sim.delay(), func(now time.Time) {
				fw := sim.workers[c.Worker]
				if sim.isLost(h, c.Worker) || fw.holder != h.id {
					return
				}
				fw.until = 0
				sim.schedule(sim.delay(), func(time.Time) {
					sim.deliver(h, func(time.Time) Msg { return ReleasedMsg{c.Worker} })
				})
			})
		case ApplyStatusCmd:
			if last, ok := h.lastApplied[c.Status.Boot]; ok && c.Status.Clock < last && sim.violation == "" {
				sim.violation = fmt.Sprintf("%s passes on clock %s of %s after %s", h.id, c.Status.Clock, c.Status.Boot, last)
			}
			if c.Status.Change == withoutTasksChange && sim.violation == "" {
				sim.violation = fmt.Sprintf("%s passes on a status without tasks", h.id)
			}
			if _, ok := h.lastApplied[c.Status.Boot]; !ok && !c.Full {
				sim.violation = fmt.Sprintf("%s passes on a list of changes as the first of %s", h.id, c.Status.Boot)
			}
			h.lastApplied[c.Status.Boot] = c.Status.Clock
		case RecordHoldCmd:
			sim.schedule(sim.delay(), func(now time.Time) {
				if !now.Before(sim.logDownUntil) {
					sim.log = append(sim.log, HoldMsg{c.Worker, h.id, c.Boot, c.Grant, uint64(len(sim.log) + 1)})
				}
			})
		}
	}
}

// send delivers a message to the worker, possibly twice, and its reply to the host. The message fails after 1 s without
// a reply.
func (sim *simulation) send(
	h *simulatedHost, id string, seen uint64, withoutTasks bool, act func(*fakeWorker, time.Time) (bool, bool),
) {
	sent, answered := h.localTime(sim.now), false
	sim.schedule(time.Second, func(time.Time) {
		if !answered {
			sim.deliver(h, func(time.Time) Msg { return FailedMsg{Worker: id} })
		}
	})
	copies := 1
	if !sim.reliable && sim.rng.IntN(15) == 0 {
		copies = 2
	}
	for range copies {
		if sim.isLost(h, id) {
			continue
		}
		sim.schedule(sim.delay(), func(now time.Time) {
			ok, held := act(sim.workers[id], now)
			s := sim.workers[id].status(now)
			if withoutTasks {
				s.Change = withoutTasksChange
			}
			if sim.isLost(h, id) || now.Before(sim.repliesLostUntil[h.id+id]) {
				return
			}
			sim.schedule(sim.delay(), func(time.Time) {
				sim.deliver(h, func(now time.Time) Msg {
					answered = true
					switch {
					case ok:
						return StatusMsg{Status: s, Sent: sent, Received: now, Seen: seen, WithoutTasks: withoutTasks}
					case held:
						return RefusedMsg{Status: sim.refusalStatus(s), Sent: sent, Received: now}
					}
					return FailedMsg{Worker: id, Refused: true}
				})
			})
		})
	}
}

// advance moves the time by one step, runs the events that are due and ticks the hosts.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(simulationStep)
	for i := 0; i < len(sim.events); i++ {
		if e := sim.events[i]; !e.at.After(sim.now) {
			sim.events = append(sim.events[:i], sim.events[i+1:]...)
			i--
			e.run(sim.now)
		}
	}
	for _, h := range sim.hosts {
		if h.dead || sim.now.Before(h.pausedUntil) {
			continue
		}
		for h.logRead < len(sim.log) && !sim.now.Before(sim.logDownUntil) && sim.rng.IntN(4) > 0 {
			h.Update(h.localTime(sim.now), sim.log[h.logRead])
			h.logRead++
		}
		sim.execute(h, h.Update(h.localTime(sim.now), TickMsg{}))
	}
}

// injectFault cuts links, loses replies, changes a host's view of its peers, pauses hosts, restarts workers and stops
// the log now and then.
func (sim *simulation) injectFault() {
	pick := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	id := fmt.Sprintf("w%d", sim.rng.IntN(len(sim.workers)))
	span := time.Duration(sim.rng.IntN(60_000)) * time.Millisecond
	switch sim.rng.IntN(400) {
	case 0, 1:
		sim.linkCutUntil[pick.id+id] = sim.now.Add(span)
	case 2, 8, 9:
		// Requests arrive, but replies do not.
		sim.repliesLostUntil[pick.id+id] = sim.now.Add(span)
	case 10, 11:
		views := [][]string{{"h0"}, {"h1"}, {"h0", "h1"}, {"h0", "h2"}, {"h0", "h1", "h2"}, {"h0", "h1", "h2"}}
		pick.Update(pick.localTime(sim.now), PeersMsg{Hosts: views[sim.rng.IntN(len(views))]})
	case 3:
		for _, h := range sim.hosts {
			sim.linkCutUntil[h.id+id] = sim.now.Add(span)
		}
	case 4, 5:
		for id := range sim.workers {
			if f, ok := pick.Fence(id, pick.localTime(sim.now)); ok {
				pick.fencesBeforePause[id] = f
			}
		}
		pick.pausedUntil = sim.now.Add(span / 4)
	case 6:
		fw := sim.workers[id]
		*fw = fakeWorker{id: id, clockRate: fw.clockRate, boot: fw.boot + 1, bootedAt: sim.now}
	case 7:
		sim.logDownUntil = sim.now.Add(span / 2)
	}
}

// lastHold returns the hold record with the highest grant of the boot.
func (sim *simulation) lastHold(id, boot string) (last HoldMsg) {
	for _, m := range sim.log {
		if m.Worker == id && m.Boot == boot && m.Grant >= last.Grant {
			last = m
		}
	}
	return last
}

// check fails the test if a host relies on a worker that it does not hold, if a worker accepts an outdated fence or
// those of two hosts, or if a host takes a task lease for expired too early.
func (sim *simulation) check(t *rapid.T) {
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	for id, fw := range sim.workers {
		var accepted []string
		for _, h := range sim.hosts {
			if h.dead || sim.now.Before(h.pausedUntil) {
				continue
			}
			if f, ok := h.Fence(id, h.localTime(sim.now)); ok && f.Boot == fw.bootID() {
				if fw.holder != h.id || fw.until <= fw.clock(sim.now) {
					t.Fatalf("%s relies on %s, whose holder is %s", h.id, id, fw.holder)
				}
				if f.Before > fw.clock(sim.now)+startValidity*3/2 {
					t.Fatalf("Fence.Before of %s is %s past the clock of %s", h.id, f.Before-fw.clock(sim.now), id)
				}
				if fw.accepts(sim.now, f) {
					accepted = append(accepted, h.id)
				}
			}
			if f, ok := h.fencesBeforePause[id]; ok && fw.accepts(sim.now, f) && fw.holder != h.id {
				t.Fatalf("%s accepts a fence that %s had before its pause", id, h.id)
			}
			if h.TaskLeasesExpired(id, h.localTime(sim.now)) && sim.lastHold(id, fw.bootID()).Host == h.id {
				sim.expiredCount++
				if fw.taskLeaseEnd > fw.clock(sim.now) {
					t.Fatalf("%s takes the task lease of %s for expired %s before its end",
						h.id, id, fw.taskLeaseEnd-fw.clock(sim.now))
				}
			}
		}
		if len(accepted) > 1 {
			t.Fatalf("%s accepts starts of several hosts: %v", id, accepted)
		}
	}
}

// unheldWorkers returns the IDs of the workers that no live host holds.
func (sim *simulation) unheldWorkers() (ids []string) {
	for id := range sim.workers {
		n := 0
		for _, h := range sim.hosts {
			if _, ok := h.Fence(id, h.localTime(sim.now)); ok && !h.dead {
				n++
			}
		}
		if n == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestOneHolderUnderFaults guards against two hosts relying on one worker, and against evicting tasks that still run.
func TestOneHolderUnderFaults(t *testing.T) {
	t.Parallel()
	expired := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 3)
		for range 3600 {
			sim.injectFault()
			sim.advance()
			sim.check(t)
		}
		expired += sim.expiredCount
	})
	if expired == 0 {
		t.Fatal("no task lease expired in any run, so nothing was checked")
	}
}

// TestLostHostsWorkersAreTakenOver guards against workers that stay without a holder at the start or after the loss of
// a host.
func TestLostHostsWorkersAreTakenOver(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, 24)
		sim.reliable = true
		run := func(d time.Duration) {
			for end := sim.now.Add(d); sim.now.Before(end); {
				sim.advance()
				sim.check(t)
			}
			if ids := sim.unheldWorkers(); len(ids) > 0 {
				t.Fatalf("workers without a holder after %s: %v", d, ids)
			}
		}
		run(2 * time.Second)
		sim.hosts[0].dead = true
		sim.schedule(time.Second, func(time.Time) { sim.updatePeers() })
		run(6*time.Second + 2*time.Second)
	})
}

// TestStoppingHostReleasesWorkers guards against a planned stop that keeps workers until their leases expire.
func TestStoppingHostReleasesWorkers(t *testing.T) {
	sim := newSimulation(3, 2, 12)
	sim.reliable = true
	for range 60 {
		sim.advance()
	}
	h := sim.hosts[0]
	if len(h.HeldWorkers(h.localTime(sim.now))) == 0 {
		t.Fatal("the host holds no workers before the stop")
	}
	sim.execute(h, h.Update(h.localTime(sim.now), StopMsg{}))
	for range 10 {
		sim.advance()
	}
	for id, fw := range sim.workers {
		if fw.holder == h.id && fw.until > fw.clock(sim.now) {
			t.Fatalf("%s is still leased to the stopping host", id)
		}
	}
}

// TestHandoverToJoiningHost guards against more than four workers changing holder at once, and against a joining host
// that gets no workers.
func TestHandoverToJoiningHost(t *testing.T) {
	sim := newSimulation(5, 2, 40)
	sim.reliable = true
	sim.hosts[1].dead = true
	sim.updatePeers()
	for range 100 {
		sim.advance()
	}
	sim.hosts[1].dead = false
	sim.updatePeers()
	for range 1000 {
		sim.advance()
		if n := len(sim.unheldWorkers()); n > maxHandovers {
			t.Fatalf("%d workers have no holder during the handover", n)
		}
	}
	if a, b := len(sim.hosts[0].HeldWorkers(sim.hosts[0].localTime(sim.now))),
		len(sim.hosts[1].HeldWorkers(sim.hosts[1].localTime(sim.now))); a+b != 40 || b < 10 {
		t.Fatalf("after the handover the hosts hold %d and %d workers, want 40 in all, at least 10 at the second", a, b)
	}
}

// TestHandoverKeepsWorkers guards against hosts that start one after the other and then release all workers to their
// preferred holders at once, so that for a moment no host holds one.
func TestHandoverKeepsWorkers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		hosts, workers := rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "workers")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, workers)
		sim.reliable = true
		for _, h := range sim.hosts {
			h.Update(h.localTime(sim.now), PeersMsg{Hosts: []string{h.id}})
			h.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * time.Millisecond)
		}
		for range 50 {
			sim.advance()
		}
		sim.updatePeers()
		for range 400 {
			sim.advance()
			if len(sim.unheldWorkers()) == workers {
				t.Fatalf("no host holds a worker after %s", sim.now.Sub(epoch))
			}
		}
		for _, h := range sim.hosts {
			n := 0
			for _, id := range h.HeldWorkers(h.localTime(sim.now)) {
				n += min(h.workers[id].rank, 1)
			}
			if n > 1 {
				t.Fatalf("%s still holds %d workers that prefer another host", h.id, n)
			}
		}
	})
}

// TestStaleViewStopsTaskLeaseRenewal guards against renewing task leases while the host's view is stale.
func TestStaleViewStopsTaskLeaseRenewal(t *testing.T) {
	sim := newSimulation(9, 1, 1)
	sim.reliable = true
	for range 100 {
		sim.advance()
	}
	if !sim.hosts[0].AcceptsBatch("w0", sim.hosts[0].localTime(sim.now)) {
		t.Fatal("task leases are not renewed while the view is fresh")
	}
	sim.hosts[0].Update(sim.hosts[0].localTime(sim.now), StaleMsg{Stale: true})
	sim.advance()
	end := sim.workers["w0"].taskLeaseEnd
	for range 200 {
		sim.advance()
	}
	if got := sim.workers["w0"].taskLeaseEnd; got != end {
		t.Fatalf("the end of the task lease moved from %s to %s while the view was stale", end, got)
	}
	if _, ok := sim.hosts[0].Fence("w0", sim.hosts[0].localTime(sim.now)); !ok {
		t.Fatal("the lease of the worker is not renewed while the view is stale")
	}
}

// TestFallbackHolder guards against workers left without a holder because their preferred holder cannot reach them.
func TestFallbackHolder(t *testing.T) {
	sim := newSimulation(11, 2, 12)
	sim.reliable = true
	for id := range sim.workers {
		sim.linkCutUntil["h0"+id] = epoch.Add(time.Hour)
	}
	for range 400 {
		sim.advance()
	}
	if ids := sim.unheldWorkers(); len(ids) > 0 {
		t.Fatalf("workers without a holder after 20 s: %v", ids)
	}
}
