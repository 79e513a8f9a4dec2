package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// MaxBodyBytes is the size in bytes of the largest request body that the handler accepts.
const MaxBodyBytes = 8 << 20

// Handler serves one worker over HTTP. While the worker is frozen, requests wait and are handled afterwards; while it
// is unreachable, their connections are closed without a response.
func Handler(w *Worker) http.Handler {
	r := chi.NewRouter()
	r.Get("/status", func(rw http.ResponseWriter, r *http.Request) {
		status := w.Status
		if r.URL.Query().Get("brief") != "" {
			status = w.BriefStatus
		}
		handle(w, func(context.Context, struct{}) (fleet.Status, error) { return status() }, nil)(rw, r)
	})
	r.Post("/lease", handle(w, func(_ context.Context, l fleet.LeaseRequest) (fleet.Status, error) {
		return w.Lease(l)
	}, nil))
	r.Post("/release", handle(w, func(_ context.Context, f fleet.Fence) (struct{}, error) {
		return struct{}{}, w.Release(f)
	}, nil))
	r.Post("/start", handle(w, func(_ context.Context, o fleet.StartRequest) (fleet.TaskRef, error) {
		return fleet.TaskRef{ID: o.Task, Attempt: o.Attempt}, w.Start(o)
	}, func(o fleet.StartRequest) fleet.TaskRef { return fleet.TaskRef{ID: o.Task, Attempt: o.Attempt} }))
	r.Post("/control", handle(w, func(_ context.Context, m fleet.Control) (fleet.Task, error) {
		return w.Control(m)
	}, func(m fleet.Control) fleet.TaskRef { return fleet.TaskRef{ID: m.Task, Attempt: m.Attempt} }))
	r.Post("/forget", handle(w, func(_ context.Context, m fleet.Forget) (struct{}, error) {
		return struct{}{}, w.Forget(m.Fence, m.Tasks)
	}, nil))
	r.Post("/call", handle(w, w.RunCall, func(m fleet.Call) fleet.TaskRef {
		return fleet.TaskRef{ID: m.Request, Attempt: m.Attempt}
	}))
	r.Get("/call/{request}/{attempt}", func(rw http.ResponseWriter, r *http.Request) {
		// chi doesn't unescape parameters if the path contains an escaped slash.
		request, err := url.PathUnescape(chi.URLParam(r, "request"))
		attempt, attemptErr := strconv.Atoi(chi.URLParam(r, "attempt"))
		if err = errors.CombineErrors(err, attemptErr); err != nil {
			writeJSON(rw, http.StatusBadRequest, fleet.Problem{Error: err.Error()})
			return
		}
		handle(w, func(context.Context, struct{}) (fleet.CallStatus, error) {
			return w.Lookup(request, attempt)
		}, nil)(rw, r)
	})
	return r
}

// AdminHandler serves the fault switches of several workers: POST /workers/{id}/faults replaces the switches of a
// worker, POST /workers/{id}/restart restarts it and POST /workers/{id}/silence makes its open connections silent.
// GET /violations returns the recorder's violations. The handler needs a listener of its own because it must work
// while a worker is unreachable.
func AdminHandler(servers []*Server, recorder *ExecutionRecorder) http.Handler {
	r := chi.NewRouter()
	r.Get("/violations", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, recorder.Violations())
	})
	r.Post("/workers/{id}/{action}", func(w http.ResponseWriter, r *http.Request) {
		for _, s := range servers {
			if s.worker.ID() != chi.URLParam(r, "id") {
				continue
			}
			switch chi.URLParam(r, "action") {
			case "faults":
				var f Faults
				if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				s.worker.SetFaults(f)
			case "restart":
				s.worker.Restart()
			case "silence":
				s.Silence()
			default:
				http.NotFound(w, r)
				return
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		http.NotFound(w, r)
	})
	return r
}

// handle returns a handler that decodes a message of type M from the body of a POST request, calls do and writes its
// result. For fleet.ErrLeaseHeld, fleet.ErrRefused and ErrForgotten it writes a fleet.Problem with status 409, for a
// body that can't be decoded one with status 400; for any other error it closes the connection without a response. The
// function subject returns the task or request that a message refers to; it may be nil.
func handle[M, R any](
	w *Worker, do func(context.Context, M) (R, error), subject func(M) fleet.TaskRef,
) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var m M
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, MaxBodyBytes)).Decode(&m); err != nil {
				writeJSON(rw, http.StatusBadRequest, fleet.Problem{Error: err.Error()})
				return
			}
		}
		w.waitWhileFrozen()
		v, err := do(r.Context(), m)
		w.waitWhileFrozen()
		var ref fleet.TaskRef
		if subject != nil {
			ref = subject(m)
		}
		p := fleet.Problem{Subject: ref.ID, Attempt: ref.Attempt}
		switch {
		case err == nil:
			writeJSON(rw, http.StatusOK, v)
			return
		case errors.Is(err, fleet.ErrLeaseHeld):
			p.Held = true
		case errors.Is(err, fleet.ErrRefused):
			p.Refused = true
		case errors.Is(err, ErrForgotten):
		default:
			panic(http.ErrAbortHandler)
		}
		p.Error = err.Error()
		writeJSON(rw, http.StatusConflict, p)
	}
}

// waitWhileFrozen waits while the worker is frozen and aborts the request if the worker is unreachable or closed. It
// keeps waiting after the client has disconnected, because a paused process reads its socket buffers once it runs
// again.
func (w *Worker) waitWhileFrozen() {
	for {
		w.mu.Lock()
		f, changed := w.faults, w.faultsChanged
		w.mu.Unlock()
		switch {
		case f.Unreachable:
			panic(http.ErrAbortHandler)
		case !f.Freeze:
			return
		}
		select {
		case <-changed:
		case <-w.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

// writeJSON writes v as JSON with the status code.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// MonotonicClock returns a monotonic clock whose reading at the time of this call is zero.
func MonotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
