package attempt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

// TestMain fixes the seed so that each run makes the same checks.
func TestMain(m *testing.M) { seed.Main(m, 7, 4000) }

var epoch = time.Unix(1_000_000, 0)

type tokens int

func (n *tokens) Take(time.Time) bool {
	*n--
	return *n >= 0
}

func answer(id string, attempt int, body string) fleet.Answer {
	return fleet.Answer{Request: id, Attempt: attempt, Body: []byte(body), Digest: xxhash.Sum64String(body)}
}

// simulation carries out the commands of one lifecycle in random order and adds stray messages.
type simulation struct {
	*rapid.T
	rng         *rand.Rand
	life        *Lifecycle
	req         Request
	budget      tokens
	startTokens tokens
	now         time.Time
	pending     []func()
	// reservations holds the worker of each reservation not yet released, sends that of each attempt sent.
	reservations map[int]string
	sends        map[int]string
	// mayHaveRun is true once an attempt ran or may run. unresolved counts sends and forwards without their final message.
	mayHaveRun bool
	unresolved int
	forwards   int
	replies    []ReplyCmd
}

func (w *simulation) update(m Msg) {
	for _, c := range w.life.Update(w.now, m) {
		w.perform(c)
	}
}

func (w *simulation) schedule(f func()) { w.pending = append(w.pending, f) }

func (w *simulation) reserveSlot(attempt int, avoid []string) {
	worker := fmt.Sprint("w", w.rng.IntN(50))
	if slices.Contains(avoid, worker) {
		worker += "x"
	}
	if _, ok := w.reservations[attempt]; ok {
		w.Fatalf("attempt %d got two reservations", attempt)
	}
	w.reservations[attempt] = worker
	w.update(SlotReservedMsg{attempt, worker})
}

func (w *simulation) perform(c Command) {
	switch c := c.(type) {
	case ReserveCmd:
		w.schedule(func() {
			switch w.rng.IntN(4) {
			case 0:
				w.update(NoSlotMsg{c.Attempt, []string{"", "peer"}[w.rng.IntN(2)]})
			default:
				w.reserveSlot(c.Attempt, c.Avoid)
			}
		})
	case QueueCmd:
		w.schedule(func() {
			// A reply removes the request from the queue.
			if len(w.replies) == 0 && w.rng.IntN(2) == 0 {
				w.reserveSlot(c.Attempt, nil)
			} else if len(w.replies) == 0 {
				w.update(QueueRejectedMsg{c.Attempt, "full", time.Second})
			}
		})
	case SendCmd:
		if w.reservations[c.Attempt] != c.Worker || w.sends[c.Attempt] != "" {
			w.Fatalf("attempt %d was sent to %s", c.Attempt, c.Worker)
		}
		if len(w.replies) > 0 {
			w.Fatalf("attempt %d was sent after the reply", c.Attempt)
		}
		w.sends[c.Attempt] = c.Worker
		w.send(c)
	case ForwardCmd:
		if w.forwards++; w.forwards > 1 || w.req.Forwarded {
			w.Fatalf("forwarded again")
		}
		w.unresolved++
		w.schedule(func() {
			w.unresolved--
			m := PeerReplyMsg{Outcome: []Outcome{Done, NotRun, Unknown}[w.rng.IntN(3)]}
			m.Answer = answer([]string{"r", "other"}[w.rng.IntN(2)], c.AttemptOffset+1, "peer")
			w.mayHaveRun = w.mayHaveRun || m.Outcome != NotRun
			w.update(m)
			w.update(m)
		})
	case ReleaseCmd:
		if w.reservations[c.Attempt] != c.Worker {
			w.Fatalf("attempt %d was released twice", c.Attempt)
		}
		delete(w.reservations, c.Attempt)
	case ReplyCmd:
		w.reply(c)
	}
}

func (w *simulation) send(c SendCmd) {
	w.unresolved++
	w.schedule(func() {
		w.unresolved--
		a := answer("r", c.Attempt, "answer")
		last := Msg(CallFailedMsg{c.Attempt})
		switch w.rng.IntN(6) {
		case 0:
			last = RefusedMsg{c.Attempt}
		case 1:
			a.Failed = true
			last = AnswerMsg{c.Attempt, a}
		case 2:
			a.Digest++
			last = AnswerMsg{c.Attempt, a}
		case 3, 4:
			last = AnswerMsg{c.Attempt, a}
		}
		if _, refused := last.(RefusedMsg); !refused {
			w.mayHaveRun = true
		}
		w.update(AnswerMsg{c.Attempt, answer("other", c.Attempt, "crossed")})
		w.update(AnswerMsg{c.Attempt, answer("r", c.Attempt+1, "crossed")})
		w.update(last)
		w.update(last)
		w.update(AnswerMsg{c.Attempt, answer("r", c.Attempt, "late")})
	})
}

