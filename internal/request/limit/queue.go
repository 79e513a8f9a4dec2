package limit

import (
	"container/heap"
	"fmt"
	"time"
)

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonFull means that the queue of the class has reached its bound.
	ReasonFull Reason = "full"
	// ReasonLate means that the expected wait exceeds the request's deadline.
	ReasonLate Reason = "late"
)

// Refusal is the error of a request that is not queued.
type Refusal struct {
	Reason Reason
	// RetryAfter is the expected time until the queue is short enough.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("limit: queue %s, retry after %s", r.Reason, r.RetryAfter)
}

type item struct {
	id, team string
	deadline time.Time
	seq      uint64
	index    int
}

// line has the waiting requests of one team in order of arrival. Its heap index is -1 when it is empty.
type line struct {
	items items
	team  string
	// served grows with each request taken, divided by the team's weight.
	served float64
	index  int
}

// Queue has the waiting requests of one class. The team that was served least is next.
type Queue struct {
	bound int
	items map[string]*item
	lines map[string]*line
	ready lines
	seq   uint64
	// floor is the service of the team that was last taken from. A team that returns starts there,
	// so that it does not save up service while it has no requests.
	floor float64
	// service is the moving average of service times.
	service time.Duration
}

// NewQueue returns a queue of at most bound requests. Service is the first estimate of the service time.
func NewQueue(bound int, service time.Duration) *Queue {
	return &Queue{bound: bound, service: service, items: map[string]*item{}, lines: map[string]*line{}}
}

// Observe learns from a finished request.
func (q *Queue) Observe(took time.Duration) {
	q.service += (took - q.service) / 16
}

// Wait returns the expected wait of a request that arrives when slots serve the class.
func (q *Queue) Wait(slots int) time.Duration { return q.wait(len(q.items)+1, slots) }

func (q *Queue) wait(place, slots int) time.Duration {
	return q.service * time.Duration(place) / time.Duration(max(slots, 1))
}

// Push queues a request, or returns a Refusal if the queue is full or the request would be served after its deadline.
// Slots is the number of slots that serve the class. An id that is queued already is not queued again.
func (q *Queue) Push(now time.Time, id, team string, deadline time.Time, slots int) error {
	if q.items[id] != nil {
		return nil
	}
	if len(q.items) >= q.bound {
		return &Refusal{Reason: ReasonFull, RetryAfter: q.wait(len(q.items)-q.bound+1, slots)}
	}
	l := q.lines[team]
	if l == nil {
		l = &line{team: team, index: -1}
	}
	// Teams take turns, so a request waits for those of its own team and as many of each other one.
	ahead := min(len(q.items), (len(l.items)+1)*len(q.ready)+len(l.items))
	wait := q.wait(ahead+1, slots)
	if late := now.Add(wait + q.service).Sub(deadline); late > 0 {
		return &Refusal{Reason: ReasonLate, RetryAfter: min(late, wait)}
	}
	q.seq++
	it := &item{id: id, team: team, deadline: deadline, seq: q.seq}
	q.items[id], q.lines[team] = it, l
	heap.Push(&l.items, it)
	if l.index < 0 {
		l.served = max(l.served, q.floor)
		heap.Push(&q.ready, l)
	}
	return nil
}

// Pop returns the next request that can still meet its deadline. Requests that cannot are removed and returned as late.
// Weight is the share of a team; it must be positive.
func (q *Queue) Pop(now time.Time, weight func(team string) float64) (id string, late []string, ok bool) {
	for len(q.ready) > 0 {
		l := q.ready[0]
		it := l.items[0]
		if it.deadline.After(now) {
			q.floor = l.served
			l.served += 1 / weight(l.team)
			q.remove(it)
			return it.id, late, true
		}
		late = append(late, it.id)
		q.remove(it)
	}
	return "", late, false
}

// Cancel removes a request and reports whether it was queued.
func (q *Queue) Cancel(id string) bool {
	it := q.items[id]
	if it != nil {
		q.remove(it)
	}
	return it != nil
}

func (q *Queue) remove(it *item) {
	l := q.lines[it.team]
	heap.Remove(&l.items, it.index)
	delete(q.items, it.id)
	if len(l.items) > 0 {
		heap.Fix(&q.ready, l.index)
		return
	}
	heap.Remove(&q.ready, l.index)
	// A line whose service is ahead of the others is kept for a team that returns soon.
	if l.served <= q.floor {
		delete(q.lines, it.team)
	}
	if len(q.ready) == 0 {
		clear(q.lines)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

type items []*item

func (h items) Len() int           { return len(h) }
func (h items) Less(i, j int) bool { return h[i].seq < h[j].seq }
func (h items) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *items) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}
func (h *items) Pop() any {
	n := len(*h) - 1
	it := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return it
}

type lines []*line

func (h lines) Len() int { return len(h) }
func (h lines) Less(i, j int) bool {
	if h[i].served != h[j].served {
		return h[i].served < h[j].served
	}
	return h[i].team < h[j].team
}
func (h lines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *lines) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}
func (h *lines) Pop() any {
	n := len(*h) - 1
	l := (*h)[n]
	(*h)[n] = nil
	l.index = -1
	*h = (*h)[:n]
	return l
}
