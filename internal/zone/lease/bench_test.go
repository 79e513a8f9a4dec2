package lease

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkTick measures one tick, which each host makes five times a second over all workers of its zone.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{16, 91, 364} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			h, ws := New("h0"), make([]Worker, n)
			for i := range ws {
				ws[i] = Worker{ID: "w" + strconv.Itoa(i), Address: "a"}
			}
			h.Update(epoch, WorkersMsg{Workers: ws})
			now := epoch
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				h.Update(now, PeersMsg{Hosts: []string{"h0", "h1", "h2"}})
				h.Update(now, TickMsg{})
			}
		})
	}
}
