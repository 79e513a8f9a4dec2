package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/platform/fleet"
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

// level is the history of the cores declared by the tasks of one class on a worker, after throttling.
type level struct {
	class  *class
	points []point
}

// point holds the value from at until the next point.
type point struct {
	at    time.Time
	value float64
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
		if l.value() != 0 || len(l.points) > 0 && now.Sub(l.points[len(l.points)-1].at) < historyLength {
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
	return l.points[len(l.points)-1].value
}

func (l *level) add(now time.Time, d float64) {
	v := l.value() + d
	if v < 1e-6 {
		v = 0
	}
	if n := len(l.points); n > 0 && now.Sub(l.points[n-1].at) < 100*time.Millisecond {
		l.points[n-1].value = v
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

// average is the time-weighted mean of the value between from and to.
func (l *level) average(from, to time.Time) float64 {
	var sum float64
	for i, pt := range l.points {
		start, end := pt.at, to
		if i+1 < len(l.points) && l.points[i+1].at.Before(end) {
			end = l.points[i+1].at
		}
		if start.Before(from) {
			start = from
		}
		if end.After(start) {
			sum += pt.value * end.Sub(start).Seconds()
		}
	}
	return sum / to.Sub(from).Seconds()
}

// free is what remains to plan with after committed tasks and the reserve for urgent calls, and also after
// the measured use when tasks use more than was planned for them.
func (w *worker) free() fleet.Size {
	f := w.capacity.Sub(w.reserve)
	use := w.committed
	use.Cores = max(use.Cores, w.batch.Cores)
	use.Memory = max(use.Memory, w.batch.Memory)
	return f.Sub(use)
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
		c.size.learn(u.Used, w.level(c).average(to.Add(-u.Window), to), w.memory(c, to, u.Window))
	}
	w.reserve.Cores = max(w.urgent.Cores, int64(float64(w.reserve.Cores)*(1-reserveDecay)))
	w.reserve.Memory = max(w.urgent.Memory, int64(float64(w.reserve.Memory)*(1-reserveDecay)))
	for _, u := range m.Usage {
		if c := p.class(u.Class); c.kind == KindUrgent && u.Window > 0 && u.Calls > 0 {
			to := now.Add(-u.Lag)
			c.model.learn(w, u, to.Add(-u.Window), to)
		}
	}
	p.reindex(w)
}

// memory returns the memory declared by tasks of the class that ran in all of the window that ended at to,
// or 0 if the class had other tasks in the window too.
func (w *worker) memory(c *class, to time.Time, window time.Duration) float64 {
	var sum float64
	var cores int64
	for _, t := range w.tasks {
		if t.class == c && !t.since.After(to.Add(-window)) {
			sum += float64(t.declared.Memory)
			cores += t.declared.Cores
		}
	}
	// The history holds throttled cores, so it is only comparable to an upper bound.
	if avg := w.level(c).average(to.Add(-window), to); avg > float64(cores)*1.01 {
		return 0
	}
	return sum
}
