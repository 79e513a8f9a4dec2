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
	ErrStale       = errors.New("config: base version is stale")
	ErrUnknownKind = errors.New("config: unknown record kind")
	// ErrNotNewer refuses a record, snapshot or relay that the state already contains.
	ErrNotNewer = errors.New("config: not newer than the present configuration")
)

// StaleError refuses a change that was based on another version than the current one.
type StaleError struct {
	BaseVersion, Current uint64
}

func (e StaleError) Error() string {
	return fmt.Sprintf("config: base version %d is stale, current is %d", e.BaseVersion, e.Current)
}

// Is reports whether target is ErrStale.
func (e StaleError) Is(target error) bool { return target == ErrStale }

// ClassUpdate sets a class or, with Drop, removes it. Base is the version of the class, 0 if it never existed.
type ClassUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Class       Class  `msgpack:"class"`
	Drop        bool   `msgpack:"drop"`
}

// TeamUpdate sets a team or, with Drop, removes it. Base is the version of the team, 0 if it never existed.
type TeamUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Team        Team   `msgpack:"team"`
	Drop        bool   `msgpack:"drop"`
}

// ZoneUpdate sets a zone. Base is the version of the zone, 0 if it does not exist.
type ZoneUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Name        string `msgpack:"name"`
	Region      string `msgpack:"region"`
	TakenOut    bool   `msgpack:"out"`
}

// DocumentUpdate replaces all classes and teams. Base is the document version it was compared with.
type DocumentUpdate struct {
	BaseVersion uint64   `msgpack:"base"`
	Document    Document `msgpack:"doc"`
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

// configuration is one configuration.
type configuration struct {
	// Version is one more than the offset of the last accepted record, 0 if there is none.
	Version uint64 `msgpack:"version"`
	// Changes is the number of accepted items. It orders views within a record of several items.
	Changes uint64       `msgpack:"changes"`
	Classes table[Class] `msgpack:"classes"`
	Teams   table[Team]  `msgpack:"teams"`
	Zones   table[Zone]  `msgpack:"zones"`
}

func newConfiguration() *configuration {
	return &configuration{Classes: table[Class]{}, Teams: table[Team]{}, Zones: table[Zone]{}}
}

func decode(data []byte) (*configuration, error) {
	v, err := record.Open[configuration](record.Item{Kind: "config", Data: data})
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
	// fromLog follows the stream alone, so that all readers judge a record alike whatever peers relayed to them.
	fromLog *configuration
	// relayed was adopted from a peer. It is nil or further than log.
	relayed *configuration
	// offset is that of the last record seen, accepted or not.
	offset uint64
}

// NewState returns an empty configuration.
func NewState() *State { return &State{fromLog: newConfiguration()} }

func (s *State) current() *configuration {
	if s.relayed != nil {
		return s.relayed
	}
	return s.fromLog
}

// Version returns the document version: one more than the offset of the last accepted record, since a log may count
// from 0, and 0 if there is none.
func (s *State) Version() uint64 { return s.current().Version }

// Class returns a class and its version. The version is that of the dropped class if ok is false.
func (s *State) Class(name string) (c Class, version uint64, ok bool) {
	return lookUp(s.current().Classes, name)
}

// Team returns a team and its version, as Class does.
func (s *State) Team(name string) (t Team, version uint64, ok bool) {
	return lookUp(s.current().Teams, name)
}

// Zone returns a zone and its version, as Class does.
func (s *State) Zone(name string) (z Zone, version uint64, ok bool) {
	return lookUp(s.current().Zones, name)
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
func (s *State) Classes() []Versioned[Class] { return s.current().Classes.list() }

// Teams returns all teams in order of names.
func (s *State) Teams() []Versioned[Team] { return s.current().Teams.list() }

// Zones returns all zones in order of names.
func (s *State) Zones() []Versioned[Zone] { return s.current().Zones.list() }

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
		return errors.Wrapf(ErrNotNewer, "offset %d after %d", offset, s.offset)
	}
	s.offset = offset
	changed, err := s.fromLog.apply(item)
	if err != nil {
		return err
	}
	if changed {
		s.fromLog.Version = offset + 1
		s.fromLog.Changes++
		s.dropSupersededRelay()
	}
	return nil
}

