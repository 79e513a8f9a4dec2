package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// slowLog is a rejectingLog that rejects at once and whose other appends to the state take the given time, in
// nanoseconds.
type slowLog struct {
	rejectingLog
	delay atomic.Int64
}

func (l *slowLog) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	rejected := slices.ContainsFunc(a.Records, func(r ledger.Record) bool { return len(r.Key)+len(r.Value) > l.maxBytes })
	if a.Partition == statePartition && !rejected && !sleep(ctx, time.Duration(l.delay.Load())) {
		return ledger.OffsetRange{}, ctx.Err()
	}
	return l.rejectingLog.Append(ctx, a)
}

// TestAcceptedSubmissionIsInTheLog guards against a submission that is accepted once its batch is durable, although the
// log has not taken the job or another request with its ID has withdrawn it.
func TestAcceptedSubmissionIsInTheLog(t *testing.T) {
	Convey("A host leads, and then an append takes longer than a submission waits", t, func() {
		w := &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		log := &slowLog{rejectingLog: rejectingLog{newMemoryLog(), 1000}}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) && h.Ready() }), ShouldBeTrue)
		submit := func(digit, payload string) Response {
			spec := workflow.Spec{Payload: payload, Steps: []workflow.Step{
				{Tasks: 1, Size: fleet.Size{Cores: 500}, Estimate: time.Second, MaxUnavailable: -1},
			}}
			return sendRequest(h, Request{
				Action: ActionSubmit, Queue: "q", ID: strings.Repeat("0", 15) + digit, Spec: spec,
			})
		}
		So(submit("1", "x").Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		responses := make(chan Response, 2)
		Convey("a job that the log rejects late is not accepted", func() {
			// The append of the first job is in progress while the others are submitted, so that these share a batch.
			log.delay.Store(int64(stuckAppendThreshold * 3 / 4))
			go submit("2", "x")
			time.Sleep(100 * time.Millisecond)
			go func() { responses <- submit("3", "x") }()
			So(submit("4", strings.Repeat("x", 2000)).Outcome, ShouldEqual, dispatch.OutcomeRejected)
			So((<-responses).Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		})
		Convey("a job that one of two requests has withdrawn is accepted by neither", func() {
			log.delay.Store(int64(2 * stuckAppendThreshold))
			go submit("2", "x")
			time.Sleep(100 * time.Millisecond)
			for range 2 {
				go func() { responses <- submit("3", "x") }()
				time.Sleep(stuckAppendThreshold / 2)
			}
			log.delay.Store(0)
			So((<-responses).Outcome, ShouldEqual, dispatch.OutcomeRefused)
			So(eventually(3*time.Second, func() bool {
				return submit("4", "x").Outcome == dispatch.OutcomeAccepted
			}), ShouldBeTrue)
			So((<-responses).Outcome, ShouldEqual, dispatch.OutcomeRefused)
		})
	})
}
