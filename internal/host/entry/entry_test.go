package entry

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// memoryLog is an in-memory ledger.Store that follows the rules of the platform's store for conditional appends, epochs
// and the newest record of each key.
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

// call waits for delay and fails with ErrNotDone while the log is down.
func (m *memoryLog) call(ctx context.Context) error {
	m.mu.Lock()
	delay, down := m.delay, m.down
	m.mu.Unlock()
	if !sleep(ctx, delay) {
		return ctx.Err()
	}
	if down {
		return errors.Mark(errors.New("down"), ledger.ErrNotDone)
	}
	return nil
}

func (m *memoryLog) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	if err := m.call(ctx); err != nil {
		return ledger.OffsetRange{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	end := int64(len(m.parts[a.Partition]))
	switch {
	case a.ExpectedEnd != ledger.AnyOffset && a.ExpectedEnd != end:
		return ledger.OffsetRange{}, ledger.ErrConflict
	case a.Writer != "" && a.Epoch < m.epochs[a.Partition]:
		return ledger.OffsetRange{}, ledger.ErrFenced
	case a.Writer != "":
		m.epochs[a.Partition] = a.Epoch
	}
	for i, r := range a.Records {
		m.parts[a.Partition] = append(m.parts[a.Partition], ledger.Entry{Record: r, Offset: end + int64(i)})
	}
	return ledger.OffsetRange{Offset: end, End: end + int64(len(a.Records))}, nil
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
		sleep(ctx, 5*time.Millisecond)
	}
}

func (m *memoryLog) Newest(ctx context.Context, p ledger.Partition, _ string) (ledger.NewestPage, error) {
	if err := m.call(ctx); err != nil {
		return ledger.NewestPage{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := map[string]ledger.Entry{}
	for _, e := range m.parts[p] {
		newest[e.Key] = e
	}
	out := ledger.NewestPage{End: int64(len(m.parts[p]))}
	for _, e := range newest {
		out.Entries = append(out.Entries, e)
	}
	return out, nil
}

// fakeWorker implements Directory and Workers with a single worker, whose tasks are done as soon as they are started.
type fakeWorker struct {
	mu           sync.Mutex
	highestToken int64
	ended        []dispatch.EndReport
	serial       int64
	starts       map[string]int
	startedAt    time.Time
	// missingCores is subtracted from the worker's capacity.
	missingCores int64
}

func (f *fakeWorker) WorkerChanges(context.Context, int64) (WorkerChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return WorkerChanges{Complete: true, Listed: []dispatch.Registration{{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Zone: "z",
		Capacity: fleet.Size{Cores: 8000 - f.missingCores, Memory: 8000},
	}}}, nil
}

func (f *fakeWorker) OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error) {
	if from >= 0 {
		sleep(ctx, wait)
		return OperatorChanges{NextOffset: from}, nil
	}
	return OperatorChanges{Complete: true, Manifest: &Manifest{Catalog: dispatch.Catalog{
		Version: 1, Queues: map[string]dispatch.Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}},
	}}}, nil
}

func (f *fakeWorker) workerClock() int64      { return 1000 + time.Since(f.startedAt).Milliseconds() }
func (f *fakeWorker) CloseConnections(string) {}

