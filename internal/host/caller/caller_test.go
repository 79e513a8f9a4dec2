package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// fakeNode is a Node that returns a fixed reply. It keeps the number of requests and submitted jobs, the time left to
// the deadline of the last request, and the ID that was last shown or cancelled.
type fakeNode struct {
	reply    outcome.Reply
	calls    int
	timeLeft time.Duration
	id       string
}

func (n *fakeNode) Request(ctx context.Context, _ Request) outcome.Reply {
	n.calls++
	end, _ := ctx.Deadline()
	n.timeLeft = time.Until(end)
	return n.reply
}

func (n *fakeNode) Submit(context.Context, Submission) outcome.Reply { n.calls++; return n.reply }

func (n *fakeNode) Show(_ context.Context, id string) outcome.Reply { n.id = id; return n.reply }

func (n *fakeNode) Cancel(_ context.Context, id string) outcome.Reply { n.id = id; return n.reply }

// send sends one request and returns the status code and the decoded reply.
func send(n *fakeNode, method, path, body string) (int, map[string]any) {
	h := NewHandler(n, Limits{MaxBodyBytes: 200, DefaultDeadline: time.Second, MaxDeadline: time.Minute})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	var v map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &v)
	return w.Code, v
}

// Guards against invalid input that reaches the node, or that is rejected without the name of its field.
func TestBadInput(t *testing.T) {
	Convey("Invalid input is rejected with the name of its field, and nothing is run", t, func() {
		for _, c := range []struct {
			path, body, field string
			code              int
		}{
			{"/v1/requests", `{`, "", 400},
			{"/v1/requests", `{"class":"a","team":"t"} {}`, "", 400},
			{"/v1/requests", `{"class":"a","team":"t","colour":"red"}`, "", 400},
			{"/v1/requests", `{"team":"t"}`, "class", 400},
			{"/v1/requests", `{"class":"a"}`, "team", 400},
			{"/v1/requests", `{"class":7,"team":"t"}`, "class", 400},
			{"/v1/requests", `{"class":"a","team":"t","deadline_ms":0}`, "deadline_ms", 400},
			{"/v1/requests", `{"class":"a","team":"t","deadline_ms":60001}`, "deadline_ms", 400},
			{"/v1/requests", `{"class":"a","team":"t","body":"` + strings.Repeat("x", 300) + `"}`, "", 413},
			{"/v1/jobs", `{"class":"a","team":"t"}`, "key", 400},
			{"/v1/jobs", `{"key":"k","class":"a","team":"t","count":0}`, "count", 400},
			{"/v1/jobs", `{"key":"k","class":"a","team":"t","count":1001}`, "count", 400},
			{"/v1/jobs", `{"key":"k","class":"a","team":"t","size":{"cores":-1}}`, "size.cores", 400},
			{"/v1/jobs", `{"key":"k","class":"a","team":"t","run_ms":-5}`, "run_ms", 400},
			{"/v2/jobs", `{}`, "", 404},
		} {
			n := &fakeNode{}
			code, v := send(n, http.MethodPost, c.path, c.body)
			field, _ := v["field"].(string)
			So([]any{c.body, code, v["outcome"], field, n.calls}, ShouldResemble, []any{c.body, c.code, "not_run", c.field, 0})
		}
	})
}

// TestDeadlineOfKeyedRequest guards against a reply not_run to a retry whose deadline is out of range, although the key
// has run with another deadline.
func TestDeadlineOfKeyedRequest(t *testing.T) {
	Convey("A key is refused for its deadline with outcome unknown, and nothing is run", t, func() {
		for path, body := range map[string]string{
			"/v1/requests": `{"key":"k","class":"a","team":"t","deadline_ms":0}`,
			"/v1/jobs":     `{"key":"k","class":"a","team":"t","deadline_ms":60001}`,
		} {
			n := &fakeNode{}
			code, v := send(n, http.MethodPost, path, body)
			So([]any{path, code, v["outcome"], v["field"], n.calls}, ShouldResemble,
				[]any{path, http.StatusGatewayTimeout, "unknown", "deadline_ms", 0})
		}
	})
}

// Guards against a status code that is used for two outcomes: a caller could then take a request that may have run for
// one that did not. Also guards against a caller's deadline that does not reach the node, an answer that is not JSON,
// and a task in the path that is not passed on.
func TestStatusCodesAreDistinctPerOutcome(t *testing.T) {
	Convey("No status code stands for two outcomes", t, func() {
		reasons := []outcome.Reason{
			outcome.ReasonNone, outcome.ReasonInvalid, outcome.ReasonConflict, outcome.ReasonExpired, outcome.ReasonBusy,
			outcome.ReasonDeadline, outcome.ReasonNoWorker, outcome.ReasonRefused, outcome.ReasonLog, outcome.ReasonWorker,
			outcome.ReasonPeer, outcome.ReasonStopping, outcome.ReasonNotReady, outcome.ReasonCancelled, outcome.ReasonClosed,
			outcome.ReasonNotFound, outcome.ReasonNeverFits, outcome.ReasonTooLarge, outcome.ReasonQuota,
			outcome.ReasonUnexpected,
		}
		seen := map[int]outcome.Outcome{}
		for _, o := range []outcome.Outcome{outcome.Done, outcome.NotRun, outcome.Unknown} {
			for _, r := range reasons {
				code, v := send(&fakeNode{reply: outcome.Reply{Outcome: o, Reason: r}},
					http.MethodPost, "/v1/requests", `{"class":"a","team":"t"}`)
				So(v["outcome"], ShouldEqual, string(o))
				if other, ok := seen[code]; ok {
					So(other, ShouldEqual, o)
				}
				seen[code] = o
			}
		}
	})
	Convey("The node gets the caller's deadline and the ID of a task, and a text answer becomes a JSON string", t, func() {
		n := &fakeNode{reply: outcome.Reply{Outcome: outcome.Done, Body: []byte("text")}}
		code, v := send(n, http.MethodPost, "/v1/requests", `{"class":"a","team":"t","deadline_ms":5000}`)
		So(code, ShouldEqual, 200)
		So(v["answer"], ShouldEqual, "text")
		So(n.timeLeft, ShouldBeBetween, 4*time.Second, 5*time.Second)
		_, _ = send(n, http.MethodDelete, "/v1/jobs/k/3", "")
		So(n.id, ShouldEqual, "k/3")
	})
}
