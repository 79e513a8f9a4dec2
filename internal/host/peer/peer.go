// Package peer is the drpc server and client through which entry hosts communicate.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMessageBytes is the largest message: a whole configuration, or a request body with its envelope.
	maxMessageBytes = 4 << 20
	// dialTimeout bounds the time to open a connection to a peer.
	dialTimeout = 2 * time.Second
	// poolIdleTimeout is the time after which an unused connection in the pool is closed.
	poolIdleTimeout = 20 * time.Second
	// maxIdlePerPeer is the largest number of idle connections that are kept for one peer.
	maxIdlePerPeer = 32
	// maxPooledBytes is the largest message after which a connection goes back to the pool. After a larger one, the peer
	// keeps the room of the message as long as the connection is open.
	maxPooledBytes = 16 << 10
	// serverIdleTimeout is the time after which a connection whose client sent nothing is closed.
	serverIdleTimeout = 60 * time.Second
)

// The names of the drpc methods. On the wire, the method that forwards a request is named Call.
const (
	methodSync    = "/sassafraswind/Sync"
	methodForward = "/sassafraswind/Call"
	methodJob     = "/sassafraswind/Job"
)

// Node is the entry host that answers its peers.
type Node interface {
	Sync(ctx context.Context, r SyncRequest) (SyncReply, error)
	PeerRequest(ctx context.Context, r ForwardRequest) (ForwardReply, error)
	PeerJob(ctx context.Context, r JobRequest) (JobReply, error)
}

// codec is the drpc.Encoding that encodes messages with msgpack.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(msg drpc.Message) ([]byte, error) { return msgpack.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(buf []byte, msg drpc.Message) error { return Decode(buf, msg) }

// Decode decodes a message, or a part of one that the sender has encoded by itself. It returns an error before it takes memory
// for more than the data can hold.
func Decode(data []byte, v any) error {
	if _, err := decodedMemory(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// Handler serves one call of a method on a stream.
type Handler func(stream drpc.Stream) error

// countedConn is a connection whose listener bounds what connections and messages hold together.
type countedConn interface {
	// MessageArrived says that a message has arrived as a whole. It returns false if the message must not be carried out.
	MessageArrived() bool
	// ReserveDecoded reserves memory in bytes for the decoded form of the message. It returns false if there is none, and the
	// message must not be decoded.
	ReserveDecoded(memory int64) bool
	// RecordMalformed counts a message that no host sends.
	RecordMalformed()
	// MessageAnswered says that the message has been answered.
	MessageAnswered()
}

// ErrRefused marks the error of a call that the peer has refused for what connections and messages hold together there, so that
// it has not carried it out.
var ErrRefused = errors.New("peer: the message was refused and not carried out")

// codeRefused stands for ErrRefused in the answer to a call.
const codeRefused = 1

// countedCodec is the codec of one message that arrives on a countedConn.
type countedCodec struct {
	codec
	conn countedConn
	// arrived is set once the message has been counted as arrived, so that its answer ends it.
	arrived bool
}

// Unmarshal implements drpc.Encoding.
func (c *countedCodec) Unmarshal(buf []byte, msg drpc.Message) error {
	if c.arrived = c.conn.MessageArrived(); !c.arrived {
		return ErrRefused
	}
	memory, err := decodedMemory(buf)
	if err != nil {
		return err
	}
	if !c.conn.ReserveDecoded(memory) {
		return drpcerr.WithCode(ErrRefused, codeRefused)
	}
	return errors.Mark(msgpack.Unmarshal(buf, msg), ErrMalformed)
}

// answered says that the message has been answered, if it has arrived, with the error of its call.
func (c *countedCodec) answered(err error) {
	if errors.Is(err, ErrMalformed) {
		c.conn.RecordMalformed()
	}
	if c.arrived {
		c.conn.MessageAnswered()
	}
}

// receive decodes the message of a call. The returned function must be called with the error of the call once it has been
// answered.
func receive(stream drpc.Stream, msg drpc.Message) (answered func(error), err error) {
	tr, _ := drpcctx.Transport(stream.Context())
	conn, ok := tr.(countedConn)
	if !ok {
		return func(error) {}, stream.MsgRecv(msg, codec{})
	}
	c := &countedCodec{conn: conn}
	err = stream.MsgRecv(msg, c)
	return c.answered, err
}

// UnaryHandler returns the handler of a unary method that fn implements.
func UnaryHandler[Req, Rep any](fn func(context.Context, Req) (Rep, error)) Handler {
	return func(stream drpc.Stream) (err error) {
		var req Req
		answered, err := receive(stream, &req)
		defer func() { answered(err) }()
		if err != nil {
			return errors.Wrap(err, "peer: receive")
		}
		rep, err := fn(stream.Context(), req)
		if err != nil {
			return err
		}
		return errors.Wrap(stream.MsgSend(&rep, codec{}), "peer: send")
	}
}

// Routes maps the names of methods to their handlers.
type Routes map[string]Handler

// HandleRPC implements drpc.Handler. It returns an error if the method is unknown.
func (r Routes) HandleRPC(stream drpc.Stream, rpc string) error {
	h, ok := r[rpc]
	if !ok {
		return errors.Newf("peer: unknown method %q", rpc)
	}
	return h(stream)
}

// Serve serves the methods of n on the listener until the returned function is called, and also returns the server.
// The function cancels calls in progress, so a planned stop has to wait for them first. Errors of connections go to
// logError.
func Serve(l net.Listener, n Node, logError func(error)) (*drpcserver.Server, func()) {
	return ServeRoutes(l, Routes{
		methodSync:    UnaryHandler(n.Sync),
		methodForward: UnaryHandler(n.PeerRequest),
		methodJob:     UnaryHandler(n.PeerJob),
	}, logError)
}

// ServeRoutes serves the given methods, as Serve does.
func ServeRoutes(l net.Listener, routes Routes, logError func(error)) (*drpcserver.Server, func()) {
	s := drpcserver.NewWithOptions(routes, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
			InactivityTimeout: serverIdleTimeout,
		},
		Log: logError,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ctx, l); err != nil && ctx.Err() == nil {
			logError(errors.Wrap(err, "peer: serve"))
		}
	}()
	return s, func() {
		cancel()
		<-done
	}
}

