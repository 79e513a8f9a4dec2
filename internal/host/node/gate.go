package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// gate counts what is in flight and lets a planned stop wait for it.
type gate struct {
	mu     sync.Mutex
	flying int
	// closed is set once a planned stop found nothing in flight. Nothing enters after that.
	closed bool
	// empty is closed when closed is set. It is nil until a stop waits.
	empty chan struct{}
}

// enter counts one request and returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.flying++
	return true
}

// leave ends one request.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flying--
	g.shut()
}

// shut closes the gate if a stop waits and nothing is in flight, with mu held.
func (g *gate) shut() {
	if g.empty != nil && !g.closed && g.flying == 0 {
		g.closed = true
		close(g.empty)
	}
}

// drain waits until nothing is in flight and closes the gate.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	g.shut()
	empty := g.empty
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: requests are still in flight")
	}
}

// stopping is the reply to a request without a key after the gate was closed.
func stopping() outcome.Reply {
	return outcome.Refuse(outcome.ReasonStopping, "this host is stopping; ask another one")
}

// stoppingKeyed is the reply to a request with a key: another host may have run it.
func stoppingKeyed() outcome.Reply {
	return outcome.Doubt(outcome.ReasonStopping, "this host is stopping; send the same key to another one")
}
