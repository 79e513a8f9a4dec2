package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// decide carries out the scheduler's decisions.
func (t *term) decide() {
	timer := time.NewTimer(decideEvery)
	defer timer.Stop()
	for {
		now := t.h.clock.Now()
		may := t.mayOrder(now)
		t.mu.Lock()
		t.s.SetHalted(!may)
		orders := t.s.Decide(now)
		events := t.s.Events()
		t.mu.Unlock()
		for _, o := range orders {
			go t.order(o)
		}
		t.h.recordEvents(events)
		t.logEvents(events)
		signal(t.write)
		if !pause(t.ctx, decideGap) {
			return
		}
		timer.Reset(decideEvery)
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
	}
}

// order sends one order and hands the answer to the scheduler.
func (t *term) order(o dispatch.Order) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	if o.Kind == dispatch.OrderAdvise {
		t.advise(o)
		return
	}
	begun := t.h.clock.Now()
	var a dispatch.Answer
	var clock int64
	var err error
	if t.mayOrder(t.h.clock.Now()) {
		a, clock, err = t.h.workers.Do(ctx, o)
	} else {
		a, err = dispatch.AnswerLate, errors.New("entry: the term is not confirmed")
	}
	if err != nil && t.ctx.Err() == nil {
		t.log.WithError(err).WithFields(logrus.Fields{"task": o.Task, "run": o.Run, "worker": o.Worker}).Debug("Order failed")
	}
	if a == dispatch.AnswerFenced {
		signal(t.write)
	}
	now := t.h.clock.Now()
	t.h.recorder.Order(o.Kind.String(), a.String(), now.Sub(begun))
	t.mu.Lock()
	switch o.Kind {
	case dispatch.OrderStart:
		t.s.HandleStartAnswer(now, o, a, clock)
	case dispatch.OrderStop:
		t.s.HandleStopAnswer(now, o, a, clock)
	case dispatch.OrderPace:
		t.s.HandlePaceAnswer(now, o, a, clock)
	}
	t.mu.Unlock()
	if a != dispatch.AnswerDone {
		signal(t.wake)
	}
}

// advise asks the adviser which workers may run a stage.
func (t *term) advise(o dispatch.Order) {
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	asked := t.h.clock.Now()
	var permits []dispatch.AdviceTicket
	var validity time.Duration
	err := errors.New("entry: there is no adviser")
	if t.h.adviser != nil {
		permits, validity, err = t.h.adviser.Advise(ctx, o.Step, o.Candidates)
	}
	if err != nil {
		t.log.WithError(err).WithField("step", o.Step).Warn("No advice")
	}
	now := t.h.clock.Now()
	t.mu.Lock()
	t.s.HandleAdvice(now, asked, o, permits, validity, err == nil)
	t.mu.Unlock()
	signal(t.wake)
}

// followWorkers keeps the list of workers up to date.
func (t *term) followWorkers(from int64) {
	lost := false
	for pause(t.ctx, rosterEvery) {
		news, err := t.readWorkers(from)
		if err != nil {
			if !lost && t.ctx.Err() == nil {
				lost = true
				t.log.WithError(err).Warn("Lost the list of workers")
			}
			continue
		}
		if lost {
			lost = false
			t.log.Info("List of workers is back")
		}
		from = news.Next
		if len(news.Listed) == 0 && len(news.Gone) == 0 && !news.Whole {
			continue
		}
		now := t.h.clock.Now()
		t.mu.Lock()
		t.applyWorkers(now, news)
		t.mu.Unlock()
		signal(t.wake)
	}
}

// applyWorkers hands the news to the scheduler and starts the loops of new workers. t.mu is held.
func (t *term) applyWorkers(now time.Time, news WorkerNews) {
	for _, f := range news.Faults {
		t.log.WithError(f).Debug("Left out the entry of a worker")
	}
	listed := map[string]struct{}{}
	for _, r := range news.Listed {
		t.s.SetWorker(now, r)
		listed[r.ID] = struct{}{}
	}
	gone := news.Gone
	if news.Whole {
		for _, id := range t.s.ListedWorkerIDs() {
			if _, ok := listed[id]; !ok {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		t.s.DropWorker(now, id)
	}
	for _, id := range t.s.WorkerIDs() {
		if _, ok := t.loops[id]; !ok {
			t.loops[id] = struct{}{}
			t.run(func() { t.hold(id) })
		}
	}
}

// hold renews the leases of a worker and follows what runs there, for as long as it is known.
func (t *term) hold(id string) {
	address := ""
	for t.ctx.Err() == nil {
		now := t.h.clock.Now()
		t.mu.Lock()
		plan, ok := t.s.PlanHold(now, id)
		if !ok {
			delete(t.loops, id)
		}
		t.mu.Unlock()
		if !ok {
			if address != "" {
				t.h.workers.Forget(address)
			}
			return
		}
		address = plan.Address
		if !t.mayOrder(now) {
			pause(t.ctx, holdPause)
			continue
		}
		t.holdOnce(plan)
	}
}

// holdOnce sends one hold and waits until what it brought is durable.
func (t *term) holdOnce(plan dispatch.Hold) {
	ctx, cancel := context.WithTimeout(t.ctx, plan.Wait+holdMargin)
	rep, err := t.h.workers.Hold(ctx, plan)
	cancel()
	now := t.h.clock.Now()
	t.mu.Lock()
	if err != nil {
		if t.h.cfg.IsRestarted != nil && t.h.cfg.IsRestarted(err) {
			t.s.HoldRestarted(plan.Worker)
		} else {
			t.s.HoldFailed(now, plan.Worker)
		}
	} else {
		t.s.HandleReport(now, rep)
	}
	k := t.s.OpenBatch()
	t.mu.Unlock()
	if err != nil {
		if t.ctx.Err() == nil {
			t.log.WithError(err).WithField("worker", plan.Worker).Debug("Hold failed")
		}
		pause(t.ctx, holdPause)
		return
	}
	t.changed()
	if len(rep.Ended) > 0 {
		// The ends are acknowledged with the next hold, which has to come after they are durable.
		ctx, cancel := context.WithTimeout(t.ctx, holdPause)
		t.await(ctx, k)
		cancel()
	}
}

// logEvents writes the scheduler's decisions.
func (t *term) logEvents(events []dispatch.Event) {
	for _, e := range events {
		f := logrus.Fields{"event": e.Kind}
		if e.Job != "" {
			f["job"] = e.Job
		}
		if e.Task != "" {
			f["task"], f["run"] = e.Task, e.Run
		}
		if e.Worker != "" {
			f["worker"] = e.Worker
		}
		if e.Reason != "" {
			f["reason"] = e.Reason
		}
		if e.Age > 0 {
			f["age_ms"] = e.Age.Milliseconds()
		}
		t.log.WithFields(f).Info("Decision")
	}
}
