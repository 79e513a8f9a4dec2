package dispatch

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// What became of the jobs and runs of a term is added up by class and by team, in plain fields: an event costs some additions
// and no allocation, and the sums are read only when the metrics are. A later leader begins anew.

const (
	// MaxNamedGroups is the largest number of classes, and of teams, with sums of their own. It bounds the size of a scrape.
	MaxNamedGroups = 64
	// OtherGroup is the name under which all further ones are summed.
	OtherGroup = "other"
	// maxRefusalReasons bounds the reasons with a counter of their own in each class, OtherGroup included.
	maxRefusalReasons = 16
	// maxReasonBytes is the size of the longest text that counts as a reason of its own.
	maxReasonBytes = 100
)

// The upper bounds of the buckets of the histograms. A last bucket takes what exceeds them.
var (
	// SecondsBounds are those of times in seconds.
	SecondsBounds = []float64{
		0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 7200,
	}
	// RatioBounds are those of times relative to the objective. 1 and lateFactor are among them.
	RatioBounds = []float64{0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.25, 1.5, 2, lateFactor, 4, 6, 10, 30}
)

// Histogram counts values by the first of the bounds that they don't exceed.
type Histogram struct {
	Bounds []float64
	// Counts has one element more than Bounds, for the values above the last one.
	Counts []uint64
	Sum    float64
}

// newHistogram returns an empty histogram.
func newHistogram(bounds []float64) Histogram {
	return Histogram{Bounds: bounds, Counts: make([]uint64, len(bounds)+1)}
}

// add adds a value.
func (h *Histogram) add(v float64) {
	i, _ := slices.BinarySearch(h.Bounds, v)
	h.Counts[i]++
	h.Sum += v
}

// merge adds the values of another histogram with the same bounds.
func (h *Histogram) merge(o *Histogram) {
	for i, n := range o.Counts {
		h.Counts[i] += n
	}
	h.Sum += o.Sum
}

// Count returns the number of values.
func (h *Histogram) Count() uint64 {
	var n uint64
	for _, c := range h.Counts {
		n += c
	}
	return n
}

// JobEnd says how a job ended.
type JobEnd int

// The ends of jobs.
const (
	JobCompleted JobEnd = iota
	JobFailed
	JobCancelled
	NumJobEnds
)

// String returns the name of the end in metrics.
func (e JobEnd) String() string { return [...]string{"completed", "failed", "cancelled"}[e] }

// Lateness says whether a job ended in time.
type Lateness int

// The degrees of lateness.
const (
	// InTime means that the job ended within its objective.
	InTime Lateness = iota
	// Late means that it ended later, but within lateFactor times its objective.
	Late
	// Missed means that it ended later than that.
	Missed
	// Untimed means that the job had no objective, or long-running tasks, which don't end by themselves.
	Untimed
	NumLateness
)

// String returns the name of the lateness in metrics.
func (l Lateness) String() string { return [...]string{"in time", "late", "missed", "untimed"}[l] }

// RunEnd says how a run ended.
type RunEnd int

// The ends of runs.
const (
	RunDone RunEnd = iota
	RunFailed
	RunStopped
	// RunLapsed means that the worker ended the run because its lease had expired.
	RunLapsed
	// RunBroken means that another member of the gang ended, or didn't start.
	RunBroken
	// RunLost means that the worker had the run and no longer reports it, or is taken for ended.
	RunLost
	// RunNotStarted means that the worker never had the run, as far as is known.
	RunNotStarted
	// RunUnknown means that the worker gave another reason.
	RunUnknown
	NumRunEnds
)

// String returns the name of the end in metrics.
func (e RunEnd) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "lost", "not started", "unknown"}[e]
}

// WasteCause says why the work of a run is of no use.
type WasteCause int

// The causes.
const (
	// WasteStopped means that the run was stopped, and its task has to start again.
	WasteStopped WasteCause = iota
	// WasteLost means that the run was lost with its worker, or its lease expired.
	WasteLost
	// WasteFailed means that the run failed, or its job did.
	WasteFailed
	// WasteBroken means that another member of the gang ended, or didn't start.
	WasteBroken
	// WasteDuplicate means that another run of the task was done first, or goes on.
	WasteDuplicate
	// WasteCancelled means that the job was cancelled.
	WasteCancelled
	NumWasteCauses
)

