package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestJobOfRemovedQueueSurvivesTakeover guards against an accepted job that stands still, or fails at its first failed
// run, because its queue was removed before another host took over.
func TestJobOfRemovedQueueSurvivesTakeover(t *testing.T) {
	Convey("The queue of an accepted job is removed, and another host takes over", t, func() {
		now := simEpoch
		first := newStopScheduler(now, 1)
		first.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		submitStep(first, now, 1, newStep(1, 1000, time.Second))
		log := map[string]Record{}
		commitTo(first, log)
		removed := Catalog{Version: 2, Queues: map[string]Queue{}}
		first.SetCatalog(removed)
		So(startsOf(first, now), ShouldEqual, 1)
		commitTo(first, log)
		s := restoreFrom(now, 2, removed, log)
		name := jobID(1) + ".0.0.0"
		Convey("its task starts again, and fails the job only with the last attempt", func() {
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1100, Ended: []EndReport{
				{Serial: 1, Task: name, Number: 1, Reason: EndFailed},
			}})
			commitTo(s, log)
			So(s.JobStatus(jobID(1)).State, ShouldNotEqual, StateFailed)
			now = now.Add(avoidPeriod + time.Second)
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 4000})
			So(startsOf(s, now), ShouldEqual, 1)
			Convey("also under a third leader", func() {
				s = restoreFrom(now, 3, removed, log)
				s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 4100, Ended: []EndReport{
					{Serial: 2, Task: name, Number: runNumbersPerTerm + 1, Reason: EndFailed},
				}})
				commitTo(s, log)
				So(s.JobStatus(jobID(1)).State, ShouldEqual, StateFailed)
				So(log, ShouldContainKey, prefixQueue+queueName)
				s.Decide(now.Add(2*maintenanceInterval), now.Add(2*maintenanceInterval))
				commitTo(s, log)
				So(log[prefixQueue+queueName].Value, ShouldBeEmpty)
			})
		})
	})
}

// commitTo makes all changes durable in the log, which holds the newest record of each key.
func commitTo(s *Scheduler, log map[string]Record) {
	for _, r := range commitAll(s) {
		log[r.Key] = r
	}
}

// restoreFrom returns a scheduler of the term with the serial that has restored the log, with one listed worker.
func restoreFrom(now time.Time, serial int, c Catalog, log map[string]Record) *Scheduler {
	s := New(testLimits(), int64(serial), serial)
	s.SetCatalog(c)
	s.Restore(now, now, slices.Collect(maps.Values(log)), now)
	resize(s, now, 8000, 8000)
	return s
}
