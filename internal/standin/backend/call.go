package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// ErrCallLost is returned by RunCall, wrapped, for a call that was in progress when the worker restarted.
var ErrCallLost = errors.New("backend: call was lost in a restart")

// call is one attempt of an urgent request. It is in progress until answer is set.
type call struct {
	class string
	// digest is the xxhash64 of the request body.
	digest uint64
	// fail is set if the call ends with an error.
	fail bool
	// started is by the worker's clock.
	started time.Duration
	// remaining is the run time that is left.
	remaining time.Duration
	answer    *fleet.Answer
}

// Echo is the body of the stand-in's answers.
type Echo struct {
	Request string `json:"request"`
	// Digest is the xxhash64 of the request body in hexadecimal digits.
	Digest string `json:"digest"`
	Worker string `json:"worker,omitempty"`
	Error  string `json:"error,omitempty"`
}

// finish sets the answer of the call, which ends it.
func (c *call) finish(k callKey, now time.Duration) {
	e := Echo{Request: k.request, Digest: fmt.Sprintf("%016x", c.digest)}
	if c.fail {
		e.Error = "failed"
	}
	body, _ := json.Marshal(e)
	c.answer = &fleet.Answer{
		Request: k.request, Attempt: k.attempt, Body: body, Digest: xxhash.Sum64(body),
		Took: now - c.started, Failed: c.fail,
	}
}

// StartCall starts a call. It returns fleet.ErrRefused, wrapped, if the call was not started, and ErrUnreachable,
// wrapped, if no message reaches the worker. A repeated message for a known call succeeds without effect.
func (w *Worker) StartCall(m fleet.Call) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return err
	}
	k := callKey{request: m.Request, attempt: m.Attempt}
	if w.calls[k] != nil {
		return nil
	}
	if err := w.checkFence(m.Fence); err != nil {
		return err
	}
	switch {
	case w.faults.Leaving:
		return errors.Wrap(fleet.ErrRefused, "worker is leaving")
	case len(w.active) >= w.cfg.Slots:
		w.recorder.countOverload()
		return errors.Wrapf(fleet.ErrRefused, "all %d slots are occupied", w.cfg.Slots)
	}
	b, run := parseBody(m.Body, defaultCallRunTime)
	c := &call{
		class: m.Class, digest: xxhash.Sum64(m.Body), fail: b.Fail || w.faults.Fail, started: w.currentTime,
		remaining: time.Duration(float64(run) * w.slowdown(m.Class)),
	}
	if w.faults.Fail {
		c.remaining = min(c.remaining, maxFailRunTime)
	}
	w.calls[k], w.active[k] = c, c
	w.recorder.recordCall(m.Request, m.Attempt)
	return nil
}

// Lookup returns the state of a call at this worker. It returns ErrUnreachable, wrapped, if no message reaches the
// worker.
func (w *Worker) Lookup(request string, attempt int) (fleet.CallStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return fleet.CallStatus{}, err
	}
	return w.callStatus(callKey{request: request, attempt: attempt}), nil
}

// RunCall starts a call and waits for its answer. It returns the errors of StartCall and AwaitCall.
func (w *Worker) RunCall(ctx context.Context, m fleet.Call) (fleet.Answer, error) {
	if err := w.StartCall(m); err != nil {
		return fleet.Answer{}, err
	}
	return w.AwaitCall(ctx, m)
}

// AwaitCall waits in real time for the answer to a call that StartCall has started. It returns ErrCallLost, wrapped, if the
// worker has restarted since, and the error of the context, wrapped, if that ends first; the call then goes on.
func (w *Worker) AwaitCall(ctx context.Context, m fleet.Call) (fleet.Answer, error) {
	k := callKey{request: m.Request, attempt: m.Attempt}
	for {
		w.mu.Lock()
		w.advance()
		// The call of a frozen worker makes no progress. A change of the fault switches ends the wait, so it may be long.
		s, wait, changed := w.callStatus(k), time.Hour, w.faultsChanged
		if c := w.active[k]; c != nil && !w.faults.Freeze {
			wait = c.remaining
		}
		w.mu.Unlock()
		switch s.State {
		case fleet.CallNotStarted:
			return fleet.Answer{}, errors.Wrapf(ErrCallLost, "request %s", m.Request)
		case fleet.CallDone:
			return *s.Answer, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return fleet.Answer{}, errors.Wrapf(ctx.Err(), "backend: request %s", m.Request)
		}
		timer.Stop()
	}
}

// callStatus returns the state of the call. The lock must be held.
func (w *Worker) callStatus(k callKey) fleet.CallStatus {
	s := fleet.CallStatus{Boot: w.bootID(), Clock: w.currentTime, State: fleet.CallNotStarted}
	if c := w.calls[k]; c != nil {
		s.State = fleet.CallRunning
		if c.answer != nil {
			a := *c.answer
			s.State, s.Answer = fleet.CallDone, &a
		}
	}
	return s
}

// slowdown returns the factor, at least 1, by which the running tasks lengthen a call of the class that starts now.
// Tasks that start or end later don't change the run time of the call.
func (w *Worker) slowdown(class string) float64 {
	f := 1.0
	if w.cfg.SlowdownFactor == nil || w.cfg.Capacity.Cores == 0 {
		return f
	}
	for _, t := range w.tasks {
		if t.State == fleet.TaskRunning {
			part := float64(t.use.Cores) * float64(t.Share) / 100 / float64(w.cfg.Capacity.Cores)
			f += part * (w.cfg.SlowdownFactor(class, t.Class) - 1)
		}
	}
	return max(f, 1)
}
