package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
)

// The routes of DefaultManifest.
const (
	// RouteHost is the host of the routes.
	RouteHost = "jobs.example"
	// BatchPrefix and ServingPrefix are the prefixes of the queues for jobs that end and for long-running ones.
	BatchPrefix   = "/batch/"
	ServingPrefix = "/serving/"
)

// DefaultManifest returns a manifest with a queue for jobs that end and one for long-running jobs, which comes first.
func DefaultManifest(version int) ([]byte, error) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": RouteHost, "PathPrefix": prefix, "Service": Service, "Priority": priority,
			"MaxAttempts": 3, "SlackFactor": 2, "TargetLatencyMs": 2000,
		}
	}
	return json.Marshal(map[string]any{
		"Version": version, "Routes": []any{route("serving", ServingPrefix, 0), route("batch", BatchPrefix, 1)},
		"Services": []any{map[string]any{"Name": Service}}, "Limits": map[string]any{"MaxBodyBytes": 256 << 10},
	})
}

// HostSettings are the settings of an entry host.
type HostSettings struct {
	Name, Zone, IP string
	// CallersPort and ReadyPort are those on which callers and readiness checks are served. The host has a range of
	// ports for itself, from FirstPort to LastPort.
	CallersPort, ReadyPort, FirstPort, LastPort int
	// StoreAddress is the address of the store for this host.
	StoreAddress string
	// MemoryMiB is the memory limit of the process.
	MemoryMiB int
}

// CallersAddress returns the address on which the host serves callers.
func (s HostSettings) CallersAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.CallersPort))
}

// ReadyAddress returns the address on which the host answers readiness checks.
func (s HostSettings) ReadyAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.ReadyPort)) }

// File returns the content of the settings file.
func (s HostSettings) File() string {
	return fmt.Sprintf(`NodeName=%s
Zone=%s
Ip=%s
Serves=frontend
ListenAddresses.FrontendAddress=%s
ListenAddresses.ReadinessAddress=%s
InternalPorts=%d,%d
Limits.MemoryMb=%d
Bounds.HoldMaxMs=%d
Bounds.StopTimeoutMs=200
Bounds.cancel_ms=%d
Bounds.visible_ms=%d
Bounds.early_ms=%d
Bounds.EvacuationMs=%d
Bounds.DrainMs=%d
Bounds.status_s=120
Bounds.GraceS=6
Bounds.RemoteFactor=%d
Bounds.ConfigApplyMs=%d
Bounds.StrictRevocation=false
Bounds.RevokeMs=5000
Orders=invocation
platform.Address=%s
platform.form=log
`,
		s.Name, s.Zone, s.IP, s.CallersAddress(), s.ReadyAddress(), s.FirstPort, s.LastPort, s.MemoryMiB,
		maxLease.Milliseconds(), cancelTime.Milliseconds(), visibleTime.Milliseconds(), earlyTime.Milliseconds(),
		evacuationTime.Milliseconds(), drainTime.Milliseconds(), remoteFactor,
		configApplyTime.Milliseconds(), s.StoreAddress)
}
