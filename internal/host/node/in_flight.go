package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// inFlightRequests counts the requests in flight and lets a planned stop wait until there are none.
type inFlightRequests struct {
	mu    sync.Mutex
	count int
	// closed is set once a planned stop has found no request in flight. After that no request may begin.
	closed bool
	// idle is closed when closed is set. It is nil until a planned stop waits.
	idle chan struct{}
}

// begin counts one more request in flight. It returns false, and counts none, once closed is set.
func (r *inFlightRequests) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.count++
	return true
}

// end counts one request less in flight.
func (r *inFlightRequests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	r.closeIfIdle()
}

// closeIfIdle sets closed if a planned stop waits and no request is in flight. The caller holds mu.
func (r *inFlightRequests) closeIfIdle() {
	if r.idle != nil && !r.closed && r.count == 0 {
		r.closed = true
		close(r.idle)
	}
}

// closeWhenIdle waits until no request is in flight and then lets none begin. It returns an error if ctx ends before.
func (r *inFlightRequests) closeWhenIdle(ctx context.Context) error {
	r.mu.Lock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	r.closeIfIdle()
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: requests are still in flight")
	}
}

// stoppingReply returns the reply to a request without a key that arrives after the host has stopped serving.
func stoppingReply() outcome.Reply {
	return outcome.NotRunReply(outcome.ReasonStopping, "this host is stopping; ask another one")
}

// stoppingKeyedReply returns the reply to a request with a key that arrives after the host has stopped serving. Its
// outcome is unknown, since another host may have run it.
func stoppingKeyedReply() outcome.Reply {
	return outcome.UnknownReply(outcome.ReasonStopping, "this host is stopping; send the same key to another one")
}
