package httpcall

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrNotPermitted marks a failure that occurred because Call.Permit returned false. It is also marked with ErrNotSent.
var ErrNotPermitted = errors.New("the permission to send has lapsed")

const (
	// keepAliveInterval is the interval at which the kernel probes a connection without traffic.
	keepAliveInterval = 5 * time.Second
	// callBufferBytes is the size of the buffers through which requests are written and responses are read.
	callBufferBytes = 4096
	// probeIdleAfter is how long a connection may be unused before it is probed: the peer may have closed it.
	probeIdleAfter = time.Second
	// maxConnWait is how long a call waits for one of the connections to its peer to become free.
	maxConnWait = 300 * time.Millisecond
)

// ClientPool sends requests to many peers, with a few connections to each. It needs much less processor time for a
// request than Pool, since the goroutine of the caller reads and writes the connection itself. It is safe for
// concurrent use.
type ClientPool struct {
	maxConns                 int
	dialTimeout, idleTimeout time.Duration

	readers, writers sync.Pool

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// NewClientPool returns a pool with at most maxConns connections to each peer, and its clean-up function, which closes
// all idle connections. Opening a connection may take as long as dialTimeout. Idle connections are closed after
// idleTimeout.
func NewClientPool(maxConns int, dialTimeout, idleTimeout time.Duration) (*ClientPool, func()) {
	p := &ClientPool{
		maxConns: maxConns, dialTimeout: dialTimeout, idleTimeout: idleTimeout,
		clients: map[string]*fasthttp.HostClient{},
	}
	p.readers.New = func() any { return bufio.NewReaderSize(nil, callBufferBytes) }
	p.writers.New = func() any { return bufio.NewWriterSize(nil, callBufferBytes) }
	return p, p.close
}

// client returns the client for a peer address and creates it if there is none.
func (p *ClientPool) client(addr string) *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = &fasthttp.HostClient{
			Addr: addr, MaxConns: p.maxConns, MaxConnWaitTimeout: maxConnWait, MaxIdleConnDuration: p.idleTimeout,
			ConnPoolStrategy: fasthttp.LIFO, DialTimeout: p.dial,
		}
		p.clients[addr] = c
	}
	return c
}

// dial opens a connection. A timeout of 0 stands for the pool's own.
func (p *ClientPool) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > p.dialTimeout {
		timeout = p.dialTimeout
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: keepAliveInterval}
	conn, err := d.Dial("tcp", addr)
	return conn, errors.Wrap(err, "open connection")
}

// CloseIdle closes the idle connections to a peer.
func (p *ClientPool) CloseIdle(addr string) {
	p.mu.Lock()
	c := p.clients[addr]
	p.mu.Unlock()
	if c != nil {
		c.CloseIdleConnections()
	}
}

// Remove closes the idle connections to a peer that is no longer used and frees its client.
func (p *ClientPool) Remove(addr string) {
	p.mu.Lock()
	c := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if c != nil {
		c.CloseIdleConnections()
	}
}

// close closes the idle connections to all peers.
func (p *ClientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
}

// Call is a POST request with a JSON body.
type Call struct {
	Address, Path string
	// HeaderName and HeaderValue are a header of the request.
	HeaderName, HeaderValue string
	Body                    []byte
	// Permit reports whether the request may still be sent. It is called right before the request is written, after all
	// waiting. A nil Permit always allows it.
	Permit func() bool
}

// Post sends one request and passes the response to handle, which must not keep the body. The context's deadline
// limits the call; after the context has ended nothing is sent, but a request that was sent is not broken off. A request
// is written to one connection at most and never repeated. An error that wraps ErrNotSent means that it has not left the
// process; after any other error the peer may have received it.
func (p *ClientPool) Post(ctx context.Context, call Call, handle func(status int, body []byte)) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(call.Address)
	req.Header.SetContentType("application/json")
	req.Header.Set(call.HeaderName, call.HeaderValue)
	req.SetRequestURI(call.Path)
	req.SetBodyRaw(call.Body)
	if err := p.roundTrip(ctx, call, req, resp); err != nil {
		return err
	}
	handle(resp.StatusCode(), resp.Body())
	return nil
}

// roundTrip writes the request to a connection and reads the response.
func (p *ClientPool) roundTrip(
	ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response,
) error {
	deadline, _ := ctx.Deadline()
	client := p.client(call.Address)
	conn, err := client.AcquireConn(timeLeft(deadline), false)
	for err == nil && isIdle(conn.LastUseTime()) && !isOpen(conn.Conn()) {
		client.CloseConn(conn)
		conn, err = client.AcquireConn(timeLeft(deadline), false)
	}
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	if ctx.Err() != nil || (call.Permit != nil && !call.Permit()) {
		client.ReleaseConn(conn)
		return errors.Mark(ErrNotPermitted, ErrNotSent)
	}
	if err := p.exchange(conn.Conn(), deadline, req, resp); err != nil {
		client.CloseConn(conn)
		return err
	}
	if resp.ConnectionClose() {
		client.CloseConn(conn)
	} else {
		client.ReleaseConn(conn)
	}
	return nil
}

// timeLeft returns the time until the deadline, at least a nanosecond, and 0 if there is no deadline.
func timeLeft(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(time.Until(deadline), time.Nanosecond)
}

// exchange writes the request to the connection and reads the response.
func (p *ClientPool) exchange(
	conn net.Conn, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response,
) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return errors.Mark(errors.Wrap(err, "set deadline"), ErrNotSent)
	}
	if err := p.write(conn, req); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(p.read(conn, resp), "read response")
}

// write writes the request to the connection.
func (p *ClientPool) write(conn net.Conn, req *fasthttp.Request) error {
	w := p.writers.Get().(*bufio.Writer)
	defer p.writers.Put(w)
	w.Reset(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// read reads the response from the connection.
func (p *ClientPool) read(conn net.Conn, resp *fasthttp.Response) error {
	r := p.readers.Get().(*bufio.Reader)
	defer p.readers.Put(r)
	r.Reset(conn)
	// fasthttp returns io.EOF for most errors before the first byte, also if the peer can't be reached any more.
	if _, err := r.Peek(1); err != nil {
		return err
	}
	return resp.ReadLimitBody(r, MaxResponseBytes)
}

// isIdle reports whether a connection that was last used at the time should be probed. A new one has the zero time.
func isIdle(lastUsed time.Time) bool {
	return !lastUsed.IsZero() && time.Since(lastUsed) > probeIdleAfter
}

// isOpen reports whether an unused connection is still open, as far as this side knows. A byte that has arrived without
// a request makes it unusable as well.
func isOpen(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), b[:])
		open = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
