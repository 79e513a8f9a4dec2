package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

const (
	// itemOverhead and envelopeOverhead are upper bounds in bytes of what the encoding adds to an item and an envelope.
	itemOverhead     = 32
	envelopeOverhead = 64
	// readBackTimeout is how long an acknowledged batch waits for its read-back before it is sent again. It exceeds
	// the default wait of a long poll, so that a working log gets no duplicates.
	readBackTimeout = 2 * time.Second
)

// writeRequest holds the items of one call of Write, or one snapshot piece.
type writeRequest struct {
	items []record.Item
	size  int
	// ctx is the context of the caller; a request whose ctx is done before it is in a batch is not sent.
	ctx context.Context
	// done receives the result once.
	done chan writeResult
}

// writeResult is the result of a writeRequest.
type writeResult struct {
	receipt Receipt
	err     error
}

// fail ends the request with ErrUnknown.
func (r *writeRequest) fail() { r.done <- writeResult{err: ErrUnknown} }

// batch holds the requests that are sent in one envelope.
type batch struct {
	seq  uint64
	reqs []*writeRequest
	// ctx is done when the batch has been read back or given up, or the feed is stopped.
	ctx    context.Context
	finish context.CancelFunc
}

// Write appends the items in one record and returns after they were read back. It returns ErrUnknown, wrapped,
// when ctx is done first or the batch was given up, and ErrTooLarge when nothing was sent.
func (f *Feed) Write(ctx context.Context, items ...record.Item) (Receipt, error) {
	if len(items) == 0 {
		return Receipt{}, nil
	}
	r := newWriteRequest(ctx, items)
	if r.size > f.itemSpace() {
		return Receipt{}, errors.Wrapf(ErrTooLarge, "stream %s: %d bytes", f.stream, r.size)
	}
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return Receipt{}, errors.Wrapf(ErrUnknown, "stream %s: feed is closed", f.stream)
	}
	f.queue = append(f.queue, r)
	f.mu.Unlock()
	f.wakeWriter()
	select {
	case result := <-r.done:
		if result.err != nil {
			return Receipt{}, errors.Wrapf(result.err, "stream %s", f.stream)
		}
		return result.receipt, nil
	case <-ctx.Done():
		return Receipt{}, errors.Wrapf(ErrUnknown, "stream %s: %v", f.stream, ctx.Err())
	}
}

func newWriteRequest(ctx context.Context, items []record.Item) *writeRequest {
	r := &writeRequest{items: items, ctx: ctx, done: make(chan writeResult, 1)}
	for _, i := range items {
		r.size += len(i.Kind) + len(i.Data) + itemOverhead
	}
	return r
}

// itemSpace returns the space for items in an envelope in bytes.
func (f *Feed) itemSpace() int { return record.MaxSize - envelopeOverhead - len(f.writer) }

// wakeWriter tells the write loop that there may be something to send.
func (f *Feed) wakeWriter() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// writeLoop forms and sends one batch after the other until ctx is done.
func (f *Feed) writeLoop(ctx context.Context) {
	var lastSentAt time.Time
	for seq := uint64(1); ctx.Err() == nil; {
		if wait := f.appendInterval - time.Since(lastSentAt); wait > 0 && !sleep(ctx, wait) {
			return
		}
		b := f.nextBatch(ctx, seq)
		if b == nil {
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		seq++
		lastSentAt = f.deliver(ctx, b)
	}
}

// nextBatch forms a batch of whole requests in order of arrival and at most one snapshot piece. It returns nil if there
// is nothing to send.
func (f *Feed) nextBatch(ctx context.Context, seq uint64) *batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := &batch{seq: seq}
	room := f.itemSpace()
	for len(f.queue) > 0 && f.queue[0].size <= room {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if r.ctx.Err() != nil {
			continue
		}
		room -= r.size
		b.reqs = append(b.reqs, r)
	}
	if len(f.pieces) > 0 && f.pieces[0].size <= room {
		b.reqs = append(b.reqs, f.pieces[0])
		f.pieces = f.pieces[1:]
	}
	if len(b.reqs) == 0 {
		return nil
	}
	b.ctx, b.finish = context.WithCancel(ctx)
	f.inFlight = b
	return b
}

// deliver sends the batch repeatedly until it is read back or given up, and returns when the last append was sent.
func (f *Feed) deliver(ctx context.Context, b *batch) time.Time {
	defer f.endBatch(b)
	e := record.Envelope{Writer: f.writer, Seq: b.seq}
	for _, r := range b.reqs {
		e.Items = append(e.Items, r.items...)
	}
	firstSentAt := time.Now()
	data, err := record.Encode(e)
	if err != nil {
		f.logf("feed: %s: could not encode a batch; its writes are given up: %v", f.stream, err)
		return firstSentAt
	}
	for try := 0; ; try++ {
		sentAt := time.Now()
		left := f.giveUpAfter - sentAt.Sub(firstSentAt)
		appendCtx, cancel := context.WithTimeout(b.ctx, min(f.callTimeout, left))
		_, err := f.log.Append(appendCtx, f.stream, data)
		cancel()
		delay := max(f.appendInterval-time.Since(sentAt), f.backoff(try, 100*time.Millisecond, 5*time.Second))
		if err == nil {
			delay = max(delay, readBackTimeout)
		}
		left = f.giveUpAfter - time.Since(firstSentAt)
		done := !sleep(b.ctx, min(delay, left))
		if done || delay >= left {
			if !done && ctx.Err() == nil {
				f.count(func(c *Counts) { c.Abandoned++ })
				f.logf("feed: %s: gave up batch %d, which was not read back within %s; last append error: %v",
					f.stream, b.seq, f.giveUpAfter, err)
			}
			return sentAt
		}
		f.count(func(c *Counts) { c.Retries++ })
	}
}

// endBatch ends the sending of the batch. Requests that the reader has not resolved fail with ErrUnknown.
func (f *Feed) endBatch(b *batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight == b {
		f.inFlight = nil
		// The batch may have held a snapshot piece, without which the other pieces are useless.
		f.pieces = nil
		for _, r := range b.reqs {
			r.fail()
		}
	}
	b.finish()
}

// resolve returns the item errors to the callers of Write if seq is the sequence number of the batch in flight.
func (f *Feed) resolve(seq, offset uint64, itemErrors []error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.inFlight
	if b == nil || b.seq != seq {
		return
	}
	f.inFlight = nil
	for _, r := range b.reqs {
		n := min(len(r.items), len(itemErrors))
		r.done <- writeResult{receipt: Receipt{Offset: offset, ItemErrors: itemErrors[:n:n]}}
		itemErrors = itemErrors[n:]
	}
	b.finish()
}