// String returns the name of the cause in metrics.
func (c WasteCause) String() string {
	return [...]string{"stopped", "lost", "failed", "broken", "duplicate", "cancelled"}[c]
}

// Refusals counts the refusals for one reason.
type Refusals struct {
	Reason string
	Count  uint64
}

// GroupOutcomes holds the sums of one class or one team. A recurring job counts once for each occurrence, from its due time.
type GroupOutcomes struct {
	Name     string
	Accepted uint64
	// Wait holds the times in seconds until the first task was ordered to start.
	Wait Histogram
	// Duration holds the times in seconds until the job was completed or failed, Ratio the same relative to the objective.
	// Neither contains cancelled jobs, whose ends the callers choose, and jobs that are Untimed.
	Duration, Ratio Histogram
	Ends            [NumJobEnds][NumLateness]uint64
	// Refused is ordered by when the reasons first occurred.
	Refused []Refusals
	Runs    [NumRunEnds]uint64
	// CoreSeconds is the work of all runs that have ended: their declared cores times the time since their start. Wasted is
	// the part of it that was of no use. Long-running tasks serve while they run, so none of their work is wasted.
	CoreSeconds float64
	Wasted      [NumWasteCauses]float64
}

// newGroupOutcomes returns empty sums.
func newGroupOutcomes(name string) *GroupOutcomes {
	return &GroupOutcomes{
		Name: name, Wait: newHistogram(SecondsBounds), Duration: newHistogram(SecondsBounds),
		Ratio: newHistogram(RatioBounds),
	}
}

// addRefusals adds refusals for a reason.
func (g *GroupOutcomes) addRefusals(reason string, n uint64) {
	i := slices.IndexFunc(g.Refused, func(r Refusals) bool { return r.Reason == reason })
	if i < 0 && len(g.Refused) >= maxRefusalReasons-1 && reason != OtherGroup {
		g.addRefusals(OtherGroup, n)
		return
	}
	if i < 0 {
		g.Refused = append(g.Refused, Refusals{Reason: reason, Count: n})
		return
	}
	g.Refused[i].Count += n
}

// merge adds the sums of another group.
func (g *GroupOutcomes) merge(o *GroupOutcomes) {
	g.Accepted += o.Accepted
	g.Wait.merge(&o.Wait)
	g.Duration.merge(&o.Duration)
	g.Ratio.merge(&o.Ratio)
	for e := range o.Ends {
		for l, n := range o.Ends[e] {
			g.Ends[e][l] += n
		}
	}
	for _, r := range o.Refused {
		g.addRefusals(r.Reason, r.Count)
	}
	for e, n := range o.Runs {
		g.Runs[e] += n
	}
	g.CoreSeconds += o.CoreSeconds
	for c, v := range o.Wasted {
		g.Wasted[c] += v
	}
}

// Groups holds the sums of up to MaxNamedGroups classes or teams in the order in which they first occurred, and those of all
// others under OtherGroup. The zero value has no groups.
type Groups struct {
	List   []*GroupOutcomes
	byName map[string]*GroupOutcomes
}

// get returns the sums of the group with the name.
func (gs *Groups) get(name string) *GroupOutcomes {
	if g, ok := gs.byName[name]; ok {
		return g
	}
	if len(gs.List) >= MaxNamedGroups && name != OtherGroup {
		return gs.get(OtherGroup)
	}
	if gs.byName == nil {
		gs.byName = map[string]*GroupOutcomes{}
	}
	g := newGroupOutcomes(name)
	gs.byName[name] = g
	gs.List = append(gs.List, g)
	return g
}

// merge adds the sums of other groups.
func (gs *Groups) merge(o *Groups) {
	for _, g := range o.List {
		gs.get(g.Name).merge(g)
	}
}

