package intent

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/standin/seed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) { seed.Main(m, 1, 500) }

var epoch = time.Unix(1_800_000_000, 0)

// key returns the n-th UUIDv7 at a time.
func key(at time.Time, n byte) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, n
	return u.String()
}

func must(item record.Item, err error) record.Item {
	if err != nil {
		panic(err)
	}
	return item
}

func callIntent(k string, attempt int, previousOffset uint64) Intent {
	return Intent{
		Key: k, Digest: 1, Kind: KeyKindCall, Class: "quote", Zone: "z", Host: "h", Worker: "w", Boot: "b",
		LatestStart: time.Second, Attempt: attempt, PreviousOffset: previousOffset,
	}
}

// Guards against readers that disagree on a late record because one of them has forgotten the key or was restored from
// a snapshot, and against a key with two attempts that follow the same one, two answers, or records after its close.
func TestReadersAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		keys := []string{key(epoch, 1), key(epoch, 2), key(epoch.Add(24*time.Hour), 3), key(epoch.Add(26*time.Hour), 4)}
		final := map[string]bool{}
		lastAttempt := map[string]int{}
		for offset := uint64(1); offset < 40; offset++ {
			k := rapid.SampledFrom(keys).Draw(t, "key")
			status := a.LookUp(k)
			attempt := max(1, status.Intent.Attempt+rapid.IntRange(-1, 1).Draw(t, "delta"))
			previousOffset := status.Offset
			stale := rapid.IntRange(0, 3).Draw(t, "stale") == 0
			if stale {
				previousOffset++
			}
			var item record.Item
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				i := callIntent(k, 1, 0)
				i.Digest = rapid.Uint64Range(1, 2).Draw(t, "digest")
				i.Kind = rapid.SampledFrom([]KeyKind{KeyKindCall, KeyKindCall, KeyKindJob}).Draw(t, "kind")
				item = must(Item(i))
			case 1, 2:
				if attempt == 1 {
					previousOffset = 0
				}
				item = must(Item(callIntent(k, attempt, previousOffset)))
			case 3:
				item = must(AnswerItem(Answer{Key: k, Attempt: attempt, Body: []byte{byte(offset)}}))
			case 4:
				c := Close{Key: k, Attempt: attempt, PreviousOffset: previousOffset, Reason: "r"}
				if rapid.Bool().Draw(t, "first") {
					c.Attempt, c.PreviousOffset = 0, 0
				}
				item = must(CloseItem(c))
			case 5:
				item = must(HomeZoneItem(HomeZone{Key: k, Zone: "y", Hop: attempt}))
			}
			errA, errB := a.Apply(epoch, offset, item), b.Apply(epoch.Add(time.Hour), offset, item)
			if (errA == nil) != (errB == nil) {
				t.Fatalf("%s was accepted by one reader and ignored by the other: %v and %v", item.Kind, errA, errB)
			}
			if errA == nil && item.Kind != KindHomeZone {
				updated := a.LookUp(k)
				if stale && item.Kind != KindAnswer && lastAttempt[k] > 0 {
					t.Fatalf("%s that does not follow the last intent was accepted", item.Kind)
				}
				if final[k] {
					t.Fatalf("%s was accepted after the answer or close of its key", item.Kind)
				}
				if item.Kind == KindIntent {
					if updated.Intent.Attempt != lastAttempt[k]+1 {
						t.Fatalf("attempt %d was accepted after attempt %d", updated.Intent.Attempt, lastAttempt[k])
					}
					lastAttempt[k]++
				} else {
					final[k] = true
				}
			}
			// Reader b expires keys by any wall clock and is restored from a snapshot at times.
			b.Expire(epoch.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "clock")) * time.Hour))
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
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
		sa, _ := a.Snapshot()
		sb, _ := b.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatal("the snapshots of the two readers differ")
		}
	})
}

// Guards against a key that is forgotten while hosts still accept it, and a late record that claims it again.
func TestExpire(t *testing.T) {
	Convey("Only keys past the watermark are forgotten, and late records of them are ignored", t, func() {
		tb := New()
		k := key(epoch, 1)
		So(tb.Apply(epoch, 1, must(Item(callIntent(k, 1, 0)))), ShouldBeNil)
		So(tb.Expire(epoch.Add(100*time.Hour)), ShouldEqual, 0)
		next := key(epoch.Add(KeyRetention+time.Minute), 2)
		So(tb.Apply(epoch, 2, must(Item(callIntent(next, 1, 0)))), ShouldBeNil)
		So(tb.Expire(epoch.Add(KeyRetention)), ShouldEqual, 0)
		late := must(AnswerItem(Answer{Key: k, Attempt: 1}))
		So(errors.Is(tb.Apply(epoch, 3, late), ErrExpired), ShouldBeTrue)
		So(tb.Expire(epoch.Add(KeyRetention+time.Minute)), ShouldEqual, 1)
		So(errors.Is(tb.Apply(epoch, 4, late), ErrExpired), ShouldBeTrue)
		So(errors.Is(tb.Apply(epoch, 5, must(Item(callIntent(k, 1, 0)))), ErrExpired), ShouldBeTrue)
		So(tb.LookUp(k).State, ShouldEqual, StateExpired)
	})
}

// Guards against a check that refuses valid keys or accepts ones that may be forgotten.
func TestCheckKey(t *testing.T) {
	Convey("Keys may be up to 24 h old and up to 5 min in the future", t, func() {
		k := key(epoch, 1)
		So(CheckKey(epoch.Add(MaxKeyAge), k), ShouldBeNil)
		So(errors.Is(CheckKey(epoch.Add(MaxKeyAge+time.Millisecond), k), ErrKeyTooOld), ShouldBeTrue)
		So(CheckKey(epoch.Add(-MaxKeyAhead), k), ShouldBeNil)
		So(errors.Is(CheckKey(epoch.Add(-MaxKeyAhead-time.Millisecond), k), ErrKeyAhead), ShouldBeTrue)
		So(errors.Is(CheckKey(epoch, uuid.NewString()), ErrInvalidKey), ShouldBeTrue)
	})
}

// FuzzApply guards against records that crash a reader or change the state although they are ignored.
func FuzzApply(f *testing.F) {
	k := key(epoch, 1)
	for _, i := range []record.Item{
		must(Item(callIntent(k, 2, 1))), must(AnswerItem(Answer{Key: k, Attempt: 1, Body: []byte("b")})),
		must(CloseItem(Close{Key: k, Attempt: 1, PreviousOffset: 1, Reason: "r"})),
		must(HomeZoneItem(HomeZone{Key: k, Zone: "z", Hop: 1})),
	} {
		f.Add(string(i.Kind), i.Data)
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		tb := New()
		_ = tb.Apply(epoch, 1, must(Item(callIntent(k, 1, 0))))
		before, _ := tb.Snapshot()
		if tb.Apply(epoch, 2, record.Item{Kind: record.Kind(kind), Data: data}) != nil {
			if after, _ := tb.Snapshot(); !bytes.Equal(before, after) {
				t.Fatal("an ignored record changed the state")
			}
		}
		_ = New().Restore(data, 1)
	})
}
