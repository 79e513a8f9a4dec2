package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
)

// taskCmds groups the commands for batch jobs and tasks.
type taskCmds struct {
	List   taskListCmd   `cmd:"" help:"List batch jobs that the host knows."`
	Show   taskShowCmd   `cmd:"" help:"Show a job or one of its tasks."`
	Cancel taskCancelCmd `cmd:"" help:"Cancel a job or one of its tasks."`
}

// taskListCmd lists batch jobs.
type taskListCmd struct {
	State string `help:"Only jobs with a task in this state: pending, running, done, parked, cancelled, moved." enum:",pending,running,done,parked,cancelled,moved" default:""`
	Class string `help:"Only jobs of this class." default:""`
	Limit int    `help:"Maximum number of jobs to list." default:"100"`
}

// Help returns the details of the command.
func (taskListCmd) Help() string {
	return `Example:

  sassafraswind task list --state parked --class fit-assessment`
}

// Run lists the jobs.
func (c *taskListCmd) Run(s *session) error {
	q := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.State != "" {
		q.Set("state", c.State)
	}
	if c.Class != "" {
		q.Set("class", c.Class)
	}
	var list operator.JobList
	if err := s.client.get(s.ctx, "/v1/jobs?"+q.Encode(), &list); err != nil {
		return err
	}
	return s.print(list, func(w *tabwriter.Writer) {
		printRow(w, "JOB", "CLASS", "TEAM", "TASKS", "STATES")
		for _, j := range list.Jobs {
			printRow(w, j.ID, j.Class, j.Team, j.Count, formatStates(j))
		}
		if list.More {
			_, _ = fmt.Fprintf(w, "There are more than %d jobs; raise --limit to list more.\n", c.Limit)
		}
	})
}

// formatStates lists the number of tasks of a job in each state.
func formatStates(j operator.Job) string {
	var parts []string
	for state, n := range j.States {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", state, n))
		}
	}
	slices.Sort(parts)
	if j.Cancelled {
		parts = append(parts, "(job cancelled)")
	}
	return strings.Join(parts, " ")
}

// jobPath returns the URL path of a job or, for an ID of the form JOB/INDEX, of a task.
func jobPath(id string) (string, error) {
	job, task, isTask := strings.Cut(id, "/")
	path := "/v1/jobs/" + url.PathEscape(job)
	if isTask {
		if _, err := strconv.ParseUint(task, 10, 31); err != nil {
			return "", errors.Newf("%q is neither a job nor a task such as JOB/0", id)
		}
		path += "/" + task
	}
	if job == "" {
		return "", errors.New("the id of a job is empty")
	}
	return path, nil
}

// taskShowCmd shows a job or one of its tasks.
type taskShowCmd struct {
	ID string `arg:"" help:"Id of the job, or of a task as JOB/INDEX."`
}

// Help returns the details of the command.
func (taskShowCmd) Help() string {
	return `Examples:

  sassafraswind task show 01890a5d-ac96-774b-bcce-b302099a8057
  sassafraswind task show 01890a5d-ac96-774b-bcce-b302099a8057/0`
}

// Run shows the job or task.
func (c *taskShowCmd) Run(s *session) error {
	path, err := jobPath(c.ID)
	if err != nil {
		return err
	}
	var r operator.Reply
	if err := s.client.get(s.ctx, path, &r); err != nil {
		return err
	}
	return s.print(r, func(w *tabwriter.Writer) { printJob(w, r.JobJSON) })
}

// printJob writes the JSON form of a job or task, indented. It writes nothing if the host sent none.
func printJob(w *tabwriter.Writer, body []byte) {
	var b bytes.Buffer
	if len(body) > 0 && json.Indent(&b, body, "", "  ") == nil {
		_, _ = fmt.Fprintln(w, b.String())
	}
}

// taskCancelCmd cancels a job or one of its tasks.
type taskCancelCmd struct {
	ID string `arg:"" help:"Id of the job, or of a task as JOB/INDEX."`
}

// Help returns the details of the command.
func (taskCancelCmd) Help() string {
	return `A running task is stopped at its worker; one that finishes first keeps its result. Cancelling twice has
no further effect.

Example:

  sassafraswind task cancel 01890a5d-ac96-774b-bcce-b302099a8057

Exit codes: 0 accepted; 1 rejected or bad input; 3 unknown.`
}

// Run cancels the job or task.
func (c *taskCancelCmd) Run(s *session) error {
	path, err := jobPath(c.ID)
	if err != nil {
		return err
	}
	r, err := s.client.post(s.ctx, path+"/cancel", struct{}{})
	if err != nil {
		return err
	}
	return s.print(r, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "accepted: %s is cancelled\n", c.ID)
		printJob(w, r.JobJSON)
	})
}
