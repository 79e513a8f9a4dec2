package job

import (
	"iter"
	"slices"
	"time"
)

// list is a doubly linked list of tasks, ordered by seq. A task is in at most one list.
type list struct {
	head, tail *Task
	len        int
}

// push appends a task to the list.
func (l *list) push(t *Task) {
	t.list, t.prev, t.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
	l.len++
}

// unlink removes the task from its list, if it is in one.
func (t *Task) unlink() {
	l := t.list
	if l == nil {
		return
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.list, t.prev, t.next = nil, nil, nil
	l.len--
}

// each yields the tasks in order. During the iteration only the yielded task may be removed from the list.
func (l *list) each(yield func(*Task) bool) bool {
	for t := l.head; t != nil; {
		next := t.next
		if !yield(t) {
			return false
		}
		t = next
	}
	return true
}

// queue holds the pending tasks of one class. Evicted tasks come before all others: processor time was already spent on
// them, and they would starve if each eviction put them at the end.
type queue struct {
	evicted, other list
}

// len returns the number of tasks in the queue.
func (q *queue) len() int { return q.evicted.len + q.other.len }

// enqueue adds a pending task to the queue of its class.
func (t *Table) enqueue(task *Task) {
	q := t.queues[task.job.class]
	if q == nil {
		q = &queue{}
		t.queues[task.job.class] = q
	}
	if task.evicted {
		q.evicted.push(task)
	} else {
		q.other.push(task)
	}
}

// PendingClasses returns the names of the classes that have pending tasks, sorted.
func (t *Table) PendingClasses() []string {
	out := make([]string, 0, len(t.queues))
	for class, q := range t.queues {
		if q.len() > 0 {
			out = append(out, class)
		}
	}
	slices.Sort(out)
	return out
}

// Pending yields the pending tasks of a class, evicted ones first, each group in the order in which the tasks became
// pending. No records may be applied during the iteration.
func (t *Table) Pending(class string) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		if q := t.queues[class]; q != nil && q.evicted.each(yield) {
			q.other.each(yield)
		}
	}
}

// PendingLen returns the number of pending tasks of a class.
func (t *Table) PendingLen(class string) int {
	if q := t.queues[class]; q != nil {
		return q.len()
	}
	return 0
}

// PendingSince returns when this host learned that the task is pending, the zero time if it is not pending.
// For a task from a snapshot it is the time at which the first record after the snapshot was applied.
func (t *Table) PendingSince(task *Task) time.Time {
	if task.state != Pending {
		return time.Time{}
	}
	if task.pendingSince.IsZero() {
		return t.firstApplied
	}
	return task.pendingSince
}

// UnconfirmedMoves yields the moved tasks whose Accept in the other zone is not confirmed, oldest move first.
// No records may be applied during the iteration.
func (t *Table) UnconfirmedMoves() iter.Seq[*Task] {
	return func(yield func(*Task) bool) { t.unconfirmedMoves.each(yield) }
}
