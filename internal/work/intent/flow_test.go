package intent

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

var errTimeout = errors.New("timed out")

// fakeWorker obeys Boot and LatestStart of an intent, and starts an attempt at most once per boot.
type fakeWorker struct {
	name  string
	boot  byte
	clock time.Duration
	calls map[int]*fleet.CallStatus
}

func (w *fakeWorker) bootID() string { return w.name + string('a'+rune(w.boot)) }

// simulation simulates several hosts, a log and workers, whose events happen in any order.
type simulation struct {
	t       *rapid.T
	key     string
	now     time.Time
	log     []record.Item
	workers []*fakeWorker
	hosts   []*fakeHost
	// events are messages in flight. Any of them may arrive next, or never.
	events []func()
	// executed holds the digests of the requests that workers executed, in order.
	executed []uint64
	replies  []reply
}

type reply struct {
	digest uint64
	ReplyCmd
}

type fakeHost struct {
	table *Table
	// nextRecord is the index in the log of the next record to apply.
	nextRecord int
	// waiting holds the flows that wait for the read-back of the record at an index of the log.
	waiting map[int]*request
}

type request struct {
	*Flow
	sim  *simulation
	host *fakeHost
}

func (sim *simulation) oneIn(n int, label string) bool {
	return rapid.IntRange(1, n).Draw(sim.t, label) == 1
}

func (sim *simulation) schedule(f func()) { sim.events = append(sim.events, f) }

func (r *request) deliver(msg Msg) {
	status := r.host.table.LookUp(r.sim.key)
	if status.State == StateAnswered && r.sim.oneIn(6, "dropped") {
		status.Answer.Body, status.BodyDropped = nil, true
	}
	for _, cmd := range r.Update(r.sim.now, status, msg) {
		r.execute(cmd)
	}
}

func (r *request) execute(cmd Command) {
	sim := r.sim
	switch c := cmd.(type) {
	case ReserveSlotCmd:
		if sim.oneIn(4, "no worker") {
			sim.schedule(func() { r.deliver(NoWorkerMsg{Reason: "full"}) })
			return
		}
		wk := rapid.SampledFrom(sim.workers).Draw(sim.t, "worker")
		m := SlotReservedMsg{
			Worker: wk.name, Boot: wk.bootID(),
			LatestStart: wk.clock + time.Duration(rapid.IntRange(1, 6).Draw(sim.t, "latest start")),
		}
		sim.schedule(func() { r.deliver(m) })
	case WriteIntentCmd:
		r.write(must(Item(c.Intent)))
	case WriteAnswerCmd:
		r.write(must(AnswerItem(c.Answer)))
	case WriteCloseCmd:
		r.write(must(CloseItem(c.Close)))
	case SendCallCmd:
		sim.schedule(func() { r.send(c.Intent) })
	case LookUpCallCmd:
		sim.schedule(func() {
			m := sim.lookUp(c.Intent)
			sim.schedule(func() { r.deliver(m) })
		})
	case ReplyCmd:
		sim.replies = append(sim.replies, reply{digest: r.req.Digest, ReplyCmd: c})
	}
}

// write schedules the append of a record. The writer may give up waiting for a record that still takes effect.
func (r *request) write(item record.Item) {
	r.sim.schedule(func() {
		r.sim.log = append(r.sim.log, item)
		r.host.waiting[len(r.sim.log)-1] = r
	})
	if r.sim.oneIn(8, "give up") {
		r.sim.schedule(func() { r.deliver(LogUnreachableMsg{}) })
	}
}

func (sim *simulation) worker(name string) *fakeWorker {
	for _, wk := range sim.workers {
		if wk.name == name {
			return wk
		}
	}
	return nil
}

// send delivers a call to the worker. Its reply may be lost, and so may a refusal.
func (r *request) send(i Intent) {
	sim, wk := r.sim, r.sim.worker(i.Worker)
	lost := sim.oneIn(3, "reply lost")
	var m SentMsg
	if wk.bootID() != i.Boot || wk.clock > i.LatestStart || wk.calls[i.Attempt] != nil || sim.oneIn(4, "refuse") {
		m.Err = fleet.ErrRefused
	} else {
		sim.executed = append(sim.executed, i.Digest)
		body := []byte{byte(i.Digest), byte(len(sim.executed))}
		st := &fleet.CallStatus{State: fleet.CallRunning}
		wk.calls[i.Attempt] = st
		m.Answer = fleet.Answer{Request: i.Key, Attempt: i.Attempt, Body: body, Digest: xxhash.Sum64(body)}
		boot := wk.boot
		sim.schedule(func() {
			if wk.boot == boot {
				st.State, st.Answer = fleet.CallDone, &m.Answer
			}
			if !lost && wk.boot == boot {
				r.deliver(m)
			}
		})
		if lost {
			sim.schedule(func() { r.deliver(SentMsg{Err: errTimeout}) })
		}
		return
	}
	if lost {
		m.Err = errTimeout
	}
	sim.schedule(func() { r.deliver(m) })
}

