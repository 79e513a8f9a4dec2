// Package config keeps the versioned configuration of classes, teams and zones, which hosts build from the records of
// the stream config. The package is pure: it reads no clock and performs no I/O.
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

// Errors of State. A StaleError matches ErrStale.
var (
	ErrStale       = errors.New("config: base version is stale")
	ErrUnknownKind = errors.New("config: unknown record kind")
	// ErrNotNewer is the error for a record, snapshot or relayed configuration that the state already contains.
	ErrNotNewer = errors.New("config: not newer than the present configuration")
)

// StaleError is the error for a change whose base version is not the current one.
type StaleError struct {
	BaseVersion, Current uint64
}

func (e StaleError) Error() string {
	return fmt.Sprintf("config: base version %d is stale, current is %d", e.BaseVersion, e.Current)
}

// Is reports whether target is ErrStale.
func (e StaleError) Is(target error) bool { return target == ErrStale }

// ClassUpdate is the record that sets a class or, with Drop, removes it. BaseVersion is the version of the class that
// the change was based on, 0 if the class never existed.
type ClassUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Class       Class  `msgpack:"class"`
	Drop        bool   `msgpack:"drop"`
}

// TeamUpdate is the record that sets a team or, with Drop, removes it. BaseVersion is the version of the team that the
// change was based on, 0 if the team never existed.
type TeamUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Team        Team   `msgpack:"team"`
	Drop        bool   `msgpack:"drop"`
}

// ZoneUpdate is the record that sets a zone. BaseVersion is the version of the zone that the change was based on, 0 if
// the zone does not exist.
type ZoneUpdate struct {
	BaseVersion uint64 `msgpack:"base"`
	Name        string `msgpack:"name"`
	Region      string `msgpack:"region"`
	TakenOut    bool   `msgpack:"out"`
}

// DocumentUpdate is the record that replaces all classes and teams. BaseVersion is the version of the whole
// configuration that it was compared with, which a change of a zone raises too.
type DocumentUpdate struct {
	BaseVersion uint64   `msgpack:"base"`
	Document    Document `msgpack:"doc"`
}

// Versioned is an entity with its version.
type Versioned[T any] struct {
	// Version grows by one with each change of the entity. It never decreases, not even when the entity is dropped and
	// created again.
	Version uint64 `msgpack:"version"`
	// Dropped is set once the entity was removed. Its entry stays, so that the version is not lost.
	Dropped bool `msgpack:"dropped"`
	Value   T    `msgpack:"value"`
}

// table holds the entities of one type by name.
type table[T comparable] map[string]Versioned[T]

// set sets or drops an entity and reports whether that changed anything. An entity that does not change keeps its
// version.
func (t table[T]) set(name string, v T, drop bool) bool {
	e := t[name]
	if e.Version > 0 && e.Dropped == drop && (drop || e.Value == v) {
		return false
	}
	t[name] = Versioned[T]{Version: e.Version + 1, Dropped: drop, Value: v}
	return true
}

// list returns the entities that are not dropped, in order of names.
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

// configuration is one version of the whole configuration.
type configuration struct {
	// Version is one more than the offset of the last record that changed anything, 0 if there is none.
	Version uint64 `msgpack:"version"`
	// Changes is the number of items that changed anything. It orders the configurations that have the same Version
	// because their last items belong to one record.
	Changes uint64       `msgpack:"changes"`
	Classes table[Class] `msgpack:"classes"`
	Teams   table[Team]  `msgpack:"teams"`
	Zones   table[Zone]  `msgpack:"zones"`
}

func newConfiguration() *configuration {
	return &configuration{Classes: table[Class]{}, Teams: table[Team]{}, Zones: table[Zone]{}}
}

// decode reads what configuration.encode wrote. It returns record.ErrMalformed, wrapped, for anything else.
func decode(data []byte) (*configuration, error) {
	cfg, err := record.DecodeItem[configuration](record.Item{Kind: "config", Data: data})
	if err != nil {
		return nil, err
	}
	if cfg.Classes == nil || cfg.Teams == nil || cfg.Zones == nil {
		return nil, errors.Wrap(record.ErrMalformed, "configuration without a table")
	}
	return &cfg, nil
}

// State is the configuration of a host. It is not safe for concurrent use.
type State struct {
	// fromLog is built from the stream alone, so that all readers accept the same records whatever peers relayed to
	// them.
	fromLog *configuration
	// relayed was adopted from a peer. It is nil or newer than fromLog.
	relayed *configuration
	// offset is the offset of the last record that was read, whether or not it was accepted.
	offset uint64
}

// NewState returns an empty configuration.
func NewState() *State { return &State{fromLog: newConfiguration()} }

// current returns the configuration in force: the relayed one if there is one.
func (s *State) current() *configuration {
	if s.relayed != nil {
		return s.relayed
	}
	return s.fromLog
}

// Version returns the version of the configuration: one more than the offset of the last record that changed anything,
// because a log may count from 0. It is 0 if there is no such record.
func (s *State) Version() uint64 { return s.current().Version }

// Class returns a class and its version. If ok is false, the class does not exist and version is that of the dropped
// class, 0 if it never existed.
func (s *State) Class(name string) (c Class, version uint64, ok bool) {
	return lookUp(s.current().Classes, name)
}

// Team returns a team and its version in the same way as Class.
func (s *State) Team(name string) (t Team, version uint64, ok bool) {
	return lookUp(s.current().Teams, name)
}