func (f *fakeWorker) SendOrder(
	_ context.Context, order dispatch.Order, permit func() bool,
) (dispatch.Answer, int64, error) {
	if !permit() {
		return dispatch.AnswerLate, 0, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if order.Token < f.highestToken {
		return dispatch.AnswerFenced, f.workerClock(), nil
	}
	if order.Kind == dispatch.OrderStart {
		f.starts[order.Task]++
		f.serial++
		f.ended = append(f.ended, dispatch.EndReport{
			Serial: f.serial, Task: order.Task, Number: order.Run, Reason: dispatch.EndDone,
		})
	}
	return dispatch.AnswerDone, f.workerClock(), nil
}

func (f *fakeWorker) RenewLeases(
	ctx context.Context, r dispatch.LeaseRenewal, _ func() bool,
) (dispatch.Report, error) {
	sleep(ctx, 10*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Token < f.highestToken {
		return dispatch.Report{}, errors.New("fenced")
	}
	f.highestToken = r.Token
	f.ended = slices.DeleteFunc(f.ended, func(e dispatch.EndReport) bool { return e.Serial <= r.Acknowledged })
	return dispatch.Report{Worker: "w", Boot: 1, Clock: f.workerClock(), Ended: slices.Clone(f.ended)}, nil
}

// startHost starts a host on a free port of the loopback interface. The returned function stops it.
func startHost(t *testing.T, name string, power int64, log ledger.Store, w *fakeWorker) (*Host, func()) {
	t.Helper()
	return startHostWithClock(t, name, power, log, w, bootclock.Clock{})
}

// startHostWithClock is startHost with the given clock.
func startHostWithClock(
	t *testing.T, name string, power int64, log ledger.Store, w *fakeWorker, clock Clock,
) (*Host, func()) {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	limits := dispatch.Limits{
		MaxLease: 6 * time.Second, JobRetention: time.Minute, RemoteFactor: 1,
		MaxUnconfirmedTerm: 2 * time.Second, MaxOverTarget: 4 * time.Second,
	}
	var directory Directory = w
	if s, ok := log.(*cutStore); ok {
		directory = cutDirectory{Directory: w, store: s}
	}
	h, stop := New(Config{Name: name, Zone: "z", PeerAddress: l.Addr().String(), Limits: limits, Power: power},
		l, log, directory, w, clock, quiet)
	return h, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stop(ctx)
	}
}

// eventually repeats the call until it returns true. It returns false if that takes longer than the limit.
func eventually(limit time.Duration, call func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if call() {
			return true
		}
	}
	return false
}

func isLeader(h *Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term != nil
}

func sendRequest(h *Host, req Request) Response {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return h.HandleRequest(ctx, req)
}

// TestTwoHosts guards against a job that runs twice because it was submitted to two hosts, against a job that is lost
// when the leader stops, and against a new job that is left unanswered while the log is down.
func TestTwoHosts(t *testing.T) {
	Convey("Two hosts share a log", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
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
		So(eventually(10*time.Second, func() bool { return hosts[0].Ready() && hosts[1].Ready() }), ShouldBeTrue)
		spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{
			{Tasks: 2, Size: fleet.Size{Cores: 500}, Estimate: time.Second, MaxUnavailable: -1},
			{Tasks: 1, Size: fleet.Size{Cores: 500}, Estimate: time.Second, DependsOn: []int{0}, MaxUnavailable: -1},
		}}
		id := strings.Repeat("0", 15) + "1"
		for _, h := range hosts {
			So(sendRequest(h, Request{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec}).Outcome,
				ShouldEqual, dispatch.OutcomeAccepted)
		}
		completed := func(h *Host) func() bool {
			return func() bool {
				return sendRequest(h, Request{Action: ActionShow, Queue: "q", ID: id}).State == dispatch.StateCompleted
			}
		}
		Convey("a job that is submitted to both runs once, and both return its state", func() {
			So(eventually(10*time.Second, completed(hosts[0])), ShouldBeTrue)
			So(completed(hosts[1])(), ShouldBeTrue)
			w.mu.Lock()
			defer w.mu.Unlock()
			So(w.starts, ShouldHaveLength, 3)
			for _, n := range w.starts {
				So(n, ShouldEqual, 1)
			}
		})
		Convey("a request for a job that does not exist gets the outcome for unknown jobs", func() {
			So(sendRequest(hosts[1], Request{Action: ActionShow, Queue: "q", ID: strings.Repeat("f", 16)}).Outcome,
				ShouldEqual, dispatch.OutcomeUnknownJob)
		})
		Convey("when the leader stops, the other one completes the accepted jobs", func() {
			leader := 0
			if isLeader(hosts[1]) {
				leader = 1
			}
			stops[leader]()
			running = []int{1 - leader}
			So(eventually(10*time.Second, completed(hosts[1-leader])), ShouldBeTrue)
		})
		Convey("while the log is down, new jobs are refused before their callers time out", func() {
			log.mu.Lock()
			log.down = true
			log.mu.Unlock()
			time.Sleep(3 * time.Second)
			start := time.Now()
			resp := sendRequest(hosts[0], Request{
				Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + "2", Spec: spec,
			})
			So(resp.Outcome, ShouldEqual, dispatch.OutcomeRefused)
			So(time.Since(start), ShouldBeLessThan, 2*time.Second)
		})
	})
}

// rejectingLog is a memoryLog that rejects appends with a record of more than maxBytes.
type rejectingLog struct {
	*memoryLog
	maxBytes int
}

func (l rejectingLog) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	for _, r := range a.Records {
		if len(r.Key)+len(r.Value) > l.maxBytes {
			return ledger.OffsetRange{}, ledger.ErrRejected
		}
	}
	return l.memoryLog.Append(ctx, a)
}

