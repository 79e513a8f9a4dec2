package job

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) { seed.Main(m, 1, 1000) }

var epoch = time.Unix(1_800_000_000, 0)

// jobID returns the n-th UUIDv7 with the given timestamp.
func jobID(at time.Time, n int) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	u[13], u[14], u[15] = byte(n>>16), byte(n>>8), byte(n)
	return u.String()
}

// must returns the item, and panics if it could not be encoded.
func must(item record.Item, err error) record.Item {
	if err != nil {
		panic(err)
	}
	return item
}

// newAccept returns an Accept of a new job with a number of tasks.
func newAccept(id string, count int) Accept {
	return Accept{
		ID: id, Class: "cut", Team: "plans", Count: count, Size: fleet.Size{Cores: 1000, Memory: 64}, Body: []byte("in"),
	}
}

// taskModel is the state of a task that the property test tracks independently of the table.
type taskModel struct {
	// runningAttempt is 0 while no attempt runs. result is "done" once an attempt is done and empty before.
	runningAttempt, lastAttempt int
	result                      string
	hop                         int
}

// TestRandomHistories guards against two attempts of a task at once, attempt numbers that are skipped or repeated after
// an eviction, a second final result, readers with different clocks that disagree, and snapshots that lose state.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		ids := []string{jobID(epoch, 1), jobID(epoch, 2)}
		// The first 36 characters of a task ID are the ID of its job.
		tasks := []string{ids[0] + "/0", ids[0] + "/1", ids[1] + "/0"}
		models := map[string]*taskModel{}
		for _, id := range tasks {
			models[id] = &taskModel{}
		}
		var accepted []record.Item
		offset := uint64(0)
		apply := func(item record.Item) error {
			offset++
			err := a.Apply(epoch, offset, item)
			if errB := b.Apply(epoch.Add(time.Duration(offset)*time.Hour), offset, item); (err == nil) != (errB == nil) {
				t.Fatalf("the readers differ on whether a record is valid: errors %v and %v", err, errB)
			}
			if err == nil {
				accepted = append(accepted, item)
			}
			return err
		}
		workers := rapid.SampledFrom([]string{"w1", "w2"})
		attempt := func(id string) int { return models[id].lastAttempt + rapid.IntRange(-1, 1).Draw(t, "delta") }
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			id := rapid.SampledFrom(tasks).Draw(t, "task")
			m := models[id]
			n := max(1, attempt(id))
			before := a.Task(id)
			switch rapid.IntRange(0, 11).Draw(t, "op") {
			case 0:
				_ = apply(must(AcceptItem(newAccept(id[:36], 2))))
			case 1, 2, 3:
				if apply(must(StartItem(Start{Task: id, Attempt: n, Worker: workers.Draw(t, "w"), Boot: "b", Host: "h"}))) == nil {
					if m.runningAttempt != 0 || n != m.lastAttempt+1 || m.result != "" {
						t.Fatalf("attempt %d of %s was started although the model forbids it: %+v", n, id, *m)
					}
					m.runningAttempt, m.lastAttempt = n, n
				}
			case 4, 5:
				result := rapid.SampledFrom([]Result{ResultDone, ResultFailed}).Draw(t, "result")
				cancelling := before != nil && before.Cancelling()
				if apply(must(EndItem(End{Task: id, Attempt: n, Result: result, Output: []byte{byte(n)}}))) == nil {
					if m.runningAttempt != n || m.result != "" {
						t.Fatalf("the end of attempt %d of %s was accepted although the model forbids it: %+v", n, id, *m)
					}
					m.runningAttempt = 0
					if result == ResultDone {
						m.result = "done"
					} else if cancelling && a.Task(id).State() != Cancelled {
						t.Fatalf("the failed end of a task being cancelled left it %v", a.Task(id).State())
					}
				}
			case 6, 7:
				reason := rapid.SampledFrom([]EvictReason{ReasonStopped, ReasonNoHolder, ReasonRestarted}).Draw(t, "reason")
				queryOffset, _ := a.OpenHolderQuery("w1")
				worker, queryOpen := "", false
				if before != nil {
					worker = before.Worker()
					_, queryOpen = a.OpenHolderQuery(worker)
				}
				e := Evict{Task: id, Attempt: n, Reason: reason, HolderQuery: queryOffset, Checkpoint: []byte{byte(n)}}
				if apply(must(EvictItem(e))) == nil {
					if m.runningAttempt != n || m.result != "" || reason == ReasonNoHolder && !queryOpen {
						t.Fatalf("the eviction of attempt %d of %s was accepted although the model forbids it: %+v", n, id, *m)
					}
					m.runningAttempt = 0
				}
			case 8:
				target := rapid.SampledFrom([]string{id, id[:36]}).Draw(t, "target")
				_ = apply(must(CancelItem(Cancel{ID: target})))
			case 9:
				mv := Move{
					Task: id, ToZone: "z", Hop: m.hop + rapid.IntRange(0, 1).Draw(t, "hop"),
					Confirmed: rapid.Bool().Draw(t, "done"),
				}
				mv.Hop = max(1, mv.Hop)
				if apply(must(MoveItem(mv))) == nil && !mv.Confirmed {
					if m.runningAttempt != 0 || mv.Hop != m.hop+1 {
						t.Fatalf("the move to hop %d was accepted although the model forbids it: %+v", mv.Hop, *m)
					}
					m.hop = mv.Hop
				}
				// The other zone sends the task back.
				if before != nil && rapid.Bool().Draw(t, "back") {
					back := newAccept(id[:36], 2)
					back.FromZone = "z"
					back.Tasks = []MovedTask{{Index: before.Index(), Attempt: m.lastAttempt, Hop: m.hop + 1}}
					if m.runningAttempt == 0 && a.Task(id).State() == Moved && apply(must(AcceptItem(back))) == nil {
						m.hop++
					}
				}
			case 10:
				w := workers.Draw(t, "w")
				if rapid.Bool().Draw(t, "hold") {
					_ = apply(must(HoldItem(Hold{Worker: w, Host: "h", Boot: "b", Grant: 1})))
				} else {
					_ = apply(must(HolderQueryItem(HolderQuery{Worker: w})))
				}
			case 11:
				if len(accepted) > 0 {
					repeated := rapid.SampledFrom(accepted).Draw(t, "repeated")
					if err := apply(repeated); err == nil && repeated.Kind != KindHolderQuery && repeated.Kind != KindHold {
						t.Fatalf("a repeated %s was accepted", repeated.Kind)
					}
				}
			}
			for id, m := range models {
				task := a.Task(id)
				if task == nil {
					continue
				}
				if (task.State() == Running) != (m.runningAttempt != 0) || m.result == "done" && task.State() != Done {
					t.Fatalf("%s is %v, which contradicts the model: %+v", id, task.State(), *m)
				}
			}
			checkIndexes(t, a)
			if rapid.IntRange(0, 7).Draw(t, "restore") == 0 {
				data, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b = New()
				if err := b.Restore(data, offset); err != nil {
					t.Fatal(err)
				}
				checkIndexes(t, b)
				if qa, qb := listedTaskIDs(a), listedTaskIDs(b); !slices.Equal(qa, qb) {
					t.Fatalf("listed tasks after a restore: %v, want %v", qb, qa)
				}
			}
		}
		sa, _ := a.Snapshot()
		sb, _ := b.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatal("the snapshots of the two readers differ")
		}
	})
}

