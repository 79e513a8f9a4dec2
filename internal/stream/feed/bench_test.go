package feed

import (
	"context"
	"strconv"
	"testing"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// BenchmarkJoin measures the time that a new reader takes to reach the end of a stream of n records with one item each,
// without a snapshot. The log is in memory.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{2000, 8000, 32_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			l := newFakeLog(1)
			for i := range n {
				data, err := record.Encode(record.Envelope{
					Writer: "w", Seq: uint64(i + 1), Items: []record.Item{encodeItem(3*i + 1)},
				})
				if err == nil {
					_, err = l.Append(context.Background(), "s", data)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				f, stop := NewFeed(l, "s", "reader", &listSink{})
				<-f.Ready()
				stop()
			}
		})
	}
}
