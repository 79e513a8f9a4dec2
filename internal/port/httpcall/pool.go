package httpcall

import (
	"net/http"
	"sync"
	"time"
)

// Pool keeps one transport for each peer address. It is safe for concurrent use.
type Pool struct {
	maxConns                 int
	dialTimeout, idleTimeout time.Duration

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// NewPool returns a pool whose transports are made by NewTransport with the given limits, and its clean-up function,
// which closes all idle connections.
func NewPool(maxConns int, dialTimeout, idleTimeout time.Duration) (*Pool, func()) {
	p := &Pool{
		maxConns: maxConns, dialTimeout: dialTimeout, idleTimeout: idleTimeout, transports: map[string]*http.Transport{},
	}
	return p, p.close
}

// Transport returns the transport for a peer address and creates it if there is none.
func (p *Pool) Transport(addr string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[addr]
	if t == nil {
		t = NewTransport(p.maxConns, p.dialTimeout, p.idleTimeout)
		p.transports[addr] = t
	}
	return t
}

// Remove closes the idle connections to a peer that is no longer used and frees its transport.
func (p *Pool) Remove(addr string) {
	p.mu.Lock()
	t := p.transports[addr]
	delete(p.transports, addr)
	p.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// close closes the idle connections to all peers.
func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
}
