// Package lease decides which workers this entry host holds, and until when it may rely on that.
//
// A worker has at most one holder, which the worker itself names. Times at the worker are derived from readings of
// its clock; the rate of that clock may differ from the host's by the margin.
//
// A holder that cannot reach its worker does not learn that another host took it over and renews its task leases.
// So a holder renews task leases only after its hold record was read back from the zone's stream, and an eviction for
// an expired task lease is valid only if the newest hold of the worker in the stream is that of the evicting host.
package lease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// startWindow is added to the worker's clock for Fence.Before: the time a start may spend on its way.
const startWindow = time.Second

// maxHandover bounds simultaneous releases to preferred holders, so that few workers are without a holder at a time.
const maxHandover = 4

// maxKeep bounds the time for which a host keeps a worker that its preferred holder did not take.
const maxKeep = time.Hour

type options struct {
	ttl, tasks, renew, timeout time.Duration
	margin                     float64
}

// Option changes a setting of Holdings.
type Option func(*options)

// WithTTL sets the length of a lease, 6 s by default.
func WithTTL(d time.Duration) Option { return func(o *options) { o.ttl = d } }

// WithTaskTTL sets the length of task leases, 30 s by default.
func WithTaskTTL(d time.Duration) Option { return func(o *options) { o.tasks = d } }

// WithRenewal sets the time between renewals, 2 s by default.
func WithRenewal(d time.Duration) Option { return func(o *options) { o.renew = d } }

// WithTimeout sets the time after which a call without a reply is repeated, 1 s by default.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithMargin sets the largest relative difference of clock rates, 0.1 by default.
func WithMargin(m float64) Option { return func(o *options) { o.margin = m } }

type holding struct {
	Worker
	// listed is false once the host list lacks the worker.
	listed bool
	// boot is empty until the first reading.
	boot string
	// clock is the newest reading of the worker's clock, made between sent and received of the host's clock.
	clock          time.Duration
	sent, received time.Time
	// refused is set when the worker refused a lease request. It is read anew before the next request.
	refused bool
	// drain is Status.Leaving of the newest reading.
	drain bool
	// mine is set while the newest reading names this host. The lease itself may have expired since.
	mine  bool
	grant uint64
	// named is set if the newest reading names this host but listed no tasks, so that the lease is to be renewed with
	// a full list before the worker counts as held.
	named bool
	// certain is the time from which the lease may have expired.
	certain time.Time
	// tasks is an upper bound of the end of task leases at the worker, in its clock, as long as recorded holds.
	tasks time.Duration
	// hold is the hold record with the highest grant of its boot.
	hold HoldMsg
	// newest is the offset after that of the newest hold record, 1 if there is none, and read is when it was read. base
	// is the value of newest at the send of the newest reading that names this host.
	newest, base uint64
	read         time.Time
	// quiet is the worker's clock up to which a start of an earlier process of this host may arrive, 0 if there is none.
	quiet time.Duration
	// barrier is when the last release was sent. Earlier requests prove nothing of the lease.
	barrier   time.Time
	releasing bool
	seen      uint64
	// next is when the next call is due. pending is when the unanswered call was sent, zero if there is none.
	next, pending time.Time
	// tasked is when task leases were first renewed under this grant, zero if they were not. ready is set once a
	// later reading confirms it.
	tasked time.Time
	ready  bool
	// asked is when HoldCmd was last emitted.
	asked time.Time
	// free is since when the worker was seen without a holder, zero if it has one.
	free time.Time
	// rank is the number of peers that precede this host in the rendezvous order.
	rank int
	// keep is how long a worker taken in place of its preferred holder is kept, until kept.
	keep time.Duration
	kept time.Time
}

// Holdings is the aggregate of the zone's workers as seen by one entry host.
type Holdings struct {
	options
	self    string
	workers map[string]*holding
	// order has the keys of workers, sorted, so that commands come in the same order in each run.
	order   []string
	peers   []string
	leaving bool
	stale   bool
}

// New returns the holdings of the entry host self.
func New(self string, opts ...Option) *Holdings {
	h := &Holdings{self: self, workers: map[string]*holding{}}
	h.options = options{
		ttl: 6 * time.Second, tasks: 30 * time.Second, renew: 2 * time.Second, timeout: time.Second, margin: 0.1,
	}
	for _, o := range opts {
		o(&h.options)
	}
	return h
}

