package platform

import (
	"encoding/json"
	"net/http"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// maxBodyBytes is the size of the largest request body that is read.
const maxBodyBytes = 4 << 20

// newestPage is the body of a response with the newest records of each key.
type newestPage struct {
	Items []newestItem `json:"items"`
	More  bool
	End   int64
}

// newestItem is a row of newestPage.
type newestItem struct {
	Key    string
	Value  []byte
	Offset int64
}

// submissionBody is the body of a submission. Spec is the payload of the tasks.
type submissionBody struct {
	Spec        string
	Steps       []stepBody
	FirstRunMs  int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
	RepeatCount int   `json:",omitempty"`
}

// stepBody is a step of a submission.
type stepBody struct {
	Count          int
	CPU            int64  `json:"Cpu,omitempty"`
	MemMb          int64  `json:",omitempty"`
	GPU            int64  `json:"Gpu,omitempty"`
	EstimatedMs    int64  `json:",omitempty"`
	DependsOn      []int  `json:",omitempty"`
	Checkpointing  bool   `json:",omitempty"`
	Gang           bool   `json:",omitempty"`
	Requirements   string `json:",omitempty"`
	Affinity       string `json:",omitempty"`
	AntiAffinity   int    `json:",omitempty"`
	Speculative    bool   `json:",omitempty"`
	LongRunning    bool   `json:",omitempty"`
	TargetMs       int64  `json:",omitempty"`
	Fills          bool   `json:",omitempty"`
	MaxUnavailable *int   `json:",omitempty"`
}

// size returns what a task of the step counts against the capacity of a worker.
func (s stepBody) size() fleet.Size {
	size := fleet.Size{Cores: s.CPU, Memory: s.MemMb, Accelerators: s.GPU}
	if s.Fills {
		size.Cores = 0
	}
	return size
}

// declaredSize returns what a task of the step counts against the quota of its tenant.
func (s stepBody) declaredSize() fleet.Size {
	return fleet.Size{Cores: s.CPU, Memory: s.MemMb, Accelerators: s.GPU}
}

// manifestBody is the part of a manifest that the stand-in needs.
type manifestBody struct {
	Routes []struct {
		Host, PathPrefix, Service string
		Anonymous                 bool
	}
	Tenants []tenantBody
}

// capacityBody is the capacity of a worker in its registration.
type capacityBody struct {
	CPU   int64 `json:"Cpu"`
	MemMb int64
	GPU   int64 `json:"Gpu"`
}

// registrationBody is the registration of a worker.
type registrationBody struct {
	ID              string `json:"Id"`
	Service         string
	Address         string
	Zone            string
	State           string
	ColdRemainingMs int64
	RemainingMs     int64 `json:",omitempty"`
	Capacity        capacityBody
	Labels          []string
	Born            int64 `json:"born"`
}

// orderBody is the body of an order or of a lease renewal. UntilMs is the end of the leases by the worker's clock.
type orderBody struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	Checkpoint   string
	Percent      int
	Acknowledged int64
	WaitMs       int64
}

// workerBody is the body of a worker's response. Running and Finished are set in the response to a lease renewal.
type workerBody struct {
	ClockMs  int64
	Born     int64   `json:"born"`
	Reason   string  `json:",omitempty"`
	Running  [][]any `json:",omitempty"`
	Finished [][]any `json:",omitempty"`
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
