package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/backend"
)

// fleetLink is the connection of one host to the workers. Addresses are the IDs of workers.
type fleetLink struct{ *link }

// taskStart is the start of a task that a worker carried out.
type taskStart struct {
	worker, task string
	at           time.Time
}

// deliver passes a message to a worker as a network does: a frozen worker handles it later, and the message arrives
// even if its sender has given up.
func deliver[R any](ctx context.Context, l fleetLink, addr string, fn func(w *backend.Worker) (R, error)) (R, error) {
	var zero R
	if err := ctx.Err(); err != nil {
		return zero, errors.Mark(err, fleet.ErrNotSent)
	}
	f, err := l.awaitUnpaused()
	if err != nil || f.CutWorkers {
		return zero, l.awaitCancel(ctx)
	}
	w := l.platform.worker(addr)
	if w == nil {
		return zero, errors.Wrapf(fleet.ErrNotSent, "dial %s", addr)
	}
	type result struct {
		v   R
		err error
	}
	got := make(chan result, 1)
	go func() {
		if f.WorkerDelay > 0 {
			time.Sleep(f.WorkerDelay)
		}
		for w.Faults().Freeze {
			select {
			case <-l.platform.closed:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
		v, err := fn(w)
		got <- result{v, err}
	}()
	select {
	case r := <-got:
		if f, err := l.awaitUnpaused(); err != nil || f.CutWorkers || f.LoseAnswers {
			return zero, l.awaitCancel(ctx)
		}
		return r.v, r.err
	case <-ctx.Done():
		_, _ = l.awaitUnpaused()
		return zero, errors.Mark(ctx.Err(), errNoAnswer)
	case <-l.done:
		return zero, errNoAnswer
	}
}

func (l fleetLink) BriefStatus(ctx context.Context, addr string) (fleet.Status, error) {
	return deliver(ctx, l, addr, (*backend.Worker).BriefStatus)
}

func (l fleetLink) Lease(ctx context.Context, addr string, r fleet.LeaseRequest) (fleet.Status, error) {
	return deliver(ctx, l, addr, func(w *backend.Worker) (fleet.Status, error) { return w.Lease(r) })
}

func (l fleetLink) Release(ctx context.Context, addr string, f fleet.Fence) error {
	_, err := deliver(ctx, l, addr, func(w *backend.Worker) (struct{}, error) { return struct{}{}, w.Release(f) })
	return err
}

func (l fleetLink) Start(ctx context.Context, addr string, r fleet.StartRequest) error {
	if hook := l.platform.beforeStart.Load(); hook != nil {
		(*hook)(l.link, addr, r)
	}
	_, err := deliver(ctx, l, addr, func(w *backend.Worker) (struct{}, error) {
		err := w.Start(r)
		if err == nil {
			l.platform.recordStart(addr, r)
		}
		return struct{}{}, err
	})
	return err
}

func (l fleetLink) Control(ctx context.Context, addr string, c fleet.Control) (fleet.Task, error) {
	return deliver(ctx, l, addr, func(w *backend.Worker) (fleet.Task, error) { return w.Control(c) })
}

func (l fleetLink) Forget(ctx context.Context, addr string, f fleet.Fence, tasks []fleet.TaskRef) error {
	_, err := deliver(ctx, l, addr, func(w *backend.Worker) (struct{}, error) { return struct{}{}, w.Forget(f, tasks) })
	return err
}

func (l fleetLink) Lookup(ctx context.Context, addr, request string, attempt int) (fleet.CallStatus, error) {
	return deliver(ctx, l, addr, func(w *backend.Worker) (fleet.CallStatus, error) { return w.Lookup(request, attempt) })
}

// Call sends a call, twice if the link has the fault DuplicateCalls.
func (l fleetLink) Call(ctx context.Context, addr string, c fleet.Call) (fleet.Answer, error) {
	run := func(w *backend.Worker) (fleet.Answer, error) {
		if err := w.StartCall(c); err != nil {
			l.platform.recordDelivery(addr, c, err)
			return fleet.Answer{}, err
		}
		l.platform.recordCall(addr, c)
		a, err := w.AwaitCall(context.Background(), c)
		l.platform.recordDelivery(addr, c, err)
		return a, err
	}
	if f, err := l.awaitUnpaused(); err == nil && f.DuplicateCalls {
		go func() { _, _ = deliver(ctx, l, addr, run) }()
	}
	return deliver(ctx, l, addr, run)
}

// requestTag holds the fields of a request body. The test platform identifies the request by its Tag.
type requestTag struct {
	RunMs float64 `json:"run_ms"`
	Tag   int     `json:"tag"`
}

func (p *testPlatform) recordCall(worker string, c fleet.Call) {
	var t requestTag
	_ = json.Unmarshal(c.Body, &t)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executed[t.Tag]++
	p.lastCallAt[worker] = time.Now()
}

// recordDelivery records the result of a call that reached a worker.
func (p *testPlatform) recordDelivery(worker string, c fleet.Call, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliveries[c.Request] = append(p.deliveries[c.Request],
		fmt.Sprintf("%s attempt %d at %s, %+v: %v", time.Now().Format("05.000"), c.Attempt, worker, c.Fence, err))
}

func (p *testPlatform) recordStart(worker string, r fleet.StartRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts = append(p.starts, taskStart{worker: worker, task: r.Task, at: time.Now()})
}
