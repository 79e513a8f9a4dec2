package node

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/attempt"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/zone/capacity"
)

// slotWaiter is an attempt of a request that waits for a slot. avoid lists the workers whose slots it must not get.
// post delivers the result to the request.
type slotWaiter struct {
	attempt int
	avoid   []string
	post    func(attempt.Msg)
}

// reserve reserves a slot of a worker that this host holds or, if none is free, looks for a peer with a free slot.
func (u *idempotentRequest) reserve(c attempt.ReserveCmd) []attempt.Command {
	now := time.Now()
	z := &u.n.zone
	u.isHedge[c.Attempt] = c.Hedge
	// In a zone that was taken out, requests go to another zone as long as one can be reached. A request that came from
	// a peer, or was forwarded before, is not forwarded again, so it takes a slot here.
	if !u.fromPeer && !u.forwardedToPeer && u.n.isZoneTakenOut(u.n.cfg.Zone) {
		if peer := u.n.pickPeer(now, true); peer != "" {
			return u.lifecycle.Update(now, attempt.NoSlotMsg{Attempt: c.Attempt, Peer: peer})
		}
	}
	z.mu.Lock()
	worker, ok := u.n.reserveCall(now, u.req.Class, capacity.Key{ID: u.id, Attempt: c.Attempt}, c.Avoid)
	z.mu.Unlock()
	if ok {
		return u.lifecycle.Update(now, attempt.SlotReservedMsg{Attempt: c.Attempt, Worker: worker})
	}
	return u.lifecycle.Update(now, attempt.NoSlotMsg{Attempt: c.Attempt, Peer: u.n.pickPeer(now, false)})
}

// reserveCall reserves a slot on a worker whose lease certainly holds and that is not listed as leaving. It returns the
// worker, or false if none was found in maxSends tries. The caller holds zone.mu.
func (n *Node) reserveCall(now time.Time, class string, key capacity.Key, avoid []string) (string, bool) {
	z := &n.zone
	for range maxSends {
		worker, ok := z.capacity.ReserveCall(z.rng, class, key, avoid...)
		if !ok {
			return "", false
		}
		if z.leases.AcceptsWork(worker, now) {
			return worker, true
		}
		z.capacity.ReleaseCall(now, worker, key)
		avoid = append(slices.Clone(avoid), worker)
	}
	return "", false
}

// callScore returns the score of a worker for a call; it is infinite, which excludes the worker, if the class is bound
// to a service that the worker does not offer. The caller holds zone.mu.
func (n *Node) callScore(worker, class string) float64 {
	w := n.zone.workers[worker]
	if v := n.zone.classes[class]; v != nil && v.service != "" && (w == nil || w.service != v.service) {
		return math.Inf(1)
	}
	return n.zone.policy.CallScore(worker, class)
}

// enqueue puts the request into the queue of its class, to wait for a slot. If the queue does not take it, enqueue
// returns the commands that follow from the rejection.
func (u *idempotentRequest) enqueue(c attempt.QueueCmd) []attempt.Command {
	now := time.Now()
	z := &u.n.zone
	z.mu.Lock()
	v := u.n.classViewOf(u.req.Class)
	err := v.queue.Push(now, u.id, u.req.Team, u.deadline, u.n.heldSlots(now))
	if err == nil {
		v.waiting[u.id] = &slotWaiter{attempt: c.Attempt, post: u.post}
	}
	z.mu.Unlock()
	if err == nil {
		return nil
	}
	m := attempt.QueueRejectedMsg{Attempt: c.Attempt, Reason: string(outcome.ReasonBusy)}
	var refusal *limit.Refusal
	if errors.As(err, &refusal) {
		m.RetryAfter = refusal.RetryAfter
		if refusal.Reason == limit.ReasonLate {
			m.Reason = string(outcome.ReasonDeadline)
		}
	}
	return u.lifecycle.Update(now, m)
}

// heldSlots returns the number of slots of the workers that this host holds. The caller holds zone.mu.
func (n *Node) heldSlots(now time.Time) int {
	total := 0
	for _, id := range n.zone.leases.HeldWorkers(now) {
		total += n.zone.workers[id].status.Slots
	}
	return total
}

// release ends a reservation. If it is certain that the call no longer runs, the slot goes to a waiting request;
// otherwise it stays occupied until the worker's status shows that the call has ended or can no longer start.
func (u *idempotentRequest) release(c attempt.ReleaseCmd) {
	now := time.Now()
	key := capacity.Key{ID: u.id, Attempt: c.Attempt}
	z := &u.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if !c.AttemptEnded {
		z.capacity.AbandonCall(c.Worker, key, u.latestStarts[c.Attempt])
		return
	}
	z.capacity.ReleaseCall(now, c.Worker, key)
	u.n.assignFreeSlots(now)
}

// assignFreeSlots assigns free slots to waiting requests. All teams have the same weight. The caller holds zone.mu.
func (n *Node) assignFreeSlots(now time.Time) {
	z := &n.zone
	for class, v := range z.classes {
		for v.queue.Len() > 0 && z.capacity.FreeSlots() > 0 {
			id, late, ok := v.queue.Pop(now, func(string) float64 { return 1 })
			for _, l := range late {
				n.rejectLate(v, l)
			}
			if !ok {
				break
			}
			waiter := v.waiting[id]
			delete(v.waiting, id)
			if waiter == nil {
				continue
			}
			worker, got := n.reserveCall(now, class, capacity.Key{ID: id, Attempt: waiter.attempt}, waiter.avoid)
			if !got {
				waiter.post(attempt.QueueRejectedMsg{Attempt: waiter.attempt, Reason: string(outcome.ReasonBusy)})
				break
			}
			waiter.post(attempt.SlotReservedMsg{Attempt: waiter.attempt, Worker: worker})
		}
	}
}

// rejectLate rejects a waiting request that can no longer meet its deadline. The caller holds zone.mu.
func (n *Node) rejectLate(v *classView, id string) {
	if waiter := v.waiting[id]; waiter != nil {
		delete(v.waiting, id)
		waiter.post(attempt.QueueRejectedMsg{Attempt: waiter.attempt, Reason: string(outcome.ReasonDeadline)})
	}
}
