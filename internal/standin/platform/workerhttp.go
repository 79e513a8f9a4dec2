package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// instanceHeader names the worker for which a request is meant.
const instanceHeader = "Expected-Instance"

// workerHandler serves a worker with its faults.
func workerHandler(w *worker, t *faultTable) http.Handler {
	r := chi.NewRouter()
	hold := handle(w, func(r *http.Request, o orderBody) (int, workerBody) { return w.hold(r.Context(), o) })
	r.Post("/hold", withFaults(t, w.id, hold))
	r.Post("/run-start", withFaults(t, w.id, handleOrder(w, w.start)))
	r.Post("/run-stop", withFaults(t, w.id, handleOrder(w, w.stop)))
	r.Post("/pace", withFaults(t, w.id, handleOrder(w, w.pace)))
	return r
}

// handleOrder returns the handler of an order to a run.
func handleOrder(w *worker, do func(o orderBody, now time.Time) (int, workerBody)) bodyHandler {
	return handle(w, func(_ *http.Request, o orderBody) (int, workerBody) {
		if o.Task == "" || o.RunID < 1 {
			return http.StatusBadRequest, workerBody{ClockMs: w.clock(time.Now()), Born: w.boot}
		}
		return do(o, time.Now())
	})
}

// handle returns a handler that decodes the body of a request to the worker, calls do and writes its response. It
// refuses a request that is meant for another worker.
func handle(w *worker, do func(*http.Request, orderBody) (int, workerBody)) bodyHandler {
	return func(rw http.ResponseWriter, r *http.Request, data []byte) {
		if id := r.Header.Get(instanceHeader); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o orderBody
		if err := json.Unmarshal(data, &o); err != nil {
			writeJSON(rw, http.StatusBadRequest, workerBody{ClockMs: w.clock(time.Now()), Born: w.boot})
			return
		}
		status, body := do(r, o)
		if w.isGone() {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, status, body)
	}
}

// isGone reports whether the worker has left or crashed.
func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}
