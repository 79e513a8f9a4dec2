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

// MaxReply is the largest reply in bytes that Do reads.
const MaxReply = 64 << 20

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

// Reply is a complete reply.
type Reply struct {
	Status int
	Body   []byte
}

// Decode decodes the body as JSON into v.
func (r Reply) Decode(v any) error {
	return errors.Wrapf(json.Unmarshal(r.Body, v), "decode reply with status %d", r.Status)
}

// Do sends one message and reads the whole reply. It follows no redirects. A message with a body is written to
// one connection at most. Errors that wrap ErrNotSent mean that the message has not
// left the process; after any other error the peer may have received it.
func Do(ctx context.Context, t http.RoundTripper, method, url string, body []byte) (Reply, error) {
	m := Message{Method: method, URL: url, Body: body}
	if body != nil {
		m.Header = http.Header{"Content-Type": jsonType}
	}
	return Send(ctx, t, m)
}

// jsonType is the content type of JSON bodies.
var jsonType = []string{"application/json"}

// Message is a request to a peer.
type Message struct {
	Method, URL string
	Header      http.Header
	// Body is nil for a message without one.
	Body []byte
	// Silence is the longest time without a byte of the reply, 0 for no bound but the context's. A large reply on a
	// slow link is not given up while it arrives.
	Silence time.Duration
}

// ErrSilent marks a failure because the peer sent nothing for as long as Message.Silence.
var ErrSilent = errors.New("the peer fell silent")

// silenceReader puts off the end of the call with each byte.
type silenceReader struct {
	io.Reader
	timer   *time.Timer
	silence time.Duration
}

func (r silenceReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.silence)
	}
	return n, err
}

// Send sends one message like Do, with headers of the caller's choice.
func Send(ctx context.Context, t http.RoundTripper, m Message) (Reply, error) {
	if m.Silence <= 0 {
		return send(ctx, t, m, nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(m.Silence, func() { cancel(ErrSilent) })
	defer timer.Stop()
	r, err := send(ctx, t, m, timer)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		err = errors.Mark(errors.Wrapf(err, "no byte for %v", m.Silence), ErrSilent)
	}
	return r, err
}

func send(ctx context.Context, t http.RoundTripper, m Message, timer *time.Timer) (Reply, error) {
	var conns atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	req, err := http.NewRequestWithContext(ctx, m.Method, m.URL, nil)
	if err != nil {
		return Reply{}, errors.Mark(errors.Wrap(err, "build request"), ErrNotSent)
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
			return Reply{}, errors.Mark(err, ErrNotSent)
		}
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body io.Reader = resp.Body
	if timer != nil {
		body = silenceReader{resp.Body, timer, m.Silence}
	}
	data, err := io.ReadAll(io.LimitReader(body, MaxReply+1))
	if err != nil {
		return Reply{}, errors.Wrap(err, "read reply")
	}
	if len(data) > MaxReply {
		return Reply{}, errors.Newf("reply is larger than %d bytes", MaxReply)
	}
	return Reply{Status: resp.StatusCode, Body: data}, nil
}

// IsTimeout reports whether the error is an expired deadline.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}
