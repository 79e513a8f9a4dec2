package edge

import (
	"net"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// MessageListener is a Listener for a server of messages that don't follow HTTP. The server tells its connections when a
// message has arrived and when it has been answered.
type MessageListener struct{ *Listener }

// Accept implements net.Listener.
func (l MessageListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if c, ok := nc.(*conn); ok {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.messages = true
		// The server bounds the time for which a connection is unused.
		c.setPhaseEnd(time.Time{})
	}
	return nc, err
}

// MessageArrived says that the message in progress has arrived as a whole. It returns false if the message must not be
// carried out, since its answer would be lost.
func (c *conn) MessageArrived() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.state.Closed() || c.state.GaveWay() {
		return false
	}
	c.setComplete()
	return true
}

// ReserveDecoded reserves memory in bytes for the decoded form of the message that has arrived, beyond what is counted for its
// bytes. It returns false if there is no room; the message must not be decoded then.
func (c *conn) ReserveDecoded(memory int64) bool {
	c.l.mu.Lock()
	received := c.state.Received()
	c.l.mu.Unlock()
	return c.reserve(limit.Need{Bytes: received, Decoded: memory}, true)
}

// RecordMalformed counts a message that no host sends, and logs it like a refusal.
func (c *conn) RecordMalformed() { c.l.edge.report(c.l.server, ReasonMalformed) }

// MessageAnswered says that the message has been answered. The buffer of the server's reader keeps the size of the largest
// message until the connection closes, so that what the message holds stays reserved.
func (c *conn) MessageAnswered() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	now, early := time.Now(), c.uncounted
	c.l.share.FinishMessage(now, c.state)
	c.inHeader, c.answerEnd, c.uncounted = true, time.Time{}, 0
	if early >= messageBytes {
		c.state.Arrived(now, early)
	}
}
