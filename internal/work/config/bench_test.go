package config

import (
	"strconv"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// BenchmarkRelay measures the size of the configuration that a peer relays after a change, and the time to encode it.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var doc Document
			for i := range n {
				doc.Classes = append(doc.Classes, Class{
					Name: "class-" + strconv.Itoa(i), Kind: KindBatch, Service: "quote-desk", RunTime: time.Minute,
					Size: fleet.Size{Cores: 1000, Memory: 1024}, Target: Target{FinishedPerHour: 100, EvictionsPerTaskDay: 4},
				})
			}
			s := NewState()
			item, err := record.EncodeItem(RecordApply, DocumentUpdate{Document: doc})
			if err == nil {
				err = s.Apply(time.Time{}, 1, item)
			}
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				data, _, err := s.ExportSince(0)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "relay-B")
		})
	}
}