// TestSubmissionThatLogRejects guards against a submission whose record the log never takes and that keeps everything
// after it from becoming durable.
func TestSubmissionThatLogRejects(t *testing.T) {
	Convey("A host leads whose log takes records of at most 1000 bytes", t, func() {
		w := &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, rejectingLog{newMemoryLog(), 1000}, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) && h.Ready() }), ShouldBeTrue)
		submit := func(digit, payload string) Response {
			spec := workflow.Spec{Payload: payload, Steps: []workflow.Step{
				{Tasks: 1, Size: fleet.Size{Cores: 500}, Estimate: time.Second, MaxUnavailable: -1},
			}}
			return sendRequest(h, Request{
				Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + digit, Spec: spec,
			})
		}
		So(submit("1", "x").Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		large := submit("2", strings.Repeat("x", 2000))
		So(large.Outcome, ShouldEqual, dispatch.OutcomeRejected)
		So(large.Reason, ShouldNotBeEmpty)
		So(submit("3", "x").Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		So(sendRequest(h, Request{Action: ActionCancel, Queue: "q", ID: strings.Repeat("0", 15) + "1"}).Outcome,
			ShouldEqual, dispatch.OutcomeAccepted)
		So(sendRequest(h, Request{Action: ActionShow, Queue: "q", ID: strings.Repeat("0", 15) + "2"}).Outcome,
			ShouldEqual, dispatch.OutcomeUnknownJob)
	})
}

// TestHandOverToStrongerHost guards against a leader that stays on a host with little processor time, and against a
// leadership that moves between hosts of similar strength.
func TestHandOverToStrongerHost(t *testing.T) {
	Convey("A weak host leads", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		weak, stopWeak := startHost(t, "weak", 190, log, w)
		Reset(stopWeak)
		So(eventually(10*time.Second, func() bool { return isLeader(weak) }), ShouldBeTrue)
		Convey("and hands over to a much stronger one that has started, with all jobs", func() {
			id := strings.Repeat("0", 15) + "3"
			spec := workflow.Spec{Steps: []workflow.Step{
				{Tasks: 2, Size: fleet.Size{Cores: 500}, Estimate: time.Second, MaxUnavailable: -1},
			}}
			So(sendRequest(weak, Request{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec}).Outcome,
				ShouldEqual, dispatch.OutcomeAccepted)
			strong, stopStrong := startHost(t, "strong", 800, log, w)
			Reset(stopStrong)
			So(eventually(10*time.Second, func() bool { return isLeader(strong) && !isLeader(weak) }), ShouldBeTrue)
			So(eventually(10*time.Second, func() bool {
				return sendRequest(weak, Request{Action: ActionShow, Queue: "q", ID: id}).State == dispatch.StateCompleted
			}), ShouldBeTrue)
			Convey("and delays its claim of a vacant leadership", func() {
				weak.mu.Lock()
				defer weak.mu.Unlock()
				So(weak.claimDelay(), ShouldBeGreaterThanOrEqualTo, weakHostClaimDelay)
			})
		})
		Convey("and remains the leader if the other one is not much stronger", func() {
			other, stopOther := startHost(t, "other", 300, log, w)
			Reset(stopOther)
			time.Sleep(4 * time.Second)
			So(isLeader(weak), ShouldBeTrue)
			So(isLeader(other), ShouldBeFalse)
		})
	})
}

// TestManifestFromLeader guards against a host that keeps an old manifest while it can't read the operators' records,
// and against sending manifests to hosts that read them from the store.
func TestManifestFromLeader(t *testing.T) {
	Convey("A leader with a newer manifest", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) }), ShouldBeTrue)
		p := Ping{Name: "b", Address: "127.0.0.1:1", Instance: "b"}
		Convey("sends it to a host that can't read it from the store", func() {
			p.OperatorRecordsUnreadable = true
			r, err := h.handlePeerPing(context.Background(), p)
			So(err, ShouldBeNil)
			So(r.Manifest, ShouldNotBeNil)
		})
		Convey("does not send it to a host that can", func() {
			r, err := h.handlePeerPing(context.Background(), p)
			So(err, ShouldBeNil)
			So(r.Manifest, ShouldBeNil)
		})
	})
}