// Outcomes holds the sums by class and by team. Jobs without a team count by class only.
type Outcomes struct{ Classes, Teams Groups }

// Merge adds the sums of other outcomes. It shares no memory with them.
func (o *Outcomes) Merge(other *Outcomes) {
	o.Classes.merge(&other.Classes)
	o.Teams.merge(&other.Teams)
}

// Outcomes returns the sums of the term. They change with the next call of a method of the scheduler.
func (s *Scheduler) Outcomes() *Outcomes { return &s.outcomes }

// jobGroups are the sums to which a job counts.
type jobGroups struct {
	class *GroupOutcomes
	// team is nil for a job without a team.
	team *GroupOutcomes
}

// each calls a function for the sums.
func (g jobGroups) each(fn func(*GroupOutcomes)) {
	fn(g.class)
	if g.team != nil {
		fn(g.team)
	}
}

// ClassName returns the class under which the queue's jobs are counted.
func (q Queue) ClassName() string {
	if q.Class != "" {
		return q.Class
	}
	return q.Name
}

// className returns the class of the jobs of the queue with the name, which may have been removed.
func (s *Scheduler) className(queue string) string {
	if q, ok := s.catalog.Queues[queue]; ok {
		return q.ClassName()
	}
	if q, ok := s.keptQueues[queue]; ok {
		return q.ClassName()
	}
	return queue
}

// groupsOf returns the sums to which jobs of a queue and a team count.
func (s *Scheduler) groupsOf(queue, team string) jobGroups {
	g := jobGroups{class: s.outcomes.Classes.get(s.className(queue))}
	if team != "" {
		g.team = s.outcomes.Teams.get(team)
	}
	return g
}

// groups returns the sums to which the job counts. They stay the same if its queue is renamed.
func (s *Scheduler) groups(j *Job) jobGroups {
	if j.groups.class == nil {
		j.groups = s.groupsOf(j.queue, j.team)
	}
	return j.groups
}

// Submit accepts or refuses a job. A job that is already known gets the same answer as the first time.
func (s *Scheduler) Submit(now time.Time, r Request) Reply {
	reply := s.submit(now, r)
	switch reply.Outcome {
	case OutcomeRefused, OutcomeRejected, OutcomeTaken:
		reason := RefusalReason(reply.Outcome, reply.Reason)
		s.groupsOf(r.Queue, r.Team).each(func(g *GroupOutcomes) { g.addRefusals(reason, 1) })
	}
	return reply
}

// RefusalReason returns the reason under which a refusal is counted. Texts with numbers and long ones are not one of a few, so
// that they are counted by their outcome.
func RefusalReason(o Outcome, text string) string {
	switch {
	case text != "" && len(text) <= maxReasonBytes && utf8.ValidString(text) && !strings.ContainsAny(text, "0123456789"):
		return text
	case o == OutcomeRejected:
		return "rejected"
	}
	return "refused"
}

// countAccepted counts an accepted job.
func (s *Scheduler) countAccepted(j *Job) {
	s.groups(j).each(func(g *GroupOutcomes) { g.Accepted++ })
}

// countStart records the wait of the occurrence when its first task starts.
func (s *Scheduler) countStart(now time.Time, o *occurrence) {
	if o.hasStarted {
		return
	}
	o.hasStarted = true
	waited := max(0, now.Sub(o.job.countedFrom(o)).Seconds())
	s.groups(o.job).each(func(g *GroupOutcomes) { g.Wait.add(waited) })
}

// countEnd records the end of an occurrence.
func (s *Scheduler) countEnd(now time.Time, o *occurrence, end JobEnd) {
	j := o.job
	took := max(0, now.Sub(j.countedFrom(o)))
	lateness := Untimed
	if j.objective > 0 && !j.spec.HasLongRunning() {
		switch {
		case took <= j.objective:
			lateness = InTime
		case took <= lateFactor*j.objective:
			lateness = Late
		default:
			lateness = Missed
		}
	}
	s.groups(j).each(func(g *GroupOutcomes) {
		g.Ends[end][lateness]++
		if end != JobCancelled && lateness != Untimed {
			g.Duration.add(took.Seconds())
			g.Ratio.add(took.Seconds() / j.objective.Seconds())
		}
	})
}

