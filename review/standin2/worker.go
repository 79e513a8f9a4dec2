//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxLease is HoldMaxMs, saveInterval CheckpointIntervalS, restoreTime RestoreMs, stopTime below StopTimeoutMs, and
	// gangTimeout GangTimeoutMs.
	maxLease     = 6 * time.Second
	saveInterval = time.Second
	restoreTime  = 600 * time.Millisecond
	stopTime     = 100 * time.Millisecond
	gangTimeout  = 3 * time.Second
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
	// maxListed is the largest number of ends in a response.
	maxListed = 500
	// tick is the interval at which the time of the workers advances.
	tick = 10 * time.Millisecond
	// heartbeat is HeartbeatMs: the entry of a worker that has crashed is removed after three of them.
	heartbeat = 1100 * time.Millisecond
)

// workerRun is a run of a task.
type workerRun struct {
	task, checkpoint string
	number           int
	work             time.Duration
	saves, lasts     bool
	gang             int
	// cpu is what the run takes of the worker's cores.
	cpu int64
	// done is the work done, since when it is counted, and when the run will have stopped, zero unless it is being stopped.
	done   time.Duration
	at     time.Time
	stopAt time.Time
	// startedAt is when the order came.
	startedAt time.Time
}

// workerEnd is an end that is not acknowledged.
type workerEnd struct {
	serial int64
	run    *workerRun
	how    string
	saved  string
	// lapsed is set once the worker's lease has lapsed after the end.
	lapsed bool
}

// worker is a worker of the platform. A crash ends its boot, and it may start again under its ID.
type worker struct {
	f                *fleet
	id, zone, rack   string
	labels           []string
	address          string
	cpu              int64
	server           *http.Server
	up               bool
	born             int64
	startedAt        time.Time
	token, leaseEnd  int64
	runs             map[string]*workerRun
	closed           map[string]int
	ended            []workerEnd
	serial           int64
	changed          chan struct{}
	removeEntryAfter time.Time
}

// fleet is all workers of the platform. Its lock guards them.
type fleet struct {
	mu      sync.Mutex
	store   *store
	rec     *record
	workers []*worker
	// acked holds the tasks of which an end as done was acknowledged, twice what was seen of tasks that ran twice.
	acked map[string]string
	twice []string
	// lateStarts is the number of orders to start that get no answer and are carried out after lateBy, by the worker that
	// listens at the address then.
	lateStarts int
	lateBy     time.Duration
	// late holds the workers of these orders.
	late []*worker
}

// clock returns the worker's clock in milliseconds.
func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.startedAt).Milliseconds() }

// addWorker adds a worker that listens on a free port of the address.
func (f *fleet) addWorker(ip, id, zone, rack string, cpu int64, labels ...string) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		f: f, id: id, zone: zone, rack: rack, labels: append([]string{"std", rack}, labels...), cpu: cpu,
		address: l.Addr().String(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	w.boot(l)
	return w, nil
}

// boot starts a boot of the worker on the listener. The lock is held.
func (w *worker) boot(l net.Listener) {
	now := time.Now()
	w.up, w.born, w.startedAt = true, max(w.born+1, now.UnixMilli()), now
	w.token, w.leaseEnd, w.serial, w.ended = 0, 0, 0, nil
	w.runs, w.closed, w.changed = map[string]*workerRun{}, map[string]int{}, make(chan struct{})
	w.removeEntryAfter = time.Time{}
	born := w.born
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, born) })}
	srv := w.server
	go func() { _ = srv.Serve(l) }()
	w.register()
}

// register writes the entry of the worker.
func (w *worker) register() {
	data, _ := json.Marshal(map[string]any{
		"Id": w.id, "Service": service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "Labels": w.labels, "born": w.born,
		"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": 64000, "Gpu": 0},
	})
	w.f.store.put("keyed.servers", w.id, data)
}

// crash ends the worker without notice.
func (w *worker) crash() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up {
		return
	}
	now := time.Now()
	w.f.advance(now)
	w.up = false
	_ = w.server.Close()
	close(w.changed)
	w.removeEntryAfter = now.Add(3 * heartbeat)
	for _, r := range w.runs {
		w.f.rec.logf("worker %s: run %d of %s is gone with its worker", w.id, r.number, r.task)
		w.f.breakGang(now, r)
	}
	w.runs = map[string]*workerRun{}
	w.f.rec.logf("worker %s crashes", w.id)
}

// restart starts a worker that has crashed again, at its address and under its ID.
func (w *worker) restart() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(tick)
	}
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.boot(l)
	w.f.rec.logf("worker %s is back, born %d", w.id, w.born)
	return nil
}

// run advances the time of the workers until the channel is closed.
func (f *fleet) run(stop <-chan struct{}) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}
}

