package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the workers, as the settings give them.
const (
	holdMax            = 6 * time.Second
	stopTime           = 100 * time.Millisecond
	checkpointInterval = 2 * time.Second
	restoreTime        = 600 * time.Millisecond
	startupTime        = 500 * time.Millisecond
	gangTimeout        = 3 * time.Second
	heartbeat          = 1100 * time.Millisecond
	// linkTime is how long a message takes between two zones, one way.
	linkTime = 900 * time.Microsecond
)

// step is a step of a submission.
type step struct {
	Count          int    `json:",omitempty"`
	CPU            int    `json:"Cpu,omitempty"`
	MemMb          int    `json:",omitempty"`
	EstimatedMs    int    `json:",omitempty"`
	DependsOn      []int  `json:",omitempty"`
	Checkpointing  bool   `json:",omitempty"`
	Gang           bool   `json:",omitempty"`
	Colocated      bool   `json:",omitempty"`
	Requirements   string `json:",omitempty"`
	AntiAffinity   int    `json:",omitempty"`
	LongRunning    bool   `json:",omitempty"`
	Image          string `json:",omitempty"`
	MaxUnavailable *int   `json:",omitempty"`
}

// submission is the body of a submission.
type submission struct {
	Spec        string
	Steps       []step
	FirstRunMs  int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
	RepeatCount int   `json:",omitempty"`
}

// runID names a run of a task.
type runID struct {
	Task string
	Run  int
}

// run is a run on a worker.
type run struct {
	runID
	step      step
	startedAt time.Time
	// resumedAt is the work of the checkpoint with which the run began.
	resumedAt time.Duration
	stopAt    time.Time
}

// end is the end of a run.
type end struct {
	N int64
	runID
	How   string
	Saved string
}

// kind describes what a boot of a worker is.
type kind struct {
	name string
	cpu  int
	mem  int
}

// worker is a machine at one address. Its boots follow one another.
type worker struct {
	world   *world
	id      string
	address string
	zone    string
	rack    string

	// mu guards all below.
	mu sync.Mutex
	// boot is the present boot, nil while the worker is down.
	boot     *boot
	sequence int
	// dark is set once the machine neither answers nor resets any more.
	dark   bool
	server *http.Server
	conns  map[net.Conn]struct{}
	// intercept may take over a call. It returns true if it has.
	intercept func(b *boot, path string, body []byte, w http.ResponseWriter, r *http.Request) bool
}

// boot is one life of a worker.
type boot struct {
	worker *worker
	kind   kind
	born   int64
	began  time.Time
	// clockStart is the reading of the clock at the start.
	clockStart int64
	fence      int64
	leaseEnd   int64
	runs       map[runID]*run
	closed     map[string]int
	ends       []end
	nextEnd    int64
	// changed is closed and replaced when a run has ended.
	changed chan struct{}
	down    bool
}

func (b *boot) clock(now time.Time) int64 { return b.clockStart + now.Sub(b.began).Milliseconds() }

// setIntercept sets a function that may take over calls, nil for none.
func (w *worker) setIntercept(fn func(b *boot, path string, body []byte, w http.ResponseWriter, r *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intercept = fn
}

// start begins a boot. The worker registers, then serves.
func (w *worker) start(k kind) error {
	w.mu.Lock()
	now := time.Now()
	b := &boot{
		worker: w, kind: k, born: now.UnixMilli(), began: now, clockStart: 1000, runs: map[runID]*run{},
		closed: map[string]int{}, nextEnd: 1, changed: make(chan struct{}),
	}
	w.boot = b
	w.conns = map[net.Conn]struct{}{}
	w.mu.Unlock()
	w.register()
	l, err := listen(w.address)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(w.serve),
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if s == http.StateNew {
				w.conns[c] = struct{}{}
			}
		},
	}
	w.mu.Lock()
	w.server = srv
	w.mu.Unlock()
	w.world.rec.add("worker %s boot %d begins: kind %s, Cpu %d", w.id, b.born, k.name, k.cpu)
	go func() { _ = srv.Serve(l) }()
	go w.beat(b)
	go b.tick()
	return nil
}

// beat writes the entry of the worker every heartbeat.
func (w *worker) beat(b *boot) {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		alive := w.boot == b && !b.down && !w.dark
		w.mu.Unlock()
		if !alive {
			return
		}
		w.register()
	}
}

// register writes the entry of the present boot.
func (w *worker) register() {
	w.mu.Lock()
	b := w.boot
	if b == nil || b.down || w.dark {
		w.mu.Unlock()
		return
	}
	w.sequence++
	entry := map[string]any{
		"Id": w.id, "Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": w.sequence, "born": b.born,
		"Capacity": map[string]int{"Cpu": b.kind.cpu, "MemMb": b.kind.mem, "Gpu": 0},
		"Labels":   []string{b.kind.name, w.rack},
	}
	w.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.world.store.put(workerTopic, w.id, data)
}

