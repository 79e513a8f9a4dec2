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
	// leaderWriter is the leader's writer name in the partitions of the log.
	leaderWriter = "leader"
	// workerListInterval is the interval at which the list of workers is read: well within the limits for a worker that
	// leaves, and much less often than all workers together write to the list.
	workerListInterval = 500 * time.Millisecond
	// workerListTimeout limits one read of the list of workers.
	workerListTimeout = 2 * time.Second
	// maxDecisionInterval is the longest pause between two decisions: leases expire and retries become due without an
	// event.
	maxDecisionInterval = 250 * time.Millisecond
	// minDecisionInterval is the shortest interval between two decisions; all that arrives in between is decided
	// together. It is one round trip to the log, for which each new job waits anyway.
	minDecisionInterval = 5 * time.Millisecond
	// leaseRenewalMargin is how long a lease renewal may take in addition to its wait time: two round trips between
	// regions and a slow worker.
	leaseRenewalMargin = 600 * time.Millisecond
	// leaseRenewalRetryInterval is the pause after a lease renewal that failed. It also limits the wait for a log that
	// does not answer, while ends of runs are being written.
	leaseRenewalRetryInterval = 150 * time.Millisecond
	// orderTimeout limits an order to a worker.
	orderTimeout = 900 * time.Millisecond
	// adviceTimeout limits a request for advice, which the adviser queues.
	adviceTimeout = 4 * time.Second
	// storeSilenceThreshold is how long the store may leave the leader's renewals unanswered before the leader looks for
	// another host that the store answers.
	storeSilenceThreshold = 900 * time.Millisecond
	// maxCandidatePingAge is the maximum age of another host's last ping for the leader to give up the leadership in
	// favour of that host.
	maxCandidatePingAge = 700 * time.Millisecond
	// stuckAppendThreshold is how long an append may take before new jobs are refused immediately.
	stuckAppendThreshold = 800 * time.Millisecond
	// stuckAppendRetryAfter is the time after which callers of refused jobs should retry.
	stuckAppendRetryAfter = 2 * time.Second
	// restoreTimeout limits one attempt to read the state.
	restoreTimeout = 4 * time.Second
)

// term is the period for which one host leads.
type term struct {
	host    *Host
	claim   leadership.Claim
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	endOnce sync.Once
	// onEnd is called when the term ends.
	onEnd func()
	log   *logrus.Entry

	startedAt time.Time
	// previousOrdersUntil is the latest time at which the previous leader may send an order. begin sets it.
	previousOrdersUntil time.Time

	// mu guards scheduler, configurationRevision, batchCommitted, leaseLoops and renewals.
	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	// configurationRevision is the revision of the scheduler's configuration, 0 before the first.
	configurationRevision uint64
	// batchCommitted is closed and replaced whenever a batch has become durable.
	batchCommitted chan struct{}
	// leaseLoops holds the IDs of the workers that have a lease loop.
	leaseLoops map[string]struct{}
	// renewals holds the functions that cancel the lease renewals in progress, by the ID of the worker, without those that
	// ask which boot answers.
	renewals map[string]context.CancelFunc
	// ready is closed once the state has been restored.
	ready chan struct{}

	// idleSenders passes orders to the goroutines that wait for one.
	idleSenders chan dispatch.Order

	// wakeDecisions wakes decisionLoop, wakeWriter wakes writeBatches.
	wakeDecisions, wakeWriter chan struct{}
	// wakeRenewal has the claim renewed at once.
	wakeRenewal chan struct{}
	// confirmedAt is when the last call was sent that the store answered under this term's epoch, at first the start of
	// the term. appendStartedAt is when the append in progress was first sent, 0 if there is none. Both are in
	// nanoseconds of the boot clock.
	confirmedAt, appendStartedAt atomic.Int64
	// confirmed is closed and replaced whenever confirmedAt has changed. It holds a chan struct{}.
	confirmed atomic.Value
	// recordsLeftOut is set once the log has permanently rejected a record of the state.
	recordsLeftOut atomic.Bool
	// previousMembers are the recorded active members of the predecessor. Host.mu guards them.
	previousMembers []string
	// followedAt is when one of them was first seen to follow this leader, in nanoseconds of the boot clock, 0 if none was.
	followedAt atomic.Int64
	// reporters are the hosts on whose reports the term may go on in an outage.
	reporters *reporters
	// renewal is the position of the term's newest renewal in the log, 0 if there is none.
	renewal atomic.Int64
}