// TestMalformedJobOfAnotherHost guards against a leader that another host's malformed job brings down.
func TestMalformedJobOfAnotherHost(t *testing.T) {
	Convey("A leader refuses a job whose steps depend on steps that don't exist", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) }), ShouldBeTrue)
		resp, err := h.handlePeerRequest(context.Background(), Request{
			Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + "4", TimeLeft: time.Second,
			Spec: workflow.Spec{Steps: []workflow.Step{{Tasks: 1, DependsOn: []int{7}}}},
		})
		So(err, ShouldBeNil)
		So(resp.Outcome, ShouldEqual, dispatch.OutcomeRefused)
	})
}

// TestPingDuringClaim guards against a new leader that is taken to have ended because a host that has read its claim
// pings it before the claim's append has returned.
func TestPingDuringClaim(t *testing.T) {
	Convey("A host whose claim is being appended, and may already be in the log, answers that it leads", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		log.delay = 400 * time.Millisecond
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.claiming && h.term == nil
		}), ShouldBeTrue)
		r, err := h.handlePeerPing(context.Background(), Ping{Name: "b", Address: "127.0.0.1:1", Instance: "b"})
		So(err, ShouldBeNil)
		So(r.IsLeader, ShouldBeTrue)
	})
}

// cutStore is a ledger.Store that can be cut off from one host.
type cutStore struct {
	*memoryLog
	cut atomic.Bool
}

// call blocks until the context ends while the store is cut off.
func (s *cutStore) call(ctx context.Context) error {
	for s.cut.Load() {
		if !sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func (s *cutStore) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	if err := s.call(ctx); err != nil {
		return ledger.OffsetRange{}, err
	}
	return s.memoryLog.Append(ctx, a)
}

func (s *cutStore) Read(ctx context.Context, p ledger.Partition, from int64, wait time.Duration) (ledger.Page, error) {
	if err := s.call(ctx); err != nil {
		return ledger.Page{}, err
	}
	page, err := s.memoryLog.Read(ctx, p, from, wait)
	// The answer to a read that was waiting is cut off as well.
	return page, errors.CombineErrors(err, s.call(ctx))
}

func (s *cutStore) Newest(ctx context.Context, p ledger.Partition, after string) (ledger.NewestPage, error) {
	if err := s.call(ctx); err != nil {
		return ledger.NewestPage{}, err
	}
	return s.memoryLog.Newest(ctx, p, after)
}

// cutDirectory is a Directory that reads over the path of a cutStore.
type cutDirectory struct {
	Directory
	store *cutStore
}

func (d cutDirectory) OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error) {
	changes, err := d.Directory.OperatorChanges(ctx, from, wait)
	if cutErr := d.store.call(ctx); cutErr != nil {
		return OperatorChanges{}, cutErr
	}
	return changes, err
}

// TestLeaderWithoutStore guards against a leader that keeps the leadership while the store answers other hosts but not
// it, and against one that gives it up when the store has been away for all hosts and is back.
func TestLeaderWithoutStore(t *testing.T) {
	Convey("Two hosts each have a path to the store", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		stores := []*cutStore{{memoryLog: log}, {memoryLog: log}}
		a, stopA := startHost(t, "a", 0, stores[0], w)
		Reset(stopA)
		So(eventually(10*time.Second, func() bool { return isLeader(a) }), ShouldBeTrue)
		b, stopB := startHost(t, "b", 0, stores[1], w)
		Reset(stopB)
		So(eventually(10*time.Second, b.Ready), ShouldBeTrue)
		Convey("a leader whose path is cut hands over within three seconds", func() {
			stores[0].cut.Store(true)
			So(eventually(3*time.Second, func() bool { return isLeader(b) && !isLeader(a) }), ShouldBeTrue)
		})
		Convey("a leader stays if both paths are cut and the other one is back first", func() {
			stores[0].cut.Store(true)
			stores[1].cut.Store(true)
			time.Sleep(2 * time.Second)
			stores[1].cut.Store(false)
			time.Sleep(100 * time.Millisecond)
			stores[0].cut.Store(false)
			So(eventually(2*time.Second, func() bool { return !isLeader(a) }), ShouldBeFalse)
		})
	})
}

