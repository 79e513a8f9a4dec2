package platform

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	product "sassafraswind.example/sassafraswind/platform"
)

// fixture is a recorder with two workers and the time.
type fixture struct {
	recorder *recorder
	a, b     *worker
	now      time.Time
}

// newFixture returns a fixture whose workers have a clock that starts at 1 s and room for two tasks of a job that is
// accepted: a first step with a checkpointing task and one with two tasks that depend on it, and a long-running step.
func newFixture() *fixture {
	log, _ := test.NewNullLogger()
	f := &fixture{recorder: newRecorder(log), now: time.Unix(1000, 0)}
	f.recorder.begun = f.now
	f.a, f.b = f.worker("a"), f.worker("b")
	So(f.recorder.submitted("j", Service, []byte(`{"Spec":"s","Steps":[
		{"Count":1,"Cpu":1000,"EstimatedMs":5000,"Checkpointing":true},{"Count":2,"Cpu":1000,"DependsOn":[0],"EstimatedMs":1000},
		{"Count":1,"Cpu":1000,"LongRunning":true}
	]}`)), ShouldBeTrue)
	f.recorder.answered("j", http.StatusOK, f.now)
	return f
}

// worker returns a new worker.
func (f *fixture) worker(id string) *worker {
	w := &worker{
		life: life{id: id, boot: f.now.UnixMilli()}, zone: "z", capacity: fleet.Size{Cores: 2000, Memory: 100},
		recorder: f.recorder, startedAt: f.now, clockStart: 1000, clockRate: 1, runs: map[runKey]*run{},
		closed: map[string]int{}, changed: make(chan struct{}),
	}
	f.recorder.workerUp(w)
	return w
}

// pass lets time pass.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		f.a.advance(f.now)
		f.b.advance(f.now)
		f.recorder.check(f.now)
	}
}

// start sends a start that is valid for 5 s and returns the reason of its refusal.
func (f *fixture) start(w *worker, task string, number int) string {
	_, body := w.start(orderBody{
		Task: task, RunID: number, Spec: "s", UntilMs: w.clock(f.now) + 5000, FencingToken: 1,
	}, f.now)
	return body.Reason
}

// renew renews the lease of a worker by 5 s and acknowledges the ends up to a serial.
func (f *fixture) renew(w *worker, acknowledged int64) workerBody {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extendLease(w.clock(f.now)+5000, f.now)
	w.acknowledge(acknowledged, f.now)
	_, body := w.list(f.now)
	return body
}

// rules returns the broken rules.
func (f *fixture) rules() []Rule {
	violations := f.recorder.report().Violations
	rules := make([]Rule, 0, len(violations))
	for _, v := range violations {
		rules = append(rules, v.Rule)
	}
	return rules
}

// Guards against a worker that accepts orders which the platform's refuse, or keeps runs without a lease.
func TestWorker(t *testing.T) {
	Convey("A worker", t, func() {
		f := newFixture()
		Convey("refuses orders with a lower token, too late ones and those for runs that have ended", func() {
			So(f.start(f.a, "j.0.0.0", 2), ShouldEqual, "")
			So(f.start(f.a, "j.0.0.0", 2), ShouldEqual, "")
			So(f.start(f.a, "j.0.0.0", 1), ShouldEqual, "old")
			_, body := f.a.stop(orderBody{Task: "j.0.0.0", RunID: 2, FencingToken: 2}, f.now)
			So(body.Reason, ShouldEqual, "")
			So(f.start(f.a, "j.0.0.0", 3), ShouldEqual, "fence")
			_, body = f.a.start(orderBody{Task: "j.0.0.0", RunID: 3, UntilMs: 999, FencingToken: 2}, f.now)
			So(body.Reason, ShouldEqual, "late")
			f.pass(time.Second)
			_, body = f.a.start(orderBody{Task: "j.0.0.0", RunID: 2, UntilMs: 1e6, FencingToken: 2}, f.now)
			So(body.Reason, ShouldEqual, "old")
			So(f.rules(), ShouldBeEmpty)
		})
		Convey("kills all runs when the lease lapses on its own clock, and lists the ends until they are acknowledged", func() {
			f.a.clockRate = 0.5
			f.start(f.a, "j.0.2.0", 1)
			f.pass(8 * time.Second)
			So(f.renew(f.a, 0).Running, ShouldHaveLength, 1)
			f.pass(12 * time.Second)
			body := f.renew(f.a, 0)
			So(body.Running, ShouldBeEmpty)
			So(body.Finished, ShouldResemble, [][]any{{int64(1), "j.0.2.0", 1, "lapsed", ""}})
			So(f.renew(f.a, 1).Finished, ShouldBeEmpty)
		})
		Convey("resumes from a checkpoint and refuses none", func() {
			f.start(f.a, "j.0.0.0", 1)
			f.pass(2500 * time.Millisecond)
			saved := f.renew(f.a, 0).Running[0][2].(string)
			So(saved, ShouldNotBeEmpty)
			f.a.leave(f.now)
			_, body := f.b.start(orderBody{Task: "j.0.0.0", RunID: 2, Spec: "s", UntilMs: 1e6, Checkpoint: saved}, f.now)
			So(body.Reason, ShouldEqual, "")
			So(f.b.runs[runKey{"j.0.0.0", 2}].worked, ShouldEqual, checkpointInterval)
			So(f.rules(), ShouldBeEmpty)
		})
	})
}

