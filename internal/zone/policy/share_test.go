package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// taught returns a policy that learned of one pair that a unit of load prolongs calls by the given share.
func taught(k float64) (*Policy, time.Time) {
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

func pupil(now time.Time, host string) *Policy {
	p := New(WithHost(host))
	p.Update(now, ClassMsg{Name: "price", Kind: KindUrgent})
	p.Update(now, ClassMsg{Name: "plan", Kind: KindBatch})
	return p
}

// A message counted twice would outweigh what the host itself and other hosts learned.
func TestLearnedCountsOncePerHost(t *testing.T) {
	p, now := taught(0.6)
	l := p.Learned(now)
	q := pupil(now, "b")
	other := l
	other.Slow = []int16{100}
	q.Update(now, LearnedMsg{Host: "c", Learned: other})
	q.Update(now, LearnedMsg{Host: "a", Learned: l})
	once, known := q.Slowdown("price", "plan")
	if !known || once < 0.3 || once > 0.4 {
		t.Fatalf("slowdown %.3f, known %v after messages of 0.100 and %.3f", once, known, float64(l.Slow[0])/1000)
	}
	old := l
	old.At, old.Slow = l.At.Add(-time.Second), []int16{900}
	own := l
	own.Slow = []int16{900}
	for range 5 {
		q.Update(now, LearnedMsg{Host: "a", Learned: l})
		q.Update(now, LearnedMsg{Host: "a", Learned: old})
		q.Update(now, LearnedMsg{Host: "b", Learned: own})
	}
	if k, _ := q.Slowdown("price", "plan"); k != once {
		t.Fatalf("slowdown %.3f after repeated messages, %.3f before", k, once)
	}
}

// Imported knowledge sent on would return to its source as if it came from another host.
func TestLearnedDoesNotEcho(t *testing.T) {
	p, now := taught(0.6)
	q := pupil(now, "b")
	q.Update(now, LearnedMsg{Host: "a", Learned: p.Learned(now)})
	if got := q.Learned(now); len(got.Batch) != 0 || len(got.Slow) != 0 {
		t.Fatalf("a host without workers exports %+v", got)
	}
	before := p.Learned(now)
	other := before
	other.Slow, other.Cores.Mean = []int16{100}, []int16{3000}
	p.Update(now, LearnedMsg{Host: "c", Learned: other})
	if after := p.Learned(now); !reflect.DeepEqual(before, after) {
		t.Fatalf("export changed by an import: %+v, before %+v", after, before)
	}
}

// Knowledge of a host that is gone would stay in force although the classes change.
func TestLearnedIsForgotten(t *testing.T) {
	p, now := taught(0.6)
	l := p.Learned(now)
	q := pupil(now, "b")
	q.Update(now, LearnedMsg{Host: "a", Learned: l})
	size := q.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024})
	q.Tick(now.Add(10*time.Minute - time.Second))
	if _, known := q.Slowdown("price", "plan"); !known {
		t.Fatal("the pair was forgotten before 10 minutes")
	}
	q.Tick(now.Add(10 * time.Minute))
	if k, known := q.Slowdown("price", "plan"); known || k != priorK {
		t.Fatalf("slowdown %.3f, known %v after 10 minutes", k, known)
	}
	if again := q.classes["plan"].size.plan(fleet.Size{Cores: 1000, Memory: 1024}); again == size {
		t.Fatalf("size %+v is still planned with knowledge of the host", again)
	}
	// A late copy of the old message is not news of the host.
	q.Update(now.Add(10*time.Minute), LearnedMsg{Host: "a", Learned: l})
	if _, known := q.Slowdown("price", "plan"); known {
		t.Fatal("a message 10 minutes old was taken in")
	}
}

// Entry hosts exchange these messages on a narrow link between regions.
func TestLearnedIsSmall(t *testing.T) {
	l := Learned{At: epoch}
	for i := range 20 {
		l.Batch = append(l.Batch, fmt.Sprintf("batch-class-%02d", i))
		for _, r := range []*Ratios{&l.Cores, &l.Memory} {
			r.Mean, r.Spread, r.Count = append(r.Mean, 8000), append(r.Spread, 900), append(r.Count, 20)
		}
	}
	for u := range 8 {
		l.Urgent = append(l.Urgent, fmt.Sprintf("urgent-class-%02d", u))
		for range 20 {
			l.Slow, l.Error = append(l.Slow, 812), append(l.Error, 95)
		}
	}
	b, err := msgpack.Marshal(LearnedMsg{Host: "entry-host-almaty-a-1", Learned: l})
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 2048 {
		t.Fatalf("%d bytes", len(b))
	}
	var back LearnedMsg
	if err := msgpack.Unmarshal(b, &back); err != nil || !back.valid() || back.Slow[159] != 812 {
		t.Fatalf("decoded %+v: %v", back, err)
	}
}

// A malformed message from another host must not stop the scheduler.
func TestLearnedMalformed(t *testing.T) {
	p, now := taught(0.6)
	want, _ := p.Slowdown("price", "plan")
	l := p.Learned(now)
	l.Slow = nil
	p.Update(now, LearnedMsg{Host: "c", Learned: l})
	if k, _ := p.Slowdown("price", "plan"); k != want {
		t.Fatalf("slowdown %.3f after a malformed message, %.3f before", k, want)
	}
}