// dropSupersededRelay drops the relayed configuration once the stream has caught up with it. At the same version either view
// may still lack the last items of that record.
func (s *State) dropSupersededRelay() {
	r := s.relayed
	if r == nil || r.Version > s.fromLog.Version || r.Version == s.fromLog.Version && r.Changes > s.fromLog.Changes {
		return
	}
	s.relayed = nil
}

func (v *configuration) apply(item record.Item) (bool, error) {
	switch item.Kind {
	case RecordClass:
		m, err := record.Open[ClassUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		if e.require(nameSyntax.MatchString(m.Class.Name), "class.", "name", nameRule); !m.Drop {
			e = nil
			e.requireClass("class.", m.Class)
		}
		return changeEntity(v.Classes, m.Class.Name, m.Class, m.BaseVersion, m.Drop, e.errOrNil())
	case RecordTeam:
		m, err := record.Open[TeamUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.requireTeam("team.", m.Team)
		return changeEntity(v.Teams, m.Team.Name, m.Team, m.BaseVersion, m.Drop, e.errOrNil())
	case RecordZone:
		m, err := record.Open[ZoneUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.require(nameSyntax.MatchString(m.Name), "zone.", "name", nameRule)
		e.require(nameSyntax.MatchString(m.Region), "zone.", "region", nameRule)
		return changeEntity(v.Zones, m.Name, Zone{Name: m.Name, Region: m.Region, TakenOut: m.TakenOut}, m.BaseVersion, false, e.errOrNil())
	case RecordApply:
		m, err := record.Open[DocumentUpdate](item)
		if err != nil {
			return false, err
		}
		return v.replaceDocument(m)
	}
	return false, errors.Wrapf(ErrUnknownKind, "%q", item.Kind)
}

func changeEntity[T comparable](t table[T], name string, v T, base uint64, drop bool, invalid error) (bool, error) {
	if invalid != nil {
		return false, invalid
	}
	e := t[name]
	if e.Version != base {
		return false, StaleError{BaseVersion: base, Current: e.Version}
	}
	if drop && (e.Version == 0 || e.Dropped) {
		return false, nil
	}
	return t.set(name, v, drop), nil
}

func (v *configuration) replaceDocument(m DocumentUpdate) (bool, error) {
	if err := m.Document.Validate(); err != nil {
		return false, err
	}
	if m.BaseVersion != v.Version {
		return false, StaleError{BaseVersion: m.BaseVersion, Current: v.Version}
	}
	classes := replaceEntities(v.Classes, indexByName(m.Document.Classes, func(c Class) string { return c.Name }))
	teams := replaceEntities(v.Teams, indexByName(m.Document.Teams, func(t Team) string { return t.Name }))
	return classes || teams, nil
}

func replaceEntities[T comparable](t table[T], want map[string]T) bool {
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
func (s *State) Snapshot() ([]byte, error) { return s.fromLog.encode() }

func (v *configuration) encode() ([]byte, error) {
	data, err := msgpack.Marshal(v)
	return data, errors.Wrap(err, "config: encode")
}

// Restore replaces the state of the stream by that of a snapshot. It never lowers the version.
func (s *State) Restore(data []byte, base uint64) error {
	v, err := decode(data)
	if err != nil {
		return err
	}
	if v.Version > base || v.Version < s.fromLog.Version || base < s.offset {
		return errors.Wrapf(ErrNotNewer, "snapshot of version %d at %d", v.Version, base)
	}
	s.fromLog, s.offset = v, base
	s.dropSupersededRelay()
	return nil
}

// Export returns the configuration and its version for a peer.
func (s *State) Export() ([]byte, uint64, error) {
	data, err := s.current().encode()
	return data, s.Version(), err
}

// ExportSince returns what Marshal does, or nil if the configuration is not newer than version.
func (s *State) ExportSince(version uint64) ([]byte, uint64, error) {
	if s.Version() <= version {
		return nil, s.Version(), nil
	}
	return s.Export()
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
		return errors.Wrapf(ErrNotNewer, "relayed version %d, present %d", version, s.Version())
	}
	s.relayed = v
	return nil
}
