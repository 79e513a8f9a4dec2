package cli

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Manifest is the content of a manifest of the users' platform.
type Manifest struct {
	Version int64
	Entries []ManifestEntry
}

// ManifestEntry is a part of a manifest that is compared with the part of the same kind and name of another one.
type ManifestEntry struct {
	Kind, Name string
	// Value is compared by its JSON form. It holds no API keys.
	Value any
	// Keys holds digests of API keys. They are counted, and never printed.
	Keys map[[sha256.Size]byte]struct{}
}

// manifestDiff is the JSON form of the difference of two manifests.
type manifestDiff struct {
	FromVersion int64          `json:"from_version"`
	Version     int64          `json:"version"`
	Changes     []entityChange `json:"changes"`
}

// diffManifest compares the manifest with another one.
func (c *diffCmd) diffManifest(s *session) error {
	var old Manifest
	var err error
	switch {
	case c.Against != "":
		old, err = s.funcs.ReadManifest(c.Against)
	case c.Settings != "":
		old, err = s.funcs.ReadManifestInForce(s.ctx, c.Settings)
	default:
		return errors.Newf("%s is a manifest: --against or --settings says with which one to compare it", c.File)
	}
	if err != nil {
		return err
	}
	updated, err := s.funcs.ReadManifest(c.File)
	if err != nil {
		return err
	}
	changes := compareManifests(old, updated)
	if len(changes) > 0 && updated.Version <= old.Version {
		_, _ = fmt.Fprintf(s.errOut, "Version %d is not above version %d: no host replaces that by it.\n",
			updated.Version, old.Version)
	}
	result := manifestDiff{FromVersion: old.Version, Version: updated.Version, Changes: changes}
	err = s.print(result, func(w *tabwriter.Writer) {
		printChanges(w, changes)
		if len(changes) == 0 {
			_, _ = fmt.Fprintf(w, "equal to version %d, but for the version %d\n", old.Version, updated.Version)
		}
	})
	if err == nil && len(changes) > 0 {
		return &failure{code: ExitDifferent, printed: true}
	}
	return err
}

// compareManifests returns the changes that turn a manifest into another one, by kind and name. Of several entries of the same
// kind and name the last one counts.
func compareManifests(old, updated Manifest) []entityChange {
	type entryID struct{ kind, name string }
	index := func(m Manifest) map[entryID]ManifestEntry {
		out := map[entryID]ManifestEntry{}
		for _, e := range m.Entries {
			out[entryID{e.Kind, e.Name}] = e
		}
		return out
	}
	before, after := index(old), index(updated)
	out := []entityChange{}
	add := func(id entryID, action string, a, b ManifestEntry) {
		fields := compareFields(a.Value, b.Value)
		if keys, ok := compareKeys(a, b); ok {
			fields = append(fields, keys)
		}
		if len(fields) > 0 || action != "change" {
			out = append(out, entityChange{Change: config.Change{Entity: id.kind, Name: id.name, Action: action}, Fields: fields})
		}
	}
	for id, b := range after {
		if a, ok := before[id]; ok {
			add(id, "change", a, b)
		} else {
			add(id, "add", ManifestEntry{Value: struct{}{}}, b)
		}
	}
	for id, a := range before {
		if _, ok := after[id]; !ok {
			add(id, "drop", a, ManifestEntry{Value: struct{}{}})
		}
	}
	slices.SortFunc(out, func(a, b entityChange) int {
		return cmp.Or(cmp.Compare(a.Entity, b.Entity), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// compareKeys returns the change of the number of keys, with how many were added and removed. It returns false if the keys are
// the same.
func compareKeys(a, b ManifestEntry) (fieldChange, bool) {
	added, removed := 0, 0
	for k := range b.Keys {
		if _, ok := a.Keys[k]; !ok {
			added++
		}
	}
	for k := range a.Keys {
		if _, ok := b.Keys[k]; !ok {
			removed++
		}
	}
	if added == 0 && removed == 0 {
		return fieldChange{}, false
	}
	change := fieldChange{Field: "ApiKeys"}
	if len(a.Keys) > 0 {
		change.Old = fmt.Sprintf("%d keys", len(a.Keys))
	}
	if len(b.Keys) > 0 {
		change.New = fmt.Sprintf("%d keys (%d added, %d removed)", len(b.Keys), added, removed)
	}
	return change, true
}
