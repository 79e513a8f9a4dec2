package config

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/standin/seed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

func TestMain(m *testing.M) { seed.Main(m, 1, 100) }

var names = rapid.SampledFrom([]string{"a", "b", "c"})

func drawDocument(t *rapid.T) Document {
	var d Document
	for _, n := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, "classes") {
		d.Classes = append(d.Classes, drawClass(t, n))
	}
	for _, n := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, "teams") {
		d.Teams = append(d.Teams, Team{Name: n})
	}
	return d
}

func drawClass(t *rapid.T, name string) Class {
	// A latency below zero makes the record invalid.
	return Class{
		Name: name, Kind: KindUrgent, Target: Target{P99Latency: time.Duration(rapid.IntRange(-1, 3).Draw(t, "answer"))},
	}
}

// drawItem returns a change and whether its base version is that of the state. Most changes have the present version.
func drawItem(t *rapid.T, s *State) (record.Item, bool) {
	drop := rapid.Bool().Draw(t, "drop")
	name := names.Draw(t, "name")
	kind := rapid.SampledFrom([]record.Kind{RecordClass, RecordTeam, RecordZone, RecordApply, "odd"}).Draw(t, "kind")
	now := versions(s.current())
	present := map[record.Kind]uint64{
		RecordTeam: now["team "+name], RecordZone: now["zone "+name], RecordApply: now[""], RecordClass: now["class "+name],
	}[kind]
	base := present
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, present+1).Draw(t, "base")
	}
	var msg any
	switch kind {
	case RecordTeam:
		msg = TeamUpdate{BaseVersion: base, Team: Team{Name: name}, Drop: drop}
	case RecordZone:
		msg = ZoneUpdate{BaseVersion: base, Name: name, Region: "r", TakenOut: drop}
	case RecordApply:
		msg = DocumentUpdate{BaseVersion: base, Document: drawDocument(t)}
	default:
		msg = ClassUpdate{BaseVersion: base, Class: drawClass(t, name), Drop: drop}
	}
	item, err := record.EncodeItem(kind, msg)
	if err != nil {
		t.Fatal(err)
	}
	return item, base == present
}

func versions(cfg *configuration) map[string]uint64 {
	m := map[string]uint64{"": cfg.Version}
	for n, e := range cfg.Classes {
		m["class "+n] = e.Version
	}
	for n, e := range cfg.Teams {
		m["team "+n] = e.Version
	}
	for n, e := range cfg.Zones {
		m["zone "+n] = e.Version
	}
	return m
}

// Guards against versions that decrease and readers that diverge under stale and concurrent changes, snapshots and
// relayed configurations, and against refused records that change something.
func TestVersionsNeverDecreaseAndReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := NewState()
		var log []record.Item
		// Items of one record share an offset.
		offsets := []uint64{0}
		readers := []*State{NewState(), NewState(), NewState()}
		read := make([]int, len(readers))
		step := func(r int) {
			if read[r] < len(log) {
				_ = readers[r].Apply(time.Time{}, offsets[read[r]+1], log[read[r]])
				read[r]++
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			before := versions(readers[r].current())
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				item, atPresentVersion := drawItem(t, reference)
				snapshotBefore, _ := reference.Snapshot()
				offset := offsets[len(log)]
				if offset == 0 || rapid.Bool().Draw(t, "new record") {
					offset++
				}
				offsets = append(offsets, offset)
				err := reference.Apply(time.Time{}, offset, item)
				snapshotAfter, _ := reference.Snapshot()
				if err != nil && len(snapshotBefore) != len(snapshotAfter) {
					t.Fatal("a refused record changed the state")
				}
				if err == nil && !atPresentVersion {
					t.Fatalf("%s with a base version other than the present one was accepted", item.Kind)
				}
				log = append(log, item)
			case 2:
				step(r)
				// A record that was read before is delivered again.
				if n := read[r]; n > 0 && offsets[1] < offsets[n] && readers[r].Apply(time.Time{}, offsets[1], log[0]) == nil {
					t.Fatal("an old record was accepted")
				}
			case 3:
				other := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "peer")]
				data, version, _ := other.Export()
				if err := readers[r].Adopt(data, version); (err == nil) != (version > before[""]) {
					t.Fatalf("adopting version %d over version %d returned %v", version, before[""], err)
				}
				if now := readers[r].Version(); now != max(version, before[""]) {
					t.Fatalf("version %d is in force after adopting %d over %d", now, version, before[""])
				}
			case 4:
				o := rapid.IntRange(0, len(readers)-1).Draw(t, "writer")
				if read[o] == len(log) || offsets[read[o]] == offsets[read[o]+1] {
					continue // A feed takes snapshots between records only.
				}
				data, _ := readers[o].Snapshot()
				base, position := offsets[read[o]], readers[r].offset
				err := readers[r].Restore(data, base)
				if (err == nil) != (base >= position) {
					t.Fatalf("restoring a snapshot at offset %d at position %d returned %v", base, position, err)
				}
				if err == nil {
					read[r] = read[o]
				}
			}
			for name, v := range versions(readers[r].current()) {
				if v < before[name] {
					t.Fatalf("version of %q went from %d to %d", name, before[name], v)
				}
				delete(before, name)
			}
			if len(before) > 0 {
				t.Fatalf("entities of the previous state are missing, with these versions: %v", before)
			}
		}
		for r := range readers {
			for read[r] < len(log) {
				step(r)
			}
			if !reflect.DeepEqual(readers[r].fromLog, reference.fromLog) ||
				!reflect.DeepEqual(readers[r].current(), reference.current()) {
				t.Fatalf("reader %d differs: %+v, want %+v", r, readers[r].current(), reference.current())
			}
		}
	})
}

