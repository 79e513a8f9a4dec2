package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// controlHandler serves the switches and the report:
//   - GET /report returns the Report, and GET /hosts the number of entry hosts that are ready.
//   - POST /faults and POST /faults/{caller} replace the Faults of the store for all callers or for one, with durations
//     in nanoseconds. POST /faults/workers replaces those of as many workers as the parameter count says, in the zone of
//     the parameter zone, if there is one, or those of all workers if the count is 0. It returns their IDs.
//   - POST /workers/{action} applies an Action to as many workers as the parameter count says, by default one, in the
//     zone of the parameter zone, if there is one. It returns their IDs.
//   - POST /manifest writes a manifest, and POST and DELETE /evacuations/{zone} begin and end an evacuation.
func controlHandler(p *Platform) http.Handler {
	r := chi.NewRouter()
	r.Get("/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Report()) })
	r.Get("/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"ready": p.ingress.readyHosts()})
	})
	r.Post("/faults", handleFaults(func(f Faults, _ *http.Request) ([]string, error) {
		p.SetFaults(f)
		return []string{}, nil
	}))
	r.Post("/faults/workers", handleFaults(func(f Faults, r *http.Request) ([]string, error) {
		n, err := count(r)
		if err != nil {
			return nil, err
		}
		return p.SetWorkerFaults(f, n, r.URL.Query().Get("zone"))
	}))
	r.Post("/faults/{caller}", handleFaults(func(f Faults, r *http.Request) ([]string, error) {
		caller := chi.URLParam(r, "caller")
		p.SetFaults(f, caller)
		return []string{caller}, nil
	}))
	r.Post("/workers/{action}", func(w http.ResponseWriter, r *http.Request) {
		n, err := count(r)
		var ids []string
		if err == nil {
			ids, err = p.ChangeWorkers(Action(chi.URLParam(r, "action")), n, r.URL.Query().Get("zone"))
		}
		writeNames(w, ids, err)
	})
	r.Post("/manifest", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = p.SetManifest(data)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	setEvacuated := func(w http.ResponseWriter, r *http.Request) {
		p.SetEvacuated(chi.URLParam(r, "zone"), r.Method == http.MethodPost)
		w.WriteHeader(http.StatusNoContent)
	}
	r.Post("/evacuations/{zone}", setEvacuated)
	r.Delete("/evacuations/{zone}", setEvacuated)
	return r
}

// count returns the parameter count of a request, by default 1. An error is marked with ErrAction.
func count(r *http.Request) (int, error) {
	text := r.URL.Query().Get("count")
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Mark(err, ErrAction)
}

// handleFaults returns a handler that decodes Faults, applies them and writes the names to which they apply.
func handleFaults(apply func(f Faults, r *http.Request) ([]string, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		names, err := apply(f, r)
		writeNames(w, names, err)
	}
}

// writeNames writes the names to which a change was applied, or the error.
func writeNames(w http.ResponseWriter, names []string, err error) {
	switch {
	case errors.Is(err, ErrAction):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		writeJSON(w, http.StatusOK, names)
	}
}
