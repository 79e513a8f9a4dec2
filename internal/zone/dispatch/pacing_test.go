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

// loadReplay replays a load of lasting tasks whose own use swings within seconds, beside tasks that fill and of which
// some images press on them. It returns for how long tails were over their target on end at most, and the share of
// their full speed that the tasks that fill had on average.
func loadReplay(seed uint64, press map[string]float64, period, length time.Duration) (longest time.Duration, speed float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := simEpoch
	s := New(testLimits(), 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		"serve": {Name: "serve", Service: "svc", Attempts: 2, Slack: 2}, "fill": {Name: "fill", Service: "svc", Attempts: 2, Slack: 2},
	}})
	s.SetWorker(now, Registration{ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 32000, Memory: 128000}})
	s.Held(now, Report{Worker: "w", Boot: 1, Clock: 1000})
	commit := func() {
		for b, ok := s.Batch(); ok; b, ok = s.Batch() {
			s.Committed(b)
		}
	}
	commit()
	lasting := step(2, 6000, time.Second)
	lasting.LongRunning, lasting.Image, lasting.TargetLatency = true, "serve", 50*time.Millisecond
	s.Submit(now, Request{ID: jobID(1), Queue: "serve", Spec: workflow.Spec{Steps: []workflow.Step{lasting}}, Wall: now})
	n := 2
	for image := range press {
		fill := step(2, 4000, time.Minute)
		fill.BestEffort, fill.Image = true, image
		s.Submit(now, Request{ID: jobID(n), Queue: "fill", Spec: workflow.Spec{Steps: []workflow.Step{fill}}, Wall: now})
		n++
	}
	commit()
	share := map[string]int{}
	carry := func(orders []Order) {
		for _, o := range orders {
			if o.Kind == OrderPace {
				share[o.Task] = o.Percent
				s.Paced(now, o, AnswerDone, 0)
			} else {
				share[o.Task] = 100
				s.Started(now, o, AnswerDone, 1000+now.Sub(simEpoch).Milliseconds())
			}
		}
	}
	carry(s.Decide(now))
	var over time.Duration
	var sum, count float64
	for at := time.Duration(0); at < length; at += 500 * time.Millisecond {
		now = now.Add(500 * time.Millisecond)
		phase := 2 * 3.14159 * float64(at) / float64(period)
		slack := 1 - 0.45*(1+0.5*sine(phase))
		var rows []RunReport
		for _, r := range s.runsOf(s.workers["w"]) {
			if st := r.task.step(); st.BestEffort {
				use := 4000 * share[r.task.name] / 100
				slack -= press[st.Image] * float64(use) / 32000
				rows = append(rows, RunReport{Task: r.task.name, Number: r.number, Percent: 1, Reading: use})
				sum += float64(share[r.task.name]) / 100
				count++
			}
		}
		tail := int(10 / max(0.01, slack) * (0.95 + 0.1*rng.Float64()))
		for _, r := range s.runsOf(s.workers["w"]) {
			if r.task.step().LongRunning {
				rows = append(rows, RunReport{Task: r.task.name, Number: r.number, Percent: 100, Reading: tail})
			}
		}
		if slack < 0.2 {
			over += 500 * time.Millisecond
		} else {
			over = 0
		}
		longest = max(longest, over)
		s.Held(now, Report{Worker: "w", Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Running: rows})
		commit()
		carry(s.Decide(now))
	}
	return longest, sum / max(1, count)
}

// sine is a parabola that swings like a sine wave; it needs no more than that.
func sine(phase float64) float64 {
	const turn = 2 * 3.14159
	x := phase/turn - float64(int(phase/turn))
	if x < 0.5 {
		return 16 * x * (0.5 - x)
	}
	return -16 * (x - 0.5) * (1 - x)
}

func TestSwingingLoadIsNotHarmedByTasksThatFill(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Lasting tasks whose load swings within 14 s keep their target beside pressing images, seed %d", seed), t, func() {
			longest, speed := loadReplay(seed, map[string]float64{"hard": 1.2, "soft": 0}, 14*time.Second, time.Minute)
			So(longest, ShouldBeLessThan, testLimits().Harm)
			// The image that disturbs nobody runs at its full speed, the other one while the load is low.
			So(speed, ShouldBeGreaterThan, 0.5)
		})
	}
	Convey("Tasks that press on nobody are never slowed down", t, func() {
		_, speed := loadReplay(1, map[string]float64{"soft": 0}, 14*time.Second, time.Minute)
		So(speed, ShouldBeGreaterThan, 0.9)
	})
}

func TestInterferenceTellsPairsApart(t *testing.T) {
	Convey("From changes between reports the model learns which images press on which", t, func() {
		m := newInterference()
		rng := rand.New(rand.NewPCG(4, 4))
		press := map[string]map[string]float64{"a": {"x": 0.9, "y": 0, "z": 0}, "b": {"x": 0, "y": 0.8, "z": 0}}
		for range 400 {
			for _, lasting := range []string{"a", "b"} {
				use := map[string]float64{}
				pressure := 0.03 * rng.NormFloat64()
				for image, p := range press[lasting] {
					use[image] = 0.1 * float64(rng.IntN(3)-1)
					pressure += p * use[image]
				}
				m.observe(lasting, pressure, use)
			}
		}
		for lasting, row := range press {
			for image, p := range row {
				So(m.press(lasting, image), ShouldAlmostEqual, p, 0.15)
			}
		}
		Convey("and an image that it has not seen has the prior", func() {
			So(m.press("a", "new"), ShouldEqual, priorPress)
		})
	})
}

// TestRoughReadings replays readings that swing about the target while the tail is over it, beside a task of an image that
// was learned to be harmless.
func TestRoughReadings(t *testing.T) {
	Convey("A lasting task whose readings swing about its target is relieved in time", t, func() {
		now := simEpoch
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}}})
		s.SetWorker(now, Registration{ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 32000, Memory: 128000}})
		s.Held(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		commit := func() {
			for b, ok := s.Batch(); ok; b, ok = s.Batch() {
				s.Committed(b)
			}
		}
		s.interference.observe("serve", 0, map[string]float64{"fill": 0.1})
		s.interference.models["serve"].weight[0] = 0
		s.interference.slack("serve", 20)
		commit()
		lasting, fill := step(1, 6000, time.Second), step(1, 4000, time.Minute)
		lasting.LongRunning, lasting.Image, lasting.TargetLatency = true, "serve", 50*time.Millisecond
		fill.BestEffort, fill.Image = true, "fill"
		for i, st := range []workflow.Step{lasting, fill} {
			s.Submit(now, Request{ID: jobID(i + 1), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{st}}, Wall: now})
		}
		commit()
		for _, o := range s.Decide(now) {
			s.Started(now, o, AnswerDone, 1000)
		}
		share := 100
		for i := 1; share > 0 && now.Sub(simEpoch) < testLimits().Harm; i++ {
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
				rep.Running = append(rep.Running, RunReport{Task: r.task.name, Number: r.number, Percent: 50, Reading: reading})
			}
			s.Held(now, rep)
			for _, o := range s.Decide(now) {
				if o.Kind == OrderPace {
					share = o.Percent
					s.Paced(now, o, AnswerDone, rep.Clock)
				}
			}
		}
		So(share, ShouldEqual, 0)
	})
}
