package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/work/intent"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// shownTasks bounds the tasks that a job's view lists. Further ones are asked for one by one.
const shownTasks = 100

// stateMoving counts tasks that left one zone and are not recorded in the next one yet.
const stateMoving = "moving"

// taskView is the JSON form of a task.
type taskView struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Attempt int    `json:"attempt"`
	Fails   int    `json:"fails,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Zone is the zone that has the task, or the one that a moved task went to.
	Zone       string          `json:"zone,omitempty"`
	Cancelling bool            `json:"cancelling,omitempty"`
	Output     json.RawMessage `json:"output,omitempty"`
}

func viewTask(t *job.Task, zone string) taskView {
	v := taskView{
		ID: t.ID(), State: t.State().String(), Attempt: t.Attempt(), Fails: t.Failures(), Reason: t.Reason(),
		Zone: zone, Cancelling: t.Cancelling(),
	}
	switch t.State() {
	case job.Running:
		v.Worker = t.Worker()
	case job.Moved:
		v.Zone = t.ToZone()
	}
	if out := t.Output(); len(out) > 0 {
		v.Output = out
		if !json.Valid(out) {
			v.Output, _ = json.Marshal(string(out))
		}
	}
	return v
}

// jobView is the JSON form of a job.
type jobView struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	Team  string `json:"team"`
	// Zone is the zone that the job is at home in. Its tasks may be in several after a zone was taken out.
	Zone      string         `json:"zone"`
	Count     int            `json:"count"`
	Finished  bool           `json:"finished"`
	Cancelled bool           `json:"cancelled,omitempty"`
	States    map[string]int `json:"states"`
	// Missing names zones that have tasks of the job and could not be asked.
	Missing []string   `json:"missing,omitempty"`
	Tasks   []taskView `json:"tasks,omitempty"`
	// Linked names the other zones that tasks came from or went to. It is used between hosts only.
	Linked []string `json:"linked,omitempty"`
}

// viewJob returns what this zone knows of a job.
func viewJob(j *job.Job, zone string) jobView {
	v := jobView{
		ID: j.ID(), Class: j.Class(), Team: j.Team(), Zone: zone, Count: j.Count(), Finished: j.Finished(),
		Cancelled: j.Cancelled(), States: map[string]int{},
	}
	for s, c := range j.Counts() {
		if c > 0 {
			v.States[job.State(s).String()] = c
		}
	}
	if j.FromZone() != "" {
		v.Linked = append(v.Linked, j.FromZone())
	}
	for i := range j.Count() {
		t := j.Task(i)
		if t == nil {
			continue
		}
		if len(v.Tasks) < shownTasks {
			v.Tasks = append(v.Tasks, viewTask(t, zone))
		}
		if t.State() == job.Moved && !slices.Contains(v.Linked, t.ToZone()) {
			v.Linked = append(v.Linked, t.ToZone())
		}
	}
	return v
}

// merge adds what another zone knows of the same job.
func (v *jobView) merge(o jobView) {
	moved := job.Moved.String()
	delete(v.States, moved)
	for s, c := range o.States {
		if s != moved {
			v.States[s] += c
		}
	}
	v.Cancelled = v.Cancelled || o.Cancelled
	v.Tasks = append(v.Tasks, o.Tasks...)
}

// finish completes a view after all zones were merged.
func (v *jobView) finish() {
	total, final := 0, 0
	delete(v.States, job.Moved.String())
	for s, c := range v.States {
		total += c
		if s == job.Done.String() || s == job.Parked.String() || s == job.Cancelled.String() {
			final += c
		}
	}
	if total < v.Count && len(v.Missing) == 0 {
		v.States[stateMoving] = v.Count - total
	}
	v.Finished = final == v.Count
	v.Linked = nil
	// A moved task is listed by the zone that has it now.
	v.Tasks = slices.DeleteFunc(v.Tasks, func(t taskView) bool { return t.State == job.Moved.String() })
	slices.SortFunc(v.Tasks, func(a, b taskView) int { return indexOf(a.ID) - indexOf(b.ID) })
	v.Tasks = v.Tasks[:min(len(v.Tasks), shownTasks)]
}

// indexOf returns the index in the id of a task.
func indexOf(id string) int {
	_, index, _ := strings.Cut(id, "/")
	n, _ := strconv.Atoi(index)
	return n
}

// Show returns a job or task by its id.
func (n *Node) Show(ctx context.Context, id string) outcome.Reply {
	return n.everywhere(ctx, id, peer.JobShow)
}

// Cancel cancels a job or task.
func (n *Node) Cancel(ctx context.Context, id string) outcome.Reply {
	if !n.inFlight.begin() {
		return stoppingKeyedReply()
	}
	defer n.inFlight.end()
	return n.everywhere(ctx, id, peer.JobCancel)
}

// everywhere asks about a job, or cancels it, in each zone that has tasks of it, and merges the replies.
func (n *Node) everywhere(ctx context.Context, id string, action peer.JobAction) outcome.Reply {
	home := n.home(ctx, id, action)
	if home.Outcome != outcome.Done {
		return home
	}
	if strings.Contains(id, "/") {
		return n.followTask(ctx, id, action, home)
	}
	var v jobView
	if err := json.Unmarshal(home.Body, &v); err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	asked := []string{v.Zone}
	for queue := v.Linked; len(queue) > 0; queue = queue[1:] {
		zone := queue[0]
		if slices.Contains(asked, zone) {
			continue
		}
		asked = append(asked, zone)
		r, ok := n.inZone(ctx, zone, id, action)
		var o jobView
		switch {
		case !ok || r.Outcome == outcome.Unknown:
			v.Missing = append(v.Missing, zone)
		case r.Outcome == outcome.Done && json.Unmarshal(r.Body, &o) == nil:
			v.merge(o)
			queue = append(queue, o.Linked...)
		}
	}
	if len(v.Missing) > 0 && action == peer.JobCancel {
		return outcome.UnknownReply(outcome.ReasonPeer, "zones "+strings.Join(v.Missing, ", ")+" could not be asked to cancel; ask again")
	}
	v.finish()
	data, err := json.Marshal(v)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	return outcome.Reply{Outcome: outcome.Done, Body: data}
}

// followTask asks about a moved task in the zones that it went to.
func (n *Node) followTask(ctx context.Context, id string, action peer.JobAction, r outcome.Reply) outcome.Reply {
	for range len(n.otherZones()) + 1 {
		var t taskView
		if r.Outcome != outcome.Done || json.Unmarshal(r.Body, &t) != nil || t.State != job.Moved.String() {
			return r
		}
		next, ok := n.inZone(ctx, t.Zone, id, action)
		if !ok {
			return next
		}
		if next.Reason == outcome.ReasonNotFound {
			return r // The task is on its way: its move is recorded, its accept is not.
		}
		r = next
	}
	return r
}

// inZone asks one zone. It returns false if the zone did not answer.
func (n *Node) inZone(ctx context.Context, zone, id string, action peer.JobAction) (outcome.Reply, bool) {
	if zone != n.cfg.Zone {
		return n.askZone(ctx, zone, peer.JobRequest{Action: action, ID: id})
	}
	if action == peer.JobCancel {
		return n.cancelHere(ctx, id), true
	}
	return n.showHere(id), true
}

// home asks the zone that a job is at home in. The stream of keys forgets a key after 25 h, while a job may run for
// weeks; then the zones are asked one after another.
func (n *Node) home(ctx context.Context, id string, action peer.JobAction) outcome.Reply {
	key, _, _ := strings.Cut(id, "/")
	known := n.keyOutcome(key)
	zones := []string{n.cfg.Zone}
	if known.Intent.Kind == intent.KeyKindJob && known.Intent.Zone != "" {
		zones = []string{known.Intent.Zone}
	} else {
		zones = append(zones, n.otherZones()...)
	}
	silent := ""
	for _, zone := range zones {
		r, ok := n.inZone(ctx, zone, id, action)
		if !ok {
			silent = zone
		} else if r.Reason != outcome.ReasonNotFound {
			return r
		}
	}
	if silent != "" {
		return outcome.UnknownReply(outcome.ReasonPeer, "zone "+silent+" cannot be asked")
	}
	// A host whose own view is old cannot say that nobody accepted the job.
	if time.Since(n.keys.feed.FreshAsOf()) > n.cfg.Freshness.MaxConfigAge {
		return outcome.UnknownReply(outcome.ReasonLog, "the job is not known here, and the log cannot be read")
	}
	return outcome.NotRunReply(outcome.ReasonNotFound, "no such job")
}

// showHere returns what this zone knows of a job or task.
func (n *Node) showHere(id string) outcome.Reply {
	n.zone.mu.Lock()
	var v any
	if strings.Contains(id, "/") {
		if t := n.zone.jobs.Task(id); t != nil {
			v = viewTask(t, n.cfg.Zone)
		}
	} else if j := n.zone.jobs.Job(id); j != nil {
		v = viewJob(j, n.cfg.Zone)
	}
	n.zone.mu.Unlock()
	if v == nil {
		return outcome.NotRunReply(outcome.ReasonNotFound, "no such job")
	}
	data, err := json.Marshal(v)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	return outcome.Reply{Outcome: outcome.Done, Body: data}
}
