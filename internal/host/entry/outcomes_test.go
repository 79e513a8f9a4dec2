package entry

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// answerRecorder is a Recorder that keeps the answers to callers.
type answerRecorder struct {
	nopRecorder
	answers []string
}

func (r *answerRecorder) RecordAnswer(class, action, outcome, reason string) {
	r.answers = append(r.answers, strings.Join([]string{class, action, outcome, reason}, "|"))
}

// TestAnswersAreCountedByClass guards against answers that count under a queue which a caller has made up, and against a
// reason for an answer that is none of a refusal.
func TestAnswersAreCountedByClass(t *testing.T) {
	Convey("Answers to callers are counted", t, func() {
		r := &answerRecorder{}
		h := &Host{recorder: r}
		submit := Request{Action: ActionSubmit, Queue: "h/p/"}
		h.recordAnswer(submit, unansweredResponse(submit, false))
		h.configuration.manifest = &Manifest{Catalog: dispatch.Catalog{Queues: map[string]dispatch.Queue{
			"h/p/": {Name: "h/p/", Class: "pricing"}, "h/q/": {Name: "h/q/"},
		}}}
		h.recordAnswer(submit, refusedByStore())
		h.recordAnswer(submit, unansweredResponse(submit, true))
		h.recordAnswer(submit, Response{Outcome: dispatch.OutcomeRejected, Reason: "a step of 9 tasks"})
		h.recordAnswer(Request{Action: ActionShow, Queue: "h/q/"}, Response{Outcome: dispatch.OutcomeAccepted})
		h.recordAnswer(Request{Action: ActionShow, Queue: "x"}, Response{Outcome: dispatch.OutcomeUnknownJob, Reason: "x"})
		So(r.answers, ShouldResemble, []string{
			"other|submit|refused|no leader",
			"pricing|submit|refused|the store does not answer",
			"pricing|submit|unknown|",
			"pricing|submit|rejected|rejected",
			"h/q/|show|done|",
			"other|show|unknown job|",
		})
	})
}

// TestOutcomesOutliveTheTerm guards against counters that fall when a host stops leading, which the readers of metrics take for
// a restart, and against a term that is counted twice.
func TestOutcomesOutliveTheTerm(t *testing.T) {
	Convey("A job is done at a leader", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, h.Ready), ShouldBeTrue)
		submit := Request{Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + "1", Spec: workflow.Spec{
			Steps: []workflow.Step{{Tasks: 2, Size: fleet.Size{Cores: 500}, Estimate: time.Second, MaxUnavailable: -1}},
		}}
		So(sendRequest(h, submit).Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		completed := func() uint64 {
			var n uint64
			for _, g := range h.Outcomes().Classes.List {
				n += g.Ends[dispatch.JobCompleted][dispatch.InTime]
			}
			return n
		}
		So(eventually(10*time.Second, func() bool { return completed() == 1 }), ShouldBeTrue)
		Convey("it still counts once when the term ends, and in the next term", func() {
			h.mu.Lock()
			former := h.term
			h.mu.Unlock()
			h.endTerm("test")
			h.outcomes.end(former)
			So(completed(), ShouldEqual, 1)
			So(h.Outcomes().Classes.List[0].Accepted, ShouldEqual, 1)
			h.outcomes.mu.Lock()
			defer h.outcomes.mu.Unlock()
			So(slices.Contains(h.outcomes.terms, former), ShouldBeFalse)
		})
	})
	Convey("A term that has ended before it began is not kept", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var o outcomeTotals
		ended := &term{ctx: ctx, scheduler: dispatch.New(dispatch.Limits{}, 1, 1)}
		cancel()
		o.end(ended)
		o.begin(ended)
		So(o.terms, ShouldBeEmpty)
	})
}
