package config

import (
	"bytes"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// FuzzApply guards against records, snapshots and relayed configurations that crash a host, change something although
// they are refused, or lower the version.
func FuzzApply(f *testing.F) {
	encode := func(kind record.Kind, v any) []byte {
		i, err := record.EncodeItem(kind, v)
		if err != nil {
			f.Fatal(err)
		}
		return i.Data
	}
	class := Class{Name: "b", Kind: KindBatch, Target: Target{FinishedPerHour: 1}}
	f.Add(string(RecordClass), encode(RecordClass, ClassUpdate{Class: class}))
	f.Add(string(RecordTeam), encode(RecordTeam, TeamUpdate{Team: Team{Name: "t"}}))
	f.Add(string(RecordZone), encode(RecordZone, ZoneUpdate{BaseVersion: 2, Name: "z", Region: "r", TakenOut: true}))
	f.Add(string(RecordApply), encode(RecordApply, DocumentUpdate{
		BaseVersion: 2, Document: Document{Classes: []Class{class}},
	}))
	// An unknown kind, a record with content of another type, and a truncated one.
	f.Add("odd", []byte{0xc0})
	f.Add(string(RecordZone), []byte{0x91, 0x01})
	f.Add(string(RecordClass), encode(RecordClass, ClassUpdate{Class: class})[:9])
	if full, err := NewState().Snapshot(); err == nil {
		f.Add("snap", full)
	}
	zone := record.Item{Kind: RecordZone, Data: encode(RecordZone, ZoneUpdate{Name: "z", Region: "r"})}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		s := NewState()
		if err := s.Apply(time.Time{}, 1, zone); err != nil {
			t.Fatal(err)
		}
		before, _ := s.Snapshot()
		if s.Apply(time.Time{}, 2, record.Item{Kind: record.Kind(kind), Data: data}) != nil {
			if after, _ := s.Snapshot(); !bytes.Equal(before, after) {
				t.Fatal("a refused record changed the state")
			}
		}
		version := s.Version()
		_ = s.Adopt(data, 3)
		_ = s.Restore(data, 3)
		if s.Version() < version {
			t.Fatalf("version went from %d to %d", version, s.Version())
		}
		for _, z := range s.Zones() {
			_ = z.Value.Name
		}
	})
}
