// Package config is the aggregate of classes, teams and zones. It is pure.
package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// The kinds of records of the stream config.
const (
	RecordClass record.Kind = "class"
	RecordTeam  record.Kind = "team"
	RecordZone  record.Kind = "zone"
	RecordApply record.Kind = "apply"
)

// Errors of State. ErrStale is matched by StaleError.
var (
	ErrStale = errors.New("config: base version is stale")
	ErrKind  = errors.New("config: unknown record kind")
	// ErrOld refuses a record, snapshot or relay that the state already contains.
	ErrOld = errors.New("config: not newer than the present configuration")
)

// StaleError refuses a change that was based on another version than the current one.
type StaleError struct {
	Base, Current uint64
}

func (e StaleError) Error() string {
	return fmt.Sprintf("config: base version %d is stale, current is %d", e.Base, e.Current)
}

// Is reports whether target is ErrStale.
func (e StaleError) Is(target error) bool { return target == ErrStale }

// ClassMsg sets a class or, with Drop, removes it. Base is the version of the class, 0 if it never existed.
type ClassMsg struct {
	Base  uint64 `msgpack:"base"`
	Class Class  `msgpack:"class"`
	Drop  bool   `msgpack:"drop"`
}

// TeamMsg sets a team or, with Drop, removes it. Base is the version of the team, 0 if it never existed.
type TeamMsg struct {
	Base uint64 `msgpack:"base"`
	Team Team   `msgpack:"team"`
	Drop bool   `msgpack:"drop"`
}

// ZoneMsg sets a zone. Base is the version of the zone, 0 if it does not exist.
type ZoneMsg struct {
	Base   uint64 `msgpack:"base"`
	Name   string `msgpack:"name"`
	Region string `msgpack:"region"`
	Out    bool   `msgpack:"out"`
}

// ApplyMsg replaces all classes and teams. Base is the document version it was compared with.
type ApplyMsg struct {
	Base uint64   `msgpack:"base"`
	Doc  Document `msgpack:"doc"`
}

// Versioned is an entity with its version.
type Versioned[T any] struct {
	// Version grows by one with each accepted change and never decreases, also when the entity is dropped and
	// created again.
	Version uint64 `msgpack:"version"`
	// Dropped entities stay, so that their version is not lost.
	Dropped bool `msgpack:"dropped"`
	Value   T    `msgpack:"value"`
}

type table[T comparable] map[string]Versioned[T]

// set changes an entity unless it already has the value, and reports whether it did.
func (t table[T]) set(name string, v T, drop bool) bool {
	e := t[name]
	if e.Version > 0 && e.Dropped == drop && (drop || e.Value == v) {
		return false
	}
	t[name] = Versioned[T]{Version: e.Version + 1, Dropped: drop, Value: v}
	return true
}

func (t table[T]) list() []Versioned[T] {
	var out []Versioned[T]
	for _, name := range sortedKeys(t) {
		if !t[name].Dropped {
			out = append(out, t[name])
		}
	}
	return out
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare)
	return keys
}

// view is one configuration.
type view struct {
	// Version is one more than the offset of the last accepted record, 0 if there is none.
	Version uint64 `msgpack:"version"`
	// Changes is the number of accepted items. It orders views within a record of several items.
	Changes uint64       `msgpack:"changes"`
	Classes table[Class] `msgpack:"classes"`
	Teams   table[Team]  `msgpack:"teams"`
	Zones   table[Zone]  `msgpack:"zones"`
}

func newView() *view {
	return &view{Classes: table[Class]{}, Teams: table[Team]{}, Zones: table[Zone]{}}
}

func decode(data []byte) (*view, error) {
	v, err := record.DecodeItem[view](record.Item{Kind: "config", Data: data})
	if err != nil {
		return nil, err
	}
	if v.Classes == nil || v.Teams == nil || v.Zones == nil {
		return nil, errors.Wrap(record.ErrMalformed, "configuration without a table")
	}
	return &v, nil
}

// State is the configuration of a host. It is not safe for concurrent use.
type State struct {
	// log follows the stream alone, so that all readers judge a record alike whatever peers relayed to them.
	log *view
	// relayed was adopted from a peer. It is nil or further than log.
	relayed *view
	// offset is that of the last record seen, accepted or not.
	offset uint64
}

// NewState returns an empty configuration.
func NewState() *State { return &State{log: newView()} }

func (s *State) view() *view {
	if s.relayed != nil {
		return s.relayed
	}
	return s.log
}

// Version returns the document version: one more than the offset of the last accepted record, since a log may count
// from 0, and 0 if there is none.
func (s *State) Version() uint64 { return s.view().Version }

// Class returns a class and its version. The version is that of the dropped class if ok is false.
func (s *State) Class(name string) (c Class, version uint64, ok bool) {
	return lookUp(s.view().Classes, name)
}

// Team returns a team and its version, as Class does.
func (s *State) Team(name string) (t Team, version uint64, ok bool) {
	return lookUp(s.view().Teams, name)
}

// Zone returns a zone and its version, as Class does.
func (s *State) Zone(name string) (z Zone, version uint64, ok bool) {
	return lookUp(s.view().Zones, name)
}

func lookUp[T comparable](t table[T], name string) (T, uint64, bool) {
	e, ok := t[name]
	if e.Dropped {
		var none T
		return none, e.Version, false
	}
	return e.Value, e.Version, ok
}

// Classes returns all classes in order of names.
func (s *State) Classes() []Versioned[Class] { return s.view().Classes.list() }

// Teams returns all teams in order of names.
func (s *State) Teams() []Versioned[Team] { return s.view().Teams.list() }

