package job

import (
	"cmp"
	"iter"
	"slices"
)

// Job returns the job with an ID, nil if there is none. It is valid until the next record is applied.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// Task returns the task with an ID, nil if there is none. It is valid until the next record is applied.
func (t *Table) Task(id string) *Task {
	task, err := t.lookUpTask(id)
	if err != nil {
		return nil
	}
	return task
}

// Len returns the number of jobs, including finished ones that are still retained.
func (t *Table) Len() int { return len(t.jobs) }

// Counts returns the number of tasks by state.
func (t *Table) Counts() Counts { return t.counts }

// RunningOn returns the running tasks of a worker in the order of their start.
func (t *Table) RunningOn(worker string) []*Task {
	out := slices.Clone(t.runningByWorker[worker])
	slices.SortFunc(out, compareByStart)
	return out
}

// compareByStart orders running tasks by the offset of their Start record, and by ID within one batch of records.
func compareByStart(a, b *Task) int {
	return cmp.Or(
		cmp.Compare(a.placement.offset, b.placement.offset),
		cmp.Compare(a.job.id, b.job.id),
		cmp.Compare(a.index, b.index),
	)
}

// BusyWorkers returns the workers that have running tasks, sorted.
func (t *Table) BusyWorkers() []string {
	out := make([]string, 0, len(t.runningByWorker))
	for w := range t.runningByWorker {
		out = append(out, w)
	}
	slices.Sort(out)
	return out
}

// TeamUsage returns the usage of the running tasks of a team.
func (t *Table) TeamUsage(team string) Usage { return usageOf(t.usageByTeam, team) }

// ClassUsage returns the usage of the running tasks of a class.
func (t *Table) ClassUsage(class string) Usage { return usageOf(t.usageByClass, class) }

// usageOf returns the usage of a team or class, zero if it has no running tasks.
func usageOf(m map[string]*Usage, key string) Usage {
	if u := m[key]; u != nil {
		return *u
	}
	return Usage{}
}

// OpenHolderQuery returns the offset of the unanswered HolderQuery about a worker, which an Evict with ReasonNoHolder
// has to state. It reports false if there is none.
func (t *Table) OpenHolderQuery(worker string) (uint64, bool) {
	offset, ok := t.openHolderQueries[worker]
	return offset, ok
}

// Holds returns the newest Hold of each worker, sorted by worker.
func (t *Table) Holds() []Hold {
	holds := make([]Hold, 0, len(t.holds))
	for _, h := range t.holds {
		holds = append(holds, h)
	}
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Worker, b.Worker) })
	return holds
}

// Jobs yields all jobs, including retained ones, in no particular order. No records may be applied during the
// iteration.
func (t *Table) Jobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, j := range t.jobs {
			if !yield(j) {
				return
			}
		}
	}
}