// Guards against a broken rule that is not reported, and against a report of what the rules allow.
func TestRules(t *testing.T) {
	Convey("The recorder", t, func() {
		f := newFixture()
		Convey("reports a task that runs twice at the same time on workers that are up", func() {
			f.start(f.a, "j.0.0.0", 1)
			f.start(f.b, "j.0.0.0", 2)
			So(f.rules(), ShouldResemble, []Rule{RuleTwice})
		})
		Convey("allows a new run once the worker of the last one has crashed", func() {
			f.start(f.a, "j.0.0.0", 1)
			f.a.leave(f.now)
			f.start(f.b, "j.0.0.0", 2)
			So(f.rules(), ShouldBeEmpty)
		})
		Convey("reports a start after an end as done, acknowledged before it or after", func() {
			f.start(f.a, "j.0.0.0", 1)
			f.pass(4 * time.Second)
			f.renew(f.a, 0)
			f.pass(3 * time.Second)
			So(f.recorder.tasks["j.0.0.0"].done, ShouldBeTrue)
			Convey("before it", func() {
				f.renew(f.a, 1)
				f.start(f.b, "j.0.0.0", 2)
				So(f.rules(), ShouldResemble, []Rule{RuleTwice})
			})
			Convey("after it", func() {
				f.start(f.b, "j.0.0.0", 2)
				So(f.rules(), ShouldBeEmpty)
				f.renew(f.a, 1)
				So(f.rules(), ShouldResemble, []Rule{RuleTwice})
			})
			Convey("but not if the lease lapsed in between", func() {
				f.start(f.b, "j.0.0.0", 2)
				f.pass(10 * time.Second)
				f.renew(f.a, 1)
				So(f.rules(), ShouldNotContain, RuleTwice)
			})
		})
		Convey("reports a start beyond the capacity, of which a run that stops still uses its part", func() {
			f.start(f.a, "j.0.0.0", 1)
			f.start(f.a, "j.0.2.0", 1)
			f.a.stop(orderBody{Task: "j.0.2.0", RunID: 1, FencingToken: 1}, f.now)
			f.recorder.submitted("k", Service, []byte(`{"Spec":"s","Steps":[{"Count":1,"Cpu":1000}]}`))
			f.recorder.answered("k", 0, f.now)
			f.start(f.a, "k.0.0.0", 1)
			So(f.rules(), ShouldResemble, []Rule{RuleLimit})
		})
		Convey("reports a start before the tasks on which it depends are done", func() {
			f.start(f.a, "j.0.1.0", 1)
			So(f.rules(), ShouldResemble, []Rule{RuleOrder})
		})
		Convey("reports starts of what was not sent or was refused, with another payload or another task's checkpoint", func() {
			f.start(f.a, "j.0.0.1", 1)
			f.recorder.submitted("k", Service, []byte(`{"Spec":"s","Steps":[{"Count":1}]}`))
			f.recorder.answered("k", http.StatusServiceUnavailable, f.now)
			f.start(f.a, "k.0.0.0", 1)
			f.a.start(orderBody{Task: "j.0.0.0", RunID: 1, Spec: "x", UntilMs: 5000, FencingToken: 1}, f.now)
			f.b.start(orderBody{
				Task: "j.0.2.0", RunID: 1, Spec: "s", UntilMs: 5000, Checkpoint: encodeCheckpoint("j.0.0.0", time.Second),
			}, f.now)
			So(f.rules(), ShouldResemble, []Rule{RuleUnasked, RuleUnasked, RuleUnasked, RuleUnasked})
		})
		Convey("reports a long-running task without a run, once, if there was room and nothing was disturbed", func() {
			f.pass(restartTime)
			So(f.rules(), ShouldBeEmpty)
			f.pass(5 * time.Second)
			So(f.rules(), ShouldResemble, []Rule{RuleLost})
		})
		Convey("does not report one without room, nor one after a disturbance or a cancellation", func() {
			Convey("without room", func() {
				f.a.leave(f.now)
				f.recorder.workerDraining(f.b.life)
				f.pass(20 * time.Second)
			})
			Convey("after a disturbance", func() {
				f.pass(8 * time.Second)
				f.recorder.setFaulty("store", true, f.now)
				f.pass(10 * time.Second)
				f.recorder.setFaulty("store", false, f.now)
				f.pass(calmTime - time.Second)
			})
			Convey("after a cancellation", func() {
				f.recorder.cancelSent("j")
				f.pass(20 * time.Second)
			})
			So(f.rules(), ShouldBeEmpty)
		})
		Convey("reports a job that is shown as completed too early, and an accepted one that is unknown", func() {
			f.recorder.shown("j", "running", f.now)
			f.recorder.notFound("j", f.now)
			So(f.rules(), ShouldBeEmpty)
			f.now = f.now.Add(visibleTime)
			f.recorder.notFound("j", f.now)
			f.recorder.shown("j", "completed", f.now)
			So(f.rules(), ShouldResemble, []Rule{RuleLost, RuleMixed, RuleMixed, RuleMixed})
		})
	})
}

