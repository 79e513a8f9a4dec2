package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// replayVaryingLoad replays long-running tasks whose own load varies within seconds, beside best-effort tasks of which
// some images disturb them. It returns the longest time for which the tail latency was over the target without
// interruption, and the average share of their full speed that the best-effort tasks had.
func replayVaryingLoad(
	seed uint64, coefficients map[string]float64, period, length time.Duration,
) (longest time.Duration, speed float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := simEpoch
	s := New(testLimits(), 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		"serve":       {Name: "serve", Service: "svc", Attempts: 2, Slack: 2},
		"best-effort": {Name: "best-effort", Service: "svc", Attempts: 2, Slack: 2},
	}})
	s.SetWorker(now, Registration{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 32000, Memory: 128000},
	})
	s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
	commit := func() {
		for b, ok := s.TakeBatch(); ok; b, ok = s.TakeBatch() {
			s.MarkCommitted(b)
		}
	}
	commit()
	longRunning := newStep(2, 6000, time.Second)
	longRunning.LongRunning, longRunning.Image, longRunning.TargetLatency = true, "serve", 50*time.Millisecond
	s.Submit(now, Request{
		ID: jobID(1), Queue: "serve", Spec: workflow.Spec{Steps: []workflow.Step{longRunning}}, WallTime: now,
	})
	n := 2
	for image := range coefficients {
		bestEffort := newStep(2, 4000, time.Minute)
		bestEffort.BestEffort, bestEffort.Image = true, image
		s.Submit(now, Request{
			ID: jobID(n), Queue: "best-effort", Spec: workflow.Spec{Steps: []workflow.Step{bestEffort}}, WallTime: now,
		})
		n++
	}
	commit()
	share := map[string]int{}
	executeOrders := func(orders []Order) {
		for _, o := range orders {
			if o.Kind == OrderPace {
				share[o.Task] = o.Pace
				s.HandlePaceAnswer(now, o, AnswerDone, 0)
			} else {
				share[o.Task] = 100
				s.HandleStartAnswer(now, o, AnswerDone, 1000+now.Sub(simEpoch).Milliseconds())
			}
		}
	}
	executeOrders(s.Decide(now, now))
	var over time.Duration
	var sum, count float64
	for at := time.Duration(0); at < length; at += 500 * time.Millisecond {
		now = now.Add(500 * time.Millisecond)
		phase := 2 * 3.14159 * float64(at) / float64(period)
		headroom := 1 - 0.45*(1+0.5*approximateSine(phase))
		var running []RunReport
		for _, r := range s.runsOf(s.workers["w"]) {
			if step := r.task.step(); step.BestEffort {
				use := 4000 * share[r.task.name] / 100
				headroom -= coefficients[step.Image] * float64(use) / 32000
				running = append(running, RunReport{Task: r.task.name, Number: r.number, Progress: 1, Reading: use})
				sum += float64(share[r.task.name]) / 100
				count++
			}
		}
		tail := int(10 / max(0.01, headroom) * (0.95 + 0.1*rng.Float64()))
		for _, r := range s.runsOf(s.workers["w"]) {
			if r.task.step().LongRunning {
				running = append(running, RunReport{Task: r.task.name, Number: r.number, Progress: 100, Reading: tail})
			}
		}
		if headroom < 0.2 {
			over += 500 * time.Millisecond
		} else {
			over = 0
		}
		longest = max(longest, over)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Running: running})
		commit()
		executeOrders(s.Decide(now, now))
	}
	return longest, sum / max(1, count)
}

// approximateSine approximates a sine wave by parabolas, which is exact enough here.
func approximateSine(phase float64) float64 {
	const turn = 2 * 3.14159
	x := phase/turn - float64(int(phase/turn))
	if x < 0.5 {
		return 16 * x * (0.5 - x)
	}
	return -16 * (x - 0.5) * (1 - x)
}

