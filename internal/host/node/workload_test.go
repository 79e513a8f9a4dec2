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
	w   *testPlatform
	end time.Time

	mu sync.Mutex
	// done and refused hold the keyed requests by key that were answered or certainly not executed, answers the bodies
	// of the answers, and jobs the number of tasks by accepted job.
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
func (l *workload) repeat(wg *sync.WaitGroup, seed uint64, fn func(rng *rand.Rand)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	wg.Go(func() {
		for time.Now().Before(l.end) {
			fn(rng)
		}
	})
}

func (l *workload) randomHost(rng *rand.Rand) *testNode {
	hosts := l.w.liveHosts()
	return hosts[rng.IntN(len(hosts))]
}

func (l *workload) countReply(kind string, r outcome.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replyCounts[kind+" "+string(r.Outcome)]++
}

// sendCheck sends an idempotent request of class check.
func (l *workload) sendCheck(rng *rand.Rand) {
	body, tag := l.w.newBody(time.Duration(2+rng.IntN(40)) * time.Millisecond)
	n := l.randomHost(rng)
	r := l.w.request(n, "check", "", body, time.Duration(200+rng.IntN(1500))*time.Millisecond)
	l.countReply("check", r)
	if r.Outcome == outcome.NotRun {
		// A message that was sent may still arrive, and must then be refused.
		time.AfterFunc(2*time.Second, func() {
			if ran := l.w.executions(tag); ran > 0 {
				l.w.t.Errorf("host %s replied not_run (%s: %s) to a check that was executed %d times",
					n.id, r.Reason, r.Message, ran)
			}
		})
	}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
}

// sendQuote sends a keyed request of class quote up to four times, each time to one to three hosts at once. Once the key
// was answered or refused it usually stops, and at times sends the key again, whose answer must then be the same.
func (l *workload) sendQuote(rng *rand.Rand) {
	key := newKey()
	body, _ := l.w.newBody(time.Duration(2+rng.IntN(80)) * time.Millisecond)
	for try := 0; try < 4; try++ {
		var wg sync.WaitGroup
		for range 1 + rng.IntN(3) {
			n, limit := l.randomHost(rng), time.Duration(300+rng.IntN(1700))*time.Millisecond
			wg.Go(func() { l.recordReply(key, l.w.request(n, "quote", key, body, limit)) })
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

// recordReply records the reply to a keyed request. It fails the test if two answers to one key differ.
func (l *workload) recordReply(key string, r outcome.Reply) {
	l.countReply("quote", r)
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

// submitJob submits a job to random hosts until one accepts it or the workload ends, and cancels one job in four.
func (l *workload) submitJob(rng *rand.Rand) {
	id, count := newKey(), 1+rng.IntN(4)
	run := time.Duration(50+rng.IntN(900)) * time.Millisecond
	for time.Now().Before(l.end) {
		r := l.w.submit(l.randomHost(rng), id, count, run, time.Duration(500+rng.IntN(1500))*time.Millisecond)
		l.countReply("job", r)
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
		l.countReply("cancel", l.randomHost(rng).Cancel(ctx, id))
	}
}

// changeAsOperator changes a class, or takes zone b or c out of service and brings it back.
func (l *workload) changeAsOperator(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	if rng.IntN(3) > 0 {
		n := l.randomHost(rng)
		n.config.mu.Lock()
		c, base, ok := n.config.state.Class("check")
		n.config.mu.Unlock()
		if ok {
			c.Target.P99Latency = time.Duration(500+rng.IntN(1000)) * time.Millisecond
			l.writeChange(n, config.RecordClass, config.ClassUpdate{BaseVersion: base, Class: c})
		}
		return
	}
	zone := string(rune('b' + rng.IntN(2)))
	if l.setTakenOut(rng, zone, true) {
		from := time.Now()
		time.Sleep(time.Duration(500+rng.IntN(7500)) * time.Millisecond)
		l.mu.Lock()
		l.takenOutPeriods[zone] = append(l.takenOutPeriods[zone], [2]time.Time{from, time.Now()})
		l.mu.Unlock()
	}
	for !l.setTakenOut(rng, zone, false) {
		time.Sleep(50 * time.Millisecond)
	}
}

func (l *workload) setTakenOut(rng *rand.Rand, zone string, out bool) bool {
	n := l.randomHost(rng)
	n.config.mu.Lock()
	_, base, _ := n.config.state.Zone(zone)
	n.config.mu.Unlock()
	return l.writeChange(n, config.RecordZone, config.ZoneUpdate{
		BaseVersion: base, Name: zone, Region: "north", TakenOut: out,
	})
}

// writeChange writes a change of the configuration. It reports whether the change was certainly accepted.
func (l *workload) writeChange(n *testNode, kind record.Kind, msg any) bool {
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

// watchVersions fails the test if the version of the configuration decreases at a host, until stop is closed.
func (l *workload) watchVersions(stop <-chan struct{}) {
	seen := map[*testNode]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, n := range l.w.liveHosts() {
			v := n.configVersion()
			if v < seen[n] {
				l.w.t.Errorf("host %s went back from configuration version %d to %d", n.id, seen[n], v)
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

// runRandomFaults runs the workload under random faults that the seed selects, and checks the promises at the end.
func runRandomFaults(t *testing.T, seed uint64, length time.Duration) {
	w := newTestPlatform(t, 3, 2)
	w.log.SetFaults(standinlog.Faults{MaxRecords: retainedRecords})
	first := make([]*testNode, 0, 6)
	for _, z := range []string{"a", "b", "c"} {
		first = append(first, w.start(z+"-1", z), w.start(z+"-2", z))
	}
	w.declareClasses(first...)
	now := time.Now()
	s := &faultSchedule{w: w, rng: rand.New(rand.NewPCG(seed, 1)), startedAt: now}
	l := &workload{
		w: w, end: now.Add(length), done: map[string]bool{}, refused: map[string]outcome.Reply{},
		answers: map[string]string{},
		jobs:    map[string]int{}, takenOutPeriods: map[string][][2]time.Time{}, replyCounts: map[string]int{},
	}
	var wg sync.WaitGroup
	for i := range uint64(3) {
		l.repeat(&wg, seed+100+i, l.sendCheck)
		l.repeat(&wg, seed+200+i, l.sendQuote)
		l.repeat(&wg, seed+300+i, l.submitJob)
	}
	// Only one goroutine takes zones out of service, so that two zones are never out at once.
	l.repeat(&wg, seed+400, l.changeAsOperator)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { l.watchVersions(stop) })
	s.run(l.end)
	wg.Wait()
	l.awaitConvergence()
	close(stop)
	watch.Wait()
	l.checkResults()
	t.Logf("seed %s: %d jobs, %d keys, replies %v", strconv.FormatUint(seed, 10), len(l.jobs), len(l.done), l.replyCounts)
	if t.Failed() {
		for _, e := range s.events {
			t.Log(e)
		}
	}
}
