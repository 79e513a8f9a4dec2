package platform

import (
	"maps"
	"sync"
	"time"
)

// Faults are the faults of the store for a caller.
type Faults struct {
	// Silent means that calls have no effect and get no response.
	Silent bool `json:"silent"`
	// Delay is the delay before a call takes effect, which it does even if its caller has given up.
	Delay time.Duration `json:"delay"`
	// Lose means that writes take effect and get no response.
	Lose bool `json:"lose"`
}

// faultTable holds the faults of the store.
type faultTable struct {
	recorder *recorder

	mu sync.Mutex
	// byCaller holds the faults by the name of the caller; the empty name stands for all callers without an own entry.
	byCaller map[string]Faults
}

// newFaultTable returns a table without faults.
func newFaultTable(r *recorder) *faultTable {
	return &faultTable{recorder: r, byCaller: map[string]Faults{}}
}

// set replaces the faults for a caller, or those for all callers if the name is empty.
func (t *faultTable) set(caller string, f Faults, now time.Time) {
	t.mu.Lock()
	if caller == "" {
		t.byCaller = map[string]Faults{}
	}
	t.byCaller[caller] = f
	faulty := false
	for f := range maps.Values(t.byCaller) {
		faulty = faulty || f != Faults{}
	}
	t.mu.Unlock()
	t.recorder.setStoreFaulty(faulty, now)
}

// of returns the faults for a caller.
func (t *faultTable) of(caller string) Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.byCaller[caller]; ok {
		return f
	}
	return t.byCaller[""]
}
