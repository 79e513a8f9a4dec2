package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// fakeClock is a Clock that shows a given time.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time  { return c.now }
func (c *fakeClock) Wall() time.Time { return c.now }

// TestLeaderInOutage guards against a leader that goes on without the store although another host may lead, and against
// one that stops although no other can.
func TestLeaderInOutage(t *testing.T) {
	Convey("The store has not answered a leader for ten seconds", t, func() {
		now := time.Unix(1000, 0)
		const outage = 10 * time.Second
		h := &Host{cfg: Config{Name: "a"}, members: map[string]member{"a": {Name: "a"}}}
		// set adds a host whose last ping arrived and was sent the given times ago, without the store for storeAge.
		set := func(name string, arrived, sent, storeAge time.Duration) {
			h.members[name] = member{
				Name: name, pingedAt: now.Add(-arrived), sentAfter: now.Add(-sent), storeAge: storeAge,
			}
		}
		recorded := &reporters{names: []string{"b", "c"}}
		goesOn := func() bool { return h.storeSilentForOthers(now, outage, recorded) }
		Convey("it stops if there is no other host", func() {
			So(goesOn(), ShouldBeFalse)
		})
		Convey("it goes on while the store answers no other host", func() {
			set("b", 100*time.Millisecond, 500*time.Millisecond, outage)
			set("c", 100*time.Millisecond, 900*time.Millisecond, outage)
			So(goesOn(), ShouldBeTrue)
			Convey("unless the log lists none of them as active members", func() {
				recorded.narrow([]string{"d"})
				So(goesOn(), ShouldBeFalse)
			})
			Convey("until it answers one of them", func() {
				set("c", 100*time.Millisecond, 500*time.Millisecond, time.Second)
				So(goesOn(), ShouldBeFalse)
			})
			Convey("until one of them is silent", func() {
				set("c", 1600*time.Millisecond, 1600*time.Millisecond, outage)
				So(goesOn(), ShouldBeFalse)
			})
			Convey("until the pings of one of them are held up", func() {
				set("c", 100*time.Millisecond, 1600*time.Millisecond, outage)
				So(goesOn(), ShouldBeFalse)
			})
			Convey("also if a host was removed long before", func() {
				set("d", 25*time.Second, 25*time.Second, 0)
				h.members["e"] = member{Name: "e"}
				So(goesOn(), ShouldBeTrue)
			})
			Convey("but not if one was last heard of shortly before the outage", func() {
				set("d", 15*time.Second, 15*time.Second, 0)
				So(goesOn(), ShouldBeFalse)
			})
		})
	})
}

// outageModel is a leader and another host, the store and the network between the three. The rules of the two hosts are
// those of the product. A third host shares the leader's path to the store, and never claims.
type outageModel struct {
	rng   *rand.Rand
	now   time.Time
	clock *fakeClock
	host  *Host
	term  *term
	// other is the elector of the other host, stamp its newest stamp of the leader.
	other *leadership.Elector
	stamp int64
	// renewal is the leader's newest renewal in the log, fenced is set once it can write no other.
	renewal int64
	fenced  bool
	// storeAnsweredAt is when the store last answered the other host.
	storeAnsweredAt time.Time
	// nearFrom is when the third host begins to ping the leader, followsAt when it has begun to ping the other host instead.
	nearFrom, followsAt time.Time
	// restarts are the times at which the other host starts anew.
	restarts []time.Time
	// leaderStore, otherStore and link say when the leader reaches the store, the other host the store, and each the other.
	// answers says when the answers of the store reach the leader.
	leaderStore, answers, otherStore, link []interval
	// sentAt is when the leader first sent the renewal that was not answered yet, the zero time if there is none.
	sentAt    time.Time
	events    []modelEvent
	busyUntil time.Time
	// recorded is the newest record of active members in the log, recording the one that is sent with the renewal.
	recorded, recording []string
	// endedBy is when the leader has certainly given its last order, as the other host sees it once it leads.
	endedBy time.Time
}

// interval is a time without a path.
type interval struct{ from, to time.Time }

// modelEvent is a call at a time.
type modelEvent struct {
	at time.Time
	fn func()
}

const modelStep = 10 * time.Millisecond

