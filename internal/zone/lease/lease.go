// Package lease decides which workers this entry host holds and until when it may rely on holding them. It sends
// nothing itself: Manager.Update applies messages and returns the commands that the caller is to carry out.
//
// A worker has at most one holder, which the worker itself names in its status. Times at the worker are derived from
// readings of its clock; the rate of that clock may differ from the rate of the host's clock by the clock rate margin.
//
// A holder that cannot reach its worker does not learn that another host took the worker over and renews its task
// leases. A holder therefore renews task leases only after its hold record was read back from the zone's stream, and an
// eviction for an expired task lease is valid only if the newest hold of the worker in the stream is that of the
// evicting host.
package lease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// startValidity is how long a start may be under way. It is added to the worker's clock to give Fence.Before.
const startValidity = time.Second

// maxHandovers limits how many workers a host releases to their preferred holders at a time, so that few workers are
// without a holder at once.
const maxHandovers = 4

// maxFallbackHold is the longest time for which a host keeps a worker that its preferred holder did not take.
const maxFallbackHold = time.Hour

// options are the settings of a Manager.
type options struct {
	ttl, taskTTL, renewInterval, replyTimeout time.Duration
	clockRateMargin                           float64
	// holder is the name under which this host holds workers.
	holder string
}

// Option changes a setting of a Manager.
type Option func(*options)

// WithTTL sets how long a lease of a worker lasts, 6 s by default.
func WithTTL(d time.Duration) Option { return func(o *options) { o.ttl = d } }

// WithTaskTTL sets how long task leases last, 30 s by default.
func WithTaskTTL(d time.Duration) Option { return func(o *options) { o.taskTTL = d } }

// WithRenewInterval sets the time between renewals of a lease, 2 s by default.
func WithRenewInterval(d time.Duration) Option { return func(o *options) { o.renewInterval = d } }

// WithReplyTimeout sets the time after which a message without a reply is repeated, 1 s by default.
func WithReplyTimeout(d time.Duration) Option { return func(o *options) { o.replyTimeout = d } }

// WithClockRateMargin sets the largest relative difference between the rates of two clocks, 0.1 by default.
func WithClockRateMargin(m float64) Option { return func(o *options) { o.clockRateMargin = m } }

// WithHolder sets the name under which this host holds workers, its ID by default. A host that may be started again
// under its ID needs another name for each process: a worker keeps its grant while the holder has the same name, and
// would accept a start of an earlier process after it has told the later one that it runs nothing.
func WithHolder(name string) Option { return func(o *options) { o.holder = name } }

// workerState is what this host knows of one worker and of its lease.
type workerState struct {
	Worker
	// listed is false once the host list no longer has the worker.
	listed bool
	// boot is the worker's boot ID, empty until its first status. It changes with each restart of the worker.
	boot string
	// clock is the newest reading of the worker's clock, taken between sent and received of the host's clock.
	clock          time.Duration
	sent, received time.Time
	// refused is set when the worker refused a lease request. The status is queried before the next request.
	refused bool
	// statusLeaving is Status.Leaving of the newest status.
	statusLeaving bool
	// isHolder is set while the newest status names this host as the holder. The lease itself may have expired since.
	isHolder bool
	// grant is the grant of this host's lease. It grows by one with each new holder of the worker.
	grant uint64
	// needsTaskList is set if the newest status names this host as the holder but lists no tasks. The lease must then be
	// renewed with a full task list before the worker counts as held.
	needsTaskList bool
	// validUntil is the time from which the lease may have expired.
	validUntil time.Time
	// taskLeaseEnd is an upper bound, on the worker's clock, of the end of its task leases. It is valid while
	// holdRecorded is true.
	taskLeaseEnd time.Duration
	// lastHold is the hold record with the highest grant of its boot.
	lastHold HoldMsg
	// nextOffset is the offset after the newest hold record, 1 if there is none. confirmedOffset is the value that
	// nextOffset had when the request for the newest status that names this host was sent.
	nextOffset, confirmedOffset uint64
	// holdReadAt is when the newest hold record was read.
	holdReadAt time.Time
	// earlierStartsUntil is the worker's clock up to which a start of an earlier process with the same holder name may
	// arrive, 0 if there is none. Until then no status is passed on.
	earlierStartsUntil time.Duration
	// releaseSentAt is when the last release was sent. The reply to an earlier request does not prove that this host
	// has the lease.
	releaseSentAt time.Time
	// releasing is set from the first release that is sent until the release is confirmed or the lease expired.
	releasing bool
	// seenChange is Status.Change of the last status that was passed on, 0 if the next one must list all tasks.
	seenChange uint64
	// nextMessageAt is when the next message is due. messageSentAt is when the unanswered message was sent, zero if there
	// is none.
	nextMessageAt, messageSentAt time.Time
	// taskLeasesRenewedAt is when a renewal of task leases was first sent under this grant, zero if none was.
	// taskLeasesConfirmed is set once the status in reply to that or a later message was applied.
	taskLeasesRenewedAt time.Time
	taskLeasesConfirmed bool
	// holdRecordRequestedAt is when a RecordHoldCmd for the worker was last returned.
	holdRecordRequestedAt time.Time
	// freeSince is when the worker was first seen without a holder, zero if it has one.
	freeSince time.Time
	// rank is the number of peers that precede this host in the rendezvous order of the worker. A host that the peers
	// do not include ranks last.
	rank int
	// fallbackHold is how long this host keeps the worker if it took it in place of the preferred holder. It doubles
	// each time, up to maxFallbackHold, because the worker has no holder while it is released in vain. fallbackUntil is
	// when that time ends.
	fallbackHold  time.Duration
	fallbackUntil time.Time
}

