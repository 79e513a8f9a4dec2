package job

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// TestRetentionAcrossRestore guards against a host that starts from a snapshot and removes finished jobs earlier, later
// or in another order than the other hosts. A late Accept would then run a job again at some of the readers.
func TestRetentionAcrossRestore(t *testing.T) {
	t.Parallel()
	// The first case reaches MaxRetainedJobs, the second MaxRetainedBytes.
	for _, c := range []struct{ output, jobs int }{{0, MaxRetainedJobs + 100}, {16 << 10, MaxRetainedBytes>>14 + 60}} {
		a, b := New(), New()
		rng := rand.New(rand.NewPCG(1, uint64(c.output)))
		offset := uint64(0)
		apply := func(item record.Item) error {
			offset++
			err := a.Apply(epoch, offset, item)
			if errB := b.Apply(epoch, offset, item); (err == nil) != (errB == nil) {
				t.Fatalf("offset %d: %s: the reader returned %v, the one from snapshots %v", offset, item.Kind, err, errB)
			}
			return err
		}
		accepts, restores, late := []record.Item{}, 0, 0
		for n := range c.jobs {
			id := jobID(epoch, n)
			item := must(AcceptItem(newAccept(id, 2)))
			accepts = append(accepts, item)
			_ = apply(item)
			_ = apply(must(MoveItem(Move{Task: id + "/1", ToZone: "z", Hop: 1})))
			_ = apply(must(StartItem(Start{Task: id + "/0", Attempt: 1, Worker: "w", Boot: "b", Host: "h"})))
			_ = apply(must(EndItem(End{Task: id + "/0", Attempt: 1, Result: ResultDone, Output: make([]byte, c.output)})))
			_ = apply(must(MoveItem(Move{Task: id + "/1", ToZone: "z", Hop: 1, Confirmed: true})))
			if rng.IntN(5) == 0 {
				// A task of an earlier job, removed or not, comes back and ends a second time.
				old := newAccept(jobID(epoch, rng.IntN(n+1)), 2)
				old.FromZone, old.Tasks = "z", []MovedTask{{Index: 1, Attempt: 1, Hop: 2}}
				if apply(must(AcceptItem(old))) == nil {
					_ = apply(must(ParkItem(Park{Task: old.ID + "/1", Reason: "too large"})))
				}
			}
			if errors.Is(apply(accepts[rng.IntN(len(accepts))]), ErrExpired) {
				late++
			}
			if rng.IntN(200) == 0 {
				restores++
				data, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b = New()
				if err := b.Restore(data, offset); err != nil {
					t.Fatal(err)
				}
			}
		}
		if a.Len() > MaxRetainedJobs || a.Len() != b.Len() || restores == 0 || late == 0 {
			t.Fatalf("%d and %d jobs, %d restores, %d late accepts refused; want equal job counts in bounds, others > 0",
				a.Len(), b.Len(), restores, late)
		}
		sa, _ := a.Snapshot()
		sb, _ := b.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatal("the snapshots of the two readers differ after restores")
		}
	}
}
