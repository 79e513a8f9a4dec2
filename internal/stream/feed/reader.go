package feed

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

const (
	// pageLimit is the number of records asked for in one read.
	pageLimit = 256
	// firstWindow is the number of records in the first window of the backward scan for a snapshot. Each further window is
	// twice as large.
	firstWindow = 64
	// idlePause limits the read rate if a log answers long polls at once with empty pages.
	idlePause = 10 * time.Millisecond
)

// readLoop joins the stream and applies its records until ctx is done. It joins again after records expired unread.
func (f *Feed) readLoop(ctx context.Context) {
	joined := false
	for failures := 0; ctx.Err() == nil; {
		var err error
		if joined {
			err = f.poll(ctx)
		} else if err = f.join(ctx); err == nil {
			joined = true
		}
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, logservice.ErrExpired) && joined {
			f.logf("feed: %s: records from offset %d have expired; looking for a snapshot", f.stream, f.cursor.Position())
			joined = false
			continue
		}
		f.count(func(c *Counts) { c.ReadErrors++ })
		if failures == 0 {
			f.logf("feed: %s: read failed, retrying: %v", f.stream, err)
		}
		// At most 1 s, so that the view is fresh again soon after an outage.
		sleep(ctx, f.backoff(failures, 50*time.Millisecond, time.Second))
		failures++
	}
}

// read reads one page with a timeout of the wait plus callTimeout.
func (f *Feed) read(ctx context.Context, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.callTimeout)
	defer cancel()
	page, err := f.log.Read(ctx, f.stream, from, limit, wait)
	return page, errors.Wrapf(err, "read of %s from %d", f.stream, from)
}

// poll reads one page with a long poll, applies its records and schedules a snapshot at the end of the stream.
func (f *Feed) poll(ctx context.Context) error {
	sentAt := f.clock()
	page, err := f.read(ctx, f.cursor.Position(), pageLimit, f.pollWait)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		if err := f.apply(r); err != nil {
			return err
		}
	}
	f.checkTruncation(page.Next)
	atEnd := f.cursor.Position() == page.Next
	f.publish(atEnd, sentAt)
	if atEnd {
		f.scheduleSnapshot(page)
	}
	if len(page.Records) == 0 && f.clock().Sub(sentAt) < idlePause {
		sleep(ctx, idlePause)
	}
	return nil
}

// checkTruncation counts and logs a truncation when the stream is first found to end before the reader's position.
// Later calls report nothing more until the stream has reached the position.
func (f *Feed) checkTruncation(next uint64) {
	truncated := next < f.cursor.Position()
	if truncated && !f.truncated {
		f.count(func(c *Counts) { c.Truncations++ })
		f.logf("feed: %s: the stream ends at offset %d, before the reader's position %d; the view is stale until it grows",
			f.stream, next, f.cursor.Position())
	}
	f.truncated = truncated
}

