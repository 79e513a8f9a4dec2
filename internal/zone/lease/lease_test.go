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

// TestMain fixes the seed so that each run makes the same checks.
func TestMain(m *testing.M) { seed.Main(m, 7, 40) }

const step = 50 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

// worker is a fake worker with a drifting clock.
type worker struct {
	id           string
	rate         float64
	boot         int
	born         time.Time
	holder       string
	grant        uint64
	until, tasks time.Duration
}

func (w *worker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.born)) * w.rate)
}

func (w *worker) bootID() string { return fmt.Sprintf("%s#%d", w.id, w.boot) }

func (w *worker) status(now time.Time) fleet.Status {
	s := fleet.Status{Worker: w.id, Boot: w.bootID(), Clock: w.clock(now), Grant: w.grant, Until: w.until}
	if w.until > s.Clock {
		s.Holder = w.holder
	}
	return s
}

// lease returns whether the request was granted, and whether it was refused for another holder.
func (w *worker) lease(now time.Time, r fleet.LeaseRequest) (ok, held bool) {
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
	w.until, w.tasks = max(w.until, r.Until), max(w.tasks, r.Tasks)
	return true, false
}

func (w *worker) accepts(now time.Time, f fleet.Fence) bool {
	return f.Boot == w.bootID() && f.Grant == w.grant && w.clock(now) <= f.Before
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

type host struct {
	*Holdings
	id string
	// rate and ahead make the clocks of two hosts differ in rate and time.
	rate   float64
	ahead  time.Duration
	paused time.Time
	dead   bool
	read   int
	// fences are those that the host made before its pause.
	fences map[string]fleet.Fence
	// applied is the highest worker clock that was passed on, by boot.
	applied map[string]time.Duration
}

// at is the host's clock at a time of the world.
func (h *host) at(now time.Time) time.Time {
	return epoch.Add(h.ahead + time.Duration(float64(now.Sub(epoch))*h.rate))
}

type world struct {
	rng     *rand.Rand
	now     time.Time
	hosts   []*host
	workers map[string]*worker
	events  []event
	log     []HoldMsg
	cut     map[string]time.Time
	mute    map[string]time.Time
	logDown time.Time
	calm    bool
	expired int
	// late tells of a status that was passed on after a newer one.
	late string
}

func newWorld(seed uint64, hosts, workers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, workers: map[string]*worker{}, cut: map[string]time.Time{},
		mute: map[string]time.Time{},
	}
	list := make([]Worker, 0, workers)
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		// Workers started before the test, so that the first hold does not find clock 0.
		w.workers[id] = &worker{id: id, rate: 0.95 + 0.1*w.rng.Float64(), born: epoch.Add(-time.Hour)}
		list = append(list, Worker{ID: id})
	}
	for i := range hosts {
		id := fmt.Sprintf("h%d", i)
		h := &host{Holdings: New(id), id: id, fences: map[string]fleet.Fence{}, applied: map[string]time.Duration{}}
		// Rates between worker and host differ by up to 8.5 %, less than the margin of 10 %.
		h.rate, h.ahead = 0.97+0.06*w.rng.Float64(), time.Duration(w.rng.Int64N(int64(24*time.Hour)))
		h.Update(h.at(w.now), HostsMsg{Workers: list})
		w.hosts = append(w.hosts, h)
	}
	w.sync()
	return w
}

func (w *world) sync() {
	var live []string
	for _, h := range w.hosts {
		if !h.dead {
			live = append(live, h.id)
		}
	}
	for _, h := range w.hosts {
		h.Update(h.at(w.now), PeersMsg{Hosts: live})
	}
}

func (w *world) after(d time.Duration, run func(time.Time)) {
	w.events = append(w.events, event{w.now.Add(d), run})
}