// crash ends the present boot without notice. Its connections are reset. The entry is removed after three intervals of
// silence, unless the worker is back by then.
func (w *worker) crash() {
	w.mu.Lock()
	b, srv := w.boot, w.server
	if b == nil || b.down {
		w.mu.Unlock()
		return
	}
	w.endBoot(b)
	w.mu.Unlock()
	_ = srv.Close()
	w.world.rec.add("worker %s boot %d crashes", w.id, b.born)
	w.expireEntry(b)
}

// goDark ends the present boot without notice as a loss of power does: connections hang. It is for good.
func (w *worker) goDark() {
	w.mu.Lock()
	b := w.boot
	w.dark = true
	w.endBoot(b)
	w.mu.Unlock()
	w.world.rec.add("worker %s boot %d is lost for good, without power: it does not answer any more", w.id, b.born)
	w.expireEntry(b)
}

// endBoot ends all runs of a boot. The caller holds mu.
func (w *worker) endBoot(b *boot) {
	b.down = true
	for id := range b.runs {
		w.world.vanished(b, id)
	}
	b.runs = map[runID]*run{}
}

// expireEntry removes the entry of a boot that is silent for three intervals.
func (w *worker) expireEntry(b *boot) {
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		gone := w.boot == b
		w.mu.Unlock()
		if gone {
			w.world.store.put(workerTopic, w.id, nil)
			w.world.rec.add("entry of worker %s is removed", w.id)
		}
	})
}

// tick lets time pass on a boot.
func (b *boot) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		b.worker.mu.Lock()
		if b.down {
			b.worker.mu.Unlock()
			return
		}
		b.advance(time.Now())
		b.worker.mu.Unlock()
	}
}

// advance ends the runs that are done, stopped or out of their lease. The caller holds the worker's mu.
func (b *boot) advance(now time.Time) {
	lapsed := b.leaseEnd != 0 && b.clock(now) >= b.leaseEnd
	for _, r := range b.sorted() {
		worked := now.Sub(r.startedAt) + r.resumedAt
		if r.resumedAt > 0 {
			worked -= restoreTime
		}
		var broken, alone bool
		if r.step.Gang {
			worked, broken, alone = b.worker.world.gangState(r, now)
		}
		switch {
		case broken:
			b.end(r, "broken")
		case alone:
			b.end(r, "alone")
		case lapsed:
			b.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			b.end(r, "stopped")
		case !r.step.LongRunning && worked >= time.Duration(r.step.EstimatedMs)*time.Millisecond:
			b.end(r, "done")
		}
	}
	if lapsed {
		b.leaseEnd = 0
		b.worker.world.lapsed(b)
	}
}

