package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

const (
	// writerName names the leader among the writers of a partition.
	writerName = "leader"
	// rosterEvery is the interval at which the list of workers is read: well inside the bounds for a worker that
	// leaves, and much less often than all workers together write to it.
	rosterEvery = 500 * time.Millisecond
	// rosterTimeout bounds one reading.
	rosterTimeout = 2 * time.Second
	// decideEvery is the longest pause between two decisions: leases lapse and retries fall due without an event.
	decideEvery = 250 * time.Millisecond
	// decideGap is the shortest interval of decisions: what arrives meanwhile is decided together. It is a round trip
	// to the log, for which each new job waits anyway.
	decideGap = 5 * time.Millisecond
	// holdMargin is what a hold may take beside its wait: two round trips between regions and a slow worker.
	holdMargin = 600 * time.Millisecond
	// holdPause is the pause after a hold that failed, and while ends wait for a log that does not answer.
	holdPause = 150 * time.Millisecond
	// orderTimeout bounds an order.
	orderTimeout = 900 * time.Millisecond
	// adviceTimeout bounds a request for advice, which waits its turn at the adviser.
	adviceTimeout = 4 * time.Second
	// doubtAfter is how long the store may be silent before the leader looks for a host that it answers.
	doubtAfter = 1300 * time.Millisecond
	// outageBound is how long a leader gives orders without the store at most.
	outageBound = 30 * time.Second
	// freshStore is how recently the store must have answered such a host.
	freshStore = 700 * time.Millisecond
	// stuckAfter is how long an append may take before new jobs are refused at once.
	stuckAfter = 800 * time.Millisecond
	// stuckRetry is when callers should come back then.
	stuckRetry = 2 * time.Second
	// restoreTimeout bounds one try to read the state.
	restoreTimeout = 4 * time.Second
)

// term is one host's time as the leader.
type term struct {
	h      *Host
	claim  leadership.Claim
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ended  sync.Once
	log    *logrus.Entry

	begun time.Time
	// ordersUntil is when the leader before had given its last order at the latest.
	ordersUntil time.Time

	// mu guards s, committed, loops and ready.
	mu sync.Mutex
	s  *dispatch.Scheduler
	// committed is closed and replaced with each batch that became durable.
	committed chan struct{}
	loops     map[string]struct{}
	ready     chan struct{}

	wake, write chan struct{}
	// confirmed is the boot clock in nanoseconds when the last call was sent that the store answered under this
	// term's epoch. writing is when the append in progress was first sent, 0 without one.
	confirmed, writing atomic.Int64
}

func newTerm(ctx context.Context, h *Host, claim leadership.Claim, ordersUntil time.Time) *term {
	ctx, cancel := context.WithCancel(ctx)
	t := &term{
		h: h, claim: claim, ctx: ctx, cancel: cancel, begun: h.clock.Now(), ordersUntil: ordersUntil, committed: make(chan struct{}), loops: map[string]struct{}{},
		ready: make(chan struct{}), wake: make(chan struct{}, 1), write: make(chan struct{}, 1),
		s:   dispatch.New(h.cfg.Limits, claim.Token(), claim.Serial),
		log: h.part("leader").WithField("token", claim.Token()),
	}
	t.confirmed.Store(h.clock.Now().UnixNano())
	t.run(t.begin)
	return t
}

func (t *term) run(fn func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		fn()
	}()
}

// end stops the term. It does not wait for its goroutines, which give no orders any more.
func (t *term) end(reason string) {
	t.ended.Do(func() {
		t.cancel()
		t.log.WithField("reason", reason).Info("Term ended")
	})
}

// begin bars the leader before, restores the state and starts to lead.
func (t *term) begin() {
	begun := t.h.clock.Now()
	writer := t.writer(statePart)
	renewals := t.writer(renewalPart)
	// A slow store makes each call take a good part of a second, so that those which don't depend on each other are
	// made at the same time. The state may be read only once earlier writers are barred.
	var records []dispatch.Record
	var news WorkerNews
	var wg sync.WaitGroup
	wg.Go(func() {
		if t.open(renewals) {
			t.confirm(begun)
			t.run(func() { t.renew(renewals) })
		}
	})
	wg.Go(func() { news = retry(t, func() (WorkerNews, error) { return t.readWorkers(-1) }) })
	if t.open(writer) {
		records = retry(t, t.readState)
	}
	wg.Wait()
	if t.ctx.Err() != nil {
		return
	}
	t.restore(begun, records, news)
	t.run(func() { t.writeBatches(writer) })
	t.run(t.decide)
	t.run(func() { t.followWorkers(news.Next) })
	t.run(func() {
		if err := t.h.readMembers(t.ctx); err != nil {
			t.log.WithError(err).Debug("Can't read the list of hosts")
		}
		t.h.announce(t.ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset})
	})
	close(t.ready)
}

