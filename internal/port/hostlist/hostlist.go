// Package hostlist describes the platform's list of hosts, including those that are leaving, and provides its HTTP
// client. The list lags behind the actual state of the hosts. Hosts here include workers.
package hostlist

// Kind is the kind of a listed host.
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
	// Service is the service of a worker, such as quote-desk. It is empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Address is host:port. For an entry host it is the address for its peers.
	Address string `json:"address"`
	// Leaving is set for a host that is leaving and must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
