// Package operator is the HTTP surface for operators.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// ErrNotSent is wrapped by an error of Node.Change if nothing was written and nothing will be.
var ErrNotSent = errors.New("operator: change was not sent")

// Node is what the surface needs of the entry host.
type Node interface {
	Status(now time.Time) Status
	Config(now time.Time) ConfigView
	// Change writes one item of the stream config and returns after its read-back. The error is the verdict of
	// config.State.Apply, wrapped or not, if the change lost; the result then holds the current versions. It
	// wraps ErrNotSent if nothing was written. Any other error means that the effect is unknown.
	Change(ctx context.Context, item record.Item) (ChangeResult, error)
	// Jobs returns jobs that the host knows, newest first.
	Jobs(ctx context.Context, f JobFilter) ([]Job, error)
	// Show and Cancel take the id of a job, or of a task as "<job>/<index>", and return the job's JSON form in
	// the reply's body.
	Show(ctx context.Context, id string) outcome.Reply
	Cancel(ctx context.Context, id string) outcome.Reply
	// Ready reports whether the balancer may send requests, and the reason if not.
	Ready(now time.Time) (ok bool, reason string)
}

// ChangeResult is the configuration after a change was read back.
type ChangeResult struct {
	// Version is that of the changed class, team or zone, and the document version for an apply.
	Version uint64 `json:"version"`
	// Document is the document version.
	Document uint64 `json:"document"`
	// Changed is false if the configuration already was as asked for.
	Changed bool `json:"changed"`
}

// JobFilter selects jobs. Zero fields select all.
type JobFilter struct {
	// State selects jobs with a task in that state.
	State string
	Class string
	// Limit is the largest number of jobs to return.
	Limit int
}
