package platform

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Rule is a rule that a correct scheduler never breaks.
type Rule string

// The rules.
const (
	// RuleTwice forbids two runs of a task at the same time, and a start after an acknowledged end as done.
	RuleTwice Rule = "TWICE"
	// RuleLimit forbids a start that brings a worker over its capacity.
	RuleLimit Rule = "LIMIT"
	// RuleOrder forbids a start before the steps on which it depends are done, or before its due time.
	RuleOrder Rule = "ORDER"
	// RuleLost forbids that a long-running task has no run for long though there is room, and that an accepted job is
	// unknown.
	RuleLost Rule = "LOST"
	// RuleUnasked forbids starts of what no caller has sent, of what was refused, and of what was cancelled.
	RuleUnasked Rule = "UNASKED"
	// RuleMixed forbids that a job is shown as completed before all its tasks are done.
	RuleMixed Rule = "MIXED"
	// RuleKeys forbids that a call is carried out whose key no manifest contained, that a call is refused or carried out by
	// a manifest that is no longer in force, and that a tenant sees or changes the job of another.
	RuleKeys Rule = "KEYS"
	// RuleQuota forbids a start that brings a tenant over its quota.
	RuleQuota Rule = "QUOTA"
	// RuleEvacuated forbids starts in a zone that is evacuated.
	RuleEvacuated Rule = "EVAC"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule          `json:"rule"`
	Task   string        `json:"task"`
	Worker string        `json:"worker,omitempty"`
	Detail string        `json:"detail"`
	After  time.Duration `json:"after"`
}

// Report is what was seen.
type Report struct {
	// Accepted, Refused and Cancelled count jobs. Unauthorized counts the answers with status 401. Starts counts runs, Done and Acknowledged tasks that have ended as done,
	// and Ended all ends of runs by their reason.
	Accepted     int            `json:"accepted"`
	Refused      int            `json:"refused"`
	Cancelled    int            `json:"cancelled"`
	Unauthorized int            `json:"unauthorized"`
	Starts       int            `json:"starts"`
	Done         int            `json:"done"`
	Acknowledged int            `json:"acknowledged"`
	Ended        map[string]int `json:"ended"`
	// Vanished counts runs that ended with their worker. Running is the number of runs at present.
	Vanished   int         `json:"vanished"`
	Running    int         `json:"running"`
	Violations []Violation `json:"violations"`
}

// recorder records what the stand-in is told and checks the rules.
type recorder struct {
	log   logrus.FieldLogger
	begun time.Time

	mu      sync.Mutex
	jobs    map[string]*jobRecord
	tasks   map[string]*taskRecord
	workers map[life]*workerRecord
	// evacuated holds the beginning of the evacuation of each evacuated zone.
	evacuated map[string]time.Time
	// disturbedAt is the time of the last disturbance. While a kind of server is in faulty, the disturbance lasts.
	disturbedAt time.Time
	faulty      map[string]struct{}
	// manifests holds what the manifests say of keys, in the order in which they were written. hasTenants is set once one has
	// tenants.
	manifests  []*manifestTerms
	hasTenants bool
	counts     Report
	violations []Violation
	// lastCheck is the time of the last check of what must happen in time.
	lastCheck time.Time
}

// jobRecord is what callers sent of a job and were told of it.
type jobRecord struct {
	service string
	body    submissionBody
	// pending is the number of submissions without an answer, accepted and refused are set by their answers, and unknown
	// by one after which the job may have been accepted.
	pending                    int
	accepted, refused, unknown bool
	acceptedAt                 time.Time
	// cancelSent is set when a caller has cancelled the job, and cancelledAt once that was confirmed.
	cancelSent  bool
	cancelledAt time.Time
	// calls are the submissions while manifests have tenants, and tenant is the one whose key the first with a known key had.
	calls  []keyedCall
	tenant string
}

// taskRecord is what workers said of a task.
type taskRecord struct {
	// runs holds the runs at present.
	runs map[runOn]struct{}
	// done is set when a run has ended as done, acknowledged when such an end was acknowledged.
	done, acknowledged bool
	// unacknowledged holds the ends as done that can still be acknowledged, and whether the task was started since.
	unacknowledged map[runOn]bool
	// lackingSince is when the task began to lack a run for which there was room, zero if it doesn't.
	lackingSince time.Time
	// lostReported is set while the present lack of a run is reported.
	lostReported bool
}

// runOn is a run of a task on a worker.
type runOn struct {
	life   life
	number int
}

// workerRecord is a worker that is up.
type workerRecord struct {
	zone     string
	labels   []string
	capacity fleet.Size
	draining bool
	// used is what the runs on it count against its capacity.
	used fleet.Size
	runs map[runKey]stepBody
}

// newRecorder returns an empty recorder.
func newRecorder(log logrus.FieldLogger) *recorder {
	return &recorder{
		log: log, begun: time.Now(), jobs: map[string]*jobRecord{}, tasks: map[string]*taskRecord{},
		workers: map[life]*workerRecord{}, evacuated: map[string]time.Time{}, faulty: map[string]struct{}{},
		counts: Report{Ended: map[string]int{}},
	}
}

// taskName is the parsed name of a task.
type taskName struct {
	job                     string
	occurrence, step, index int
}

