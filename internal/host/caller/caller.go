// Package caller is the HTTP surface for callers.
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
	// Key identifies a request that must run at most once. It is empty for idempotent classes.
	Key  string
	Body []byte
}

// Submission is a batch job of a caller.
type Submission struct {
	// Key becomes the id of the job.
	Key   string
	Class string
	Team  string
	// Count is the number of tasks, at least 1.
	Count int
	// Size and Run are the declared size and run time of each task; zero values mean the class's defaults.
	Size fleet.Size
	Run  time.Duration
	Body []byte
}

// Node is what the surface needs of the entry host. The deadline of the context is that of the caller.
type Node interface {
	Request(ctx context.Context, r Request) outcome.Reply
	Submit(ctx context.Context, s Submission) outcome.Reply
	// Show and Cancel return the job's JSON form in the reply's body.
	Show(ctx context.Context, id string) outcome.Reply
	Cancel(ctx context.Context, id string) outcome.Reply
}

// Limits bounds what callers may send.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64
	// Deadline is used when the caller names none, DeadlineMax is the longest that one may ask for.
	Deadline, DeadlineMax time.Duration
}

// surface holds what the handlers share.
type surface struct {
	node   Node
	limits Limits
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(n Node, limits Limits) http.Handler {
	s := &surface{node: n, limits: limits}
	r := chi.NewRouter()
	r.Post("/v1/requests", post(s, s.request))
	r.Post("/v1/jobs", post(s, s.submit))
	r.Get("/v1/jobs/{id}", s.job(n.Show))
	r.Delete("/v1/jobs/{id}", s.job(n.Cancel))
	r.Get("/v1/jobs/{id}/{task}", s.job(n.Show))
	r.Delete("/v1/jobs/{id}/{task}", s.job(n.Cancel))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		write(w, outcome.NotRunReply(outcome.ReasonNotFound, "no such path"))
	})
	return r
}

// post makes a handler that decodes a JSON body of type T, strictly, and answers with the reply of fn.
func post[T any](s *surface, fn func(context.Context, T) outcome.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if reply := decode(http.MaxBytesReader(w, r.Body, s.limits.Body), &v); reply != nil {
			write(w, *reply)
			return
		}
		write(w, fn(r.Context(), v))
	}
}

// requestBody is the JSON form of an urgent request.
type requestBody struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	// Deadline is in milliseconds.
	Deadline *int64          `json:"deadline_ms"`
	Body     json.RawMessage `json:"body"`
}

// request handles POST /v1/requests.
func (s *surface) request(ctx context.Context, b requestBody) outcome.Reply {
	if bad := required("class", b.Class, "team", b.Team); bad != nil {
		return *bad
	}
	ctx, cancel, bad := s.deadline(ctx, b.Deadline)
	if bad != nil {
		return *bad
	}
	defer cancel()
	return s.node.Request(ctx, Request{Class: b.Class, Team: b.Team, Key: b.Key, Body: b.Body})
}

// jobBody is the JSON form of a batch job.
type jobBody struct {
	Key   string     `json:"key"`
	Class string     `json:"class"`
	Team  string     `json:"team"`
	Count *int       `json:"count"`
	Size  fleet.Size `json:"size"`
	// Run and Deadline are in milliseconds.
	Run      int64           `json:"run_ms"`
	Deadline *int64          `json:"deadline_ms"`
	Body     json.RawMessage `json:"body"`
}

// maxCount is the largest number of tasks in a job.
const maxCount = 1000

// maxRun is the longest declared run time. Longer ones overflow nothing but are certainly a mistake of units.
const maxRun = 366 * 24 * time.Hour

// submit handles POST /v1/jobs.
func (s *surface) submit(ctx context.Context, b jobBody) outcome.Reply {
	if bad := required("key", b.Key, "class", b.Class, "team", b.Team); bad != nil {
		return *bad
	}
	count := 1
	if b.Count != nil {
		count = *b.Count
	}
	switch {
	case count < 1 || count > maxCount:
		return outcome.InvalidReply("count", "must be from 1 to 1000")
	case b.Size.Cores < 0:
		return outcome.InvalidReply("size.cores", "must not be negative")
	case b.Size.Memory < 0:
		return outcome.InvalidReply("size.memory", "must not be negative")
	case b.Size.Accelerators < 0:
		return outcome.InvalidReply("size.accelerators", "must not be negative")
	case b.Run < 0 || b.Run > maxRun.Milliseconds():
		return outcome.InvalidReply("run_ms", "must be from 0 to the milliseconds of one year")
	}
	ctx, cancel, bad := s.deadline(ctx, b.Deadline)
	if bad != nil {
		return *bad
	}
	defer cancel()
	return s.node.Submit(ctx, Submission{
		Key: b.Key, Class: b.Class, Team: b.Team, Count: count,
		Size: b.Size, Run: time.Duration(b.Run) * time.Millisecond, Body: b.Body,
	})
}

// job makes the handler of a call that names a job in its path.
func (s *surface) job(fn func(context.Context, string) outcome.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.limits.Deadline)
		defer cancel()
		id := chi.URLParam(r, "id")
		if task := chi.URLParam(r, "task"); task != "" {
			id += "/" + task
		}
		write(w, fn(ctx, id))
	}
}

// deadline bounds ctx by the caller's deadline.
func (s *surface) deadline(ctx context.Context, ms *int64) (context.Context, context.CancelFunc, *outcome.Reply) {
	d := s.limits.Deadline
	if ms != nil {
		if *ms < 1 || *ms > s.limits.DeadlineMax.Milliseconds() {
			bad := outcome.InvalidReply("deadline_ms", "must be from 1 to "+s.limits.DeadlineMax.String()+" in milliseconds")
			return nil, nil, &bad
		}
		d = time.Duration(*ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, cancel, nil
}

// required checks that the fields, given as name and value in turn, are not empty.
func required(pairs ...string) *outcome.Reply {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			bad := outcome.InvalidReply(pairs[i], "is required")
			return &bad
		}
	}
	return nil
}
