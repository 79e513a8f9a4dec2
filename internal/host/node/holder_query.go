package node

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
	"sassafraswind.example/sassafraswind/internal/zone/lease"
)

// holderQueryExpired reports whether a holder query about the worker, read back by this host, has stayed unanswered for
// so long that every lease holder has stopped renewing the worker's task leases and these have expired. If this host
// waits for no query, it writes one once the worker has not answered it for holderQueryDelay. The caller holds zone.mu.
func (n *Node) holderQueryExpired(now time.Time, worker string) bool {
	z := &n.zone
	since, asked := z.holderQueries[worker]
	if !asked {
		// If the worker answers, the host that holds its lease decides about its tasks.
		sinceStatus := now.Sub(n.startedAt)
		if at := z.leases.LastStatusAt(worker); !at.IsZero() {
			sinceStatus = now.Sub(at)
		}
		if sinceStatus < holderQueryDelay || z.recordPending[worker] {
			return false
		}
		n.writeInBackground(worker, "doubt", func() (record.Item, error) {
			return job.HolderQueryItem(job.HolderQuery{Worker: worker})
		}, func() {
			z.mu.Lock()
			defer z.mu.Unlock()
			if _, ok := z.jobs.OpenHolderQuery(worker); ok {
				z.holderQueries[worker] = time.Now()
			}
		})
		return false
	}
	if _, ok := z.jobs.OpenHolderQuery(worker); !ok {
		delete(z.holderQueries, worker)
		return false
	}
	// The tenth that is added covers clocks that run at different rates.
	wait := n.cfg.Freshness.RenewalCutoff + n.cfg.Lease.TaskTTL
	return now.Sub(since) > wait+wait/10
}

// answerHolderQuery makes the lease manager write a new hold record of the worker, if this host has its lease. Task
// leases are not renewed until that record was read back: a holder that reads the query but cannot write would
// otherwise renew them beyond the wait of holderQueryExpired. The caller holds zone.mu.
func (z *zoneView) answerHolderQuery(now time.Time, worker string) {
	z.leases.Update(now, lease.HoldMsg{Worker: worker})
}