// Zone returns a zone and its version in the same way as Class.
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

// Apply applies one item of the record at an offset of the stream. The time, which a feed passes to every sink, is not
// used. Apply returns a StaleError, an InvalidError, ErrUnknownKind, ErrNotNewer or record.ErrMalformed, wrapped, for
// an item that is refused; the configuration is then unchanged.
func (s *State) Apply(_ time.Time, offset uint64, item record.Item) error {
	// A record may hold several items, which all have its offset.
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

// dropSupersededRelay drops the relayed configuration once the stream has caught up with it. At the same version either
// configuration may still lack the last items of that record.
func (s *State) dropSupersededRelay() {
	r := s.relayed
	if r == nil || r.Version > s.fromLog.Version || r.Version == s.fromLog.Version && r.Changes > s.fromLog.Changes {
		return
	}
	s.relayed = nil
}

// apply applies one item and reports whether it changed anything.
func (cfg *configuration) apply(item record.Item) (bool, error) {
	switch item.Kind {
	case RecordClass:
		m, err := record.DecodeItem[ClassUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		// Of a class that is dropped, only the name is checked.
		if e.require(nameSyntax.MatchString(m.Class.Name), "class.", "name", nameRule); !m.Drop {
			e = nil
			e.requireClass("class.", m.Class)
		}
		return changeEntity(cfg.Classes, m.Class.Name, m.Class, m.BaseVersion, m.Drop, e.errOrNil())
	case RecordTeam:
		m, err := record.DecodeItem[TeamUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.requireTeam("team.", m.Team)
		return changeEntity(cfg.Teams, m.Team.Name, m.Team, m.BaseVersion, m.Drop, e.errOrNil())
	case RecordZone:
		m, err := record.DecodeItem[ZoneUpdate](item)
		if err != nil {
			return false, err
		}
		var e InvalidError
		e.require(nameSyntax.MatchString(m.Name), "zone.", "name", nameRule)
		e.require(nameSyntax.MatchString(m.Region), "zone.", "region", nameRule)
		return changeEntity(
			cfg.Zones, m.Name, Zone{Name: m.Name, Region: m.Region, TakenOut: m.TakenOut}, m.BaseVersion, false,
			e.errOrNil())
	case RecordApply:
		m, err := record.DecodeItem[DocumentUpdate](item)
		if err != nil {
			return false, err
		}
		return cfg.replaceDocument(m)
	}
	return false, errors.Wrapf(ErrUnknownKind, "%q", item.Kind)
}

// changeEntity sets or drops one entity and reports whether that changed anything. It returns invalid unless that is
// nil, or a StaleError if base is not the present version.
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

// replaceDocument replaces all classes and teams and reports whether any of them changed.
func (cfg *configuration) replaceDocument(m DocumentUpdate) (bool, error) {
	if err := m.Document.Validate(); err != nil {
		return false, err
	}
	if m.BaseVersion != cfg.Version {
		return false, StaleError{BaseVersion: m.BaseVersion, Current: cfg.Version}
	}
	classes := replaceEntities(cfg.Classes, indexByName(m.Document.Classes, func(c Class) string { return c.Name }))
	teams := replaceEntities(cfg.Teams, indexByName(m.Document.Teams, func(t Team) string { return t.Name }))
	return classes || teams, nil
}

// replaceEntities sets the entities in want, drops all others and reports whether that changed anything.
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

// Snapshot encodes the configuration that was read from the stream, without what peers relayed, for a snapshot record.
func (s *State) Snapshot() ([]byte, error) { return s.fromLog.encode() }

func (cfg *configuration) encode() ([]byte, error) {
	data, err := msgpack.Marshal(cfg)
	return data, errors.Wrap(err, "config: encode")
}

// Restore replaces the configuration that was read from the stream by that of a snapshot taken at offset base. It never
// lowers the version: it returns ErrNotNewer, wrapped, for a snapshot older than the state, or whose version is that of
// a record after base.
func (s *State) Restore(data []byte, base uint64) error {
	cfg, err := decode(data)
	if err != nil {
		return err
	}
	if cfg.Version > base+1 || cfg.Version < s.fromLog.Version || base < s.offset {
		return errors.Wrapf(ErrNotNewer, "snapshot of version %d at %d", cfg.Version, base)
	}
	s.fromLog, s.offset = cfg, base
	s.dropSupersededRelay()
	return nil
}

// Export encodes the configuration in force for a peer and returns its version.
func (s *State) Export() ([]byte, uint64, error) {
	data, err := s.current().encode()
	return data, s.Version(), err
}

// ExportSince returns what Export does, but no data if the configuration is not newer than version.
func (s *State) ExportSince(version uint64) ([]byte, uint64, error) {
	if s.Version() <= version {
		return nil, s.Version(), nil
	}
	return s.Export()
}

// Adopt puts a configuration into force that a peer relayed. It returns ErrNotNewer, wrapped, unless its version is
// newer than the present one, and record.ErrMalformed, wrapped, for data that is damaged or holds another version.
func (s *State) Adopt(data []byte, version uint64) error {
	cfg, err := decode(data)
	if err != nil {
		return err
	}
	if cfg.Version != version {
		return errors.Wrapf(record.ErrMalformed, "relayed version %d holds %d", version, cfg.Version)
	}
	if version <= s.Version() {
		return errors.Wrapf(ErrNotNewer, "relayed version %d, present %d", version, s.Version())
	}
	s.relayed = cfg
	return nil
}
