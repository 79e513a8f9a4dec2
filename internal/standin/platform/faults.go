package platform

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults of a server for a caller.
type Faults struct {
	// Silent means that calls have no effect and get no response.
	Silent bool `json:"silent"`
	// Delay is the delay before a call takes effect, which it does even if its caller has given up.
	Delay time.Duration `json:"delay"`
	// Lose means that calls with the method POST take effect and get no response.
	Lose bool `json:"lose"`
}

// faultTable holds the faults of a kind of server. Those of the store are named after the caller, those of the workers
// after the worker.
type faultTable struct {
	kind     string
	recorder *recorder

	mu sync.Mutex
	// byName holds the faults by name; the empty name stands for all without an entry of their own.
	byName map[string]Faults
}

// newFaultTable returns a table without faults.
func newFaultTable(kind string, r *recorder) *faultTable {
	return &faultTable{kind: kind, recorder: r, byName: map[string]Faults{}}
}

// set replaces the faults of the given names, or those of all if there is no name.
func (t *faultTable) set(names []string, f Faults, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(names) == 0 {
		t.byName = map[string]Faults{"": f}
	}
	for _, name := range names {
		t.byName[name] = f
	}
	faulty := false
	for f := range maps.Values(t.byName) {
		faulty = faulty || f != Faults{}
	}
	t.recorder.setFaulty(t.kind, faulty, now)
}

// of returns the faults of a name.
func (t *faultTable) of(name string) Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.byName[name]; ok {
		return f
	}
	return t.byName[""]
}

// bodyHandler handles a request whose body was read.
type bodyHandler func(w http.ResponseWriter, r *http.Request, body []byte)

// withFaults returns a handler that reads the body and carries out the request under the faults of the name at the time
// at which it arrived.
func withFaults(t *faultTable, name string, next bodyHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f := t.of(name)
		if f.Silent {
			hang(r)
		}
		// The request is carried out even if its caller has disconnected meanwhile.
		time.Sleep(f.Delay)
		if f.Lose && r.Method == http.MethodPost {
			next(discardWriter{header: http.Header{}}, r, body)
			hang(r)
		}
		next(w, r, body)
	}
}

// hang waits until the caller disconnects and closes the connection without a response.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
