// Package edge bounds what clients that nobody controls can make a host hold. Every server of a host takes its
// connections from a Listener, which counts them and what their requests hold in a limit.Share of its own, and closes or
// refuses those that the share gives up. It also bounds the size of a header and the times for a header, a body and the
// reading of an answer.
//
// Locks: the lock of a Listener and that of its Edge are never held at the same time.
package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// Reason says why a connection was closed or a request refused.
type Reason string

// The reasons.
const (
	// ReasonConnections means that the connection made room for another one.
	ReasonConnections Reason = "connections"
	// ReasonFull means that a new connection was closed because no other one could be.
	ReasonFull Reason = "full"
	// ReasonBytes means that the request was refused, or gave way, for what requests in progress hold.
	ReasonBytes Reason = "bytes"
	// ReasonHeaderSize means that the header was too large, ReasonHeaderTime that it didn't arrive in time.
	ReasonHeaderSize Reason = "header_size"
	ReasonHeaderTime Reason = "header_time"
	// ReasonBodyTime means that the body didn't arrive in time, ReasonAnswerTime that the answer was not read in time.
	ReasonBodyTime   Reason = "body_time"
	ReasonAnswerTime Reason = "answer_time"
	// ReasonMalformed means that a message at the address for other hosts was one that no host sends.
	ReasonMalformed Reason = "malformed"
)

// Recorder counts what was closed and refused.
type Recorder interface {
	RecordRefusal(server, reason string)
}

// Limits bound the requests to one server.
type Limits struct {
	// MaxHeaderBytes is the largest header, and MaxBodyBytes the largest body that the server reads.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time for a header, from the acceptance of the connection or from the header's first byte.
	// IdleTimeout is the time between two requests.
	HeaderTimeout, IdleTimeout time.Duration
	// BodyTimeout is the time for a body, whatever the caller asks for. AnswerTimeout is the time in which an answer must be
	// read.
	BodyTimeout, AnswerTimeout time.Duration
}

// DefaultLimits returns the limits that hold where nothing else is configured.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		BodyTimeout: 10 * time.Second, AnswerTimeout: 10 * time.Second,
	}
}

// Edge is the edge of one process.
type Edge struct {
	log      logrus.FieldLogger
	recorder Recorder

	mu        sync.Mutex
	listeners []*Listener
	// unlogged counts, for each server and reason, the refusals since the last log line of it. A key is present for
	// logInterval after a line.
	unlogged map[refusal]int
	closed   bool
}

// refusal is a kind of refusals.
type refusal struct {
	server string
	reason Reason
}

// logInterval is the shortest time between two log lines of the same kind of refusals.
const logInterval = time.Second

// New returns an edge without servers, and a function that ends its log.
func New(log logrus.FieldLogger, r Recorder) (*Edge, func()) {
	e := &Edge{log: log, recorder: r, unlogged: map[refusal]int{}}
	return e, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.closed = true
	}
}

// Listen listens on an address for the server of the given name.
func (e *Edge) Listen(ctx context.Context, server, address string, size limit.Size, limits func() Limits) (*Listener, error) {
	inner, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "edge: listen for %s on %s", server, address)
	}
	return e.Wrap(inner, server, size, limits), nil
}

// Wrap returns a listener whose connections come from inner.
func (e *Edge) Wrap(inner net.Listener, server string, size limit.Size, limits func() Limits) *Listener {
	l := &Listener{
		Listener: inner, edge: e, server: server, limits: limits, share: limit.NewShare(size), conns: map[*limit.Conn]*conn{},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners, l)
	return l
}

// State is what the connections of one server hold.
type State struct {
	Server string
	Conns  int
	Bytes  int64
}

// States returns the states of all servers.
func (e *Edge) States() []State {
	e.mu.Lock()
	listeners := e.listeners
	e.mu.Unlock()
	states := make([]State, 0, len(listeners))
	for _, l := range listeners {
		l.mu.Lock()
		states = append(states, State{Server: l.server, Conns: l.share.Conns(), Bytes: l.share.Held()})
		l.mu.Unlock()
	}
	return states
}

// report counts a refusal and logs it, at most one line in logInterval for each kind.
func (e *Edge) report(server string, reason Reason) {
	e.recorder.RecordRefusal(server, string(reason))
	r := refusal{server: server, reason: reason}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.unlogged[r]; ok {
		e.unlogged[r]++
		return
	}
	e.writeLog(r, 1)
}

// writeLog logs n refusals, and after logInterval those that have come meanwhile. The lock is held.
func (e *Edge) writeLog(r refusal, n int) {
	e.log.WithFields(logrus.Fields{"server": r.server, "reason": r.reason, "count": n}).Warn("Refused or closed")
	e.unlogged[r] = 0
	time.AfterFunc(logInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		n := e.unlogged[r]
		delete(e.unlogged, r)
		if n > 0 && !e.closed {
			e.writeLog(r, n)
		}
	})
}
