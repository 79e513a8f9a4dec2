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

// tokens is a Budget with a fixed number of tokens.
type tokens int

func (n *tokens) Take(time.Time) bool {
	*n--
	return *n >= 0
}

// answer returns a good answer to an attempt of a request, with a correct digest.
func answer(id string, attempt int, body string) fleet.Answer {
	return fleet.Answer{Request: id, Attempt: attempt, Body: []byte(body), Digest: xxhash.Sum64String(body)}
}

// simulation carries out the commands of one lifecycle in random order and adds stray messages.
type simulation struct {
	*rapid.T
	rng           *rand.Rand
	lifecycle     *Lifecycle
	req           Request
	budget        tokens
	initialTokens tokens
	now           time.Time
	pending       []func()
	// reservations holds the worker of each reservation not yet released, by attempt. sends holds the worker of each
	// attempt sent.
	reservations map[int]string
	sends        map[int]string
	// mayHaveRun is true once an attempt ran or may have run. unresolved counts the sends and forwards whose result was
	// not reported yet.
	mayHaveRun bool
	unresolved int
	forwards   int
	replies    []ReplyCmd
}

func (s *simulation) update(m Msg) {
	for _, c := range s.lifecycle.Update(s.now, m) {
		s.perform(c)
	}
}

func (s *simulation) schedule(f func()) { s.pending = append(s.pending, f) }

func (s *simulation) reserveSlot(attempt int, avoid []string) {
	worker := fmt.Sprint("w", s.rng.IntN(50))
	if slices.Contains(avoid, worker) {
		worker += "x"
	}
	if _, ok := s.reservations[attempt]; ok {
		s.Fatalf("attempt %d got two reservations", attempt)
	}
	s.reservations[attempt] = worker
	s.update(SlotReservedMsg{attempt, worker})
}

func (s *simulation) perform(c Command) {
	switch c := c.(type) {
	case ReserveCmd:
		s.schedule(func() {
			switch s.rng.IntN(4) {
			case 0:
				s.update(NoSlotMsg{c.Attempt, []string{"", "peer"}[s.rng.IntN(2)]})
			default:
				s.reserveSlot(c.Attempt, c.Avoid)
			}
		})
	case QueueCmd:
		s.schedule(func() {
			// A reply removes the request from the queue.
			if len(s.replies) == 0 && s.rng.IntN(2) == 0 {
				s.reserveSlot(c.Attempt, nil)
			} else if len(s.replies) == 0 {
				s.update(QueueRejectedMsg{c.Attempt, "full", time.Second})
			}
		})
	case SendCmd:
		if s.reservations[c.Attempt] != c.Worker || s.sends[c.Attempt] != "" {
			s.Fatalf("attempt %d was sent to %s without a reservation there, or twice", c.Attempt, c.Worker)
		}
		if len(s.replies) > 0 {
			s.Fatalf("attempt %d was sent after the reply", c.Attempt)
		}
		s.sends[c.Attempt] = c.Worker
		s.send(c)
	case ForwardCmd:
		if s.forwards++; s.forwards > 1 || s.req.FromPeer {
			s.Fatalf("request was forwarded twice, or although a peer had forwarded it")
		}
		s.unresolved++
		s.schedule(func() {
			s.unresolved--
			m := PeerReplyMsg{Outcome: []Outcome{Done, NotRun, Unknown}[s.rng.IntN(3)]}
			m.Answer = answer([]string{"r", "other"}[s.rng.IntN(2)], c.AttemptOffset+1, "peer")
			// The refusal of another request says nothing about this one.
			s.mayHaveRun = s.mayHaveRun || m.Outcome != NotRun || m.Answer.Request != "r"
			s.update(m)
			s.update(m)
		})
	case ReleaseCmd:
		if s.reservations[c.Attempt] != c.Worker {
			s.Fatalf("attempt %d released a reservation that it does not hold", c.Attempt)
		}
		delete(s.reservations, c.Attempt)
	case ReplyCmd:
		s.reply(c)
	}
}

func (s *simulation) send(c SendCmd) {
	s.unresolved++
	s.schedule(func() {
		s.unresolved--
		a := answer("r", c.Attempt, "answer")
		last := Msg(CallFailedMsg{c.Attempt})
		switch s.rng.IntN(6) {
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
			s.mayHaveRun = true
		}
		s.update(AnswerMsg{c.Attempt, answer("other", c.Attempt, "mismatched")})
		s.update(AnswerMsg{c.Attempt, answer("r", c.Attempt+1, "mismatched")})
		s.update(last)
		s.update(last)
		s.update(AnswerMsg{c.Attempt, answer("r", c.Attempt, "late")})
	})
}