// newTerm starts a term for a claim of this host.
func newTerm(ctx context.Context, h *Host, claim leadership.Claim) *term {
	ctx, cancel := context.WithCancel(ctx)
	t := &term{
		host: h, claim: claim, ctx: ctx, cancel: cancel, startedAt: h.clock.Now(),
		batchCommitted: make(chan struct{}), leaseLoops: map[string]struct{}{},
		renewals: map[string]context.CancelFunc{}, reporters: &reporters{},
		ready: make(chan struct{}), idleSenders: make(chan dispatch.Order),
		wakeDecisions: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), wakeRenewal: make(chan struct{}, 1),
		scheduler: dispatch.New(h.cfg.Limits, claim.Token(), claim.Serial),
		log:       h.logger("leader").WithField("token", claim.Token()),
	}
	t.confirmedAt.Store(h.clock.Now().UnixNano())
	t.confirmed.Store(make(chan struct{}))
	t.onEnd = func() {}
	if h.cfg.OnTerm != nil {
		t.onEnd = h.cfg.OnTerm()
	}
	t.run(t.begin)
	return t
}

// run starts a goroutine of the term.
func (t *term) run(fn func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		fn()
	}()
}

// end stops the term. It does not wait for its goroutines, which send no further orders.
func (t *term) end(reason string) {
	t.endOnce.Do(func() {
		t.cancel()
		t.onEnd()
		t.host.outcomes.end(t)
		t.log.WithField("reason", reason).Info("Term ended")
	})
}

// begin fences the previous leader, restores the state and starts the loops of the term.
func (t *term) begin() {
	t.host.outcomes.begin(t)
	start := t.host.clock.Now()
	writer := t.newWriter(statePartition, ledger.WithRejectHook(t.rejectRecord))
	renewals := t.newWriter(renewalPartition)
	// With a slow store, each call takes a considerable part of a second, so independent calls are made concurrently.
	// The state may be read only after earlier writers are fenced.
	var records []dispatch.Record
	var workerList workerListRead
	var wg sync.WaitGroup
	wg.Go(func() {
		if t.openWriter(renewals) {
			t.recordConfirmation(start)
			t.previousOrdersUntil = t.predecessorEnd()
			t.run(func() { t.renewClaim(renewals) })
		}
	})
	wg.Go(func() { workerList = retry(t, func() (workerListRead, error) { return t.readWorkers(-1) }) })
	if t.openWriter(writer) {
		records = retry(t, t.readState)
	}
	wg.Wait()
	if t.ctx.Err() != nil {
		return
	}
	t.restore(start, records, workerList)
	t.run(t.confirmPredecessorEnd)
	t.run(func() { t.writeBatches(writer) })
	t.run(t.decisionLoop)
	t.run(func() { t.followWorkers(workerList.NextOffset) })
	t.run(func() {
		if err := t.host.readMembers(t.ctx); err != nil {
			t.log.WithError(err).Debug("Can't read the list of hosts")
		}
		t.host.announce(t.ctx, Announcement{Claim: t.claim, Offset: t.claim.Offset})
	})
	close(t.ready)
}

// predecessorEnd returns the latest time at which the previous leader may send an order. Its renewals must be fenced.
func (t *term) predecessorEnd() time.Time {
	ctx, cancel := context.WithTimeout(t.ctx, pingTimeout)
	defer cancel()
	t.host.mu.Lock()
	predecessor := t.host.elector.Predecessor()
	t.host.mu.Unlock()
	newest, err := t.host.newestRenewal(ctx, predecessor)
	if err != nil {
		t.log.WithError(err).Warn("Can't read the previous leader's renewals; it may have renewed until now")
		newest = -1
	}
	if err := t.readPreviousMembers(ctx, predecessor); err != nil {
		t.log.WithError(err).Warn("Can't read the previous leader's active members; it may go on in an outage")
	}
	t.host.mu.Lock()
	defer t.host.mu.Unlock()
	return t.host.elector.PredecessorEnd(t.host.clock.Now(), t.host.cfg.Limits.MaxUnconfirmedTerm, newest)
}