func (sim *simulation) lookUp(i Intent) LookedUpMsg {
	if sim.oneIn(5, "look-up lost") {
		return LookedUpMsg{Err: errTimeout}
	}
	wk := sim.worker(i.Worker)
	st := fleet.CallStatus{State: fleet.CallNotStarted}
	if c := wk.calls[i.Attempt]; c != nil {
		st = *c
	}
	st.Boot, st.Clock = wk.bootID(), wk.clock
	return LookedUpMsg{Status: st}
}

// readRecord lets a host apply the next record of the log.
func (sim *simulation) readRecord(h *fakeHost) {
	if h.nextRecord == len(sim.log) {
		return
	}
	n := h.nextRecord
	h.nextRecord++
	err := h.table.Apply(sim.now, uint64(n+1), sim.log[n])
	if r := h.waiting[n]; r != nil {
		r.deliver(WrittenMsg{Err: err})
	}
}

func (sim *simulation) step() {
	switch op := rapid.IntRange(0, 19).Draw(sim.t, "op"); {
	case op < 9 && len(sim.events) > 0:
		i := rapid.IntRange(0, len(sim.events)-1).Draw(sim.t, "event")
		f := sim.events[i]
		sim.events = append(sim.events[:i], sim.events[i+1:]...)
		f()
	case op < 16:
		sim.readRecord(rapid.SampledFrom(sim.hosts).Draw(sim.t, "host"))
	case op < 19:
		sim.now = sim.now.Add(time.Second)
		for _, wk := range sim.workers {
			wk.clock += time.Duration(rapid.IntRange(0, 3).Draw(sim.t, "ticks"))
		}
	case sim.oneIn(4, "restart"):
		wk := rapid.SampledFrom(sim.workers).Draw(sim.t, "worker")
		wk.boot++
		wk.clock, wk.calls = 0, map[int]*fleet.CallStatus{}
	}
}

func (sim *simulation) checkReplies() {
	if len(sim.executed) > 1 {
		sim.t.Fatalf("the request was executed %d times", len(sim.executed))
	}
	for _, r := range sim.replies {
		ran := len(sim.executed) == 1 && sim.executed[0] == r.digest
		if r.Outcome == OutcomeNotRun && ran {
			sim.t.Fatalf("replied not_run (%s) to a request that ran", r.Reason)
		}
		if r.Outcome == OutcomeDone && (!ran || len(r.Answer.Body) == 0 || r.Answer.Body[0] != byte(r.digest)) {
			sim.t.Fatalf("replied done to a request that did not run, or without the answer of the worker")
		}
	}
}

// Guards against a keyed request that runs twice, and a reply not_run to a request that ran or runs later, while
// several hosts handle the key at once, replies of the log get lost, and workers restart, stall and answer late.
func TestRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	seen := map[Outcome]int{}
	retried := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, key: key(epoch, 1), now: epoch}
		for _, name := range []string{"v", "w"} {
			sim.workers = append(sim.workers, &fakeWorker{name: name, calls: map[int]*fleet.CallStatus{}})
		}
		for range 3 {
			sim.hosts = append(sim.hosts, &fakeHost{table: New(), waiting: map[int]*request{}})
		}
		for n := range 4 {
			digest := uint64(1)
			if n == 3 && sim.oneIn(3, "other") {
				digest = 2
			}
			r := &request{sim: sim, host: sim.hosts[n%3], Flow: NewFlow(Request{
				Key: sim.key, Digest: digest, Class: "quote", Zone: "z", Host: "h",
				Deadline: epoch.Add(time.Duration(20+20*n) * time.Second), PollInterval: time.Second,
				SlotWait: time.Duration(n%2) * 10 * time.Second,
			})}
			sim.schedule(func() { r.deliver(StartMsg{}) })
			for range 6 {
				sim.schedule(func() { r.deliver(TickMsg{}) })
			}
		}
		for range 250 {
			sim.step()
			sim.checkReplies()
		}
		for _, r := range sim.replies {
			seen[r.Outcome]++
		}
		if sim.hosts[0].table.LookUp(sim.key).Intent.Attempt > 1 {
			retried++
		}
	})
	if seen[OutcomeDone] == 0 || seen[OutcomeNotRun] == 0 || seen[OutcomeUnknown] == 0 || retried == 0 {
		t.Fatalf("the simulated runs do not cover all outcomes and a retry: replies %v, %d runs with a retry",
			seen, retried)
	}
	t.Logf("replies %v, %d runs with a retry", seen, retried)
}

