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

// zoneHosts is the two hosts of a zone, both of which are replaced at once.
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
func (z *zoneHosts) start(l *logservice.Log, generation int) {
	z.tables, z.feeds, z.stopFuncs = nil, nil, nil
	for n := range 2 {
		tb := New()
		f, stop := feed.NewFeed(l, "zone", fmt.Sprint("h", n, "/", generation), tb, feed.WithSnapshots(20),
			feed.WithRandom(func() float64 { return float64(n) / 2 }))
		z.tables, z.feeds, z.stopFuncs = append(z.tables, tb), append(z.feeds, f), append(z.stopFuncs, stop)
	}
	for _, f := range z.feeds {
		<-f.Ready()
	}
}

// stop stops all hosts.
func (z *zoneHosts) stop() {
	for _, stop := range z.stopFuncs {
		stop()
	}
}

// write writes a record, and adds the ID to valid if the record was read back as valid.
func (z *zoneHosts) write(f *feed.Feed, valid map[string]bool, id string, item record.Item) bool {
	r, err := f.Write(z.t.Context(), item)
	ok := err == nil && r.ItemErrors[0] == nil
	if ok && valid != nil {
		z.mu.Lock()
		defer z.mu.Unlock()
		valid[id] = true
	}
	return ok
}

// submitJobs submits jobs and finishes the first task of every third. All writes fail once the feed is closed.
func (z *zoneHosts) submitJobs(f *feed.Feed, firstJob int) {
	for n := range 25 {
		id := jobID(epoch, firstJob+n)
		if !z.write(f, z.accepted, id, must(AcceptItem(newAccept(id, 2)))) || n%3 > 0 {
			continue
		}
		start := Start{Task: id + "/0", Attempt: 1, Worker: "w", Boot: "b", Host: "h"}
		if z.write(f, nil, "", must(StartItem(start))) {
			z.write(f, z.done, start.Task, must(EndItem(End{
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
			hosts := &zoneHosts{t: t, accepted: map[string]bool{}, done: map[string]bool{}}
			for generation := range 6 {
				hosts.start(l, generation)
				var wg sync.WaitGroup
				for n, f := range hosts.feeds {
					wg.Go(func() { hosts.submitJobs(f, 1000*generation+100*n) })
				}
				for range 4 {
					l.SetFaults(logservice.Faults{MaxRecords: 60, LoseResponses: rng.IntN(2) == 0})
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				}
				hosts.stop()
				wg.Wait()
			}
			l.SetFaults(logservice.Faults{MaxRecords: 60})
			hosts.start(l, 6)
			hosts.stop()
			for _, tb := range hosts.tables {
				for id := range hosts.accepted {
					if tb.Job(id) == nil {
						t.Fatalf("seed %d: accepted job %s is lost, %d of %d jobs are known",
							seed, id[30:], tb.Len(), len(hosts.accepted))
					}
				}
				for id := range hosts.done {
					if task := tb.Task(id); task.State() != Done || string(task.Output()) != "out" {
						t.Fatalf("seed %d: task %s is %v, or its output is lost, after its end", seed, id[30:], task.State())
					}
				}
			}
			a, _ := hosts.tables[0].Snapshot()
			b, _ := hosts.tables[1].Snapshot()
			if !bytes.Equal(a, b) || len(hosts.accepted) < 50 || len(hosts.done) < 5 {
				t.Fatalf("seed %d: snapshots of the last hosts differ, or too few records were valid: %d accepted, %d done",
					seed, len(hosts.accepted), len(hosts.done))
			}
			page, err := l.Read(t.Context(), "zone", 1<<40, 1, 0)
			if err != nil || page.First < 60 {
				t.Fatalf("seed %d: too few records were deleted: first offset %d, error %v", seed, page.First, err)
			}
		})
	}
}
