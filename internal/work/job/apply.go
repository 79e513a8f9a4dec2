package job

import "strconv"

func (t *Table) start(at step, s Start) error {
	task, err := t.lookUpPending(s.Task)
	if err != nil {
		return err
	}
	if s.Attempt != int(task.attempt)+1 {
		return ErrWrongAttempt
	}
	t.setState(task, Running, at)
	task.attempt++
	t.occupy(task, &placement{worker: s.Worker, boot: s.Boot, host: s.Host, offset: at.offset})
	return nil
}

func (t *Table) end(at step, e End) error {
	task, err := t.lookUpRunning(e.Task, e.Attempt)
	if err != nil {
		return err
	}
	task.output = e.Output
	if e.State == ResultDone {
		t.setState(task, Done, at)
		return nil
	}
	task.fails++
	switch {
	case task.cancelling:
		t.setState(task, Cancelled, at)
	case task.fails >= MaxFails:
		task.reason = "failed " + strconv.Itoa(MaxFails) + " times"
		t.setState(task, Parked, at)
	default:
		t.setState(task, Pending, at)
	}
	return nil
}

func (t *Table) evict(at step, e Evict) error {
	task, err := t.lookUpRunning(e.Task, e.Attempt)
	if err != nil {
		return err
	}
	if e.Reason == ReasonDoubt {
		// A start after the doubt shows that the worker was held then, so the wait says nothing about that attempt.
		doubt, ok := t.doubts[task.place.worker]
		if !ok || doubt != e.Doubt || doubt < task.place.offset {
			return ErrNoDoubt
		}
	}
	if !t.entitled(e, task.place) {
		return ErrNoHold
	}
	if len(e.Checkpoint) > 0 {
		task.checkpoint = e.Checkpoint
	}
	if task.cancelling {
		t.setState(task, Cancelled, at)
		return nil
	}
	task.resumed = true
	t.setState(task, Pending, at)
	return nil
}

// entitled reports whether the host may conclude from what it knows of the worker that the attempt does not run.
// A host that was paused may judge by a status that is older than the attempt. A start follows the hold under which it
// was made, so a hold of the evicting host that is still the newest shows that no other host has started it since.
func (t *Table) entitled(e Evict, p *placement) bool {
	h, held := t.holds[p.worker]
	held = held && h.Host == e.Host && (e.Grant == 0 || h.Grant == e.Grant && h.Boot == e.Boot)
	switch e.Reason {
	case ReasonExpired:
		return held && h.Boot == p.boot
	case ReasonBoot:
		return held && h.Boot != p.boot
	case ReasonRefused:
		// The host that made the start knows whether it was sent.
		return e.Host == p.host || held && h.Boot == p.boot
	}
	return true
}

func (t *Table) cancel(at step, c Cancel) error {
	if j := t.jobs[c.ID]; j != nil {
		if j.done {
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
	if _, _, ok := splitID(c.ID); !ok {
		return ErrUnknownJob
	}
	task, err := t.lookUp(c.ID)
	if err != nil {
		return err
	}
	return t.cancelTask(at, task)
}

func (t *Table) cancelTask(at step, task *Task) error {
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

func (t *Table) park(at step, p Park) error {
	task, err := t.lookUpPending(p.Task)
	if err != nil {
		return err
	}
	task.reason = p.Reason
	t.setState(task, Parked, at)
	return nil
}

func (t *Table) move(at step, m Move) error {
	if m.Done {
		return t.confirm(at, m)
	}
	task, err := t.lookUpPending(m.Task)
	if err != nil {
		return err
	}
	if m.Hop != int(task.hop)+1 {
		return ErrWrongAttempt
	}
	task.hop++
	task.reason = m.To
	t.setState(task, Moved, at)
	return nil
}

func (t *Table) confirm(at step, m Move) error {
	task, err := t.lookUp(m.Task)
	switch {
	case err != nil:
		return err
	case task.state != Moved || int(task.hop) != m.Hop || task.reason != m.To:
		return ErrNotMoved
	case task.confirmed:
		return ErrExists
	}
	task.confirmed = true
	task.checkpoint = nil
	task.unlink()
	task.job.unconfirmed--
	t.finish(task.job, at)
	return nil
}

func (t *Table) doubt(at step, d Doubt) error {
	if _, ok := t.doubts[d.Worker]; ok {
		return ErrExists
	}
	t.doubts[d.Worker] = at.offset
	return nil
}

func (t *Table) hold(at step, h Hold) error {
	if known, ok := t.holds[h.Worker]; ok {
		same := known.Host == h.Host && known.Boot == h.Boot && known.Grant == h.Grant
		if known.Boot == h.Boot && known.Grant > h.Grant || !same && h.Next > 0 && known.At >= h.Next {
			return ErrNoHold
		}
	}
	h.At = at.offset
	t.holds[h.Worker] = h
	delete(t.doubts, h.Worker)
	return nil
}
