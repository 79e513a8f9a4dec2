package node

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
)

// doubtExpired reports whether a doubt record about the worker, written by this host, has stood for so long that every
// lease holder has stopped renewing the worker's task leases and these have expired. It writes a doubt record if there
// is none. zone.mu is held.
func (n *Node) doubtExpired(now time.Time, worker string) bool {
	z := &n.zone
	since, doubting := z.doubts[worker]
	if !doubting {
		// If the worker answers, the host that holds its lease decides about its tasks.
		silent := now.Sub(n.startedAt)
		if at := z.leases.LastStatusAt(worker); !at.IsZero() {
			silent = now.Sub(at)
		}
		if silent < doubtTimeout || z.recordPending[worker] {
			return false
		}
		n.writeInBackground(worker, "doubt", func() (record.Item, error) {
			return job.HolderQueryItem(job.HolderQuery{Worker: worker})
		}, func() {
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
	wait := n.cfg.Freshness.Cutoff + n.cfg.Lease.Tasks
	return now.Sub(since) > wait+wait/10
}

// rewriteHold makes the lease manager write a new hold record of the worker, if this host has its lease. zone.mu is
// held. Task leases are not renewed until that record was read back: a holder that reads the doubt record but cannot
// write would otherwise renew them beyond the wait of doubtExpired.
func (n *Node) rewriteHold(now time.Time, worker string) {
	n.zone.leases.Update(now, lease.HoldMsg{Worker: worker})
}