// Zones returns all zones in order of names.
func (s *State) Zones() []Versioned[Zone] { return s.view().Zones.list() }

// Document returns the declared classes and teams in order of names.
func (s *State) Document() Document {
	var d Document
	for _, c := range s.Classes() {
		d.Classes = append(d.Classes, c.Value)
	}
	for _, t := range s.Teams() {
		d.Teams = append(d.Teams, t.Value)
	}
	return d
}

// Apply applies one record of the stream. It returns a StaleError, an InvalidError, ErrKind, ErrOld or
// record.ErrMalformed, wrapped, for a record that changes nothing.
func (s *State) Apply(_ time.Time, offset uint64, item record.Item) error {
	// A record holds several items, all with one offset.
	if offset < s.offset {
		return errors.Wrapf(ErrOld, "offset %d after %d", offset, s.offset)
	}
	s.offset = offset
	changed, err := s.log.apply(item)
	if err != nil {
		return err
	}
	if changed {
		s.log.Version = offset + 1
		s.log.Changes++
		s.settle()
	}
	return nil
}

// settle drops the relayed configuration once the stream has caught up with it. At the same version either view
// may still lack the last items of that record.
func (s *State) settle() {
	r := s.relayed
	if r == nil || r.Version > s.log.Version || r.Version == s.log.Version && r.Changes > s.log.Changes {
		return
	}
	s.relayed = nil
}

func (v *view) apply(item record.Item) (bool, error) {
	switch item.Kind {
	case RecordClass:
		m, err := record.DecodeItem[ClassMsg](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		if e.check(nameSyntax.MatchString(m.Class.Name), "class.", "name", nameRule); !m.Drop {
			e = nil
			e.class("class.", m.Class)
		}
		return change(v.Classes, m.Class.Name, m.Class, m.Base, m.Drop, e.err())
	case RecordTeam:
		m, err := record.DecodeItem[TeamMsg](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.team("team.", m.Team)
		return change(v.Teams, m.Team.Name, m.Team, m.Base, m.Drop, e.err())
	case RecordZone:
		m, err := record.DecodeItem[ZoneMsg](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.check(nameSyntax.MatchString(m.Name), "zone.", "name", nameRule)
		e.check(nameSyntax.MatchString(m.Region), "zone.", "region", nameRule)
		return change(v.Zones, m.Name, Zone{Name: m.Name, Region: m.Region, Out: m.Out}, m.Base, false, e.err())
	case RecordApply:
		m, err := record.DecodeItem[ApplyMsg](item)
		if err != nil {
			return false, err
		}
		return v.replace(m)
	}
	return false, errors.Wrapf(ErrKind, "%q", item.Kind)
}

func change[T comparable](t table[T], name string, v T, base uint64, drop bool, invalid error) (bool, error) {
	if invalid != nil {
		return false, invalid
	}
	e := t[name]
	if e.Version != base {
		return false, StaleError{Base: base, Current: e.Version}
	}
	if drop && (e.Version == 0 || e.Dropped) {
		return false, nil
	}
	return t.set(name, v, drop), nil
}

func (v *view) replace(m ApplyMsg) (bool, error) {
	if err := m.Doc.Validate(); err != nil {
		return false, err
	}
	if m.Base != v.Version {
		return false, StaleError{Base: m.Base, Current: v.Version}
	}
	classes := replaceAll(v.Classes, index(m.Doc.Classes, func(c Class) string { return c.Name }))
	teams := replaceAll(v.Teams, index(m.Doc.Teams, func(t Team) string { return t.Name }))
	return classes || teams, nil
}

func replaceAll[T comparable](t table[T], want map[string]T) bool {
	changed := false
	for name, v := range want {
		changed = t.set(name, v, false) || changed
	}
	for name, e := range t {
		if _, ok := want[name]; !ok && !e.Dropped {
			changed = t.set(name, e.Value, true) || changed
		}
	}
	return changed
}

// Snapshot returns the state of the stream for a snapshot record, without what peers relayed.
func (s *State) Snapshot() ([]byte, error) { return s.log.encode() }

func (v *view) encode() ([]byte, error) {
	data, err := msgpack.Marshal(v)
	return data, errors.Wrap(err, "config: encode")
}

// Restore replaces the state of the stream by that of a snapshot. It never lowers the version.
func (s *State) Restore(data []byte, base uint64) error {
	v, err := decode(data)
	if err != nil {
		return err
	}
	if v.Version > base || v.Version < s.log.Version || base < s.offset {
		return errors.Wrapf(ErrOld, "snapshot of version %d at %d", v.Version, base)
	}
	s.log, s.offset = v, base
	s.settle()
	return nil
}

// Marshal returns the configuration and its version for a peer.
func (s *State) Marshal() ([]byte, uint64, error) {
	data, err := s.view().encode()
	return data, s.Version(), err
}

// ExportSince returns what Marshal does, or nil if the configuration is not newer than version.
func (s *State) ExportSince(version uint64) ([]byte, uint64, error) {
	if s.Version() <= version {
		return nil, s.Version(), nil
	}
	return s.Marshal()
}

// Adopt takes over a configuration that a peer relayed. It returns ErrOld, wrapped, unless its version is newer
// than the present one.
func (s *State) Adopt(data []byte, version uint64) error {
	v, err := decode(data)
	if err != nil {
		return err
	}
	if v.Version != version {
		return errors.Wrapf(record.ErrMalformed, "relayed version %d holds %d", version, v.Version)
	}
	if version <= s.Version() {
		return errors.Wrapf(ErrOld, "relayed version %d, present %d", version, s.Version())
	}
	s.relayed = v
	return nil
}
