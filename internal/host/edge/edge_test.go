package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// refusals counts refusals by reason.
type refusals struct {
	mu sync.Mutex
	n  map[string]int
}

// RecordRefusal implements Recorder.
func (r *refusals) RecordRefusal(_, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n[reason]++
}

// count returns the number of refusals for a reason.
func (r *refusals) count(reason Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[string(reason)]
}

// testServer is an HTTP server at the edge of a host.
type testServer struct {
	*http.Server
	t        *testing.T
	edge     *Edge
	address  string
	refusals *refusals
}

// newTestServer starts a server with short time limits.
func newTestServer(t *testing.T, size limit.Size, h http.HandlerFunc) *testServer {
	log, _ := test.NewNullLogger()
	r := &refusals{n: map[string]int{}}
	e, closeEdge := New(log, r)
	l, err := e.Listen(t.Context(), "callers", "127.0.0.1:0", size, func() Limits {
		return Limits{
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: time.Second,
			IdleTimeout: time.Second, BodyTimeout: 3 * time.Second, AnswerTimeout: 400 * time.Millisecond,
		}
	})
	So(err, ShouldBeNil)
	s := &testServer{Server: l.NewServer(h), t: t, edge: e, address: l.Addr().String(), refusals: r}
	go func() { _ = s.Serve(l) }()
	Reset(func() {
		_ = s.Close()
		closeEdge()
	})
	return s
}