// publish makes the position and the counts visible to other goroutines. At the end of the stream it also publishes
// sent, when the read was sent, as the time as of which the view is fresh, and closes ready.
func (f *Feed) publish(atEnd bool, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pos = f.cursor.Position()
	c := f.cursor.counts
	f.counts.Records, f.counts.Duplicates = c.Records, c.Duplicates
	f.counts.NewerVersion, f.counts.Malformed = c.NewerVersion, c.Malformed
	f.counts.Rejected, f.counts.UnknownKind = c.Rejected, c.UnknownKind
	if !atEnd {
		return
	}
	f.freshAsOf = sentAt
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// apply passes the items of one record to the sink and, if the record is this writer's, resolves the batch in flight.
func (f *Feed) apply(r logservice.Record) error {
	e, ok, err := f.cursor.Next(r)
	if err != nil || !ok {
		return err
	}
	itemErrors := make([]error, len(e.Items))
	pieces := 0
	for i, item := range e.Items {
		if item.Kind == KindSnapshotPiece {
			pieces++
			f.trackPiece(r.Offset, item)
			continue
		}
		itemErrors[i] = f.applyItem(r.Offset, item)
	}
	if pieces < len(e.Items) {
		f.tracker.records++
	}
	if e.Writer == f.writer {
		f.resolve(e.Seq, r.Offset, itemErrors)
	}
	return nil
}

// applyItem passes one item to the sink and counts its error.
func (f *Feed) applyItem(offset uint64, item record.Item) error {
	c := &f.cursor.counts
	if f.kinds != nil && !f.kinds[item.Kind] {
		c.UnknownKind++
		return errors.Wrapf(ErrUnknownKind, "%q", item.Kind)
	}
	err := f.sink.Apply(f.clock(), offset, item)
	switch {
	case errors.Is(err, record.ErrMalformed):
		c.Malformed++
	case err != nil:
		c.Rejected++
	}
	return err
}

// trackPiece passes a snapshot piece of any writer to the tracker.
func (f *Feed) trackPiece(offset uint64, item record.Item) {
	p, err := record.DecodeItem[Piece](item)
	if err != nil {
		f.cursor.counts.Malformed++
		return
	}
	if f.tracker.addPiece(offset, p) {
		f.newestSnapshotAt = f.clock()
	}
}

// join positions the reader at the newest complete snapshot or, without one, at the oldest retained record.
func (f *Feed) join(ctx context.Context) error {
	page, err := f.readBounds(ctx)
	if err != nil {
		return err
	}
	scan := NewSnapshotScan()
	hi := page.Next
	for window := uint64(firstWindow); hi > page.First; window *= 2 {
		lo := page.First
		if hi-lo > window {
			lo = hi - window
		}
		if err := f.scanWindow(ctx, scan, lo, hi); err != nil {
			return err
		}
		for {
			restored, refused := f.restore(scan, page.First)
			if restored {
				return nil
			}
			if !refused {
				break
			}
			// While the refused snapshot was the best one, the scan ignored the pieces of older snapshots.
			if err := f.scanWindow(ctx, scan, lo, page.Next); err != nil {
				return err
			}
		}
		hi = lo
	}
	pos := f.cursor.Position()
	// Streams start at offset 0 or 1; a first retained record beyond that means that earlier ones expired.
	if page.First > max(pos, 1) {
		f.count(func(c *Counts) { c.Gaps++ })
		f.logf("feed: %s: records %d to %d expired unread and no snapshot covers them; the view is incomplete",
			f.stream, pos, page.First-1)
	}
	f.cursor.SkipTo(page.First, f.cursor.Writers())
	f.newestSnapshotAt = f.clock()
	return nil
}

// readBounds reads the first and next offset of the stream and returns a page with them.
func (f *Feed) readBounds(ctx context.Context) (logservice.Page, error) {
	page, err := f.read(ctx, f.cursor.Position(), 1, 0)
	if errors.Is(err, logservice.ErrExpired) && page.Next == 0 {
		// The error came without offsets. A read beyond the end cannot have expired.
		page, err = f.read(ctx, math.MaxInt64, 1, 0)
	}
	if errors.Is(err, logservice.ErrExpired) && page.Next > 0 {
		err = nil
	}
	return page, err
}

// scanWindow adds the records with offsets in [lo, hi) to the scan.
func (f *Feed) scanWindow(ctx context.Context, scan *SnapshotScan, lo, hi uint64) error {
	for lo < hi {
		page, err := f.read(ctx, lo, int(min(hi-lo, pageLimit)), 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return errors.Newf("read of %s from %d returned no records before the end %d", f.stream, lo, hi)
		}
		for _, r := range page.Records {
			scan.Add(r)
		}
		lo = page.Records[len(page.Records)-1].Offset + 1
	}
	return nil
}

// restore restores the sink from the best snapshot of the scan. It reports whether it did, and whether the sink refused
// the snapshot.
func (f *Feed) restore(scan *SnapshotScan, first uint64) (restored, refused bool) {
	s, ok := scan.Best(first)
	// A snapshot below the reader's position would apply records twice.
	if !ok || s.Base+1 < f.cursor.Position() {
		return false, false
	}
	if err := f.sink.Restore(s.State, s.Base); err != nil {
		f.logf("feed: %s: could not restore snapshot %s, looking for an older one: %v", f.stream, s.ID, err)
		scan.Refuse(s.ID)
		return false, true
	}
	f.cursor.SkipTo(s.Base+1, s.Writers)
	f.tracker.markRestored(s.Base)
	f.newestSnapshotAt = f.clock()
	f.count(func(c *Counts) { c.Restores++ })
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.inFlight; b != nil && b.seq <= f.cursor.LastSeq(f.writer) {
		// The snapshot contains the effect of the batch, but not the errors of its items.
		f.inFlight = nil
		for _, r := range b.reqs {
			r.fail()
		}
		b.finish()
	}
	return true, false
}

// scheduleSnapshot queues a snapshot once one has been needed for a random delay. The delay lets the other hosts see
// the first snapshot that is written, so that not all of them write one.
func (f *Feed) scheduleSnapshot(page logservice.Page) {
	now := f.clock()
	if !f.needsSnapshot(now, page) {
		f.snapshotDueAt = time.Time{}
		return
	}
	if f.snapshotDueAt.IsZero() {
		f.snapshotDueAt = now.Add(time.Duration(f.random() * float64(f.snapshotJitter)))
	}
	if now.Before(f.snapshotDueAt) {
		return
	}
	f.snapshotDueAt = time.Time{}
	f.queueSnapshot()
}

// needsSnapshot reports whether the newest complete snapshot is too old. A snapshot that another host completed while
// this one waited makes it false.
func (f *Feed) needsSnapshot(now time.Time, page logservice.Page) bool {
	if f.recordsPerSnapshot == 0 || page.Next <= 1 {
		return false
	}
	newRecords := f.tracker.recordsSinceSnapshot()
	switch {
	case newRecords >= f.recordsPerSnapshot:
		return true
	case f.retention > 0 && now.Sub(f.newestSnapshotAt) >= f.retention/4:
		return true
	case page.First <= 1:
		return false
	}
	// Records have expired, so the snapshot must stay well inside the retained range.
	return newRecords > 0 && newRecords*4 >= page.Next-page.First || f.tracker.base+1 < page.First
}

// queueSnapshot queues the pieces of a snapshot of the current state, unless those of the last one are still being
// written.
func (f *Feed) queueSnapshot() {
	// A reader that missed records must not spread its incomplete state to hosts that join.
	if f.Counts().Gaps > 0 {
		return
	}
	f.mu.Lock()
	busy := len(f.pieces) > 0
	f.mu.Unlock()
	if busy {
		return
	}
	state, err := f.sink.Snapshot()
	if err != nil {
		f.logf("feed: %s: could not take a snapshot: %v", f.stream, err)
		return
	}
	f.snapshotCount++
	pieces, err := SplitSnapshot(Snapshot{
		ID: f.writer + "/" + strconv.FormatUint(f.snapshotCount, 10), Base: f.cursor.Position() - 1,
		Writers: f.cursor.Writers(), State: state,
	})
	if err != nil {
		f.logf("feed: %s: could not encode the snapshot: %v", f.stream, err)
		return
	}
	reqs := make([]*writeRequest, 0, len(pieces))
	for _, p := range pieces {
		item, err := record.EncodeItem(KindSnapshotPiece, p)
		if err != nil {
			f.logf("feed: %s: could not encode a snapshot piece: %v", f.stream, err)
			return
		}
		reqs = append(reqs, newWriteRequest(context.Background(), []record.Item{item}))
	}
	f.mu.Lock()
	f.pieces = reqs
	f.counts.Snapshots++
	f.mu.Unlock()
	f.wakeWriter()
}
