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
	// leaderWriter names the leader among the writers of a partition.
	leaderWriter = "leader"
	// workerListInterval is the interval at which the list of workers is read: well inside the bounds for a worker that
	// leaves, and much less often than all workers together write to it.
	workerListInterval = 500 * time.Millisecond
	// workerListTimeout bounds one reading.
	workerListTimeout = 2 * time.Second
	// maxDecisionInterval is the longest pause between two decisions: leases lapse and retries fall due without an event.
	maxDecisionInterval = 250 * time.Millisecond
	// minDecisionInterval is the shortest interval of decisions: what arrives meanwhile is decided together. It is a round trip
	// to the log, for which each new job waits anyway.
	minDecisionInterval = 5 * time.Millisecond
	// leaseRenewalMargin is what a hold may take beside its wait: two round trips between regions and a slow worker.
	leaseRenewalMargin = 600 * time.Millisecond
	// leaseRenewalRetryInterval is the pause after a hold that failed, and while ends wait for a log that does not answer.
	leaseRenewalRetryInterval = 150 * time.Millisecond
	// orderTimeout bounds an order.
	orderTimeout = 900 * time.Millisecond
	// adviceTimeout bounds a request for advice, which waits its turn at the adviser.
	adviceTimeout = 4 * time.Second
	// storeSilenceThreshold is how long the store may be silent before the leader looks for a host that it answers.
	storeSilenceThreshold = 1300 * time.Millisecond
	// maxOutage is how long a leader gives orders without the store at most.
	maxOutage = 30 * time.Second
	// candidatePingAge is how recently the store must have answered such a host.
	candidatePingAge = 700 * time.Millisecond
	// stuckAppendThreshold is how long an append may take before new jobs are refused at once.
	stuckAppendThreshold = 800 * time.Millisecond
	// stuckAppendRetryAfter is when callers should come back then.
	stuckAppendRetryAfter = 2 * time.Second
	// restoreTimeout bounds one try to read the state.
	restoreTimeout = 4 * time.Second
)

// term is one host's time as the leader.
type term struct {
	host    *Host
	claim   leadership.Claim
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	endOnce sync.Once
	log     *logrus.Entry

	begunAt time.Time
	// previousOrdersUntil is when the leader before had given its last order at the latest.
	previousOrdersUntil time.Time

	// mu guards s, committed, loops and ready.
	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	// batchCommitted is closed and replaced with each batch that became durable.
	batchCommitted chan struct{}
	leaseLoops     map[string]struct{}
	ready          chan struct{}

	wakeDecisions, wakeWriter chan struct{}
	// confirmedAt is the boot clock in nanoseconds when the last call was sent that the store answered under this
	// term's epoch. appendStartedAt is when the append in progress was first sent, 0 without one.
	confirmedAt, appendStartedAt atomic.Int64
}

func newTerm(ctx context.Context, h *Host, claim leadership.Claim, ordersUntil time.Time) *term {
	ctx, cancel := context.WithCancel(ctx)
	t := &term{
		host: h, claim: claim, ctx: ctx, cancel: cancel, begunAt: h.clock.Now(), previousOrdersUntil: ordersUntil, batchCommitted: make(chan struct{}), leaseLoops: map[string]struct{}{},
		ready: make(chan struct{}), wakeDecisions: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1),
		scheduler: dispatch.New(h.cfg.Limits, claim.Token(), claim.Serial),
		log:       h.logger("leader").WithField("token", claim.Token()),
	}
	t.confirmedAt.Store(h.clock.Now().UnixNano())
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
	t.endOnce.Do(func() {
		t.cancel()
		t.log.WithField("reason", reason).Info("Term ended")
	})
}

// begin bars the leader before, restores the state and starts to lead.
func (t *term) begin() {
	start := t.host.clock.Now()
	writer := t.newWriter(statePartition)
	renewals := t.newWriter(renewalPartition)
	// A slow store makes each call take a good part of a second, so that those which don't depend on each other are
	// made at the same time. The state may be read only once earlier writers are barred.
	var records []dispatch.Record
	var workers WorkerChanges
	var wg sync.WaitGroup
	wg.Go(func() {
		if t.openWriter(renewals) {
			t.recordConfirmation(start)
			t.run(func() { t.renewClaim(renewals) })
		}
	})
	wg.Go(func() { workers = retry(t, func() (WorkerChanges, error) { return t.readWorkers(-1) }) })
	if t.openWriter(writer) {
		records = retry(t, t.readState)
	}
	wg.Wait()
	if t.ctx.Err() != nil {
		return
	}
	t.restore(start, records, workers)
	t.run(func() { t.writeBatches(writer) })
	t.run(t.decisionLoop)
	t.run(func() { t.followWorkers(workers.NextOffset) })
	t.run(func() {
		if err := t.host.readMembers(t.ctx); err != nil {
			t.log.WithError(err).Debug("Can't read the list of hosts")
		}
		t.host.announce(t.ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset})
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
		if !sleep(t.ctx, retryInterval) {
			return v
		}
	}
}