// retry repeats a call until it succeeds or the term is over.
func retry[T any](t *term, call func() (T, error)) T {
	for {
		v, err := call()
		if err == nil {
			return v
		}
		if t.ctx.Err() == nil {
			t.log.WithError(err).Warn("Can't restore the state yet")
		}
		if !pause(t.ctx, followPause) {
			return v
		}
	}
}

func (t *term) writer(p ledger.Partition) *ledger.Writer {
	return ledger.NewWriter(t.h.store, p, writerName, t.claim.Token(), ledger.WithRetryHook(func(err error, try int) {
		t.log.WithError(err).WithFields(logrus.Fields{"try": try, "topic": p.Topic, "part": p.Part}).Debug("Append has to be repeated")
	}))
}

// open bars the writers of earlier terms. It returns false if the term is over.
func (t *term) open(w *ledger.Writer) bool {
	if err := w.Open(t.ctx); err != nil {
		t.lost(err)
		return false
	}
	return true
}

// lost ends the term after a failure that says that another host leads.
func (t *term) lost(err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.log.WithError(err).Warn("Lost the leadership")
	t.h.mu.Lock()
	if t.h.term == t {
		t.h.term = nil
		t.h.watch.RecordLeaderEnd(t.h.clock.Now(), t.h.instance)
		t.h.watch.Yield(t.h.clock.Now(), followPause)
	}
	t.h.mu.Unlock()
	t.end("fenced")
}

func (t *term) readState() ([]dispatch.Record, error) {
	ctx, cancel := context.WithTimeout(t.ctx, restoreTimeout)
	defer cancel()
	entries, _, err := ledger.ReadNewest(ctx, t.h.store, statePart)
	if err != nil {
		return nil, err
	}
	records := make([]dispatch.Record, len(entries))
	for i, e := range entries {
		records[i] = dispatch.Record(e.Record)
	}
	return records, nil
}

func (t *term) readWorkers(from int64) (WorkerNews, error) {
	ctx, cancel := context.WithTimeout(t.ctx, rosterTimeout)
	defer cancel()
	return t.h.directory.Workers(ctx, from)
}

// restore rebuilds the state of the terms before.
func (t *term) restore(begun time.Time, records []dispatch.Record, news WorkerNews) {
	t.h.mu.Lock()
	manifest, zones := t.h.manifest, t.h.zones
	t.h.mu.Unlock()
	now := t.h.clock.Now()
	t.mu.Lock()
	t.setCatalog(manifest, zones)
	faults := t.s.Restore(now, t.h.clock.Wall(), records, t.ordersUntil)
	t.applyWorkers(now, news)
	load := t.s.Load()
	t.mu.Unlock()
	for _, f := range faults {
		t.log.WithError(f).Error("Left out a record of the state")
	}
	t.log.WithFields(logrus.Fields{
		"records": len(records), "jobs": load.Jobs, "workers": load.Workers, "unaccounted": load.Unaccounted,
		"took_ms": now.Sub(begun).Milliseconds(), "serial": t.claim.Serial,
	}).Info("Term began")
}

func (t *term) setCatalog(m *Manifest, zones map[string]bool) {
	if m == nil {
		return
	}
	t.s.SetCatalog(m.Catalog)
	t.s.SetEvacuated(zones)
}

