package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves one worker on its own listener.
type Server struct {
	worker   *Worker
	listener *trackingListener
	http     *http.Server
}

// Serve starts to serve the worker on the listener. It returns the server and a clean-up function, which closes the
// worker, waits up to a second for requests in progress and then closes their connections.
func Serve(w *Worker, l net.Listener) (*Server, func()) {
	s := &Server{
		worker:   w,
		listener: &trackingListener{Listener: l, conns: map[*conn]struct{}{}},
		http:     &http.Server{Handler: Handler(w), ReadHeaderTimeout: 10 * time.Second},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve always returns an error, ErrServerClosed after the clean-up.
		_ = s.http.Serve(s.listener)
	}()
	return s, func() {
		w.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if s.http.Shutdown(ctx) != nil {
			_ = s.http.Close()
		}
		<-done
	}
}

// Worker returns the worker that the server serves.
func (s *Server) Worker() *Worker { return s.worker }

// Addr returns the host and port of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Silence makes all open connections silent permanently: they stay open, but received data is dropped and written data
// is not sent. New connections work.
func (s *Server) Silence() {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// trackingListener is a listener that keeps a set of its open connections.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept accepts a connection and adds it to the open ones.
func (t *trackingListener) Accept() (net.Conn, error) {
	nc, err := t.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "backend: accept")
	}
	c := &conn{Conn: nc, listener: t, silenced: make(chan struct{}), closed: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	listener    *trackingListener
	silenceOnce sync.Once
	// silenced is closed when the connection is made silent.
	silenced  chan struct{}
	closeOnce sync.Once
	// closed is closed by Close and ends a Read that blocks on a silent connection.
	closed chan struct{}
}

// Read reads from the connection. On a silent one it drops the data and blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. On a silent one it drops the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection and removes it from the open ones.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
