package limit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shareModel is a Share with random connections.
type shareModel struct {
	*Share
	now   time.Time
	conns []*Conn
}

// remove removes a connection from the model.
func (m *shareModel) remove(c *Conn) {
	m.conns = slices.DeleteFunc(m.conns, func(o *Conn) bool { return o == c })
}

// check fails the test if the share is over its bounds or its sums are wrong.
func (m *shareModel) check(t *rapid.T) {
	sum, holders := int64(0), 0
	for _, c := range m.conns {
		sum += c.held
		if c.held > 0 {
			holders++
		}
	}
	switch {
	case m.Conns() != len(m.conns) || m.Conns() > m.size.Conns:
		t.Fatalf("%d connections, want %d and at most %d", m.Conns(), len(m.conns), m.size.Conns)
	case m.Held() != sum:
		t.Fatalf("%d bytes are held, the connections hold %d", m.Held(), sum)
	case m.Held() > m.size.Bytes && holders > 1:
		t.Fatalf("%d connections hold %d bytes, the bound is %d", holders, m.Held(), m.size.Bytes)
	}
}

// admit adds a connection and checks which one is closed for it.
func (m *shareModel) admit(t *rapid.T) {
	full := m.Conns() == m.size.Conns
	closable := func(c *Conn) bool { return c.waiting && c.phase != PhaseComplete }
	c, victim := m.Admit(m.now)
	switch {
	case victim == nil && c == nil:
		if !full || slices.ContainsFunc(m.conns, closable) {
			t.Fatal("a connection was refused although there was room or could be made")
		}
		return
	case victim != nil:
		if !full || !closable(victim) {
			t.Fatalf("a connection of phase %d was closed", victim.phase)
		}
		for _, o := range m.conns {
			if closable(o) && compareProgress(m.now, o, victim) < 0 {
				t.Fatal("a connection with less progress was kept")
			}
		}
		m.remove(victim)
	}
	c.SetWaiting(true)
	m.conns = append(m.conns, c)
}

// reserve has a connection hold more and checks which requests give way.
func (m *shareModel) reserve(t *rapid.T, c *Conn, n int64, whole bool) {
	before := map[*Conn]Conn{}
	for _, o := range m.conns {
		before[o] = *o
	}
	held := m.Held()
	victims, ok := m.Reserve(m.now, c, Need{Bytes: n}, whole)
	if !ok && !before[c].released && held-before[c].held+costPerByte*n <= m.size.Bytes {
		t.Fatal("a request was refused although there was room")
	}
	if !ok && len(victims) > 0 {
		t.Fatal("a request gave way in vain")
	}
	for _, v := range victims {
		b := before[v]
		switch {
		case v == c || b.phase != PhaseIncomplete || !b.waiting:
			t.Fatalf("a request of phase %d that did not wait for input gave way", b.phase)
		case b.whole && !b.stalled(m.now):
			t.Fatal("a body gave way whose whole room was reserved and that went on")
		case !b.stalled(m.now) && b.rate(m.now) >= c.rate(m.now):
			t.Fatal("a request gave way to a slower one")
		case !v.GaveWay():
			t.Fatal("a request does not know that it gave way")
		}
	}
}

// TestShareBounds guards against shares that exceed their bounds, close a connection whose request is complete or may be, or
// refuse a request while there is room, whatever the order of events.
func TestShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &shareModel{now: epoch, Share: NewShare(Size{
			Conns: rapid.IntRange(1, 8).Draw(t, "conns"), Bytes: rapid.Int64Range(1, 400_000).Draw(t, "bytes"),
		})}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 10).Draw(t, "action")
			if action <= 1 || len(m.conns) == 0 {
				m.admit(t)
				m.check(t)
				continue
			}
			c := rapid.SampledFrom(m.conns).Draw(t, "conn")
			switch action {
			case 2, 3, 4:
				n := rapid.IntRange(1, 60_000).Draw(t, "n")
				c.Arrived(m.now, n)
				m.reserve(t, c, c.Received(), rapid.Bool().Draw(t, "whole"))
			case 5:
				c.SetComplete()
			case 6:
				m.Finish(m.now, c)
			case 7:
				c.SetWaiting(!c.waiting)
			case 8:
				c.SetIncomplete()
			case 9:
				m.Close(c)
				m.remove(c)
			case 10:
				m.Handled(c)
			}
			m.check(t)
		}
		for _, c := range slices.Clone(m.conns) {
			m.Close(c)
			m.remove(c)
		}
		if m.check(t); m.Held() != 0 {
			t.Fatalf("%d bytes are held without connections", m.Held())
		}
	})
}

// request adds a connection whose request began some time ago and has received and reserved the given bytes.
func (s *Share) request(t *testing.T, age time.Duration, received int, whole bool) *Conn {
	t.Helper()
	c, _ := s.Admit(epoch.Add(-age))
	if c == nil {
		t.Fatal("no room for a connection")
	}
	c.SetWaiting(true)
	c.Arrived(epoch, received)
	if _, ok := s.Reserve(epoch, c, Need{Bytes: int64(received)}, whole); !ok {
		t.Fatal("no room for a request")
	}
	return c
}

