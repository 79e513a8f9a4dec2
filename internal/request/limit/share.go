package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PrepaidBytes is how much of a request is part of the cost of its connection. A request that is no larger holds no
	// bytes of its share, so that it never waits for, or gives way to, a larger one.
	PrepaidBytes = 4 << 10
	// costPerByte is the memory that a byte of a request takes: the buffer into which it is read, what that leaves behind as
	// it grows, and the decoded form.
	costPerByte = 3
	// costPerField is the memory that a field of a header takes apart from its bytes: its part of a map, two strings, and what
	// the map leaves behind as it grows.
	costPerField = 256
	// stallTime is the time without input after which a request is stalled, and the least age that counts in its rate.
	stallTime = time.Second
)

// Phase is the state of the request in progress on a connection.
type Phase int

// The phases of a connection.
const (
	// PhaseIncomplete means that a request, or the first one of a new connection, has not arrived as a whole.
	PhaseIncomplete Phase = iota
	// PhaseComplete means that the request has arrived as a whole and has not been answered.
	PhaseComplete
	// PhaseIdle means that the last request has been answered and nothing of the next one has arrived.
	PhaseIdle
)

// Conn is the account of one connection in a Share.
type Conn struct {
	phase Phase
	// since is when the request in progress began, or when the connection became idle.
	since time.Time
	// lastArrival is when input last arrived.
	lastArrival time.Time
	// received is the number of bytes that have arrived of the request in progress.
	received int64
	// held is the number of bytes that the connection holds of its share. It is 0 if released is set.
	held int64
	// buffered is the part of held that is not for decoded forms.
	buffered int64
	// whole is set if the request holds all that it can need.
	whole bool
	// waiting is set while the server waits for input. What the server has read but not looked at may complete the request,
	// so that only a connection with this set may be closed or give way.
	waiting bool
	// released is set once the request in progress has given way.
	released bool
	// closed is set once the connection is no longer in the share.
	closed bool
}

// Phase returns the phase.
func (c *Conn) Phase() Phase { return c.phase }

// Received returns the number of bytes that have arrived of the request in progress.
func (c *Conn) Received() int64 { return c.received }

// SetWaiting says whether the server waits for input on the connection.
func (c *Conn) SetWaiting(waiting bool) { c.waiting = waiting }

// Waiting reports whether the server waits for input on the connection.
func (c *Conn) Waiting() bool { return c.waiting }

// GaveWay reports whether the request in progress has given way to another one.
func (c *Conn) GaveWay() bool { return c.released }

// Closed reports whether the connection is no longer in its share.
func (c *Conn) Closed() bool { return c.closed }

// SetComplete says that the request in progress has arrived as a whole, or that the server goes on without the rest.
func (c *Conn) SetComplete() { c.phase = PhaseComplete }

// SetIncomplete says that more of the request in progress is awaited.
func (c *Conn) SetIncomplete() { c.phase = PhaseIncomplete }

// Arrived records the arrival of n bytes of a request, which begins a new one on an idle connection.
func (c *Conn) Arrived(now time.Time, n int) {
	if c.phase == PhaseIdle {
		c.phase, c.since = PhaseIncomplete, now
	}
	c.received += int64(n)
	c.lastArrival = now
}

// stalled reports whether nothing has arrived for stallTime.
func (c *Conn) stalled(now time.Time) bool { return now.Sub(c.lastArrival) >= stallTime }

// rate returns the bytes per second at which the request has arrived since it began. A request younger than stallTime
// counts as that old, since its first bytes would otherwise put it before one that is nearly done.
func (c *Conn) rate(now time.Time) float64 {
	return float64(c.received) / max(now.Sub(c.since), stallTime).Seconds()
}

// progress returns the bytes per second since the request began, with PrepaidBytes for free. Thus a connection that was
// accepted a moment ago comes after one that sends little over a long time.
func (c *Conn) progress(now time.Time) float64 {
	return float64(c.received+PrepaidBytes) / max(now.Sub(c.since), time.Microsecond).Seconds()
}

// Overload is the error of a request that had to give way. The request has not run.
type Overload struct {
	// RetryAfter is when the same request may have room: by then requests that have stalled give way to it.
	RetryAfter time.Duration
}

// NewOverload returns the error.
func NewOverload() *Overload { return &Overload{RetryAfter: stallTime} }

func (*Overload) Error() string { return "the host has no room for the request, which has not run" }

// Share is the part of a process's connections and bytes that one of its servers may use. It answers the load of many
// clients that open connections, or begin requests, and don't go on: what they hold goes to those that do. It is not safe
// for concurrent use.
type Share struct {
	size  Size
	conns map[*Conn]struct{}
	// held is the sum of what the connections hold. It is above size.Bytes only if a single connection holds anything.
	held int64
}

// Size bounds a Share.
type Size struct {
	// Conns is the largest number of connections.
	Conns int
	// Bytes bounds what the requests in progress hold together, apart from PrepaidBytes of each.
	Bytes int64
}

// NewShare returns a share without connections.
func NewShare(size Size) *Share { return &Share{size: size, conns: map[*Conn]struct{}{}} }

// Conns returns the number of connections.
func (s *Share) Conns() int { return len(s.conns) }

// Held returns the number of bytes that the requests in progress hold.
func (s *Share) Held() int64 { return s.held }

