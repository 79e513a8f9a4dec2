package dispatch

import (
	"strconv"
	"testing"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// BenchmarkTakeOver measures the beginning of a term on a large fleet: the state is restored, and all workers are listed
// and answer for the first time.
func BenchmarkTakeOver(b *testing.B) {
	const workers = 890
	records := make([]Record, workers)
	registrations := make([]Registration, workers)
	for i := range workers {
		id := "i-" + strconv.Itoa(i*7919%workers)
		records[i] = Record{Key: prefixWorker + id, Value: encode(&workerRecord{Boot: 1, Service: "svc", Address: id})}
		registrations[i] = Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 32000, Memory: 125000},
		}
	}
	for b.Loop() {
		s := New(testLimits(), 2, 2)
		s.Restore(simEpoch, simEpoch, records, simEpoch)
		for _, r := range registrations {
			s.SetWorker(simEpoch, r)
		}
		for _, r := range registrations {
			s.HandleReport(simEpoch, Report{Worker: r.ID, Boot: 1, Clock: 1000})
		}
	}
}