// newOutageModel returns a model whose paths fail at random times.
func newOutageModel(seed uint64) *outageModel {
	m := &outageModel{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), other: leadership.NewElector("other")}
	m.clock = &fakeClock{m.now}
	claim := leadership.Claim{Offset: 4, Name: "leader", Address: "a", Instance: "leader", Serial: 1, Members: true}
	m.host = &Host{
		cfg: Config{Name: "leader", Limits: dispatch.Limits{MaxUnconfirmedTerm: 2500 * time.Millisecond}}, instance: "leader",
		clock: m.clock, elector: leadership.NewElector("leader"), members: map[string]member{},
	}
	m.term = &term{host: m.host, ctx: context.Background(), claim: claim, reporters: &reporters{}}
	m.term.confirmed.Store(make(chan struct{}))
	m.term.recordConfirmation(m.now)
	m.host.term = m.term
	m.other.ObserveClaim(m.now, claim)
	m.storeAnsweredAt = m.now
	outage := func(count int, longest time.Duration) (out []interval) {
		for range m.rng.IntN(count + 1) {
			from := m.now.Add(time.Duration(m.rng.Int64N(int64(30 * time.Second))))
			out = append(out, interval{from, from.Add(time.Duration(m.rng.Int64N(int64(longest))))})
		}
		return out
	}
	m.nearFrom = m.now.Add(time.Duration(m.rng.IntN(2)*m.rng.IntN(3000)) * modelStep)
	for range m.rng.IntN(3) {
		m.restarts = append(m.restarts, m.now.Add(time.Duration(m.rng.IntN(4000))*modelStep))
	}
	m.leaderStore, m.otherStore, m.link = outage(2, 40*time.Second), outage(2, 20*time.Second), outage(3, 40*time.Second)
	switch m.rng.IntN(4) {
	case 0:
		// The store itself is away.
		both := outage(1, 20*time.Second)
		m.leaderStore, m.otherStore = append(m.leaderStore, both...), append(m.otherStore, both...)
	case 1:
		// It comes back for the other host about when the two lose each other.
		from := m.now.Add(5 * time.Second)
		back := from.Add(time.Duration(2500+m.rng.IntN(8000)) * time.Millisecond)
		lost := back.Add(time.Duration(m.rng.IntN(2000)-1000) * time.Millisecond)
		m.otherStore = []interval{{from, back}}
		m.leaderStore = []interval{{from, back.Add(20 * time.Second)}}
		m.link = []interval{{lost, lost.Add(20 * time.Second)}}
	case 2:
		// It carries out the leader's renewals and its answers are lost.
		m.answers = outage(2, 20*time.Second)
	}
	return m
}

// restart starts the other host anew. It knows nothing of before, and reads the leader's claim.
func (m *outageModel) restart() {
	if m.fenced {
		return
	}
	m.other, m.stamp, m.busyUntil = leadership.NewElector("other"), 0, m.now
	m.other.ObserveClaim(m.now, m.term.claim)
}

// follow has the third host follow the other one, which takes that for the end of the leader's reports.
func (m *outageModel) follow() {
	m.followsAt = m.now
	next := &term{host: m.host, previousMembers: m.recorded}
	next.recordFollower(m.now, "near")
	if end := next.previousOrdersEnd(); !end.IsZero() && end.Before(m.endedBy) {
		m.endedBy = end
	}
}

// isCut reports whether a path has failed.
func (m *outageModel) isCut(path []interval) bool {
	return slices.ContainsFunc(path, func(i interval) bool { return !m.now.Before(i.from) && m.now.Before(i.to) })
}

func (m *outageModel) after(d time.Duration, fn func()) {
	m.events = append(m.events, modelEvent{m.now.Add(d), fn})
}

// delay returns the time that a message takes, which may be held up for seconds.
func (m *outageModel) delay() time.Duration {
	if m.rng.IntN(10) == 0 {
		return time.Duration(m.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(1+m.rng.IntN(40)) * time.Millisecond
}

// run advances the model for the given time and returns the time of an order that the other host took to be impossible,
// the zero time if there was none.
func (m *outageModel) run(d time.Duration) time.Time {
	nextRenewal, nearAnsweredAt := m.now, m.now
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		m.clock.now = m.now
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
				continue
			}
			e.fn()
		}
		if !m.now.Before(nextRenewal) {
			nextRenewal = m.now.Add(leadership.RenewInterval)
			if !m.isCut(m.leaderStore) {
				nearAnsweredAt = m.now
			}
			near := Ping{Name: "near", Instance: "near", Stamp: m.now.UnixNano()}
			near.StoreAge = m.now.Sub(nearAnsweredAt)
			if m.fenced && m.followsAt.IsZero() && m.rng.IntN(10) == 0 {
				m.follow()
			}
			if !m.now.Before(m.nearFrom) && m.followsAt.IsZero() {
				if _, err := m.host.handlePeerPing(context.Background(), near); err != nil {
					return m.now
				}
			}
			if !m.fenced && !m.isCut(m.leaderStore) {
				m.renew()
			}
		}
		if !m.isCut(m.otherStore) && m.rng.IntN(50) == 0 {
			m.storeAnsweredAt = m.now
		}
		if slices.Contains(m.restarts, m.now) {
			m.restart()
		}
		if m.endedBy.IsZero() && !m.now.Before(m.busyUntil) {
			m.act()
		}
		if !m.endedBy.IsZero() && m.now.After(m.endedBy) && m.term.maySendOrders(m.now) {
			return m.now
		}
	}
	return time.Time{}
}

// renew sends a renewal of the leader, or the last one again if that was not answered.
func (m *outageModel) renew() {
	if m.sentAt.IsZero() {
		m.sentAt = m.now
		m.renewal++
		m.recording = m.host.activeMembers(m.now)
		m.term.reporters.narrow(m.recording)
		m.recorded = m.recording
	}
	if !m.isCut(m.answers) {
		m.term.reporters.set(m.recording)
		m.term.recordRenewal(m.sentAt, m.renewal)
		m.sentAt = time.Time{}
	}
}

