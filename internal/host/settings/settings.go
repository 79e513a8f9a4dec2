// Package settings reads and validates the settings file of an entry host.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings is the content of a settings file. In the file, durations are strings such as "2s".
type Settings struct {
	// Host is the ID of this entry host, Zone and Region are its location. All three are required.
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Callers, Operators and Peers are the listeners for the three kinds of clients.
	Callers   Listener `json:"callers"`
	Operators Listener `json:"operators"`
	Peers     Peers    `json:"peers"`
	Platform  Platform `json:"platform"`
	// DrainTime is the time that a planned stop waits for the load balancer after the host reports not ready.
	DrainTime time.Duration `json:"drain"`
	Limits    Limits        `json:"limits"`
	Freshness Freshness     `json:"freshness"`
	Lease     Lease         `json:"lease"`
	Log       Log           `json:"log"`
	// Zones are all zones of the deployment. Operators see them in the host's status while the configuration does not
	// name them yet, as on a first start with an empty configuration.
	Zones []Zone `json:"zones"`
}

// Listener is an address to listen on.
type Listener struct {
	// Listen is the host:port to listen on. It is required; the host may be empty.
	Listen string `json:"listen"`
	// Advertise is the host:port at which others reach the host, by default Listen.
	Advertise string `json:"advertise"`
}

// Peers is the listener for peers and the addresses of the first peers.
type Peers struct {
	Listener
	// Seeds are addresses of peers that the host uses in addition to those of the host list, which may be unreadable.
	Seeds []string `json:"seeds"`
}

// Platform holds the addresses of the platform's services. Log and Hosts are required.
type Platform struct {
	// Log and Hosts are the base URLs of the log service and the host list.
	Log   string `json:"log"`
	Hosts string `json:"hosts"`
	// Region is the region of the log. Bytes exchanged with the log count as traffic between regions unless Region is
	// the host's own region.
	Region string `json:"region"`
}

// Limits bounds what callers can make the host store and how long they can make it wait.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes, by default 1 MiB.
	MaxBodyBytes int64 `json:"body"`
	// MaxQueuedRequests is the largest number of urgent requests of a class that wait, by default 1024.
	MaxQueuedRequests int `json:"queue"`
	// DefaultDeadline is the deadline of requests that set none, by default 10 s.
	DefaultDeadline time.Duration `json:"deadline"`
	// MemoryBytes is the memory and MaxDescriptors the number of descriptors of the process, by default 512 MiB and 4,100.
	// How many connections the host takes, and what requests in progress hold together, follows from them.
	MemoryBytes    int64 `json:"memory"`
	MaxDescriptors int   `json:"descriptors"`
}

// Freshness bounds the age of the host's views, which are its copies of the configuration, the jobs and the keys of the
// log.
type Freshness struct {
	// MaxViewAge is the age beyond which a view is stale, by default 3 s. With a stale view no batch task is started, and
	// a job that the host does not know is not reported as not found.
	MaxViewAge time.Duration `json:"view"`
	// RenewalCutoff is the age of a view beyond which task leases are not renewed, by default 2 h. It must be the same
	// on all hosts, since other hosts resume the tasks after it.
	RenewalCutoff time.Duration `json:"cutoff"`
}

// Lease holds the durations of the leases that the host holds at workers.
type Lease struct {
	// TTL is the time for which a worker's holder, the host that may use the worker, holds its lease, by default 6 s.
	// RenewInterval is the time between renewals, by default 2 s.
	TTL           time.Duration `json:"ttl"`
	RenewInterval time.Duration `json:"renew"`
	// TaskTTL is the time for which the leases of a worker's running tasks last, by default 30 s.
	TaskTTL time.Duration `json:"tasks"`
}

// Log holds the log level and format.
type Log struct {
	// Level is debug, info (the default), warn or error.
	Level string `json:"level"`
	// Format is text (the default) or json.
	Format string `json:"format"`
}

// Zone is a zone and its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// defaults returns the default values of the optional fields.
func defaults() Settings {
	return Settings{
		DrainTime: 15 * time.Second,
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxQueuedRequests: 1024, DefaultDeadline: 10 * time.Second,
			MemoryBytes: 512 << 20, MaxDescriptors: 4100,
		},
		Freshness: Freshness{MaxViewAge: 3 * time.Second, RenewalCutoff: 2 * time.Hour},
		Lease:     Lease{TTL: 6 * time.Second, RenewInterval: 2 * time.Second, TaskTTL: 30 * time.Second},
		Log:       Log{Level: "info", Format: "text"},
	}
}

