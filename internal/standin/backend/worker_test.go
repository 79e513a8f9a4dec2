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

// testWorker is a worker whose clock shows now, which the tests set.
type testWorker struct {
	*Worker
	now      time.Duration
	recorder *ExecutionRecorder
}

// newTestWorker returns a worker with its own recorder at time 0.
func newTestWorker() *testWorker {
	w := &testWorker{recorder: NewExecutionRecorder()}
	w.Worker = New(Config{ID: "w", Capacity: fleet.Size{Cores: 4000, Memory: 4000}, Slots: 2,
		SlowdownFactor: func(string, string) float64 { return 3 }}, func() time.Duration { return w.now }, w.recorder)
	return w
}

// acquireLease acquires or renews the lease for the holder and returns the fence of its messages.
func (w *testWorker) acquireLease(holder string) (fleet.Fence, error) {
	s, err := w.Status()
	if err != nil {
		return fleet.Fence{}, err
	}
	s, err = w.Lease(fleet.LeaseRequest{
		Holder: holder, Boot: s.Boot, Until: s.Clock + 6*time.Second, TaskLeasesUntil: s.Clock + 30*time.Second,
	})
	return fleet.Fence{Boot: s.Boot, Grant: s.Grant, Before: s.Clock + time.Second}, err
}

// newStartRequest returns the request to start a task that needs half the cores and a quarter of the memory of a test
// worker.
func newStartRequest(f fleet.Fence, task string, attempt int, body string) fleet.StartRequest {
	return fleet.StartRequest{Fence: f, Task: task, Attempt: attempt, Class: "batch",
		Size: fleet.Size{Cores: 2000, Memory: 1000}, Body: []byte(body)}
}

// TestFencing guards against a stand-in that accepts tasks or calls that a real worker must refuse.
func TestFencing(t *testing.T) {
	Convey("Given a worker whose lease host a holds", t, func() {
		w := newTestWorker()
		f, err := w.acquireLease("a")
		So(err, ShouldBeNil)
		expectRefused := func(f fleet.Fence) {
			So(errors.Is(w.Start(newStartRequest(f, "t", 1, "")), fleet.ErrRefused), ShouldBeTrue)
			So(errors.Is(w.StartCall(fleet.Call{Fence: f, Request: "q"}), fleet.ErrRefused), ShouldBeTrue)
			So(w.recorder.Executions("q"), ShouldEqual, 0)
		}
		Convey("host b can't acquire the lease before it has ended, and then host a is refused", func() {
			w.now = 6*time.Second - 1
			_, err := w.acquireLease("b")
			So(errors.Is(err, fleet.ErrLeaseHeld), ShouldBeTrue)
			w.now++
			g, err := w.acquireLease("b")
			So(err, ShouldBeNil)
			So(g.Grant, ShouldEqual, f.Grant+1)
			f.Before = w.now + time.Second
			expectRefused(f)
		})
		Convey("a late message is refused", func() {
			w.now = f.Before + 1
			expectRefused(f)
		})
		Convey("a message under an expired lease is refused", func() {
			w.now = 7 * time.Second
			f.Before = w.now
			expectRefused(f)
		})
		Convey("a message under a released lease is refused", func() {
			So(w.Release(f), ShouldBeNil)
			expectRefused(f)
		})
		Convey("a leaving worker refuses tasks and calls, but its lease can be renewed", func() {
			w.SetFaults(Faults{Leaving: true})
			expectRefused(f)
			_, err := w.acquireLease("a")
			So(err, ShouldBeNil)
		})
		Convey("a message with the boot ID of before a restart is refused", func() {
			w.Restart()
			expectRefused(f)
			g, err := w.acquireLease("a")
			So(err, ShouldBeNil)
			So(g.Boot, ShouldNotEqual, f.Boot)
			f.Grant = g.Grant
			expectRefused(f)
		})
	})
}

