package policy

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// task is a task attempt on a held worker.
type task struct {
	id, job    string
	attempt    int
	class      *class
	team       *team
	teamIndex  int
	worker     *worker
	declared   fleet.Size
	planned    fleet.Size
	cpuPercent int
	startedAt  time.Time
	// checkpointSentAt is when the last checkpoint command was given, zero if none.
	checkpointSentAt time.Time
	// evictionCharged is set once the eviction was charged to the disruption budget.
	evictionCharged bool
	// stopSentAt is when the stop command was last given, zero if it was not.
	stopSentAt time.Time
}

// allowedCores returns the part of the declared cores that the CPU limit leaves to the task, in thousandths.
func (t *task) allowedCores() float64 {
	return float64(t.declared.Cores) * float64(t.cpuPercent) / 100
}

// worker is the state of a held worker.
type worker struct {
	name, rack    string
	capacity      fleet.Size
	slots         int
	unschedulable bool

	// committed is the sum of the planned sizes of tasks; PlaceTask never lets it exceed capacity.
	committed fleet.Size
	// freeSize is the result of the last updateFreeSize.
	freeSize       fleet.Size
	tasks          map[string]*task
	throttledTasks int
	// stopping is the task last told to write a checkpoint before it is stopped, nil if it has ended.
	stopping *task
	// lastActionAt is when a task here was last throttled, checkpointed or stopped.
	lastActionAt time.Time

	// histories holds the history of each class with tasks that ran here within historyLength.
	histories []*classHistory
	// batchUse is the use of all batch classes and urgentUse that of all urgent classes in the newest report.
	batchUse, urgentUse fleet.Size
	reportedAt          time.Time
	// urgentReserve is the decaying peak of urgentUse; it is kept free for urgent calls.
	urgentReserve fleet.Size

	trust

	// scanIndex is the index in Policy.workersInScan. bucket and bucketIndex are the position in the freeIndex; bucket is
	// -1 while the worker is in none.
	scanIndex           int
	bucket, bucketIndex int
}

// historyLength covers the largest sum of lag and window for which a report is still attributed.
const historyLength = 3 * time.Minute

// classHistory is the history of what the tasks of one class on a worker declared.
type classHistory struct {
	class  *class
	points []historyPoint
	// planned is the sum of the planned sizes of the tasks that run now.
	planned fleet.Size
}

// declaredAmount is a sum over tasks: the declared cores left by the CPU limits, in thousandths, and the declared
// memory in MiB.
type declaredAmount struct{ cores, memory float64 }

// historyPoint holds the amount from at until the next point.
type historyPoint struct {
	at time.Time
	declaredAmount
}

// history returns the history of class c, creating it if needed.
func (w *worker) history(c *class) *classHistory {
	for _, hist := range w.histories {
		if hist.class == c {
			return hist
		}
	}
	hist := &classHistory{class: c}
	w.histories = append(w.histories, hist)
	return hist
}

// prune drops the history of classes that have not run within historyLength.
func (w *worker) prune(now time.Time) {
	kept := w.histories[:0]
	for _, hist := range w.histories {
		hist.prune(now)
		if hist.planned != (fleet.Size{}) ||
			len(hist.points) > 0 && now.Sub(hist.points[len(hist.points)-1].at) < historyLength {
			kept = append(kept, hist)
		}
	}
	clear(w.histories[len(kept):])
	w.histories = kept
}

func (hist *classHistory) currentCores() float64 {
	if len(hist.points) == 0 {
		return 0
	}
	return hist.points[len(hist.points)-1].cores
}

// addChange changes the declared amount from now on. Changes within 100 ms share one point.
func (hist *classHistory) addChange(now time.Time, cores, memory float64) {
	var v declaredAmount
	n := len(hist.points)
	if n > 0 {
		v = hist.points[n-1].declaredAmount
	}
	v.cores, v.memory = v.cores+cores, v.memory+memory
	if v.memory < 1e-3 && v.cores < 1e-3 {
		v = declaredAmount{}
	}
	if n > 0 && now.Sub(hist.points[n-1].at) < 100*time.Millisecond {
		hist.points[n-1].declaredAmount = v
		return
	}
	hist.points = append(hist.points, historyPoint{now, v})
	if len(hist.points) > 64 {
		hist.prune(now)
	}
}