func (w *simulation) reply(r ReplyCmd) {
	w.replies = append(w.replies, r)
	switch {
	case len(w.replies) > 1:
		w.Fatalf("second reply: %+v", w.replies)
	case r.Outcome == NotRun && (w.mayHaveRun || w.unresolved > 0):
		w.Fatalf("reply is not_run (%s), but the request ran or may run", r.Reason)
	case r.Outcome == Unknown && !w.mayHaveRun && w.unresolved == 0:
		w.Fatalf("reply is unknown (%s), but the request certainly did not run", r.Reason)
	case r.Outcome == Done && (r.Answer.Request != "r" || xxhash.Sum64(r.Answer.Body) != r.Answer.Digest):
		w.Fatalf("reply has a damaged answer or that of another request: %+v", r.Answer)
	case r.Outcome == Done && (string(r.Answer.Body) == "crossed" || string(r.Answer.Body) == "late"):
		w.Fatalf("reply has the %s answer", r.Answer.Body)
	}
}

// TestLifecycle guards against wrong outcomes, answers to other requests, second replies, reservations that are leaked
// or released twice, retries beyond the budget, and requests that are forwarded twice.
func TestLifecycle(t *testing.T) {
	seen := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: epoch}
		w.reservations, w.sends = map[int]string{}, map[int]string{}
		w.budget = tokens(w.rng.IntN(4))
		w.startTokens = w.budget
		w.req = Request{
			ID: "r", Deadline: epoch.Add(time.Second), MaxAttempts: 1 + w.rng.IntN(4), Forwarded: w.rng.IntN(2) == 0,
		}
		w.req.HedgeDelay = time.Duration(w.rng.IntN(200)) * time.Millisecond
		w.life = New(w.req, &w.budget)
		w.update(StartMsg{})
		for len(w.pending) > 0 {
			w.now = w.now.Add(time.Duration(w.rng.IntN(250)) * time.Millisecond)
			switch w.rng.IntN(8) {
			case 0, 1:
				w.update(TimerMsg{})
				continue
			case 2:
				if w.rng.IntN(4) == 0 {
					w.update(CancelMsg{})
				}
			}
			i := w.rng.IntN(len(w.pending))
			f := w.pending[i]
			w.pending = slices.Delete(w.pending, i, i+1)
			f()
			if w.life.Finished() && (len(w.replies) == 0 || len(w.reservations) > 0) {
				t.Fatalf("finished with %d replies and reservations %v", len(w.replies), w.reservations)
			}
		}
		if len(w.replies) != 1 || len(w.reservations) > 0 || !w.life.Finished() {
			t.Fatalf("at the end %d replies, reservations %v", len(w.replies), w.reservations)
		}
		if paid := len(w.sends) - 1; paid > int(w.startTokens) || len(w.sends) > w.req.MaxAttempts+1 {
			t.Fatalf("%d sends with %d tokens and %d tries", len(w.sends), w.startTokens, w.req.MaxAttempts)
		}
		seen[w.replies[0].Outcome]++
	})
	if len(seen) != 3 {
		t.Fatalf("outcomes %v: not all were checked", seen)
	}
}

// TestHedgeUsesAnotherWorker guards against a slow worker delaying the answer although another worker is free.
func TestHedgeUsesAnotherWorker(t *testing.T) {
	budget := tokens(1)
	l := New(Request{
		ID: "r", Deadline: epoch.Add(time.Second), HedgeDelay: 50 * time.Millisecond, MaxAttempts: 3,
	}, &budget)
	l.Update(epoch, StartMsg{})
	l.Update(epoch, SlotReservedMsg{1, "a"})
	if c := l.Update(epoch.Add(49*time.Millisecond), TimerMsg{}); len(c) != 0 {
		t.Fatalf("hedge was sent too early: %v", c)
	}
	c := l.Update(epoch.Add(50*time.Millisecond), TimerMsg{})
	if len(c) != 1 || !slices.Equal(c[0].(ReserveCmd).Avoid, []string{"a"}) {
		t.Fatalf("hedge was not sent to another worker: %v", c)
	}
	l.Update(epoch.Add(51*time.Millisecond), SlotReservedMsg{2, "b"})
	c = l.Update(epoch.Add(60*time.Millisecond), AnswerMsg{2, answer("r", 2, "x")})
	if len(c) != 2 || c[1].(ReplyCmd).Outcome != Done || l.Finished() {
		t.Fatalf("reply does not have the first answer: %v", c)
	}
	if c = l.Update(epoch.Add(70*time.Millisecond), AnswerMsg{1, answer("r", 1, "x")}); len(c) != 1 || !l.Finished() {
		t.Fatalf("slower attempt was not just released: %v", c)
	}
}
