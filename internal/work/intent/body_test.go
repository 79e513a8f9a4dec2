package intent

import (
	"bytes"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// applyAnswered applies an intent and an answer for the n-th key and returns the key.
func applyAnswered(t testing.TB, tb *Table, n int, body []byte) string {
	at := epoch.Add(time.Duration(n) * time.Millisecond)
	k := key(at, byte(n))
	if err := tb.Apply(epoch, uint64(2*n+1), must(Item(callIntent(k, 1, 0)))); err != nil {
		t.Fatal(err)
	}
	if err := tb.Apply(epoch, uint64(2*n+2), must(AnswerItem(Answer{Key: k, Attempt: 1, Body: body}))); err != nil {
		t.Fatal(err)
	}
	return k
}

// Guards against answers that fill the memory of a host, readers that keep different answers, and a key that can be
// claimed again once its answer was dropped.
func TestOldestBodiesAreDropped(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	a, b := New(), New()
	const count = 350
	keys := make([]string, 0, count)
	restores := 0
	for n := range count {
		body := make([]byte, rng.IntN(MaxBodyBytes+1))
		k := applyAnswered(t, a, n, body)
		if applyAnswered(t, b, n, body) != k {
			t.Fatal("the two tables were given different keys for the same answer")
		}
		keys = append(keys, k)
		if rng.IntN(60) == 0 {
			restores++
			data, err := b.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			b = New()
			if err := b.Restore(data, uint64(2*n+2)); err != nil {
				t.Fatal(err)
			}
		}
		if status := a.LookUp(k); status.BodyDropped || len(status.Answer.Body) != len(body) {
			t.Fatalf("the body of the newest answer was dropped or has another length")
		}
	}
	dropped := 0
	for _, tb := range []*Table{a, b} {
		total := 0
		for i, k := range keys {
			status := tb.LookUp(k)
			if status.State != StateAnswered || status.BodyDropped != a.LookUp(k).BodyDropped ||
				status.BodyDropped && len(status.Answer.Body) > 0 {
				t.Fatalf("key %d: state %v, dropped %v with %d bytes; want it answered, 0 bytes if dropped, tables alike",
					i, status.State, status.BodyDropped, len(status.Answer.Body))
			}
			if tb.Apply(epoch, 1<<20, must(Item(callIntent(k, 2, status.Offset)))) == nil {
				t.Fatalf("key %d was claimed again", i)
			}
			total += len(status.Answer.Body)
			if status.BodyDropped {
				dropped++
			}
		}
		if total > MaxRetainedBytes {
			t.Fatalf("the bodies that are kept have %d bytes, which exceeds MaxRetainedBytes", total)
		}
	}
	sa, _ := a.Snapshot()
	sb, _ := b.Snapshot()
	if !bytes.Equal(sa, sb) || dropped == 0 || restores == 0 {
		t.Fatalf("snapshots differ, or no body was dropped, or no snapshot was restored: %d dropped, %d restored",
			dropped, restores)
	}
}

func BenchmarkApply(b *testing.B) {
	tb, body, n := New(), make([]byte, 1024), 0
	for b.Loop() {
		applyAnswered(b, tb, n, body)
		n++
	}
}

// BenchmarkMemory measures the memory per answered key with an answer of 1 KiB, while all bodies are kept and when most
// of them were dropped.
func BenchmarkMemory(b *testing.B) {
	for name, keys := range map[string]int{"kept": 5000, "mostly-dropped": 90_000} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				tb := New()
				for n := range keys {
					applyAnswered(b, tb, n, make([]byte, 1024))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(tb)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "bytes/key")
		})
	}
}