// Manager keeps the leases of the zone's workers as one entry host sees them. It is not safe for concurrent use.
type Manager struct {
	options
	self    string
	workers map[string]*workerState
	// workerIDs has the keys of workers, sorted, so that commands come in the same order in each run.
	workerIDs []string
	// peers are the entry hosts of the newest PeersMsg.
	peers []string
	// stopping is set from the first StopMsg on. stale is set while task leases must not be renewed, see StaleMsg.
	stopping bool
	stale    bool
}

// New returns the manager of the entry host self, which knows no workers yet.
func New(self string, opts ...Option) *Manager {
	m := &Manager{self: self, workers: map[string]*workerState{}}
	m.options = options{
		ttl: 6 * time.Second, taskTTL: 30 * time.Second, renewInterval: 2 * time.Second, replyTimeout: time.Second,
		clockRateMargin: 0.1, holder: self,
	}
	for _, o := range opts {
		o(&m.options)
	}
	return m
}

// Update applies the message and returns the commands that the caller is to carry out.
func (m *Manager) Update(now time.Time, msg Msg) []Command {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(now)
	case WorkersMsg:
		m.setWorkers(msg.Workers)
	case PeersMsg:
		m.peers = slices.Clone(msg.Hosts)
		for _, w := range m.workers {
			m.updateRank(w)
		}
	case StatusMsg:
		return m.applyStatus(now, msg.Status, msg.Sent, msg.Received, msg.Seen, msg.WithoutTasks)
	case RefusedMsg:
		if msg.Status.Boot == "" {
			m.applyRefusal(now, msg.Status.Worker, msg.Sent)
			return nil
		}
		return m.applyStatus(now, msg.Status, msg.Sent, msg.Received, 0, false)
	case FailedMsg:
		if w := m.workers[msg.Worker]; w != nil {
			w.messageSentAt, w.refused = time.Time{}, msg.Refused
			w.nextMessageAt = now.Add(m.renewInterval / 4)
			if !w.isHolder {
				w.nextMessageAt = now.Add(m.renewInterval)
			}
		}
	case ReleasedMsg:
		if w := m.workers[msg.Worker]; w != nil && w.releasing {
			m.markReleased(w, now)
		}
	case HoldMsg:
		if w := m.workers[msg.Worker]; w != nil && (msg.Boot != w.lastHold.Boot || msg.Grant >= w.lastHold.Grant) {
			w.lastHold = msg
			w.nextOffset, w.holdReadAt = max(w.nextOffset, msg.Offset+1), now
		}
	case StopMsg:
		m.stopping = true
		return m.tick(now)
	case StaleMsg:
		m.stale = msg.Stale
	}
	return nil
}

// setWorkers replaces the list of workers. Workers that are no longer listed stay until tick deletes them.
func (m *Manager) setWorkers(ws []Worker) {
	for _, w := range m.workers {
		w.listed = false
	}
	for _, l := range ws {
		w := m.workers[l.ID]
		if w == nil {
			w = &workerState{}
			m.workers[l.ID] = w
			m.workerIDs = append(m.workerIDs, l.ID)
		}
		w.Worker, w.listed = l, true
		m.updateRank(w)
	}
	slices.Sort(m.workerIDs)
}

// updateRank computes the rank of this host for the worker by rendezvous hashing.
func (m *Manager) updateRank(w *workerState) {
	own := rendezvousScore(w.ID, m.self)
	w.rank = 0
	present := len(m.peers) == 0
	for _, p := range m.peers {
		if p == m.self {
			present = true
		} else if s := rendezvousScore(w.ID, p); s > own || (s == own && p > m.self) {
			w.rank++
		}
	}
	if !present {
		w.rank = len(m.peers)
	}
}

