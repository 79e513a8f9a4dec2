package node

import (
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// Guards against accepted work that is not run, and against finished tasks that stay in the lists of their workers.
func TestAcceptedWorkFinishesAndWorkersForgetIt(t *testing.T) {
	p := newTestPlatform(t, 1, 2)
	a := p.start("a-1", "a")
	b := p.start("a-2", "a")
	p.declareClasses(a, b)
	for _, n := range []*testNode{a, b} {
		body, _ := p.newBody(5 * time.Millisecond)
		if r := p.request(n, "check", "", body, 2*time.Second); r.Outcome != outcome.Done {
			t.Fatalf("request of class check did not end with the outcome done: %+v", r)
		}
		if r := p.request(n, "quote", newKey(), body, 3*time.Second); r.Outcome != outcome.Done {
			t.Fatalf("request of class quote did not end with the outcome done: %+v", r)
		}
	}
	id := newKey()
	if r := p.submit(a, id, 6, 200*time.Millisecond, 3*time.Second); r.Outcome != outcome.Done {
		t.Fatalf("job was not accepted: %+v", r)
	}
	p.eventually(10*time.Second, "the job is finished with 6 tasks done", func() bool {
		v, ok := p.show(b, id)
		return ok && v.Finished && v.States["done"] == 6
	})
	p.eventually(6*time.Second, "no worker lists the finished tasks", func() bool {
		for _, b := range p.workers {
			if s, err := b.Status(); err != nil || len(s.Tasks) > 0 {
				return false
			}
		}
		return true
	})
	p.checkNoViolations()
}

// Guards against a planned stop that ends before its releases have reached the workers. Another host could then hold
// the workers only after the leases have expired.
func TestStopReleasesWorkers(t *testing.T) {
	p := newTestPlatform(t, 1, 8)
	a := p.start("a-1", "a")
	p.awaitReady(a)
	p.eventually(10*time.Second, "all workers are held", func() bool {
		for _, b := range p.workers {
			if s, err := b.Status(); err != nil || s.Holder == "" {
				return false
			}
		}
		return true
	})
	if err := a.stop(); err != nil {
		t.Fatal(err)
	}
	for _, b := range p.workers {
		if s, err := b.Status(); err != nil || s.Holder != "" {
			t.Errorf("after the planned stop, worker %s has the holder %q, want none; status error: %v", s.Worker, s.Holder, err)
		}
	}
}