// confirmPredecessorEnd asks the host of the previous leader whether that has ended, until it has or can send no order any
// more. Without an answer, the leases that it may have granted until then are waited for.
func (t *term) confirmPredecessorEnd() {
	t.host.mu.Lock()
	predecessor := t.host.elector.Predecessor()
	t.host.mu.Unlock()
	if !predecessor.Known() || predecessor.Address == t.host.cfg.PeerAddress {
		return
	}
	until := t.previousOrdersUntil
	for now := t.host.clock.Now(); now.Before(until); now = t.host.clock.Now() {
		if end := t.previousOrdersEnd(); !end.IsZero() && end.Before(until) {
			until = end
			t.mu.Lock()
			t.scheduler.EndPreviousOrders(end)
			t.mu.Unlock()
			t.log.WithField("leader", predecessor.Name).Info("A member of the previous leader follows this one")
		}
		if r, err := t.host.sendPing(t.ctx, predecessor.Address, now); err == nil && hasEnded(predecessor, r) {
			endedAt := t.host.clock.Now()
			t.mu.Lock()
			t.scheduler.EndPreviousOrders(endedAt)
			t.mu.Unlock()
			t.log.WithFields(logrus.Fields{
				"leader": predecessor.Name, "shortened_ms": t.previousOrdersUntil.Sub(endedAt).Milliseconds(),
			}).Info("The previous leader has confirmed its end")
			return
		}
		if !sleep(t.ctx, retryInterval) {
			return
		}
	}
}

// hasEnded reports whether a host's answer shows that the leader with the claim has ended. The claim must be fenced.
func hasEnded(c leadership.Claim, r PingResponse) bool {
	return r.Instance != c.Instance || !r.IsLeader
}

// retry repeats a call until it succeeds or the term ends. In the latter case, it returns the last result.
func retry[T any](t *term, call func() (T, error)) T {
	for {
		v, err := call()
		if err == nil {
			return v
		}
		if t.ctx.Err() == nil {
			t.log.WithError(err).Warn("Restoring the state failed; trying again")
		}
		if !sleep(t.ctx, retryInterval) {
			return v
		}
	}
}

// retriesPerWarning is the number of failed tries of an append after which the next warning is logged.
const retriesPerWarning = 20

// newWriter returns a writer for a partition with the term's token as its epoch.
func (t *term) newWriter(p ledger.Partition, opts ...ledger.Option) *ledger.Writer {
	opts = append(opts, ledger.WithRetryHook(func(err error, try int) {
		level := logrus.DebugLevel
		if try%retriesPerWarning == 0 {
			level = logrus.WarnLevel
		}
		t.log.WithError(err).WithFields(logrus.Fields{
			"try": try, "topic": p.Topic, "part": p.Index,
		}).Log(level, "Append failed; trying again")
	}))
	return ledger.NewWriter(t.host.store, p, leaderWriter, t.claim.Token(), opts...)
}

// rejectRecord handles a record of the state that the log rejects permanently. The batch that holds it goes on without it.
func (t *term) rejectRecord(r ledger.Record, err error) {
	t.log.WithError(err).WithFields(logrus.Fields{
		"key": r.Key, "bytes": len(r.Key) + len(r.Value),
	}).Error("The log permanently rejects a record of the state; it is left out")
	t.recordsLeftOut.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.RejectRecord(t.host.clock.Now(), r.Key)
}

// openWriter fences the writers of earlier terms. It returns false if the term has ended.
func (t *term) openWriter(w *ledger.Writer) bool {
	if err := w.Open(t.ctx); err != nil {
		t.loseLeadership(err)
		return false
	}
	return true
}

// loseLeadership ends the term after an error that means that another host leads.
func (t *term) loseLeadership(err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.log.WithError(err).Warn("Another host has taken over the leadership; ending the term")
	t.host.mu.Lock()
	if t.host.term == t {
		t.host.dropTerm()
		t.host.elector.RecordLeaderEnd(t.host.clock.Now(), t.claim.Offset)
		t.host.elector.Yield(t.host.clock.Now(), retryInterval)
	}
	t.host.mu.Unlock()
	t.end("fenced")
}

// readState reads the newest record of each key of the state.
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

