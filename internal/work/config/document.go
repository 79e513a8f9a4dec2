package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Kind is the way in which the work of a class is scheduled.
type Kind string

// The kinds of classes: urgent ones are for calls, batch ones for the tasks of jobs.
const (
	KindUrgent Kind = "urgent"
	KindBatch  Kind = "batch"
)

// Target is the service level that operators promise for a class.
type Target struct {
	// P99Latency is the 99th percentile of the latency of an urgent class.
	P99Latency time.Duration `msgpack:"answer"`
	// FinishedPerHour is the number of tasks of a batch class that finish per hour.
	FinishedPerHour float64 `msgpack:"finished"`
	// EvictionsPerTaskDay is the number of evictions per running task and day that are tolerable.
	EvictionsPerTaskDay float64 `msgpack:"disruption"`
}

// Class is a class of work: tasks of jobs, or calls, that are scheduled alike.
type Class struct {
	Name string `msgpack:"name"`
	Kind Kind   `msgpack:"kind"`
	// Idempotent is set if a call of the class may be executed more than once.
	Idempotent bool `msgpack:"idempotent"`
	// Service restricts the class to the workers of that service; empty allows any worker.
	Service string `msgpack:"service"`
	// Size and RunTime are the declared size and run time of one task or call. They are hints.
	Size    fleet.Size    `msgpack:"size"`
	RunTime time.Duration `msgpack:"run"`
	Target  Target        `msgpack:"target"`
}

// Team is a group of callers with a quota.
type Team struct {
	Name  string     `json:"name" msgpack:"name"`
	Quota fleet.Size `json:"quota" msgpack:"quota"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name" msgpack:"name"`
	Region string `json:"region" msgpack:"region"`
	// TakenOut is set while operators have taken the zone out of service.
	TakenOut bool `json:"out" msgpack:"out"`
}

// Document is a complete declaration of all classes and teams.
type Document struct {
	Classes []Class `json:"classes" msgpack:"classes"`
	Teams   []Team  `json:"teams,omitempty" msgpack:"teams"`
}

// classJSON is the JSON form of Class. Durations are strings such as "250ms".
type classJSON struct {
	Name       string     `json:"name"`
	Kind       Kind       `json:"kind"`
	Idempotent bool       `json:"idempotent,omitempty"`
	Service    string     `json:"service,omitempty"`
	Size       fleet.Size `json:"size"`
	RunTime    string     `json:"run,omitempty"`
	Target     targetJSON `json:"target"`
}

// targetJSON is the JSON form of Target.
type targetJSON struct {
	P99Latency          string  `json:"answer,omitempty"`
	FinishedPerHour     float64 `json:"finished,omitempty"`
	EvictionsPerTaskDay float64 `json:"disruption,omitempty"`
}

// MarshalJSON returns the JSON form of the class.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(classJSON{
		Name: c.Name, Kind: c.Kind, Idempotent: c.Idempotent, Service: c.Service, Size: c.Size,
		RunTime: formatDuration(c.RunTime),
		Target: targetJSON{
			P99Latency: formatDuration(c.Target.P99Latency), FinishedPerHour: c.Target.FinishedPerHour,
			EvictionsPerTaskDay: c.Target.EvictionsPerTaskDay,
		},
	})
}

// formatDuration returns the JSON form of a duration, which is empty for 0.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// UnmarshalJSON reads the JSON form of a class. It returns an error for unknown fields and malformed durations.
func (c *Class) UnmarshalJSON(data []byte) error {
	var j classJSON
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return errors.Wrap(err, "class")
	}
	run, err := parseDuration("run", j.RunTime)
	if err != nil {
		return errors.Wrapf(err, "class %q", j.Name)
	}
	latency, err := parseDuration("target.answer", j.Target.P99Latency)
	if err != nil {
		return errors.Wrapf(err, "class %q", j.Name)
	}
	*c = Class{
		Name: j.Name, Kind: j.Kind, Idempotent: j.Idempotent, Service: j.Service, Size: j.Size, RunTime: run,
		Target: Target{
			P99Latency: latency, FinishedPerHour: j.Target.FinishedPerHour,
			EvictionsPerTaskDay: j.Target.EvictionsPerTaskDay,
		},
	}
	return nil
}