// TestFormerLeaderDoesNotDenyJobs guards against a leader that has been cut off and tells callers that a job is unknown
// which a later leader has accepted.
func TestFormerLeaderDoesNotDenyJobs(t *testing.T) {
	Convey("A host leads", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		store := &cutStore{memoryLog: log}
		h, stop := startHost(t, "a", 0, store, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) && h.Ready() }), ShouldBeTrue)
		send := func(a Action) Response {
			return sendRequest(h, Request{Action: a, Queue: "q", ID: strings.Repeat("f", 16)})
		}
		Convey("it says that a job is unknown while the store confirms its term", func() {
			for _, a := range []Action{ActionCancel, ActionShow} {
				start := time.Now()
				So(send(a).Outcome, ShouldEqual, dispatch.OutcomeUnknownJob)
				So(time.Since(start), ShouldBeLessThan, leadership.RenewInterval)
			}
		})
		Convey("it does not while the store leaves it unanswered", func() {
			store.cut.Store(true)
			So(send(ActionCancel).Outcome, ShouldEqual, dispatch.Outcome(0))
			So(send(ActionShow).Outcome, ShouldNotEqual, dispatch.OutcomeUnknownJob)
			Convey("and does again once it is back", func() {
				store.cut.Store(false)
				So(send(ActionCancel).Outcome, ShouldEqual, dispatch.OutcomeUnknownJob)
			})
		})
	})
}

// TestLateAnswerOfFormerLeader guards against a leadership that is taken to be vacant because an answer under an earlier
// claim arrives after the present one was seen.
func TestLateAnswerOfFormerLeader(t *testing.T) {
	Convey("A host has seen the claim of a second leader", t, func() {
		h := &Host{instance: "me", elector: leadership.NewElector("me"), clock: bootclock.Clock{}}
		first := leadership.Claim{Offset: 3, Name: "a", Address: "a", Instance: "first", Serial: 1}
		second := leadership.Claim{Offset: 4, Name: "a", Address: "a", Instance: "second", Serial: 2}
		h.elector.ObserveClaim(h.clock.Now(), first)
		h.elector.ObserveClaim(h.clock.Now(), second)
		Convey("an answer to a request that was sent to the first leader does not make the leadership vacant", func() {
			h.recordLeaderAnswer(first, h.clock.Now())
			action, _ := h.elector.NextAction(h.clock.Now())
			So(action, ShouldEqual, leadership.ActionPing)
		})
	})
}

// TestPredecessorIsAsked guards against a new leader that waits for leases of a leader whose process has certainly ended,
// and against one that takes a leader which still leads to have ended.
func TestPredecessorIsAsked(t *testing.T) {
	Convey("A host has claimed the leadership", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		previous, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(previous) }), ShouldBeTrue)
		logger, hook := test.NewNullLogger()
		ask := func(instance string) int {
			h := &Host{elector: leadership.NewElector("me"), clock: bootclock.Clock{}, log: logger}
			client, closeClient := peer.NewClient()
			defer closeClient()
			h.peers = client
			now := h.clock.Now()
			h.elector.ObserveClaim(now, leadership.Claim{
				Offset: 3, Name: "a", Address: previous.cfg.PeerAddress, Instance: instance,
			})
			h.elector.ObserveClaim(now, leadership.Claim{Offset: 4, Name: "b", Instance: "me"})
			term := &term{
				host: h, ctx: context.Background(), log: logrus.NewEntry(logger),
				scheduler: dispatch.New(dispatch.Limits{}, 1, 1), previousOrdersUntil: now.Add(time.Second),
			}
			term.confirmPredecessorEnd()
			return len(hook.AllEntries())
		}
		Convey("the process of the leader before has ended if another one answers at its address", func() {
			So(ask("gone"), ShouldEqual, 1)
		})
		Convey("it has not as long as it answers that it leads", func() {
			So(ask(previous.instance), ShouldEqual, 0)
		})
	})
	Convey("A leader that has lost its term has ended", t, func() {
		So(hasEnded(leadership.Claim{Instance: "a"}, PingResponse{Instance: "a"}), ShouldBeTrue)
	})
}

// TestStoreAnswersOther guards against a leader that gives up the leadership although the store may have failed for all
// hosts, or in favour of a host that no longer pings it.
func TestStoreAnswersOther(t *testing.T) {
	Convey("A leader that the store does not answer looks for a host that the store answers", t, func() {
		now := time.Unix(1000, 0)
		h := &Host{instance: "a", members: map[string]member{}}
		term := &term{host: h}
		pinged := func(ago, storeAge time.Duration) {
			h.members["b"] = member{Name: "b", Instance: "b", pingedAt: now.Add(-ago), storeAge: storeAge}
		}
		failingSince := now.Add(-500 * time.Millisecond)
		Convey("which counts if the answer came after the leader's first failed probe", func() {
			pinged(50*time.Millisecond, 20*time.Millisecond)
			So(term.storeAnswersOther(now, failingSince), ShouldBeTrue)
		})
		Convey("which does not count if the answer came before: the store may be down for all", func() {
			pinged(50*time.Millisecond, 600*time.Millisecond)
			So(term.storeAnswersOther(now, failingSince), ShouldBeFalse)
		})
		Convey("which does not count if its last ping is too old", func() {
			pinged(time.Second, 0)
			So(term.storeAnswersOther(now, now.Add(-3*time.Second)), ShouldBeFalse)
		})
	})
}

