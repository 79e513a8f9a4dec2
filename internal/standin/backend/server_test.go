package backend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/httpcall"
)

// TestProtocol guards against a client and a worker that disagree on the protocol, against a connection pool that keeps
// silent connections, and against fault switches that can't be reached or have no effect over HTTP.
func TestProtocol(t *testing.T) {
	Convey("Given a worker behind HTTP", t, func() {
		ctx, recorder := context.Background(), NewExecutionRecorder()
		w := New(Config{ID: "w", Capacity: fleet.Size{Cores: 4000, Memory: 4000}, Slots: 2}, MonotonicClock(), recorder)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv, closeServer := Serve(w, l)
		c, closeClient := fleet.NewClient(fleet.WithTimeout(100*time.Millisecond),
			fleet.WithCallTimeout(100*time.Millisecond))
		Reset(func() { closeClient(); closeServer() })
		s, err := c.Status(ctx, srv.Addr())
		So(err, ShouldBeNil)
		req := fleet.LeaseRequest{Holder: "a", Boot: s.Boot, Until: s.Clock + 6*time.Second,
			TaskLeasesUntil: s.Clock + 30*time.Second}
		s, err = c.Lease(ctx, srv.Addr(), req)
		So(err, ShouldBeNil)
		fence := fleet.Fence{Boot: s.Boot, Grant: s.Grant, Before: s.Clock + 5*time.Second}
		call := fleet.Call{Fence: fence, Request: "q/1", Attempt: 1, Class: "quote", Body: []byte(`{"run_ms":1}`)}

		Convey("a lease request of another host returns ErrLeaseHeld", func() {
			req.Holder = "b"
			_, err := c.Lease(ctx, srv.Addr(), req)
			So(errors.Is(err, fleet.ErrLeaseHeld), ShouldBeTrue)
		})
		Convey("a task is started, stopped and forgotten, and can't be started again", func() {
			start := fleet.StartRequest{Fence: fence, Task: "t", Attempt: 1, Class: "fit",
				Size: fleet.Size{Cores: 1000, Memory: 10}, Body: []byte(`{"run_ms":60000}`)}
			So(c.Start(ctx, srv.Addr(), start), ShouldBeNil)
			task, err := c.Control(ctx, srv.Addr(), fleet.Control{Fence: fence, Task: "t", Attempt: 1,
				Action: fleet.ActionStop})
			So(err, ShouldBeNil)
			So(task.State, ShouldEqual, fleet.TaskStopped)
			So(c.Forget(ctx, srv.Addr(), fence, []fleet.TaskRef{{ID: "t", Attempt: 1}}), ShouldBeNil)
			// The worker no longer knows whether the attempt has run, so the error must not be ErrRefused.
			err = c.Start(ctx, srv.Addr(), start)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, fleet.ErrRefused), ShouldBeFalse)
			So(c.Release(ctx, srv.Addr(), fence), ShouldBeNil)
			start.Attempt = 2
			So(errors.Is(c.Start(ctx, srv.Addr(), start), fleet.ErrRefused), ShouldBeTrue)
		})
		Convey("a call is answered with its request, and its lookup returns the same answer", func() {
			answer, err := c.Call(ctx, srv.Addr(), call)
			So(err, ShouldBeNil)
			var echo Echo
			So(json.Unmarshal(answer.Body, &echo), ShouldBeNil)
			So(echo.Request, ShouldEqual, "q/1")
			callStatus, err := c.Lookup(ctx, srv.Addr(), "q/1", 1)
			So(err, ShouldBeNil)
			So(callStatus.State, ShouldEqual, fleet.CallDone)
			So(*callStatus.Answer, ShouldResemble, answer)
		})
		Convey("a silent connection times out once, then calls work", func() {
			srv.Silence()
			_, err := c.Call(ctx, srv.Addr(), call)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			So(errors.IsAny(err, fleet.ErrRefused, fleet.ErrNotSent), ShouldBeFalse)
			call.Attempt = 2
			_, err = c.Call(ctx, srv.Addr(), call)
			So(err, ShouldBeNil)
			So(recorder.Executions("q/1"), ShouldEqual, 1)
		})
		Convey("a frozen worker carries out a call after its client has disconnected", func() {
			w.SetFaults(Faults{Freeze: true})
			_, err := c.Call(ctx, srv.Addr(), call)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			w.SetFaults(Faults{})
			for range 100 {
				if recorder.Executions("q/1") == 1 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(recorder.Executions("q/1"), ShouldEqual, 1)
		})
		Convey("the fault switches work while the worker is unreachable, and a restart ends the lease", func() {
			admin := httptest.NewServer(AdminHandler([]*Server{srv}, recorder))
			defer admin.Close()
			post := func(path, body string) {
				resp, err := httpcall.Do(ctx, http.DefaultTransport, http.MethodPost, admin.URL+path, []byte(body))
				So(err, ShouldBeNil)
				So(resp.Status, ShouldEqual, http.StatusNoContent)
			}
			post("/workers/w/faults", `{"unreachable":true}`)
			_, err := c.Call(ctx, srv.Addr(), call)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, fleet.ErrRefused), ShouldBeFalse)
			post("/workers/w/faults", `{}`)
			post("/workers/w/restart", "")
			_, err = c.Call(ctx, srv.Addr(), call)
			So(errors.Is(err, fleet.ErrRefused), ShouldBeTrue)
		})
	})
}
