package edge

import (
	"net"
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// Listener is a listener whose connections are counted in a share.
type Listener struct {
	net.Listener
	edge   *Edge
	server string
	// limits returns the limits in force. It is never called with the lock held.
	limits func() Limits

	mu    sync.Mutex
	share *limit.Share
	// conns holds the connections of the share.
	conns map[*limit.Conn]*conn
}

// Accept implements net.Listener. It closes another connection, or else the new one, if there are too many.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner, l.limits()); c != nil {
			return c, nil
		}
	}
}

// admit takes a connection into the share. It closes the connection and returns nil if there is no room.
func (l *Listener) admit(inner net.Conn, limits Limits) *conn {
	now := time.Now()
	l.mu.Lock()
	state, victim := l.share.Admit(now)
	if state == nil {
		l.mu.Unlock()
		l.edge.report(l.server, ReasonFull)
		_ = inner.Close()
		return nil
	}
	closing := l.conns[victim]
	delete(l.conns, victim)
	c := &conn{Conn: inner, l: l, state: state, inHeader: true}
	c.setPhaseEnd(now.Add(limits.HeaderTimeout))
	l.conns[state] = c
	l.mu.Unlock()
	if closing != nil {
		l.edge.report(l.server, ReasonConnections)
		// The server that reads from the connection gets an error and closes it once more.
		_ = closing.Conn.Close()
	}
	return c
}

// interrupt ends the reading of requests that have given way. The lock is held.
func (l *Listener) interrupt(victims []*limit.Conn) {
	for _, v := range victims {
		c := l.conns[v]
		c.interrupted = true
		c.applyReadDeadline()
	}
}