// listedTaskIDs returns the IDs of the pending tasks and of those with unconfirmed moves, in the order of their lists.
func listedTaskIDs(tb *Table) (ids []string) {
	for _, class := range tb.PendingClasses() {
		for task := range tb.Pending(class) {
			ids = append(ids, task.ID())
		}
	}
	for task := range tb.UnconfirmedMoves() {
		ids = append(ids, task.ID())
	}
	return ids
}

// checkIndexes fails the test if the indexes of the table differ from a scan of all its tasks.
func checkIndexes(t *rapid.T, tb *Table) {
	var counts Counts
	unconfirmed, runningCores := 0, int64(0)
	for _, j := range tb.jobs {
		for _, task := range j.tasks {
			if task == nil {
				continue
			}
			counts[task.state]++
			if task.state == Moved && !task.moveConfirmed {
				unconfirmed++
			}
			if task.state == Running {
				runningCores += j.size.Cores
			}
		}
	}
	running, pending := 0, 0
	for _, w := range tb.BusyWorkers() {
		running += len(tb.RunningOn(w))
	}
	for _, class := range tb.PendingClasses() {
		for range tb.Pending(class) {
			pending++
		}
	}
	listedMoves := 0
	for range tb.UnconfirmedMoves() {
		listedMoves++
	}
	if counts != tb.Counts() || running != counts[Running] || pending != counts[Pending] || listedMoves != unconfirmed ||
		tb.TeamUsage("plans").Size.Cores != runningCores || tb.ClassUsage("cut").Tasks != running {
		t.Fatalf("scan counts %v, table counts %v, indexes list %d running, %d pending, %d moved; or the usage differs",
			counts, tb.Counts(), running, pending, listedMoves)
	}
}