func (s *simulation) reply(r ReplyCmd) {
	s.replies = append(s.replies, r)
	switch {
	case len(s.replies) > 1:
		s.Fatalf("second reply: %+v", s.replies)
	case r.Outcome == NotRun && (s.mayHaveRun || s.unresolved > 0):
		s.Fatalf("reply is not_run (%s), but the request ran or may run", r.Reason)
	case r.Outcome == Unknown && !s.mayHaveRun && s.unresolved == 0:
		s.Fatalf("reply is unknown (%s), but the request certainly did not run", r.Reason)
	case r.Outcome == Done && (r.Answer.Request != "r" || xxhash.Sum64(r.Answer.Body) != r.Answer.Digest):
		s.Fatalf("reply has a damaged answer or that of another request: %+v", r.Answer)
	case r.Outcome == Done && (string(r.Answer.Body) == "mismatched" || string(r.Answer.Body) == "late"):
		s.Fatalf("reply has the %s answer", r.Answer.Body)
	}
}

// TestLifecycle guards against wrong outcomes, answers to other requests, second replies, reservations that are leaked
// or released twice, retries beyond the budget, and requests that are forwarded twice.
func TestLifecycle(t *testing.T) {
	seen := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: epoch}
		s.reservations, s.sends = map[int]string{}, map[int]string{}
		s.budget = tokens(s.rng.IntN(4))
		s.initialTokens = s.budget
		s.req = Request{
			ID: "r", Deadline: epoch.Add(time.Second), MaxAttempts: 1 + s.rng.IntN(4), FromPeer: s.rng.IntN(2) == 0,
		}
		s.req.HedgeDelay = time.Duration(s.rng.IntN(200)) * time.Millisecond
		s.lifecycle = New(s.req, &s.budget)
		s.update(StartMsg{})
		for len(s.pending) > 0 {
			s.now = s.now.Add(time.Duration(s.rng.IntN(250)) * time.Millisecond)
			switch s.rng.IntN(8) {
			case 0, 1:
				s.update(TimerMsg{})
				continue
			case 2:
				if s.rng.IntN(4) == 0 {
					s.update(CancelMsg{})
				}
			}
			i := s.rng.IntN(len(s.pending))
			f := s.pending[i]
			s.pending = slices.Delete(s.pending, i, i+1)
			f()
			if s.lifecycle.Finished() && (len(s.replies) == 0 || len(s.reservations) > 0) {
				t.Fatalf("finished with %d replies and reservations %v, want 1 reply and none", len(s.replies), s.reservations)
			}
		}
		if len(s.replies) != 1 || len(s.reservations) > 0 || !s.lifecycle.Finished() {
			t.Fatalf("at the end %d replies and reservations %v, want 1 reply, none and a finished request",
				len(s.replies), s.reservations)
		}
		if budgeted := len(s.sends) - 1; budgeted > int(s.initialTokens) || len(s.sends) > s.req.MaxAttempts+1 {
			t.Fatalf("%d attempts were sent with %d tokens and MaxAttempts %d, want at most one more than either",
				len(s.sends), s.initialTokens, s.req.MaxAttempts)
		}
		seen[s.replies[0].Outcome]++
	})
	if len(seen) != 3 {
		t.Fatalf("only the outcomes %v occurred, want all three", seen)
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
		t.Fatalf("commands before the hedge is due: %v, want none", c)
	}
	c := l.Update(epoch.Add(50*time.Millisecond), TimerMsg{})
	if len(c) != 1 || !slices.Equal(c[0].(ReserveCmd).Avoid, []string{"a"}) {
		t.Fatalf("commands when the hedge is due: %v, want a reservation on another worker", c)
	}
	l.Update(epoch.Add(51*time.Millisecond), SlotReservedMsg{2, "b"})
	c = l.Update(epoch.Add(60*time.Millisecond), AnswerMsg{2, answer("r", 2, "x")})
	if len(c) != 2 || c[1].(ReplyCmd).Outcome != Done || l.Finished() {
		t.Fatalf("commands after the first answer: %v, want release and reply with an attempt still in flight", c)
	}
	if c = l.Update(epoch.Add(70*time.Millisecond), AnswerMsg{1, answer("r", 1, "x")}); len(c) != 1 || !l.Finished() {
		t.Fatalf("commands after the slower answer: %v, want only its release and a finished request", c)
	}
}

// TestRefusalOfAnotherRequest guards against a reply not_run that relies on a peer's refusal of another request.
func TestRefusalOfAnotherRequest(t *testing.T) {
	for request, want := range map[string]Outcome{"r": NotRun, "other": Unknown} {
		budget := tokens(0)
		l := New(Request{ID: "r", Deadline: epoch.Add(time.Second), MaxAttempts: 1}, &budget)
		l.Update(epoch, StartMsg{})
		l.Update(epoch, NoSlotMsg{1, "peer"})
		cmds := l.Update(epoch, PeerReplyMsg{Outcome: NotRun, Reason: "busy", Answer: fleet.Answer{Request: request}})
		if request == "r" {
			cmds = append(l.Update(epoch, NoSlotMsg{2, ""}), l.Update(epoch, QueueRejectedMsg{Attempt: 2, Reason: "busy"})...)
		}
		r, ok := cmds[len(cmds)-1].(ReplyCmd)
		if !ok || r.Outcome != want {
			t.Errorf("after a refusal of request %s got %+v, want a reply %s", request, cmds, want)
		}
	}
}
