//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of the processes.
const (
	holdMax      = 6 * time.Second
	stopTime     = 200 * time.Millisecond
	startupTime  = 500 * time.Millisecond
	maxHoldWait  = 2 * time.Second
	maxListed    = 500
	heartbeat    = 1500 * time.Millisecond
	workerCores  = 64000
	workerMemory = 250000
)

// runID is a run of a task.
type runID struct {
	task   string
	number int
}

// run is a run on a worker.
type run struct {
	runID
	step    step
	endsAt  time.Time
	started time.Time
	stopAt  time.Time
}

// worker is a worker of the platform.
type worker struct {
	p                          *platform
	id, zone, rack, address    string
	server                     *http.Server
	mu                         sync.Mutex
	born, clockStart, sequence int64
	startedAt                  time.Time
	token, leaseUntil, serial  int64
	runs                       map[runID]*run
	closed                     map[string]int
	ends                       []endRow
	changed                    chan struct{}
}

// endRow is an end that is not acknowledged yet.
type endRow struct {
	runID
	serial int64
	how    string
}

// life names a boot of the worker. The caller holds mu.
func (w *worker) life() string { return w.id + "@" + strconv.FormatInt(w.born, 10) }

// boot starts the worker.
func (w *worker) boot() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	now := time.Now()
	w.mu.Lock()
	w.born, w.startedAt, w.clockStart = now.UnixMilli(), now, 1000+now.UnixMilli()%100000
	w.token, w.leaseUntil, w.serial, w.sequence = 0, 0, 0, 0
	w.runs, w.closed, w.ends, w.changed = map[runID]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	for path, handle := range map[string]func(order) (int, map[string]any){
		"POST /run-start": w.runStart, "POST /run-stop": w.runStop, "POST /pace": w.pace,
	} {
		mux.HandleFunc(path, func(rw http.ResponseWriter, r *http.Request) {
			var o order
			if !w.accept(rw, r, &o) {
				return
			}
			w.mu.Lock()
			status, body := handle(o)
			w.mu.Unlock()
			time.Sleep(oneWay)
			reply(rw, status, body)
		})
	}
	mux.HandleFunc("POST /hold", func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if w.accept(rw, r, &o) {
			status, body := w.hold(r.Context(), o)
			time.Sleep(oneWay)
			reply(rw, status, body)
		}
	})
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.register()
	return nil
}

// register writes the worker's entry in the store.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"Id": w.id, "Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born, "Labels": []string{"a", w.rack},
		"Capacity": map[string]int{"Cpu": workerCores, "MemMb": workerMemory, "Gpu": 0},
	})
	w.mu.Unlock()
	w.p.store.put("keyed.servers", w.id, data)
}

// order is the body of any call.
type order struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	Acknowledged int64
	WaitMs       int64
	Percent      int
}

// accept decodes a call, and refuses one that is meant for another worker.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	time.Sleep(oneWay)
	return true
}

// clock returns the worker's clock in milliseconds. The caller holds mu.
func (w *worker) clock() int64 { return w.clockStart + time.Since(w.startedAt).Milliseconds() }

// answer returns a response. The caller holds mu.
func (w *worker) answer(reason string) (int, map[string]any) {
	body := map[string]any{"ClockMs": w.clock(), "born": w.born}
	if reason == "" {
		return http.StatusOK, body
	}
	body["Reason"] = reason
	return http.StatusConflict, body
}

// fenced reports whether the token is too low, and keeps a higher one. The caller holds mu.
func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the leases. The caller holds mu.
func (w *worker) extend(until int64) {
	if until > w.clock() {
		w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+holdMax.Milliseconds()))
	}
}

func (w *worker) runStart(o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return w.answer("fence")
	}
	if o.UntilMs <= w.clock() {
		return w.answer("late")
	}
	w.extend(o.UntilMs)
	id := runID{o.Task, o.RunID}
	if w.runs[id] != nil {
		return w.answer("")
	}
	for other := range w.runs {
		if other.task == id.task && other.number > id.number {
			return w.answer("old")
		}
	}
	if id.number <= w.closed[id.task] {
		return w.answer("old")
	}
	now := time.Now()
	st := w.p.checks.runStarted(w.life(), id, o.Spec)
	r := &run{runID: id, step: st, started: now}
	if !st.LongRunning {
		r.endsAt = now.Add(time.Duration(st.EstimatedMs) * time.Millisecond)
	}
	w.runs[id] = r
	return w.answer("")
}

func (w *worker) runStop(o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return w.answer("fence")
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	if r := w.runs[runID{o.Task, o.RunID}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return w.answer("")
}

func (w *worker) pace(o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return w.answer("fence")
	}
	return w.answer("")
}

// hold renews the leases and returns what runs and what has ended.
func (w *worker) hold(ctx context.Context, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o.FencingToken) {
		return w.answer("fence")
	}
	w.extend(o.UntilMs)
	for len(w.ends) > 0 && w.ends[0].serial <= o.Acknowledged {
		w.p.checks.endNoted(w.life(), w.ends[0].runID)
		w.ends = w.ends[1:]
	}
	timeout := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer timeout.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	status, body := w.answer("")
	running, finished := [][]any{}, [][]any{}
	for id, r := range w.runs {
		percent, reading := 0, int64(r.step.CPU)
		switch {
		case r.step.LongRunning:
			reading = r.step.TargetMs / 2
			if time.Since(r.started) >= startupTime {
				percent = 100
			}
		case r.step.EstimatedMs > 0:
			percent = int(min(99, 100*time.Since(r.started).Milliseconds()/r.step.EstimatedMs))
		}
		running = append(running, []any{id.task, id.number, "", percent, reading})
	}
	slices.SortFunc(running, func(a, b []any) int { return strings.Compare(fmt.Sprint(a[0]), fmt.Sprint(b[0])) })
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.serial, e.task, e.number, e.how, ""})
	}
	body["Running"], body["Finished"] = running, finished
	return status, body
}

// advance ends the runs whose time has come.
func (w *worker) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.leaseUntil != 0 && w.clock() >= w.leaseUntil
	ended := false
	for id, r := range w.runs {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			how = "stopped"
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
			how = "done"
		}
		if how == "" {
			continue
		}
		delete(w.runs, id)
		w.closed[id.task] = max(w.closed[id.task], id.number)
		w.serial++
		w.ends = append(w.ends, endRow{runID: id, serial: w.serial, how: how})
		w.p.checks.runEnded(w.life(), id, how)
		ended = true
	}
	if lapsed {
		w.leaseUntil = 0
		w.p.checks.leaseLapsed(w.life())
	}
	if ended {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}