// TestRetention guards against a removed job that a late Accept runs a second time, and against more retained jobs than
// MaxRetainedJobs.
func TestRetention(t *testing.T) {
	Convey("A job removed by count cannot be accepted again, but a task that was moved on can come back", t, func() {
		tb := New()
		offset := uint64(0)
		apply := func(item record.Item, err error) error {
			offset++
			return tb.Apply(epoch, offset, must(item, err))
		}
		first := newAccept(jobID(epoch, 0), 2)
		So(apply(AcceptItem(first)), ShouldBeNil)
		So(apply(MoveItem(Move{Task: first.ID + "/1", ToZone: "z", Hop: 1})), ShouldBeNil)
		So(apply(ParkItem(Park{Task: first.ID + "/0", Reason: "too large"})), ShouldBeNil)
		So(tb.Job(first.ID).Finished(), ShouldBeFalse)
		So(apply(MoveItem(Move{Task: first.ID + "/1", ToZone: "z", Hop: 1, Confirmed: true})), ShouldBeNil)
		So(tb.Job(first.ID).Finished(), ShouldBeTrue)
		for n := 1; n <= MaxRetainedJobs; n++ {
			So(apply(AcceptItem(newAccept(jobID(epoch, n), 1))), ShouldBeNil)
			So(apply(ParkItem(Park{Task: jobID(epoch, n) + "/0", Reason: "too large"})), ShouldBeNil)
		}
		So(tb.Job(first.ID), ShouldBeNil)
		So(tb.Len(), ShouldEqual, MaxRetainedJobs)
		So(errors.Is(apply(AcceptItem(first)), ErrExpired), ShouldBeTrue)
		back := first
		back.FromZone = "z"
		back.Tasks = []MovedTask{{Index: 1, Hop: 1}}
		So(errors.Is(apply(AcceptItem(back)), ErrExists), ShouldBeTrue)
		back.Tasks = []MovedTask{{Index: 1, Hop: 2, Attempt: 4}}
		So(apply(AcceptItem(back)), ShouldBeNil)
		So(tb.Task(first.ID+"/1").Attempt(), ShouldEqual, 4)
	})
}

// TestHolderQuery guards against an Evict that relies on a HolderQuery which the holder has answered, or on a query
// other than the one that its host waited for.
func TestHolderQuery(t *testing.T) {
	Convey("Only a holder query that has been open for the whole wait counts", t, func() {
		tb := New()
		a := newAccept(jobID(epoch, 1), 1)
		task := a.ID + "/0"
		evict := func(queryOffset uint64) error {
			return tb.Apply(epoch, 99, must(EvictItem(Evict{
				Task: task, Attempt: 1, Reason: ReasonNoHolder, HolderQuery: queryOffset,
			})))
		}
		So(tb.Apply(epoch, 1, must(AcceptItem(a))), ShouldBeNil)
		So(tb.Apply(epoch, 2, must(HolderQueryItem(HolderQuery{Worker: "w"}))), ShouldBeNil)
		So(tb.Apply(epoch, 3, must(StartItem(Start{Task: task, Attempt: 1, Worker: "w", Boot: "b", Host: "h"}))), ShouldBeNil)
		So(errors.Is(evict(2), ErrNoHolderQuery), ShouldBeTrue)
		So(tb.Apply(epoch, 4, must(HoldItem(Hold{Worker: "w", Host: "h", Boot: "b", Grant: 1}))), ShouldBeNil)
		So(tb.Apply(epoch, 5, must(HolderQueryItem(HolderQuery{Worker: "w"}))), ShouldBeNil)
		So(errors.Is(evict(2), ErrNoHolderQuery), ShouldBeTrue)
		So(evict(5), ShouldBeNil)
	})
}

