package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// newTrainedPolicy returns a policy that has learned for one pair that a unit of load prolongs calls by the fraction k.
func newTrainedPolicy(k float64) (*Policy, time.Time) {
	p := New(WithHost("a"))
	p.Update(epoch, ClassMsg{Name: "price", Kind: KindUrgent})
	p.Update(epoch, ClassMsg{Name: "plan", Kind: KindBatch})
	p.Update(epoch, WorkerMsg{Name: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
	now := epoch
	for i := range 80 {
		task := fmt.Sprint("t", i/2)
		used := int64(2000 * (i % 2))
		if used > 0 {
			p.Update(now, StartMsg{
				Worker: "w", Task: task, Class: "plan", Attempt: 1, Declared: fleet.Size{Cores: used, Memory: 1024},
			})
		}
		now = now.Add(10 * time.Second)
		mean := time.Duration(float64(10*time.Millisecond) * (1 + k*float64(used)/8000))
		p.Update(now, UsageMsg{Worker: "w", Usage: []fleet.Usage{
			{Class: "plan", Window: 10 * time.Second, Used: fleet.Size{Cores: used, Memory: used / 2}},
			{Class: "price", Window: 10 * time.Second, Calls: 200, Mean: mean},
		}})
		p.Update(now, EndMsg{Worker: "w", Task: task, Attempt: 1, Outcome: OutcomeDone})
	}
	return p, now
}

// newUntrainedPolicy returns a policy of the host that knows the classes but has learned nothing.
func newUntrainedPolicy(now time.Time, host string) *Policy {
	p := New(WithHost(host))
	p.Update(now, ClassMsg{Name: "price", Kind: KindUrgent})
	p.Update(now, ClassMsg{Name: "plan", Kind: KindBatch})
	return p
}

// If a message counted twice, it would outweigh what the host itself and other hosts learned.
func TestRemoteEstimatesCountOncePerHost(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	estimates := p.LocalEstimates(now)
	receiver := newUntrainedPolicy(now, "b")
	other := estimates
	other.Slowdown = []int16{100}
	receiver.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: other})
	receiver.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: estimates})
	once, known := receiver.Slowdown("price", "plan")
	if !known || once < 0.3 || once > 0.4 {
		t.Fatalf("slowdown %.3f, known %v after messages of 0.100 and %.3f, want a known one from 0.3 to 0.4",
			once, known, float64(estimates.Slowdown[0])/1000)
	}
	old := estimates
	old.At, old.Slowdown = estimates.At.Add(-time.Second), []int16{900}
	own := estimates
	own.Slowdown = []int16{900}
	for range 5 {
		receiver.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: estimates})
		receiver.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: old})
		receiver.Update(now, RemoteEstimatesMsg{Host: "b", Estimates: own})
	}
	if k, _ := receiver.Slowdown("price", "plan"); k != once {
		t.Fatalf("slowdown %.3f after repeated, older and own messages, want %.3f as before", k, once)
	}
}

// If a host forwarded estimates of others, they would return to their source as if they came from another host.
func TestRemoteEstimatesAreNotForwarded(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	receiver := newUntrainedPolicy(now, "b")
	receiver.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: p.LocalEstimates(now)})
	if got := receiver.LocalEstimates(now); len(got.Batch) != 0 || len(got.Slowdown) != 0 {
		t.Fatalf("a host without workers sends estimates that it received: %+v", got)
	}
	before := p.LocalEstimates(now)
	other := before
	other.Slowdown, other.Cores.Mean = []int16{100}, []int16{3000}
	p.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: other})
	if after := p.LocalEstimates(now); !reflect.DeepEqual(before, after) {
		t.Fatalf("local estimates are %+v after a message of another host, want %+v as before", after, before)
	}
}

// If the estimates of a host that is gone were kept, they would stay in force although the classes change.
func TestRemoteEstimatesExpire(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	estimates := p.LocalEstimates(now)
	receiver := newUntrainedPolicy(now, "b")
	receiver.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: estimates})
	size := receiver.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024})
	receiver.Tick(now.Add(10*time.Minute - time.Second))
	if _, known := receiver.Slowdown("price", "plan"); !known {
		t.Fatal("the estimates were dropped before 10 minutes")
	}
	receiver.Tick(now.Add(10 * time.Minute))
	if k, known := receiver.Slowdown("price", "plan"); known || k != priorSlowdown {
		t.Fatalf("slowdown %.3f, known %v after 10 minutes without a message, want the prior of an unknown pair", k, known)
	}
	if again := receiver.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024}); again == size {
		t.Fatalf("size %+v is still planned with the estimates dropped after 10 minutes", again)
	}
	// A late copy of the old message carries no new estimates.
	receiver.Update(now.Add(10*time.Minute), RemoteEstimatesMsg{Host: "a", Estimates: estimates})
	if _, known := receiver.Slowdown("price", "plan"); known {
		t.Fatal("a message 10 minutes old was accepted")
	}
}

// Entry hosts exchange these messages over a narrow link between regions.
func TestEstimatesMessageIsSmall(t *testing.T) {
	estimates := Estimates{At: epoch}
	for i := range 20 {
		estimates.Batch = append(estimates.Batch, fmt.Sprintf("batch-class-%02d", i))
		for _, r := range []*Ratios{&estimates.Cores, &estimates.Memory} {
			r.Mean, r.Deviation, r.Count = append(r.Mean, 8000), append(r.Deviation, 900), append(r.Count, 20)
		}
	}
	for u := range 8 {
		estimates.Urgent = append(estimates.Urgent, fmt.Sprintf("urgent-class-%02d", u))
		for range 20 {
			estimates.Slowdown, estimates.StdDev = append(estimates.Slowdown, 812), append(estimates.StdDev, 95)
		}
	}
	b, err := msgpack.Marshal(RemoteEstimatesMsg{Host: "entry-host-almaty-a-1", Estimates: estimates})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 2048 {
		t.Fatalf("the message has %d bytes, want at most 2048", len(b))
	}
	var back RemoteEstimatesMsg
	if err := msgpack.Unmarshal(b, &back); err != nil || !back.isValid() || back.Slowdown[159] != 812 {
		t.Fatalf("decoded message %+v is not valid or differs: %v", back, err)
	}
}

// A malformed message from another host must not stop the scheduler.
func TestMalformedEstimatesAreIgnored(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	want, _ := p.Slowdown("price", "plan")
	estimates := p.LocalEstimates(now)
	estimates.Slowdown = nil
	p.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: estimates})
	if k, _ := p.Slowdown("price", "plan"); k != want {
		t.Fatalf("slowdown %.3f after a malformed message, want %.3f as before", k, want)
	}
}
