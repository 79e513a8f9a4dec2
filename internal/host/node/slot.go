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

// waiter is a request that waits for a slot.
type waiter struct {
	attempt int
	avoid   []string
	reply   func(attempt.Msg)
}

// reserve looks for a slot here, then for a peer that has one.
func (u *urgent) reserve(c attempt.ReserveCmd) []attempt.Command {
	now := time.Now()
	z := &u.n.zone
	u.hedges[c.Attempt] = c.Hedge
	// In a zone that was taken out, requests go to another zone as long as one can be reached. A request that came from
	// a peer, or was passed on before, is not passed on again, so it must not wait for that.
	if !u.forwarded && !u.passed && u.n.zoneOut(u.n.cfg.Zone) {
		if peer := u.n.pickPeer(now, true); peer != "" {
			return u.life.Update(now, attempt.NoSlotMsg{Attempt: c.Attempt, Peer: peer})
		}
	}
	z.mu.Lock()
	worker, ok := u.n.reserveCall(now, u.req.Class, capacity.Key{ID: u.id, Attempt: c.Attempt}, c.Avoid)
	z.mu.Unlock()
	if ok {
		return u.life.Update(now, attempt.SlotMsg{Attempt: c.Attempt, Worker: worker})
	}
	return u.life.Update(now, attempt.NoSlotMsg{Attempt: c.Attempt, Peer: u.n.pickPeer(now, false)})
}

// reserveCall reserves a slot on a worker whose lease certainly holds, with zone.mu held. A worker that is listed as
// leaving gives no slot.
func (n *Node) reserveCall(now time.Time, class string, key capacity.Key, avoid []string) (string, bool) {
	z := &n.zone
	for range maxSends {
		worker, ok := z.capacity.ReserveCall(z.rng, class, key, avoid...)
		if !ok {
			return "", false
		}
		if z.holdings.AcceptsWork(worker, now) {
			return worker, true
		}
		z.capacity.ReleaseCall(now, worker, key)
		avoid = append(slices.Clone(avoid), worker)
	}
	return "", false
}

// callScore rates a worker for a call, with zone.mu held. Workers of another service than that of the class are left out.
func (n *Node) callScore(worker, class string) float64 {
	w := n.zone.workers[worker]
	if v := n.zone.classes[class]; v != nil && v.service != "" && (w == nil || w.service != v.service) {
		return math.Inf(1)
	}
	return n.zone.policy.CallScore(worker, class)
}

// enqueue lets the request wait for a slot.
func (u *urgent) enqueue(c attempt.QueueCmd) []attempt.Command {
	now := time.Now()
	z := &u.n.zone
	z.mu.Lock()
	v := u.n.classOf(u.req.Class)
	err := v.queue.Push(now, u.id, u.req.Team, u.end, u.n.slots(now))
	if err == nil {
		v.waiting[u.id] = &waiter{attempt: c.Attempt, reply: u.send}
	}
	z.mu.Unlock()
	if err == nil {
		return nil
	}
	m := attempt.RejectedMsg{Attempt: c.Attempt, Reason: string(outcome.ReasonBusy)}
	var refusal *limit.Refusal
	if errors.As(err, &refusal) {
		m.RetryAfter = refusal.RetryAfter
		if refusal.Reason == limit.ReasonLate {
			m.Reason = string(outcome.ReasonDeadline)
		}
	}
	return u.life.Update(now, m)
}

// slots returns the number of slots of the workers that this host holds, with zone.mu held.
func (n *Node) slots(now time.Time) int {
	total := 0
	for _, id := range n.zone.holdings.HeldWorkers(now) {
		total += n.zone.workers[id].status.Slots
	}
	return total
}

// release ends a reservation and gives the slot to a waiting request.
func (u *urgent) release(c attempt.ReleaseCmd) {
	now := time.Now()
	key := capacity.Key{ID: u.id, Attempt: c.Attempt}
	z := &u.n.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if !c.Certain {
		z.capacity.AbandonCall(c.Worker, key, u.fences[c.Attempt])
		return
	}
	z.capacity.ReleaseCall(now, c.Worker, key)
	u.n.serveWaiting(now)
}

// serveWaiting gives free slots to waiting requests, with zone.mu held.
func (n *Node) serveWaiting(now time.Time) {
	z := &n.zone
	for class, v := range z.classes {
		for v.queue.Len() > 0 && z.capacity.FreeSlots() > 0 {
			id, late, ok := v.queue.Pop(now, func(string) float64 { return 1 })
			for _, l := range late {
				n.turnAway(v, l)
			}
			if !ok {
				break
			}
			w := v.waiting[id]
			delete(v.waiting, id)
			if w == nil {
				continue
			}
			worker, got := n.reserveCall(now, class, capacity.Key{ID: id, Attempt: w.attempt}, w.avoid)
			if !got {
				w.reply(attempt.RejectedMsg{Attempt: w.attempt, Reason: string(outcome.ReasonBusy)})
				break
			}
			w.reply(attempt.SlotMsg{Attempt: w.attempt, Worker: worker})
		}
	}
}

// turnAway rejects a waiting request that can no longer meet its deadline, with zone.mu held.
func (n *Node) turnAway(v *classView, id string) {
	if w := v.waiting[id]; w != nil {
		delete(v.waiting, id)
		w.reply(attempt.RejectedMsg{Attempt: w.attempt, Reason: string(outcome.ReasonDeadline)})
	}
}