// Guards against a repeated apply that counts as a change, and an apply that puts a zone back into service.
func TestRepeatedApplyChangesNothing(t *testing.T) {
	s := NewState()
	zone, _ := record.EncodeItem(RecordZone, ZoneUpdate{Name: "z", Region: "r", TakenOut: true})
	if err := s.Apply(time.Time{}, 1, zone); err != nil {
		t.Fatal(err)
	}
	doc := Document{Classes: []Class{{Name: "a", Kind: KindBatch, Target: Target{FinishedPerHour: 1}}}}
	for offset := uint64(2); offset < 4; offset++ {
		item, _ := record.EncodeItem(RecordApply, DocumentUpdate{BaseVersion: s.Version(), Document: doc})
		if err := s.Apply(time.Time{}, offset, item); err != nil {
			t.Fatal(err)
		}
	}
	_, v, _ := s.Class("a")
	z, _, _ := s.Zone("z")
	if s.Version() != 3 || v != 1 || !z.TakenOut || len(Diff(s.Document(), doc)) != 0 {
		t.Errorf("configuration has version %d, want 3; class has version %d, want 1; zone is %+v, want it taken out",
			s.Version(), v, z)
	}
	stale, _ := record.EncodeItem(RecordApply, DocumentUpdate{BaseVersion: 1, Document: doc})
	var e StaleError
	if err := s.Apply(time.Time{}, 4, stale); !errors.Is(err, ErrStale) || !errors.As(err, &e) || e.Current != 3 {
		t.Errorf("apply with base version 1 returned %v, want a StaleError with the current version 3", err)
	}
}

// Guards against mistakes that are not reported, or are reported without the path of their field.
func TestValidateReportsEveryMistake(t *testing.T) {
	err := Document{Classes: []Class{
		{Name: "A", Kind: "x", RunTime: -1}, {Name: "u", Kind: KindUrgent}, {Name: "b", Kind: KindBatch},
	}}.Validate()
	var e InvalidError
	if !errors.As(err, &e) || len(e) != 5 ||
		e[3].Field != "classes[1].target.answer" || e[4].Field != "classes[2].target.finished" {
		t.Errorf("got %v, want 5 mistakes, the last two of a missing target.answer and a missing target.finished", err)
	}
}

// Guards against fields that get lost in the JSON form, and changes whose order varies.
func TestDocumentJSONForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		data, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Document
		if err := json.Unmarshal(data, &decoded); err != nil || len(Diff(a, decoded)) != 0 {
			t.Fatalf("document is not the same after encoding and decoding, or was not decoded: error %v", err)
		}
		if !reflect.DeepEqual(Diff(a, b), Diff(a, b)) || len(Diff(a, a)) != 0 {
			t.Fatal("the order of changes varies, or a document differs from itself")
		}
	})
}
