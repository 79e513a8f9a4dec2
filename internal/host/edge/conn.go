package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

const (
	// headerSlack is how much of what follows a header may be read along with it: the buffer of the HTTP server.
	headerSlack = 4 << 10
	// refusalTimeout bounds the writing of a refusal, and refusalLinger is how long the connection stays open after that:
	// to close it with input unread discards the answer at the client.
	refusalTimeout = time.Second
	refusalLinger  = 500 * time.Millisecond
	// messageBytes is the least input on an idle connection of peers that begins a message. What ends a call is shorter and
	// may come after its answer.
	messageBytes = 64
	// callSlack is how much may arrive on a connection of peers while its call is carried out. A call has one message, so
	// that only its end follows.
	callSlack = 4 << 10
)

// errGone is the error of reading from a connection that has been closed or whose request was refused.
var errGone = errors.New("edge: the connection is no longer served")

// lineEnd ends a line of a header, and headerEnd the header.
var (
	lineEnd   = []byte("\n")
	headerEnd = []byte("\r\n\r\n")
)

// interruptTime is a read deadline in the past.
var interruptTime = time.Unix(1, 0)

// conn is a connection whose input is counted. Its other fields are guarded by the lock of the listener.
type conn struct {
	net.Conn
	l     *Listener
	state *limit.Conn
	// messages is set for connections of peers, which don't carry HTTP.
	messages bool
	// uncounted is what has arrived on a connection of peers since the last message was answered, or early while a call is in
	// progress, without having begun a message.
	uncounted int
	// inHeader is set until the header of the request in progress has arrived.
	inHeader bool
	// fields is the number of lines that have arrived of the header.
	fields int
	// asked is the read deadline that the server has set, and phaseEnd that of the phase. Either may be zero.
	asked, phaseEnd time.Time
	// late is set once a header has not arrived in time.
	late bool
	// interrupted is set once the request has given way.
	interrupted bool
	// askedWrite is the write deadline that the server has set, and answerEnd the time by which the answer must have been
	// read, zero if nothing of it was written.
	askedWrite, answerEnd time.Time
}

// earliest returns the earlier of two deadlines, either of which may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// applyReadDeadline sets the read deadline in force. The lock is held.
func (c *conn) applyReadDeadline() {
	d := earliest(c.asked, c.phaseEnd)
	if c.interrupted {
		d = interruptTime
	}
	// It fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(d)
}

// setPhaseEnd sets the read deadline of the phase. The lock is held.
func (c *conn) setPhaseEnd(t time.Time) {
	c.phaseEnd = t
	c.applyReadDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.asked = t
	c.applyReadDeadline()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.l.mu.Lock()
	c.askedWrite = t
	c.l.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.l.mu.Lock()
	if c.state.Closed() || c.hasGivenWay() {
		c.l.mu.Unlock()
		return 0, c.goneError()
	}
	c.state.SetWaiting(!c.isBackgroundRead(p))
	c.l.mu.Unlock()
	n, err := c.Conn.Read(p)
	limits := c.l.limits()
	c.l.mu.Lock()
	c.state.SetWaiting(false)
	status, reason := 0, Reason("")
	switch {
	case c.state.Closed():
		c.l.mu.Unlock()
		return 0, c.goneError()
	case c.hasGivenWay():
		status, reason = http.StatusServiceUnavailable, ReasonBytes
	case n > 0 && c.state.Phase() != limit.PhaseComplete:
		status, reason = c.arrived(p[:n], limits)
	case n > 0 && c.messages:
		status, reason = c.arrivedDuringCall(n)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.inHeader && c.state.Phase() == limit.PhaseIncomplete && !c.late:
		// A body that is late is reported by whoever reads it. The server reads more than once before it gives up. Ordinary
		// clients open connections that they don't use.
		if c.late = true; c.state.Received() > 0 {
			reason = ReasonHeaderTime
		}
	}
	inHeader := c.inHeader
	c.l.mu.Unlock()
	if reason != "" {
		c.l.edge.report(c.l.server, reason)
	}
	if status == 0 {
		return n, err
	}
	if inHeader && !c.messages {
		c.refuse(status)
	}
	return 0, c.goneError()
}

