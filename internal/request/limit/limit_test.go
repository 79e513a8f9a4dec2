package limit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

// TestMain fixes the seed so that each run makes the same checks.
func TestMain(m *testing.M) { seed.Main(m, 7, 200) }

var epoch = time.Unix(1_000_000, 0)

func equalWeight(string) float64 { return 1 }

// TestBudgetBoundsRetries guards against retries that multiply the load when all requests fail.
func TestBudgetBoundsRetries(t *testing.T) {
	b, now, taken := NewBudget(0.1, 0.5, 10), epoch, 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.CountRequest(now)
		for b.Take(now) {
			taken++
		}
	}
	// 0.1 for each of 10,000 requests, 0.5 a second for 10 s and the first token are 1006.
	if taken < 990 || taken > 1007 {
		t.Fatalf("%d retries of 10000 requests in 10 s, want 990 to 1007", taken)
	}
	if now = now.Add(4 * time.Second); !b.Take(now) {
		t.Fatal("no retry is allowed after 4 s without requests")
	}
}

// TestQueueOrderAndDeadlines guards against requests that are lost, returned twice or served after their deadline, a
// queue longer than its limit, and requests of a team served out of order.
func TestQueueOrderAndDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		q, now, newest := NewQueue(20, 10*time.Millisecond), epoch, 0
		waiting, teams, deadlines := map[int]bool{}, map[int]string{}, map[int]time.Time{}
		removeWaiting := func(id string) int {
			var n int
			fmt.Sscan(id, &n)
			if !waiting[n] {
				t.Fatalf("request %d is not queued", n)
			}
			delete(waiting, n)
			return n
		}
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1, 2:
				newest++
				teams[newest] = fmt.Sprint("team", rng.IntN(4))
				deadlines[newest] = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
				if q.Push(now, fmt.Sprint(newest), teams[newest], deadlines[newest], 2) == nil {
					waiting[newest] = true
				}
			case 3:
				id, late, ok := q.Pop(now, equalWeight)
				for _, l := range late {
					if n := removeWaiting(l); deadlines[n].After(now) {
						t.Fatalf("request %d was removed before its deadline", n)
					}
				}
				if !ok {
					continue
				}
				n := removeWaiting(id)
				if !deadlines[n].After(now) {
					t.Fatalf("request %d was served after its deadline", n)
				}
				for m := range waiting {
					if m < n && teams[m] == teams[n] {
						t.Fatalf("request %d was served before request %d, an earlier one of its team", n, m)
					}
				}
			case 4:
				n := 1 + rng.IntN(newest+1)
				if q.Cancel(fmt.Sprint(n)) != waiting[n] {
					t.Fatalf("Cancel of request %d did not report whether it was queued", n)
				}
				delete(waiting, n)
			}
			if q.Len() != len(waiting) || q.Len() > 20 {
				t.Fatalf("%d requests are queued, want %d and at most 20", q.Len(), len(waiting))
			}
		}
	})
}

// TestQueueSharesBetweenTeams guards against a team with many requests delaying those of other teams.
func TestQueueSharesBetweenTeams(t *testing.T) {
	q, deadline := NewQueue(200, time.Millisecond), epoch.Add(time.Hour)
	for i := range 100 {
		q.Push(epoch, fmt.Sprint("a", i), "a", deadline, 1)
	}
	for range 10 {
		q.Pop(epoch, equalWeight)
	}
	for i := range 10 {
		q.Push(epoch, fmt.Sprint("b", i), "b", deadline, 1)
	}
	got := map[byte]int{}
	for range 16 {
		id, _, _ := q.Pop(epoch, equalWeight)
		got[id[0]]++
	}
	if got['b'] < 7 || got['a'] < 7 {
		t.Fatalf("requests served by team: %v, want at least 7 of each", got)
	}
}

// TestPushRefusals guards against queueing a request that cannot be answered in time, and refusals without a reason.
func TestPushRefusals(t *testing.T) {
	q := NewQueue(2, 100*time.Millisecond)
	for i, want := range []Reason{"", ReasonLate, "", ReasonFull} {
		deadline := epoch.Add(time.Second)
		if want == ReasonLate {
			deadline = epoch.Add(250 * time.Millisecond)
		}
		err := q.Push(epoch, fmt.Sprint(i), "a", deadline, 1)
		var r *Refusal
		if errors.As(err, &r) != (want != "") || r != nil && (r.Reason != want || r.RetryAfter <= 0) {
			t.Fatalf("Push of request %d: %v, want refusal %q and a delay", i, err, want)
		}
	}
}
