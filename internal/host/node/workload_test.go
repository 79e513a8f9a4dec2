package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// workload sends random work and keeps what callers were told.
type workload struct {
	w   *testPlatform
	end time.Time

	mu sync.Mutex
	// done and refused have the outcomes of keyed requests by key, jobs the number of tasks of accepted jobs.
	done    map[string]bool
	refused map[string]outcome.Reply
	answers map[string]string
	jobs    map[string]int
	// outs has the times in which a zone was out, from the acceptance of the change to the request to bring it in.
	outs map[string][][2]time.Time
	// outcomes counts the replies.
	outcomes map[string]int
}

// each repeats fn with a random source of its own until the end.
func (l *workload) each(wg *sync.WaitGroup, seed uint64, fn func(rng *rand.Rand)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	wg.Go(func() {
		for time.Now().Before(l.end) {
			fn(rng)
		}
	})
}

func (l *workload) host(rng *rand.Rand) *testNode {
	hosts := l.w.liveHosts()
	return hosts[rng.IntN(len(hosts))]
}

func (l *workload) count(kind string, r outcome.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[kind+" "+string(r.Outcome)]++
}

// check sends an idempotent request.
func (l *workload) check(rng *rand.Rand) {
	body, tag := l.w.newBody(time.Duration(2+rng.IntN(40)) * time.Millisecond)
	n := l.host(rng)
	r := l.w.request(n, "check", "", body, time.Duration(200+rng.IntN(1500))*time.Millisecond)
	l.count("check", r)
	if r.Outcome == outcome.NotRun {
		// A message that is under way may still arrive, and must then be refused.
		time.AfterFunc(2*time.Second, func() {
			if ran := l.w.executions(tag); ran > 0 {
				l.w.t.Errorf("host %s replied not_run (%s: %s) to a check that was executed %d times", n.id, r.Reason, r.Message, ran)
			}
		})
	}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
}

// quote sends a keyed request to several hosts until it is answered.
func (l *workload) quote(rng *rand.Rand) {
	key := newKey()
	body, _ := l.w.newBody(time.Duration(2+rng.IntN(80)) * time.Millisecond)
	for try := 0; try < 4; try++ {
		var wg sync.WaitGroup
		for range 1 + rng.IntN(3) {
			n, limit := l.host(rng), time.Duration(300+rng.IntN(1700))*time.Millisecond
			wg.Go(func() { l.told(key, l.w.request(n, "quote", key, body, limit)) })
		}
		wg.Wait()
		l.mu.Lock()
		settled := l.done[key] || l.refused[key].Outcome != ""
		l.mu.Unlock()
		if settled && rng.IntN(4) > 0 {
			return
		}
	}
}

// told keeps the reply to a keyed request.
func (l *workload) told(key string, r outcome.Reply) {
	l.count("quote", r)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch r.Outcome {
	case outcome.Done:
		if before, ok := l.answers[key]; ok && before != string(r.Body) {
			l.w.t.Errorf("key %s has two answers: %s and %s", key, before, r.Body)
		}
		l.done[key], l.answers[key] = true, string(r.Body)
	case outcome.NotRun:
		l.refused[key] = r
	}
}

// job submits a job, through other hosts until it is accepted, and cancels some.
func (l *workload) job(rng *rand.Rand) {
	id, count := newKey(), 1+rng.IntN(4)
	run := time.Duration(50+rng.IntN(900)) * time.Millisecond
	for time.Now().Before(l.end) {
		r := l.w.submit(l.host(rng), id, count, run, time.Duration(500+rng.IntN(1500))*time.Millisecond)
		l.count("job", r)
		if r.Outcome == outcome.Done {
			l.mu.Lock()
			l.jobs[id] = count
			l.mu.Unlock()
			break
		}
	}
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	if rng.IntN(4) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		l.count("cancel", l.host(rng).Cancel(ctx, id))
	}
}

// operate changes a class or takes a zone out and brings it back in.
func (l *workload) operate(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	if rng.IntN(3) > 0 {
		n := l.host(rng)
		n.config.mu.Lock()
		c, base, ok := n.config.state.Class("check")
		n.config.mu.Unlock()
		if ok {
			c.Target.P99Latency = time.Duration(500+rng.IntN(1000)) * time.Millisecond
			l.change(n, config.RecordClass, config.ClassUpdate{BaseVersion: base, Class: c})
		}
		return
	}
	zone := string(rune('b' + rng.IntN(2)))
	if l.setZone(rng, zone, true) {
		from := time.Now()
		time.Sleep(time.Duration(500+rng.IntN(7500)) * time.Millisecond)
		l.mu.Lock()
		l.outs[zone] = append(l.outs[zone], [2]time.Time{from, time.Now()})
		l.mu.Unlock()
	}
	for !l.setZone(rng, zone, false) {
		time.Sleep(50 * time.Millisecond)
	}
}

func (l *workload) setZone(rng *rand.Rand, zone string, out bool) bool {
	n := l.host(rng)
	n.config.mu.Lock()
	_, base, _ := n.config.state.Zone(zone)
	n.config.mu.Unlock()
	return l.change(n, config.RecordZone, config.ZoneUpdate{BaseVersion: base, Name: zone, Region: "north", TakenOut: out})
}

// change reports whether a change was certainly accepted.
func (l *workload) change(n *testNode, kind record.Kind, msg any) bool {
	item, err := record.EncodeItem(kind, msg)
	if err != nil {
		l.w.t.Error(err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = n.Change(ctx, item)
	return err == nil
}

// watchVersions fails if the version of the configuration decreases at a host.
func (l *workload) watchVersions(stop <-chan struct{}) {
	seen := map[*testNode]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, n := range l.w.liveHosts() {
			v := n.version()
			if v < seen[n] {
				l.w.t.Errorf("host %s went back from configuration %d to %d", n.id, seen[n], v)
			}
			seen[n] = v
		}
	}
}

func (n *testNode) version() uint64 {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	return n.config.state.Version()
}

// randomRun runs the workload under random faults and checks the promises.
func randomRun(t *testing.T, seed uint64, length time.Duration) {
	w := newTestPlatform(t, 3, 2)
	w.log.SetFaults(logservice.Faults{MaxRecords: retained})
	first := make([]*testNode, 0, 6)
	for _, z := range []string{"a", "b", "c"} {
		first = append(first, w.start(z+"-1", z), w.start(z+"-2", z))
	}
	w.declareClasses(first...)
	now := time.Now()
	s := &schedule{w: w, rng: rand.New(rand.NewPCG(seed, 1)), began: now}
	l := &workload{
		w: w, end: now.Add(length), done: map[string]bool{}, refused: map[string]outcome.Reply{}, answers: map[string]string{},
		jobs: map[string]int{}, outs: map[string][][2]time.Time{}, outcomes: map[string]int{},
	}
	var wg sync.WaitGroup
	for i := range uint64(3) {
		l.each(&wg, seed+100+i, l.check)
		l.each(&wg, seed+200+i, l.quote)
		l.each(&wg, seed+300+i, l.job)
	}
	// One goroutine only takes zones out and in, so that two zones are never out at once.
	l.each(&wg, seed+400, l.operate)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { l.watchVersions(stop) })
	s.run(l.end)
	wg.Wait()
	l.awaitConvergence()
	close(stop)
	watch.Wait()
	l.checkResults()
	t.Logf("seed %s: %d jobs, %d keys, replies %v", strconv.FormatUint(seed, 10), len(l.jobs), len(l.done), l.outcomes)
	if t.Failed() {
		for _, e := range s.events {
			t.Log(e)
		}
	}
}