// FieldError is a syntax error, or an invalid or missing field, in a settings file.
type FieldError struct {
	File string
	// Line is the line of the field, from 1, or that of the enclosing object if the field is missing.
	Line int
	// Field is the path of the field, such as lease.ttl. It is empty for a syntax error.
	Field  string
	Reason string
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// FieldErrors holds all errors in a settings file, those of decoding before those of validation.
type FieldErrors []FieldError

// Error implements error. It returns one line per error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldErr := range e {
		lines[i] = fieldErr.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. Errors in its content are returned as wrapped FieldErrors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. Errors are wrapped FieldErrors with name as the file.
func Parse(name string, data []byte) (Settings, error) {
	s := defaults()
	d := decode(name, data, &s)
	if !d.syntaxError {
		d.validate(s)
	}
	if len(d.errs) > 0 {
		return Settings{}, errors.Wrap(d.errs, "settings")
	}
	for _, l := range []*Listener{&s.Callers, &s.Operators, &s.Peers.Listener} {
		if l.Advertise == "" {
			l.Advertise = l.Listen
		}
	}
	return s, nil
}

// namePattern matches valid IDs of hosts and names of zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9.-]{1,64}$`)

// validate adds an error for each invalid or missing field of s.
func (d *decoder) validate(s Settings) {
	for _, f := range []struct{ field, value string }{{"host", s.Host}, {"zone", s.Zone}, {"region", s.Region}} {
		d.validateName(f.field, f.value)
	}
	for _, l := range []struct {
		field string
		Listener
	}{{"callers", s.Callers}, {"operators", s.Operators}, {"peers", s.Peers.Listener}} {
		d.validateAddress(l.field+".listen", l.Listen)
		if l.Advertise != "" {
			d.validateAddress(l.field+".advertise", l.Advertise)
		}
	}
	for i, seed := range s.Peers.Seeds {
		d.validateAddress(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	d.validateURL("platform.log", s.Platform.Log)
	d.validateURL("platform.hosts", s.Platform.Hosts)
	d.require(s.DrainTime >= 0, "drain", "must not be negative")
	d.require(s.Limits.MaxBodyBytes > 0, "limits.body", "must be positive")
	d.require(s.Limits.MaxQueuedRequests > 0, "limits.queue", "must be positive")
	d.require(s.Limits.DefaultDeadline > 0, "limits.deadline", "must be positive")
	d.require(s.Limits.MemoryBytes > 0, "limits.memory", "must be positive")
	d.require(s.Limits.MaxDescriptors > 0, "limits.descriptors", "must be positive")
	d.require(s.Freshness.MaxViewAge > 0, "freshness.view", "must be positive")
	// No task may start in a zone later than 5 s after the zone was taken out of service. 4 s leave 1 s for the send.
	d.require(s.Freshness.MaxViewAge <= 4*time.Second, "freshness.view", "must be at most 4s")
	d.require(s.Freshness.RenewalCutoff > s.Lease.TaskTTL, "freshness.cutoff", "must be longer than lease.tasks")
	d.require(s.Lease.RenewInterval > 0, "lease.renew", "must be positive")
	d.require(s.Lease.TTL > 0, "lease.ttl", "must be positive")
	// The lease must outlast a single failed renewal.
	d.require(s.Lease.RenewInterval*2 < s.Lease.TTL, "lease.renew", "must be less than half of lease.ttl")
	// A new holder needs time to take the worker over before the leases of its running tasks end.
	d.require(s.Lease.TaskTTL >= 2*s.Lease.TTL, "lease.tasks", "must be at least twice lease.ttl")
	d.require(oneOf(s.Log.Level, "debug", "info", "warn", "error"), "log.level", "must be debug, info, warn or error")
	d.require(oneOf(s.Log.Format, "text", "json"), "log.format", "must be text or json")
	d.validateZones(s)
}

// validateZones validates the list of zones and that it agrees with the zone and region of the host.
func (d *decoder) validateZones(s Settings) {
	regions := make(map[string]string)
	for i, z := range s.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		d.validateName(field+".name", z.Name)
		d.validateName(field+".region", z.Region)
		_, duplicate := regions[z.Name]
		d.require(!duplicate, field+".name", "is listed twice")
		regions[z.Name] = z.Region
	}
	if len(s.Zones) == 0 || s.Zone == "" {
		return
	}
	region, ok := regions[s.Zone]
	d.require(ok, "zones", "does not list this host's zone")
	d.require(!ok || region == s.Region, "region", "differs from the region that zones lists for this host's zone")
}

// oneOf reports whether s is one of the values.
func oneOf(s string, values ...string) bool {
	for _, v := range values {
		if s == v {
			return true
		}
	}
	return false
}

// validateName requires a valid ID or name.
func (d *decoder) validateName(field, s string) {
	d.require(s != "", field, "is required")
	d.require(s == "" || namePattern.MatchString(s), field, "must be 1 to 64 characters of a-z, 0-9, '.' and '-'")
}

// validateAddress requires a host:port with a port.
func (d *decoder) validateAddress(field, s string) {
	d.require(s != "", field, "is required")
	_, port, err := net.SplitHostPort(s)
	d.require(s == "" || err == nil && port != "", field, "must be host:port")
}

// validateURL requires an http or https URL with a host.
func (d *decoder) validateURL(field, s string) {
	d.require(s != "", field, "is required")
	u, err := url.Parse(s)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	d.require(s == "" || ok, field, "must be an http or https URL")
}
