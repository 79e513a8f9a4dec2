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
			p.Update(now, StartMsg{Worker: "w", Task: task, Class: "plan", Attempt: 1, Declared: fleet.Size{Cores: used, Memory: 1024}})
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
	l := p.LocalEstimates(now)
	q := newUntrainedPolicy(now, "b")
	other := l
	other.Slowdown = []int16{100}
	q.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: other})
	q.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: l})
	once, known := q.Slowdown("price", "plan")
	if !known || once < 0.3 || once > 0.4 {
		t.Fatalf("slowdown %.3f, known %v after messages of 0.100 and %.3f", once, known, float64(l.Slowdown[0])/1000)
	}
	old := l
	old.At, old.Slowdown = l.At.Add(-time.Second), []int16{900}
	own := l
	own.Slowdown = []int16{900}
	for range 5 {
		q.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: l})
		q.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: old})
		q.Update(now, RemoteEstimatesMsg{Host: "b", Estimates: own})
	}
	if k, _ := q.Slowdown("price", "plan"); k != once {
		t.Fatalf("slowdown %.3f after repeated messages, %.3f before", k, once)
	}
}

// If a host forwarded estimates of others, they would return to their source as if they came from another host.
func TestRemoteEstimatesAreNotForwarded(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	q := newUntrainedPolicy(now, "b")
	q.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: p.LocalEstimates(now)})
	if got := q.LocalEstimates(now); len(got.Batch) != 0 || len(got.Slowdown) != 0 {
		t.Fatalf("a host without workers exports %+v", got)
	}
	before := p.LocalEstimates(now)
	other := before
	other.Slowdown, other.Cores.Mean = []int16{100}, []int16{3000}
	p.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: other})
	if after := p.LocalEstimates(now); !reflect.DeepEqual(before, after) {
		t.Fatalf("export changed by an import: %+v, before %+v", after, before)
	}
}

// If the estimates of a host that is gone were kept, they would stay in force although the classes change.
func TestRemoteEstimatesExpire(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	l := p.LocalEstimates(now)
	q := newUntrainedPolicy(now, "b")
	q.Update(now, RemoteEstimatesMsg{Host: "a", Estimates: l})
	size := q.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024})
	q.Tick(now.Add(10*time.Minute - time.Second))
	if _, known := q.Slowdown("price", "plan"); !known {
		t.Fatal("the estimates were dropped before 10 minutes")
	}
	q.Tick(now.Add(10 * time.Minute))
	if k, known := q.Slowdown("price", "plan"); known || k != priorSlowdown {
		t.Fatalf("slowdown %.3f, known %v after 10 minutes", k, known)
	}
	if again := q.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024}); again == size {
		t.Fatalf("size %+v is still planned with the estimates of the host", again)
	}
	// A late copy of the old message carries no new estimates.
	q.Update(now.Add(10*time.Minute), RemoteEstimatesMsg{Host: "a", Estimates: l})
	if _, known := q.Slowdown("price", "plan"); known {
		t.Fatal("a message 10 minutes old was accepted")
	}
}

// Entry hosts exchange these messages over a narrow link between regions.
func TestEstimatesMessageIsSmall(t *testing.T) {
	l := Estimates{At: epoch}
	for i := range 20 {
		l.Batch = append(l.Batch, fmt.Sprintf("batch-class-%02d", i))
		for _, r := range []*Ratios{&l.Cores, &l.Memory} {
			r.Mean, r.Deviation, r.Count = append(r.Mean, 8000), append(r.Deviation, 900), append(r.Count, 20)
		}
	}
	for u := range 8 {
		l.Urgent = append(l.Urgent, fmt.Sprintf("urgent-class-%02d", u))
		for range 20 {
			l.Slowdown, l.StdDev = append(l.Slowdown, 812), append(l.StdDev, 95)
		}
	}
	b, err := msgpack.Marshal(RemoteEstimatesMsg{Host: "entry-host-almaty-a-1", Estimates: l})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 2048 {
		t.Fatalf("%d bytes", len(b))
	}
	var back RemoteEstimatesMsg
	if err := msgpack.Unmarshal(b, &back); err != nil || !back.isValid() || back.Slowdown[159] != 812 {
		t.Fatalf("decoded %+v: %v", back, err)
	}
}

// A malformed message from another host must not stop the scheduler.
func TestMalformedEstimatesAreIgnored(t *testing.T) {
	p, now := newTrainedPolicy(0.6)
	want, _ := p.Slowdown("price", "plan")
	l := p.LocalEstimates(now)
	l.Slowdown = nil
	p.Update(now, RemoteEstimatesMsg{Host: "c", Estimates: l})
	if k, _ := p.Slowdown("price", "plan"); k != want {
		t.Fatalf("slowdown %.3f after a malformed message, %.3f before", k, want)
	}
}
