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
//   - POST /faults and POST /faults/{caller} replace the Faults for all callers or for one, with durations in
//     nanoseconds.
//   - POST /workers/{action} applies an Action to as many workers as the parameter count says, by default one, in the
//     zone of the parameter zone, if there is one. It returns their IDs.
//   - POST /manifest writes a manifest, and POST and DELETE /evacuations/{zone} begin and end an evacuation.
func controlHandler(p *Platform) http.Handler {
	r := chi.NewRouter()
	r.Get("/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Report()) })
	r.Get("/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"ready": p.ingress.readyHosts()})
	})
	setFaults := func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(chi.URLParam(r, "caller"), f)
		w.WriteHeader(http.StatusNoContent)
	}
	r.Post("/faults", setFaults)
	r.Post("/faults/{caller}", setFaults)
	r.Post("/workers/{action}", func(w http.ResponseWriter, r *http.Request) {
		n := 1
		if text := r.URL.Query().Get("count"); text != "" {
			var err error
			if n, err = strconv.Atoi(text); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		ids, err := p.ChangeWorkers(Action(chi.URLParam(r, "action")), n, r.URL.Query().Get("zone"))
		switch {
		case errors.Is(err, ErrAction):
			http.Error(w, err.Error(), http.StatusBadRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			writeJSON(w, http.StatusOK, ids)
		}
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
