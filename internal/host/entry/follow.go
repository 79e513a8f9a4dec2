package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

const (
	// longPollWait is how long the store may delay an answer when there is no new claim.
	longPollWait = 1500 * time.Millisecond
	// operatorPollWait is the same for the operators' records. A silent connection is noticed only after this time and
	// the read timeout of the store's client. Both have to fit into the time within which a new manifest must be in
	// force, with time left for the read over another connection or for a ping, whose answer has the manifest too.
	operatorPollWait = time.Second
	// claimReadMargin is how long a read of the claims may take in addition to longPollWait.
	claimReadMargin = 700 * time.Millisecond
	// manifestReadMargin is how long a read of a manifest may take in addition to operatorPollWait while its bytes arrive:
	// a few megabytes, for all hosts of a region at once over the link between regions.
	manifestReadMargin = 8 * time.Second
	// retryInterval is the pause after a call that failed.
	retryInterval = 200 * time.Millisecond
)

// followOperatorRecords keeps the manifest and the evacuated zones up to date until the context ends.
func (h *Host) followOperatorRecords(ctx context.Context) {
	from := int64(-1)
	failing := false
	for ctx.Err() == nil {
		readAt := h.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, operatorPollWait+manifestReadMargin)
		changes, err := h.directory.OperatorChanges(callCtx, from, operatorPollWait)
		cancel()
		if err != nil {
			h.recordOperatorReadFailure()
			if !failing && ctx.Err() == nil {
				failing = true
				h.operatorRecordsUnreadable.Store(true)
				h.logger("operators").WithError(err).Warn("Can't read the operators' records; keeping the last ones that were read")
			}
			// A read that has timed out was pause enough.
			sleep(ctx, retryInterval-h.clock.Now().Sub(readAt))
			continue
		}
		if failing {
			failing = false
			h.operatorRecordsUnreadable.Store(false)
			h.logger("operators").Info("The operators' records can be read again")
		}
		from = changes.NextOffset
		for _, recordErr := range changes.Errors {
			h.logger("operators").WithError(recordErr).Warn("Ignored an invalid record of the operators")
		}
		h.applyOperatorChanges(changes)
		h.recordOperatorRead(readAt, changes)
	}
}

// claimKey is the key of the claims in the log.
const claimKey = "leader"

// followClaims keeps the newest claim of the leadership up to date until the context ends.
func (h *Host) followClaims(ctx context.Context) {
	from := int64(-1)
	for ctx.Err() == nil {
		next, err := h.readClaims(ctx, from)
		if err != nil {
			from = -1
			sleep(ctx, retryInterval)
			continue
		}
		from = next
	}
}

// readClaims reads the claims from an offset on, or the newest one if the offset is negative, and returns the next
// offset. If it fails, it returns the given offset and the error of the store.
func (h *Host) readClaims(ctx context.Context, from int64) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, longPollWait+claimReadMargin)
	defer cancel()
	var entries []ledger.Entry
	var next int64
	if from < 0 {
		start := h.clock.Now()
		all, end, err := ledger.ReadNewest(callCtx, h.store, claimPartition)
		if err != nil {
			return from, err
		}
		h.mu.Lock()
		h.storeLatency = h.clock.Now().Sub(start)
		h.mu.Unlock()
		entries, next = all, end
		if len(all) == 0 {
			h.observeClaim(leadership.Claim{Offset: -1})
		}
	} else {
		page, err := h.store.Read(callCtx, claimPartition, from, longPollWait)
		if err != nil {
			return from, err
		}
		entries, next = page.Entries, from+int64(len(page.Entries))
	}
	for _, e := range entries {
		if c, ok := decodeClaim(e); ok {
			h.observeClaim(c)
		}
	}
	return next, nil
}

// decodeClaim decodes a claim from a log entry. It returns false if the entry is not a valid claim.
func decodeClaim(e ledger.Entry) (leadership.Claim, bool) {
	var c leadership.Claim
	if e.Key != claimKey || msgpack.Unmarshal(e.Value, &c) != nil {
		return c, false
	}
	c.Offset = e.Offset
	return c, true
}

// observeClaim processes a claim from the log. A claim that is newer than the one of this host's term ends the term.
func (h *Host) observeClaim(c leadership.Claim) {
	h.mu.Lock()
	isNew := h.elector.ObserveClaim(h.clock.Now(), c)
	leads := h.elector.IsLeader()
	var endedTerm *term
	if isNew {
		h.leaderStamp = 0
		close(h.leaderChanged)
		h.leaderChanged = make(chan struct{})
		if h.term != nil && h.term.claim.Offset != c.Offset {
			endedTerm = h.dropTerm()
		}
	}
	h.mu.Unlock()
	if isNew {
		h.logger("leadership").WithFields(logrus.Fields{
			"leader": c.Name, "serial": c.Serial, "token": c.Token(), "self": leads,
		}).Info("New leader")
	}
	if endedTerm != nil {
		endedTerm.end("a later claim stands in the log")
	}
	h.wakeWatch()
}

// wakeWatch wakes watchLeader.
func (h *Host) wakeWatch() {
	select {
	case h.watchWake <- struct{}{}:
	default:
	}
}
