package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// startPeer starts a peer and returns its address and the number of connections that it has accepted.
func startPeer(handler http.HandlerFunc) (address string, conns *atomic.Int32, srv *httptest.Server) {
	conns = &atomic.Int32{}
	srv = httptest.NewUnstartedServer(handler)
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	return strings.TrimPrefix(srv.URL, "http://"), conns, srv
}

// post sends a request and returns the response.
func post(p *ClientPool, limit time.Duration, call Call) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	call.Path, call.HeaderName, call.HeaderValue = "/x", "A", "b"
	err = p.Post(ctx, call, func(s int, b []byte) { status, body = s, string(b) })
	return status, body, err
}

func TestClientPool(t *testing.T) {
	Convey("With a peer that echoes requests", t, func() {
		var requests atomic.Int32
		address, conns, srv := startPeer(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			data, _ := io.ReadAll(r.Body)
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, r.Method+r.URL.Path+r.Header.Get("A")+r.Host+string(data))
		})
		defer srv.Close()
		p, done := NewClientPool(2, time.Second, time.Minute)
		defer done()
		call := Call{Address: address, Body: []byte("{}")}
		Convey("requests share one connection", func() {
			for range 3 {
				status, body, err := post(p, time.Second, call)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusConflict)
				So(body, ShouldEqual, "POST/xb"+address+"{}")
			}
			So(conns.Load(), ShouldEqual, 1)
		})
		Convey("a request without permission is not sent, and its connection is used again", func() {
			call.Permit = func() bool { return false }
			_, _, err := post(p, time.Second, call)
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
			So(errors.Is(err, ErrNotPermitted), ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 0)
			call.Permit = nil
			_, _, err = post(p, time.Second, call)
			So(err, ShouldBeNil)
			So(conns.Load(), ShouldEqual, 1)
		})
		Convey("a connection that the peer closed while it was unused is replaced before anything is sent", func() {
			_, _, err := post(p, time.Second, call)
			So(err, ShouldBeNil)
			srv.CloseClientConnections()
			time.Sleep(probeIdleAfter + 50*time.Millisecond)
			_, _, err = post(p, time.Second, call)
			So(err, ShouldBeNil)
			So(requests.Load(), ShouldEqual, 2)
			So(conns.Load(), ShouldEqual, 2)
		})
	})
	Convey("The permission is checked after the wait for a connection", t, func() {
		release := make(chan struct{})
		var requests atomic.Int32
		address, _, srv := startPeer(func(http.ResponseWriter, *http.Request) {
			requests.Add(1)
			<-release
		})
		defer srv.Close()
		p, done := NewClientPool(1, time.Second, time.Minute)
		defer done()
		first := make(chan error, 1)
		go func() {
			_, _, err := post(p, time.Second, Call{Address: address})
			first <- err
		}()
		for requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		var lapsed atomic.Bool
		time.AfterFunc(maxConnWait/3, func() { lapsed.Store(true); close(release) })
		_, _, err := post(p, time.Second, Call{Address: address, Permit: func() bool { return !lapsed.Load() }})
		So(errors.Is(err, ErrNotPermitted), ShouldBeTrue)
		So(<-first, ShouldBeNil)
		So(requests.Load(), ShouldEqual, 1)
	})
	Convey("Failures before the request is sent are told from those after it", t, func() {
		p, done := NewClientPool(1, time.Second, time.Minute)
		defer done()
		_, _, err := post(p, time.Second, Call{Address: "127.0.0.1:1"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)

		release := make(chan struct{})
		var requests atomic.Int32
		address, _, srv := startPeer(func(http.ResponseWriter, *http.Request) {
			requests.Add(1)
			<-release
		})
		defer srv.Close()
		defer close(release)
		answered := make(chan error, 1)
		go func() {
			_, _, err := post(p, 2*maxConnWait, Call{Address: address})
			answered <- err
		}()
		for requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _, err = post(p, time.Second, Call{Address: address})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		err = <-answered
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
		So(requests.Load(), ShouldEqual, 1)
	})
}

// Guards against a request that is sent twice because the reused connection that carried it was closed.
func TestClientPoolSendsOnce(t *testing.T) {
	Convey("A request on a reused connection that is closed without a response is not sent again", t, func() {
		var requests atomic.Int32
		address, _, srv := startPeer(func(w http.ResponseWriter, _ *http.Request) {
			if requests.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		})
		defer srv.Close()
		p, done := NewClientPool(2, time.Second, time.Minute)
		defer done()
		_, _, err := post(p, time.Second, Call{Address: address})
		So(err, ShouldBeNil)
		_, _, err = post(p, time.Second, Call{Address: address})
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
		So(requests.Load(), ShouldEqual, 2)
	})
}
