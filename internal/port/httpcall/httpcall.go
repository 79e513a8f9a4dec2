// Package httpcall sends one JSON message over HTTP and tells whether it may have left the process.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks a failure that occurred before any byte of the message was handed to a connection.
var ErrNotSent = errors.New("no connection to the peer, nothing was sent")

// MaxResponseBytes is the largest reply in bytes that Do reads.
const MaxResponseBytes = 64 << 20

// NewTransport returns a transport for one peer with at most conns connections. Idle connections are closed
// after idle, because a connection that has gone silent can only be recognised by a call that fails on it.
func NewTransport(conns int, dial, idle time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dial, KeepAlive: 5 * time.Second}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// Response is a complete reply.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the body as JSON into v.
func (r Response) Decode(v any) error {
	return errors.Wrapf(json.Unmarshal(r.Body, v), "decode reply with status %d", r.Status)
}

// Do sends one message and reads the whole reply. It follows no redirects. A message with a body is written to
// one connection at most. Errors that wrap ErrNotSent mean that the message has not
// left the process; after any other error the peer may have received it.
func Do(ctx context.Context, transport http.RoundTripper, method, url string, body []byte) (Response, error) {
	m := Request{Method: method, URL: url, Body: body}
	if body != nil {
		m.Header = http.Header{"Content-Type": jsonType}
	}
	return Send(ctx, transport, m)
}

// jsonType is the content type of JSON bodies.
var jsonType = []string{"application/json"}

// Request is a request to a peer.
type Request struct {
	Method, URL string
	Header      http.Header
	// Body is nil for a message without one.
	Body []byte
	// ReadTimeout is the longest time without a byte of the reply, 0 for no bound but the context's. A large reply on a
	// slow link is not given up while it arrives.
	ReadTimeout time.Duration
}

// ErrReadTimeout marks a failure because the peer sent nothing for as long as Message.Silence.
var ErrReadTimeout = errors.New("the peer fell silent")

// timeoutReader puts off the end of the call with each byte.
type timeoutReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (r timeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
	}
	return n, err
}

// Send sends one message like Do, with headers of the caller's choice.
func Send(ctx context.Context, t http.RoundTripper, m Request) (Response, error) {
	if m.ReadTimeout <= 0 {
		return send(ctx, t, m, nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(m.ReadTimeout, func() { cancel(ErrReadTimeout) })
	defer timer.Stop()
	r, err := send(ctx, t, m, timer)
	if err != nil && errors.Is(context.Cause(ctx), ErrReadTimeout) {
		err = errors.Mark(errors.Wrapf(err, "no byte for %v", m.ReadTimeout), ErrReadTimeout)
	}
	return r, err
}

func send(ctx context.Context, t http.RoundTripper, m Request, timer *time.Timer) (Response, error) {
	var conns atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	req, err := http.NewRequestWithContext(ctx, m.Method, m.URL, nil)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "build request"), ErrNotSent)
	}
	for k, v := range m.Header {
		req.Header[k] = v
	}
	if m.Body != nil {
		// net/http repeats a request with a body on another connection only if GetBody is set, which
		// http.NewRequest does by itself for the usual readers.
		req.Body = io.NopCloser(bytes.NewReader(m.Body))
		req.ContentLength = int64(len(m.Body))
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		if conns.Load() == 0 {
			return Response{}, errors.Mark(err, ErrNotSent)
		}
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body io.Reader = resp.Body
	if timer != nil {
		body = timeoutReader{resp.Body, timer, m.ReadTimeout}
	}
	data, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "read reply")
	}
	if len(data) > MaxResponseBytes {
		return Response{}, errors.Newf("reply is larger than %d bytes", MaxResponseBytes)
	}
	return Response{Status: resp.StatusCode, Body: data}, nil
}

// IsTimeout reports whether the error is an expired deadline.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}