// members returns the runs of the gang of a run that are on any worker.
func (f *fleet) members(r *workerRun) map[*worker]*workerRun {
	out := map[*worker]*workerRun{}
	stage := r.task[:strings.LastIndex(r.task, ".")+1]
	for _, w := range f.workers {
		for _, o := range w.runs {
			if o.number == r.number && strings.HasPrefix(o.task, stage) {
				out[w] = o
			}
		}
	}
	return out
}

// breakGang ends the other members of the gang of a run that has ended otherwise than as done.
func (f *fleet) breakGang(now time.Time, r *workerRun) {
	if r.gang == 0 {
		return
	}
	for w, o := range f.members(r) {
		if o != r && o.work > 0 {
			w.end(o, "broken")
		}
	}
}

// advance lets time pass for all workers. The lock is held. Each worker runs one member of a gang at most.
func (f *fleet) advance(now time.Time) {
	for _, w := range f.workers {
		if !w.up {
			if !w.removeEntryAfter.IsZero() && now.After(w.removeEntryAfter) {
				w.removeEntryAfter = time.Time{}
				f.store.put("keyed.servers", w.id, nil)
			}
			continue
		}
		lapsed := w.leaseEnd != 0 && w.clock(now) >= w.leaseEnd
		for _, r := range w.runs {
			present := r.gang == 0 || len(f.members(r)) == r.gang
			if present && now.After(r.at) {
				r.done += now.Sub(r.at)
			}
			if now.After(r.at) {
				r.at = now
			}
			switch {
			case lapsed:
				w.end(r, "lapsed")
				f.breakGang(now, r)
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				w.end(r, "stopped")
				f.breakGang(now, r)
			case !present && r.done == 0 && now.Sub(r.startedAt) > gangTimeout:
				w.end(r, "alone")
			case !r.lasts && r.done >= r.work:
				if r.gang == 0 {
					w.end(r, "done")
					continue
				}
				for o, m := range f.members(r) {
					o.end(m, "done")
				}
			}
		}
		if lapsed {
			w.leaseEnd = 0
			for i := range w.ended {
				w.ended[i].lapsed = true
			}
		}
	}
}

// checkTwice notes a start of a task that runs already or whose end as done was acknowledged. The lock is held.
func (f *fleet) checkTwice(w *worker, r *workerRun) {
	note := func(what string) {
		f.rec.logf("TWICE: run %d of %s starts on %s %s", r.number, r.task, w.id, what)
		f.twice = append(f.twice, r.task)
	}
	if first, ok := f.acked[r.task]; ok {
		note("after the acknowledged end as done of " + first)
	}
	for _, o := range f.workers {
		for _, other := range o.runs {
			if other != r && other.task == r.task {
				note(fmt.Sprintf("beside run %d on %s", other.number, o.id))
			}
		}
	}
}

// saved returns the newest checkpoint of a run.
func (r *workerRun) saved(all bool) string {
	if !r.saves {
		return ""
	}
	d := r.done
	if !all {
		d = d.Truncate(saveInterval)
	}
	if d <= 0 {
		return r.checkpoint
	}
	return fmt.Sprintf("%016x", d.Milliseconds())
}

// end ends a run and lists its end. The lock is held.
func (w *worker) end(r *workerRun, how string) {
	key := r.task + "#" + strconv.Itoa(r.number)
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.serial++
	e := workerEnd{serial: w.serial, run: r, how: how}
	if how != "done" {
		e.saved = r.saved(how == "stopped")
	}
	w.ended = append(w.ended, e)
	w.f.rec.logf("worker %s: run %d of %s ends %s, saved %q", w.id, r.number, r.task, how, e.saved)
	close(w.changed)
	w.changed = make(chan struct{})
}

// orderBody is the body of an order.
type orderBody struct {
	Task, Spec, Checkpoint string
	RunID                  int `json:"RunId"`
	UntilMs, FencingToken  int64
	Acknowledged, WaitMs   int64
	Percent                int
}

