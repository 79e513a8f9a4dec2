package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// decisionLoop makes the scheduler's decisions and sends the resulting orders until the term ends.
func (t *term) decisionLoop() {
	timer := time.NewTimer(maxDecisionInterval)
	defer timer.Stop()
	var late lag
	for {
		now := t.host.clock.Now()
		mayOrder := t.maySendOrders(now)
		t.mu.Lock()
		lockedAt := t.host.clock.Now()
		t.scheduler.SetHalted(!mayOrder)
		orders := t.scheduler.Decide(now, time.Unix(0, t.confirmedAt.Load()))
		wantsConfirmation := t.scheduler.WantsConfirmation(now)
		events := t.scheduler.Events()
		interval := maxDecisionInterval
		if d, ok := t.scheduler.UntilWaitEnds(now); ok {
			interval = min(interval, d)
		}
		took := t.host.clock.Now().Sub(lockedAt)
		t.mu.Unlock()
		for _, o := range orders {
			t.dispatchOrder(o)
		}
		t.host.recordEvents(events)
		t.logEvents(events)
		signal(t.wakeWriter)
		if wantsConfirmation {
			signal(t.wakeRenewal)
		}
		pause, pausedAt := decisionPause(took), t.host.clock.Now()
		if !sleep(t.ctx, pause) {
			return
		}
		woken := t.host.clock.Now()
		late.add(pause, woken.Sub(pausedAt))
		if late.isReportDue(woken) {
			t.log.WithFields(logrus.Fields{
				"lag_ms": late.mean.Milliseconds(), "pause_ms": pause.Milliseconds(),
			}).Info("The leader is late")
		}
		timer.Reset(max(time.Millisecond, interval-pause))
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeDecisions:
		case <-timer.C:
		}
	}
}

// decisionPauseFactor times the duration of a decision is the pause after it. The more waits, the longer a decision
// takes. Without a pause in proportion, a leader that is short of processor time would spend all of it on decisions, and
// calls to workers would time out.
const decisionPauseFactor = 2

// decisionPause returns the pause after a decision that took the given time.
func decisionPause(took time.Duration) time.Duration {
	return min(max(minDecisionInterval, decisionPauseFactor*took), maxDecisionInterval)
}

// senderIdleTimeout is how long a goroutine that has sent an order waits for the next one.
const senderIdleTimeout = time.Second

// dispatchOrder sends an order in the background, in an idle sender if there is one. Senders are kept for a while, since
// the stack of a new goroutine has to grow for each order.
func (t *term) dispatchOrder(o dispatch.Order) {
	select {
	case t.idleSenders <- o:
		return
	default:
	}
	go func() {
		timer := time.NewTimer(senderIdleTimeout)
		defer timer.Stop()
		for {
			t.sendOrder(o)
			timer.Reset(senderIdleTimeout)
			select {
			case o = <-t.idleSenders:
			case <-timer.C:
				return
			}
		}
	}()
}

// permit reports whether this leader may send an order at this moment.
func (t *term) permit() bool { return t.maySendOrders(t.host.clock.Now()) }

// sendOrder sends one order and passes the answer to the scheduler.
func (t *term) sendOrder(o dispatch.Order) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	if o.Kind == dispatch.OrderAdvise {
		t.requestAdvice(o)
		return
	}
	start := t.host.clock.Now()
	a, clock, err := t.host.workers.SendOrder(ctx, o, t.permit)
	if err != nil && t.ctx.Err() == nil {
		t.log.WithError(err).WithFields(logrus.Fields{
			"task": o.Task, "run": o.Run, "worker": o.Worker,
		}).Debug("Order to a worker failed")
	}
	if a == dispatch.AnswerFenced {
		signal(t.wakeWriter)
		signal(t.wakeRenewal)
	}
	now := t.host.clock.Now()
	t.host.recorder.RecordOrder(o.Kind.String(), a.String(), now.Sub(start))
	t.mu.Lock()
	switch o.Kind {
	case dispatch.OrderStart:
		t.scheduler.HandleStartAnswer(now, o, a, clock)
		t.cancelFormerRenewal(o.Worker)
	case dispatch.OrderStop:
		t.scheduler.HandleStopAnswer(now, o, a, clock)
	case dispatch.OrderPace:
		t.scheduler.HandlePaceAnswer(now, o, a, clock)
	}
	t.mu.Unlock()
	if a != dispatch.AnswerDone {
		signal(t.wakeDecisions)
	}
}

