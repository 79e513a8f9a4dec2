package platform

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// maxLease is the longest lease of what runs on a worker.
	maxLease = 6 * time.Second
	// maxHoldWait is the longest time that a lease renewal waits for a run to end.
	maxHoldWait = 2 * time.Second
	// stopTime is how long a run takes to stop.
	stopTime = 100 * time.Millisecond
	// checkpointInterval is the work between two checkpoints of a task.
	checkpointInterval = 2 * time.Second
	// restoreTime is how long a run takes to resume from a checkpoint.
	restoreTime = 600 * time.Millisecond
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 500 * time.Millisecond
	// defaultRunTime is the duration of a run of which the stand-in knows no submission.
	defaultRunTime = time.Second
	// maxListedEnds is the largest number of ends in a response.
	maxListedEnds = 500
	// remoteFactor is the factor by which a task takes longer away from its data.
	remoteFactor = 2
	// fullPace is the pace in percent of a run that is not slowed down.
	fullPace = 100
)

// life identifies a boot of a worker.
type life struct {
	id   string
	boot int64
}

// runKey identifies a run of a task on a worker.
type runKey struct {
	task   string
	number int
}

// run is a run of a task.
type run struct {
	runKey
	step     stepBody
	duration time.Duration
	// worked is the work done until workedAt, including that of the checkpoint from which the run was resumed. Before
	// workFrom the run does no work.
	worked             time.Duration
	workedAt, workFrom time.Time
	// pace is the share of its speed at which the run works, in percent.
	pace int
	// stopAt is when the run will have stopped, zero unless it is being stopped.
	stopAt time.Time
}

// end is a run that has ended.
type end struct {
	runKey
	serial     int64
	reason     string
	checkpoint string
}

// worker is one boot of a worker. Its methods may be called from several goroutines.
type worker struct {
	life
	zone     string
	labels   []string
	capacity fleet.Size
	recorder *recorder
	// startedAt is when the worker's clock showed clockStart. The clock advances clockRate times as fast as time.
	startedAt  time.Time
	clockStart int64
	clockRate  float64

	mu sync.Mutex
	// token is the highest fencing token that was seen.
	token int64
	// leaseEnd is the end of the leases by the worker's clock in milliseconds. It is 0 while there is none; nothing runs
	// then.
	leaseEnd int64
	runs     map[runKey]*run
	// closed holds the highest number of a run of each task that was stopped or has ended.
	closed map[string]int
	// ended holds the ends that are not acknowledged, the oldest first. serial is that of the newest end.
	ended  []end
	serial int64
	// changed is closed and replaced when a run has ended.
	changed chan struct{}
	// gone is set when the worker has left or crashed.
	gone bool
	// next is the next boot under the same ID, nil if there is none.
	next atomic.Pointer[worker]
}

// present returns the newest boot of the worker.
func (w *worker) present() *worker {
	for next := w.next.Load(); next != nil; next = w.next.Load() {
		w = next
	}
	return w
}

// clock returns the worker's clock in milliseconds.
func (w *worker) clock(now time.Time) int64 {
	return w.clockStart + int64(float64(now.Sub(w.startedAt).Milliseconds())*w.clockRate)
}

// advance ends the runs that are done, stopped or out of their lease.
func (w *worker) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
}

func (w *worker) advanceLocked(now time.Time) {
	if w.gone {
		return
	}
	lapsed := w.leaseEnd != 0 && w.clock(now) >= w.leaseEnd
	for _, k := range w.sortedRuns() {
		r := w.runs[k]
		r.work(now)
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case !r.step.LongRunning && r.worked >= r.duration:
			w.end(r, "done")
		}
	}
	if lapsed {
		w.leaseEnd = 0
		w.recorder.leaseLapsed(w.life)
	}
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []runKey {
	keys := make([]runKey, 0, len(w.runs))
	for k := range w.runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		if a.task != b.task {
			return strings.Compare(a.task, b.task)
		}
		return a.number - b.number
	})
	return keys
}

// work adds the work done until now.
func (r *run) work(now time.Time) {
	from := r.workedAt
	if from.Before(r.workFrom) {
		from = r.workFrom
	}
	if now.After(from) {
		r.worked += now.Sub(from) * time.Duration(r.pace) / fullPace
		r.workedAt = now
	}
}