// ErrNotSent marks the error of a call for which no connection to the peer could be opened, so that the peer received
// nothing.
var ErrNotSent = errors.New("peer: message was not sent")

// Client sends messages to peers over pooled connections.
type Client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	// recordSizes is called with the sizes in bytes of the sent and the received message of each call.
	recordSizes func(addr, method string, sent, received int)
}

// Option changes a Client.
type Option func(*Client)

// WithSizeRecorder sets a function that is called with the sizes in bytes of the sent and the received message of each
// call.
func WithSizeRecorder(fn func(addr, method string, sent, received int)) Option {
	return func(c *Client) { c.recordSizes = fn }
}

// NewClient returns a client and a function that closes its connections.
func NewClient(opts ...Option) (*Client, func()) {
	c := &Client{
		pool: drpcpool.New[string, *drpcconn.Conn](
			drpcpool.Options{Expiration: poolIdleTimeout, KeyCapacity: maxIdlePerPeer}),
		recordSizes: func(string, string, int, int) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c, func() { _ = c.pool.Close() }
}

// Sync exchanges the hosts' states with a peer.
func (c *Client) Sync(ctx context.Context, addr string, r SyncRequest) (SyncReply, error) {
	return Invoke[SyncRequest, SyncReply](ctx, c, addr, methodSync, r)
}

// Forward forwards a request to a peer. ErrNotSent means that the peer did not receive it.
func (c *Client) Forward(ctx context.Context, addr string, r ForwardRequest) (ForwardReply, error) {
	return Invoke[ForwardRequest, ForwardReply](ctx, c, addr, methodForward, r)
}

// Job sends a request that concerns a job of the peer's zone.
func (c *Client) Job(ctx context.Context, addr string, r JobRequest) (JobReply, error) {
	return Invoke[JobRequest, JobReply](ctx, c, addr, methodJob, r)
}

// countingCodec is a codec that keeps the sizes in bytes of the last sent and the last received message.
type countingCodec struct {
	codec
	sent, received int
}

// Marshal implements drpc.Encoding.
func (c *countingCodec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.codec.Marshal(msg)
	c.sent = len(data)
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (c *countingCodec) Unmarshal(buf []byte, msg drpc.Message) error {
	c.received = len(buf)
	return c.codec.Unmarshal(buf, msg)
}

// Invoke sends one message and waits for its reply. It returns an error if ctx has no deadline, since only the deadline
// closes the connection to a peer that stopped answering, so that the next call opens a new one.
func Invoke[Req, Rep any](ctx context.Context, c *Client, addr, method string, req Req) (Rep, error) {
	var rep Rep
	if _, ok := ctx.Deadline(); !ok {
		return rep, errors.Newf("peer: %s to %s without a deadline", method, addr)
	}
	enc := &countingCodec{}
	err := c.invoke(ctx, addr, method, enc, &req, &rep)
	c.recordSizes(addr, method, enc.sent, enc.received)
	return rep, err
}

// invoke makes one call on a pooled or a new connection. A connection goes back to the pool only if its call succeeded
// with a message within maxPooledBytes and the call's context has not ended: drpc closes the connection of a call whose context ends, possibly after Invoke
// has returned, and until then the next call on it would wait and get the error of that context.
func (c *Client) invoke(ctx context.Context, addr, method string, enc *countingCodec, req, rep drpc.Message) error {
	conn, ok := c.pool.Take(addr)
	if !ok {
		var err error
		if conn, err = dial(ctx, addr); err != nil {
			return errors.Wrapf(errors.Mark(err, ErrNotSent), "peer: dial %s", addr)
		}
	}
	err := conn.Invoke(ctx, method, enc, req, rep)
	if err != nil || ctx.Err() != nil {
		_ = conn.Close()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeIdle(addr)
		}
		if drpcerr.Code(err) == codeRefused {
			err = errors.Mark(err, ErrRefused)
		}
		return errors.Wrapf(err, "peer: %s to %s", method, addr)
	}
	if enc.sent > maxPooledBytes {
		_ = conn.Close()
		return nil
	}
	c.pool.Put(addr, conn)
	return nil
}

// closeIdle closes the idle connections to a peer. It is called after a timeout: connections tend to stop responding
// together, and each of them would cost the call that uses it.
func (c *Client) closeIdle(addr string) {
	for conn, ok := c.pool.Take(addr); ok; conn, ok = c.pool.Take(addr) {
		_ = conn.Close()
	}
}

// dial opens a connection to a peer.
func dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
	}), nil
}
