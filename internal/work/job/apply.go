package job

import "strconv"

// start begins an attempt of a pending task.
func (t *Table) start(at logPosition, s Start) error {
	task, err := t.lookUpPending(s.Task)
	if err != nil {
		return err
	}
	if s.Attempt != int(task.attempt)+1 {
		return ErrWrongAttempt
	}
	t.setState(task, Running, at)
	task.attempt++
	t.addRunning(task, &placement{worker: s.Worker, boot: s.Boot, host: s.Host, offset: at.offset})
	return nil
}

// end applies the result of the running attempt. After MaxFailures failed attempts the task is parked.
func (t *Table) end(at logPosition, e End) error {
	task, err := t.lookUpRunning(e.Task, e.Attempt)
	if err != nil {
		return err
	}
	task.output = e.Output
	if e.Result == ResultDone {
		t.setState(task, Done, at)
		return nil
	}
	task.failures++
	switch {
	case task.cancelling:
		t.setState(task, Cancelled, at)
	case task.failures >= MaxFailures:
		task.reason = "failed " + strconv.Itoa(MaxFailures) + " times"
		t.setState(task, Parked, at)
	default:
		t.setState(task, Pending, at)
	}
	return nil
}

// evict ends the running attempt without a result.
func (t *Table) evict(at logPosition, e Evict) error {
	task, err := t.lookUpRunning(e.Task, e.Attempt)
	if err != nil {
		return err
	}
	if e.Reason == ReasonNoHolder {
		// A Start after the HolderQuery shows that the worker was held then, so the wait proves nothing about that
		// attempt.
		queryOffset, ok := t.openHolderQueries[task.placement.worker]
		if !ok || queryOffset != e.HolderQuery || queryOffset < task.placement.offset {
			return ErrNoHolderQuery
		}
	}
	if !t.mayEvict(e, task.placement) {
		return ErrNotHolder
	}
	if len(e.Checkpoint) > 0 {
		task.checkpoint = e.Checkpoint
	}
	if task.cancelling {
		t.setState(task, Cancelled, at)
		return nil
	}
	task.evicted = true
	t.setState(task, Pending, at)
	return nil
}

// mayEvict reports whether what the host knows of the worker proves that the attempt does not run. A host that was
// paused may rely on a status that is older than the attempt. A Start comes after the Hold under which it was made, so
// if the newest Hold is that of the evicting host, no other host has started the attempt since.
func (t *Table) mayEvict(e Evict, p *placement) bool {
	h, held := t.holds[p.worker]
	held = held && h.Host == e.Host && (e.Grant == 0 || h.Grant == e.Grant && h.Boot == e.Boot)
	switch e.Reason {
	case ReasonLeaseExpired:
		return held && h.Boot == p.boot
	case ReasonRestarted:
		return held && h.Boot != p.boot
	case ReasonRefused:
		// The host that wrote the Start knows whether it was sent to the worker.
		return e.Host == p.host || held && h.Boot == p.boot
	}
	// The other reasons do not depend on which host holds the worker.
	return true
}

// cancel cancels a job with all its tasks, or a single task.
func (t *Table) cancel(at logPosition, c Cancel) error {
	if j := t.jobs[c.ID]; j != nil {
		if j.inRetention {
			return ErrFinal
		}
		if j.cancelled {
			return ErrExists
		}
		j.cancelled = true
		for _, task := range j.tasks {
			if task != nil {
				_ = t.cancelTask(at, task)
			}
		}
		return nil
	}
	if _, _, ok := splitTaskID(c.ID); !ok {
		return ErrUnknownJob
	}
	task, err := t.lookUpTask(c.ID)
	if err != nil {
		return err
	}
	return t.cancelTask(at, task)
}

// cancelTask cancels a pending task at once. A running task is marked and becomes Cancelled once its attempt ends,
// unless that attempt is done.
func (t *Table) cancelTask(at logPosition, task *Task) error {
	switch {
	case task.state == Pending:
		t.setState(task, Cancelled, at)
	case task.state == Running && !task.cancelling:
		task.cancelling = true
	case task.state == Running:
		return ErrExists
	case task.state == Moved:
		return ErrNotPending
	default:
		return ErrFinal
	}
	return nil
}

// park gives up a pending task permanently.
func (t *Table) park(at logPosition, p Park) error {
	task, err := t.lookUpPending(p.Task)
	if err != nil {
		return err
	}
	task.reason = p.Reason
	t.setState(task, Parked, at)
	return nil
}

// move hands a pending task over to another zone, or confirms an earlier move.
func (t *Table) move(at logPosition, m Move) error {
	if m.Confirmed {
		return t.confirmMove(at, m)
	}
	task, err := t.lookUpPending(m.Task)
	if err != nil {
		return err
	}
	if m.Hop != int(task.hop)+1 {
		return ErrWrongAttempt
	}
	task.hop++
	task.reason = m.ToZone
	t.setState(task, Moved, at)
	return nil
}

// confirmMove records that the other zone has accepted a moved task.
func (t *Table) confirmMove(at logPosition, m Move) error {
	task, err := t.lookUpTask(m.Task)
	switch {
	case err != nil:
		return err
	case task.state != Moved || int(task.hop) != m.Hop || task.reason != m.ToZone:
		return ErrNotMoved
	case task.moveConfirmed:
		return ErrExists
	}
	task.moveConfirmed = true
	task.checkpoint = nil
	task.unlink()
	task.job.unconfirmedMoves--
	t.retainIfFinished(task.job, at)
	return nil
}

// holderQuery opens a query about a worker, unless one is open.
func (t *Table) holderQuery(at logPosition, q HolderQuery) error {
	if _, ok := t.openHolderQueries[q.Worker]; ok {
		return ErrExists
	}
	t.openHolderQueries[q.Worker] = at.offset
	return nil
}

// hold records the holder of a worker and closes an open HolderQuery. It returns ErrNotHolder if the known Hold is
// newer: it has a higher grant in the same boot of the worker, or it is a Hold of another lease that the host had not
// read when the worker named it the holder.
func (t *Table) hold(at logPosition, h Hold) error {
	if known, ok := t.holds[h.Worker]; ok {
		same := known.Host == h.Host && known.Boot == h.Boot && known.Grant == h.Grant
		if known.Boot == h.Boot && known.Grant > h.Grant ||
			!same && h.NextOffset > 0 && known.Offset >= h.NextOffset {
			return ErrNotHolder
		}
	}
	h.Offset = at.offset
	t.holds[h.Worker] = h
	delete(t.openHolderQueries, h.Worker)
	return nil
}