// countClosed records the ends of the open occurrences of a job that has ended in the given state.
func (s *Scheduler) countClosed(now time.Time, j *Job, state State) {
	end := JobFailed
	if state == StateCancelled {
		end = JobCancelled
	}
	for _, o := range j.openOccurrences {
		s.countEnd(now, o, end)
	}
}

// runEndOf returns the end of a run for the reason that its worker gives.
func runEndOf(reason EndReason) RunEnd {
	switch reason {
	case EndDone:
		return RunDone
	case EndFailed:
		return RunFailed
	case EndStopped:
		return RunStopped
	case EndLeaseExpired:
		return RunLapsed
	case EndGangBroken, EndGangIncomplete:
		return RunBroken
	}
	return RunUnknown
}

// countListedEnd records the end of a run that its worker has listed. It must be called before the end changes the state of
// the task. r is nil if this term did not know the run: its work is not known then.
func (s *Scheduler) countListedEnd(now time.Time, t *task, r *run, e EndReport) {
	end := runEndOf(e.Reason)
	if r == nil {
		s.groups(t.job()).each(func(g *GroupOutcomes) { g.Runs[end]++ })
		return
	}
	savedAt := r.savedAt
	if e.Checkpoint != "" {
		savedAt = now
	}
	s.countRun(r, end, savedAt, now)
}

// countReleased records a run that ended without being listed. What it did after the worker last confirmed it is not known.
func (s *Scheduler) countReleased(now time.Time, r *run) {
	switch {
	case !r.confirmed:
		s.groups(r.task.job()).each(func(g *GroupOutcomes) { g.Runs[RunNotStarted]++ })
	case r.phase == phaseStopping:
		s.countRun(r, RunStopped, r.savedAt, r.lastSeenAt(now))
	default:
		s.countRun(r, RunLost, r.savedAt, r.lastSeenAt(now))
	}
}

// countRun records a run that was at work until the given time and has saved its progress at savedAt, the zero time if it
// never did. If its task starts again, only what came after that is wasted.
func (s *Scheduler) countRun(r *run, end RunEnd, savedAt, until time.Time) {
	t := r.task
	work, wasted := r.coreSeconds(r.startedAt, until), 0.0
	cause, isWaste := wasteCauseOf(r, end)
	if isWaste {
		wasted = work
		if !t.done && !t.job().isFinal() && cause != WasteDuplicate {
			wasted = r.coreSeconds(laterOf(r.startedAt, savedAt), until)
		}
	}
	s.groups(t.job()).each(func(g *GroupOutcomes) {
		g.Runs[end]++
		g.CoreSeconds += work
		g.Wasted[cause] += wasted
	})
}

// wasteCauseOf returns why the work of a run that has ended, and was detached, is of no use. It returns false if the work is of
// use.
func wasteCauseOf(r *run, end RunEnd) (WasteCause, bool) {
	t := r.task
	switch {
	case t.step().LongRunning:
		return 0, false
	case t.job().finalState == StateCancelled:
		return WasteCancelled, true
	case t.done && t.step().Gang && r.number == t.stage.gangRunNumber:
		// The end of the first member as done stands for all of them.
		return 0, false
	case t.done:
		return WasteDuplicate, true
	case end == RunDone:
		return 0, false
	case t.job().finalState == StateFailed:
		return WasteFailed, true
	case len(t.runs) > 0:
		return WasteDuplicate, true
	}
	switch end {
	case RunFailed:
		return WasteFailed, true
	case RunBroken:
		return WasteBroken, true
	case RunLapsed, RunLost:
		return WasteLost, true
	}
	return WasteStopped, true
}

// coreSeconds returns the declared cores of the run times the seconds between two times.
func (r *run) coreSeconds(from, to time.Time) float64 {
	return float64(r.task.step().Size.Cores) / 1000 * max(0, to.Sub(from).Seconds())
}
