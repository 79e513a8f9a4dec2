package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// DefaultMaxBodyBytes is the largest request body in bytes by default.
const DefaultMaxBodyBytes = 1 << 20

// The default deadline of NewHandler, and the default and the largest limit of GET /v1/jobs.
const (
	defaultDeadline = 10 * time.Second
	defaultJobLimit = 100
	maxJobLimit     = 1000
)

// server holds the state that the handlers share.
type server struct {
	node         Node
	clock        func() time.Time
	deadline     time.Duration
	maxBodyBytes int64
}

// Option changes a default of NewHandler.
type Option func(*server)

// WithClock sets the function that returns the current time, by default time.Now.
func WithClock(now func() time.Time) Option { return func(s *server) { s.clock = now } }

// WithDeadline sets the time limit of configuration changes and of requests that concern jobs, by default 10 s.
func WithDeadline(d time.Duration) Option { return func(s *server) { s.deadline = d } }

// WithMaxBodyBytes sets the largest request body in bytes, by default 1 MiB.
func WithMaxBodyBytes(n int64) Option { return func(s *server) { s.maxBodyBytes = n } }

// NewHandler returns the HTTP handler for operators. The metrics handler serves GET /metrics.
func NewHandler(n Node, metrics http.Handler, opts ...Option) http.Handler {
	s := &server{node: n, clock: time.Now, deadline: defaultDeadline, maxBodyBytes: DefaultMaxBodyBytes}
	for _, o := range opts {
		o(s)
	}
	r := chi.NewRouter()
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, Readiness{Ready: true}) })
	r.Get("/ready", s.handleReady)
	r.Method(http.MethodGet, "/metrics", metrics)
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.node.Status(s.clock()))
	})
	r.Get("/v1/config", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.node.Config(s.clock()))
	})
	r.Post("/v1/changes", s.handleChange)
	r.Get("/v1/jobs", s.handleJobs)
	for _, path := range []string{"/v1/jobs/{id}", "/v1/jobs/{id}/{task:[0-9]+}"} {
		r.Get(path, s.handleJob(n.Show))
		r.Post(path+"/cancel", s.handleJob(n.Cancel))
	}
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusNotFound,
			Reply{Outcome: Rejected, Reason: string(outcome.ReasonNotFound), Message: "no such path"})
	})
	return r
}

// Readiness is the JSON form of the answer to GET /ready and GET /live.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// handleReady handles GET /ready.
func (s *server) handleReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.node.Ready(s.clock())
	code := http.StatusOK
	if !ok {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, Readiness{Ready: ok, Reason: reason})
}

// JobList is the JSON form of the answer to GET /v1/jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// More is true if the limit truncated the list.
	More bool `json:"more"`
}

// taskStates holds the valid values of the query parameter state.
var taskStates = map[string]bool{
	"": true, "pending": true, "running": true, "done": true, "parked": true, "cancelled": true, "moved": true,
}

// handleJobs handles GET /v1/jobs.
func (s *server) handleJobs(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := JobFilter{State: q.Get("state"), Class: q.Get("class"), Limit: defaultJobLimit}
	if !taskStates[f.State] {
		writeJSON(w, http.StatusBadRequest,
			invalidReply("state", "must be pending, running, done, parked, cancelled or moved"))
		return
	}
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxJobLimit {
			writeJSON(w, http.StatusBadRequest, invalidReply("limit", "must be from 1 to "+strconv.Itoa(maxJobLimit)))
			return
		}
		f.Limit = n
	}
	limit := f.Limit
	// One job more than requested shows whether the list is truncated.
	f.Limit++
	ctx, cancel := context.WithTimeout(r.Context(), s.deadline)
	defer cancel()
	jobs, err := s.node.Jobs(ctx, f)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable,
			Reply{Outcome: Rejected, Reason: string(outcome.ReasonNotReady), Message: err.Error()})
		return
	}
	list := JobList{Jobs: jobs[:min(len(jobs), limit)], More: len(jobs) > limit}
	if list.Jobs == nil {
		list.Jobs = []Job{}
	}
	writeJSON(w, http.StatusOK, list)
}

// handleJob returns a handler of requests that name a job or task in their path. It passes the ID to fn.
func (s *server) handleJob(fn func(context.Context, string) outcome.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := chi.URLParam(r, "id")
		if task := chi.URLParam(r, "task"); task != "" {
			id += "/" + task
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.deadline)
		defer cancel()
		writeJobReply(w, fn(ctx, id))
	}
}
