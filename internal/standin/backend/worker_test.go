package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 1, 100) }

// testWorker is a worker whose clock the tests set.
type testWorker struct {
	*Worker
	now    time.Duration
	ledger *Ledger
}

// newTestWorker returns a worker with its own ledger at time 0.
func newTestWorker() *testWorker {
	r := &testWorker{ledger: NewLedger()}
	r.Worker = New(Config{ID: "w", Capacity: fleet.Size{Cores: 4000, Memory: 4000}, Slots: 2,
		SlowdownFactor: func(string, string) float64 { return 3 }}, func() time.Duration { return r.now }, r.ledger)
	return r
}

// acquireLease acquires or renews the lease for the holder and returns the fence of its messages.
func (r *testWorker) acquireLease(holder string) (fleet.Fence, error) {
	s, err := r.Status()
	if err != nil {
		return fleet.Fence{}, err
	}
	s, err = r.Lease(fleet.LeaseRequest{
		Holder: holder, Boot: s.Boot, Until: s.Clock + 6*time.Second, TaskLeasesUntil: s.Clock + 30*time.Second,
	})
	return fleet.Fence{Boot: s.Boot, Grant: s.Grant, Before: s.Clock + time.Second}, err
}

// newOrder returns the order to start a task that needs half the cores of a test worker.
func newOrder(f fleet.Fence, task string, attempt int, body string) fleet.Order {
	return fleet.Order{Fence: f, Task: task, Attempt: attempt, Class: "batch",
		Size: fleet.Size{Cores: 2000, Memory: 1000}, Body: []byte(body)}
}

// TestFencing guards against a stand-in that accepts tasks or calls that a real worker must refuse.
func TestFencing(t *testing.T) {
	Convey("Given a worker held by a", t, func() {
		r := newTestWorker()
		f, err := r.acquireLease("a")
		So(err, ShouldBeNil)
		refused := func(f fleet.Fence) {
			So(errors.Is(r.Start(newOrder(f, "t", 1, "")), fleet.ErrRefused), ShouldBeTrue)
			So(errors.Is(r.StartCall(fleet.Call{Fence: f, Request: "q"}), fleet.ErrRefused), ShouldBeTrue)
			So(r.ledger.Executions("q"), ShouldEqual, 0)
		}
		Convey("b can't acquire the lease before it has ended", func() {
			r.now = 6*time.Second - 1
			_, err := r.acquireLease("b")
			So(errors.Is(err, fleet.ErrLeaseHeld), ShouldBeTrue)
			r.now++
			g, err := r.acquireLease("b")
			So(err, ShouldBeNil)
			So(g.Grant, ShouldEqual, f.Grant+1)
			f.Before = r.now + time.Second
			refused(f)
		})
		Convey("a late message is refused", func() {
			r.now = f.Before + 1
			refused(f)
		})
		Convey("an expired lease refuses work", func() {
			r.now = 7 * time.Second
			f.Before = r.now
			refused(f)
		})
		Convey("a released lease refuses work", func() {
			So(r.Release(f), ShouldBeNil)
			refused(f)
		})
		Convey("a leaving worker refuses work but keeps its lease", func() {
			r.SetFaults(Faults{Leaving: true})
			refused(f)
			_, err := r.acquireLease("a")
			So(err, ShouldBeNil)
		})
		Convey("a restart refuses the old boot", func() {
			r.Restart()
			refused(f)
			g, err := r.acquireLease("a")
			So(err, ShouldBeNil)
			So(g.Boot, ShouldNotEqual, f.Boot)
			f.Grant = g.Grant
			refused(f)
		})
	})
}