func (b *boot) sorted() []*run {
	out := make([]*run, 0, len(b.runs))
	for _, r := range b.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

// end lists the end of a run.
func (b *boot) end(r *run, how string) {
	delete(b.runs, r.runID)
	b.closed[r.Task] = max(b.closed[r.Task], r.Run)
	e := end{N: b.nextEnd, runID: r.runID, How: how}
	if how != "done" {
		e.Saved = r.saved(time.Now(), how == "stopped")
	}
	b.nextEnd++
	b.ends = append(b.ends, e)
	b.worker.world.ended(b, e)
	close(b.changed)
	b.changed = make(chan struct{})
}

// saved returns the newest checkpoint of a run.
func (r *run) saved(now time.Time, stopped bool) string {
	if !r.step.Checkpointing {
		return ""
	}
	worked := now.Sub(r.startedAt) + r.resumedAt
	if r.resumedAt > 0 {
		worked -= restoreTime
	}
	if !stopped {
		worked = worked.Truncate(checkpointInterval)
	}
	if worked <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x", worked.Milliseconds())
}

// call is the body of a call to a worker.
type call struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	Checkpoint   string
	Percent      int
	Acknowledged int64
	WaitMs       int64
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	time.Sleep(linkTime)
	w.mu.Lock()
	dark, b, intercept := w.dark, w.boot, w.intercept
	w.mu.Unlock()
	if dark {
		hang()
	}
	if err != nil || b == nil {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if intercept != nil && intercept(b, r.URL.Path, body, rw, r) {
		return
	}
	status, answer := b.carryOut(r.URL.Path, body)
	time.Sleep(linkTime)
	w.mu.Lock()
	dark = w.dark
	gone := b.down
	w.mu.Unlock()
	if dark {
		hang()
	}
	if gone {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, status, answer)
}

// hang keeps a connection without an answer for longer than any run lasts.
func hang() {
	time.Sleep(10 * time.Minute)
	panic(http.ErrAbortHandler)
}

// carryOut carries out a call and returns its answer.
func (b *boot) carryOut(path string, body []byte) (int, map[string]any) {
	var c call
	if err := json.Unmarshal(body, &c); err != nil {
		b.worker.world.rec.add("worker %s cannot read the body of %s: %v", b.worker.id, path, err)
		return http.StatusBadRequest, map[string]any{"ClockMs": b.clock(time.Now())}
	}
	b.worker.mu.Lock()
	defer b.worker.mu.Unlock()
	now := time.Now()
	b.advance(now)
	answer := func(status int, reason string) (int, map[string]any) {
		m := map[string]any{"ClockMs": b.clock(time.Now()), "born": b.born}
		if reason != "" {
			m["Reason"] = reason
		}
		return status, m
	}
	if c.FencingToken < b.fence {
		return answer(http.StatusConflict, "fence")
	}
	b.fence = c.FencingToken
	id := runID{c.Task, c.RunID}
	switch path {
	case "/hold":
		b.extend(c.UntilMs, now)
		b.acknowledge(c.Acknowledged)
		deadline := now.Add(min(time.Duration(c.WaitMs)*time.Millisecond, 2*time.Second))
		for len(b.ends) == 0 && !b.down && time.Now().Before(deadline) {
			changed := b.changed
			b.worker.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			}
			b.worker.mu.Lock()
		}
		status, m := answer(http.StatusOK, "")
		b.list(m)
		return status, m
	case "/run-start":
		if c.UntilMs <= b.clock(now) {
			return answer(http.StatusConflict, "late")
		}
		b.extend(c.UntilMs, now)
		if _, ok := b.runs[id]; ok {
			return answer(http.StatusOK, "")
		}
		if c.RunID <= b.closed[c.Task] {
			return answer(http.StatusConflict, "old")
		}
		for other := range b.runs {
			if other.Task == c.Task && other.Run > c.RunID {
				return answer(http.StatusConflict, "old")
			}
		}
		b.startRun(c, now)
	case "/run-stop":
		b.closed[c.Task] = max(b.closed[c.Task], c.RunID)
		if r := b.runs[id]; r != nil && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
	}
	return answer(http.StatusOK, "")
}

// startRun starts a run. The worker doesn't guard its capacity.
func (b *boot) startRun(c call, now time.Time) {
	r := &run{runID: runID{c.Task, c.RunID}, step: b.worker.world.stepOf(c.Task), startedAt: now}
	if c.Checkpoint != "" {
		ms, _ := strconv.ParseInt(c.Checkpoint, 16, 64)
		r.resumedAt = time.Duration(ms) * time.Millisecond
	}
	b.runs[r.runID] = r
	b.worker.world.started(b, r, c)
}

// extend extends the lease of everything that runs.
func (b *boot) extend(until int64, now time.Time) {
	if clock := b.clock(now); until > clock {
		b.leaseEnd = max(b.leaseEnd, min(until, clock+holdMax.Milliseconds()))
	}
}

// acknowledge forgets ends.
func (b *boot) acknowledge(n int64) {
	for len(b.ends) > 0 && b.ends[0].N <= n {
		b.worker.world.acknowledged(b, b.ends[0])
		b.ends = b.ends[1:]
	}
}

// list adds the lists of runs and ends to an answer.
func (b *boot) list(m map[string]any) {
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range b.sorted() {
		percent := 0
		switch {
		case !r.step.LongRunning:
			percent = int(min(99, 100*now.Sub(r.startedAt).Milliseconds()/int64(max(1, r.step.EstimatedMs))))
		case now.Sub(r.startedAt) >= startupTime:
			percent = 100
		}
		reading := r.step.CPU
		if r.step.LongRunning {
			reading = 10
		}
		running = append(running, []any{r.Task, r.Run, r.saved(now, false), percent, reading})
	}
	for _, e := range b.ends[:min(len(b.ends), 500)] {
		finished = append(finished, []any{e.N, e.Task, e.Run, e.How, e.Saved})
	}
	m["Running"], m["Finished"] = running, finished
}

// used returns the Cpu of what runs on a boot.
func (b *boot) used() int {
	n := 0
	for _, r := range b.runs {
		n += r.step.CPU
	}
	return n
}

// splitTask returns the id of the submission and the step of a task.
func splitTask(task string) (id string, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	index, _ = strconv.Atoi(parts[2])
	return parts[0], index
}