// TestVaryingLoadMeetsTargetBesideBestEffortTasks guards against best-effort tasks that keep long-running ones over
// their latency target while the load of these varies, and against slowing down best-effort tasks that disturb no
// other.
func TestVaryingLoadMeetsTargetBesideBestEffortTasks(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Long-running tasks with a load that varies keep their target, seed %d", seed), t, func() {
			longest, speed := replayVaryingLoad(
				seed, map[string]float64{"hard": 1.2, "soft": 0}, 14*time.Second, time.Minute)
			So(longest, ShouldBeLessThan, testLimits().MaxOverTarget)
			// The image that disturbs no other runs at full speed, the other one while the load is low.
			So(speed, ShouldBeGreaterThan, 0.5)
		})
	}
	Convey("Best-effort tasks that disturb no other are never slowed down", t, func() {
		_, speed := replayVaryingLoad(1, map[string]float64{"soft": 0}, 14*time.Second, time.Minute)
		So(speed, ShouldBeGreaterThan, 0.9)
	})
}

// TestInterferenceIsLearnedPerImagePair checks that the model tells apart which best-effort image disturbs which
// long-running image.
func TestInterferenceIsLearnedPerImagePair(t *testing.T) {
	Convey("From changes between reports the model learns which images disturb which", t, func() {
		m := newInterferenceModel()
		rng := rand.New(rand.NewPCG(4, 4))
		coefficients := map[string]map[string]float64{"a": {"x": 0.9, "y": 0, "z": 0}, "b": {"x": 0, "y": 0.8, "z": 0}}
		for range 400 {
			for _, longRunning := range []string{"a", "b"} {
				use := map[string]float64{}
				pressure := 0.03 * rng.NormFloat64()
				for image, p := range coefficients[longRunning] {
					use[image] = 0.1 * float64(rng.IntN(3)-1)
					pressure += p * use[image]
				}
				m.observe(longRunning, pressure, use)
			}
		}
		for longRunning, row := range coefficients {
			for image, p := range row {
				So(m.coefficient(longRunning, image), ShouldAlmostEqual, p, 0.15)
			}
		}
		Convey("and an image that it has not seen has the prior coefficient", func() {
			So(m.coefficient("a", "new"), ShouldEqual, priorCoefficient)
		})
	})
}

// TestNoisyReadingsAboutTheTarget guards against single readings below the target that hide that a long-running task is
// over it. The task runs beside a best-effort task whose image was learned to be harmless.
func TestNoisyReadingsAboutTheTarget(t *testing.T) {
	Convey("Best-effort tasks are paused in time for a long-running task with readings around its target", t, func() {
		now := simEpoch
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
			"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2},
		}})
		s.SetWorker(now, Registration{
			ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 32000, Memory: 128000},
		})
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		commit := func() {
			for b, ok := s.TakeBatch(); ok; b, ok = s.TakeBatch() {
				s.MarkCommitted(b)
			}
		}
		s.interference.observe("serve", 0, map[string]float64{"best-effort": 0.1})
		s.interference.models["serve"].coefficients[0] = 0
		s.interference.headroom("serve", 20)
		commit()
		longRunning, bestEffort := newStep(1, 6000, time.Second), newStep(1, 4000, time.Minute)
		longRunning.LongRunning, longRunning.Image, longRunning.TargetLatency = true, "serve", 50*time.Millisecond
		bestEffort.BestEffort, bestEffort.Image = true, "best-effort"
		for i, step := range []workflow.Step{longRunning, bestEffort} {
			s.Submit(now, Request{
				ID: jobID(i + 1), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
			})
		}
		commit()
		for range 2 {
			for _, o := range s.Decide(now, now) {
				s.HandleStartAnswer(now, o, AnswerDone, 1000)
			}
			commit()
		}
		share := 100
		for i := 1; share > 0 && now.Sub(simEpoch) < testLimits().MaxOverTarget; i++ {
			now = now.Add(500 * time.Millisecond)
			tail := 60
			if i%2 == 0 {
				tail = 42
			}
			rep := Report{Worker: "w", Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds()}
			for _, r := range s.runsOf(s.workers["w"]) {
				reading := 4000
				if r.task.step().LongRunning {
					reading = tail
				}
				rep.Running = append(rep.Running, RunReport{
					Task: r.task.name, Number: r.number, Progress: 50, Reading: reading,
				})
			}
			s.HandleReport(now, rep)
			for _, o := range s.Decide(now, now) {
				if o.Kind == OrderPace {
					share = o.Pace
					s.HandlePaceAnswer(now, o, AnswerDone, rep.Clock)
				}
			}
		}
		So(share, ShouldEqual, 0)
	})
}