func (t *term) newWriter(p ledger.Partition) *ledger.Writer {
	return ledger.NewWriter(t.host.store, p, leaderWriter, t.claim.Token(), ledger.WithRetryHook(func(err error, try int) {
		t.log.WithError(err).WithFields(logrus.Fields{"try": try, "topic": p.Topic, "part": p.Part}).Debug("Append has to be repeated")
	}))
}

// openWriter bars the writers of earlier terms. It returns false if the term is over.
func (t *term) openWriter(w *ledger.Writer) bool {
	if err := w.Open(t.ctx); err != nil {
		t.loseLeadership(err)
		return false
	}
	return true
}

// loseLeadership ends the term after a failure that says that another host leads.
func (t *term) loseLeadership(err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.log.WithError(err).Warn("Lost the leadership")
	t.host.mu.Lock()
	if t.host.term == t {
		t.host.term = nil
		t.host.watch.Gone(t.host.clock.Now(), t.host.instance)
		t.host.watch.Yield(t.host.clock.Now(), retryInterval)
	}
	t.host.mu.Unlock()
	t.end("fenced")
}

func (t *term) readState() ([]dispatch.Record, error) {
	ctx, cancel := context.WithTimeout(t.ctx, restoreTimeout)
	defer cancel()
	entries, _, err := ledger.ReadNewest(ctx, t.host.store, statePartition)
	if err != nil {
		return nil, err
	}
	records := make([]dispatch.Record, len(entries))
	for i, e := range entries {
		records[i] = dispatch.Record(e.Record)
	}
	return records, nil
}

func (t *term) readWorkers(from int64) (WorkerChanges, error) {
	ctx, cancel := context.WithTimeout(t.ctx, workerListTimeout)
	defer cancel()
	return t.host.directory.WorkerChanges(ctx, from)
}

// restore rebuilds the state of the terms before.
func (t *term) restore(start time.Time, records []dispatch.Record, workers WorkerChanges) {
	t.host.mu.Lock()
	manifest, zones := t.host.manifest, t.host.evacuatedZones
	t.host.mu.Unlock()
	now := t.host.clock.Now()
	t.mu.Lock()
	t.setConfiguration(manifest, zones)
	faults := t.scheduler.Restore(now, t.host.clock.Wall(), records, t.previousOrdersUntil)
	t.applyWorkerChanges(now, workers)
	load := t.scheduler.Load()
	t.mu.Unlock()
	for _, f := range faults {
		t.log.WithError(f).Error("Left out a record of the state")
	}
	t.log.WithFields(logrus.Fields{
		"records": len(records), "jobs": load.Jobs, "workers": load.Workers, "unaccounted": load.Unaccounted,
		"took_ms": now.Sub(start).Milliseconds(), "serial": t.claim.Serial,
	}).Info("Term began")
}

func (t *term) setConfiguration(m *Manifest, zones map[string]bool) {
	if m == nil {
		return
	}
	t.scheduler.SetCatalog(m.Catalog)
	t.scheduler.SetEvacuated(zones)
}

// applyConfiguration takes over the host's newest configuration.
func (t *term) applyConfiguration() {
	t.host.mu.Lock()
	manifest, zones := t.host.manifest, t.host.evacuatedZones
	t.host.mu.Unlock()
	t.mu.Lock()
	t.setConfiguration(manifest, zones)
	t.mu.Unlock()
	signal(t.wakeDecisions)
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
		b, ok := t.scheduler.Batch()
		t.mu.Unlock()
		if !ok {
			select {
			case <-t.ctx.Done():
				return
			case <-t.wakeWriter:
			}
			continue
		}
		records := make([]ledger.Record, len(b.Records))
		for i, r := range b.Records {
			records[i] = ledger.Record(r)
		}
		t.appendStartedAt.Store(t.host.clock.Now().UnixNano())
		if err := w.Write(t.ctx, records); err != nil {
			t.loseLeadership(err)
			return
		}
		t.appendStartedAt.Store(0)
		t.mu.Lock()
		t.scheduler.Committed(b)
		close(t.batchCommitted)
		t.batchCommitted = make(chan struct{})
		t.mu.Unlock()
		signal(t.wakeDecisions)
	}
}