// TestLoneRequestIsServed guards against a bound so low that it refuses a request inside the limits on a host without load.
func TestLoneRequestIsServed(t *testing.T) {
	s := NewShare(Size{Conns: 4, Bytes: 1000})
	s.request(t, 0, 200_000, true)
	small := s.request(t, 0, PrepaidBytes, true)
	if _, ok := s.Reserve(epoch, small, Need{Bytes: PrepaidBytes + 1}, true); ok {
		t.Fatal("a second request holds bytes beyond the bound")
	}
}

// TestCrowdOfUnfinishedBodies guards against clients that stop short of the end of their bodies and so keep others from being
// served, and against a request that is nearly done and gives way to one that has just begun.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	const body, crowd = 250_000, 20
	s := NewShare(Size{Conns: 100, Bytes: crowd * costPerByte * body})
	stalled := make([]*Conn, 0, crowd)
	for range crowd {
		stalled = append(stalled, s.request(t, 2*time.Second, body, true))
	}
	fresh := func(now time.Time) (bool, int) {
		c, _ := s.Admit(now)
		c.Arrived(now, PrepaidBytes)
		victims, ok := s.Reserve(now, c, Need{Bytes: body}, true)
		return ok, len(victims)
	}
	if ok, _ := fresh(epoch.Add(stallTime / 2)); ok {
		t.Fatal("a request that had just begun took the room of one that was nearly done and went on")
	}
	if ok, n := fresh(epoch.Add(stallTime)); !ok || n != 1 {
		t.Fatalf("a request got room: %t, %d stalled ones gave way, want 1", ok, n)
	}
	gone := 0
	for _, c := range stalled {
		if c.GaveWay() {
			gone++
		}
	}
	if gone != 1 {
		t.Fatalf("%d requests know that they gave way, want 1", gone)
	}
}

// TestFloodOfConnections guards against a flood of connections that send nothing, or little, and so take the place of new
// callers, idle callers or callers who wait for an answer.
func TestFloodOfConnections(t *testing.T) {
	const crowd = 50
	s := NewShare(Size{Conns: crowd + 3, Bytes: 1 << 20})
	complete, idle, fast := s.request(t, time.Minute, 100, true), s.request(t, time.Minute, 100, true), s.request(t, time.Second, 60_000, false)
	complete.SetComplete()
	s.Finish(epoch, idle)
	for i := range crowd {
		s.request(t, 2*time.Second, 1+i, false)
	}
	now := epoch.Add(time.Millisecond)
	for range crowd {
		c, victim := s.Admit(now)
		if c == nil || victim == nil || victim == complete || victim == idle || victim == fast || victim.since.After(epoch) {
			t.Fatal("a slow client was kept in place of another one")
		}
		c.SetWaiting(true)
		now = now.Add(time.Microsecond)
	}
	for c := range s.conns {
		c.SetComplete()
	}
	if c, _ := s.Admit(now); c != nil {
		t.Fatal("a connection was closed that waits for its answer")
	}
}

// TestSizes guards against bounds that the smallest hosts can't hold, or that ordinary callers of the largest ones reach.
func TestSizes(t *testing.T) {
	for _, memory := range []int64{128 << 20, 160 << 20, 284 << 20, 4 << 30} {
		s := SizesFor(memory, 4100)
		conns := s.Callers.Conns + s.Peers.Conns + 3*s.Internal.Conns
		bytes := int64(s.Callers.Conns)*callerConnBytes + int64(s.Peers.Conns)*peerConnBytes + s.Callers.Bytes + s.Peers.Bytes
		if conns+fileDescriptors > 4100/2 || float64(bytes) > 0.6*float64(memory) {
			t.Fatalf("%d MiB: %d connections and %d bytes: %+v", memory>>20, conns, bytes, s)
		}
		if s.Callers.Conns < 800 || s.Callers.Bytes < 30*costPerByte*262_144 {
			t.Fatalf("%d MiB: %+v is too little for ordinary callers", memory>>20, s.Callers)
		}
	}
}

// TestNeed guards against short fields and decoded forms that take memory without being counted, and against those of a message
// that are counted after its answer, while its buffer is not.
func TestNeed(t *testing.T) {
	now := epoch
	s := NewShare(Size{Conns: 2, Bytes: 1 << 20})
	c, _ := s.Admit(now)
	reserve := func(need Need, held int64) {
		t.Helper()
		if _, ok := s.Reserve(now, c, need, false); !ok || s.Held() != held {
			t.Fatalf("%+v: the share holds %d bytes, want %d", need, s.Held(), held)
		}
	}
	prepaid := int64(costPerByte * PrepaidBytes)
	reserve(Need{Bytes: 1000, Fields: 20}, 0)
	reserve(Need{Bytes: PrepaidBytes, Fields: 1000}, 1000*costPerField)
	s.Finish(now, c)
	reserve(Need{Bytes: PrepaidBytes + 1000}, 1000*costPerByte)
	reserve(Need{Decoded: 100_000}, 100_000-prepaid)
	s.FinishMessage(now, c)
	if s.Held() != 1000*costPerByte {
		t.Fatalf("the connection holds %d bytes after the answer, want those of its buffer", s.Held())
	}
}
