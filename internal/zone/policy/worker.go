package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// task is a task attempt on a held worker.
type task struct {
	id, job  string
	attempt  int
	class    *class
	team     *team
	teamPos  int
	worker   *worker
	declared fleet.Size
	planned  fleet.Size
	share    int
	since    time.Time
	// marked is when the last checkpoint command was given, zero if none.
	marked time.Time
	// charged is set once the eviction was taken from the disruption budget.
	charged bool
	// stopped is when the stop command was last given.
	stopped time.Time
}

// weight is the declared cores that the throttle leaves to the task.
func (t *task) weight() float64 { return float64(t.declared.Cores) * float64(t.share) / 100 }

// worker is a held worker.
type worker struct {
	name, rack string
	capacity   fleet.Size
	slots      int
	closed     bool

	// committed is the sum of the planned sizes of tasks; PlaceTask never lets it exceed capacity.
	committed fleet.Size
	// remaining is the cached result of refresh.
	remaining fleet.Size
	tasks     map[string]*task
	throttled int
	// stopping is the task that the last stop command was given for, nil if it has ended.
	stopping *task
	// acted is when a task here was last throttled, checkpointed or stopped.
	acted time.Time

	// levels holds the history of each batch class that ran here.
	levels []*level
	// batch is the use of all batch classes and urgent that of all urgent classes in the newest report.
	batch, urgent fleet.Size
	reported      time.Time
	// reserve is the decaying peak of urgent use.
	reserve fleet.Size

	trust

	order       int
	bucket, pos int
}

// historyLength covers the largest lag plus window for which a report is still attributed.
const historyLength = 3 * time.Minute

// level is the history of what the tasks of one class on a worker declared.
type level struct {
	class  *class
	points []point
	// planned is the sum of the planned sizes of the tasks that run now.
	planned fleet.Size
}

// amount is a sum over tasks: the cores left by the throttle, and the memory.
type amount struct{ cores, memory float64 }

// point holds the amount from at until the next point.
type point struct {
	at time.Time
	amount
}

// level returns the history of class c, creating it if needed.
func (w *worker) level(c *class) *level {
	for _, l := range w.levels {
		if l.class == c {
			return l
		}
	}
	l := &level{class: c}
	w.levels = append(w.levels, l)
	return l
}

// prune drops the history of classes that have not run within historyLength.
func (w *worker) prune(now time.Time) {
	kept := w.levels[:0]
	for _, l := range w.levels {
		l.prune(now)
		if l.planned != (fleet.Size{}) || len(l.points) > 0 && now.Sub(l.points[len(l.points)-1].at) < historyLength {
			kept = append(kept, l)
		}
	}
	clear(w.levels[len(kept):])
	w.levels = kept
}

func (l *level) value() float64 {
	if len(l.points) == 0 {
		return 0
	}
	return l.points[len(l.points)-1].cores
}

func (l *level) add(now time.Time, cores, memory float64) {
	var v amount
	n := len(l.points)
	if n > 0 {
		v = l.points[n-1].amount
	}
	v.cores, v.memory = v.cores+cores, v.memory+memory
	if v.memory < 1e-3 && v.cores < 1e-3 {
		v = amount{}
	}
	if n > 0 && now.Sub(l.points[n-1].at) < 100*time.Millisecond {
		l.points[n-1].amount = v
		return
	}
	l.points = append(l.points, point{now, v})
	if len(l.points) > 64 {
		l.prune(now)
	}
}

func (l *level) prune(now time.Time) {
	i := 0
	for i+1 < len(l.points) && now.Sub(l.points[i+1].at) > historyLength {
		i++
	}
	if i > 0 {
		l.points = append(l.points[:0], l.points[i:]...)
	}
}

// average is the time-weighted mean amount between from and to.
func (l *level) average(from, to time.Time) amount {
	var sum amount
	for i, pt := range l.points {
		start, end := pt.at, to
		if i+1 < len(l.points) && l.points[i+1].at.Before(end) {
			end = l.points[i+1].at
		}
		if start.Before(from) {
			start = from
		}
		if end.After(start) {
			sum.cores += pt.cores * end.Sub(start).Seconds()
			sum.memory += pt.memory * end.Sub(start).Seconds()
		}
	}
	length := to.Sub(from).Seconds()
	return amount{sum.cores / length, sum.memory / length}
}

// free is what remains to plan with after the running tasks and the reserve for urgent calls. A class counts
// with what its tasks were planned at or with what it is known to need, whichever is larger, and all classes
// together with at least the measured use.
func (w *worker) free() fleet.Size { return w.remaining }

// refresh computes the free size anew.
func (w *worker) refresh() {
	var need fleet.Size
	for _, l := range w.levels {
		if n := len(l.points); n > 0 {
			s := &l.class.size
			need.Cores += max(l.planned.Cores, int64(l.points[n-1].cores*s.cores.mean))
			need.Memory += max(l.planned.Memory, int64(l.points[n-1].memory*s.memory.factor()))
		}
	}
	need.Cores = max(need.Cores, w.batch.Cores)
	need.Memory = max(need.Memory, w.batch.Memory)
	need.Accelerators = w.committed.Accelerators
	w.remaining = w.capacity.Sub(w.reserve).Sub(need)
}

// load returns the cores used by the class as a fraction of the worker, by learned use.
func (w *worker) load(l *level) float64 {
	return l.value() * l.class.size.ratio() / float64(w.capacity.Cores)
}

// reserveDecay is the share of the urgent peak that is given up per report. At a report every 10 s half of
// a peak is kept for about 5 minutes.
const reserveDecay = 0.02

// report applies the usage reports of one status.
func (p *Policy) report(now time.Time, m UsageMsg) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	w.prune(now)
	w.reported = now
	w.batch, w.urgent = fleet.Size{}, fleet.Size{}
	for _, u := range m.Usage {
		c := p.class(u.Class)
		if c.kind == KindUrgent {
			w.urgent = w.urgent.Add(u.Used)
			continue
		}
		w.batch = w.batch.Add(u.Used)
		if u.Window <= 0 {
			continue
		}
		to := now.Add(-u.Lag)
		for _, l := range w.levels {
			if l.class == c {
				c.own.learn(u.Used, l.average(to.Add(-u.Window), to))
				c.blend()
			}
		}
	}
	w.reserve.Cores = max(w.urgent.Cores, int64(float64(w.reserve.Cores)*(1-reserveDecay)))
	w.reserve.Memory = max(w.urgent.Memory, int64(float64(w.reserve.Memory)*(1-reserveDecay)))
	var busy float64
	for _, u := range m.Usage {
		if c := p.class(u.Class); c.kind == KindUrgent && u.Window > 0 && w.slots > 0 {
			// A fixed execution time is used because the error of the measured mean would appear on both
			// sides of the model.
			busy += float64(u.Calls) * c.model.reference(u.Mean) / u.Window.Seconds() / float64(w.slots)
		}
	}
	for _, u := range m.Usage {
		if c := p.class(u.Class); c.kind == KindUrgent && u.Window > 0 && u.Calls > 0 {
			to := now.Add(-u.Lag)
			c.model.learn(w, u, busy, to.Add(-u.Window), to)
		}
	}
	p.reindex(w)
}