// serve serves a call to the boot of the worker.
func (w *worker) serve(rw http.ResponseWriter, req *http.Request, born int64) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		writeBody(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.URL.Path == "/run-start" && f.lateStarts > 0 {
		f.lateStarts--
		f.rec.logf("worker %s: the order to start run %d of %s is held up for %v", w.id, o.RunID, o.Task, f.lateBy)
		f.late = append(f.late, w)
		time.AfterFunc(f.lateBy, func() { w.deliverLate(req.Header.Get("Expected-Instance"), o) })
		f.mu.Unlock()
		<-req.Context().Done()
		f.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	f.advance(now)
	if !w.up || w.born != born {
		panic(http.ErrAbortHandler)
	}
	answer := func(reason string) {
		body := map[string]any{"ClockMs": w.clock(time.Now()), "born": w.born}
		status := http.StatusOK
		if reason != "" {
			body["Reason"], status = reason, http.StatusConflict
		}
		writeBody(rw, status, body)
	}
	switch {
	case req.Header.Get("Expected-Instance") != w.id:
		writeBody(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	case o.FencingToken < w.token:
		answer("fence")
		return
	}
	w.token = o.FencingToken
	extend := func() {
		if clock := w.clock(now); o.UntilMs > clock {
			w.leaseEnd = max(w.leaseEnd, min(o.UntilMs, clock+maxLease.Milliseconds()))
		}
	}
	key := o.Task + "#" + strconv.Itoa(o.RunID)
	switch req.URL.Path {
	case "/run-start":
		if o.UntilMs <= w.clock(now) {
			answer("late")
			return
		}
		extend()
		if w.runs[key] != nil {
			answer("")
			return
		}
		higher := false
		for _, r := range w.runs {
			higher = higher || (r.task == o.Task && r.number > o.RunID)
		}
		if higher || o.RunID <= w.closed[o.Task] {
			answer("old")
			return
		}
		r := newRun(now, o)
		w.runs[key] = r
		f.rec.logf("worker %s: start of run %d of %s, checkpoint %q, token %d", w.id, o.RunID, o.Task, o.Checkpoint, o.FencingToken)
		f.rec.started(now, w, r)
		f.checkTwice(w, r)
		answer("")
	case "/run-stop":
		w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
		if r := w.runs[key]; r != nil && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
			f.rec.logf("worker %s: stop of run %d of %s, token %d", w.id, o.RunID, o.Task, o.FencingToken)
		}
		answer("")
	case "/pace":
		answer("")
	case "/hold":
		extend()
		w.serveHold(rw, req, o, born)
	default:
		http.NotFound(rw, req)
	}
}

// deliverLate delivers an order that was held up on its way to whatever process listens at the worker's address now.
func (w *worker) deliverLate(instance string, o orderBody) {
	data, _ := json.Marshal(map[string]any{
		"Task": o.Task, "RunId": o.RunID, "Spec": o.Spec, "UntilMs": o.UntilMs, "FencingToken": o.FencingToken, "Checkpoint": o.Checkpoint,
	})
	req, _ := http.NewRequest(http.MethodPost, "http://"+w.address+"/run-start", bytes.NewReader(data))
	req.Header.Set("Expected-Instance", instance)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.f.rec.logf("worker %s: the late order is lost: %v", w.id, err)
		return
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.f.rec.logf("worker %s: the late order to start run %d of %s is answered %d %s", w.id, o.RunID, o.Task, resp.StatusCode, text)
}

// serveHold acknowledges ends, waits for one if asked to, and lists all runs and ends. The lock is held.
func (w *worker) serveHold(rw http.ResponseWriter, req *http.Request, o orderBody, born int64) {
	for len(w.ended) > 0 && w.ended[0].serial <= o.Acknowledged {
		if e := w.ended[0]; e.how == "done" && !e.lapsed {
			w.f.acked[e.run.task] = fmt.Sprintf("run %d on %s", e.run.number, w.id)
		}
		w.ended = w.ended[1:]
	}
	timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		w.f.mu.Lock()
		if !w.up || w.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 0
		switch {
		case r.lasts && r.done >= startupTime:
			percent = 100
		case !r.lasts && r.work > 0:
			percent = int(min(99, 100*r.done/r.work))
		}
		running = append(running, []any{r.task, r.number, r.saved(false), percent, 10})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		finished = append(finished, []any{e.serial, e.run.task, e.run.number, e.how, e.saved})
	}
	writeBody(rw, http.StatusOK, map[string]any{
		"ClockMs": w.clock(time.Now()), "born": w.born, "Running": running, "Finished": finished,
	})
}

// newRun returns the run that an order starts. The payload says what its task does: work=MS;gang=N;saves;lasts.
func newRun(now time.Time, o orderBody) *workerRun {
	r := &workerRun{task: o.Task, number: o.RunID, checkpoint: o.Checkpoint, at: now, startedAt: now}
	for _, part := range strings.Split(o.Spec, ";") {
		name, value, _ := strings.Cut(part, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work":
			r.work = time.Duration(n) * time.Millisecond
		case "gang":
			r.gang = n
		case "cpu":
			r.cpu = int64(n)
		case "saves":
			r.saves = true
		case "lasts":
			r.lasts = true
		}
	}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		r.done, r.at = time.Duration(ms)*time.Millisecond, now.Add(restoreTime)
	}
	return r
}