// TestQueueOrderAndLimits guards against a queue order that starves evicted tasks, retries beyond the limit, and other
// content under the ID of a known job.
func TestQueueOrderAndLimits(t *testing.T) {
	Convey("Evicted tasks come first, failing ones are parked, other content under an ID is refused", t, func() {
		tb := New()
		offset := uint64(0)
		apply := func(item record.Item, err error) error {
			offset++
			return tb.Apply(epoch, offset, must(item, err))
		}
		a := newAccept(jobID(epoch, 1), 3)
		So(apply(AcceptItem(a)), ShouldBeNil)
		So(errors.Is(apply(AcceptItem(a)), ErrExists), ShouldBeTrue)
		other := a
		other.Body = []byte("other")
		So(errors.Is(apply(AcceptItem(other)), ErrConflict), ShouldBeTrue)
		So(apply(StartItem(Start{Task: a.ID + "/2", Attempt: 1, Worker: "w", Boot: "b", Host: "h"})), ShouldBeNil)
		So(apply(EvictItem(Evict{
			Task: a.ID + "/2", Attempt: 1, Reason: ReasonStopped, Checkpoint: []byte("c"),
		})), ShouldBeNil)
		order := ""
		for task := range tb.Pending("cut") {
			order += fmt.Sprint(task.Index())
		}
		So(order, ShouldEqual, "201")
		for n := 2; n <= 4; n++ {
			So(apply(StartItem(Start{Task: a.ID + "/2", Attempt: n, Worker: "w", Boot: "b", Host: "h"})), ShouldBeNil)
			So(string(tb.Task(a.ID+"/2").Checkpoint()), ShouldEqual, "c")
			So(apply(EndItem(End{Task: a.ID + "/2", Attempt: n, Result: ResultFailed})), ShouldBeNil)
		}
		So(tb.Task(a.ID+"/2").State(), ShouldEqual, Parked)
		_, err := EndItem(End{Task: a.ID + "/1", Attempt: 1, Result: ResultDone, Output: make([]byte, MaxOutputBytes+1)})
		So(errors.Is(err, record.ErrMalformed), ShouldBeTrue)
	})
}

// FuzzApply guards against records that crash a reader or change the state although they are refused.
func FuzzApply(f *testing.F) {
	a := newAccept(jobID(epoch, 1), 2)
	for _, item := range []record.Item{
		must(AcceptItem(a)), must(CancelItem(Cancel{ID: a.ID})), must(HolderQueryItem(HolderQuery{Worker: "w"})),
		must(StartItem(Start{Task: a.ID + "/0", Attempt: 1, Worker: "w", Boot: "b", Host: "h"})),
		must(MoveItem(Move{Task: a.ID + "/1", ToZone: "z", Hop: 1})),
	} {
		f.Add(string(item.Kind), item.Data)
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		tb := New()
		_ = tb.Apply(epoch, 1, must(AcceptItem(a)))
		before, _ := tb.Snapshot()
		if tb.Apply(epoch, 2, record.Item{Kind: record.Kind(kind), Data: data}) != nil {
			if after, _ := tb.Snapshot(); !bytes.Equal(before, after) {
				t.Fatal("a refused record changed the state")
			}
		}
		_ = New().Restore(data, 1)
	})
}

// TestLeaseExpiredNeedsNewestHold guards against a host that considers the task leases of a worker expired although
// another host has taken the worker over and renews them.
func TestLeaseExpiredNeedsNewestHold(t *testing.T) {
	Convey("Only the newest holder may evict a task because its lease expired", t, func() {
		tb := New()
		offset := uint64(0)
		apply := func(item record.Item, err error) error {
			offset++
			return tb.Apply(epoch, offset, must(item, err))
		}
		a := newAccept(jobID(epoch, 1), 1)
		task := a.ID + "/0"
		evict := func(host string) error {
			return apply(EvictItem(Evict{Task: task, Attempt: 1, Reason: ReasonLeaseExpired, Host: host}))
		}
		So(apply(AcceptItem(a)), ShouldBeNil)
		So(apply(HoldItem(Hold{Worker: "w", Host: "h1", Boot: "b", Grant: 1})), ShouldBeNil)
		So(apply(StartItem(Start{Task: task, Attempt: 1, Worker: "w", Boot: "b", Host: "h1"})), ShouldBeNil)
		So(apply(HoldItem(Hold{Worker: "w", Host: "h2", Boot: "b", Grant: 2})), ShouldBeNil)
		So(errors.Is(evict("h1"), ErrNotHolder), ShouldBeTrue)
		So(errors.Is(apply(HoldItem(Hold{Worker: "w", Host: "h1", Boot: "b", Grant: 1})), ErrNotHolder), ShouldBeTrue)
		So(errors.Is(evict("h1"), ErrNotHolder), ShouldBeTrue)
		data, err := tb.Snapshot()
		So(err, ShouldBeNil)
		So(tb.Restore(data, offset), ShouldBeNil)
		So(errors.Is(evict("h1"), ErrNotHolder), ShouldBeTrue)
		So(evict("h2"), ShouldBeNil)
	})
}
