//go:build linux

package untrusted

import (
	"encoding/binary"
	"strings"
	"testing"
)

// peerMessageBytes is the size of a large message to a peer, below the limit of 4 MiB.
const peerMessageBytes = 1 << 20

// peersAddress returns the address for other hosts.
func peersAddress(h *testHost) string { return h.peers }

// TestPeerMessagesStoppingShort guards against clients at the address for other hosts that fill the memory with messages that
// stop short of their end.
func TestPeerMessagesStoppingShort(t *testing.T) {
	// A frame begins with a byte of flags, the IDs of the stream and of the message, and the length.
	frame := string(binary.AppendUvarint([]byte{1 << 1, 1, 1}, peerMessageBytes)) + strings.Repeat("a", peerMessageBytes-missingBytes)
	checkCrowdAt(t, clients, peersAddress, func(c *client) error { return c.sendAll(frame) })
}

// TestSilentPeers guards against clients that use up the descriptors at the address for other hosts.
func TestSilentPeers(t *testing.T) {
	checkCrowdAt(t, silentClients, peersAddress, func(*client) error { return nil })
}
