//go:build linux

package untrusted

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"testing"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// peerMessageBytes is the size of a large message to a peer, below the limit of 4 MiB.
const peerMessageBytes = 1 << 20

// peersAddress returns the address for other hosts.
func peersAddress(h *testHost) string { return h.peers }

// TestPeerMessagesStoppingShort guards against clients at the address for other hosts that fill the memory with messages that
// stop short of their end.
func TestPeerMessagesStoppingShort(t *testing.T) {
	frame := messageFrame(peerMessageBytes) + strings.Repeat("a", peerMessageBytes-missingBytes)
	checkCrowdAt(t, clients, peersAddress, func(c *client) error { return c.sendAll(frame) })
}

// messageFrame returns the beginning of a frame with n bytes: a byte of flags, the IDs of the stream and of the message, and the
// length.
func messageFrame(n uint64) string { return string(binary.AppendUvarint([]byte{1 << 1, 1, 1}, n)) }

// TestSilentPeers guards against clients that use up the descriptors at the address for other hosts.
func TestSilentPeers(t *testing.T) {
	checkCrowdAt(t, silentClients, peersAddress, func(*client) error { return nil })
}

// TestPeerMessagesOfEmptyElements guards against clients at the address for other hosts that fill the memory with messages whose
// short elements take two hundred times their length once they are decoded.
func TestPeerMessagesOfEmptyElements(t *testing.T) {
	const n = 500_000
	message := submission(n, strings.Repeat("\xc0", n))
	checkCrowdAt(t, decodedClients, peersAddress, func(c *client) error { return c.call(methodRequest, message) })
}

// TestPeerMessagesWithFalseLengths guards against clients at the address for other hosts that end the process with a short
// message which announces a list that is larger than the memory.
func TestPeerMessagesWithFalseLengths(t *testing.T) {
	message := submission(math.MaxUint32, "")
	checkCrowdAt(t, decodedClients, peersAddress, func(c *client) error { return c.call(methodRequest, message) })
}

// TestPeerMessagesDeeplyNested guards against clients at the address for other hosts that fill the memory, or end the process,
// with messages whose nesting has no end.
func TestPeerMessagesDeeplyNested(t *testing.T) {
	message := append([]byte{0x81, 0xa1, 'z'}, strings.Repeat("\x91", peerMessageBytes)...)
	checkCrowdAt(t, decodedClients, peersAddress, func(c *client) error { return c.call(methodRequest, message) })
}

// TestPeerPingsWithLongNames guards against clients at the address for other hosts that fill the memory with names of hosts in
// their pings, which a host keeps.
func TestPeerPingsWithLongNames(t *testing.T) {
	const nameBytes, pings = 100_000, 15
	name := strings.Repeat("n", nameBytes)
	checkCrowdAt(t, decodedClients, peersAddress, func(c *client) error {
		for i := range pings {
			message := binary.BigEndian.AppendUint32([]byte{0x81, 0xa1, 'n', 0xdb}, nameBytes+6)
			// A ping may be refused, and ends its connection then.
			_ = c.call(methodPing, fmt.Appendf(message, "%04d%02d%s", c.n, i, name))
			if err := c.connect(); err != nil {
				return err
			}
		}
		return nil
	})
}

// submission returns the message that forwards a job to the leader. It announces n steps and holds the given ones.
func submission(n uint32, steps string) []byte {
	message := append([]byte{0x83, 0xa1, 'a', 0xa6}, "submit"...)
	message = append(message, 0xa1, 'l', 0xce, 0x3b, 0x9a, 0xca, 0x00)
	message = append(message, 0xa1, 's', 0x81, 0xa1, 's', 0xdd)
	return append(binary.BigEndian.AppendUint32(message, n), steps...)
}

// rawEncoding is the drpc.Encoding of messages that are encoded already.
type rawEncoding struct{}

// Marshal implements drpc.Encoding.
func (rawEncoding) Marshal(msg drpc.Message) ([]byte, error) { return *msg.(*[]byte), nil }

// Unmarshal implements drpc.Encoding.
func (rawEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	*msg.(*[]byte) = buf
	return nil
}

// The methods that forward requests to the leader and that check whether it lives.
const (
	methodRequest = "/sassafraswind.entry/Ask"
	methodPing    = "/sassafraswind.entry/Beat"
)

// call sends an encoded message to a method and waits for the answer.
func (c *client) call(method string, message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	var reply []byte
	return drpcconn.New(c.Conn).Invoke(ctx, method, rawEncoding{}, &message, &reply)
}