// parseDuration reads the JSON form of a duration, which is empty for 0. The error names the field.
func parseDuration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	return d, errors.Wrap(err, field)
}

// FieldError is one mistake in a declaration.
type FieldError struct {
	// Field is the path of the field, such as classes[2].target.answer, and Reason what is wrong with it.
	Field  string
	Reason string
}

func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// InvalidError lists every mistake in a declaration.
type InvalidError []FieldError

func (e InvalidError) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Error()
	}
	return "config: " + strings.Join(parts, "; ")
}

// errOrNil returns nil if there are no mistakes, since an empty InvalidError in an error is not nil.
func (e InvalidError) errOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// require adds a mistake unless ok.
func (e *InvalidError) require(ok bool, prefix, field, reason string) {
	if !ok {
		*e = append(*e, FieldError{Field: prefix + field, Reason: reason})
	}
}

var nameSyntax = regexp.MustCompile(`^[a-z0-9.-]{1,64}$`)

const nameRule = "must be 1 to 64 characters of a-z, 0-9, '.' and '-'"

// requireClass adds the mistakes of a class.
func (e *InvalidError) requireClass(prefix string, c Class) {
	e.require(nameSyntax.MatchString(c.Name), prefix, "name", nameRule)
	e.require(c.Kind == KindUrgent || c.Kind == KindBatch, prefix, "kind", "must be urgent or batch")
	e.require(c.Service == "" || nameSyntax.MatchString(c.Service), prefix, "service", nameRule)
	e.require(!c.Size.IsNegative(), prefix, "size", "must not be negative")
	e.require(c.RunTime >= 0, prefix, "run", "must not be negative")
	t := c.Target
	e.require(t.P99Latency >= 0, prefix, "target.answer", "must not be negative")
	e.require(finiteNonNegative(t.FinishedPerHour), prefix, "target.finished", "must be a number of at least 0")
	e.require(finiteNonNegative(t.EvictionsPerTaskDay), prefix, "target.disruption", "must be a number of at least 0")
	e.require(c.Kind != KindUrgent || t.P99Latency != 0, prefix, "target.answer", "is required for an urgent class")
	e.require(c.Kind != KindBatch || t.FinishedPerHour != 0, prefix, "target.finished", "is required for a batch class")
}

func finiteNonNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// requireTeam adds the mistakes of a team.
func (e *InvalidError) requireTeam(prefix string, t Team) {
	e.require(nameSyntax.MatchString(t.Name), prefix, "name", nameRule)
	e.require(!t.Quota.IsNegative(), prefix, "quota", "must not be negative")
}

// Validate returns an InvalidError that lists every mistake of the document, or nil.
func (d Document) Validate() error {
	var e InvalidError
	seen := make(map[string]bool)
	for i, c := range d.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		e.requireClass(prefix, c)
		e.require(!seen["c"+c.Name], prefix, "name", "is declared twice")
		seen["c"+c.Name] = true
	}
	for i, t := range d.Teams {
		prefix := fmt.Sprintf("teams[%d].", i)
		e.requireTeam(prefix, t)
		e.require(!seen["t"+t.Name], prefix, "name", "is declared twice")
		seen["t"+t.Name] = true
	}
	return e.errOrNil()
}

// Change is one difference between two documents: a class or team that was added, changed or dropped.
type Change struct {
	// Entity is "class" or "team", Action is "add", "change" or "drop".
	Entity string `json:"entity"`
	Name   string `json:"name"`
	Action string `json:"action"`
}

// Diff returns the changes that lead from a to b: classes before teams, each in order of names.
func Diff(a, b Document) []Change {
	cs := diffEntities("class", a.Classes, b.Classes, func(c Class) string { return c.Name })
	return append(cs, diffEntities("team", a.Teams, b.Teams, func(t Team) string { return t.Name })...)
}

func diffEntities[T comparable](entity string, a, b []T, name func(T) string) []Change {
	before, after := indexByName(a, name), indexByName(b, name)
	var out []Change
	for n, v := range after {
		if previous, ok := before[n]; !ok {
			out = append(out, Change{entity, n, "add"})
		} else if previous != v {
			out = append(out, Change{entity, n, "change"})
		}
	}
	for n := range before {
		if _, ok := after[n]; !ok {
			out = append(out, Change{entity, n, "drop"})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

func indexByName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}