// Guards against a start whose lost answer undoes it, and an order to another boot that is carried out.
func TestWorkerOverHTTP(t *testing.T) {
	Convey("A worker that is served", t, func() {
		f := newFixture()
		f.a.startedAt = time.Now()
		faults := newFaultTable("workers", 1, f.recorder)
		address, closeServer, err := serve(t.Context(), "127.0.0.1:0", workerHandler(f.a, faults))
		So(err, ShouldBeNil)
		client, closeClient := product.NewWorkers()
		Reset(func() {
			closeClient()
			closeServer()
		})
		order := dispatch.Order{
			Kind: dispatch.OrderStart, Worker: "a", Address: address, Task: "j.0.2.0", Run: 1, Payload: "s", ValidUntil: 6000,
			Token: 1,
		}
		send := func() dispatch.Answer {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			answer, _, _ := client.SendOrder(ctx, order, nil)
			return answer
		}
		Convey("carries out an order whose answer is lost", func() {
			faults.set([]string{"a"}, Faults{Lose: true}, f.now)
			So(send(), ShouldEqual, dispatch.AnswerMissing)
			faults.set(nil, Faults{}, f.now)
			report, err := client.RenewLeases(t.Context(), dispatch.LeaseRenewal{
				Worker: "a", Address: address, LeaseUntil: 6000, Token: 1,
			}, nil)
			So(err, ShouldBeNil)
			So(report.Boot, ShouldEqual, f.a.boot)
			So(report.Running, ShouldHaveLength, 1)
			So(send(), ShouldEqual, dispatch.AnswerDone)
			So(f.recorder.report().Starts, ShouldEqual, 1)
		})
		Convey("refuses an order to another one", func() {
			order.Worker = "b"
			So(send(), ShouldEqual, dispatch.AnswerRestarted)
			So(f.a.runs, ShouldBeEmpty)
		})
	})
}
