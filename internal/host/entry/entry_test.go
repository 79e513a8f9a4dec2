package entry

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// memoryLog is a log in memory with the rules of the platform's: conditions, epochs and newest records.
type memoryLog struct {
	mu     sync.Mutex
	parts  map[ledger.Partition][]ledger.Entry
	epochs map[ledger.Partition]int64
	delay  time.Duration
	down   bool
}

func newMemoryLog() *memoryLog {
	return &memoryLog{parts: map[ledger.Partition][]ledger.Entry{}, epochs: map[ledger.Partition]int64{}}
}

// call waits as long as a call takes and fails while the log is down.
func (m *memoryLog) call(ctx context.Context) error {
	m.mu.Lock()
	delay, down := m.delay, m.down
	m.mu.Unlock()
	if !pause(ctx, delay) {
		return ctx.Err()
	}
	if down {
		return errors.Mark(errors.New("down"), ledger.ErrNotDone)
	}
	return nil
}

func (m *memoryLog) Append(ctx context.Context, a ledger.Append) (ledger.Position, error) {
	if err := m.call(ctx); err != nil {
		return ledger.Position{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	end := int64(len(m.parts[a.Partition]))
	switch {
	case a.At != ledger.AnyOffset && a.At != end:
		return ledger.Position{}, ledger.ErrConflict
	case a.Writer != "" && a.Epoch < m.epochs[a.Partition]:
		return ledger.Position{}, ledger.ErrFenced
	case a.Writer != "":
		m.epochs[a.Partition] = a.Epoch
	}
	for i, r := range a.Records {
		m.parts[a.Partition] = append(m.parts[a.Partition], ledger.Entry{Record: r, Offset: end + int64(i)})
	}
	return ledger.Position{Offset: end, End: end + int64(len(a.Records))}, nil
}

func (m *memoryLog) Read(ctx context.Context, p ledger.Partition, from int64, wait time.Duration) (ledger.Page, error) {
	for deadline := time.Now().Add(wait); ; {
		if err := m.call(ctx); err != nil {
			return ledger.Page{}, err
		}
		m.mu.Lock()
		all := m.parts[p]
		m.mu.Unlock()
		if int64(len(all)) > from || time.Now().After(deadline) {
			return ledger.Page{Entries: slices.Clone(all[min(from, int64(len(all))):]), End: int64(len(all))}, nil
		}
		pause(ctx, 5*time.Millisecond)
	}
}

func (m *memoryLog) Newest(ctx context.Context, p ledger.Partition, _ string) (ledger.Newest, error) {
	if err := m.call(ctx); err != nil {
		return ledger.Newest{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := map[string]ledger.Entry{}
	for _, e := range m.parts[p] {
		newest[e.Key] = e
	}
	out := ledger.Newest{End: int64(len(m.parts[p]))}
	for _, e := range newest {
		out.Entries = append(out.Entries, e)
	}
	return out, nil
}

// oneWorker is a directory and the only worker in it. Its tasks are done at once.
type oneWorker struct {
	mu     sync.Mutex
	fence  int64
	ended  []dispatch.EndReport
	serial int64
	starts map[string]int
	begun  time.Time
}

func (o *oneWorker) Workers(context.Context, int64) (WorkerNews, error) {
	return WorkerNews{Whole: true, Listed: []dispatch.Registration{{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Zone: "z", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	}}}, nil
}

func (o *oneWorker) Operations(ctx context.Context, from int64, wait time.Duration) (OperatorNews, error) {
	if from >= 0 {
		pause(ctx, wait)
		return OperatorNews{Next: from}, nil
	}
	return OperatorNews{Whole: true, Manifest: &Manifest{Catalog: dispatch.Catalog{
		Version: 1, Queues: map[string]dispatch.Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}},
	}}}, nil
}

func (o *oneWorker) clock() int64  { return 1000 + time.Since(o.begun).Milliseconds() }
func (o *oneWorker) Forget(string) {}

func (o *oneWorker) Do(_ context.Context, order dispatch.Order) (dispatch.Answer, int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Token < o.fence {
		return dispatch.AnswerFenced, o.clock(), nil
	}
	if order.Kind == dispatch.OrderStart {
		o.starts[order.Task]++
		o.serial++
		o.ended = append(o.ended, dispatch.EndReport{Serial: o.serial, Task: order.Task, Number: order.Run, Reason: dispatch.EndDone})
	}
	return dispatch.AnswerDone, o.clock(), nil
}

func (o *oneWorker) Hold(ctx context.Context, h dispatch.Hold) (dispatch.Report, error) {
	pause(ctx, 10*time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	if h.Token < o.fence {
		return dispatch.Report{}, errors.New("fenced")
	}
	o.fence = h.Token
	o.ended = slices.DeleteFunc(o.ended, func(e dispatch.EndReport) bool { return e.Serial <= h.Acknowledged })
	return dispatch.Report{Worker: "w", Boot: 1, Clock: o.clock(), Ended: slices.Clone(o.ended)}, nil
}

func startHost(t *testing.T, name string, power int64, log ledger.Store, w *oneWorker) (*Host, func()) {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	limits := dispatch.Limits{
		MaxLease: 6 * time.Second, JobRetention: time.Minute, RemoteFactor: 1, MaxUnconfirmedTerm: 2 * time.Second, MaxOverTarget: 4 * time.Second,
	}
	h, stop := New(Config{Name: name, Zone: "z", Peers: l.Addr().String(), Limits: limits, Power: power}, l, log, w, w, bootclock.Clock{}, quiet)
	return h, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stop(ctx)
	}
}

// until repeats the call until it reports true.
func until(limit time.Duration, call func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if call() {
			return true
		}
	}
	return false
}

func leads(h *Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term != nil
}

func ask(h *Host, a Ask) Told {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return h.Ask(ctx, a)
}

func TestHosts(t *testing.T) {
	Convey("Two hosts share a log", t, func() {
		log, w := newMemoryLog(), &oneWorker{starts: map[string]int{}, begun: time.Now()}
		hosts := make([]*Host, 2)
		stops := make([]func(), 2)
		for i, name := range []string{"a", "b"} {
			hosts[i], stops[i] = startHost(t, name, 0, log, w)
		}
		running := []int{0, 1}
		Reset(func() {
			for _, i := range running {
				stops[i]()
			}
		})
		So(until(10*time.Second, func() bool { return hosts[0].Ready() && hosts[1].Ready() }), ShouldBeTrue)
		spec := workflow.Spec{Text: "x", Steps: []workflow.Step{
			{Tasks: 2, Size: fleet.Size{Cores: 500}, Estimate: time.Second, Disruptable: -1},
			{Tasks: 1, Size: fleet.Size{Cores: 500}, Estimate: time.Second, After: []int{0}, Disruptable: -1},
		}}
		id := strings.Repeat("0", 15) + "1"
		for _, h := range hosts {
			So(ask(h, Ask{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec}).Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		}
		completed := func(h *Host) func() bool {
			return func() bool {
				return ask(h, Ask{Action: ActionShow, Queue: "q", ID: id}).State == dispatch.StateCompleted
			}
		}
		Convey("a job that is handed in at both runs once, and both know its state", func() {
			So(until(10*time.Second, completed(hosts[0])), ShouldBeTrue)
			So(completed(hosts[1])(), ShouldBeTrue)
			w.mu.Lock()
			defer w.mu.Unlock()
			So(w.starts, ShouldHaveLength, 3)
			for _, n := range w.starts {
				So(n, ShouldEqual, 1)
			}
		})
		Convey("what is not known is said to be so", func() {
			So(ask(hosts[1], Ask{Action: ActionShow, Queue: "q", ID: strings.Repeat("f", 16)}).Outcome, ShouldEqual, dispatch.OutcomeUnknownJob)
		})
		Convey("when the leader stops, the other one goes on with what was accepted", func() {
			leader := 0
			if leads(hosts[1]) {
				leader = 1
			}
			stops[leader]()
			running = []int{1 - leader}
			So(until(10*time.Second, completed(hosts[1-leader])), ShouldBeTrue)
		})
		Convey("while the log is away, new jobs are refused before their callers' time is up", func() {
			log.mu.Lock()
			log.down = true
			log.mu.Unlock()
			time.Sleep(3 * time.Second)
			begun := time.Now()
			told := ask(hosts[0], Ask{Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + "2", Spec: spec})
			So(told.Outcome, ShouldEqual, dispatch.OutcomeRefused)
			So(time.Since(begun), ShouldBeLessThan, 2*time.Second)
		})
	})
}

func TestStrongerHost(t *testing.T) {
	Convey("A weak host leads", t, func() {
		log, w := newMemoryLog(), &oneWorker{starts: map[string]int{}, begun: time.Now()}
		weak, stopWeak := startHost(t, "weak", 190, log, w)
		Reset(stopWeak)
		So(until(10*time.Second, func() bool { return leads(weak) }), ShouldBeTrue)
		Convey("and hands over to a much stronger one that has come, with all jobs", func() {
			id := strings.Repeat("0", 15) + "3"
			spec := workflow.Spec{Steps: []workflow.Step{{Tasks: 2, Size: fleet.Size{Cores: 500}, Estimate: time.Second, Disruptable: -1}}}
			So(ask(weak, Ask{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec}).Outcome, ShouldEqual, dispatch.OutcomeAccepted)
			strong, stopStrong := startHost(t, "strong", 800, log, w)
			Reset(stopStrong)
			So(until(10*time.Second, func() bool { return leads(strong) && !leads(weak) }), ShouldBeTrue)
			So(until(10*time.Second, func() bool {
				return ask(weak, Ask{Action: ActionShow, Queue: "q", ID: id}).State == dispatch.StateCompleted
			}), ShouldBeTrue)
			Convey("and leaves a vacant leadership to it for a while", func() {
				weak.mu.Lock()
				defer weak.mu.Unlock()
				So(weak.handicap(), ShouldBeGreaterThanOrEqualTo, weakHandicap)
			})
		})
		Convey("and stays leader beside one that is not much stronger", func() {
			other, stopOther := startHost(t, "other", 300, log, w)
			Reset(stopOther)
			time.Sleep(4 * time.Second)
			So(leads(weak), ShouldBeTrue)
			So(leads(other), ShouldBeFalse)
		})
	})
}

func TestManifestFromLeader(t *testing.T) {
	Convey("A leader with a newer manifest", t, func() {
		log, w := newMemoryLog(), &oneWorker{starts: map[string]int{}, begun: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(until(10*time.Second, func() bool { return leads(h) }), ShouldBeTrue)
		b := Beat{Name: "b", Address: "127.0.0.1:1", Instance: "b"}
		Convey("sends it to a host that can't read it from the store", func() {
			b.Blind = true
			r, err := h.peerBeat(context.Background(), b)
			So(err, ShouldBeNil)
			So(r.Manifest, ShouldNotBeNil)
		})
		Convey("does not send it to one that can", func() {
			r, err := h.peerBeat(context.Background(), b)
			So(err, ShouldBeNil)
			So(r.Manifest, ShouldBeNil)
		})
	})
}

func TestClaimOnItsWay(t *testing.T) {
	Convey("A host whose claim is on its way, and may stand in the log already, says that it leads", t, func() {
		log, w := newMemoryLog(), &oneWorker{starts: map[string]int{}, begun: time.Now()}
		log.delay = 400 * time.Millisecond
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(until(10*time.Second, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.claiming && h.term == nil
		}), ShouldBeTrue)
		r, err := h.peerBeat(context.Background(), Beat{Name: "b", Address: "127.0.0.1:1", Instance: "b"})
		So(err, ShouldBeNil)
		So(r.Leads, ShouldBeTrue)
	})
}

func TestSuccessor(t *testing.T) {
	Convey("A leader that the store does not answer looks for a host that it answers", t, func() {
		now := time.Unix(1000, 0)
		h := &Host{instance: "a", members: map[string]member{}}
		term := &term{h: h}
		heard := func(ago, storeAge time.Duration) {
			h.members["b"] = member{Name: "b", Instance: "b", seen: now.Add(-ago), storeAge: storeAge}
		}
		failing := now.Add(-500 * time.Millisecond)
		Convey("which counts if the answer came after the first failure here", func() {
			heard(50*time.Millisecond, 20*time.Millisecond)
			So(term.successor(now, failing), ShouldBeTrue)
		})
		Convey("but not if it came before: the store may be down for all", func() {
			heard(50*time.Millisecond, 600*time.Millisecond)
			So(term.successor(now, failing), ShouldBeFalse)
		})
		Convey("and not if the host has not been heard of for a while", func() {
			heard(time.Second, 0)
			So(term.successor(now, now.Add(-3*time.Second)), ShouldBeFalse)
		})
	})
}