// isBackgroundRead reports whether a read is the one by which the HTTP server notices that the client has gone. It starts when
// the server has read a body to its end, before the body says so, and is the only read of one byte. The lock is held.
func (c *conn) isBackgroundRead(p []byte) bool { return !c.messages && !c.inHeader && len(p) == 1 }

// hasGivenWay reports whether nothing more is read of the request in progress since it has given way. What is left of a body
// that was refused when it began is read and dropped: a client that still sends would not see the answer. The lock is held.
func (c *conn) hasGivenWay() bool { return c.state.GaveWay() && (c.inHeader || c.interrupted) }

// arrived counts input of a request. If the request is refused, it returns the status and the reason. The lock is held.
func (c *conn) arrived(input []byte, limits Limits) (int, Reason) {
	now, n := time.Now(), len(input)
	if c.state.Phase() == limit.PhaseIdle {
		if c.messages {
			if c.uncounted += n; c.uncounted < messageBytes {
				return 0, ""
			}
			n, c.uncounted = c.uncounted, 0
		}
		if !c.messages {
			c.setPhaseEnd(now.Add(limits.HeaderTimeout))
		}
	}
	c.state.Arrived(now, n)
	if !c.inHeader {
		// What a body holds is reserved by whoever reads it.
		return 0, ""
	}
	if !c.messages && c.state.Received() > int64(min(limits.MaxHeaderBytes, maxHeaderBytes)+headerSlack) {
		c.l.share.Release(c.state)
		return http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderSize
	}
	if !c.messages {
		c.fields += countLines(input)
	}
	victims, ok := c.l.share.Reserve(now, c.state, limit.Need{Bytes: c.state.Received(), Fields: c.fields}, false)
	if !ok {
		return http.StatusServiceUnavailable, ReasonBytes
	}
	c.l.interrupt(victims)
	return 0, ""
}

// countLines returns the number of lines of a header's input, without the beginning of a body that was read along with it.
func countLines(input []byte) int {
	if end := bytes.Index(input, headerEnd); end >= 0 {
		input = input[:end]
	}
	return bytes.Count(input, lineEnd)
}

// arrivedDuringCall counts n bytes that arrive on a connection of peers before its call has been answered. Once the answer is
// being written, they may belong to the next call. The lock is held.
func (c *conn) arrivedDuringCall(n int) (int, Reason) {
	now := time.Now()
	c.uncounted += n
	if c.answerEnd.IsZero() && c.uncounted > callSlack {
		return http.StatusServiceUnavailable, ReasonBytes
	}
	c.state.Arrived(now, n)
	victims, ok := c.l.share.Reserve(now, c.state, limit.Need{Bytes: c.state.Received()}, false)
	if !ok {
		return http.StatusServiceUnavailable, ReasonBytes
	}
	c.l.interrupt(victims)
	return 0, ""
}

// goneError returns the error of reading from a connection that is no longer served. The HTTP server doesn't answer after
// errors of this type.
func (c *conn) goneError() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errGone}
}

// refuse answers a request whose header has not arrived as a whole. Until it returns, the connection can be closed to make
// room for another one.
func (c *conn) refuse(status int) {
	c.l.mu.Lock()
	c.state.SetWaiting(true)
	c.l.mu.Unlock()
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"+
		retry+"\r\n"+text)
	if err == nil && c.CloseWrite() == nil {
		time.Sleep(refusalLinger)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	limits := c.l.limits()
	c.l.mu.Lock()
	if c.answerEnd.IsZero() {
		c.answerEnd = time.Now().Add(limits.AnswerTimeout)
	}
	own := c.answerEnd
	deadline := earliest(c.askedWrite, own)
	c.l.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && deadline.Equal(own) {
		c.l.edge.report(c.l.server, ReasonAnswerTime)
	}
	return n, err
}

// CloseWrite closes the sending side, as the HTTP server does after some refusals.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	c.l.share.Close(c.state)
	delete(c.l.conns, c.state)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// setComplete says that the request in progress has arrived as a whole. The lock is held.
func (c *conn) setComplete() {
	c.state.SetComplete()
	c.inHeader, c.answerEnd, c.uncounted = false, time.Time{}, 0
	c.setPhaseEnd(time.Time{})
}

// finish says that the request in progress has been answered. The lock is held.
func (c *conn) finish(now time.Time) {
	c.l.share.Finish(now, c.state)
	c.inHeader, c.fields, c.answerEnd = true, 0, time.Time{}
}
