package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that is sent twice because the reused connection that carried it was closed.
func TestDoSendsOnce(t *testing.T) {
	Convey("A request on a reused connection that is closed without a response is not sent again", t, func() {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var requests atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r := bufio.NewReader(c)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if requests.Add(1) != 1 {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					}
				}()
			}
		}()
		tr := NewTransport(4, time.Second, time.Minute)
		Reset(func() { tr.CloseIdleConnections(); l.Close() })
		url := "http://" + l.Addr().String()
		_, err = Do(context.Background(), tr, http.MethodPost, url, []byte("{}"))
		So(err, ShouldBeNil)
		_, err = Do(context.Background(), tr, http.MethodPost, url, []byte("{}"))
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
		So(requests.Load(), ShouldEqual, 2)
	})
}

// brokenConn fails every write while broken is set.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c brokenConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Guards against net/http repeating a request on a new connection after a reused one failed before the first byte.
func TestDoDoesNotRetryUnwrittenRequest(t *testing.T) {
	Convey("A request whose reused connection accepts no byte is not sent on another connection", t, func() {
		var requests, dials atomic.Int32
		var broken atomic.Bool
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
		tr := NewTransport(4, time.Second, time.Minute)
		tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, addr)
			if dials.Add(1) == 1 {
				c = brokenConn{Conn: c, broken: &broken}
			}
			return c, err
		}
		Reset(func() { tr.CloseIdleConnections(); srv.Close() })
		_, err := Do(context.Background(), tr, http.MethodPost, srv.URL, []byte("{}"))
		So(err, ShouldBeNil)
		broken.Store(true)
		_, err = Do(context.Background(), tr, http.MethodPost, srv.URL, []byte("{}"))
		So(err, ShouldNotBeNil)
		So(dials.Load(), ShouldEqual, 1)
		So(requests.Load(), ShouldEqual, 1)
	})
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestDoNotSent(t *testing.T) {
	Convey("A failed dial is marked as not sent", t, func() {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		l.Close()
		_, err = Do(
			context.Background(), NewTransport(1, time.Second, time.Second), http.MethodPost, "http://"+addr, []byte("{}"),
		)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
}

// Guards against a slow response that is given up while bytes still arrive, and a stalled one that is never given up.
func TestReadTimeout(t *testing.T) {
	Convey("A response that arrives slowly", t, func() {
		stopAfter := 100
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for i := range 8 {
				if i == stopAfter {
					<-r.Context().Done()
					return
				}
				_, _ = io.WriteString(w, "x")
				w.(http.Flusher).Flush()
				time.Sleep(50 * time.Millisecond)
			}
		}))
		tr := NewTransport(1, time.Second, time.Minute)
		Reset(func() { tr.CloseIdleConnections(); srv.Close() })
		req := Request{Method: http.MethodGet, URL: srv.URL, ReadTimeout: 200 * time.Millisecond}
		Convey("is read to its end", func() {
			resp, err := Send(context.Background(), tr, req)
			So(err, ShouldBeNil)
			So(string(resp.Body), ShouldEqual, "xxxxxxxx")
		})
		Convey("is given up once no more bytes arrive", func() {
			stopAfter = 2
			start := time.Now()
			_, err := Send(context.Background(), tr, req)
			So(errors.Is(err, ErrReadTimeout), ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, 2*time.Second)
		})
	})
}
