//go:build linux

package untrusted

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// The limits of the host's settings and the size of the crowd. They are small so that a small crowd shows a missing limit.
// The environment variables UNTRUSTED_MEMORY, UNTRUSTED_FDS and UNTRUSTED_CLIENTS replace them.
const (
	memoryMiB   = 128
	descriptors = 1000
	clients     = 600
	// silentClients is the size of the crowd of connections that send nothing. It is larger than the descriptors.
	silentClients = 1500
)

const (
	// crowdTime is how long clients without an end of their input go on.
	crowdTime = 5 * time.Second
	// reconnectTime is how long such a client waits before it connects again.
	reconnectTime = 500 * time.Millisecond
	// writeTime bounds the time in which any other client connects and sends what it has to send.
	writeTime = 30 * time.Second
	// bodyBytes is the size of a large body, below the limit of 262,144 bytes.
	bodyBytes = 250_000
	// missingBytes is how far short of the end most bodies stop.
	missingBytes = 10
	// completeShare is the share of clients whose request is complete: one in so many.
	completeShare = 10
)

// client is one client of a crowd.
type client struct {
	// Conn is nil before the client has connected.
	net.Conn
	// address is that of the host, and n counts the clients of a crowd from 0.
	address string
	n       int
}

// complete reports whether the client sends all of its request.
func (c *client) complete() bool { return c.n%completeShare == 0 }

// TestHeadersOverLimit guards against clients that fill the memory with headers far beyond the limit of the manifest, each
// just under the default limit of the HTTP library.
func TestHeadersOverLimit(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("a", 8000) + "\r\n"
	header := "GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\n" + strings.Repeat(line, 1_000_000/len(line))
	checkCrowd(t, clients, func(c *client) error { return c.sendAll(header) })
}

// TestHeadersWithoutEnd guards against clients that fill the memory with headers that never end.
func TestHeadersWithoutEnd(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("a", 1000) + "\r\n"
	checkCrowd(t, clients, func(c *client) error {
		return c.sendRepeatedly("GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\n", line)
	})
}

// TestHeadersJustUnderLimit guards against clients that fill the memory with headers that the manifest allows.
func TestHeadersJustUnderLimit(t *testing.T) {
	header := "GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\nX-Filler: " + strings.Repeat("a", 16_000) + "\r\n"
	checkCrowd(t, clients, func(c *client) error {
		if c.complete() {
			return c.sendAll(header + "\r\n")
		}
		return c.sendAll(header)
	})
}

// TestEmptyLinesWithoutEnd guards against clients that occupy the host with empty lines before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	checkCrowd(t, clients, func(c *client) error { return c.sendRepeatedly("", strings.Repeat("\r\n", 500)) })
}

// TestLargeBodiesWhole guards against clients that fill the memory with large bodies that stop short of their end.
func TestLargeBodiesWhole(t *testing.T) {
	body := largeBody()
	checkCrowd(t, clients, func(c *client) error { return c.sendAll(lengthHeader, body[:c.bodyEnd(len(body))]) })
}

// TestLargeBodiesPieceByPiece guards against the same with bodies that arrive in small pieces at the same time.
func TestLargeBodiesPieceByPiece(t *testing.T) {
	const piece = 4000
	body := largeBody()
	checkCrowd(t, clients, func(c *client) error {
		rest := body[:c.bodyEnd(len(body))]
		err := c.sendAll(lengthHeader)
		for err == nil && rest != "" {
			n := min(piece, len(rest))
			err = c.sendAll(rest[:n])
			rest = rest[n:]
			time.Sleep(10 * time.Millisecond)
		}
		return err
	})
}

// TestLargeChunkStoppingShort guards against clients that fill the memory with one large chunk that stops short of its end.
func TestLargeChunkStoppingShort(t *testing.T) {
	body := largeBody()
	checkCrowd(t, clients, func(c *client) error {
		err := c.sendAll(chunkedHeader, strconv.FormatInt(int64(len(body)), 16), "\r\n", body[:c.bodyEnd(len(body))])
		if err == nil && c.complete() {
			err = c.sendAll("\r\n0\r\n\r\n")
		}
		return err
	})
}

// TestSmallChunksStoppingShort guards against clients that fill the memory with chunks of one byte, which stop short of the
// end.
func TestSmallChunksStoppingShort(t *testing.T) {
	body := largeBody()
	var chunks bytes.Buffer
	for i := range len(body) {
		chunks.WriteString("1\r\n" + body[i:i+1] + "\r\n")
	}
	data := chunks.String()
	checkCrowd(t, clients, func(c *client) error {
		if c.complete() {
			return c.sendAll(chunkedHeader, data, "0\r\n\r\n")
		}
		return c.sendAll(chunkedHeader, data[:len(data)-6*missingBytes])
	})
}