// parseTask parses the name of a task: the job, the occurrence, the step and the index, separated by dots.
func parseTask(task string) (taskName, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	n := taskName{job: parts[0]}
	for i, v := range []*int{&n.occurrence, &n.step, &n.index} {
		var err error
		if *v, err = strconv.Atoi(parts[1+i]); err != nil || *v < 0 {
			return taskName{}, false
		}
	}
	return n, true
}

// String returns the name of the task.
func (n taskName) String() string {
	return n.job + "." + strconv.Itoa(n.occurrence) + "." + strconv.Itoa(n.step) + "." + strconv.Itoa(n.index)
}

// occurrences returns how often the steps of the job run.
func (j *jobRecord) occurrences() int { return max(1, j.body.RepeatCount) }

// step returns the step of a task, and whether the job has the task.
func (j *jobRecord) step(n taskName) (stepBody, bool) {
	if n.step >= len(j.body.Steps) || n.occurrence >= j.occurrences() || n.index >= j.body.Steps[n.step].Count {
		return stepBody{}, false
	}
	return j.body.Steps[n.step], true
}

// task returns the record of a task, which is created on first use. The caller holds mu.
func (r *recorder) task(name string) *taskRecord {
	t, ok := r.tasks[name]
	if !ok {
		t = &taskRecord{runs: map[runOn]struct{}{}, unacknowledged: map[runOn]bool{}}
		r.tasks[name] = t
	}
	return t
}

// violate records a broken rule. The caller holds mu.
func (r *recorder) violate(rule Rule, task, worker, detail string, now time.Time) {
	v := Violation{Rule: rule, Task: task, Worker: worker, Detail: detail, After: now.Sub(r.begun)}
	r.violations = append(r.violations, v)
	r.log.WithFields(logrus.Fields{"rule": rule, "task": task, "worker": worker}).Error("standin: " + detail)
}

// report returns what was seen so far.
func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counts
	out.Ended = map[string]int{}
	for reason, n := range r.counts.Ended {
		out.Ended[reason] = n
	}
	for _, w := range r.workers {
		out.Running += len(w.runs)
	}
	for _, j := range r.jobs {
		switch {
		case j.accepted:
			out.Accepted++
		case j.refused:
			out.Refused++
		}
		if !j.cancelledAt.IsZero() {
			out.Cancelled++
		}
	}
	out.Violations = append([]Violation{}, r.violations...)
	return out
}

// disturb records a disturbance, after which some rules rest for a while.
func (r *recorder) disturb(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt = now
}

// setFaulty records whether a kind of server has a fault.
func (r *recorder) setFaulty(kind string, faulty bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt = now
	delete(r.faulty, kind)
	if faulty {
		r.faulty[kind] = struct{}{}
	}
}

// setEvacuated records that the evacuation of a zone has begun or ended.
func (r *recorder) setEvacuated(zone string, on bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuated, zone)
	if on {
		r.evacuated[zone] = now
	}
}

// workerUp records a new worker.
func (r *recorder) workerUp(w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[w.life] = &workerRecord{
		zone: w.zone, labels: w.labels, capacity: w.capacity, runs: map[runKey]stepBody{},
	}
}

// workerDraining records that a worker has announced that it will leave, or leaves without notice.
func (r *recorder) workerDraining(l life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[l].draining = true
}

// workerGone records that a worker has left or crashed, and all its runs with it.
func (r *recorder) workerGone(l life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.workers[l]
	if !ok {
		return
	}
	for k := range w.runs {
		delete(r.task(k.task).runs, runOn{l, k.number})
	}
	r.counts.Vanished += len(w.runs)
	delete(r.workers, l)
	r.forgetEnds(l)
}

// leaseLapsed records that the lease of a worker has lapsed: acknowledgements of earlier ends no longer count.
func (r *recorder) leaseLapsed(l life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetEnds(l)
}

// forgetEnds forgets the ends of a worker that were not acknowledged. The caller holds mu.
func (r *recorder) forgetEnds(l life) {
	for _, t := range r.tasks {
		for on := range t.unacknowledged {
			if on.life == l {
				delete(t.unacknowledged, on)
			}
		}
	}
}

// submitted records a submission that is about to be sent to an entry host. It returns false if the body can't be
// decoded or the job is known with another one.
func (r *recorder) submitted(id, service string, data []byte) bool {
	var body submissionBody
	if json.Unmarshal(data, &body) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		j = &jobRecord{service: service, body: body}
		r.jobs[id] = j
	}
	j.pending++
	return true
}

// answered records the status of the answer to a submission, 0 if there was none.
func (r *recorder) answered(id string, status int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	j.pending--
	switch outcomeOf(status) {
	case outcomeAccepted:
		if !j.accepted {
			j.accepted, j.acceptedAt = true, now
		}
	case outcomeRefused:
		j.refused = true
	default:
		j.unknown = true
	}
}

// cancelSent records a cancellation that is about to be sent to an entry host.
func (r *recorder) cancelSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, ok := r.jobs[id]; ok {
		j.cancelSent = true
	}
}

// cancelled records that a cancellation was confirmed.
func (r *recorder) cancelled(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, ok := r.jobs[id]; ok && j.cancelledAt.IsZero() {
		j.cancelledAt = now
	}
}
