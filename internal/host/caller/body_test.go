package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/limit"
)

// TestUnreadBody guards against a body that the host has no room for, or that doesn't arrive in time, being reported as
// malformed, and against a reply that a key has not run although an earlier request with it may have.
func TestUnreadBody(t *testing.T) {
	Convey("A body that could not be read has an unknown outcome, and nothing is run", t, func() {
		for _, c := range []struct {
			body               io.Reader
			reason, retryAfter string
		}{
			{iotest.ErrReader(limit.NewOverload()), `"busy"`, "1"},
			{iotest.ErrReader(os.ErrDeadlineExceeded), `"deadline"`, ""},
		} {
			n := &fakeNode{}
			h := NewHandler(n, Limits{MaxBodyBytes: 200, DefaultDeadline: time.Second, MaxDeadline: time.Minute})
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/jobs", c.body))
			So(w.Code, ShouldEqual, http.StatusGatewayTimeout)
			So(w.Body.String(), ShouldContainSubstring, `"unknown","reason":`+c.reason)
			So(w.Header().Get("Retry-After"), ShouldEqual, c.retryAfter)
			So(n.calls, ShouldEqual, 0)
		}
	})
}
