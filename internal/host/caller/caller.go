// Package caller serves the HTTP API for callers, who send urgent requests and batch jobs.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// Request is an urgent request of a caller.
type Request struct {
	Class string
	Team  string
	// Key identifies a keyed request: one of a class that is not idempotent, which must run at most once. It is empty for
	// idempotent classes.
	Key  string
	Body []byte
}

// Submission is a batch job that a caller submits.
type Submission struct {
	// Key becomes the job's ID.
	Key   string
	Class string
	Team  string
	// Count is the number of tasks, at least 1.
	Count int
	// Size and RunTime are the declared size and run time of each task; zero values mean the class's defaults.
	Size    fleet.Size
	RunTime time.Duration
	Body    []byte
}

// Node is the entry host that answers the requests. The contexts of Request and Submit have the deadline that the
// caller has set or else the default one; those of Show and Cancel have the default one.
type Node interface {
	Request(ctx context.Context, r Request) outcome.Reply
	Submit(ctx context.Context, s Submission) outcome.Reply
	// Show and Cancel take the ID of a job, or of a task as "<job>/<index>", and return the job's JSON form in the
	// reply's body.
	Show(ctx context.Context, id string) outcome.Reply
	Cancel(ctx context.Context, id string) outcome.Reply
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// DefaultDeadline is the deadline of requests that set none, MaxDeadline the longest one that a caller may set. Both
	// count from the arrival of the request.
	DefaultDeadline, MaxDeadline time.Duration
}

// server holds the state that the handlers share.
type server struct {
	node   Node
	limits Limits
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(n Node, limits Limits) http.Handler {
	s := &server{node: n, limits: limits}
	r := chi.NewRouter()
	r.Post("/v1/requests", handleBody(s, s.handleRequest))
	r.Post("/v1/jobs", handleBody(s, s.handleSubmit))
	r.Get("/v1/jobs/{id}", s.handleJob(n.Show))
	r.Delete("/v1/jobs/{id}", s.handleJob(n.Cancel))
	r.Get("/v1/jobs/{id}/{task}", s.handleJob(n.Show))
	r.Delete("/v1/jobs/{id}/{task}", s.handleJob(n.Cancel))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, outcome.NotRunReply(outcome.ReasonNotFound, "no such path"))
	})
	return r
}

// handleBody returns a handler that decodes a JSON body of type T strictly and sends the reply of fn.
func handleBody[T any](s *server, fn func(context.Context, T) outcome.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if reply := decodeJSON(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes), &v); reply != nil {
			writeReply(w, *reply)
			return
		}
		writeReply(w, fn(r.Context(), v))
	}
}

// requestBody is the JSON form of an urgent request.
type requestBody struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	// DeadlineMillis is the time in milliseconds from the arrival of the request to its deadline.
	DeadlineMillis *int64          `json:"deadline_ms"`
	Body           json.RawMessage `json:"body"`
}

// handleRequest handles POST /v1/requests.
func (s *server) handleRequest(ctx context.Context, b requestBody) outcome.Reply {
	if errReply := checkRequired("class", b.Class, "team", b.Team); errReply != nil {
		return *errReply
	}
	ctx, cancel, errReply := s.withDeadline(ctx, b.Key, b.DeadlineMillis)
	if errReply != nil {
		return *errReply
	}
	defer cancel()
	return s.node.Request(ctx, Request{Class: b.Class, Team: b.Team, Key: b.Key, Body: b.Body})
}

// jobBody is the JSON form of a batch job.
type jobBody struct {
	Key   string `json:"key"`
	Class string `json:"class"`
	Team  string `json:"team"`
	// Count is the number of tasks, 1 if it is missing.
	Count *int       `json:"count"`
	Size  fleet.Size `json:"size"`
	// RunMillis is the declared run time of each task in milliseconds, DeadlineMillis as in requestBody.
	RunMillis      int64           `json:"run_ms"`
	DeadlineMillis *int64          `json:"deadline_ms"`
	Body           json.RawMessage `json:"body"`
}

// maxTasksPerJob is the largest number of tasks in a job.
const maxTasksPerJob = 1000

// maxRunTime is the longest declared run time. A longer one is certainly in the wrong unit, and one of more than 292
// years would overflow time.Duration.
const maxRunTime = 366 * 24 * time.Hour

// handleSubmit handles POST /v1/jobs.
func (s *server) handleSubmit(ctx context.Context, b jobBody) outcome.Reply {
	if errReply := checkRequired("key", b.Key, "class", b.Class, "team", b.Team); errReply != nil {
		return *errReply
	}
	count := 1
	if b.Count != nil {
		count = *b.Count
	}
	switch {
	case count < 1 || count > maxTasksPerJob:
		return outcome.InvalidReply("count", "must be from 1 to 1000")
	case b.Size.Cores < 0:
		return outcome.InvalidReply("size.cores", "must not be negative")
	case b.Size.Memory < 0:
		return outcome.InvalidReply("size.memory", "must not be negative")
	case b.Size.Accelerators < 0:
		return outcome.InvalidReply("size.accelerators", "must not be negative")
	case b.RunMillis < 0 || b.RunMillis > maxRunTime.Milliseconds():
		return outcome.InvalidReply("run_ms", "must be from 0 to the milliseconds of one year")
	}
	ctx, cancel, errReply := s.withDeadline(ctx, b.Key, b.DeadlineMillis)
	if errReply != nil {
		return *errReply
	}
	defer cancel()
	return s.node.Submit(ctx, Submission{
		Key: b.Key, Class: b.Class, Team: b.Team, Count: count,
		Size: b.Size, RunTime: time.Duration(b.RunMillis) * time.Millisecond, Body: b.Body,
	})
}

// handleJob returns a handler of requests that name a job or task in their path. It passes the ID to fn.
func (s *server) handleJob(fn func(context.Context, string) outcome.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.limits.DefaultDeadline)
		defer cancel()
		id := chi.URLParam(r, "id")
		if task := chi.URLParam(r, "task"); task != "" {
			id += "/" + task
		}
		writeReply(w, fn(ctx, id))
	}
}

// withDeadline bounds ctx by the caller's deadline in ms, or by the default if ms is nil. It returns a reply if the
// deadline is out of range. Its outcome is unknown for a request or job with a key: the deadline is not part of what a
// key stands for, so the same key may have been accepted with another one.
func (s *server) withDeadline(
	ctx context.Context, key string, ms *int64,
) (context.Context, context.CancelFunc, *outcome.Reply) {
	d := s.limits.DefaultDeadline
	if ms != nil {
		if *ms < 1 || *ms > s.limits.MaxDeadline.Milliseconds() {
			errReply := outcome.InvalidReply("deadline_ms",
				"must be from 1 to "+s.limits.MaxDeadline.String()+" in milliseconds")
			if key != "" {
				errReply.Outcome = outcome.Unknown
			}
			return nil, nil, &errReply
		}
		d = time.Duration(*ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, cancel, nil
}

// checkRequired returns a reply that names the first empty field, or nil. It takes names and values in turn.
func checkRequired(pairs ...string) *outcome.Reply {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			errReply := outcome.InvalidReply(pairs[i], "is required")
			return &errReply
		}
	}
	return nil
}