// workerListRead is what a read of the list of workers has shown, with the times at which it was sent and answered.
type workerListRead struct {
	WorkerChanges
	askedAt, answeredAt time.Time
}

// readWorkers reads the changes of the list of workers from an offset on.
func (t *term) readWorkers(from int64) (workerListRead, error) {
	ctx, cancel := context.WithTimeout(t.ctx, workerListTimeout)
	defer cancel()
	askedAt := t.host.clock.Now()
	changes, err := t.host.directory.WorkerChanges(ctx, from)
	return workerListRead{changes, askedAt, t.host.clock.Now()}, err
}

// restore rebuilds the scheduler's state from the records of earlier terms.
func (t *term) restore(start time.Time, records []dispatch.Record, workerList workerListRead) {
	t.host.mu.Lock()
	c := t.host.configuration
	t.host.mu.Unlock()
	now := t.host.clock.Now()
	t.mu.Lock()
	t.setConfiguration(c)
	recordErrs := t.scheduler.Restore(now, t.host.clock.Wall(), records, t.previousOrdersUntil)
	t.applyWorkerList(now, workerList)
	summary := t.scheduler.Summary()
	t.mu.Unlock()
	t.logInvalidEntries(workerList.WorkerChanges)
	for _, recordErr := range recordErrs {
		t.log.WithError(recordErr).Error("Ignored an invalid record of the state")
	}
	t.log.WithFields(logrus.Fields{
		"records": len(records), "jobs": summary.Jobs, "workers": summary.Workers, "unaccounted": summary.Unaccounted,
		"took_ms": now.Sub(start).Milliseconds(), "serial": t.claim.Serial,
	}).Info("Term began")
}

// setConfiguration passes a configuration to the scheduler. It returns false if there is no manifest yet, or the scheduler has
// this configuration or a later one. t.mu must be held.
func (t *term) setConfiguration(c configuration) bool {
	if c.manifest == nil || c.revision <= t.configurationRevision {
		return false
	}
	t.configurationRevision = c.revision
	t.scheduler.SetCatalog(c.manifest.Catalog)
	t.scheduler.SetEvacuated(c.evacuated)
	return true
}

// applyConfiguration has the next decision made under the configuration.
func (t *term) applyConfiguration(c configuration) {
	t.mu.Lock()
	isNew := t.setConfiguration(c)
	t.mu.Unlock()
	if !isNew {
		return
	}
	signal(t.wakeDecisions)
	t.log.WithFields(logrus.Fields{
		"revision": c.revision, "version": c.manifest.Catalog.Version, "zones": c.evacuated,
	}).Info("Configuration applied")
}

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeBatches writes the scheduler's changes to the log, one batch at a time.
func (t *term) writeBatches(w *ledger.Writer) {
	for {
		t.mu.Lock()
		b, ok := t.scheduler.TakeBatch()
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
		t.scheduler.MarkCommitted(b)
		close(t.batchCommitted)
		t.batchCommitted = make(chan struct{})
		t.mu.Unlock()
		signal(t.wakeDecisions)
	}
}

// prepareHandOver waits until all that the next leader should know is durable, at most for stuckAppendThreshold.
func (t *term) prepareHandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stuckAppendThreshold)
	defer cancel()
	now := t.host.clock.Now()
	t.mu.Lock()
	t.scheduler.PrepareHandOver(now)
	batch := t.scheduler.OpenBatch()
	t.mu.Unlock()
	signal(t.wakeWriter)
	t.awaitDurable(ctx, batch)
}

