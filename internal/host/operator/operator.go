// Package operator serves the HTTP API for operators: health, metrics, status, configuration changes and jobs.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// ErrNotSent is wrapped by the errors of Node.Change if nothing was written and nothing will be.
var ErrNotSent = errors.New("operator: change was not sent")

// Node is the entry host that answers the requests.
type Node interface {
	Status(now time.Time) Status
	Config(now time.Time) ConfigView
	// Change writes one item to the stream named config and returns when it was read back from the log. If the change
	// was rejected, the error is that of config.State.Apply, wrapped or not, and the result holds the current versions.
	// The error wraps ErrNotSent if nothing was written. Any other error means that the effect is unknown.
	Change(ctx context.Context, item record.Item) (ChangeResult, error)
	// Jobs returns the jobs known to the host that match the filter, newest first.
	Jobs(ctx context.Context, f JobFilter) ([]Job, error)
	// Show and Cancel take the ID of a job, or of a task as "<job>/<index>", and return the job's JSON form in the
	// reply's body.
	Show(ctx context.Context, id string) outcome.Reply
	Cancel(ctx context.Context, id string) outcome.Reply
	// Ready reports whether the load balancer may send requests, and the reason if not.
	Ready(now time.Time) (ok bool, reason string)
}

// ChangeResult describes the configuration after a change was read back.
type ChangeResult struct {
	// Version is the version of the changed class, team or zone, or the document version for an apply.
	Version uint64 `json:"version"`
	// DocumentVersion is the version of the whole configuration, which an apply gives as its base version. Changes of
	// zones count too.
	DocumentVersion uint64 `json:"document"`
	// Changed is false if the configuration already was as requested.
	Changed bool `json:"changed"`
}

// JobFilter selects jobs. An empty State or Class selects all.
type JobFilter struct {
	// State selects jobs with at least one task in that state.
	State string
	Class string
	// Limit is the largest number of jobs to return.
	Limit int
}