// TestTasks guards against tasks that lose or repeat progress, or continue after their lease has ended.
func TestTasks(t *testing.T) {
	Convey("Given a task of 10 s", t, func() {
		r := newTestWorker()
		f, err := r.acquireLease("a")
		So(err, ShouldBeNil)
		So(r.Start(newOrder(f, "t", 1, `{"run_ms":10000}`)), ShouldBeNil)
		So(r.Start(newOrder(f, "t", 1, `{"run_ms":10000}`)), ShouldBeNil)
		at := func(d time.Duration) fleet.Task {
			r.now = d
			s, err := r.Status()
			So(err, ShouldBeNil)
			So(s.Tasks, ShouldHaveLength, 1)
			return s.Tasks[0]
		}
		Convey("it ends after its run time", func() {
			So(at(10*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(at(10*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a throttled task takes longer", func() {
			_, err := r.Control(fleet.Control{Fence: f, Task: "t", Attempt: 1, Action: fleet.ActionThrottle, Share: 50})
			So(err, ShouldBeNil)
			So(at(20*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(at(20*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a stopped task resumes from its checkpoint", func() {
			r.now = 5 * time.Second
			f, _ := r.acquireLease("a")
			stopped, err := r.Control(fleet.Control{Fence: f, Task: "t", Attempt: 1, Action: fleet.ActionStop})
			So(err, ShouldBeNil)
			So(stopped.State, ShouldEqual, fleet.TaskStopped)
			So(r.Forget(f, []fleet.TaskRef{{ID: "t", Attempt: 1}}), ShouldBeNil)
			So(errors.Is(r.Start(newOrder(f, "t", 1, "")), ErrForgotten), ShouldBeTrue)
			o := newOrder(f, "t", 2, `{"run_ms":10000}`)
			o.Checkpoint = stopped.Checkpoint
			So(r.Start(o), ShouldBeNil)
			So(at(10*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(at(10*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a frozen worker makes no progress and stops the task when its lease has ended meanwhile", func() {
			r.SetFaults(Faults{Freeze: true})
			r.now = 31 * time.Second
			_, err := r.Status()
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			r.SetFaults(Faults{})
			So(at(r.now).State, ShouldEqual, fleet.TaskStopped)
		})
		Convey("another worker that starts it too is a violation until the lease has ended", func() {
			w := New(Config{ID: "x", Capacity: fleet.Size{Cores: 4000, Memory: 4000}},
				func() time.Duration { return r.now }, r.ledger)
			x := &testWorker{Worker: w}
			r.SetFaults(Faults{Freeze: true})
			for i, now := range []time.Duration{30*time.Second - 1, 30 * time.Second} {
				r.now = now
				g, err := x.acquireLease("a")
				So(err, ShouldBeNil)
				So(x.Start(newOrder(g, "t", 2+i, "")), ShouldBeNil)
				So(r.ledger.Violations().DuplicateTasks, ShouldEqual, 1)
				_, err = x.Control(fleet.Control{Fence: g, Task: "t", Attempt: 2 + i, Action: fleet.ActionStop})
				So(err, ShouldBeNil)
			}
		})
		Convey("usage is reported with its lag", func() {
			r.now = 6*time.Second - 1
			s, _ := r.Status()
			So(s.Usage, ShouldBeEmpty)
			r.now = 6*time.Second + 1
			s, _ = r.Status()
			So(s.Usage, ShouldResemble, []fleet.Usage{{
				Class: "batch", Lag: 4*time.Second + 1, Window: 2 * time.Second, Used: fleet.Size{Cores: 2000, Memory: 1000},
			}})
		})
		Convey("it slows down calls, whose answers last until a restart", func() {
			So(r.StartCall(fleet.Call{Fence: f, Request: "q", Attempt: 1, Body: []byte(`{"run_ms":5}`)}), ShouldBeNil)
			r.now = 10*time.Millisecond - 1
			s, _ := r.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallRunning)
			r.now++
			s, _ = r.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallDone)
			So(s.Answer.Took, ShouldEqual, 10*time.Millisecond)
			r.Restart()
			s, _ = r.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallNotStarted)
		})
	})
}

// TestNeverBeyondCapacity guards against a worker that exceeds its capacity or slots, or that runs an attempt or a call
// twice, for random sequences of messages.
func TestNeverBeyondCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestWorker()
		var f fleet.Fence
		last := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			task := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "task"))
			attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				if g, err := r.acquireLease(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")); err == nil {
					f = g
				}
			case 2, 3:
				before := r.ledger.Violations().Overload
				err := r.Start(newOrder(f, task, attempt, `{"run_ms":3000}`))
				if err == nil && attempt < last[task] {
					t.Fatalf("attempt %d of %s after %d", attempt, task, last[task])
				}
				if err == nil {
					last[task] = attempt
				}
				if r.ledger.Violations().Overload > before && !errors.Is(err, fleet.ErrRefused) {
					t.Fatalf("overload was not refused: %v", err)
				}
			case 4:
				_ = r.StartCall(fleet.Call{Fence: f, Request: task, Attempt: attempt})
			case 5:
				_, _ = r.Control(fleet.Control{Fence: f, Task: task, Attempt: attempt, Action: fleet.ActionStop})
			case 6:
				_ = r.Forget(f, []fleet.TaskRef{{ID: task, Attempt: attempt}})
			case 7:
				r.now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond
			}
			s, err := r.Status()
			if err != nil {
				t.Fatal(err)
			}
			var used fleet.Size
			for _, task := range s.Tasks {
				if task.State == fleet.TaskRunning {
					used = used.Add(task.Size)
				}
			}
			if !used.Fits(s.Capacity) || len(s.Calls) > s.Slots {
				t.Fatalf("worker runs %+v and %d calls", used, len(s.Calls))
			}
			if v := r.ledger.Violations(); v.DuplicateTasks != 0 || v.DuplicateCalls != 0 {
				t.Fatalf("%+v", v)
			}
		}
	})
}