// delay is the one-way time of a message, with a long tail unless the network is calm.
func (w *world) delay() time.Duration {
	if w.calm || w.rng.IntN(10) > 0 {
		return time.Duration(w.rng.IntN(20)) * time.Millisecond
	}
	return time.Duration(w.rng.IntN(4000)) * time.Millisecond
}

func (w *world) lost(h *host, id string) bool {
	return h.dead || w.now.Before(w.cut[h.id+id]) || !w.calm && w.rng.IntN(12) == 0
}

func (w *world) deliver(h *host, msg func(now time.Time) Msg) {
	if h.dead {
		return
	}
	if w.now.Before(h.paused) {
		w.events = append(w.events, event{h.paused, func(time.Time) { w.deliver(h, msg) }})
		return
	}
	w.perform(h, h.Update(h.at(w.now), msg(h.at(w.now))))
}

func (w *world) perform(h *host, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case QueryCmd:
			w.send(h, c.Worker, 0, true, func(fw *worker, now time.Time) (bool, bool) { return true, false })
		case LeaseCmd:
			w.send(h, c.Worker, c.Request.Seen, false, func(fw *worker, now time.Time) (bool, bool) { return fw.lease(now, c.Request) })
		case ReleaseCmd:
			w.after(w.delay(), func(now time.Time) {
				fw := w.workers[c.Worker]
				if w.lost(h, c.Worker) || fw.holder != h.id {
					return
				}
				fw.until = 0
				w.after(w.delay(), func(time.Time) {
					w.deliver(h, func(time.Time) Msg { return ReleasedMsg{c.Worker} })
				})
			})
		case ApplyCmd:
			if last, ok := h.applied[c.Status.Boot]; ok && c.Status.Clock < last && w.late == "" {
				w.late = fmt.Sprintf("%s passes on clock %s of %s after %s", h.id, c.Status.Clock, c.Status.Boot, last)
			}
			if c.Status.Change == briefChange && w.late == "" {
				w.late = fmt.Sprintf("%s passes on a status without tasks", h.id)
			}
			if _, ok := h.applied[c.Status.Boot]; !ok && !c.Full {
				w.late = fmt.Sprintf("%s passes on a list of changes as the first of %s", h.id, c.Status.Boot)
			}
			h.applied[c.Status.Boot] = c.Status.Clock
		case HoldCmd:
			w.after(w.delay(), func(now time.Time) {
				if !now.Before(w.logDown) {
					w.log = append(w.log, HoldMsg{c.Worker, h.id, c.Boot, c.Grant, uint64(len(w.log) + 1)})
				}
			})
		}
	}
}

func (w *world) send(h *host, id string, seen uint64, brief bool, act func(*worker, time.Time) (bool, bool)) {
	sent, answered := h.at(w.now), false
	w.after(time.Second, func(time.Time) {
		if !answered {
			w.deliver(h, func(time.Time) Msg { return FailedMsg{Worker: id} })
		}
	})
	copies := 1
	if !w.calm && w.rng.IntN(15) == 0 {
		copies = 2
	}
	for range copies {
		if w.lost(h, id) {
			continue
		}
		w.after(w.delay(), func(now time.Time) {
			ok, held := act(w.workers[id], now)
			s := w.workers[id].status(now)
			if brief {
				s.Change = briefChange
			}
			if w.lost(h, id) || now.Before(w.mute[h.id+id]) {
				return
			}
			w.after(w.delay(), func(time.Time) {
				w.deliver(h, func(now time.Time) Msg {
					answered = true
					switch {
					case ok:
						return StatusMsg{Status: s, Sent: sent, Received: now, Seen: seen, Brief: brief}
					case held:
						return RefusedMsg{Status: w.problem(s), Sent: sent, Received: now}
					}
					return FailedMsg{Worker: id, Refused: true}
				})
			})
		})
	}
}

