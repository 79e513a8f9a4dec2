package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an answer to another call or a damaged answer that reaches a caller, and against the refusal of
// another call that is taken for a refusal of this one.
func TestCallResponses(t *testing.T) {
	body := []byte(`{"quote":1}`)
	good := Answer{Request: "r", Attempt: 2, Body: body, Digest: xxhash.Sum64(body)}
	with := func(f func(*Answer)) Answer { a := good; f(&a); return a }
	cases := map[string]struct {
		status   int
		response any
		want     error
		notWant  error
	}{
		"the right answer": {status: 200, response: good},
		"another request": {
			status: 200, response: with(func(a *Answer) { a.Request = "s" }),
			want: ErrInvalidAnswer,
		},
		"another attempt": {
			status: 200, response: with(func(a *Answer) { a.Attempt = 1 }),
			want: ErrInvalidAnswer,
		},
		"a truncated body": {
			status: 200, response: with(func(a *Answer) { a.Body = a.Body[:3] }),
			want: ErrInvalidAnswer,
		},
		"a refusal": {
			status: 409, response: Problem{Refused: true, Subject: "r", Attempt: 2},
			want: ErrRefused,
		},
		"another request's refusal": {
			status: 409, response: Problem{Refused: true, Subject: "s", Attempt: 2},
			notWant: ErrRefused,
		},
		"another attempt's refusal": {
			status: 409, response: Problem{Refused: true, Subject: "r", Attempt: 1},
			notWant: ErrRefused,
		},
		"a status without a refusal": {status: 503, response: Problem{Error: "busy"}, notWant: ErrRefused},
		"a response of a proxy":      {status: 409, response: "conflict", notWant: ErrRefused},
	}
	Convey("A call gets", t, func() {
		for name, c := range cases {
			Convey(name, func() {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(c.status)
					_ = json.NewEncoder(w).Encode(c.response)
				}))
				client, closeClient := NewClient()
				Reset(func() { closeClient(); srv.Close() })
				a, err := client.Call(context.Background(), strings.TrimPrefix(srv.URL, "http://"), Call{Request: "r", Attempt: 2})
				if c.want == nil && c.notWant == nil {
					So(err, ShouldBeNil)
					So(a, ShouldResemble, good)
					return
				}
				So(err, ShouldNotBeNil)
				So(a, ShouldResemble, Answer{})
				if c.want != nil {
					So(errors.Is(err, c.want), ShouldBeTrue)
				}
				if c.notWant != nil {
					So(errors.Is(err, c.notWant), ShouldBeFalse)
				}
			})
		}
	})
}

// Guards against a timeout or a truncated response that is reported as not run, and a failed dial that is reported as
// an unknown outcome.
func TestUnknownOutcome(t *testing.T) {
	Convey("Given a worker that never sends a complete response", t, func() {
		release := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/start" {
				<-release
				return
			}
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"request":"r"`))
		}))
		client, closeClient := NewClient(WithTimeout(50 * time.Millisecond))
		Reset(func() { closeClient(); srv.Close() })
		ctx, addr := context.Background(), strings.TrimPrefix(srv.URL, "http://")
		for _, err := range []error{
			client.Start(ctx, addr, StartRequest{Task: "t", Attempt: 1}),
			func() error { _, err := client.Call(ctx, addr, Call{Request: "r"}); return err }(),
		} {
			So(err, ShouldNotBeNil)
			So(errors.IsAny(err, ErrRefused, ErrNotSent), ShouldBeFalse)
		}
		close(release)
		srv.Close()
		So(errors.Is(client.Start(ctx, addr, StartRequest{Task: "t", Attempt: 1}), ErrNotSent), ShouldBeTrue)
	})
}