// TestAnswersNeverRead guards against clients that send requests and keep the host busy with answers that they never read.
func TestAnswersNeverRead(t *testing.T) {
	requests := strings.Repeat("GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 100)
	checkCrowd(t, clients, func(c *client) error {
		// The kernel rounds this up to its smallest buffer.
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(1); err != nil {
			return err
		}
		return c.sendRepeatedly("", requests)
	})
}

// TestSilentConnections guards against clients that use up the descriptors with connections on which they send nothing.
func TestSilentConnections(t *testing.T) {
	checkCrowd(t, silentClients, func(*client) error { return nil })
}

// The headers of requests with a large body. The time that the caller offers is longer than the crowd stays.
const (
	postHeader    = "POST /batch/00000000000000b1 HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 120000\r\n"
	chunkedHeader = postHeader + "Transfer-Encoding: chunked\r\n\r\n"
)

var lengthHeader = postHeader + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"

// largeBody returns a submission of bodyBytes bytes that is refused after it was decoded, since it has no steps.
func largeBody() string {
	const begin, end = `{"Spec":"`, `","Steps":[]}`
	return begin + strings.Repeat("a", bodyBytes-len(begin)-len(end)) + end
}

// bodyEnd returns how much of a body of n bytes the client sends.
func (c *client) bodyEnd(n int) int {
	if c.complete() {
		return n
	}
	return n - missingBytes
}

// sendAll sends the texts.
func (c *client) sendAll(texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

// sendRepeatedly sends first once and then text again and again until crowdTime has passed. It connects again if the host
// closes the connection.
func (c *client) sendRepeatedly(first, text string) error {
	until := time.Now().Add(crowdTime)
	for time.Now().Before(until) {
		if err := c.SetWriteDeadline(until); err != nil {
			return err
		}
		err := c.sendAll(first)
		for err == nil && time.Now().Before(until) {
			err = c.sendAll(text)
			time.Sleep(time.Millisecond)
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		time.Sleep(reconnectTime)
		if err := c.connect(); err != nil {
			return err
		}
	}
	return nil
}

// connect opens a connection to the host instead of the present one.
func (c *client) connect() error {
	conn, err := (&net.Dialer{Timeout: writeTime}).DialContext(context.Background(), "tcp", c.address)
	if err != nil {
		return err
	}
	if c.Conn != nil {
		_ = c.Close()
	}
	c.Conn = conn
	// The host may stop reading.
	return conn.SetWriteDeadline(time.Now().Add(writeTime))
}

// checkCrowd starts a host and a crowd of n clients, each of which connects, calls behave and stays. The test fails if the
// host ends, takes more memory or descriptors than its settings say, or doesn't answer an ordinary request afterwards.
func checkCrowd(t *testing.T, n int, behave func(c *client) error) {
	checkCrowdAt(t, n, callersAddress, behave)
}

// callersAddress returns the address for callers.
func callersAddress(h *testHost) string { return h.callers }

// checkCrowdAt is checkCrowd with a crowd at another address of the host.
func checkCrowdAt(t *testing.T, n int, address func(h *testHost) string, behave func(c *client) error) {
	checkCrowdOf(t, n, descriptors, address, behave)
}

// checkCrowdOf is checkCrowdAt with another number of descriptors in the settings of the host.
func checkCrowdOf(t *testing.T, n, descriptors int, address func(h *testHost) string, behave func(c *client) error) {
	n = envNumber(t, "UNTRUSTED_CLIENTS", n)
	h := startHost(t, envNumber(t, "UNTRUSTED_MEMORY", memoryMiB), envNumber(t, "UNTRUSTED_FDS", descriptors))
	checkCrowds(h, crowd{n: n, address: address, behave: behave})
}

// crowd is a number of clients that behave alike.
type crowd struct {
	n       int
	address func(h *testHost) string
	behave  func(c *client) error
}

// gather connects the clients of the crowd to a host. It returns once all of them have sent what they have to send, or the
// host has refused it. The returned function disconnects them.
func (cr crowd) gather(h *testHost) (leave func()) {
	release := make(chan struct{})
	var sending, connected sync.WaitGroup
	sending.Add(cr.n)
	for i := range cr.n {
		connected.Go(func() { runClient(&client{address: cr.address(h), n: i}, cr.behave, sending.Done, release) })
	}
	sending.Wait()
	return func() {
		close(release)
		connected.Wait()
	}
}

// checkCrowds has the crowds come to the host at the same time. The test fails as described at checkCrowd.
func checkCrowds(h *testHost, crowds ...crowd) {
	h.t.Helper()
	idle := h.peakMemory()
	stopWatching := h.watchDescriptors()
	leave := make([]func(), len(crowds))
	var gathering sync.WaitGroup
	for i, cr := range crowds {
		gathering.Go(func() { leave[i] = cr.gather(h) })
	}
	gathering.Wait()
	time.Sleep(time.Second)
	h.await("the host, with the crowd connected,", h.ordinaryRequest)
	for _, fn := range leave {
		fn()
	}
	h.await("the host, after the crowd,", h.ordinaryRequest)
	stopWatching()
	h.checkProcesses()
	peak := h.peakMemory()
	h.t.Logf("%d crowds: memory %d MiB (idle %d) of %d, descriptors %d of %d",
		len(crowds), peak>>20, idle>>20, h.memory>>20, h.maxDescriptors, h.descriptors)
	if peak > h.memory {
		h.t.Errorf("the host took %d MiB of memory, its limit is %d", peak>>20, h.memory>>20)
	}
	if h.maxDescriptors > h.descriptors {
		h.t.Errorf("the host had %d descriptors open, its limit is %d", h.maxDescriptors, h.descriptors)
	}
}

// runClient connects a client and calls behave, then sent, and stays connected until release is closed.
func runClient(c *client, behave func(c *client) error, sent func(), release <-chan struct{}) {
	err := c.connect()
	if err == nil {
		// The host may refuse what the client sends and close the connection.
		_ = behave(c)
	}
	sent()
	<-release
	if c.Conn != nil {
		_ = c.Close()
	}
}

// envNumber returns the number in an environment variable, or the fallback if it is not set.
func envNumber(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
