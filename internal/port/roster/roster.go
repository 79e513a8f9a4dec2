// Package roster describes the platform's lagging list of live and leaving hosts and provides its HTTP client.
package roster

// Kind tells what a listed host is.
type Kind string

// The kinds of listed hosts.
const (
	KindWorker Kind = "worker"
	KindEntry  Kind = "entry"
)

// Host is one entry of the list.
type Host struct {
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Rack   string `json:"rack,omitempty"`
	// Service names the service of a worker, such as quote-desk. It is empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Address is host:port, for entry hosts that of the peer surface.
	Address string `json:"address"`
	// Leaving is set for a host that is to get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
