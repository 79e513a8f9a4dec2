// Package httpcall sends single HTTP requests, usually with a JSON body, and tells whether a failed request may have
// left the process. It never repeats a request.
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

// ErrNotSent marks a failure that occurred before any byte of the request was handed to a connection.
var ErrNotSent = errors.New("no connection to the peer, nothing was sent")

// MaxResponseBytes is the size of the largest response body that is accepted.
const MaxResponseBytes = 64 << 20

// NewTransport returns a transport for one peer with at most maxConns connections. Opening a connection may take as long
// as dialTimeout. Idle connections are closed after idleTimeout, because a dead connection can only be recognised by a
// request that fails on it.
func NewTransport(maxConns int, dialTimeout, idleTimeout time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Response is a complete response of a peer.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the JSON body into v.
func (r Response) Decode(v any) error {
	return errors.Wrapf(json.Unmarshal(r.Body, v), "decode response with status %d", r.Status)
}

// Do sends one request and reads the whole response. It follows no redirects. A request with a body is written to at
// most one connection. An error that wraps ErrNotSent means that the request has not left the process; after any other
// error the peer may have received it.
func Do(ctx context.Context, transport http.RoundTripper, method, url string, body []byte) (Response, error) {
	req := Request{Method: method, URL: url, Body: body}
	if body != nil {
		req.Header = http.Header{"Content-Type": jsonType}
	}
	return Send(ctx, transport, req)
}

// jsonType is the Content-Type header of JSON bodies.
var jsonType = []string{"application/json"}

// Request is a request to a peer.
type Request struct {
	Method, URL string
	Header      http.Header
	// Body is nil for a request without a body.
	Body []byte
	// ReadTimeout is the longest time without a byte of the response, 0 for no limit but the context's. A large response
	// on a slow link is not given up while it arrives.
	ReadTimeout time.Duration
}

// ErrReadTimeout marks a failure that occurred because the peer sent nothing for as long as Request.ReadTimeout.
var ErrReadTimeout = errors.New("the peer sent nothing within the read timeout")

// timeoutReader restarts the timer of the read timeout whenever bytes arrive.
type timeoutReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (r timeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
	}
	return n, err
}

// Send sends one request like Do, with the given headers and read timeout. An error that wraps ErrReadTimeout means
// that the peer sent nothing for the length of the read timeout.
func Send(ctx context.Context, transport http.RoundTripper, req Request) (Response, error) {
	if req.ReadTimeout <= 0 {
		return send(ctx, transport, req, nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(req.ReadTimeout, func() { cancel(ErrReadTimeout) })
	defer timer.Stop()
	resp, err := send(ctx, transport, req, timer)
	if err != nil && errors.Is(context.Cause(ctx), ErrReadTimeout) {
		err = errors.Mark(errors.Wrapf(err, "no byte received for %v", req.ReadTimeout), ErrReadTimeout)
	}
	return resp, err
}

// send sends one request and reads the response. It restarts the timer, if there is one, whenever bytes of the body
// arrive.
func send(ctx context.Context, transport http.RoundTripper, req Request, timer *time.Timer) (Response, error) {
	var conns atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, req.URL, nil)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "build request"), ErrNotSent)
	}
	for k, v := range req.Header {
		httpReq.Header[k] = v
	}
	if req.Body != nil {
		// net/http repeats a request with a body on another connection only if GetBody is set, which
		// http.NewRequest does by itself for the usual readers.
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	httpResp, err := transport.RoundTrip(httpReq)
	if err != nil {
		if conns.Load() == 0 {
			return Response{}, errors.Mark(err, ErrNotSent)
		}
		return Response{}, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	var body io.Reader = httpResp.Body
	if timer != nil {
		body = timeoutReader{httpResp.Body, timer, req.ReadTimeout}
	}
	data, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "read response")
	}
	if len(data) > MaxResponseBytes {
		return Response{}, errors.Newf("response is larger than %d bytes", MaxResponseBytes)
	}
	return Response{Status: httpResp.StatusCode, Body: data}, nil
}

// IsTimeout reports whether the error was caused by an expired deadline or a timeout of the network.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}
