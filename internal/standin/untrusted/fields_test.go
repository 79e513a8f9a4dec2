//go:build linux

package untrusted

import (
	"fmt"
	"strings"
	"testing"
)

const (
	// manyConnections is the size of a crowd that is larger than the number of connections that a host allows with
	// manyDescriptors, those of the users' smallest hosts.
	manyConnections = 1500
	manyDescriptors = 4100
)

// TestHeadersOfShortFields guards against clients that fill the memory with headers of legal size, each short field of which
// takes many times its length once it is parsed, and whose bodies stop short of their end.
func TestHeadersOfShortFields(t *testing.T) {
	checkCrowdOf(t, manyConnections, manyDescriptors, callersAddress, sendText(shortFields()+"{"))
}

// shortFields returns the header of a request with a body that has as many fields as it may have bytes for.
func shortFields() string {
	var header strings.Builder
	header.WriteString(strings.TrimSuffix(lengthHeader, "\r\n"))
	for i := 0; header.Len() < 16_000; i++ {
		fmt.Fprintf(&header, "%x:\r\n", i)
	}
	header.WriteString("\r\n")
	return header.String()
}