// rendezvousScore returns the rendezvous hash of the host for the worker; the highest one is preferred.
func rendezvousScore(worker, host string) uint64 { return xxhash.Sum64String(worker + "\x00" + host) }

// applyStatus applies a status of the worker, unless a newer one was applied before.
func (m *Manager) applyStatus(
	now time.Time, s fleet.Status, sent, received time.Time, seen uint64, withoutTasks bool,
) []Command {
	w := m.workers[s.Worker]
	if w == nil {
		return nil
	}
	w.messageSentAt, w.refused = time.Time{}, false
	firstStatus := w.boot == ""
	switch {
	case firstStatus:
	case s.Boot == w.boot && s.Clock < w.clock:
		return nil // A newer status was applied before.
	case s.Boot != w.boot && sent.Before(w.received):
		return nil // It is unknown which boot is the later one; the next status shows it.
	}
	if s.Boot != w.boot {
		w.boot, w.isHolder, w.grant, w.seenChange, w.taskLeaseEnd, w.validUntil, w.earlierStartsUntil =
			s.Boot, false, 0, 0, 0, time.Time{}, 0
	}
	w.clock, w.sent, w.received, w.statusLeaving = s.Clock, sent, received, s.Leaving
	namesThisHost := s.Holder == m.holder && s.Until > s.Clock && sent.After(w.releaseSentAt)
	if firstStatus && namesThisHost {
		// An earlier process with the same holder name got the lease, and its starts carry the same grant. Without this
		// wait a status would show a start as never made although it may still arrive. The validity counts twice to cover
		// the difference of clock rates.
		w.earlierStartsUntil = s.Clock + 2*startValidity
	}
	w.needsTaskList = namesThisHost && withoutTasks
	if w.needsTaskList {
		w.nextMessageAt = now
		return nil
	}
	if !namesThisHost {
		w.isHolder, w.seenChange, w.validUntil = false, 0, time.Time{}
		if s.Holder != "" && s.Until > s.Clock {
			w.freeSince = time.Time{}
		} else if w.freeSince.IsZero() {
			w.freeSince = now
		}
		m.scheduleMessage(w, now)
		return nil
	}
	if !w.isHolder || w.grant != s.Grant {
		// An earlier holder may have renewed the task leases until this host got the worker.
		w.taskLeaseEnd = max(w.taskLeaseEnd, s.Clock+m.taskTTL)
		if w.rank > 0 {
			w.fallbackHold = min(max(2*w.fallbackHold, 10*m.ttl), maxFallbackHold)
			w.fallbackUntil = now.Add(w.fallbackHold)
		}
	}
	// When a lease expires, the capacity table drops the worker, so that it needs the full task list again.
	expired := w.isHolder && !now.Before(w.validUntil)
	newGrant := !w.isHolder || w.grant != s.Grant
	if newGrant {
		w.taskLeasesRenewedAt, w.taskLeasesConfirmed = time.Time{}, false
	}
	if !sent.Before(w.holdReadAt) {
		w.confirmedOffset = max(w.nextOffset, 1)
	}
	w.taskLeasesConfirmed = w.taskLeasesConfirmed ||
		(!w.taskLeasesRenewedAt.IsZero() && !sent.Before(w.taskLeasesRenewedAt))
	w.isHolder, w.grant, w.freeSince = true, s.Grant, time.Time{}
	w.validUntil = sent.Add(time.Duration(float64(s.Until-s.Clock) / (1 + m.clockRateMargin)))
	w.nextMessageAt = sent.Add(m.renewInterval)
	if (newGrant || expired) && seen != 0 {
		w.nextMessageAt, w.seenChange = now, 0 // The task list is not complete; request all of it.
		return nil
	}
	if w.earlierStartsUntil > 0 && s.Clock <= w.earlierStartsUntil {
		return nil
	}
	w.seenChange = s.Change
	return []Command{ApplyStatusCmd{Status: s, Sent: sent, Full: seen == 0}}
}

// applyRefusal records that another host holds the worker, as a refusal without a status shows. The next message
// queries the holder: a repeated lease request would be refused without a status for as long as the other host renews
// its lease, so that this host would get no status and consider the worker unreachable.
func (m *Manager) applyRefusal(now time.Time, id string, sent time.Time) {
	w := m.workers[id]
	if w == nil || sent.Before(w.sent) {
		return
	}
	w.messageSentAt, w.freeSince, w.needsTaskList = time.Time{}, time.Time{}, false
	w.isHolder, w.seenChange, w.validUntil = false, 0, time.Time{}
	w.nextMessageAt = now.Add(m.renewInterval / 2)
}