// Guards against a reply not_run, or a second attempt, that the result of a single look-up does not justify.
func TestLookUpResult(t *testing.T) {
	claimed := callIntent(key(epoch, 1), 1, 0)
	keyStatus := KeyStatus{State: StateClaimed, Intent: claimed, Offset: 7}
	for name, c := range map[string]struct {
		callStatus fleet.CallStatus
		want       Command
	}{
		"running": {
			fleet.CallStatus{Boot: "b", State: fleet.CallRunning},
			LookUpCallCmd{Intent: claimed, At: epoch.Add(time.Second)},
		},
		"too soon": {
			fleet.CallStatus{Boot: "b", State: fleet.CallNotStarted, Clock: time.Second},
			LookUpCallCmd{Intent: claimed, At: epoch.Add(time.Second)},
		},
		"too late to start": {
			fleet.CallStatus{Boot: "b", State: fleet.CallNotStarted, Clock: time.Second + 1},
			ReserveSlotCmd{AvoidWorker: "w"},
		},
		"new boot": {
			fleet.CallStatus{Boot: "c", State: fleet.CallNotStarted, Clock: time.Hour},
			ReplyCmd{Outcome: OutcomeUnknown, Reason: "worker restarted"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFlow(Request{Key: claimed.Key, Digest: 1, Deadline: epoch.Add(time.Minute), PollInterval: time.Second})
			_ = f.Update(epoch, keyStatus, StartMsg{})
			got := f.Update(epoch, keyStatus, LookedUpMsg{Status: c.callStatus})
			if len(got) != 1 || !equal(got[0], c.want) {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestKeyAheadOfOneHost guards against a reply not_run by a host whose clock is behind, to a request that a host whose
// clock is ahead runs.
func TestKeyAheadOfOneHost(t *testing.T) {
	now := epoch.Add(-MaxKeyAhead)
	update := func(now time.Time, key string) Command {
		return NewFlow(Request{Key: key, Digest: 1, Deadline: now.Add(time.Minute)}).Update(now, KeyStatus{}, StartMsg{})[0]
	}
	if c, ok := update(now, key(epoch, 1)).(ReserveSlotCmd); !ok {
		t.Fatalf("got %+v, want a host that runs the request", c)
	}
	if r, ok := update(now.Add(-time.Minute), key(epoch, 1)).(ReplyCmd); !ok || r.Outcome != OutcomeUnknown {
		t.Errorf("a host whose clock is 1 min behind replies %+v, want the outcome unknown", r)
	}
	if r, ok := update(now, "no UUID").(ReplyCmd); !ok || r.Outcome != OutcomeNotRun {
		t.Errorf("reply to a malformed key is %+v, want not_run", r)
	}
}

// Guards against a key that is closed although a slot becomes free within moments, and against one that waits for long.
func TestRequestWaitsForSlot(t *testing.T) {
	f := NewFlow(Request{
		Key: key(epoch, 1), Digest: 1, Deadline: epoch.Add(time.Minute), PollInterval: time.Second, SlotWait: 2 * time.Second,
	})
	for _, step := range []struct {
		at   time.Duration
		msg  Msg
		want Command
	}{
		{0, StartMsg{}, ReserveSlotCmd{}},
		{0, NoWorkerMsg{Reason: "no_worker"}, nil},
		{time.Second, TickMsg{}, ReserveSlotCmd{}},
		{time.Second, NoWorkerMsg{Reason: "no_worker"}, nil},
		{2 * time.Second, TickMsg{}, ReserveSlotCmd{}},
		{2 * time.Second, NoWorkerMsg{Reason: "no_worker"}, WriteCloseCmd{Close{Key: key(epoch, 1), Reason: "no_worker"}}},
	} {
		got := f.Update(epoch.Add(step.at), KeyStatus{}, step.msg)
		switch {
		case step.want == nil && len(got) == 0:
		case step.want == nil || len(got) != 1 || !equal(got[0], step.want):
			t.Fatalf("%v, %T: got %+v, want %+v", step.at, step.msg, got, step.want)
		}
	}
}

// Guards against the result of a look-up of an earlier attempt that is used for the present attempt.
func TestLookUpOfEarlierAttempt(t *testing.T) {
	first, second := callIntent(key(epoch, 1), 1, 0), callIntent(key(epoch, 1), 2, 7)
	second.Worker = "v"
	f := NewFlow(Request{Key: first.Key, Digest: 1, Deadline: epoch.Add(time.Minute), PollInterval: time.Second})
	_ = f.Update(epoch, KeyStatus{State: StateClaimed, Intent: first, Offset: 7}, StartMsg{})
	keyStatus := KeyStatus{State: StateClaimed, Intent: second, Offset: 9}
	got := f.Update(epoch, keyStatus, LookedUpMsg{
		Status: fleet.CallStatus{Boot: "c", State: fleet.CallNotStarted, Clock: time.Hour},
	})
	if len(got) != 1 || !equal(got[0], LookUpCallCmd{Intent: second, At: epoch}) {
		t.Fatalf("got %+v, want a look-up of attempt 2", got)
	}
}

func equal(a, b Command) bool {
	ra, ok := a.(ReplyCmd)
	if rb, okB := b.(ReplyCmd); ok && okB {
		return ra.Outcome == rb.Outcome && ra.Reason == rb.Reason
	}
	return !ok && a == b
}
