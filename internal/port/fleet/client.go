package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/httpcall"
)

// ErrNotSent is returned when the message could not be encoded or no connection to the worker could be opened, so that
// nothing was sent. As with ErrRefused, the message was certainly not carried out, but ErrNotSent says nothing about
// the worker.
var ErrNotSent = errors.New("fleet: nothing was sent to the worker")

// ErrInvalidAnswer is returned by Call and Lookup when the response does not belong to the call or is damaged. The
// outcome of the call is unknown.
var ErrInvalidAnswer = errors.New("fleet: answer does not match the call")

// MaxConnections is the largest number of connections that the client opens to one worker.
const MaxConnections = 64

const (
	defaultTimeout     = 2 * time.Second
	defaultCallTimeout = 30 * time.Second
	dialTimeout        = time.Second
	// idleTimeout is two intervals of lease renewal. A renewal uses the newest idle connection, so older ones expire.
	idleTimeout = 4 * time.Second
)

// TaskRef identifies a task attempt.
type TaskRef struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
}

// Forget is the message that removes ended task attempts from the worker's status.
type Forget struct {
	Fence
	Tasks []TaskRef `json:"tasks"`
}

// Problem is the body of every error response of a worker.
type Problem struct {
	// Error describes the failure.
	Error string `json:"error"`
	// Refused is set when the worker did not and will not carry out the message.
	Refused bool `json:"refused,omitempty"`
	// Held is set when another host holds the lease.
	Held bool `json:"held,omitempty"`
	// Subject and Attempt repeat the task or request of the refused message, so that a response to another message
	// is not mistaken for a refusal of this one.
	Subject string `json:"subject,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
}

// Client is the HTTP client of all workers. Each worker has a transport, and so a connection pool, of its own.
type Client struct {
	timeout     time.Duration
	callTimeout time.Duration
	pool        *httpcall.Pool
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the longest time that a message other than a call may take. The default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithCallTimeout sets the longest time that a call may take. The default is 30 s.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// NewClient returns a client and its clean-up function, which closes all idle connections.
func NewClient(opts ...Option) (*Client, func()) {
	pool, closePool := httpcall.NewPool(MaxConnections, dialTimeout, idleTimeout)
	c := &Client{timeout: defaultTimeout, callTimeout: defaultCallTimeout, pool: pool}
	for _, o := range opts {
		o(c)
	}
	return c, closePool
}

// CloseConnections closes the idle connections of a worker that is no longer used and frees its transport.
func (c *Client) CloseConnections(addr string) { c.pool.Remove(addr) }

// Status returns the full state of the worker at addr (host:port).
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	return exchange[Status](ctx, c, addr, message{operation: "status", method: http.MethodGet, path: "/status"})
}

// BriefStatus returns the state of the worker without its tasks, calls and usage.
func (c *Client) BriefStatus(ctx context.Context, addr string) (Status, error) {
	return exchange[Status](ctx, c, addr, message{operation: "status", method: http.MethodGet, path: "/status?brief=1"})
}

// Lease acquires or renews the lease. It returns ErrLeaseHeld, wrapped, when another host holds it.
func (c *Client) Lease(ctx context.Context, addr string, l LeaseRequest) (Status, error) {
	s, err := exchange[Status](ctx, c, addr, message{operation: "lease", path: "/lease", body: l})
	if err == nil && (s.Holder != l.Holder || s.Boot != l.Boot) {
		return Status{}, errors.Newf("fleet: lease at %s: response is for holder %q, boot %q", addr, s.Holder, s.Boot)
	}
	return s, err
}

// Release releases the lease. Task leases are not changed.
func (c *Client) Release(ctx context.Context, addr string, f Fence) error {
	_, err := exchange[struct{}](ctx, c, addr, message{operation: "release", path: "/release", body: f})
	return err
}

// Start starts a task attempt. It returns ErrRefused or ErrNotSent, wrapped, if the attempt certainly was not and
// will not be started by this message.
func (c *Client) Start(ctx context.Context, addr string, o StartRequest) error {
	ref, err := exchange[TaskRef](ctx, c, addr, message{
		operation: "start", path: "/start", body: o, subject: o.Task, attempt: o.Attempt,
	})
	if err == nil && ref != (TaskRef{ID: o.Task, Attempt: o.Attempt}) {
		return errors.Newf("fleet: start at %s: response is for task %s attempt %d", addr, ref.ID, ref.Attempt)
	}
	return err
}

// Control throttles, checkpoints or stops a running task attempt and returns its state afterwards.
func (c *Client) Control(ctx context.Context, addr string, m Control) (Task, error) {
	t, err := exchange[Task](ctx, c, addr, message{
		operation: "control", path: "/control", body: m, subject: m.Task, attempt: m.Attempt,
	})
	if err == nil && (t.ID != m.Task || t.Attempt != m.Attempt) {
		return Task{}, errors.Newf("fleet: control at %s: response is for task %s attempt %d", addr, t.ID, t.Attempt)
	}
	return t, err
}

// Forget removes ended task attempts from the worker's status. Running or unknown attempts are ignored.
func (c *Client) Forget(ctx context.Context, addr string, f Fence, tasks []TaskRef) error {
	_, err := exchange[struct{}](ctx, c, addr, message{
		operation: "forget", path: "/forget", body: Forget{Fence: f, Tasks: tasks},
	})
	return err
}

// Call runs an urgent request and returns its answer. It returns ErrRefused or ErrNotSent, wrapped, if the request
// certainly was not and will not be started by this message, and ErrInvalidAnswer, wrapped, for an answer that is
// damaged or belongs to another call.
func (c *Client) Call(ctx context.Context, addr string, m Call) (Answer, error) {
	a, err := exchange[Answer](ctx, c, addr, message{
		operation: "call", path: "/call", body: m, subject: m.Request, attempt: m.Attempt, timeout: c.callTimeout,
	})
	if err != nil {
		return Answer{}, err
	}
	if err := checkAnswer(a, m.Request, m.Attempt); err != nil {
		return Answer{}, errors.Wrapf(err, "call at %s", addr)
	}
	return a, nil
}

// Lookup returns the state of a call at the worker, with its answer if it is done. It returns ErrInvalidAnswer,
// wrapped, for a response that is inconsistent, damaged or belongs to another call.
func (c *Client) Lookup(ctx context.Context, addr, request string, attempt int) (CallStatus, error) {
	s, err := exchange[CallStatus](ctx, c, addr, message{
		operation: "lookup", method: http.MethodGet,
		path: "/call/" + url.PathEscape(request) + "/" + strconv.Itoa(attempt),
	})
	if err != nil {
		return CallStatus{}, err
	}
	switch s.State {
	case CallNotStarted, CallRunning:
		if s.Answer != nil {
			return CallStatus{}, errors.Wrapf(ErrInvalidAnswer, "lookup at %s: answer in state %s", addr, s.State)
		}
	case CallDone:
		if s.Answer == nil {
			return CallStatus{}, errors.Wrapf(ErrInvalidAnswer, "lookup at %s: no answer in state done", addr)
		}
		if err := checkAnswer(*s.Answer, request, attempt); err != nil {
			return CallStatus{}, errors.Wrapf(err, "lookup at %s", addr)
		}
	default:
		return CallStatus{}, errors.Wrapf(ErrInvalidAnswer, "lookup at %s: unknown state %q", addr, s.State)
	}
	return s, nil
}

// checkAnswer returns ErrInvalidAnswer, wrapped, unless the answer is undamaged and belongs to the given call.
func checkAnswer(a Answer, request string, attempt int) error {
	if a.Request != request || a.Attempt != attempt {
		return errors.Wrapf(ErrInvalidAnswer, "answer is for request %s attempt %d", a.Request, a.Attempt)
	}
	if xxhash.Sum64(a.Body) != a.Digest {
		return errors.Wrapf(ErrInvalidAnswer, "digest of %d body bytes differs", len(a.Body))
	}
	return nil
}

// message is one request to a worker. The method is POST if it is empty, and the timeout that of the client if it is 0.
type message struct {
	operation string
	method    string
	path      string
	body      any
	// subject and attempt name the task or request of the message. A refusal counts only if it repeats them.
	subject string
	attempt int
	timeout time.Duration
}

// exchange sends a message and decodes the response. It maps the worker's problems to the errors of this package.
func exchange[T any](ctx context.Context, c *Client, addr string, m message) (T, error) {
	var zero, v T
	var body []byte
	if m.method == "" {
		m.method = http.MethodPost
		data, err := json.Marshal(m.body)
		if err != nil {
			return zero, errors.Wrapf(errors.Mark(err, ErrNotSent), "fleet: encode %s for %s", m.operation, addr)
		}
		body = data
	}
	if m.timeout == 0 {
		m.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	transport := c.pool.Transport(addr)
	resp, err := httpcall.Do(ctx, transport, m.method, "http://"+addr+m.path, body)
	if err != nil {
		if httpcall.IsTimeout(err) {
			// Connections tend to stop responding together, so none of the idle ones is used again.
			transport.CloseIdleConnections()
		}
		if errors.Is(err, httpcall.ErrNotSent) {
			err = errors.Mark(err, ErrNotSent)
		}
		return zero, errors.Wrapf(err, "fleet: %s at %s", m.operation, addr)
	}
	if resp.Status != http.StatusOK {
		var p Problem
		if json.Unmarshal(resp.Body, &p) != nil {
			return zero, errors.Newf("fleet: %s at %s: status %d", m.operation, addr, resp.Status)
		}
		switch {
		case p.Held:
			return zero, errors.Wrapf(ErrLeaseHeld, "%s at %s: %s", m.operation, addr, p.Error)
		case p.Refused && p.Subject == m.subject && p.Attempt == m.attempt:
			return zero, errors.Wrapf(ErrRefused, "%s at %s: %s", m.operation, addr, p.Error)
		}
		return zero, errors.Newf("fleet: %s at %s: status %d: %s", m.operation, addr, resp.Status, p.Error)
	}
	if err := resp.Decode(&v); err != nil {
		return zero, errors.Wrapf(err, "fleet: %s at %s", m.operation, addr)
	}
	return v, nil
}
