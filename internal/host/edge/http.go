package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

const (
	// maxHeaderBytes bounds the header limit that can be configured. The HTTP server applies it, the connections that in
	// force.
	maxHeaderBytes = 1 << 20
	// bodyStep is the room that is first reserved for a body of unknown length. It is doubled as the body arrives.
	bodyStep = 16 << 10
)

// connKey is the key of a request's connection in the request's context.
type connKey struct{}

// NewServer returns an HTTP server, to be started with Serve on the listener. The handler gets an error of the type
// *limit.Overload from the body of a request that has to give way.
func (l *Listener) NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: l.handler(h), MaxHeaderBytes: maxHeaderBytes, ConnState: l.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// connState follows the state of a connection to the HTTP server.
func (l *Listener) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	now, limits := time.Now(), l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateActive:
		// The header has arrived, or its reading has failed. The handler below says if a body follows.
		c.setComplete()
	case http.StateIdle:
		c.finish(now)
		c.setPhaseEnd(now.Add(limits.IdleTimeout))
	default:
	}
}

// handler accounts for the bodies of requests.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		// The client may send its next request, on this connection or another one, as soon as it has the answer, which is sent
		// after this.
		defer c.handled()
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := c.newBody(r, l.limits())
		// The server looks at the body of its own request.
		r = r.WithContext(r.Context())
		r.Body = b
		if !takesBody(r.Method) && !b.discard(w) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handled says that the handler of the request in progress has returned.
func (c *conn) handled() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.share.Handled(c.state)
}

// takesBody reports whether handlers read the bodies of requests with the method. They carry out others without.
func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// body is the body of a request. What has been read of it counts as held until the handler returns.
type body struct {
	io.ReadCloser
	c *conn
	// header is what the request needed before the body was read.
	header limit.Need
	// length is the length of the body, -1 if it is unknown or above the limit.
	length, maxBytes int64
	// n is what has been read, room what may be read with what is reserved.
	n, room int64
	// done is set once all has been read.
	done bool
}

// newBody returns the body of a request whose header has arrived.
func (c *conn) newBody(r *http.Request, limits Limits) *body {
	b := &body{ReadCloser: r.Body, c: c, length: r.ContentLength, maxBytes: limits.MaxBodyBytes}
	if b.length > b.maxBytes {
		b.length = -1
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	b.header = limit.Need{Bytes: c.state.Received(), Fields: c.fields}
	c.state.SetIncomplete()
	c.setPhaseEnd(time.Now().Add(limits.BodyTimeout))
	return b
}

// Read implements io.Reader. Between the calls of Read the connection is not closed, since the handler may be about to
// answer.
func (b *body) Read(p []byte) (int, error) {
	if b.done || len(p) == 0 {
		return b.ReadCloser.Read(p)
	}
	if err := b.reserve(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.room-b.n)])
	return b.arrived(n, err)
}

// reserve reserves room for what is read next: that of the whole body if its length is known, else step by step.
func (b *body) reserve() error {
	if b.n < b.room {
		return nil
	}
	room := b.length
	if room < 0 {
		room = min(max(bodyStep, 2*b.n), b.maxBytes+1)
	}
	// What comes after the largest body is not kept.
	room = max(room, b.n+1)
	if !b.c.reserve(b.need(room, 0), b.length >= 0 || room > b.maxBytes) {
		return limit.NewOverload()
	}
	b.room = room
	return nil
}

// need returns what the request needs with n bytes of its body and the memory that their decoded form takes.
func (b *body) need(n, decoded int64) limit.Need {
	need := b.header
	need.Bytes += n
	need.Decoded = decoded
	return need
}

// ReserveDecoded reserves memory for the decoded form of a request's body, to be called before it is decoded. The memory is the
// sum so far, in bytes, beyond what is counted for the bytes of the body. It returns an error of the type *limit.Overload if
// there is no room; the handler must not carry out the request then. The body is the one with which the handler was called;
// other bodies are not counted.
func ReserveDecoded(requestBody io.Reader, memory int64) error {
	b, ok := requestBody.(*body)
	if ok && !b.c.reserve(b.need(b.n, memory), true) {
		return limit.NewOverload()
	}
	return nil
}

// reserve has the connection hold what the request in progress needs. It returns false if that request has to give way.
func (c *conn) reserve(need limit.Need, whole bool) bool {
	c.l.mu.Lock()
	victims, ok := c.l.share.Reserve(time.Now(), c.state, need, whole)
	c.l.interrupt(victims)
	c.l.mu.Unlock()
	if !ok {
		c.l.edge.report(c.l.server, ReasonBytes)
	}
	return ok
}

// arrived counts what was read. It returns an error if the request has given way meanwhile, even if the body has arrived as
// a whole, since the answer to it might be lost.
func (b *body) arrived(n int, err error) (int, error) {
	l := b.c.l
	l.mu.Lock()
	if b.c.state.Closed() || b.c.state.GaveWay() {
		l.mu.Unlock()
		return 0, limit.NewOverload()
	}
	b.n += int64(n)
	if errors.Is(err, io.EOF) || b.n == b.length {
		b.done = true
		b.c.setComplete()
	}
	l.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.edge.report(l.server, ReasonBodyTime)
	}
	return n, err
}

// discard reads the body of a request that is carried out without it. Otherwise its connection might be closed before the
// answer. If that fails, it answers that the request has not run, and returns false.
func (b *body) discard(w http.ResponseWriter) bool {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, b, b.maxBytes))
	var overload *limit.Overload
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &overload):
		w.Header()["Retry-After"] = []string{"1"}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		http.Error(w, "the body did not arrive in time", http.StatusRequestTimeout)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return false
}
