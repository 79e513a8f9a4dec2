package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// faultFixture is a worker that is served, and a client that calls it.
type faultFixture struct {
	*fixture
	faults  *faultTable
	conns   *connTable
	address string
	client  *http.Client
	// closeServer ends the process of the worker.
	closeServer func()
}

// newFaultFixture returns a fixture whose first worker is served.
func newFaultFixture(t *testing.T) *faultFixture {
	f := &faultFixture{fixture: newFixture(), client: &http.Client{Transport: &http.Transport{}}}
	f.a.startedAt = time.Now()
	f.faults, f.conns = newFaultTable("workers", 1, f.recorder), newConnTable(1, f.recorder)
	srv, err := f.conns.serve(t.Context(), "a", "127.0.0.1:0", workerHandler(f.a, f.faults))
	So(err, ShouldBeNil)
	f.address, f.closeServer = srv.address(), srv.close
	Reset(func() {
		f.client.CloseIdleConnections()
		f.closeServer()
	})
	return f
}

// post sends a call to the worker and returns the status of its answer, 0 if there is none in time,
// -1 if the call can't be built.
func (f *faultFixture) post(t *testing.T, path string, o orderBody) int {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	data, err := json.Marshal(o)
	if err != nil {
		return -1
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+path, bytes.NewReader(data))
	if err != nil {
		return -1
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	// A connection whose response isn't read to its end isn't used again.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// runningTasks returns the number of runs on the worker.
func (f *faultFixture) runningTasks() int {
	f.a.mu.Lock()
	defer f.a.mu.Unlock()
	return len(f.a.runs)
}

// Guards against a stand-in that is kinder to its callers than its faults say.
func TestFaults(t *testing.T) {
	order := orderBody{Task: "j.0.2.0", RunID: 1, Spec: "s", UntilMs: 6000, FencingToken: 1}
	Convey("A late call gets no answer and is carried out after newer ones", t, func() {
		f := newFaultFixture(t)
		f.faults.set([]string{"a"}, Faults{Late: 200 * time.Millisecond}, f.now)
		So(f.post(t, "/run-start", order), ShouldEqual, 0)
		So(f.runningTasks(), ShouldEqual, 0)
		f.faults.set([]string{"a"}, Faults{}, f.now)
		Convey("if its process is still there", func() {
			So(f.post(t, "/hold", orderBody{FencingToken: 1}), ShouldEqual, http.StatusOK)
			So(f.runningTasks(), ShouldEqual, 0)
			So(eventually(time.Second, func() bool { return f.runningTasks() == 1 }), ShouldBeTrue)
		})
		Convey("but not once its process has ended", func() {
			f.a.leave(time.Now())
			f.closeServer()
			time.Sleep(lateSpread * 200 * time.Millisecond)
			So(f.recorder.report().Starts, ShouldEqual, 0)
		})
	})
	Convey("A share of the calls loses its answers and takes effect", t, func() {
		f := newFaultFixture(t)
		f.faults.set([]string{"a"}, Faults{Lose: true, Share: 0.5}, f.now)
		lost := 0
		for n := range 20 {
			order.RunID = n + 1
			if f.post(t, "/run-start", order) == 0 {
				lost++
			}
		}
		So(lost, ShouldBeBetween, 0, 20)
		So(f.recorder.report().Starts, ShouldEqual, 20)
	})
	Convey("A blackholed connection is silent for good, and a new one works", t, func() {
		f := newFaultFixture(t)
		renewal := orderBody{FencingToken: 1}
		So(f.post(t, "/hold", renewal), ShouldEqual, http.StatusOK)
		So(f.conns.blackhole([]string{"b"}, 1, f.now), ShouldEqual, 0)
		So(f.post(t, "/hold", renewal), ShouldEqual, http.StatusOK)
		So(f.conns.blackhole([]string{"a"}, 0.5, f.now), ShouldEqual, 1)
		So(f.post(t, "/run-start", order), ShouldEqual, 0)
		So(f.recorder.report().Starts, ShouldEqual, 0)
		So(f.post(t, "/run-start", order), ShouldEqual, http.StatusOK)
		So(f.recorder.report().Starts, ShouldEqual, 1)
	})
	Convey("A blackholed connection isn't closed by the end of the server", t, func() {
		f := newFaultFixture(t)
		answered := make(chan int)
		go func() { answered <- f.post(t, "/hold", orderBody{FencingToken: 1, WaitMs: 2000}) }()
		So(eventually(time.Second, func() bool { return f.conns.blackhole(nil, 1, f.now) == 1 }), ShouldBeTrue)
		begun := time.Now()
		f.closeServer()
		So(<-answered, ShouldEqual, 0)
		So(time.Since(begun), ShouldBeGreaterThan, 20*time.Millisecond)
	})
}

// newTestPool returns a pool of one zone without workers.
func newTestPool(seed uint64, d Departure) *pool {
	log, _ := test.NewNullLogger()
	rec := newRecorder(log)
	p := newPool(
		Config{Zones: []string{"z"}, IP: "127.0.0.1", Capacity: fleet.Size{Cores: 1000}, Departure: d, Seed: seed},
		newStore(0), newFaultTable("workers", seed, rec), newConnTable(seed, rec), rec, log,
	)
	Reset(p.close)
	return p
}

// Guards against a restarted worker that keeps its state, its number or its address, or is back at once.
func TestRestart(t *testing.T) {
	Convey("A worker that is started again is back within a second, as an empty one of a later boot", t, func() {
		p := newTestPool(1, Departure{})
		now := time.Now()
		So(p.add(t.Context(), "z", now), ShouldBeNil)
		before := p.members[0]
		before.worker.start(orderBody{Task: "j.0.0.0", RunID: 1, UntilMs: 1e9, FencingToken: 7}, now)
		ids, err := p.change(t.Context(), ActionRestart, 1, "", now)
		So(err, ShouldBeNil)
		So(ids, ShouldResemble, []string{before.worker.id})
		p.step(t.Context(), now.Add(minRestartTime-time.Millisecond))
		So(p.members, ShouldBeEmpty)
		now = now.Add(maxRestartTime)
		p.step(t.Context(), now)
		So(p.members, ShouldHaveLength, 1)
		after := p.members[0]
		So(after.server.address(), ShouldEqual, before.server.address())
		So(after.worker.id, ShouldEqual, before.worker.id)
		So(after.worker.boot, ShouldBeGreaterThan, before.worker.boot)
		So(after.worker.runs, ShouldBeEmpty)
		So(after.worker.token, ShouldEqual, 0)
		So(p.recorder.report().Vanished, ShouldEqual, 1)
		p.step(t.Context(), now.Add(2*crashNoticeTime))
		So(p.removals, ShouldBeEmpty)
		So(string(p.store.newest(partitionID{topic: workerTopic}, "").Items[0].Value), ShouldNotBeEmpty)
	})
}

// TestLateCallReachesNextBoot guards against a stand-in that ends late calls with the boot that has accepted them, so that no
// test sees them act on the next one.
func TestLateCallReachesNextBoot(t *testing.T) {
	Convey("A worker restarts under its ID while an order is late", t, func() {
		f := newFaultFixture(t)
		f.faults.set([]string{"a"}, Faults{Late: 200 * time.Millisecond}, f.now)
		So(f.post(t, "/run-start", orderBody{Task: "j.0.2.0", RunID: 1, Spec: "s", UntilMs: 60_000}), ShouldEqual, 0)
		next := &worker{
			life: life{id: "a", boot: f.a.boot + 1}, recorder: f.recorder, startedAt: time.Now(), clockStart: 1, clockRate: 1,
			runs: map[runKey]*run{}, closed: map[string]int{}, changed: make(chan struct{}),
		}
		f.recorder.workerUp(next)
		f.a.next.Store(next)
		f.a.leave(time.Now())
		So(eventually(2*time.Second, func() bool {
			next.mu.Lock()
			defer next.mu.Unlock()
			return len(next.runs) == 1
		}), ShouldBeTrue)
	})
}