// awaitDurable waits until a batch is durable. It returns false if the context or the term ended before.
func (t *term) awaitDurable(ctx context.Context, batch dispatch.BatchID) bool {
	for {
		t.mu.Lock()
		done := t.scheduler.CommittedBatch() >= batch
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

// isAppendStuck reports whether the append in progress has been unanswered for longer than stuckAppendThreshold, or the
// last renewal that the store answered was sent longer ago than storeSilenceThreshold and one renewal interval.
func (t *term) isAppendStuck(now time.Time) bool {
	startedAt := t.appendStartedAt.Load()
	return (startedAt != 0 && time.Duration(now.UnixNano()-startedAt) > stuckAppendThreshold) ||
		t.sinceConfirmed(now) > storeSilenceThreshold+leadership.RenewInterval
}

// handleRequest carries out a caller's request.
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
		return Response{Outcome: dispatch.OutcomeAccepted, Count: t.scheduler.QueuedJobs(req.Queue)}
	case ActionShow:
		r := dispatch.Reply{Outcome: dispatch.OutcomeUnknownJob}
		t.mu.Lock()
		if t.scheduler.IsVisible(req.ID, req.Team) {
			r = t.scheduler.JobStatus(req.ID)
		}
		t.mu.Unlock()
		return t.currentResponse(ctx, now, r)
	case ActionCancel:
		r := dispatch.Reply{Outcome: dispatch.OutcomeUnknownJob}
		t.mu.Lock()
		if t.scheduler.IsVisible(req.ID, req.Team) {
			r = t.scheduler.Cancel(now, req.ID, req.Team)
		}
		t.mu.Unlock()
		t.wakeLoops()
		return t.currentResponse(ctx, now, r)
	}
	t.mu.Lock()
	if t.isAppendStuck(now) && !t.scheduler.HasJob(req.ID) {
		t.mu.Unlock()
		return refusedByStore()
	}
	r := t.scheduler.Submit(now, dispatch.Request{
		ID: req.ID, Queue: req.Queue, Team: req.Team, Spec: req.Spec, WallTime: t.host.clock.Wall(),
		CatalogVersion: req.ManifestVersion,
	})
	t.mu.Unlock()
	t.wakeLoops()
	if r.Batch == 0 {
		return t.durableResponse(ctx, r)
	}
	return t.awaitSubmission(ctx, req, r)
}

// awaitSubmission waits until a submitted job is durable. If the log turns out to be stuck, a job that has not been
// passed to the log yet is withdrawn and refused, so that its caller doesn't wait for nothing.
func (t *term) awaitSubmission(ctx context.Context, req Request, r dispatch.Reply) Response {
	short, cancel := context.WithTimeout(ctx, stuckAppendThreshold)
	defer cancel()
	if !t.awaitDurable(short, r.Batch) && ctx.Err() == nil && t.ctx.Err() == nil {
		t.mu.Lock()
		withdrawn := t.isAppendStuck(t.host.clock.Now()) && t.scheduler.Withdraw(req.ID)
		t.mu.Unlock()
		if withdrawn {
			return refusedByStore()
		}
	}
	resp := t.durableResponse(ctx, r)
	if resp.Outcome == dispatch.OutcomeAccepted && !t.hasJob(req.ID) {
		// The batch is durable without the job.
		if t.recordsLeftOut.Load() {
			return Response{Outcome: dispatch.OutcomeRejected, Reason: "the log does not take the job"}
		}
		// Another request with the same ID has withdrawn it.
		return refusedByStore()
	}
	return resp
}

// refusedByStore returns the response to a submission that is not in the log, since the store does not answer.
func refusedByStore() Response {
	return Response{
		Outcome: dispatch.OutcomeRefused, RetryAfter: stuckAppendRetryAfter, Reason: "the store does not answer",
	}
}

// hasJob reports whether the job was accepted, and neither withdrawn nor left out of the log.
func (t *term) hasJob(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.HasJob(id)
}

// wakeLoops wakes the loops that write batches and make decisions after a change of the state.
func (t *term) wakeLoops() {
	signal(t.wakeWriter)
	signal(t.wakeDecisions)
}

// currentResponse converts the scheduler's reply to a request that arrived at the given time to a Response. That a job is
// unknown is known only once the term is confirmed: a later leader may have accepted the job before.
func (t *term) currentResponse(ctx context.Context, arrivedAt time.Time, r dispatch.Reply) Response {
	if r.Outcome == dispatch.OutcomeUnknownJob && !t.awaitConfirmation(ctx, arrivedAt) {
		return Response{Reason: "the leadership is not confirmed in time"}
	}
	return t.durableResponse(ctx, r)
}

// durableResponse converts the scheduler's reply to a Response once it is durable.
func (t *term) durableResponse(ctx context.Context, r dispatch.Reply) Response {
	if r.Batch != 0 && !t.awaitDurable(ctx, r.Batch) {
		return Response{Reason: "not durable in time"}
	}
	return Response{Outcome: r.Outcome, State: r.State, RetryAfter: r.RetryAfter, Reason: r.Reason}
}