// reconfigure takes over the host's newest configuration.
func (t *term) reconfigure() {
	t.h.mu.Lock()
	manifest, zones := t.h.manifest, t.h.zones
	t.h.mu.Unlock()
	t.mu.Lock()
	t.setCatalog(manifest, zones)
	t.mu.Unlock()
	signal(t.wake)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeBatches writes what the scheduler has changed, one batch after the other.
func (t *term) writeBatches(w *ledger.Writer) {
	for {
		t.mu.Lock()
		b, ok := t.s.Batch()
		t.mu.Unlock()
		if !ok {
			select {
			case <-t.ctx.Done():
				return
			case <-t.write:
			}
			continue
		}
		records := make([]ledger.Record, len(b.Records))
		for i, r := range b.Records {
			records[i] = ledger.Record(r)
		}
		t.writing.Store(t.h.clock.Now().UnixNano())
		if err := w.Write(t.ctx, records); err != nil {
			t.lost(err)
			return
		}
		t.writing.Store(0)
		t.mu.Lock()
		t.s.Committed(b)
		close(t.committed)
		t.committed = make(chan struct{})
		t.mu.Unlock()
		signal(t.wake)
	}
}

// flush waits until what has changed so far is durable.
func (t *term) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stuckAfter)
	defer cancel()
	t.mu.Lock()
	b := t.s.Open()
	t.mu.Unlock()
	signal(t.write)
	t.await(ctx, b)
}

// await waits until a ticket is committed. It returns false if the context or the term ended before.
func (t *term) await(ctx context.Context, k dispatch.Ticket) bool {
	for {
		t.mu.Lock()
		done := t.s.Durable() >= k
		committed := t.committed
		t.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.ctx.Done():
			return false
		case <-committed:
		}
	}
}

// stuck reports whether the append in progress has been unanswered for a while.
func (t *term) stuck(now time.Time) bool {
	w := t.writing.Load()
	return (w != 0 && time.Duration(now.UnixNano()-w) > stuckAfter) || t.confirmedAgo(now) > doubtAfter+leadership.RenewInterval
}

// ask carries out a request of a caller.
func (t *term) ask(ctx context.Context, a Ask) Told {
	select {
	case <-t.ready:
	case <-t.ctx.Done():
		return Told{Elsewhere: true}
	case <-ctx.Done():
		return Told{Elsewhere: true}
	}
	if t.ctx.Err() != nil {
		return Told{Elsewhere: true}
	}
	now := t.h.clock.Now()
	switch a.Action {
	case ActionCount:
		t.mu.Lock()
		defer t.mu.Unlock()
		return Told{Outcome: dispatch.OutcomeAccepted, Count: t.s.Queued(a.Queue)}
	case ActionShow:
		t.mu.Lock()
		r := t.s.Lookup(a.ID)
		t.mu.Unlock()
		return t.told(ctx, r)
	case ActionCancel:
		t.mu.Lock()
		r := t.s.Cancel(now, a.ID)
		t.mu.Unlock()
		t.changed()
		return t.told(ctx, r)
	}
	t.mu.Lock()
	if t.stuck(now) && !t.s.Knows(a.ID) {
		t.mu.Unlock()
		return Told{Outcome: dispatch.OutcomeRefused, RetryAfter: stuckRetry, Reason: "the store does not answer"}
	}
	r := t.s.Submit(now, dispatch.Request{ID: a.ID, Queue: a.Queue, Spec: a.Spec, Wall: t.h.clock.Wall()})
	t.mu.Unlock()
	t.changed()
	if r.Ticket == 0 {
		return t.told(ctx, r)
	}
	return t.accept(ctx, a, r)
}

// accept waits until a job is durable. A job that has not been handed to the log yet when the log turns out to be
// stuck is withdrawn and refused, so that its caller need not wait in vain.
func (t *term) accept(ctx context.Context, a Ask, r dispatch.Reply) Told {
	short, cancel := context.WithTimeout(ctx, stuckAfter)
	defer cancel()
	if t.await(short, r.Ticket) {
		return t.told(ctx, r)
	}
	if ctx.Err() == nil && t.ctx.Err() == nil {
		t.mu.Lock()
		withdrawn := t.stuck(t.h.clock.Now()) && t.s.Withdraw(a.ID)
		t.mu.Unlock()
		if withdrawn {
			return Told{Outcome: dispatch.OutcomeRefused, RetryAfter: stuckRetry, Reason: "the store does not answer"}
		}
	}
	return t.told(ctx, r)
}

// changed wakes the loops after a change of the state.
func (t *term) changed() {
	signal(t.write)
	signal(t.wake)
}

// told turns a reply into an answer once it is durable.
func (t *term) told(ctx context.Context, r dispatch.Reply) Told {
	if r.Ticket != 0 && !t.await(ctx, r.Ticket) {
		return Told{Reason: "not durable in time"}
	}
	return Told{Outcome: r.Outcome, State: r.State, RetryAfter: r.RetryAfter, Reason: r.Reason}
}
