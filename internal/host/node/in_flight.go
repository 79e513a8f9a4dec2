package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// inFlightRequests counts what is in flight and lets a planned stop wait for it.
type inFlightRequests struct {
	mu    sync.Mutex
	count int
	// closed is set once a planned stop found nothing in flight. Nothing enters after that.
	closed bool
	// idle is closed when closed is set. It is nil until a stop waits.
	idle chan struct{}
}

// begin counts one request and returns false if the gate is closed.
func (g *inFlightRequests) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// end ends one request.
func (g *inFlightRequests) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	g.closeIfIdle()
}

// closeIfIdle closes the gate if a stop waits and nothing is in flight, with mu held.
func (g *inFlightRequests) closeIfIdle() {
	if g.idle != nil && !g.closed && g.count == 0 {
		g.closed = true
		close(g.idle)
	}
}

// closeWhenIdle waits until nothing is in flight and closes the gate.
func (g *inFlightRequests) closeWhenIdle(ctx context.Context) error {
	g.mu.Lock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	g.closeIfIdle()
	empty := g.idle
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: requests are still in flight")
	}
}

// stoppingReply is the reply to a request without a key after the gate was closed.
func stoppingReply() outcome.Reply {
	return outcome.Refuse(outcome.ReasonStopping, "this host is stopping; ask another one")
}

// stoppingKeyedReply is the reply to a request with a key: another host may have run it.
func stoppingKeyedReply() outcome.Reply {
	return outcome.Doubt(outcome.ReasonStopping, "this host is stopping; send the same key to another one")
}
