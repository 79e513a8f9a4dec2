package job

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// zoneHosts holds the hosts of a zone, all of which are replaced at once.
type zoneHosts struct {
	t         *testing.T
	tables    []*Table
	feeds     []*feed.Feed
	stopFuncs []func()
	mu        sync.Mutex
	// accepted and done hold the jobs and tasks whose records were read back as valid.
	accepted, done map[string]bool
}

// start starts two hosts and waits until they have read the log.
func (c *zoneHosts) start(l *logservice.Log, generation int) {
	c.tables, c.feeds, c.stopFuncs = nil, nil, nil
	for n := range 2 {
		tb := New()
		f, stop := feed.NewFeed(l, "zone", fmt.Sprint("h", n, "/", generation), tb, feed.WithSnapshots(20),
			feed.WithRandom(func() float64 { return float64(n) / 2 }))
		c.tables, c.feeds, c.stopFuncs = append(c.tables, tb), append(c.feeds, f), append(c.stopFuncs, stop)
	}
	for _, f := range c.feeds {
		<-f.Ready()
	}
}

// stop stops all hosts.
func (c *zoneHosts) stop() {
	for _, stop := range c.stopFuncs {
		stop()
	}
}

// write writes a record, and adds the id to valid if the record was read back as valid.
func (c *zoneHosts) write(f *feed.Feed, valid map[string]bool, id string, item record.Item) bool {
	r, err := f.Write(c.t.Context(), item)
	ok := err == nil && r.ItemErrors[0] == nil
	if ok && valid != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		valid[id] = true
	}
	return ok
}

// submitJobs submits jobs and finishes the first task of some of them, until the feed is closed.
func (c *zoneHosts) submitJobs(f *feed.Feed, first int) {
	for n := range 25 {
		id := jobID(epoch, first+n)
		if !c.write(f, c.accepted, id, must(AcceptItem(newAccept(id, 2)))) || n%3 > 0 {
			continue
		}
		start := Start{Task: id + "/0", Attempt: 1, Worker: "w", Boot: "b", Host: "h"}
		if c.write(f, nil, "", must(StartItem(start))) {
			c.write(f, c.done, start.Task, must(EndItem(End{
				Task: start.Task, Attempt: 1, Result: ResultDone, Output: []byte("out"),
			})))
		}
	}
}

// TestAllHostsReplaced guards against lost jobs, lost results and tasks that run again when all hosts of a zone are
// replaced at once while the log loses replies and deletes its oldest records.
func TestAllHostsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l := logservice.New(logservice.WithFaults(logservice.Faults{MaxRecords: 60}))
			c := &zoneHosts{t: t, accepted: map[string]bool{}, done: map[string]bool{}}
			for generation := range 6 {
				c.start(l, generation)
				var wg sync.WaitGroup
				for n, f := range c.feeds {
					wg.Go(func() { c.submitJobs(f, 1000*generation+100*n) })
				}
				for range 4 {
					l.SetFaults(logservice.Faults{MaxRecords: 60, LoseResponses: rng.IntN(2) == 0})
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				}
				c.stop()
				wg.Wait()
			}
			l.SetFaults(logservice.Faults{MaxRecords: 60})
			c.start(l, 6)
			c.stop()
			for _, tb := range c.tables {
				for id := range c.accepted {
					if tb.Job(id) == nil {
						t.Fatalf("seed %d: accepted job %s is lost, %d of %d jobs are known", seed, id[30:], tb.Len(), len(c.accepted))
					}
				}
				for id := range c.done {
					if task := tb.Task(id); task.State() != Done || string(task.Output()) != "out" {
						t.Fatalf("seed %d: task %s is %v after its end", seed, id[30:], task.State())
					}
				}
			}
			a, _ := c.tables[0].Snapshot()
			b, _ := c.tables[1].Snapshot()
			if !bytes.Equal(a, b) || len(c.accepted) < 50 || len(c.done) < 5 {
				t.Fatalf("seed %d: the new hosts differ, or too little was tried: %d accepted, %d done",
					seed, len(c.accepted), len(c.done))
			}
			page, err := l.Read(t.Context(), "zone", 1<<40, 1, 0)
			if err != nil || page.First < 60 {
				t.Fatalf("seed %d: no records were deleted: first offset %d, %v", seed, page.First, err)
			}
		})
	}
}