// Update applies the message and returns what is to be done.
func (h *Holdings) Update(now time.Time, msg Msg) []Command {
	switch m := msg.(type) {
	case TickMsg:
		return h.tick(now)
	case HostsMsg:
		h.list(m.Workers)
	case PeersMsg:
		h.peers = slices.Clone(m.Hosts)
		for _, w := range h.workers {
			h.place(w)
		}
	case StatusMsg:
		return h.status(now, m.Status, m.Sent, m.Received, m.Seen, m.Brief)
	case RefusedMsg:
		if m.Status.Boot == "" {
			h.refused(now, m.Status.Worker, m.Sent)
			return nil
		}
		return h.status(now, m.Status, m.Sent, m.Received, 0, false)
	case FailedMsg:
		if w := h.workers[m.Worker]; w != nil {
			w.pending, w.refused = time.Time{}, m.Refused
			w.next = now.Add(h.renew / 4)
			if !w.mine {
				w.next = now.Add(h.renew)
			}
		}
	case ReleasedMsg:
		if w := h.workers[m.Worker]; w != nil && w.releasing {
			h.drop(w, now)
		}
	case HoldMsg:
		if w := h.workers[m.Worker]; w != nil && (m.Boot != w.hold.Boot || m.Grant >= w.hold.Grant) {
			w.hold = m
			w.newest, w.read = max(w.newest, m.Offset+1), now
		}
	case LeaveMsg:
		h.leaving = true
		return h.tick(now)
	case StaleMsg:
		h.stale = m.Stale
	}
	return nil
}

func (h *Holdings) list(ws []Worker) {
	for _, w := range h.workers {
		w.listed = false
	}
	for _, l := range ws {
		w := h.workers[l.ID]
		if w == nil {
			w = &holding{}
			h.workers[l.ID] = w
			h.order = append(h.order, l.ID)
		}
		w.Worker, w.listed = l, true
		h.place(w)
	}
	slices.Sort(h.order)
}

// place computes the rank of this host for the worker by rendezvous hashing.
func (h *Holdings) place(w *holding) {
	own := score(w.ID, h.self)
	w.rank = 0
	present := len(h.peers) == 0
	for _, p := range h.peers {
		if p == h.self {
			present = true
		} else if s := score(w.ID, p); s > own || (s == own && p > h.self) {
			w.rank++
		}
	}
	if !present {
		w.rank = len(h.peers)
	}
}

func score(worker, host string) uint64 { return xxhash.Sum64String(worker + "\x00" + host) }

