package platform

import (
	"io"
	"maps"
	"math/rand/v2"
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
	// Late means that calls with the method POST get no response and take effect after a random time between Late and
	// lateSpread times Late, unless the server has ended by then. A worker that has restarted under its ID carries them out.
	Late time.Duration `json:"late"`
	// Share is the share of the calls that have the faults. Zero stands for all.
	Share float64 `json:"share"`
}

// lateSpread is the largest factor by which a call may take effect later than Faults.Late.
const lateSpread = 3

// faultTable holds the faults of a kind of server. Those of the store are named after the caller, those of the workers
// after the worker.
type faultTable struct {
	kind     string
	recorder *recorder

	mu  sync.Mutex
	rng *rand.Rand
	// byName holds the faults by name; the empty name stands for all without an entry of their own.
	byName map[string]Faults
}

// newFaultTable returns a table without faults.
func newFaultTable(kind string, seed uint64, r *recorder) *faultTable {
	return &faultTable{kind: kind, recorder: r, rng: rand.New(rand.NewPCG(seed, 3)), byName: map[string]Faults{}}
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

// draw returns the faults of the next call to a name, with the time by which this call is late.
func (t *faultTable) draw(name string) Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.byName[name]
	if !ok {
		f = t.byName[""]
	}
	if f.Share > 0 && t.rng.Float64() >= f.Share {
		return Faults{}
	}
	if f.Late > 0 {
		f.Late += time.Duration(t.rng.Int64N(int64((lateSpread - 1) * f.Late)))
	}
	return f
}

// bodyHandler handles a request whose body was read.
type bodyHandler func(w http.ResponseWriter, r *http.Request, body []byte)

// withFaults returns a handler that reads the body and carries out the request under the faults of the name at the time
// at which it arrived.
func withFaults(t *faultTable, name string, next bodyHandler) http.HandlerFunc {
	return withLateFaults(t, name, next, next)
}

// withLateFaults is withFaults with another handler for requests that take effect late.
func withLateFaults(t *faultTable, name string, next, late bodyHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f := t.draw(name)
		if f.Silent {
			hang(r)
		}
		// The request is carried out even if its caller has disconnected meanwhile.
		time.Sleep(f.Delay)
		if (f.Lose || f.Late > 0) && r.Method == http.MethodPost {
			carryOut := next
			if f.Late > 0 {
				carryOut = late
			}
			time.Sleep(f.Late)
			carryOut(discardWriter{header: http.Header{}}, r, body)
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
