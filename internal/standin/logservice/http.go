package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
)

// MaxRecordBytes is the size in bytes of the largest record that the handler accepts.
const MaxRecordBytes = 1 << 20

// Handler serves the log over HTTP: POST /streams/{stream} appends a record, GET /streams/{stream} reads records,
// POST /faults replaces the fault switches and GET /faults returns them, with durations in nanoseconds.
func Handler(l *Log) http.Handler {
	r := chi.NewRouter()
	r.Post("/streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, logservice.Problem{Error: err.Error(), Rejected: true})
			return
		}
		offset, err := l.Append(r.Context(), chi.URLParam(r, "stream"), data)
		switch {
		case errors.Is(err, logservice.ErrRejected):
			writeJSON(w, http.StatusTooManyRequests, logservice.Problem{Error: err.Error(), Rejected: true})
		case errors.Is(err, ErrResponseLost):
			// The panic closes the connection without a response.
			panic(http.ErrAbortHandler)
		case err != nil:
			writeJSON(w, http.StatusServiceUnavailable, logservice.Problem{Error: err.Error()})
		default:
			writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
		}
	})
	r.Get("/streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, limit, wait, err := parseReadQuery(r)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, logservice.Problem{Error: err.Error()})
			return
		}
		page, err := l.Read(r.Context(), chi.URLParam(r, "stream"), from, limit, wait)
		switch {
		case errors.Is(err, logservice.ErrExpired):
			writeJSON(w, http.StatusGone, logservice.Problem{Error: err.Error(), First: page.First, Next: page.Next})
		case err != nil:
			writeJSON(w, http.StatusServiceUnavailable, logservice.Problem{Error: err.Error()})
		default:
			writeJSON(w, http.StatusOK, page)
		}
	})
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, l.Faults()) })
	r.Post("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeJSON(w, http.StatusBadRequest, logservice.Problem{Error: err.Error()})
			return
		}
		l.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	})
	return r
}

// parseReadQuery parses the query parameters of a read, all of which are optional.
func parseReadQuery(r *http.Request) (from uint64, limit int, wait time.Duration, err error) {
	q := r.URL.Query()
	if v := q.Get("from"); v != "" {
		if from, err = strconv.ParseUint(v, 10, 64); err != nil {
			return 0, 0, 0, errors.Wrap(err, "from")
		}
	}
	if v := q.Get("limit"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil {
			return 0, 0, 0, errors.Wrap(err, "limit")
		}
	}
	if v := q.Get("wait"); v != "" {
		if wait, err = time.ParseDuration(v); err != nil {
			return 0, 0, 0, errors.Wrap(err, "wait")
		}
	}
	return from, limit, wait, nil
}

// writeJSON writes v as JSON with the status code.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
