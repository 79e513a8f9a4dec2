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

// Kind tells how the work of a class is scheduled.
type Kind string

// The kinds of classes.
const (
	KindUrgent Kind = "urgent"
	KindBatch  Kind = "batch"
)

// Target is what operators promise for a class.
type Target struct {
	// Answer is the 99th percentile of the answer time of an urgent class.
	Answer time.Duration `msgpack:"answer"`
	// Finished is the number of tasks of a batch class finished per hour.
	Finished float64 `msgpack:"finished"`
	// Disruption is the number of tolerable evictions per running task and day.
	Disruption float64 `msgpack:"disruption"`
}

// Class is a class of work.
type Class struct {
	Name string `msgpack:"name"`
	Kind Kind   `msgpack:"kind"`
	// Idempotent classes may be tried more than once.
	Idempotent bool `msgpack:"idempotent"`
	// Service restricts the class to workers of that service; empty means any.
	Service string `msgpack:"service"`
	// Size and Run are the declared size and run time of one task or call. They are hints.
	Size   fleet.Size    `msgpack:"size"`
	Run    time.Duration `msgpack:"run"`
	Target Target        `msgpack:"target"`
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
	// Out is set while operators have taken the zone out.
	Out bool `json:"out" msgpack:"out"`
}

// Document is a whole declaration of classes and teams.
type Document struct {
	Classes []Class `json:"classes" msgpack:"classes"`
	Teams   []Team  `json:"teams,omitempty" msgpack:"teams"`
}

// classJSON is the file form of Class. Durations are strings such as "250ms".
type classJSON struct {
	Name       string     `json:"name"`
	Kind       Kind       `json:"kind"`
	Idempotent bool       `json:"idempotent,omitempty"`
	Service    string     `json:"service,omitempty"`
	Size       fleet.Size `json:"size"`
	Run        string     `json:"run,omitempty"`
	Target     targetJSON `json:"target"`
}

type targetJSON struct {
	Answer     string  `json:"answer,omitempty"`
	Finished   float64 `json:"finished,omitempty"`
	Disruption float64 `json:"disruption,omitempty"`
}

// MarshalJSON returns the file form.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(classJSON{
		Name: c.Name, Kind: c.Kind, Idempotent: c.Idempotent, Service: c.Service, Size: c.Size, Run: text(c.Run),
		Target: targetJSON{Answer: text(c.Target.Answer), Finished: c.Target.Finished, Disruption: c.Target.Disruption},
	})
}

func text(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// UnmarshalJSON reads the file form. Unknown fields are refused.
func (c *Class) UnmarshalJSON(data []byte) error {
	var j classJSON
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return errors.Wrap(err, "class")
	}
	run, err := duration("run", j.Run)
	if err != nil {
		return errors.Wrapf(err, "class %q", j.Name)
	}
	answer, err := duration("target.answer", j.Target.Answer)
	if err != nil {
		return errors.Wrapf(err, "class %q", j.Name)
	}
	*c = Class{
		Name: j.Name, Kind: j.Kind, Idempotent: j.Idempotent, Service: j.Service, Size: j.Size, Run: run,
		Target: Target{Answer: answer, Finished: j.Target.Finished, Disruption: j.Target.Disruption},
	}
	return nil
}

func duration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	return d, errors.Wrap(err, field)
}

// FieldError is one mistake in a declaration.
type FieldError struct {
	// Field is the path of the field, such as classes[2].target.answer.
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

func (e InvalidError) err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

func (e *InvalidError) check(ok bool, prefix, field, reason string) {
	if !ok {
		*e = append(*e, FieldError{Field: prefix + field, Reason: reason})
	}
}

var nameSyntax = regexp.MustCompile(`^[a-z0-9.-]{1,64}$`)

const nameRule = "must be 1 to 64 characters of a-z, 0-9, '.' and '-'"

func (e *InvalidError) class(prefix string, c Class) {
	e.check(nameSyntax.MatchString(c.Name), prefix, "name", nameRule)
	e.check(c.Kind == KindUrgent || c.Kind == KindBatch, prefix, "kind", "must be urgent or batch")
	e.check(c.Service == "" || nameSyntax.MatchString(c.Service), prefix, "service", nameRule)
	e.check(!c.Size.IsNegative(), prefix, "size", "must not be negative")
	e.check(c.Run >= 0, prefix, "run", "must not be negative")
	t := c.Target
	e.check(t.Answer >= 0, prefix, "target.answer", "must not be negative")
	e.check(number(t.Finished), prefix, "target.finished", "must be a number of at least 0")
	e.check(number(t.Disruption), prefix, "target.disruption", "must be a number of at least 0")
	e.check(c.Kind != KindUrgent || t.Answer != 0, prefix, "target.answer", "is required for an urgent class")
	e.check(c.Kind != KindBatch || t.Finished != 0, prefix, "target.finished", "is required for a batch class")
}

func number(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

func (e *InvalidError) team(prefix string, t Team) {
	e.check(nameSyntax.MatchString(t.Name), prefix, "name", nameRule)
	e.check(!t.Quota.IsNegative(), prefix, "quota", "must not be negative")
}

// Validate returns an InvalidError that lists every mistake, or nil.
func (d Document) Validate() error {
	var e InvalidError
	seen := make(map[string]bool)
	for i, c := range d.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		e.class(prefix, c)
		e.check(!seen["c"+c.Name], prefix, "name", "is declared twice")
		seen["c"+c.Name] = true
	}
	for i, t := range d.Teams {
		prefix := fmt.Sprintf("teams[%d].", i)
		e.team(prefix, t)
		e.check(!seen["t"+t.Name], prefix, "name", "is declared twice")
		seen["t"+t.Name] = true
	}
	return e.err()
}

// Change is one difference between two documents.
type Change struct {
	// Entity is "class" or "team", Action is "add", "change" or "drop".
	Entity string `json:"entity"`
	Name   string `json:"name"`
	Action string `json:"action"`
}

// Diff returns what leads from a to b: classes before teams, each in order of names.
func Diff(a, b Document) []Change {
	cs := diff("class", a.Classes, b.Classes, func(c Class) string { return c.Name })
	return append(cs, diff("team", a.Teams, b.Teams, func(t Team) string { return t.Name })...)
}

func diff[T comparable](entity string, a, b []T, name func(T) string) []Change {
	old, now := index(a, name), index(b, name)
	var out []Change
	for n, v := range now {
		if was, ok := old[n]; !ok {
			out = append(out, Change{entity, n, "add"})
		} else if was != v {
			out = append(out, Change{entity, n, "change"})
		}
	}
	for n := range old {
		if _, ok := now[n]; !ok {
			out = append(out, Change{entity, n, "drop"})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

func index[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}