// status applies a reading of the worker.
func (h *Holdings) status(now time.Time, s fleet.Status, sent, received time.Time, seen uint64, brief bool) []Command {
	w := h.workers[s.Worker]
	if w == nil {
		return nil
	}
	w.pending, w.refused = time.Time{}, false
	first := w.boot == ""
	switch {
	case first:
	case s.Boot == w.boot && s.Clock < w.clock:
		return nil // A late reply.
	case s.Boot != w.boot && sent.Before(w.received):
		return nil // It cannot be told which of the two boots is the later one; the next reading tells.
	}
	if s.Boot != w.boot {
		w.boot, w.mine, w.grant, w.seen, w.tasks, w.certain, w.quiet = s.Boot, false, 0, 0, 0, time.Time{}, 0
	}
	w.clock, w.sent, w.received, w.drain = s.Clock, sent, received, s.Leaving
	mine := s.Holder == h.self && s.Until > s.Clock && sent.After(w.barrier)
	if first && mine {
		// The lease is that of an earlier process, whose starts have the same grant. Without this wait a status would
		// show them as never started although one may still arrive. The second window covers the difference of clock rates.
		w.quiet = s.Clock + 2*startWindow
	}
	w.named = mine && brief
	if w.named {
		w.next = now
		return nil
	}
	if !mine {
		w.mine, w.seen, w.certain = false, 0, time.Time{}
		if s.Holder != "" && s.Until > s.Clock {
			w.free = time.Time{}
		} else if w.free.IsZero() {
			w.free = now
		}
		h.schedule(w, now)
		return nil
	}
	if !w.mine || w.grant != s.Grant {
		// An earlier holder may have renewed task leases until this host got the worker.
		w.tasks = max(w.tasks, s.Clock+h.tasks)
		if w.rank > 0 {
			w.keep = min(max(2*w.keep, 10*h.ttl), maxKeep)
			w.kept = now.Add(w.keep)
		}
	}
	// A lease that had lapsed here was given up by the capacity table, which needs the whole list again.
	lapsed := w.mine && !now.Before(w.certain)
	fresh := !w.mine || w.grant != s.Grant
	if fresh {
		w.tasked, w.ready = time.Time{}, false
	}
	if !sent.Before(w.read) {
		w.base = max(w.newest, 1)
	}
	w.ready = w.ready || (!w.tasked.IsZero() && !sent.Before(w.tasked))
	w.mine, w.grant, w.free = true, s.Grant, time.Time{}
	w.certain = sent.Add(time.Duration(float64(s.Until-s.Clock) / (1 + h.margin)))
	w.next = sent.Add(h.renew)
	if (fresh || lapsed) && seen != 0 {
		w.next, w.seen = now, 0 // The list is not complete: ask again.
		return nil
	}
	if w.quiet > 0 && s.Clock <= w.quiet {
		return nil
	}
	w.seen = s.Change
	return []Command{ApplyCmd{Status: s, Sent: sent, Full: seen == 0}}
}

// refused notes that another host holds the worker. The next call asks who: a lease call that is repeated instead would
// be refused as long as that host lives, and this one would take the worker for silent.
func (h *Holdings) refused(now time.Time, id string, sent time.Time) {
	w := h.workers[id]
	if w == nil || sent.Before(w.sent) {
		return
	}
	w.pending, w.free, w.named = time.Time{}, time.Time{}, false
	w.mine, w.seen, w.certain = false, 0, time.Time{}
	w.next = now.Add(h.renew / 2)
}

// schedule sets the next call to a worker that this host does not hold.
func (h *Holdings) schedule(w *holding, now time.Time) {
	switch {
	case w.rank > 0:
		w.next = now.Add(h.ttl)
	case w.free.IsZero():
		w.next = now.Add(h.renew / 2)
	default:
		w.next = now
	}
}

func (h *Holdings) drop(w *holding, now time.Time) {
	w.mine, w.releasing, w.seen, w.certain = false, false, 0, time.Time{}
	w.free = now
	w.next = now.Add(h.ttl)
	w.pending = time.Time{}
}

