package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestRestoreSurvivesMalformedRecords guards against a record of the state that ends each host which becomes the leader:
// specifications and progress that don't fit each other, and bytes that are no record.
func TestRestoreSurvivesMalformedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testLimits(), 2, 2)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{queueName: {Name: queueName, Service: "svc", Attempts: 2}}})
		number := rapid.IntRange(-3, 5)
		spec := workflow.Spec{OccurrenceCount: rapid.IntRange(-1, 3).Draw(t, "occurrences"), Interval: time.Second}
		for range rapid.IntRange(0, 3).Draw(t, "steps") {
			spec.Steps = append(spec.Steps, workflow.Step{
				Tasks: number.Draw(t, "tasks"), Estimate: time.Second, DependsOn: rapid.SliceOfN(number, 0, 2).Draw(t, "after"),
			})
		}
		progress := progressRecord{NextOccurrence: number.Draw(t, "next")}
		for range rapid.IntRange(0, 2).Draw(t, "open") {
			o := occurrenceRecord{Index: number.Draw(t, "index")}
			o.Done = rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 2), 0, 4).Draw(t, "done")
			for range rapid.IntRange(0, 2).Draw(t, "failures") {
				o.Failed = append(o.Failed, [3]int{number.Draw(t, "step"), number.Draw(t, "task"), number.Draw(t, "run")})
			}
			progress.Open = append(progress.Open, o)
		}
		garbage := rapid.SliceOfN(rapid.Byte(), 1, 20)
		records := []Record{
			{Key: prefixJob + jobID(1), Value: encode(&jobRecord{Queue: queueName, Spec: &spec})},
			{Key: prefixProgress + jobID(1), Value: encode(&progress)},
			{Key: prefixJob + jobID(2), Value: encode(&jobRecord{Queue: queueName})},
		}
		suspect := rapid.Custom(func(t *rapid.T) suspectRecord {
			return suspectRecord{
				Occurrence: number.Draw(t, "occurrence"), Step: number.Draw(t, "step"), Task: number.Draw(t, "task"),
				Crashes: make([]loss, rapid.IntRange(0, 2).Draw(t, "crashes")),
				Pending: make([]loss, rapid.IntRange(0, 2).Draw(t, "pending")),
			}
		})
		crashes := crashesRecord{Suspects: rapid.SliceOfN(suspect, 0, 3).Draw(t, "suspects")}
		records = append(records, Record{Key: prefixCrashes + jobID(1), Value: encode(&crashes)})
		prefixes := []string{
			prefixJob, prefixProgress, prefixWorker, prefixStops, prefixLearned, prefixCapacities, prefixQueue, prefixCrashes,
		}
		records = slices.Grow(records, len(prefixes))
		for _, prefix := range prefixes {
			records = append(records, Record{Key: prefix + jobID(3), Value: garbage.Draw(t, "garbage")})
		}
		s.Restore(simEpoch, simEpoch, records, simEpoch)
		s.Decide(simEpoch.Add(time.Minute), simEpoch.Add(time.Minute))
		s.TakeBatch()
	})
}