// Admit adds a connection. If the share is full, it removes the connection with the least progress for its age and returns
// it as victim, to be closed: first those with an incomplete request, slowest first, then idle ones, longest idle first. If
// none can be closed, it returns nil.
func (s *Share) Admit(now time.Time) (c, victim *Conn) {
	if len(s.conns) >= s.size.Conns {
		if victim = s.leastProgress(now); victim == nil {
			return nil, nil
		}
		s.Close(victim)
	}
	// Nothing has been read yet.
	c = &Conn{since: now, lastArrival: now, waiting: true}
	s.conns[c] = struct{}{}
	return c, victim
}

// leastProgress returns the connection that is closed to make room, nil if there is none.
func (s *Share) leastProgress(now time.Time) *Conn {
	var worst *Conn
	for c := range s.conns {
		if !c.waiting || c.phase == PhaseComplete {
			continue
		}
		if worst == nil || compareProgress(now, c, worst) < 0 {
			worst = c
		}
	}
	return worst
}

// compareProgress orders connections by how little they lose by being closed.
func compareProgress(now time.Time, a, b *Conn) int {
	if n := cmp.Compare(a.phase, b.phase); n != 0 {
		return n
	}
	if a.phase == PhaseIncomplete {
		if n := cmp.Compare(a.progress(now), b.progress(now)); n != 0 {
			return n
		}
	}
	return a.since.Compare(b.since)
}

// Need is what a request takes of a share.
type Need struct {
	// Bytes is how much of the request has arrived or is read next.
	Bytes int64
	// Fields is the number of fields of its header.
	Fields int
	// Decoded is the memory in bytes that its decoded form takes beyond what is counted for its bytes.
	Decoded int64
}

// cost returns the memory in bytes that the request takes beyond PrepaidBytes of it.
func (n Need) cost() int64 {
	return max(0, costPerByte*(n.Bytes-PrepaidBytes)+costPerField*int64(n.Fields)+n.Decoded)
}

// Reserve has a connection hold what its request needs, and whole says that the request needs no more. It returns the
// connections whose requests give way for that, and false if it is the request itself that has to.
//
// A request that is refused for its decoded form goes on to hold what it holds, until it is answered.
//
// At the bound, stalled requests give way first, then those that arrive at a lower rate than this one, slowest first. A
// request that holds all that it needs gives way only if it is stalled. No request gives way in vain: if there are not
// enough that can, this one does. A single request may always hold what it needs.
func (s *Share) Reserve(now time.Time, c *Conn, need Need, whole bool) ([]*Conn, bool) {
	if c.released || c.closed {
		return nil, false
	}
	c.whole = c.whole || whole
	held, hasArrived := need.cost(), need.Decoded > 0
	need.Decoded = 0
	buffered := max(c.buffered, need.cost())
	if held <= c.held {
		c.buffered = buffered
		return nil, true
	}
	others := s.held - c.held
	// A request that needs more than the bound may have it if no other one holds anything.
	excess := min(others, others+held-s.size.Bytes)
	var victims []*Conn
	if excess > 0 {
		for _, o := range s.candidates(now, c) {
			if excess <= 0 {
				break
			}
			victims = append(victims, o)
			excess -= o.held
		}
		if excess > 0 {
			if !hasArrived {
				s.Release(c)
			}
			return nil, false
		}
		for _, v := range victims {
			s.Release(v)
		}
	}
	s.held += held - c.held
	c.held, c.buffered = held, buffered
	return victims, true
}

// candidates returns the connections that can give way to the request of c, in the order in which they do: those whose
// request is incomplete, and idle ones that still hold bytes.
func (s *Share) candidates(now time.Time, c *Conn) []*Conn {
	var found []*Conn
	rate := c.rate(now)
	for o := range s.conns {
		if o == c || o.phase == PhaseComplete || !o.waiting || o.held == 0 {
			continue
		}
		if o.stalled(now) || !o.whole && o.rate(now) < rate {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int {
		switch aStalled, bStalled := a.stalled(now), b.stalled(now); {
		case aStalled && !bStalled:
			return -1
		case bStalled && !aStalled:
			return 1
		}
		return cmp.Or(cmp.Compare(a.rate(now), b.rate(now)), a.since.Compare(b.since))
	})
	return found
}

// Release has the request in progress on a connection give way. It holds nothing any more.
func (s *Share) Release(c *Conn) {
	s.hold(c, 0)
	c.released = true
}

// hold has the connection hold n bytes, all of them in buffers.
func (s *Share) hold(c *Conn, n int64) {
	s.held += n - c.held
	c.held, c.buffered = n, n
}

// Handled says that the server has no more use for what has arrived of the request in progress. Its answer may not have been
// sent yet.
func (s *Share) Handled(c *Conn) { s.hold(c, 0) }

// Finish says that the request in progress has been answered.
func (s *Share) Finish(now time.Time, c *Conn) {
	s.hold(c, 0)
	c.received, c.whole, c.released = 0, false, false
	c.phase, c.since = PhaseIdle, now
}

// FinishMessage says that the request in progress has been answered, while the connection goes on to hold its buffers. It
// gives way like a request, once it is idle.
func (s *Share) FinishMessage(now time.Time, c *Conn) {
	buffered := c.buffered
	s.Finish(now, c)
	s.hold(c, buffered)
}

// Close removes a connection. It has no effect on one that is not in the share any more.
func (s *Share) Close(c *Conn) {
	if c.closed {
		return
	}
	s.hold(c, 0)
	c.closed = true
	delete(s.conns, c)
}
