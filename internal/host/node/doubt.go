package node

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
)

// doubted reports whether a doubt of the worker, written by this host, has stood for so long that every holder has
// stopped renewing its task leases and these have expired. It writes the doubt if there is none. zone.mu is held.
func (n *Node) doubted(now time.Time, worker string) bool {
	z := &n.zone
	since, doubting := z.doubts[worker]
	if !doubting {
		// A worker that answers is another host's to settle.
		silent := now.Sub(n.startedAt)
		if at := z.leases.LastStatusAt(worker); !at.IsZero() {
			silent = now.Sub(at)
		}
		if silent < deadFor || z.recordPending[worker] {
			return false
		}
		n.settle(worker, "doubt", func() (record.Item, error) { return job.HolderQueryItem(job.HolderQuery{Worker: worker}) }, func() {
			z.mu.Lock()
			defer z.mu.Unlock()
			if _, ok := z.jobs.OpenHolderQuery(worker); ok {
				z.doubts[worker] = time.Now()
			}
		})
		return false
	}
	if _, ok := z.jobs.OpenHolderQuery(worker); !ok {
		delete(z.doubts, worker)
		return false
	}
	wait := n.cfg.Freshness.RenewalCutoff + n.cfg.Lease.TaskTTL
	return now.Sub(since) > wait+wait/10
}

// answerDoubt makes the holdings write a new hold of the worker, if this host has it, with zone.mu held. Task leases
// are not renewed until that hold was read back: a holder that reads the doubt but cannot write would otherwise renew
// them beyond the wait of the doubt.
func (n *Node) answerDoubt(now time.Time, worker string) {
	n.zone.leases.Update(now, lease.HoldMsg{Worker: worker})
}