// scheduleMessage sets the time of the next message to a worker that this host does not hold.
func (m *Manager) scheduleMessage(w *workerState, now time.Time) {
	switch {
	case w.rank > 0:
		w.nextMessageAt = now.Add(m.ttl)
	case w.freeSince.IsZero():
		w.nextMessageAt = now.Add(m.renewInterval / 2)
	default:
		w.nextMessageAt = now
	}
}

// markReleased records that this host no longer holds the worker, because the release was confirmed or the lease
// expired.
func (m *Manager) markReleased(w *workerState, now time.Time) {
	w.isHolder, w.releasing, w.seenChange, w.validUntil = false, false, 0, time.Time{}
	w.freeSince = now
	w.nextMessageAt = now.Add(m.ttl)
	w.messageSentAt = time.Time{}
}

// tick returns the messages and hold records that are due. It deletes unlisted workers that this host does not hold
// once two task TTLs have passed since their last status.
func (m *Manager) tick(now time.Time) []Command {
	var cmds []Command
	handovers := m.countHandovers(now)
	m.workerIDs = slices.DeleteFunc(m.workerIDs, func(id string) bool {
		w := m.workers[id]
		forget := !w.listed && !w.isHolder && now.Sub(w.received) > 2*m.taskTTL
		if forget {
			delete(m.workers, id)
		}
		return forget
	})
	for _, id := range m.workerIDs {
		w := m.workers[id]
		if w.releasing && !now.Before(w.validUntil) {
			m.markReleased(w, now)
		}
		if !w.releasing && w.isHolder && now.Before(w.validUntil) && m.shouldRelease(w, now) &&
			(m.stopping || handovers.mayAdd()) {
			w.releasing, w.releaseSentAt = true, now
			w.messageSentAt = now
			handovers.add()
			cmds = append(cmds, ReleaseCmd{Worker: id, Address: w.Address})
			continue
		}
		// An expired lease gets no hold record, because another host may have recorded its own, newer hold by then.
		if w.isHolder && !w.releasing && now.Before(w.validUntil) && !m.holdRecorded(w) &&
			now.Sub(w.holdRecordRequestedAt) >= m.renewInterval {
			w.holdRecordRequestedAt = now
			cmds = append(cmds, RecordHoldCmd{Worker: id, Boot: w.boot, Grant: w.grant, NextOffset: max(w.confirmedOffset, 1)})
		}
		if !w.messageSentAt.IsZero() && now.Sub(w.messageSentAt) < m.replyTimeout || now.Before(w.nextMessageAt) {
			continue
		}
		if c := m.nextMessage(w, now); c != nil {
			w.messageSentAt = now
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// handoverCounts says how far the handover of this host's workers to their preferred holders has come.
type handoverCounts struct {
	// pending is the number of workers that were released and that their preferred holder may not have taken yet. kept is
	// the number of workers that this host holds and may give work.
	pending, kept int
}

// mayAdd reports whether one more worker may be released. At least as many workers stay here as are pending, so that
// this host never gives away its last one: its preferred holder may hold no other, and then the zone would have none.
func (c handoverCounts) mayAdd() bool {
	return c.pending < maxHandovers && c.pending+1 <= c.kept-1
}

// add counts one more released worker.
func (c *handoverCounts) add() { c.pending, c.kept = c.pending+1, c.kept-1 }

// countHandovers counts the workers that are being handed over and those that are kept.
func (m *Manager) countHandovers(now time.Time) (c handoverCounts) {
	for id, w := range m.workers {
		// A released worker counts until its preferred holder, which queries it every half renewal interval, has had
		// time to take it.
		if w.releasing || (!w.releaseSentAt.IsZero() && now.Sub(w.releaseSentAt) < m.renewInterval) {
			c.pending++
		}
		if m.AcceptsWork(id, now) {
			c.kept++
		}
	}
	return c
}

// shouldRelease reports whether this host is to release the worker.
func (m *Manager) shouldRelease(w *workerState, now time.Time) bool {
	return m.stopping || (w.rank > 0 && !now.Before(w.fallbackUntil))
}

// nextMessage returns the message to send to the worker now, or nil if there is none, and sets the time of the message
// after it.
func (m *Manager) nextMessage(w *workerState, now time.Time) Command {
	if w.releasing {
		w.releaseSentAt = now
		return ReleaseCmd{Worker: w.ID, Address: w.Address}
	}
	if m.stopping {
		return nil
	}
	// Hosts try to take a free worker one after the other, in rendezvous order and two TTLs apart. Without known peers
	// every host would have rank 0.
	mayTake := !w.freeSince.IsZero() && now.Sub(w.freeSince) >= time.Duration(2*w.rank)*m.ttl && len(m.peers) > 0
	if w.boot == "" || w.refused || (!w.isHolder && !w.needsTaskList && !mayTake) {
		w.nextMessageAt = now.Add(m.renewInterval / 2)
		return StatusCmd{Worker: w.ID, Address: w.Address}
	}
	w.nextMessageAt = now.Add(m.renewInterval / 2)
	r := fleet.LeaseRequest{Holder: m.holder, Boot: w.boot, Until: w.clock + now.Sub(w.received) + m.ttl}
	if w.isHolder {
		r.Seen = w.seenChange
	}
	if m.holdRecorded(w) && !m.stale {
		// The end is derived from the newest status alone, so that repeated requests to a worker that does not answer
		// don't extend its task leases.
		r.TaskLeasesUntil = w.clock + m.taskTTL
		w.taskLeaseEnd = max(w.taskLeaseEnd, r.TaskLeasesUntil)
		if w.taskLeasesRenewedAt.IsZero() {
			w.taskLeasesRenewedAt = now
		}
	}
	return LeaseCmd{Worker: w.ID, Address: w.Address, Request: r}
}

// holdRecorded reports whether the newest hold record of the worker is that of this host's present grant.
func (m *Manager) holdRecorded(w *workerState) bool {
	return w.isHolder && w.lastHold.Host == m.holder && w.lastHold.Boot == w.boot && w.lastHold.Grant == w.grant
}

// Fence returns the fence for messages to the worker, and false if this host does not hold the worker or its lease may
// have expired. It must be called immediately before each send.
func (m *Manager) Fence(worker string, now time.Time) (fleet.Fence, bool) {
	w := m.workers[worker]
	if w == nil || !w.isHolder || w.releasing || !now.Before(w.validUntil) {
		return fleet.Fence{}, false
	}
	return fleet.Fence{Boot: w.boot, Grant: w.grant, Before: w.clock + now.Sub(w.received) + startValidity}, true
}

// AcceptsWork reports whether the worker may be given new work: this host holds it, and neither the host list nor its
// status says that it is leaving.
func (m *Manager) AcceptsWork(worker string, now time.Time) bool {
	_, ok := m.Fence(worker, now)
	return ok && !m.workers[worker].Leaving && !m.workers[worker].statusLeaving
}

// AcceptsBatch reports whether the worker may be given batch tasks: it accepts work, and a status confirmed that this
// host renews its task leases.
func (m *Manager) AcceptsBatch(worker string, now time.Time) bool {
	return m.AcceptsWork(worker, now) && m.holdRecorded(m.workers[worker]) && m.workers[worker].taskLeasesConfirmed
}

// TaskLeasesExpired reports whether all tasks of the worker certainly stopped because their leases expired. It is
// false unless the newest status names this host as the holder and the newest hold record is that of the same boot and
// grant. Readers must drop the eviction that follows from it if a hold with a higher grant precedes that eviction in
// the stream.
func (m *Manager) TaskLeasesExpired(worker string, now time.Time) bool {
	w := m.workers[worker]
	if w == nil || !m.holdRecorded(w) {
		return false
	}
	elapsed := time.Duration(float64(now.Sub(w.received)) * (1 - m.clockRateMargin))
	return w.clock+elapsed > w.taskLeaseEnd
}

// LastStatusAt returns when the worker last answered this host, whoever holds the worker. It is zero if it never did.
func (m *Manager) LastStatusAt(worker string) time.Time {
	if w := m.workers[worker]; w != nil {
		return w.received
	}
	return time.Time{}
}

// UnreleasedCount returns the number of workers that may still name this host as the holder, including those whose
// release is not confirmed.
func (m *Manager) UnreleasedCount(now time.Time) int {
	n := 0
	for _, w := range m.workers {
		if w.isHolder && now.Before(w.validUntil) {
			n++
		}
	}
	return n
}

// Knows reports whether the worker is listed, or was and may still be held or taken again.
func (m *Manager) Knows(worker string) bool { return m.workers[worker] != nil }

// HeldWorkers returns the IDs of the workers that this host certainly holds at now, sorted.
func (m *Manager) HeldWorkers(now time.Time) []string {
	var ids []string
	for _, id := range m.workerIDs {
		if _, ok := m.Fence(id, now); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
