package limit

import (
	"container/heap"
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonFull means that the queue of the class is full.
	ReasonFull Reason = "full"
	// ReasonLate means that the request is expected to be answered after its deadline.
	ReasonLate Reason = "late"
)

// Refusal is the error that Push returns for a request that it does not queue.
type Refusal struct {
	Reason Reason
	// RetryAfter is the expected time until the queue is short enough to accept the request.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("limit: queue %s, retry after %s", r.Reason, r.RetryAfter)
}

// queuedRequest is one request in the queue.
type queuedRequest struct {
	id, team string
	deadline time.Time
	// seq numbers the requests of the Queue in order of arrival.
	seq uint64
	// index is the position in the heap of the team.
	index int
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	requests requestHeap
	team     string
	// weightedService grows by 1/weight of the team with each request taken.
	weightedService float64
	// index is the position in Queue.waitingTeams, -1 while the team has no request.
	index int
}

// Queue holds the waiting requests of one class and shares the slots fairly between teams: the next request is that of
// the team with the least weighted service.
type Queue struct {
	maxRequests int
	// requests holds the waiting requests by ID.
	requests map[string]*queuedRequest
	// teams holds the teams with waiting requests and those whose past service still counts.
	teams        map[string]*teamQueue
	waitingTeams teamHeap
	lastSeq      uint64
	// virtualTime is the weighted service, before the request, of the team whose request was last taken. A team that
	// returns starts there at least, so that it does not save up service while it has no requests.
	virtualTime float64
	// serviceTime is the exponential moving average of the service times, with a weight of 1/16 for the newest.
	serviceTime time.Duration
}

// NewQueue returns a queue of at most maxRequests requests. serviceTime is the first estimate of the service time.
func NewQueue(maxRequests int, serviceTime time.Duration) *Queue {
	return &Queue{
		maxRequests: maxRequests, serviceTime: serviceTime,
		requests: map[string]*queuedRequest{}, teams: map[string]*teamQueue{},
	}
}

// ObserveServiceTime adds the service time of a finished request to the moving average.
func (q *Queue) ObserveServiceTime(took time.Duration) {
	q.serviceTime += (took - q.serviceTime) / 16
}

// Wait returns the expected wait of a request that arrives now, with the given number of slots serving the class.
func (q *Queue) Wait(slots int) time.Duration { return q.wait(len(q.requests)+1, slots) }

// wait returns the expected wait of the request at the given place, counted from 1.
func (q *Queue) wait(place, slots int) time.Duration {
	return q.serviceTime * time.Duration(place) / time.Duration(max(slots, 1))
}

// Push queues a request, or returns a Refusal if the queue is full or the answer is expected after the deadline.
// slots is the number of slots that serve the class. A request whose ID is already queued is not queued again.
func (q *Queue) Push(now time.Time, id, team string, deadline time.Time, slots int) error {
	if q.requests[id] != nil {
		return nil
	}
	if len(q.requests) >= q.maxRequests {
		return &Refusal{Reason: ReasonFull, RetryAfter: q.wait(len(q.requests)-q.maxRequests+1, slots)}
	}
	tq := q.teams[team]
	if tq == nil {
		tq = &teamQueue{team: team, index: -1}
	}
	// Teams take turns, so a request waits for the n requests of its own team and up to n+1 of each other team. The
	// estimate ignores weights, and counts the own team among the others if it has requests waiting.
	ahead := min(len(q.requests), (len(tq.requests)+1)*len(q.waitingTeams)+len(tq.requests))
	wait := q.wait(ahead+1, slots)
	if late := now.Add(wait + q.serviceTime).Sub(deadline); late > 0 {
		return &Refusal{Reason: ReasonLate, RetryAfter: min(late, wait)}
	}
	q.lastSeq++
	r := &queuedRequest{id: id, team: team, deadline: deadline, seq: q.lastSeq}
	q.requests[id], q.teams[team] = r, tq
	heap.Push(&tq.requests, r)
	if tq.index < 0 {
		tq.weightedService = max(tq.weightedService, q.virtualTime)
		heap.Push(&q.waitingTeams, tq)
	}
	return nil
}

// Pop removes and returns the next request whose deadline has not passed. Requests past their deadline that it meets on
// the way are removed and returned as late. weight returns the weight of a team, which must be positive.
func (q *Queue) Pop(now time.Time, weight func(team string) float64) (id string, late []string, ok bool) {
	for len(q.waitingTeams) > 0 {
		tq := q.waitingTeams[0]
		r := tq.requests[0]
		if r.deadline.After(now) {
			q.virtualTime = tq.weightedService
			tq.weightedService += 1 / weight(tq.team)
			q.remove(r)
			return r.id, late, true
		}
		late = append(late, r.id)
		q.remove(r)
	}
	return "", late, false
}

// Cancel removes a request and reports whether it was queued.
func (q *Queue) Cancel(id string) bool {
	r := q.requests[id]
	if r != nil {
		q.remove(r)
	}
	return r != nil
}

func (q *Queue) remove(r *queuedRequest) {
	tq := q.teams[r.team]
	heap.Remove(&tq.requests, r.index)
	delete(q.requests, r.id)
	if len(tq.requests) > 0 {
		heap.Fix(&q.waitingTeams, tq.index)
		return
	}
	heap.Remove(&q.waitingTeams, tq.index)
	// A team whose service is ahead of the others is kept, so that its service still counts if it returns soon.
	if tq.weightedService <= q.virtualTime {
		delete(q.teams, r.team)
	}
	if len(q.waitingTeams) == 0 {
		clear(q.teams)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.requests) }

// requestHeap orders the requests of a team by arrival.
type requestHeap []*queuedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *requestHeap) Push(x any) {
	r := x.(*queuedRequest)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *requestHeap) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return r
}

// teamHeap orders teams by weighted service, then by name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedService != h[j].weightedService {
		return h[i].weightedService < h[j].weightedService
	}
	return h[i].team < h[j].team
}
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *teamHeap) Push(x any) {
	tq := x.(*teamQueue)
	tq.index = len(*h)
	*h = append(*h, tq)
}
func (h *teamHeap) Pop() any {
	n := len(*h) - 1
	tq := (*h)[n]
	(*h)[n] = nil
	tq.index = -1
	*h = (*h)[:n]
	return tq
}