// requestAdvice asks the adviser which workers may run a stage and passes the answer to the scheduler.
func (t *term) requestAdvice(o dispatch.Order) {
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	askedAt := t.host.clock.Now()
	var tickets []dispatch.AdviceTicket
	var validity time.Duration
	err := errors.New("entry: there is no adviser")
	if t.host.adviser != nil {
		tickets, validity, err = t.host.adviser.Advise(ctx, o.Stage, o.Candidates)
	}
	if err != nil {
		t.log.WithError(err).WithField("step", o.Stage).Warn("Request for advice failed")
	}
	now := t.host.clock.Now()
	t.mu.Lock()
	t.scheduler.HandleAdvice(now, askedAt, o, tickets, validity, err == nil)
	t.mu.Unlock()
	signal(t.wakeDecisions)
}

// followWorkers keeps the list of workers up to date until the term ends.
func (t *term) followWorkers(from int64) {
	failing := false
	for sleep(t.ctx, workerListInterval) {
		list, err := t.readWorkers(from)
		if err != nil {
			t.mu.Lock()
			t.scheduler.RecordListFailure()
			t.mu.Unlock()
			if !failing && t.ctx.Err() == nil {
				failing = true
				t.log.WithError(err).Warn("Can't read the list of workers; keeping the last one that was read")
			}
			continue
		}
		if failing {
			failing = false
			t.log.Info("The list of workers can be read again")
		}
		from = list.NextOffset
		t.logInvalidEntries(list.WorkerChanges)
		t.mu.Lock()
		t.applyWorkerList(t.host.clock.Now(), list)
		t.mu.Unlock()
		if list.hasChanges() {
			signal(t.wakeDecisions)
		}
	}
}

// hasChanges reports whether the read may have shown anything new.
func (l *workerListRead) hasChanges() bool {
	return len(l.Listed) > 0 || len(l.Removed) > 0 || l.Complete
}

// applyWorkerList passes what a read of the list of workers has shown to the scheduler. t.mu must be held.
func (t *term) applyWorkerList(now time.Time, list workerListRead) {
	if list.hasChanges() {
		t.applyWorkerChanges(now, list.WorkerChanges)
	}
	t.scheduler.RecordListRead(list.askedAt, list.answeredAt)
}

