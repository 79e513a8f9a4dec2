package dispatch

import "time"

// admit decides whether a new job is refused.
func (s *Scheduler) admit(_ time.Time, _ *Job, _ Queue) (Reply, bool) { return Reply{}, false }

// makeRoom takes room back for a task that found none.
func (s *Scheduler) makeRoom(_ time.Time, _ *task) {}