// end ends a run and lists its end.
func (w *worker) end(r *run, reason string) {
	delete(w.runs, r.runKey)
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.serial++
	e := end{runKey: r.runKey, serial: w.serial, reason: reason}
	if reason != "done" {
		e.checkpoint = r.checkpoint(reason == "stopped")
	}
	w.ended = append(w.ended, e)
	w.recorder.runEnded(w.life, r.runKey, reason)
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkpoint returns the newest checkpoint, which covers all work if the run was stopped.
func (r *run) checkpoint(stopped bool) string {
	if !r.step.Checkpointing {
		return ""
	}
	saved := r.worked
	if !stopped {
		saved = saved.Truncate(checkpointInterval)
	}
	if saved <= 0 {
		return ""
	}
	return encodeCheckpoint(r.task, saved)
}

// encodeCheckpoint returns the checkpoint of a task after the given work.
func encodeCheckpoint(task string, worked time.Duration) string {
	return fmt.Sprintf("%08x%08x", uint32(worked.Milliseconds()), uint32(xxhash.Sum64String(task)))
}

// decodeCheckpoint returns the work of a checkpoint and whether it belongs to the task.
func decodeCheckpoint(task, checkpoint string) (time.Duration, bool) {
	var millis, sum uint32
	if n, err := fmt.Sscanf(checkpoint, "%08x%08x", &millis, &sum); n != 2 || err != nil {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, sum == uint32(xxhash.Sum64String(task))
}

// answer returns the body of a response without lists.
func (w *worker) answer(now time.Time, reason string) (int, workerBody) {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	return status, workerBody{ClockMs: w.clock(now), Born: w.boot, Reason: reason}
}

// admit raises the fencing token to that of an order. It returns false if the order has a lower one or the worker is
// gone.
func (w *worker) admit(token int64) bool {
	if w.gone || token < w.token {
		return false
	}
	w.token = token
	return true
}

// extendLease sets the end of the leases if it is later than the present one.
func (w *worker) extendLease(until int64, now time.Time) {
	if clock := w.clock(now); until > clock {
		w.leaseEnd = max(w.leaseEnd, min(until, clock+maxLease.Milliseconds()))
	}
}

// start carries out an order to start a run.
func (w *worker) start(o orderBody, now time.Time) (int, workerBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
	if !w.admit(o.FencingToken) {
		return w.answer(now, "fence")
	}
	if o.UntilMs <= w.clock(now) {
		return w.answer(now, "late")
	}
	w.extendLease(o.UntilMs, now)
	key := runKey{task: o.Task, number: o.RunID}
	if _, ok := w.runs[key]; ok {
		return w.answer(now, "")
	}
	for k := range w.runs {
		if k.task == key.task && k.number > key.number {
			return w.answer(now, "old")
		}
	}
	if key.number <= w.closed[key.task] {
		return w.answer(now, "old")
	}
	step, known := w.recorder.runStarted(w.life, key, o, now)
	r := &run{runKey: key, step: step, duration: w.duration(key.task, step, known), workedAt: now, workFrom: now, pace: fullPace}
	if worked, ok := decodeCheckpoint(key.task, o.Checkpoint); ok {
		r.worked, r.workFrom = worked, now.Add(restoreTime)
	}
	w.runs[key] = r
	return w.answer(now, "")
}

// duration returns how long a task takes on this worker. The estimate is up to a fifth too high or too low.
func (w *worker) duration(task string, step stepBody, known bool) time.Duration {
	if !known {
		return defaultRunTime
	}
	d := time.Duration(step.EstimatedMs) * time.Millisecond * time.Duration(80+xxhash.Sum64String(task)%41) / 100
	if step.Affinity != "" && !slices.Contains(w.labels, step.Affinity) {
		d *= remoteFactor
	}
	return d
}

// stop carries out an order to stop a run.
func (w *worker) stop(o orderBody, now time.Time) (int, workerBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
	if !w.admit(o.FencingToken) {
		return w.answer(now, "fence")
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	if r, ok := w.runs[runKey{task: o.Task, number: o.RunID}]; ok && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	return w.answer(now, "")
}

// pace carries out an order to slow a run down.
func (w *worker) pace(o orderBody, now time.Time) (int, workerBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
	if !w.admit(o.FencingToken) {
		return w.answer(now, "fence")
	}
	if r, ok := w.runs[runKey{task: o.Task, number: o.RunID}]; ok {
		r.pace = min(max(0, o.Percent), fullPace)
	}
	return w.answer(now, "")
}

// hold renews the leases and returns the runs and the ends that are not acknowledged. If there is no end, it waits for
// one as the request says, but not longer than until the context ends.
func (w *worker) hold(ctx context.Context, o orderBody) (int, workerBody) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
	if !w.admit(o.FencingToken) {
		return w.answer(now, "fence")
	}
	w.extendLease(o.UntilMs, now)
	w.acknowledge(o.Acknowledged, now)
	timeout := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer timeout.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && !w.gone; {
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
	return w.list(time.Now())
}

// acknowledge forgets the ends up to a serial.
func (w *worker) acknowledge(serial int64, now time.Time) {
	for len(w.ended) > 0 && w.ended[0].serial <= serial {
		w.recorder.endAcknowledged(w.life, w.ended[0].runKey, now)
		w.ended = w.ended[1:]
	}
}

// list returns the body of the response to a lease renewal. The reading of a long-running task is half of its target
// latency, that of another one the cores that it uses.
func (w *worker) list(now time.Time) (int, workerBody) {
	w.advanceLocked(now)
	status, body := w.answer(now, "")
	body.Running, body.Finished = [][]any{}, [][]any{}
	for _, k := range w.sortedRuns() {
		r := w.runs[k]
		progress, reading := int64(0), r.step.CPU*int64(r.pace)/fullPace
		switch {
		case r.step.LongRunning:
			reading = r.step.TargetMs / 2
			if r.worked >= startupTime {
				progress = int64(r.pace)
			}
		case r.duration > 0:
			progress = int64(min(99, 100*r.worked/r.duration))
		}
		body.Running = append(body.Running, []any{k.task, k.number, r.checkpoint(false), progress, reading})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		body.Finished = append(body.Finished, []any{e.serial, e.task, e.number, e.reason, e.checkpoint})
	}
	return status, body
}

// leave ends everything that runs, without a trace.
func (w *worker) leave(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(now)
	w.gone = true
	w.runs = map[runKey]*run{}
	w.recorder.workerGone(w.life)
	close(w.changed)
	w.changed = make(chan struct{})
}