// applyWorkerChanges passes the changes to the scheduler and starts the lease loops of new workers. t.mu must be held.
func (t *term) applyWorkerChanges(now time.Time, changes WorkerChanges) {
	present := map[string]struct{}{}
	for _, r := range changes.Listed {
		t.scheduler.SetWorker(now, r)
		t.cancelFormerRenewal(r.ID)
		present[r.ID] = struct{}{}
	}
	for _, id := range changes.Invalid {
		present[id] = struct{}{}
	}
	removed := changes.Removed
	if changes.Complete {
		for _, id := range t.scheduler.ListedWorkerIDs() {
			if _, ok := present[id]; !ok {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		t.scheduler.DropWorker(now, id)
	}
	for _, id := range t.scheduler.WorkerIDs() {
		if _, ok := t.leaseLoops[id]; !ok {
			t.leaseLoops[id] = struct{}{}
			t.run(func() { t.leaseLoop(id) })
		}
	}
}

// logInvalidEntries logs the entries of workers that could not be decoded.
func (t *term) logInvalidEntries(changes WorkerChanges) {
	for _, recordErr := range changes.Errors {
		t.log.WithError(recordErr).Warn("Ignored an invalid entry of a worker")
	}
}

// leaseLoop renews the leases of a worker and follows its runs for as long as the scheduler knows the worker.
func (t *term) leaseLoop(id string) {
	address := ""
	for t.ctx.Err() == nil {
		now := t.host.clock.Now()
		t.mu.Lock()
		plan, ok := t.scheduler.PlanRenewal(now, id)
		if !ok {
			delete(t.leaseLoops, id)
		}
		t.mu.Unlock()
		if !ok {
			if address != "" {
				t.host.workers.CloseConnections(address)
			}
			return
		}
		address = plan.Address
		if !t.maySendOrders(now) {
			sleep(t.ctx, leaseRenewalRetryInterval)
			continue
		}
		t.renewLeasesOnce(plan)
	}
}

// cancelFormerRenewal cancels the lease renewal in progress of a worker that has restarted. It may wait for an answer of the
// former boot until it times out, and the next one shows what the present boot runs. t.mu must be held.
func (t *term) cancelFormerRenewal(id string) {
	if cancel := t.renewals[id]; cancel != nil && t.scheduler.IsBootUnknown(id) {
		cancel()
	}
}

// renewLeasesOnce sends one lease renewal and waits until the ends of runs in its report are durable.
func (t *term) renewLeasesOnce(plan dispatch.LeaseRenewal) {
	ctx, cancel := context.WithTimeout(t.ctx, plan.Wait+leaseRenewalMargin)
	if plan.Boot != 0 {
		t.mu.Lock()
		t.renewals[plan.Worker] = cancel
		t.mu.Unlock()
	}
	report, err := t.host.workers.RenewLeases(ctx, plan, t.permit)
	cancel()
	now := t.host.clock.Now()
	t.mu.Lock()
	delete(t.renewals, plan.Worker)
	if err != nil {
		if t.host.cfg.IsWorkerRestart != nil && t.host.cfg.IsWorkerRestart(err) {
			t.scheduler.HandleRenewalRestart(plan.Worker)
		} else {
			t.scheduler.HandleRenewalFailure(now, plan.Worker)
		}
	} else {
		t.scheduler.HandleReport(now, report)
	}
	batch := t.scheduler.OpenBatch()
	t.mu.Unlock()
	if err != nil {
		if t.ctx.Err() == nil {
			t.log.WithError(err).WithField("worker", plan.Worker).Debug("Lease renewal failed; trying again")
		}
		sleep(t.ctx, leaseRenewalRetryInterval)
		return
	}
	t.wakeLoops()
	if len(report.Ended) > 0 {
		// The next lease renewal acknowledges these ends, so it must not be sent before they are durable.
		ctx, cancel := context.WithTimeout(t.ctx, leaseRenewalRetryInterval)
		t.awaitDurable(ctx, batch)
		cancel()
	}
}

// logEvents logs the scheduler's events.
func (t *term) logEvents(events []dispatch.Event) {
	for _, e := range events {
		fields := logrus.Fields{"event": e.Kind}
		if e.Job != "" {
			fields["job"] = e.Job
		}
		if e.Task != "" {
			fields["task"], fields["run"] = e.Task, e.Run
		}
		if e.Worker != "" {
			fields["worker"] = e.Worker
		}
		if e.Reason != "" {
			fields["reason"] = e.Reason
		}
		if e.Age > 0 {
			fields["age_ms"] = e.Age.Milliseconds()
		}
		if e.ConfirmationAge > 0 {
			fields["confirmed_ms"] = e.ConfirmationAge.Milliseconds()
		}
		level := logrus.InfoLevel
		if e.Kind == dispatch.EventDuplicateRun {
			level = logrus.WarnLevel
		}
		t.log.WithFields(fields).Log(level, "Decision")
	}
}
