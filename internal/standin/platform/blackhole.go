package platform

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// connTable holds the open connections to a kind of server. Those to the store are named after the caller, those to the
// workers after the worker.
type connTable struct {
	recorder *recorder

	mu  sync.Mutex
	rng *rand.Rand
	// open holds the connections that are neither closed nor blackholed.
	open map[*trackedConn]struct{}
}

// newConnTable returns a table without connections.
func newConnTable(seed uint64, r *recorder) *connTable {
	return &connTable{recorder: r, rng: rand.New(rand.NewPCG(seed, 2)), open: map[*trackedConn]struct{}{}}
}

// serve serves the handler on the address and adds the server's connections to the table.
func (t *connTable) serve(ctx context.Context, name, address string, h http.Handler) (*server, error) {
	l, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return serveOn(ctx, &trackedListener{Listener: l, ctx: ctx, table: t, name: name}, h), nil
}

// closeAll closes the open connections to the name, with requests that go on or not.
func (t *connTable) closeAll(name string) {
	t.mu.Lock()
	var conns []*trackedConn
	for c := range t.open {
		if c.name == name {
			conns = append(conns, c)
		}
	}
	t.mu.Unlock()
	for _, c := range conns {
		// An error means that the connection is already closed.
		_ = c.Close()
	}
}

// blackhole makes a share of the open connections to the names silent for good, at least one if there are any. Without a
// name, those to all are meant. It returns the number of these connections.
func (t *connTable) blackhole(names []string, share float64, now time.Time) int {
	t.mu.Lock()
	var conns []*trackedConn
	for c := range t.open {
		if len(names) == 0 || slices.Contains(names, c.name) {
			conns = append(conns, c)
		}
	}
	t.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	conns = conns[:min(len(conns), int(math.Ceil(share*float64(len(conns)))))]
	for _, c := range conns {
		delete(t.open, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.blackhole()
	}
	t.recorder.disturb(now)
	return len(conns)
}

// remove removes a connection that was closed.
func (t *connTable) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// trackedListener accepts connections that can be blackholed.
type trackedListener struct {
	net.Listener
	// ctx is that of the server. Blackholed connections are closed when it ends.
	ctx   context.Context
	table *connTable
	name  string
}

// Accept waits for the next connection and adds it to the table.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, ctx: l.ctx, table: l.table, name: l.name}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.table.open[c] = struct{}{}
	return c, nil
}

// trackedConn is a connection of which something between the two ends can lose track: what either end sends then
// reaches nobody, and neither end learns that the other one has closed it.
type trackedConn struct {
	net.Conn
	ctx   context.Context
	table *connTable
	name  string
	// blackholed is never cleared.
	blackholed atomic.Bool
}

// blackhole makes the connection silent. Its socket stays open until the client closes it or the context ends.
func (c *trackedConn) blackhole() {
	c.blackholed.Store(true)
	go func() {
		// All errors here mean that the connection is already closed.
		stop := context.AfterFunc(c.ctx, func() { _ = c.Conn.Close() })
		defer stop()
		// The server may still set deadlines on the socket.
		for err := os.ErrDeadlineExceeded; errors.Is(err, os.ErrDeadlineExceeded); {
			_ = c.SetReadDeadline(time.Time{})
			_, err = io.Copy(io.Discard, c.Conn)
		}
		_ = c.Conn.Close()
	}()
}

// Read reads what the client sends. On a blackholed connection it fails, so that the server forgets the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blackholed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write accepts and discards what is sent on a blackholed connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection unless it is blackholed.
func (c *trackedConn) Close() error {
	c.table.remove(c)
	if c.blackholed.Load() {
		return nil
	}
	return c.Conn.Close()
}