func (hist *classHistory) prune(now time.Time) {
	i := 0
	for i+1 < len(hist.points) && now.Sub(hist.points[i+1].at) > historyLength {
		i++
	}
	if i > 0 {
		hist.points = append(hist.points[:0], hist.points[i:]...)
	}
}

// average returns the time-weighted mean amount between from and to.
func (hist *classHistory) average(from, to time.Time) declaredAmount {
	var sum declaredAmount
	for i, pt := range hist.points {
		start, end := pt.at, to
		if i+1 < len(hist.points) && hist.points[i+1].at.Before(end) {
			end = hist.points[i+1].at
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
	return declaredAmount{sum.cores / length, sum.memory / length}
}

// free returns what remains to plan with after the running tasks and the reserve for urgent calls. A class counts with
// what its tasks were planned at or with what it is known to need, whichever is larger, and all classes together with
// at least the measured use.
func (w *worker) free() fleet.Size { return w.freeSize }

// updateFreeSize computes freeSize again. It runs after every change of the tasks, the capacity or the reported use.
func (w *worker) updateFreeSize() {
	var need fleet.Size
	for _, hist := range w.histories {
		if n := len(hist.points); n > 0 {
			s := &hist.class.size
			need.Cores += max(hist.planned.Cores, int64(hist.points[n-1].cores*s.cores.mean))
			need.Memory += max(hist.planned.Memory, int64(hist.points[n-1].memory*s.memory.planFactor()))
		}
	}
	need.Cores = max(need.Cores, w.batchUse.Cores)
	need.Memory = max(need.Memory, w.batchUse.Memory)
	need.Accelerators = w.committed.Accelerators
	w.freeSize = w.capacity.Sub(w.urgentReserve).Sub(need)
}

// load returns the cores used by the class as a fraction of the worker, by learned use.
func (w *worker) load(hist *classHistory) float64 {
	return hist.currentCores() * hist.class.size.coresRatio() / float64(w.capacity.Cores)
}

// reserveDecayPerReport is the fraction of the peak of urgent use that is given up per report. With a report every
// 10 s, half of a peak is kept for about 5 minutes.
const reserveDecayPerReport = 0.02

// applyUsage applies the usage reports of one status message.
func (p *Policy) applyUsage(now time.Time, m UsageMsg) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	w.prune(now)
	w.reportedAt = now
	w.batchUse, w.urgentUse = fleet.Size{}, fleet.Size{}
	for _, usage := range m.Usage {
		c := p.class(usage.Class)
		if c.kind == KindUrgent {
			w.urgentUse = w.urgentUse.Add(usage.Used)
			continue
		}
		w.batchUse = w.batchUse.Add(usage.Used)
		if usage.Window <= 0 {
			continue
		}
		to := now.Add(-usage.Lag)
		for _, hist := range w.histories {
			if hist.class == c {
				c.localSize.update(usage.Used, hist.average(to.Add(-usage.Window), to))
				c.combineSizes()
			}
		}
	}
	w.urgentReserve.Cores = max(w.urgentUse.Cores, int64(float64(w.urgentReserve.Cores)*(1-reserveDecayPerReport)))
	w.urgentReserve.Memory = max(w.urgentUse.Memory, int64(float64(w.urgentReserve.Memory)*(1-reserveDecayPerReport)))
	// busy is the fraction of the worker's slots that urgent calls keep busy.
	var busy float64
	for _, usage := range m.Usage {
		if c := p.class(usage.Class); c.kind == KindUrgent && usage.Window > 0 && w.slots > 0 {
			// The mean of the first report is used because an error of the present mean would appear on both
			// sides of the model, in the mean and in busy.
			busy += float64(usage.Calls) * c.interference.referenceMean(usage.Mean) / usage.Window.Seconds() / float64(w.slots)
		}
	}
	for _, usage := range m.Usage {
		if c := p.class(usage.Class); c.kind == KindUrgent && usage.Window > 0 && usage.Calls > 0 {
			to := now.Add(-usage.Lag)
			c.interference.update(w, usage, busy, to.Add(-usage.Window), to)
		}
	}
	p.updateIndex(w)
}