func (w *world) advance() {
	w.now = w.now.Add(step)
	for i := 0; i < len(w.events); i++ {
		if e := w.events[i]; !e.at.After(w.now) {
			w.events = append(w.events[:i], w.events[i+1:]...)
			i--
			e.run(w.now)
		}
	}
	for _, h := range w.hosts {
		if h.dead || w.now.Before(h.paused) {
			continue
		}
		for h.read < len(w.log) && !w.now.Before(w.logDown) && w.rng.IntN(4) > 0 {
			h.Update(h.at(w.now), w.log[h.read])
			h.read++
		}
		w.perform(h, h.Update(h.at(w.now), TickMsg{}))
	}
}

// disturb cuts links, pauses hosts, restarts workers and stops the log now and then.
func (w *world) disturb() {
	pick := w.hosts[w.rng.IntN(len(w.hosts))]
	id := fmt.Sprintf("w%d", w.rng.IntN(len(w.workers)))
	span := time.Duration(w.rng.IntN(60_000)) * time.Millisecond
	switch w.rng.IntN(400) {
	case 0, 1:
		w.cut[pick.id+id] = w.now.Add(span)
	case 2, 8, 9:
		// Requests arrive, but replies do not.
		w.mute[pick.id+id] = w.now.Add(span)
	case 10, 11:
		views := [][]string{{"h0"}, {"h1"}, {"h0", "h1"}, {"h0", "h2"}, {"h0", "h1", "h2"}, {"h0", "h1", "h2"}}
		pick.Update(pick.at(w.now), PeersMsg{Hosts: views[w.rng.IntN(len(views))]})
	case 3:
		for _, h := range w.hosts {
			w.cut[h.id+id] = w.now.Add(span)
		}
	case 4, 5:
		for id := range w.workers {
			if f, ok := pick.Held(id, pick.at(w.now)); ok {
				pick.fences[id] = f
			}
		}
		pick.paused = w.now.Add(span / 4)
	case 6:
		fw := w.workers[id]
		*fw = worker{id: id, rate: fw.rate, boot: fw.boot + 1, born: w.now}
	case 7:
		w.logDown = w.now.Add(span / 2)
	}
}

// lastHold returns the hold record with the highest grant of the boot.
func (w *world) lastHold(id, boot string) (last HoldMsg) {
	for _, m := range w.log {
		if m.Worker == id && m.Boot == boot && m.Grant >= last.Grant {
			last = m
		}
	}
	return last
}

func (w *world) check(t *rapid.T) {
	if w.late != "" {
		t.Fatal(w.late)
	}
	for id, fw := range w.workers {
		var accepted []string
		for _, h := range w.hosts {
			if h.dead || w.now.Before(h.paused) {
				continue
			}
			if f, ok := h.Held(id, h.at(w.now)); ok && f.Boot == fw.bootID() {
				if fw.holder != h.id || fw.until <= fw.clock(w.now) {
					t.Fatalf("%s counts on %s, whose holder is %s", h.id, id, fw.holder)
				}
				if f.Before > fw.clock(w.now)+startWindow*3/2 {
					t.Fatalf("Before of %s is %s past the clock of %s", h.id, f.Before-fw.clock(w.now), id)
				}
				if fw.accepts(w.now, f) {
					accepted = append(accepted, h.id)
				}
			}
			if f, ok := h.fences[id]; ok && fw.accepts(w.now, f) && fw.holder != h.id {
				t.Fatalf("%s accepts a fence that %s made before its pause", id, h.id)
			}
			if h.TaskLeaseExpired(id, h.at(w.now)) && w.lastHold(id, fw.bootID()).Host == h.id {
				w.expired++
				if fw.tasks > fw.clock(w.now) {
					t.Fatalf("%s takes the task lease of %s for expired, %s early", h.id, id, fw.tasks-fw.clock(w.now))
				}
			}
		}
		if len(accepted) > 1 {
			t.Fatalf("%s accepts starts of %v", id, accepted)
		}
	}
}

