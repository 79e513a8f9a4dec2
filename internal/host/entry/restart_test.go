package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// restartedWorker is a worker whose connections have not ended with its former boot: renewals that are meant for it get no
// answer.
type restartedWorker struct {
	*fakeWorker
	formerCalls, calls atomic.Int64
}

func (w *restartedWorker) RenewLeases(
	ctx context.Context, r dispatch.LeaseRenewal, _ func() bool,
) (dispatch.Report, error) {
	if r.Boot != 0 {
		w.formerCalls.Add(1)
		<-ctx.Done()
		return dispatch.Report{}, errors.New("no answer")
	}
	w.calls.Add(1)
	return dispatch.Report{Worker: "w", Boot: 2, Clock: 10}, nil
}

// TestRestartIsNoticedAtOnce guards against runs that go on unseen for seconds on a restarted worker, since the renewal that is
// meant for its former boot is waited for.
func TestRestartIsNoticedAtOnce(t *testing.T) {
	Convey("A worker is listed under another boot while a renewal waits for the former one", t, func() {
		logger, _ := test.NewNullLogger()
		w := &restartedWorker{fakeWorker: &fakeWorker{}}
		h := &Host{workers: w, clock: bootclock.Clock{}, cfg: Config{Limits: dispatch.Limits{MaxUnconfirmedTerm: time.Minute}}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		term := &term{
			host: h, ctx: ctx, log: logrus.NewEntry(logger), leaseLoops: map[string]struct{}{"w": {}},
			renewals: map[string]context.CancelFunc{}, batchCommitted: make(chan struct{}),
			wakeDecisions: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), wakeRenewal: make(chan struct{}, 1),
			scheduler: dispatch.New(dispatch.Limits{MaxLease: time.Minute}, 1, 1),
		}
		now := h.clock.Now()
		term.confirmedAt.Store(now.UnixNano())
		registration := dispatch.Registration{ID: "w", Boot: 1, Service: "svc", Address: "w"}
		term.scheduler.SetWorker(now, registration)
		term.scheduler.HandleReport(now, dispatch.Report{Worker: "w", Boot: 1, Clock: 1000})
		go term.leaseLoop("w")
		So(eventually(time.Second, func() bool { return w.formerCalls.Load() == 1 }), ShouldBeTrue)
		registration.Boot = 2
		term.mu.Lock()
		term.applyWorkerChanges(h.clock.Now(), WorkerChanges{Listed: []dispatch.Registration{registration}})
		term.mu.Unlock()
		So(eventually(time.Second, func() bool { return w.calls.Load() > 0 }), ShouldBeTrue)
	})
}
