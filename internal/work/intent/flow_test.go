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
	Reply
}

type fakeHost struct {
	table *Table
	next  int
	// waiting holds the flows that wait for the read-back of the record at an index of the log.
	waiting map[int]*request
}

type request struct {
	*Flow
	w    *simulation
	host *fakeHost
}

func (w *simulation) oneIn(n int, label string) bool {
	return rapid.IntRange(1, n).Draw(w.t, label) == 1
}

func (w *simulation) schedule(f func()) { w.events = append(w.events, f) }

func (r *request) deliver(msg Msg) {
	out := r.host.table.LookUp(r.w.key)
	if out.State == StateAnswered && r.w.oneIn(6, "dropped") {
		out.Answer.Body, out.Dropped = nil, true
	}
	for _, cmd := range r.Decide(r.w.now, out, msg) {
		r.execute(cmd)
	}
}

func (r *request) execute(cmd Command) {
	w := r.w
	switch c := cmd.(type) {
	case ReserveSlot:
		if w.oneIn(4, "no worker") {
			w.schedule(func() { r.deliver(NoWorkerMsg{Reason: "full"}) })
			return
		}
		wk := rapid.SampledFrom(w.workers).Draw(w.t, "worker")
		m := SlotReservedMsg{
			Worker: wk.name, Boot: wk.bootID(),
			LatestStart: wk.clock + time.Duration(rapid.IntRange(1, 6).Draw(w.t, "before")),
		}
		w.schedule(func() { r.deliver(m) })
	case WriteIntent:
		r.write(must(Item(c.Intent)))
	case WriteAnswer:
		r.write(must(AnswerItem(c.Answer)))
	case WriteClose:
		r.write(must(CloseItem(c.Close)))
	case SendCall:
		w.schedule(func() { r.send(c.Intent) })
	case LookUpCall:
		w.schedule(func() {
			m := w.lookUp(c.Intent)
			w.schedule(func() { r.deliver(m) })
		})
	case Reply:
		w.replies = append(w.replies, reply{digest: r.req.Digest, Reply: c})
	}
}

// write appends a record at some time. The writer may give up waiting for a record that still takes effect.
func (r *request) write(item record.Item) {
	r.w.schedule(func() {
		r.w.log = append(r.w.log, item)
		r.host.waiting[len(r.w.log)-1] = r
	})
	if r.w.oneIn(8, "give up") {
		r.w.schedule(func() { r.deliver(LogUnreachableMsg{}) })
	}
}

func (w *simulation) find(name string) *fakeWorker {
	for _, wk := range w.workers {
		if wk.name == name {
			return wk
		}
	}
	return nil
}

// send delivers a call to the worker. Its reply may be lost, and so may a refusal.
func (r *request) send(i Intent) {
	w, wk := r.w, r.w.find(i.Worker)
	lost := w.oneIn(3, "reply lost")
	var m SentMsg
	if wk.bootID() != i.Boot || wk.clock > i.LatestStart || wk.calls[i.Attempt] != nil || w.oneIn(4, "refuse") {
		m.Err = fleet.ErrRefused
	} else {
		w.executed = append(w.executed, i.Digest)
		body := []byte{byte(i.Digest), byte(len(w.executed))}
		st := &fleet.CallStatus{State: fleet.CallRunning}
		wk.calls[i.Attempt] = st
		m.Answer = fleet.Answer{Request: i.Key, Attempt: i.Attempt, Body: body, Digest: xxhash.Sum64(body)}
		boot := wk.boot
		w.schedule(func() {
			if wk.boot == boot {
				st.State, st.Answer = fleet.CallDone, &m.Answer
			}
			if !lost && wk.boot == boot {
				r.deliver(m)
			}
		})
		if lost {
			w.schedule(func() { r.deliver(SentMsg{Err: errTimeout}) })
		}
		return
	}
	if lost {
		m.Err = errTimeout
	}
	w.schedule(func() { r.deliver(m) })
}

func (w *simulation) lookUp(i Intent) LookedUpMsg {
	if w.oneIn(5, "look-up lost") {
		return LookedUpMsg{Err: errTimeout}
	}
	wk := w.find(i.Worker)
	st := fleet.CallStatus{State: fleet.CallNotStarted}
	if c := wk.calls[i.Attempt]; c != nil {
		st = *c
	}
	st.Boot, st.Clock = wk.bootID(), wk.clock
	return LookedUpMsg{Status: st}
}

// readRecord lets a host apply the next record of the log.
func (w *simulation) readRecord(h *fakeHost) {
	if h.next == len(w.log) {
		return
	}
	n := h.next
	h.next++
	err := h.table.Apply(w.now, uint64(n+1), w.log[n])
	if r := h.waiting[n]; r != nil {
		r.deliver(WrittenMsg{Err: err})
	}
}

func (w *simulation) step() {
	switch op := rapid.IntRange(0, 19).Draw(w.t, "op"); {
	case op < 9 && len(w.events) > 0:
		i := rapid.IntRange(0, len(w.events)-1).Draw(w.t, "event")
		f := w.events[i]
		w.events = append(w.events[:i], w.events[i+1:]...)
		f()
	case op < 16:
		w.readRecord(rapid.SampledFrom(w.hosts).Draw(w.t, "host"))
	case op < 19:
		w.now = w.now.Add(time.Second)
		for _, wk := range w.workers {
			wk.clock += time.Duration(rapid.IntRange(0, 3).Draw(w.t, "ticks"))
		}
	case w.oneIn(4, "restart"):
		wk := rapid.SampledFrom(w.workers).Draw(w.t, "worker")
		wk.boot++
		wk.clock, wk.calls = 0, map[int]*fleet.CallStatus{}
	}
}