func (w *world) unheld() (ids []string) {
	for id := range w.workers {
		n := 0
		for _, h := range w.hosts {
			if _, ok := h.Held(id, h.at(w.now)); ok && !h.dead {
				n++
			}
		}
		if n == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestSafety guards against two hosts relying on one worker, and against an eviction of tasks that still run.
func TestSafety(t *testing.T) {
	t.Parallel()
	expired := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 3)
		for range 3600 {
			w.disturb()
			w.advance()
			w.check(t)
		}
		expired += w.expired
	})
	if expired == 0 {
		t.Fatal("no task lease expired in any run, so nothing was checked")
	}
}

// TestTakeOver guards against workers that stay without a holder, at the start and after the loss of a host.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 4, 24)
		w.calm = true
		run := func(d time.Duration) {
			for end := w.now.Add(d); w.now.Before(end); {
				w.advance()
				w.check(t)
			}
			if ids := w.unheld(); len(ids) > 0 {
				t.Fatalf("no holder after %s: %v", d, ids)
			}
		}
		run(2 * time.Second)
		w.hosts[0].dead = true
		w.after(time.Second, func(time.Time) { w.sync() })
		run(6*time.Second + 2*time.Second)
	})
}

// TestLeave guards against a planned stop that keeps workers until their leases expire.
func TestLeave(t *testing.T) {
	w := newWorld(3, 2, 12)
	w.calm = true
	for range 60 {
		w.advance()
	}
	h := w.hosts[0]
	if len(h.Workers(h.at(w.now))) == 0 {
		t.Fatal("nothing held before the stop")
	}
	w.perform(h, h.Update(h.at(w.now), LeaveMsg{}))
	for range 10 {
		w.advance()
	}
	for id, fw := range w.workers {
		if fw.holder == h.id && fw.until > fw.clock(w.now) {
			t.Fatalf("%s is still leased to the leaving host", id)
		}
	}
}

// TestHandover guards against more than four workers changing holder at once, and a joining host that gets none.
func TestHandover(t *testing.T) {
	w := newWorld(5, 2, 40)
	w.calm = true
	w.hosts[1].dead = true
	w.sync()
	for range 100 {
		w.advance()
	}
	w.hosts[1].dead = false
	w.sync()
	for range 1000 {
		w.advance()
		if n := len(w.unheld()); n > maxHandover {
			t.Fatalf("%d workers without a holder during the hand-over", n)
		}
	}
	if a, b := len(w.hosts[0].Workers(w.hosts[0].at(w.now))), len(w.hosts[1].Workers(w.hosts[1].at(w.now))); a+b != 40 || b < 10 {
		t.Fatalf("holders after the hand-over: %d and %d", a, b)
	}
}

// TestStale guards against renewing task leases on a view older than the cut-off bound.
func TestStale(t *testing.T) {
	w := newWorld(9, 1, 1)
	w.calm = true
	for range 100 {
		w.advance()
	}
	if !w.hosts[0].Batch("w0", w.hosts[0].at(w.now)) {
		t.Fatal("task leases are not renewed before the cut-off")
	}
	w.hosts[0].Update(w.hosts[0].at(w.now), StaleMsg{Stale: true})
	w.advance()
	end := w.workers["w0"].tasks
	for range 200 {
		w.advance()
	}
	if got := w.workers["w0"].tasks; got != end {
		t.Fatalf("task lease moved from %s to %s after the cut-off", end, got)
	}
	if _, ok := w.hosts[0].Held("w0", w.hosts[0].at(w.now)); !ok {
		t.Fatal("the worker's own lease must still be renewed")
	}
}

// TestFallback guards against workers left without a holder because their preferred one cannot reach them.
func TestFallback(t *testing.T) {
	w := newWorld(11, 2, 12)
	w.calm = true
	for id := range w.workers {
		w.cut["h0"+id] = epoch.Add(time.Hour)
	}
	for range 400 {
		w.advance()
	}
	if ids := w.unheld(); len(ids) > 0 {
		t.Fatalf("no holder after 20 s: %v", ids)
	}
}