// TestCapacityReachesScheduler guards against a worker whose entry changes in nothing but its capacity and that goes on
// being used by its room before, and against waiting tasks that don't notice that the room is back.
func TestCapacityReachesScheduler(t *testing.T) {
	Convey("A worker shrinks while a host leads", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) && h.Ready() }), ShouldBeTrue)
		resize := func(missing int64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.missingCores = missing
		}
		starts := func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.starts)
		}
		resize(4000)
		time.Sleep(2 * workerListInterval)
		spec := workflow.Spec{Steps: []workflow.Step{
			{Tasks: 2, Size: fleet.Size{Cores: 3000}, Estimate: time.Second, MaxUnavailable: -1},
			{Tasks: 1, Size: fleet.Size{Cores: 6000}, Estimate: time.Second, DependsOn: []int{0}, MaxUnavailable: -1},
		}}
		id := strings.Repeat("0", 15) + "5"
		So(sendRequest(h, Request{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec}).Outcome,
			ShouldEqual, dispatch.OutcomeAccepted)
		So(eventually(3*time.Second, func() bool { return starts() > 2 }), ShouldBeFalse)
		So(starts(), ShouldEqual, 2)
		resize(0)
		So(eventually(2*workerListInterval, func() bool { return starts() == 3 }), ShouldBeTrue)
	})
}

// scriptedDirectory is a Directory that returns the given changes of the list of workers, one at each call, and then
// calls done.
type scriptedDirectory struct {
	Directory
	changes []WorkerChanges
	done    func()
}

func (d *scriptedDirectory) WorkerChanges(context.Context, int64) (WorkerChanges, error) {
	if len(d.changes) == 0 {
		d.done()
		return WorkerChanges{}, errors.New("no further changes")
	}
	next := d.changes[0]
	d.changes = d.changes[1:]
	return next, nil
}

// TestInvalidEntryKeepsWorker guards against a worker that is taken to have left because its newest entry can't be read,
// and against an unreadable entry without a log line.
func TestInvalidEntryKeepsWorker(t *testing.T) {
	Convey("A worker is listed, and then its newest entry can't be read", t, func() {
		logger, hook := test.NewNullLogger()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		registration := dispatch.Registration{ID: "w", Boot: 1, Service: "svc", Address: "w"}
		unreadable := []error{errors.New("capacity of worker w is out of range")}
		follow := func(then WorkerChanges) []string {
			directory := &scriptedDirectory{done: cancel, changes: []WorkerChanges{
				{Complete: true, Listed: []dispatch.Registration{registration}}, then,
			}}
			term := &term{
				host: &Host{directory: directory, clock: bootclock.Clock{}}, ctx: ctx, log: logrus.NewEntry(logger),
				leaseLoops: map[string]struct{}{"w": {}}, wakeDecisions: make(chan struct{}, 1),
				scheduler: dispatch.New(dispatch.Limits{}, 1, 1),
			}
			term.followWorkers(0)
			return term.scheduler.ListedWorkerIDs()
		}
		Convey("among the changes: the entry before stays in force", func() {
			So(follow(WorkerChanges{Errors: unreadable}), ShouldResemble, []string{"w"})
			So(hook.AllEntries(), ShouldHaveLength, 1)
			So(hook.LastEntry().Level, ShouldEqual, logrus.WarnLevel)
		})
		Convey("in a complete list, after the history has expired: the entry before stays in force", func() {
			So(follow(WorkerChanges{Complete: true, Invalid: []string{"w"}, Errors: unreadable}),
				ShouldResemble, []string{"w"})
			So(hook.AllEntries(), ShouldHaveLength, 1)
		})
		Convey("a complete list without it removes it", func() {
			So(follow(WorkerChanges{Complete: true}), ShouldBeEmpty)
		})
	})
}
