package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// instanceHeader names the worker for which a request is meant.
const instanceHeader = "Expected-Instance"

// workerCall carries out a request to a worker.
type workerCall func(w *worker, r *http.Request, o orderBody) (int, workerBody)

// workerHandler serves a worker with its faults.
func workerHandler(w *worker, t *faultTable) http.Handler {
	r := chi.NewRouter()
	post := func(path string, call workerCall) {
		late := func(rw http.ResponseWriter, r *http.Request, data []byte) { handle(w.present(), call)(rw, r, data) }
		r.Post(path, withLateFaults(t, w.id, handle(w, call), late))
	}
	post("/hold", func(w *worker, r *http.Request, o orderBody) (int, workerBody) { return w.hold(r.Context(), o) })
	post("/run-start", orderCall((*worker).start))
	post("/run-stop", orderCall((*worker).stop))
	post("/pace", orderCall((*worker).pace))
	return r
}

// orderCall returns the call of an order to a run.
func orderCall(do func(w *worker, o orderBody, now time.Time) (int, workerBody)) workerCall {
	return func(w *worker, _ *http.Request, o orderBody) (int, workerBody) {
		if o.Task == "" || o.RunID < 1 {
			return http.StatusBadRequest, workerBody{ClockMs: w.clock(time.Now()), Born: w.boot}
		}
		return do(w, o, time.Now())
	}
}

// handle returns a handler that decodes the body of a request to the worker, carries it out and writes its response. It
// refuses a request that is meant for another worker.
func handle(w *worker, call workerCall) bodyHandler {
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
		status, body := call(w, r, o)
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
