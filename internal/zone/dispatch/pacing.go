package dispatch

import "time"

const (
	// watchInterval is how often a worker is looked at on which tasks fill beside lasting ones. Readings cover half
	// a second.
	watchInterval = 500 * time.Millisecond
	// paceUnknown stands for a run whose share an earlier term may have changed.
	paceUnknown = -1
	// paceStep is the factor by which the share of tasks that fill changes at a time.
	paceStep = 0.5
	// paceFloor is the share below which a paced task is held back altogether.
	paceFloor = 12
	// calmShare of the target is the tail below which tasks that fill get more again.
	calmShare = 0.75
	// harmTries is the number of reductions that have to fit into the time for which a lasting task may be over its
	// target.
	harmTries = 4
)

// pace adjusts the shares of the tasks that fill beside lasting tasks with a target, from the worker's last report.
// It answers a load that moves within seconds: one reading over the target halves the share, calm doubles it.
func (s *Scheduler) pace(now time.Time, w *Worker) {
	worst, over := s.strain(now, w)
	for _, r := range s.runsOf(w) {
		if !r.task.step().Fills || r.phase != phaseRunning || r.pacing {
			continue
		}
		share := r.wanted
		switch {
		case worst < 0:
			share = 100
		case over > s.limits.Harm*(harmTries-1)/harmTries:
			share = 0
		case worst > 1:
			share = int(float64(share) * paceStep)
			if share < paceFloor {
				share = 0
			}
		case worst < calmShare:
			share = min(100, max(paceFloor, int(float64(share)/paceStep)))
		}
		r.wanted = share
		if r.pace != share {
			r.pacing = true
			s.orders = append(s.orders, Order{
				Kind: OrderPace, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: r.task.name,
				Run: r.number, Percent: share,
			})
			s.note(Event{Kind: "pace", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID})
		}
	}
}

// strain returns the worst tail of the worker's lasting tasks as a share of its target, -1 without any, and how long
// the one that is over its target for longest has been so.
func (s *Scheduler) strain(now time.Time, w *Worker) (worst float64, over time.Duration) {
	worst = -1
	for _, r := range w.runs {
		target := r.task.step().Target
		if !r.task.step().Lasting || target <= 0 || r.phase != phaseRunning || r.tail <= 0 {
			continue
		}
		ratio := float64(r.tail) / float64(target.Milliseconds())
		worst = max(worst, ratio)
		switch {
		case ratio <= 1:
			r.overSince = time.Time{}
		case r.overSince.IsZero():
			r.overSince = now
		default:
			over = max(over, now.Sub(r.overSince))
		}
	}
	return worst, over
}

// Paced takes over the answer to a pace.
func (s *Scheduler) Paced(now time.Time, o Order, a Answer, clock int64) {
	w := s.workers[o.Worker]
	if w == nil || w.Boot != o.Boot {
		return
	}
	if clock > 0 {
		w.tick(now, clock)
	}
	if r := w.runs[key{o.Task, o.Run}]; r != nil {
		r.pacing = false
		if a == AnswerDone {
			r.pace = o.Percent
		} else {
			r.pace = paceUnknown
		}
	}
}