func (w *simulation) checkReplies() {
	if len(w.executed) > 1 {
		w.t.Fatalf("the request was executed %d times", len(w.executed))
	}
	for _, r := range w.replies {
		ran := len(w.executed) == 1 && w.executed[0] == r.digest
		if r.Result == ResultNotRun && ran {
			w.t.Fatalf("replied not_run (%s) to a request that ran", r.Reason)
		}
		if r.Result == ResultDone && (!ran || len(r.Answer.Body) == 0 || r.Answer.Body[0] != byte(r.digest)) {
			w.t.Fatalf("replied done to a request that did not run, or without its answer")
		}
	}
}

// Guards against a keyed request that runs twice, and a reply not_run to a request that ran or runs later, while
// several hosts handle the key at once, replies of the log get lost, and workers restart, stall and answer late.
func TestRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	seen := map[Result]int{}
	retried := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, key: key(epoch, 1), now: epoch}
		for _, name := range []string{"v", "w"} {
			w.workers = append(w.workers, &fakeWorker{name: name, calls: map[int]*fleet.CallStatus{}})
		}
		for range 3 {
			w.hosts = append(w.hosts, &fakeHost{table: New(), waiting: map[int]*request{}})
		}
		for n := range 4 {
			digest := uint64(1)
			if n == 3 && w.oneIn(3, "other") {
				digest = 2
			}
			r := &request{w: w, host: w.hosts[n%3], Flow: NewFlow(Request{
				Key: w.key, Digest: digest, Class: "quote", Zone: "z", Host: "h",
				Deadline: epoch.Add(time.Duration(20+20*n) * time.Second), PollInterval: time.Second,
			})}
			w.schedule(func() { r.deliver(StartMsg{}) })
			for range 6 {
				w.schedule(func() { r.deliver(TickMsg{}) })
			}
		}
		for range 250 {
			w.step()
			w.checkReplies()
		}
		for _, r := range w.replies {
			seen[r.Result]++
		}
		if w.hosts[0].table.LookUp(w.key).Intent.Attempt > 1 {
			retried++
		}
	})
	if seen[ResultDone] == 0 || seen[ResultNotRun] == 0 || seen[ResultUnknown] == 0 || retried == 0 {
		t.Fatalf("the histories do not cover all results: %v, %d retried", seen, retried)
	}
	t.Logf("replies %v, %d retried", seen, retried)
}

// Guards against a reply not_run, or a second attempt, that the result of a single look-up does not justify.
func TestLookUpResult(t *testing.T) {
	other := callIntent(key(epoch, 1), 1, 0)
	out := KeyStatus{State: StateClaimed, Intent: other, Offset: 7}
	for name, c := range map[string]struct {
		status fleet.CallStatus
		want   Command
	}{
		"running": {
			fleet.CallStatus{Boot: "b", State: fleet.CallRunning},
			LookUpCall{Intent: other, At: epoch.Add(time.Second)},
		},
		"too soon": {
			fleet.CallStatus{Boot: "b", State: fleet.CallNotStarted, Clock: time.Second},
			LookUpCall{Intent: other, At: epoch.Add(time.Second)},
		},
		"never": {
			fleet.CallStatus{Boot: "b", State: fleet.CallNotStarted, Clock: time.Second + 1},
			ReserveSlot{AvoidWorker: "w"},
		},
		"new boot": {
			fleet.CallStatus{Boot: "c", State: fleet.CallNotStarted, Clock: time.Hour},
			Reply{Result: ResultUnknown, Reason: "worker restarted"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFlow(Request{Key: other.Key, Digest: 1, Deadline: epoch.Add(time.Minute), PollInterval: time.Second})
			_ = f.Decide(epoch, out, StartMsg{})
			got := f.Decide(epoch, out, LookedUpMsg{Status: c.status})
			if len(got) != 1 || !equal(got[0], c.want) {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against the result of a look-up of an earlier attempt that is used for the present attempt.
func TestLookUpOfEarlierAttempt(t *testing.T) {
	first, second := callIntent(key(epoch, 1), 1, 0), callIntent(key(epoch, 1), 2, 7)
	second.Worker = "v"
	f := NewFlow(Request{Key: first.Key, Digest: 1, Deadline: epoch.Add(time.Minute), PollInterval: time.Second})
	_ = f.Decide(epoch, KeyStatus{State: StateClaimed, Intent: first, Offset: 7}, StartMsg{})
	out := KeyStatus{State: StateClaimed, Intent: second, Offset: 9}
	got := f.Decide(epoch, out, LookedUpMsg{Status: fleet.CallStatus{Boot: "c", State: fleet.CallNotStarted, Clock: time.Hour}})
	if len(got) != 1 || !equal(got[0], LookUpCall{Intent: second, At: epoch}) {
		t.Fatalf("got %+v, want a look-up of attempt 2", got)
	}
}

func equal(a, b Command) bool {
	ra, ok := a.(Reply)
	if rb, okB := b.(Reply); ok && okB {
		return ra.Result == rb.Result && ra.Reason == rb.Reason
	}
	return !ok && a == b
}