// act has the other host do what its elector says.
func (m *outageModel) act() {
	action, _ := m.other.NextAction(m.now)
	switch action {
	case leadership.ActionPing:
		m.ping()
	case leadership.ActionReadRenewal:
		if m.isCut(m.otherStore) {
			m.busyUntil = m.now.Add(pingTimeout)
			return
		}
		m.storeAnsweredAt = m.now
		m.other.RecordRenewal(m.now, m.renewal)
	case leadership.ActionClaim:
		m.other.RecordClaim(m.now)
		if m.isCut(m.otherStore) {
			m.busyUntil = m.now.Add(pingTimeout)
			return
		}
		m.busyUntil = m.now.Add(claimTimeout)
		claimant := m.other
		m.after(m.delay(), func() {
			if claimant == m.other {
				m.lead()
			}
		})
	}
}

// ping sends a ping to the leader, whose answer may arrive too late.
func (m *outageModel) ping() {
	sentAt, other := m.now, m.other
	p := Ping{Name: "other", Instance: "other", StoreAge: m.now.Sub(m.storeAnsweredAt), Stamp: m.stamp}
	other.RecordPing(m.now)
	if m.isCut(m.link) {
		if m.rng.IntN(2) == 0 {
			other.RecordRefusal(m.now, 4)
			return
		}
		m.busyUntil = m.now.Add(pingTimeout)
		m.after(pingTimeout, other.RecordSilence)
		return
	}
	m.busyUntil = m.now.Add(pingTimeout)
	answered := false
	m.after(m.delay(), func() {
		r, err := m.host.handlePeerPing(context.Background(), p)
		if err != nil || m.isCut(m.link) {
			return
		}
		m.after(m.delay(), func() {
			if m.now.Sub(sentAt) > pingTimeout {
				return
			}
			answered = true
			if other == m.other {
				m.busyUntil = m.now
			}
			other.RecordAnswer(m.now, sentAt, 4)
			other.RecordPingAnswer(m.now, sentAt, r.Renewal)
			if other == m.other {
				m.stamp = max(m.stamp, r.Stamp)
			}
		})
	})
	m.after(pingTimeout, func() {
		if !answered {
			other.RecordSilence()
		}
	})
}

// lead makes the other host the leader. Its claim is in the log, and the leader is fenced.
func (m *outageModel) lead() {
	if m.fenced {
		return
	}
	m.fenced = true
	entries := []ledger.Entry{{Record: ledger.Record{Key: membersKey, Value: encodeMembers(m.term.claim, m.recorded)}}}
	m.other.ObserveClaim(m.now, leadership.Claim{Offset: 5, Name: "other", Instance: "other", Serial: 2})
	if needsHost(m.term.claim, entries, "other") {
		m.other.RecordPredecessorNeedsHost(5)
	}
	m.endedBy = m.other.PredecessorEnd(m.now, m.host.cfg.Limits.MaxUnconfirmedTerm, m.renewal)
}

// TestOrdersEndWhenPredecessorEnds guards against two leaders whose orders overlap: one that goes on in an outage of the
// store, and a later one that takes its orders to have ended.
func TestOrdersEndWhenPredecessorEnds(t *testing.T) {
	claims := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := newOutageModel(seed)
		if at := m.run(90 * time.Second); !at.IsZero() {
			t.Fatalf("the leader may order %v after the end that its successor assumes", at.Sub(m.endedBy))
		}
		if m.fenced {
			claims++
		}
	})
	if claims == 0 {
		t.Fatal("no model had a change of leader")
	}
	t.Logf("%d models had a change of leader", claims)
}

// TestLeaderWithoutAnyStore guards against a leader that stops what runs because the store is away for all hosts, and
// against one that goes on when the other hosts have stopped.
func TestLeaderWithoutAnyStore(t *testing.T) {
	Convey("Two hosts are cut off from the store", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		stores := []*cutStore{{memoryLog: log}, {memoryLog: log}}
		a, stopA := startHost(t, "a", 0, stores[0], w)
		Reset(stopA)
		So(eventually(10*time.Second, func() bool { return isLeader(a) }), ShouldBeTrue)
		b, stopB := startHost(t, "b", 0, stores[1], w)
		running := true
		Reset(func() {
			if running {
				stopB()
			}
		})
		So(eventually(10*time.Second, b.Ready), ShouldBeTrue)
		// A host that has joined since the last renewal is no active member yet.
		So(eventually(2*time.Second, func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.term != nil && a.term.reporters.includes("b")
		}), ShouldBeTrue)
		for _, s := range stores {
			s.cut.Store(true)
		}
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		leading := a.term
		a.mu.Unlock()
		So(leading != nil, ShouldBeTrue)
		So(leading.permit(), ShouldBeTrue)
		running = false
		stopB()
		So(eventually(2*time.Second, func() bool { return !leading.permit() }), ShouldBeTrue)
		stores[0].cut.Store(false)
	})
}
