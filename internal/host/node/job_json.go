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

// maxListedTasks is the largest number of tasks in the JSON form of a job. The others can be requested one by one.
const maxListedTasks = 100

// stateMoving is the state, in the counts of a job, of tasks that left one zone and are not recorded in the next one
// yet.
const stateMoving = "moving"

// taskJSON is the JSON form of a task.
type taskJSON struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Attempt  int    `json:"attempt"`
	Failures int    `json:"fails,omitempty"`
	Worker   string `json:"worker,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// Zone is the zone that has the task, or the one that a moved task went to.
	Zone       string          `json:"zone,omitempty"`
	Cancelling bool            `json:"cancelling,omitempty"`
	Output     json.RawMessage `json:"output,omitempty"`
}

// newTaskJSON returns the JSON form of a task as the stream of the zone has it.
func newTaskJSON(t *job.Task, zone string) taskJSON {
	v := taskJSON{
		ID: t.ID(), State: t.State().String(), Attempt: t.Attempt(), Failures: t.Failures(), Reason: t.Reason(),
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

// jobJSON is the JSON form of a job.
type jobJSON struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	Team  string `json:"team"`
	// Zone is the home zone of the job. Its tasks may be in several zones after one was taken out of service.
	Zone      string         `json:"zone"`
	Count     int            `json:"count"`
	Finished  bool           `json:"finished"`
	Cancelled bool           `json:"cancelled,omitempty"`
	States    map[string]int `json:"states"`
	// Missing names the zones that have tasks of the job and could not be asked.
	Missing []string   `json:"missing,omitempty"`
	Tasks   []taskJSON `json:"tasks,omitempty"`
	// Linked names the other zones that tasks came from or went to. It is set only in replies between hosts.
	Linked []string `json:"linked,omitempty"`
}

// newJobJSON returns the JSON form of a job as the stream of the zone has it.
func newJobJSON(j *job.Job, zone string) jobJSON {
	v := jobJSON{
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
		if len(v.Tasks) < maxListedTasks {
			v.Tasks = append(v.Tasks, newTaskJSON(t, zone))
		}
		if t.State() == job.Moved && !slices.Contains(v.Linked, t.ToZone()) {
			v.Linked = append(v.Linked, t.ToZone())
		}
	}
	return v
}

// merge adds what the stream of another zone has of the same job.
func (v *jobJSON) merge(o jobJSON) {
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

// complete computes the counts and the task list of the whole job after the replies of all zones were merged.
func (v *jobJSON) complete() {
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
	v.Tasks = slices.DeleteFunc(v.Tasks, func(t taskJSON) bool { return t.State == job.Moved.String() })
	slices.SortFunc(v.Tasks, func(a, b taskJSON) int { return taskIndex(a.ID) - taskIndex(b.ID) })
	v.Tasks = v.Tasks[:min(len(v.Tasks), maxListedTasks)]
}

// taskIndex returns the index that the ID of a task contains.
func taskIndex(id string) int {
	_, index, _ := strings.Cut(id, "/")
	n, _ := strconv.Atoi(index)
	return n
}

// Show returns the job or task with the ID as JSON.
func (n *Node) Show(ctx context.Context, id string) outcome.Reply {
	return n.doInAllZones(ctx, id, peer.JobShow)
}

// Cancel cancels a job or task and returns it as JSON.
func (n *Node) Cancel(ctx context.Context, id string) outcome.Reply {
	if !n.inFlight.begin() {
		return stoppingKeyedReply()
	}
	defer n.inFlight.end()
	return n.doInAllZones(ctx, id, peer.JobCancel)
}

// doInAllZones shows or cancels a job in each zone that has tasks of it, and merges the replies. A task is handled by
// the zone that has it.
func (n *Node) doInAllZones(ctx context.Context, id string, action peer.JobAction) outcome.Reply {
	home := n.doInHomeZone(ctx, id, action)
	if home.Outcome != outcome.Done {
		return home
	}
	if strings.Contains(id, "/") {
		return n.followMovedTask(ctx, id, action, home)
	}
	var v jobJSON
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
		r, ok := n.doInZone(ctx, zone, id, action)
		var o jobJSON
		switch {
		case !ok || r.Outcome == outcome.Unknown:
			v.Missing = append(v.Missing, zone)
		case r.Outcome == outcome.Done && json.Unmarshal(r.Body, &o) == nil:
			v.merge(o)
			queue = append(queue, o.Linked...)
		}
	}
	if len(v.Missing) > 0 && action == peer.JobCancel {
		return outcome.UnknownReply(outcome.ReasonPeer,
			"zones "+strings.Join(v.Missing, ", ")+" could not be asked to cancel; ask again")
	}
	v.complete()
	data, err := json.Marshal(v)
	if err != nil {
		return outcome.UnknownReply(outcome.ReasonUnexpected, err.Error())
	}
	return outcome.Reply{Outcome: outcome.Done, Body: data}
}

// followMovedTask carries out the action in the zones that a moved task went to, and returns the reply of the last one.
func (n *Node) followMovedTask(ctx context.Context, id string, action peer.JobAction, r outcome.Reply) outcome.Reply {
	for range len(n.otherZones()) + 1 {
		var t taskJSON
		if r.Outcome != outcome.Done || json.Unmarshal(r.Body, &t) != nil || t.State != job.Moved.String() {
			return r
		}
		next, ok := n.doInZone(ctx, t.Zone, id, action)
		if !ok {
			return next
		}
		if next.Reason == outcome.ReasonNotFound {
			return r // The move of the task is recorded, but not yet its accept.
		}
		r = next
	}
	return r
}

// doInZone shows or cancels a job or task in one zone. It returns false if the zone did not answer.
func (n *Node) doInZone(ctx context.Context, zone, id string, action peer.JobAction) (outcome.Reply, bool) {
	if zone != n.cfg.Zone {
		return n.askZone(ctx, zone, peer.JobRequest{Action: action, ID: id})
	}
	if action == peer.JobCancel {
		return n.cancelInOwnZone(ctx, id), true
	}
	return n.showInOwnZone(id), true
}

// doInHomeZone shows or cancels a job or task in the home zone of the job. The stream of keys drops a key after 25 h,
// while a job may run for weeks; after that, the zones are asked one after another.
func (n *Node) doInHomeZone(ctx context.Context, id string, action peer.JobAction) outcome.Reply {
	key, _, _ := strings.Cut(id, "/")
	status := n.keyStatus(key)
	zones := []string{n.cfg.Zone}
	if status.Intent.Kind == intent.KeyKindJob && status.Intent.Zone != "" {
		zones = []string{status.Intent.Zone}
	} else {
		zones = append(zones, n.otherZones()...)
	}
	unansweredZone := ""
	for _, zone := range zones {
		r, ok := n.doInZone(ctx, zone, id, action)
		if !ok {
			unansweredZone = zone
		} else if r.Reason != outcome.ReasonNotFound {
			return r
		}
	}
	if unansweredZone != "" {
		return outcome.UnknownReply(outcome.ReasonPeer, "zone "+unansweredZone+" cannot be asked")
	}
	// If the view of the keys is stale, another host may have accepted the job without this one knowing.
	if time.Since(n.keys.feed.FreshAsOf()) > n.cfg.Freshness.MaxViewAge {
		return outcome.UnknownReply(outcome.ReasonLog, "the job is not known here, and the log cannot be read")
	}
	return outcome.NotRunReply(outcome.ReasonNotFound, "no such job")
}

// showInOwnZone returns the JSON form of a job or task as this zone's stream has it.
func (n *Node) showInOwnZone(id string) outcome.Reply {
	n.zone.mu.Lock()
	var v any
	if strings.Contains(id, "/") {
		if t := n.zone.jobs.Task(id); t != nil {
			v = newTaskJSON(t, n.cfg.Zone)
		}
	} else if j := n.zone.jobs.Job(id); j != nil {
		v = newJobJSON(j, n.cfg.Zone)
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
