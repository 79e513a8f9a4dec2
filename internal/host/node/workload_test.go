package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// workload sends random requests, jobs and changes, and keeps the replies for the checks at the end.
type workload struct {
	platform *testPlatform
	endAt    time.Time

	mu sync.Mutex
	// done and refused hold, by key, the keyed requests whose reply was an answer or not_run. answers holds the body of
	// the answer by key, and jobs the number of tasks by accepted job.
	done    map[string]bool
	refused map[string]outcome.Reply
	answers map[string]string
	jobs    map[string]int
	// takenOutPeriods holds, by zone, the periods in which it was out of service: from the acceptance of the change to
	// the request that brings it back.
	takenOutPeriods map[string][][2]time.Time
	// replyCounts counts the replies by kind of request and outcome.
	replyCounts map[string]int
}

// repeat calls fn in a new goroutine, with a random source of its own, until the end of the workload.
func (w *workload) repeat(wg *sync.WaitGroup, seed uint64, fn func(rng *rand.Rand)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	wg.Go(func() {
		for time.Now().Before(w.endAt) {
			fn(rng)
		}
	})
}

func (w *workload) randomHost(rng *rand.Rand) *testNode {
	hosts := w.platform.liveHosts()
	return hosts[rng.IntN(len(hosts))]
}

func (w *workload) countReply(kind string, r outcome.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replyCounts[kind+" "+string(r.Outcome)]++
}

// sendCheck sends an idempotent request of class check.
func (w *workload) sendCheck(rng *rand.Rand) {
	body, tag := w.platform.newBody(time.Duration(2+rng.IntN(40)) * time.Millisecond)
	n := w.randomHost(rng)
	r := w.platform.request(n, "check", "", body, time.Duration(200+rng.IntN(1500))*time.Millisecond)
	w.countReply("check", r)
	if r.Outcome == outcome.NotRun {
		// A message that was sent may still arrive, and the worker must then refuse it.
		time.AfterFunc(2*time.Second, func() {
			if ran := w.platform.executions(tag); ran > 0 {
				w.platform.t.Errorf("host %s replied not_run (%s: %s) to a check that was executed %d times",
					n.id, r.Reason, r.Message, ran)
			}
		})
	}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
}

// sendQuote sends a keyed request of class quote up to four times, each time to one to three hosts at once. Once the
// key was answered or refused it usually stops, and at times sends the key again, whose answer must then be the same.
func (w *workload) sendQuote(rng *rand.Rand) {
	key := newKey()
	body, _ := w.platform.newBody(time.Duration(2+rng.IntN(80)) * time.Millisecond)
	for try := 0; try < 4; try++ {
		var wg sync.WaitGroup
		for range 1 + rng.IntN(3) {
			n, timeout := w.randomHost(rng), time.Duration(300+rng.IntN(1700))*time.Millisecond
			wg.Go(func() { w.recordReply(key, w.platform.request(n, "quote", key, body, timeout)) })
		}
		wg.Wait()
		w.mu.Lock()
		settled := w.done[key] || w.refused[key].Outcome != ""
		w.mu.Unlock()
		if settled && rng.IntN(4) > 0 {
			return
		}
	}
}

// recordReply records the reply to a keyed request. It fails the test if two answers to one key differ.
func (w *workload) recordReply(key string, r outcome.Reply) {
	w.countReply("quote", r)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.Outcome {
	case outcome.Done:
		if before, ok := w.answers[key]; ok && before != string(r.Body) {
			w.platform.t.Errorf("key %s was answered with different bodies: %s and %s", key, before, r.Body)
		}
		w.done[key], w.answers[key] = true, string(r.Body)
	case outcome.NotRun:
		w.refused[key] = r
	}
}

// submitJob submits a job to random hosts until one accepts it or the workload ends, and cancels one job in four.
func (w *workload) submitJob(rng *rand.Rand) {
	id, count := newKey(), 1+rng.IntN(4)
	run := time.Duration(50+rng.IntN(900)) * time.Millisecond
	for time.Now().Before(w.endAt) {
		r := w.platform.submit(w.randomHost(rng), id, count, run, time.Duration(500+rng.IntN(1500))*time.Millisecond)
		w.countReply("job", r)
		if r.Outcome == outcome.Done {
			w.mu.Lock()
			w.jobs[id] = count
			w.mu.Unlock()
			break
		}
	}
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	if rng.IntN(4) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		w.countReply("cancel", w.randomHost(rng).Cancel(ctx, id))
	}
}