func (h *Holdings) tick(now time.Time) []Command {
	var cmds []Command
	moving := 0
	for _, w := range h.workers {
		// A released worker counts until its preferred holder, which asks for it each half renewal period,
		// has had time to take it.
		if w.releasing || (!w.barrier.IsZero() && now.Sub(w.barrier) < h.renew) {
			moving++
		}
	}
	h.order = slices.DeleteFunc(h.order, func(id string) bool {
		w := h.workers[id]
		gone := !w.listed && !w.mine && now.Sub(w.received) > 2*h.tasks
		if gone {
			delete(h.workers, id)
		}
		return gone
	})
	for _, id := range h.order {
		w := h.workers[id]
		if w.releasing && !now.Before(w.certain) {
			h.drop(w, now)
		}
		if !w.releasing && w.mine && now.Before(w.certain) && h.unwanted(w, now) && (h.leaving || moving < maxHandover) {
			w.releasing, w.barrier = true, now
			w.pending = now
			moving++
			cmds = append(cmds, ReleaseCmd{Worker: id, Address: w.Address})
			continue
		}
		// A lapsed lease gets no hold record: by then another host may have recorded its own, which is the newer one.
		if w.mine && !w.releasing && now.Before(w.certain) && !h.recorded(w) && now.Sub(w.asked) >= h.renew {
			w.asked = now
			cmds = append(cmds, HoldCmd{Worker: id, Boot: w.boot, Grant: w.grant, Next: max(w.base, 1)})
		}
		if !w.pending.IsZero() && now.Sub(w.pending) < h.timeout || now.Before(w.next) {
			continue
		}
		if c := h.call(w, now); c != nil {
			w.pending = now
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// unwanted reports whether this host is to release the worker.
func (h *Holdings) unwanted(w *holding, now time.Time) bool {
	return h.leaving || (w.rank > 0 && !now.Before(w.kept))
}

func (h *Holdings) call(w *holding, now time.Time) Command {
	if w.releasing {
		w.barrier = now
		return ReleaseCmd{Worker: w.ID, Address: w.Address}
	}
	if h.leaving {
		return nil
	}
	turn := !w.free.IsZero() && now.Sub(w.free) >= time.Duration(2*w.rank)*h.ttl && len(h.peers) > 0
	if w.boot == "" || w.refused || (!w.mine && !w.named && !turn) {
		w.next = now.Add(h.renew / 2)
		return QueryCmd{Worker: w.ID, Address: w.Address}
	}
	w.next = now.Add(h.renew / 2)
	r := fleet.LeaseRequest{Holder: h.self, Boot: w.boot, Until: w.clock + now.Sub(w.received) + h.ttl}
	if w.mine {
		r.Seen = w.seen
	}
	if h.recorded(w) && !h.stale {
		// It is derived from the reading alone, so that repeated requests to a worker that does not
		// answer leave the end of its task leases where it was.
		r.Tasks = w.clock + h.tasks
		w.tasks = max(w.tasks, r.Tasks)
		if w.tasked.IsZero() {
			w.tasked = now
		}
	}
	return LeaseCmd{Worker: w.ID, Address: w.Address, Request: r}
}

// recorded reports whether the newest hold record of the worker is that of this host's present grant.
func (h *Holdings) recorded(w *holding) bool {
	return w.mine && w.hold.Host == h.self && w.hold.Boot == w.boot && w.hold.Grant == w.grant
}

// Held returns the fence for messages to the worker. It returns false if the lease may have expired.
// It is to be asked immediately before each send.
func (h *Holdings) Held(worker string, now time.Time) (fleet.Fence, bool) {
	w := h.workers[worker]
	if w == nil || !w.mine || w.releasing || !now.Before(w.certain) {
		return fleet.Fence{}, false
	}
	return fleet.Fence{Boot: w.boot, Grant: w.grant, Before: w.clock + now.Sub(w.received) + startWindow}, true
}

// Usable reports whether the worker may be given new work: it is held and not leaving.
func (h *Holdings) Usable(worker string, now time.Time) bool {
	_, ok := h.Held(worker, now)
	return ok && !h.workers[worker].Leaving && !h.workers[worker].drain
}

// Batch reports whether the worker may be given batch tasks: it is usable and renews task leases for this host.
func (h *Holdings) Batch(worker string, now time.Time) bool {
	return h.Usable(worker, now) && h.recorded(h.workers[worker]) && h.workers[worker].ready
}

// TaskLeaseExpired reports whether all tasks of the worker certainly stopped because their lease expired.
// It is about the boot and grant this host held last, and is never true if it held none.
// The eviction that it justifies must be dropped by readers if a hold with a higher grant precedes it in the stream.
func (h *Holdings) TaskLeaseExpired(worker string, now time.Time) bool {
	w := h.workers[worker]
	if w == nil || !h.recorded(w) {
		return false
	}
	elapsed := time.Duration(float64(now.Sub(w.received)) * (1 - h.margin))
	return w.clock+elapsed > w.tasks
}

// LastReading returns when the worker last answered this host, whoever holds it; the zero time if it never did.
func (h *Holdings) LastReading(worker string) time.Time {
	if w := h.workers[worker]; w != nil {
		return w.received
	}
	return time.Time{}
}

// Unreleased returns the number of workers that may still name this host, those whose release is not confirmed included.
func (h *Holdings) Unreleased(now time.Time) int {
	n := 0
	for _, w := range h.workers {
		if w.mine && now.Before(w.certain) {
			n++
		}
	}
	return n
}

// Workers returns the workers that this host certainly holds at now, sorted.
func (h *Holdings) Workers(now time.Time) []string {
	var ids []string
	for _, id := range h.order {
		if _, ok := h.Held(id, now); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