// flush waits until what has changed so far is durable.
func (t *term) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stuckAppendThreshold)
	defer cancel()
	t.mu.Lock()
	b := t.scheduler.Open()
	t.mu.Unlock()
	signal(t.wakeWriter)
	t.awaitDurable(ctx, b)
}

// awaitDurable waits until a ticket is committed. It returns false if the context or the term ended before.
func (t *term) awaitDurable(ctx context.Context, k dispatch.Ticket) bool {
	for {
		t.mu.Lock()
		done := t.scheduler.Durable() >= k
		committed := t.batchCommitted
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

// isAppendStuck reports whether the append in progress has been unanswered for a while.
func (t *term) isAppendStuck(now time.Time) bool {
	w := t.appendStartedAt.Load()
	return (w != 0 && time.Duration(now.UnixNano()-w) > stuckAppendThreshold) || t.sinceConfirmed(now) > storeSilenceThreshold+leadership.RenewEvery
}

// handleRequest carries out a request of a caller.
func (t *term) handleRequest(ctx context.Context, req Request) Response {
	select {
	case <-t.ready:
	case <-t.ctx.Done():
		return Response{NotLeader: true}
	case <-ctx.Done():
		return Response{NotLeader: true}
	}
	if t.ctx.Err() != nil {
		return Response{NotLeader: true}
	}
	now := t.host.clock.Now()
	switch req.Action {
	case ActionCount:
		t.mu.Lock()
		defer t.mu.Unlock()
		return Response{Outcome: dispatch.OutcomeAccepted, Count: t.scheduler.Queued(req.Queue)}
	case ActionShow:
		t.mu.Lock()
		r := t.scheduler.Lookup(req.ID)
		t.mu.Unlock()
		return t.durableResponse(ctx, r)
	case ActionCancel:
		t.mu.Lock()
		r := t.scheduler.Cancel(now, req.ID)
		t.mu.Unlock()
		t.wakeLoops()
		return t.durableResponse(ctx, r)
	}
	t.mu.Lock()
	if t.isAppendStuck(now) && !t.scheduler.Knows(req.ID) {
		t.mu.Unlock()
		return Response{Outcome: dispatch.OutcomeRefused, RetryAfter: stuckAppendRetryAfter, Reason: "the store does not answer"}
	}
	r := t.scheduler.Submit(now, dispatch.Request{ID: req.ID, Queue: req.Queue, Spec: req.Spec, Wall: t.host.clock.Wall()})
	t.mu.Unlock()
	t.wakeLoops()
	if r.Ticket == 0 {
		return t.durableResponse(ctx, r)
	}
	return t.awaitSubmission(ctx, req, r)
}

// awaitSubmission waits until a job is durable. A job that has not been handed to the log yet when the log turns out to be
// stuck is withdrawn and refused, so that its caller need not wait in vain.
func (t *term) awaitSubmission(ctx context.Context, req Request, r dispatch.Reply) Response {
	short, cancel := context.WithTimeout(ctx, stuckAppendThreshold)
	defer cancel()
	if t.awaitDurable(short, r.Ticket) {
		return t.durableResponse(ctx, r)
	}
	if ctx.Err() == nil && t.ctx.Err() == nil {
		t.mu.Lock()
		withdrawn := t.isAppendStuck(t.host.clock.Now()) && t.scheduler.Withdraw(req.ID)
		t.mu.Unlock()
		if withdrawn {
			return Response{Outcome: dispatch.OutcomeRefused, RetryAfter: stuckAppendRetryAfter, Reason: "the store does not answer"}
		}
	}
	return t.durableResponse(ctx, r)
}

// wakeLoops wakes the loops after a change of the state.
func (t *term) wakeLoops() {
	signal(t.wakeWriter)
	signal(t.wakeDecisions)
}

// durableResponse turns a reply into an answer once it is durable.
func (t *term) durableResponse(ctx context.Context, r dispatch.Reply) Response {
	if r.Ticket != 0 && !t.awaitDurable(ctx, r.Ticket) {
		return Response{Reason: "not durable in time"}
	}
	return Response{Outcome: r.Outcome, State: r.State, RetryAfter: r.RetryAfter, Reason: r.Reason}
}