// changeAsOperator changes a class, or takes zone b or c out of service and brings it back.
func (w *workload) changeAsOperator(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	if rng.IntN(3) > 0 {
		n := w.randomHost(rng)
		n.config.mu.Lock()
		c, base, ok := n.config.state.Class("check")
		n.config.mu.Unlock()
		if ok {
			c.Target.P99Latency = time.Duration(500+rng.IntN(1000)) * time.Millisecond
			w.writeChange(n, config.RecordClass, config.ClassUpdate{BaseVersion: base, Class: c})
		}
		return
	}
	zone := string(rune('b' + rng.IntN(2)))
	if w.setTakenOut(rng, zone, true) {
		from := time.Now()
		time.Sleep(time.Duration(500+rng.IntN(7500)) * time.Millisecond)
		w.mu.Lock()
		w.takenOutPeriods[zone] = append(w.takenOutPeriods[zone], [2]time.Time{from, time.Now()})
		w.mu.Unlock()
	}
	for !w.setTakenOut(rng, zone, false) {
		time.Sleep(50 * time.Millisecond)
	}
}

// setTakenOut takes a zone out of service or brings it back through a random host. It reports whether the change was
// certainly accepted.
func (w *workload) setTakenOut(rng *rand.Rand, zone string, takenOut bool) bool {
	n := w.randomHost(rng)
	n.config.mu.Lock()
	_, base, _ := n.config.state.Zone(zone)
	n.config.mu.Unlock()
	return w.writeChange(n, config.RecordZone, config.ZoneUpdate{
		BaseVersion: base, Name: zone, Region: "north", TakenOut: takenOut,
	})
}

// writeChange writes a change of the configuration. It reports whether the change was certainly accepted.
func (w *workload) writeChange(n *testNode, kind record.Kind, msg any) bool {
	item, err := record.EncodeItem(kind, msg)
	if err != nil {
		w.platform.t.Error(err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = n.Change(ctx, item)
	return err == nil
}

// watchVersions fails the test if the version of the configuration decreases at a host, until stop is closed.
func (w *workload) watchVersions(stop <-chan struct{}) {
	seen := map[*testNode]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, n := range w.platform.liveHosts() {
			v := n.configVersion()
			if v < seen[n] {
				w.platform.t.Errorf("host %s went back from configuration version %d to %d", n.id, seen[n], v)
			}
			seen[n] = v
		}
	}
}

func (n *testNode) configVersion() uint64 {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	return n.config.state.Version()
}

// runRandomFaults runs the workload under random faults that the seed selects, and checks the guarantees at the end.
func runRandomFaults(t *testing.T, seed uint64, length time.Duration) {
	p := newTestPlatform(t, 3, 2)
	p.log.SetFaults(standinlog.Faults{MaxRecords: retainedRecords})
	first := make([]*testNode, 0, 6)
	for _, z := range []string{"a", "b", "c"} {
		first = append(first, p.start(z+"-1", z), p.start(z+"-2", z))
	}
	p.declareClasses(first...)
	now := time.Now()
	s := &faultSchedule{platform: p, rng: rand.New(rand.NewPCG(seed, 1)), startedAt: now}
	w := &workload{
		platform: p, endAt: now.Add(length), done: map[string]bool{}, refused: map[string]outcome.Reply{},
		answers: map[string]string{},
		jobs:    map[string]int{}, takenOutPeriods: map[string][][2]time.Time{}, replyCounts: map[string]int{},
	}
	var wg sync.WaitGroup
	for i := range uint64(3) {
		w.repeat(&wg, seed+100+i, w.sendCheck)
		w.repeat(&wg, seed+200+i, w.sendQuote)
		w.repeat(&wg, seed+300+i, w.submitJob)
	}
	// Only one goroutine takes zones out of service, so that two zones are never out at once.
	w.repeat(&wg, seed+400, w.changeAsOperator)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { w.watchVersions(stop) })
	s.run(w.endAt)
	wg.Wait()
	w.awaitConvergence()
	close(stop)
	watch.Wait()
	w.checkResults()
	t.Logf("seed %s: %d jobs, %d keys, replies %v",
		strconv.FormatUint(seed, 10), len(w.jobs), len(w.done), w.replyCounts)
	if t.Failed() {
		for _, e := range s.events {
			t.Log(e)
		}
	}
}
