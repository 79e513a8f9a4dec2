package dispatch

import (
	"fmt"
	"time"
)

const (
	// waitReportAge is how long a long-running task has waited when its wait is first reported.
	waitReportAge = 3 * time.Second
	// maxWaitReports bounds the waits that are reported in one maintenanceInterval: each takes a look at all workers of
	// a service.
	maxWaitReports = 8
)

// waitReason is the rule because of which a waiting stage started no task in the last decision.
type waitReason string

const (
	waitUnconfirmed   waitReason = "acceptance is not durable"
	waitUnaccounted   waitReason = "workers of an earlier term are unaccounted for"
	waitSmallerFailed waitReason = "no worker has room for a smaller task"
	waitTicket        waitReason = "no ticket"
	waitPause         waitReason = "pause after a failure"
	waitFreeSlots     waitReason = "free room is left to short tasks"
	waitNoWorker      waitReason = "no worker"
)

// reportWaits records an event for each of the long-running tasks that wait longest, with the rule that holds it back.
func (s *Scheduler) reportWaits(now time.Time) {
	left := maxWaitReports
	for _, st := range s.ready {
		if left == 0 {
			return
		}
		t := st.longestWaiting()
		if !st.step().LongRunning || t == nil || now.Sub(t.waitingSince) < waitReportAge {
			continue
		}
		left--
		s.recordEvent(Event{
			Kind: "waiting", Job: st.job().id, Task: t.name, Reason: s.explainWait(now, t), Age: now.Sub(t.waitingSince),
		})
	}
}

// longestWaiting returns the task of the stage that has waited longest, nil if none waits.
func (st *stage) longestWaiting() *task {
	var longest *task
	for _, t := range st.tasks {
		if t.queued && (longest == nil || t.waitingSince.Before(longest.waitingSince)) {
			longest = t
		}
	}
	return longest
}

// explainWait says why a task was not started in the last decision, and how many workers of its service can't take it
// for which reason.
func (s *Scheduler) explainWait(now time.Time, t *task) string {
	var unusable, unhealthy, reserved, full, other, free int
	for _, w := range s.byService[t.job().service] {
		switch {
		case !w.isUsable() || len(w.unknownRuns) > 0:
			unusable++
		case !w.mayStart(now, t):
			unhealthy++
		case w.isReservedFrom(now, t):
			reserved++
		case !w.fits(t.step().Reserved()):
			full++
		case !s.isEligible(now, t, w):
			other++
		default:
			free++
		}
	}
	return fmt.Sprintf("%s; workers: %d free, %d full, %d reserved, %d unhealthy, %d unusable, %d unsuitable",
		t.stage.waitReason, free, full, reserved, unhealthy, unusable, other)
}
