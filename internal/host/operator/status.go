package operator

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Millis is a duration whose JSON form is a number of milliseconds.
type Millis time.Duration

// String returns the duration in the form of time.Duration, such as "1.5s".
func (m Millis) String() string { return time.Duration(m).String() }

// MarshalJSON returns the number of milliseconds, with fractions.
func (m Millis) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(m) / float64(time.Millisecond))
}

// UnmarshalJSON reads a number of milliseconds, which may have fractions.
func (m *Millis) UnmarshalJSON(data []byte) error {
	var f float64
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrap(err, "milliseconds")
	}
	*m = Millis(f * float64(time.Millisecond))
	return nil
}

// Status is what an entry host knows about itself, its workers, its peers and the classes.
type Status struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Ready  bool   `json:"ready"`
	// Reason says why the host is not ready.
	Reason   string         `json:"reason,omitempty"`
	Stopping bool           `json:"leaving"`
	Config   ConfigStatus   `json:"config"`
	Streams  []StreamStatus `json:"streams"`
	// Workers are the workers that the host holds.
	Workers []WorkerStatus `json:"workers"`
	Peers   []PeerStatus   `json:"peers"`
	// Zones are the zones of the configuration and, after them, those that only the settings file names.
	Zones   []config.Zone `json:"zones"`
	Classes []ClassStatus `json:"classes"`
	// Pending and Running are the numbers of batch tasks of the zone in these states.
	Pending int `json:"pending"`
	Running int `json:"running"`
}

// ConfigStatus describes the host's view of the configuration.
type ConfigStatus struct {
	// Version is the document version.
	Version uint64 `json:"version"`
	// Age is the time since the view was last known to be the newest, or since the host's start if it never was.
	Age Millis `json:"age_ms"`
	// Fresh is true if the view is recent enough for the host to start batch tasks.
	Fresh bool `json:"fresh"`
}

// StreamStatus describes how far the host has read a stream of the log.
type StreamStatus struct {
	Stream string `json:"stream"`
	// Position is the next offset to read.
	Position uint64 `json:"position"`
	// Age is the time since the host sent the last read that reached the end of the stream, 0 if no read has reached it.
	Age Millis `json:"age_ms"`
	// Skipped is the number of records and items that were skipped because they are malformed, of a newer version or of
	// an unknown kind. Rejected is the number of items that were read but could not be applied, such as stale changes.
	Skipped  uint64 `json:"skipped"`
	Rejected uint64 `json:"lost"`
}

// WorkerStatus describes a worker that the host holds.
type WorkerStatus struct {
	Worker string `json:"worker"`
	// Slots is the number of slots for urgent requests, FreeSlots that of the unused ones.
	Slots     int `json:"slots"`
	FreeSlots int `json:"free"`
	// Running is the number of batch tasks on the worker.
	Running int `json:"running"`
	// State is "leaving" or "quarantined", or empty for a worker that takes all work.
	State string `json:"state,omitempty"`
}

// PeerStatus describes another entry host.
type PeerStatus struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// State is "ready", "not ready", "leaving" or, if no sync with the peer has succeeded recently, "silent".
	State string `json:"state"`
	// Version is the document version that the peer uses.
	Version uint64 `json:"version"`
	// SinceLastSync is the time since the last sync with the peer, 0 if there was none.
	SinceLastSync Millis `json:"seen_ms"`
	// FreeSlots is the number of free slots on the workers that the peer holds, HeldWorkers the number of these workers.
	FreeSlots   int `json:"free"`
	HeldWorkers int `json:"held"`
}

// Target is the service level that operators promise for a class, as in config.Target.
type Target struct {
	P99Latency          Millis  `json:"answer_ms,omitempty"`
	FinishedPerHour     float64 `json:"finished,omitempty"`
	EvictionsPerTaskDay float64 `json:"disruption,omitempty"`
}

// ClassStatus compares a class with its target.
type ClassStatus struct {
	Name   string      `json:"name"`
	Kind   config.Kind `json:"kind"`
	Target Target      `json:"target"`
	// P99Latency is the 99th percentile of the time from arrival to answer over the last few hundred requests that this
	// host answered, 0 until there are enough of them.
	P99Latency Millis `json:"p99_ms,omitempty"`
	// FinishedPerHour is the number of tasks that finished in the last hour. EvictionsPerTaskDay is the number of
	// evictions per running task and day, from those of the last hour. Both are extrapolated while the host has observed
	// less than an hour.
	FinishedPerHour     float64 `json:"finished,omitempty"`
	EvictionsPerTaskDay float64 `json:"disruption,omitempty"`
	MeetsTarget         bool    `json:"met"`
	// Reason says why the target is not met.
	Reason  string `json:"reason,omitempty"`
	Pending int    `json:"pending"`
	Running int    `json:"running"`
}

// ConfigView is the configuration as far as the host has read it.
type ConfigView struct {
	// Version is the document version, which an apply gives as its base version.
	Version uint64 `json:"version"`
	// Age and Fresh are those of ConfigStatus.
	Age   Millis `json:"age_ms"`
	Fresh bool   `json:"fresh"`
	// Document holds the declared classes and teams, without zones.
	Document config.Document `json:"document"`
	Zones    []config.Zone   `json:"zones"`
	Versions Versions        `json:"versions"`
}

// Versions holds the versions of classes, teams and zones by name. A change gives one as its base version.
type Versions struct {
	Classes map[string]uint64 `json:"classes"`
	Teams   map[string]uint64 `json:"teams"`
	Zones   map[string]uint64 `json:"zones"`
}

// NewConfigView returns the view of the configuration s, which has the given age.
func NewConfigView(s *config.State, age time.Duration, fresh bool) ConfigView {
	v := ConfigView{
		Version: s.Version(), Age: Millis(age), Fresh: fresh, Document: s.Document(),
		Versions: Versions{Classes: map[string]uint64{}, Teams: map[string]uint64{}, Zones: map[string]uint64{}},
	}
	for _, c := range s.Classes() {
		v.Versions.Classes[c.Value.Name] = c.Version
	}
	for _, t := range s.Teams() {
		v.Versions.Teams[t.Value.Name] = t.Version
	}
	for _, z := range s.Zones() {
		v.Zones = append(v.Zones, z.Value)
		v.Versions.Zones[z.Value.Name] = z.Version
	}
	return v
}

// Job is the summary of a job.
type Job struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	Team  string `json:"team"`
	// Count is the number of tasks, States the number of tasks by state.
	Count     int            `json:"count"`
	States    map[string]int `json:"states"`
	Cancelled bool           `json:"cancelled,omitempty"`
}