// connect opens a connection and sends a text.
func (s *testServer) connect(text string) net.Conn {
	conn, err := new(net.Dialer).DialContext(s.t.Context(), "tcp", s.address)
	So(err, ShouldBeNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	So(err, ShouldBeNil)
	return conn
}

// answer returns the status of the answer on a connection and its header, 0 if the connection is closed without an answer.
func answer(conn net.Conn) (int, http.Header) {
	So(conn.SetReadDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		var netErr net.Error
		So(errors.As(err, &netErr) && netErr.Timeout(), ShouldBeFalse)
		return 0, nil
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// status returns the status of the answer on a connection.
func status(conn net.Conn) int {
	code, _ := answer(conn)
	return code
}

// await waits until a condition holds.
func await(fn func() bool) {
	for range 1000 {
		if fn() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("the condition", ShouldEqual, "met")
}

// post returns the header of a request with a body of n bytes.
func post(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

// readBody answers a request once its body has been read, as the servers of the host do.
func readBody(w http.ResponseWriter, r *http.Request) {
	var overload *limit.Overload
	if _, err := io.ReadAll(r.Body); errors.As(err, &overload) {
		w.Header()["Retry-After"] = []string{"1"}
		w.WriteHeader(http.StatusServiceUnavailable)
	} else if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHeaderLimits guards against headers that are larger or slower than the limits in force, and against limits that refuse
// a header of legal size.
func TestHeaderLimits(t *testing.T) {
	Convey("With a server", t, func() {
		s := newTestServer(t, limit.Size{Conns: 10, Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {})
		header := func(n int) string { return strings.TrimSuffix(get, "\r\n") + "X: " + strings.Repeat("a", n) }
		Convey("a header of legal size is served, and again on the same connection", func() {
			conn := s.connect(header(16_000) + "\r\n\r\n")
			So(status(conn), ShouldEqual, http.StatusOK)
			_, err := io.WriteString(conn, header(16_000)+"\r\n\r\n")
			So(err, ShouldBeNil)
			So(status(conn), ShouldEqual, http.StatusOK)
			await(func() bool { return s.edge.States()[0].Bytes == 0 })
		})
		Convey("a larger one is refused before its end", func() {
			So(status(s.connect(header(32<<10))), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			So(s.refusals.count(ReasonHeaderSize), ShouldEqual, 1)
		})
		Convey("one that doesn't end in time ends the connection", func() {
			So(status(s.connect(header(10))), ShouldEqual, 0)
			So(s.refusals.count(ReasonHeaderTime), ShouldEqual, 1)
		})
		Convey("an idle connection ends without being counted", func() {
			conn := s.connect(get)
			So(status(conn), ShouldEqual, http.StatusOK)
			So(status(conn), ShouldEqual, 0)
			So(s.refusals.count(ReasonHeaderTime), ShouldEqual, 0)
		})
		Convey("headers beyond the share are refused, while small requests are served", func() {
			s := newTestServer(t, limit.Size{Conns: 10, Bytes: 30_000}, func(http.ResponseWriter, *http.Request) {})
			s.connect(header(12_000))
			await(func() bool { return s.edge.States()[0].Bytes > 0 })
			code, h := answer(s.connect(header(12_000) + "\r\n\r\n"))
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			So(h.Get("Retry-After"), ShouldEqual, "1")
			So(status(s.connect(get)), ShouldEqual, http.StatusOK)
		})
	})
}

// TestBodies guards against bodies whose sum is beyond the share, that never end, or that a request leaves unread, and
// against refusals that the client doesn't see.
func TestBodies(t *testing.T) {
	const n = 100_000
	text := strings.Repeat("a", n)
	Convey("With a server that has room for one body", t, func() {
		var deleted atomic.Int32
		s := newTestServer(t, limit.Size{Conns: 10, Bytes: 3 * n}, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				deleted.Add(1)
			}
			readBody(w, r)
		})
		Convey("a body is served, whole, slowly or in chunks", func() {
			So(status(s.connect(post(n)+text)), ShouldEqual, http.StatusOK)
			conn := s.connect(post(n) + text[1:])
			time.Sleep(1200 * time.Millisecond)
			_, err := io.WriteString(conn, "a")
			So(err, ShouldBeNil)
			So(status(conn), ShouldEqual, http.StatusOK)
			chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, text)
			So(status(s.connect(chunked)), ShouldEqual, http.StatusOK)
			await(func() bool { return s.edge.States()[0].Bytes == 0 })
		})
		Convey("one after the other is served, on connections of their own", func() {
			for range 100 {
				So(status(s.connect(post(n)+text)), ShouldEqual, http.StatusOK)
			}
			So(s.refusals.count(ReasonBytes), ShouldEqual, 0)
		})
		Convey("a second one is refused with an answer, and served once the first has stalled, which sees why", func() {
			first := s.connect(post(n) + text[10:])
			await(func() bool { return s.edge.States()[0].Bytes > 0 })
			code, h := answer(s.connect(post(n) + text))
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			So(h.Get("Retry-After"), ShouldEqual, "1")
			time.Sleep(1100 * time.Millisecond)
			So(status(s.connect(post(n)+text)), ShouldEqual, http.StatusOK)
			So(status(first), ShouldEqual, http.StatusServiceUnavailable)
			So(s.refusals.count(ReasonBytes), ShouldEqual, 2)
		})
		Convey("one that doesn't end in time is a timeout", func() {
			So(status(s.connect(post(n)+text[10:])), ShouldEqual, http.StatusRequestTimeout)
			So(s.refusals.count(ReasonBodyTime), ShouldEqual, 1)
		})
		Convey("a request that needs no body is not carried out before its body has arrived", func() {
			So(status(s.connect("DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n1234")), ShouldEqual, http.StatusRequestTimeout)
			So(deleted.Load(), ShouldEqual, 0)
			So(status(s.connect("DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345")), ShouldEqual, http.StatusOK)
			So(deleted.Load(), ShouldEqual, 1)
		})
	})
}

// TestUnreadAnswers guards against clients that keep a connection and its buffers by not reading, and against a limit that
// counts the time that an answer takes to come.
func TestUnreadAnswers(t *testing.T) {
	Convey("An answer that isn't read in time ends the connection", t, func() {
		s := newTestServer(t, limit.Size{Conns: 10, Bytes: 1 << 20}, func(w http.ResponseWriter, _ *http.Request) {
			for range 1000 {
				if _, err := w.Write(make([]byte, 100_000)); err != nil {
					return
				}
			}
		})
		s.connect(get)
		await(func() bool { return s.refusals.count(ReasonAnswerTime) == 1 && s.edge.States()[0].Conns == 0 })
	})
	Convey("An answer that comes late after the client was told to go on is read", t, func() {
		s := newTestServer(t, limit.Size{Conns: 10, Bytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
			readBody(w, r)
			time.Sleep(time.Second)
		})
		conn := s.connect("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
		r := bufio.NewReader(conn)
		So(conn.SetReadDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
		resp, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusContinue)
		_, err = io.WriteString(conn, "a")
		So(err, ShouldBeNil)
		resp, err = http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
	})
}

// TestConnections guards against a flood of connections that takes descriptors without bound, cuts a client that waits for
// its answer, or keeps ordinary requests out.
func TestConnections(t *testing.T) {
	Convey("With a server that has room for four connections, two of which wait for their answers", t, func() {
		release := make(chan struct{})
		var carriedOut atomic.Int32
		s := newTestServer(t, limit.Size{Conns: 4, Bytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
			readBody(w, r)
			if r.URL.Path == "/wait" {
				carriedOut.Add(1)
				<-release
			}
		})
		wait := "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
		waiting := []net.Conn{s.connect(wait), s.connect(strings.Replace(post(4), "/", "/wait", 1) + "abcd")}
		// Until the server has read them, they are connections with unfinished requests like those of a flood.
		await(func() bool { return int(carriedOut.Load()) == len(waiting) })
		Convey("a flood of silent and unfinished ones leaves them alone, and an ordinary request is served", func() {
			for i := range 50 {
				s.connect([]string{"", "GET", post(10), post(10) + "a"}[i%4])
			}
			So(status(s.connect(get)), ShouldEqual, http.StatusOK)
			So(s.edge.States()[0].Conns, ShouldBeLessThanOrEqualTo, 4)
			So(s.refusals.count(ReasonConnections), ShouldBeGreaterThan, 40)
			close(release)
			for _, conn := range waiting {
				So(status(conn), ShouldEqual, http.StatusOK)
			}
		})
		Convey("a request waits for its answer that was sent along with the one before it", func() {
			s.connect(wait)
			conn := s.connect(get + wait)
			r := bufio.NewReader(conn)
			first, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			_ = first.Body.Close()
			time.Sleep(300 * time.Millisecond)
			So(status(s.connect("")), ShouldEqual, 0)
			So(s.refusals.count(ReasonFull), ShouldEqual, 1)
			close(release)
			second, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			_ = second.Body.Close()
			So(second.StatusCode, ShouldEqual, http.StatusOK)
		})
		Convey("a new one is closed if all wait for their answers", func() {
			waiting = append(waiting, s.connect(wait), s.connect(wait))
			time.Sleep(300 * time.Millisecond)
			So(status(s.connect("")), ShouldEqual, 0)
			So(s.refusals.count(ReasonFull), ShouldEqual, 1)
			close(release)
			for _, conn := range waiting {
				So(status(conn), ShouldEqual, http.StatusOK)
			}
		})
		Convey("a shutdown answers what waits, closes the others and ends", func() {
			idle := s.connect(get)
			So(status(idle), ShouldEqual, http.StatusOK)
			done := make(chan error, 1)
			go func() { done <- s.Shutdown(context.Background()) }()
			So(status(idle), ShouldEqual, 0)
			time.Sleep(100 * time.Millisecond)
			close(release)
			for _, conn := range waiting {
				So(status(conn), ShouldEqual, http.StatusOK)
			}
			So(<-done, ShouldBeNil)
			await(func() bool { return s.edge.States()[0].Conns == 0 })
		})
	})
}

// TestNoAnswerIsLost guards against a connection that is closed, or a request that gives way, although the request has been
// carried out.
func TestNoAnswerIsLost(t *testing.T) {
	Convey("Among clients that compete for little room, each whose request was carried out gets its answer", t, func() {
		var ran sync.Map
		s := newTestServer(t, limit.Size{Conns: 6, Bytes: 200_000}, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			ran.Store(r.Header.Get("Id"), true)
			time.Sleep(time.Millisecond)
		})
		var wg sync.WaitGroup
		var answered, lost atomic.Int32
		for i := range 24 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(1, uint64(i)))
				for j := range 300 {
					id := fmt.Sprintf("%d-%d", i, j)
					code := sendInPieces(rng, s.address, id)
					_, ok := ran.Load(id)
					switch {
					case code == http.StatusOK:
						answered.Add(1)
					case ok:
						lost.Add(1)
					}
				}
			})
		}
		wg.Wait()
		t.Logf("%d answered, refusals %v", answered.Load(), s.refusals.n)
		So(lost.Load(), ShouldEqual, 0)
		So(answered.Load(), ShouldBeGreaterThan, 0)
		So(s.refusals.count(ReasonConnections), ShouldBeGreaterThan, 0)
		So(s.refusals.count(ReasonBytes), ShouldBeGreaterThan, 0)
	})
}

// sendInPieces sends a request of random size in random pieces and returns the status of the answer, 0 if there is none.
func sendInPieces(rng *rand.Rand, address, id string) int {
	conn, err := net.Dial("tcp", address) //nolint:noctx // The test bounds the time by deadlines.
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	n := rng.IntN(60_000)
	text := post(n) + strings.Repeat("a", n)
	if rng.IntN(2) == 0 {
		text = get
	}
	text = strings.Replace(text, "Host: h", "Host: h\r\nId: "+id, 1)
	for text != "" {
		k := min(len(text), 1+rng.IntN(30_000))
		if _, err := io.WriteString(conn, text[:k]); err != nil {
			break
		}
		text = text[k:]
		time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestLogOfRefusals guards against a crowd that fills the log, and against refusals that no line counts.
func TestLogOfRefusals(t *testing.T) {
	Convey("A thousand refusals take a line at once and one with the count of the others", t, func() {
		log, hook := test.NewNullLogger()
		e, closeEdge := New(log, &refusals{n: map[string]int{}})
		defer closeEdge()
		for range 1000 {
			e.report("callers", ReasonFull)
		}
		await(func() bool { return len(hook.AllEntries()) >= 2 })
		sum := 0
		for _, line := range hook.AllEntries() {
			sum += line.Data["count"].(int)
		}
		So(sum, ShouldEqual, 1000)
	})
}