// TestTasks guards against tasks that lose or repeat progress, or continue after their lease has ended; against usage
// reports that appear too early or show other amounts; and against calls that running tasks don't slow down.
func TestTasks(t *testing.T) {
	Convey("Given a task of 10 s", t, func() {
		w := newTestWorker()
		f, err := w.acquireLease("a")
		So(err, ShouldBeNil)
		So(w.Start(newStartRequest(f, "t", 1, `{"run_ms":10000}`)), ShouldBeNil)
		So(w.Start(newStartRequest(f, "t", 1, `{"run_ms":10000}`)), ShouldBeNil)
		taskAt := func(d time.Duration) fleet.Task {
			w.now = d
			s, err := w.Status()
			So(err, ShouldBeNil)
			So(s.Tasks, ShouldHaveLength, 1)
			return s.Tasks[0]
		}
		Convey("it ends after its run time", func() {
			So(taskAt(10*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(taskAt(10*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a throttled task takes longer", func() {
			_, err := w.Control(fleet.Control{Fence: f, Task: "t", Attempt: 1, Action: fleet.ActionThrottle, Share: 50})
			So(err, ShouldBeNil)
			So(taskAt(20*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(taskAt(20*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a stopped task resumes from its checkpoint", func() {
			w.now = 5 * time.Second
			f, _ := w.acquireLease("a")
			stopped, err := w.Control(fleet.Control{Fence: f, Task: "t", Attempt: 1, Action: fleet.ActionStop})
			So(err, ShouldBeNil)
			So(stopped.State, ShouldEqual, fleet.TaskStopped)
			So(w.Forget(f, []fleet.TaskRef{{ID: "t", Attempt: 1}}), ShouldBeNil)
			So(errors.Is(w.Start(newStartRequest(f, "t", 1, "")), ErrForgotten), ShouldBeTrue)
			o := newStartRequest(f, "t", 2, `{"run_ms":10000}`)
			o.Checkpoint = stopped.Checkpoint
			So(w.Start(o), ShouldBeNil)
			So(taskAt(10*time.Second-1).State, ShouldEqual, fleet.TaskRunning)
			So(taskAt(10*time.Second).State, ShouldEqual, fleet.TaskDone)
		})
		Convey("a frozen worker makes no progress and stops the task when its lease has ended meanwhile", func() {
			w.SetFaults(Faults{Freeze: true})
			w.now = 31 * time.Second
			_, err := w.Status()
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			w.SetFaults(Faults{})
			So(taskAt(w.now).State, ShouldEqual, fleet.TaskStopped)
		})
		Convey("another worker that starts it too is a violation until the lease has ended", func() {
			otherWorker := New(Config{ID: "x", Capacity: fleet.Size{Cores: 4000, Memory: 4000}},
				func() time.Duration { return w.now }, w.recorder)
			other := &testWorker{Worker: otherWorker}
			w.SetFaults(Faults{Freeze: true})
			for i, now := range []time.Duration{30*time.Second - 1, 30 * time.Second} {
				w.now = now
				g, err := other.acquireLease("a")
				So(err, ShouldBeNil)
				So(other.Start(newStartRequest(g, "t", 2+i, "")), ShouldBeNil)
				So(w.recorder.Violations().Tasks, ShouldEqual, 1)
				_, err = other.Control(fleet.Control{Fence: g, Task: "t", Attempt: 2 + i, Action: fleet.ActionStop})
				So(err, ShouldBeNil)
			}
		})
		Convey("its usage is reported after the lag", func() {
			w.now = 6*time.Second - 1
			s, _ := w.Status()
			So(s.Usage, ShouldBeEmpty)
			w.now = 6*time.Second + 1
			s, _ = w.Status()
			So(s.Usage, ShouldResemble, []fleet.Usage{{
				Class: "batch", Lag: 4*time.Second + 1, Window: 2 * time.Second, Used: fleet.Size{Cores: 2000, Memory: 1000},
			}})
		})
		Convey("it slows down calls, whose answers are kept until a restart", func() {
			So(w.StartCall(fleet.Call{Fence: f, Request: "q", Attempt: 1, Body: []byte(`{"run_ms":5}`)}), ShouldBeNil)
			w.now = 10*time.Millisecond - 1
			s, _ := w.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallRunning)
			w.now++
			s, _ = w.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallDone)
			So(s.Answer.Took, ShouldEqual, 10*time.Millisecond)
			w.Restart()
			s, _ = w.Lookup("q", 1)
			So(s.State, ShouldEqual, fleet.CallNotStarted)
		})
	})
}

// TestCallLostInRestart guards against a call that is reported as refused although it was started before the worker
// restarted, so that its sender would start it elsewhere.
func TestCallLostInRestart(t *testing.T) {
	Convey("A worker restarts after the start of a call", t, func() {
		w := newTestWorker()
		f, err := w.acquireLease("a")
		So(err, ShouldBeNil)
		m := fleet.Call{Fence: f, Request: "q", Attempt: 1}
		So(w.StartCall(m), ShouldBeNil)
		w.Restart()
		Convey("its sender, who waits for the answer, learns that the call was lost", func() {
			_, err := w.AwaitCall(t.Context(), m)
			So(errors.Is(err, ErrCallLost), ShouldBeTrue)
			So(errors.Is(err, fleet.ErrRefused), ShouldBeFalse)
		})
		Convey("the same call of another sender is refused", func() {
			_, err := w.RunCall(t.Context(), m)
			So(errors.Is(err, fleet.ErrRefused), ShouldBeTrue)
		})
	})
}

// TestNeverBeyondCapacity guards against a worker that exceeds its capacity or slots, or that runs an attempt or a call
// twice, for random sequences of messages.
func TestNeverBeyondCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestWorker()
		var f fleet.Fence
		last := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			task := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "task"))
			attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				if g, err := w.acquireLease(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")); err == nil {
					f = g
				}
			case 2, 3:
				before := w.recorder.Violations().Overload
				err := w.Start(newStartRequest(f, task, attempt, `{"run_ms":3000}`))
				if err == nil && attempt < last[task] {
					t.Fatalf("attempt %d of task %s was started after attempt %d", attempt, task, last[task])
				}
				if err == nil {
					last[task] = attempt
				}
				if w.recorder.Violations().Overload > before && !errors.Is(err, fleet.ErrRefused) {
					t.Fatalf("a start beyond the capacity returned %v, want ErrRefused", err)
				}
			case 4:
				_ = w.StartCall(fleet.Call{Fence: f, Request: task, Attempt: attempt})
			case 5:
				_, _ = w.Control(fleet.Control{Fence: f, Task: task, Attempt: attempt, Action: fleet.ActionStop})
			case 6:
				_ = w.Forget(f, []fleet.TaskRef{{ID: task, Attempt: attempt}})
			case 7:
				w.now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond
			}
			s, err := w.Status()
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
				t.Fatalf("the running tasks, of size %+v, or the %d calls exceed the worker", used, len(s.Calls))
			}
			if v := w.recorder.Violations(); v.Tasks != 0 || v.Calls != 0 {
				t.Fatalf("a task or call was executed twice: %+v", v)
			}
		}
	})
}
