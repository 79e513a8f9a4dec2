package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// BenchmarkTakeOver measures the beginning of a term on a large fleet: the state is restored, and all workers are listed
// and answer for the first time.
func BenchmarkTakeOver(b *testing.B) {
	const workers = 890
	records := make([]Record, workers)
	registrations := make([]Registration, workers)
	for i := range workers {
		id := "i-" + strconv.Itoa(i*7919%workers)
		records[i] = Record{Key: prefixWorker + id, Value: encode(&workerRecord{Boot: 1, Service: "svc", Address: id})}
		registrations[i] = Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 32000, Memory: 125000},
		}
	}
	for b.Loop() {
		s := New(testLimits(), 2, 2)
		s.Restore(simEpoch, simEpoch, records, simEpoch)
		for _, r := range registrations {
			s.SetWorker(simEpoch, r)
		}
		for _, r := range registrations {
			s.HandleReport(simEpoch, Report{Worker: r.ID, Boot: 1, Clock: 1000})
		}
	}
}

// TestEndsBeyondTheFirstList guards against a task that a new leader starts again because its end as done was not among
// those that its worker could list in its first report.
func TestEndsBeyondTheFirstList(t *testing.T) {
	Convey("More tasks have ended on a worker than it lists at once when another leader follows", t, func() {
		const tasks = maxListedEnds + 10
		now, log := simEpoch, map[string]Record{}
		s := newBoundedScheduler(2, 0, 0)
		answer(s, now, "w")
		submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{newStep(tasks, 1, time.Second)}})
		commitTo(s, log)
		next := New(testLimits(), 2, 2)
		next.SetCatalog(s.catalog)
		records := make([]Record, 0, len(log))
		for _, r := range log {
			records = append(records, r)
		}
		So(next.Restore(now, now, records, now), ShouldBeEmpty)
		ends := make([]EndReport, tasks)
		for i := range ends {
			ends[i] = EndReport{
				Serial: int64(i + 1), Task: jobID(1) + ".0.0." + strconv.Itoa(i), Number: 1, Reason: EndDone,
			}
		}
		report := func(listed []EndReport) {
			next.SetWorker(now, Registration{
				ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
			})
			next.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000, Ended: listed})
			commitAll(next)
		}
		report(ends[:maxListedEnds])
		So(startsOf(next, now), ShouldEqual, 0)
		Convey("no task starts after the others are listed", func() {
			report(ends[maxListedEnds:])
			So(startsOf(next, now), ShouldEqual, 0)
			So(next.JobStatus(jobID(1)).State, ShouldEqual, StateCompleted)
		})
		Convey("the tasks that have not ended start then", func() {
			report(ends[maxListedEnds : tasks-3])
			So(startsOf(next, now), ShouldEqual, 3)
		})
	})
}
