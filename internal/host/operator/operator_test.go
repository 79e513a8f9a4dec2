package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// fakeNode is a Node that returns what the test sets. It keeps the items of changes, the last filter and the calls of
// Show and Cancel.
type fakeNode struct {
	ready    bool
	result   ChangeResult
	err      error
	reply    outcome.Reply
	jobs     []Job
	items    []record.Item
	jobCalls []string
	filter   JobFilter
}

func (n *fakeNode) Status(now time.Time) Status {
	return Status{Host: "h", Config: ConfigStatus{Age: Millis(now.Sub(time.Unix(0, 0)))}}
}
func (n *fakeNode) Config(time.Time) ConfigView {
	return NewConfigView(config.NewState(), time.Second, true)
}
func (n *fakeNode) Change(_ context.Context, item record.Item) (ChangeResult, error) {
	n.items = append(n.items, item)
	return n.result, n.err
}
func (n *fakeNode) Jobs(_ context.Context, f JobFilter) ([]Job, error) {
	n.filter = f
	return n.jobs[:min(len(n.jobs), f.Limit)], n.err
}
func (n *fakeNode) Show(_ context.Context, id string) outcome.Reply {
	n.jobCalls = append(n.jobCalls, "show "+id)
	return n.reply
}
func (n *fakeNode) Cancel(_ context.Context, id string) outcome.Reply {
	n.jobCalls = append(n.jobCalls, "cancel "+id)
	return n.reply
}
func (n *fakeNode) Ready(time.Time) (bool, string) { return n.ready, "no configuration" }

// call sends a request to a handler whose clock always returns 1.5 ms after the Unix epoch, and returns the status code
// and the body.
func call(n *fakeNode, method, path, body string) (int, string) {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics")) })
	clock := func() time.Time { return time.Unix(0, int64(1500*time.Microsecond)) }
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	NewHandler(n, metrics, WithClock(clock)).ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Guards against a liveness probe that depends on readiness, and a readiness answer without its reason.
func TestProbes(t *testing.T) {
	Convey("A host that is not ready is live and answers all reads, and /ready gives the reason", t, func() {
		n := &fakeNode{}
		for path, want := range map[string]int{
			"/live": 200, "/ready": 503, "/metrics": 200, "/v1/status": 200, "/v1/config": 200, "/x": 404,
		} {
			code, _ := call(n, "GET", path, "")
			So(code, ShouldEqual, want)
		}
		_, body := call(n, "GET", "/ready", "")
		So(body, ShouldContainSubstring, `"reason":"no configuration"`)
		_, body = call(n, "GET", "/v1/status", "")
		So(body, ShouldContainSubstring, `"age_ms":1.5`)
		n.ready = true
		code, _ := call(n, "GET", "/ready", "")
		So(code, ShouldEqual, 200)
	})
}

// zoneOut is a change that takes a zone out of service.
const zoneOut = `{"base":3,"zone":{"name":"z","region":"r","out":true}}`

// Guards against a change that is reported as accepted or rejected although its effect is not certain.
func TestChangeOutcomes(t *testing.T) {
	Convey("Each result of the node has its outcome, status and reason", t, func() {
		invalid := config.InvalidError{{Field: "zone.name", Reason: "bad"}}
		for _, c := range []struct {
			err     error
			code    int
			outcome Outcome
			reason  string
		}{
			{nil, 200, Accepted, ""},
			{errors.Wrap(config.StaleError{BaseVersion: 3, Current: 7}, "x"), 409, Rejected, "stale"},
			{errors.Wrap(invalid, "x"), 400, Rejected, "invalid"},
			{errors.Wrap(config.ErrUnknownKind, "x"), 409, Rejected, "refused"},
			{errors.Wrap(ErrNotSent, "stopping"), 503, Rejected, "not_sent"},
			{context.DeadlineExceeded, 504, Unknown, "log"},
			{errors.New("anything else"), 504, Unknown, "log"},
		} {
			n := &fakeNode{result: ChangeResult{Version: 4, DocumentVersion: 9, Changed: true}, err: c.err}
			code, body := call(n, "POST", "/v1/changes", zoneOut)
			var r Reply
			So(json.Unmarshal([]byte(body), &r), ShouldBeNil)
			So(code, ShouldEqual, c.code)
			So([]string{string(r.Outcome), r.Reason}, ShouldResemble, []string{string(c.outcome), c.reason})
			switch c.code {
			case 200:
				So(*r.ChangeResult, ShouldResemble, n.result)
			case 409:
				So(r.ChangeResult != nil && r.Version == 7, ShouldEqual, r.Reason == "stale")
			}
			update, err := record.DecodeItem[config.ZoneUpdate](n.items[0])
			So(err, ShouldBeNil)
			So(update, ShouldResemble, config.ZoneUpdate{BaseVersion: 3, Name: "z", Region: "r", TakenOut: true})
		}
	})
}

// Guards against invalid input that is passed on to the node, which would write it to the log, and errors that do not
// name their field.
func TestChangeInput(t *testing.T) {
	Convey("Invalid input is rejected with the name of its field and not passed on", t, func() {
		n := &fakeNode{}
		for body, field := range map[string]string{
			`{"zone":{"name":"z","region":"r"}}`:                                         "base",
			`{"base":1,"zone":{"name":"z","region":"r","x":1}}`:                          "zone.x",
			`{"base":-1,"zone":{"name":"z","region":"r"}}`:                               "base",
			`{"base":1,"zone":{"name":"z"}}`:                                             "zone.region",
			`{"base":1,"class":{"name":"c","kind":"urgent","target":{"answer":"5"}}}`:    "class.target.answer",
			`{"base":1,"class":{"name":"c","kind":"urgent"}}`:                            "class.target.answer",
			`{"base":1,"class":{"name":"c","kind":"batch","size":{"cores":1.5}}}`:        "class.size.cores",
			`{"base":1,"apply":{"classes":[{"name":"C","kind":"batch","target":null}]}}`: "apply.classes[0].target",
			`{"base":1,"team":{"name":"t"},"base":2}`:                                    "base",
			`{"base":1,"zone":{"name":"z","region":"r"},"drop":true}`:                    "drop",
			`{"base":1}`:   "",
			zoneOut + "{}": "",
			`[]`:           "",
		} {
			code, reply := call(n, "POST", "/v1/changes", body)
			var r Reply
			So(json.Unmarshal([]byte(reply), &r), ShouldBeNil)
			So([]any{code, r.Outcome, r.Field, len(r.FieldErrors) > 0}, ShouldResemble, []any{400, Rejected, field, true})
		}
		code, _ := call(n, "POST", "/v1/changes", strings.Repeat(" ", 2<<20))
		So(code, ShouldEqual, 413)
		// Deep nesting must not overflow the stack, and many errors must not make a long reply.
		code, _ = call(n, "POST", "/v1/changes", strings.Repeat("[", 1<<20))
		So(code, ShouldEqual, 400)
		code, reply := call(n, "POST", "/v1/changes", `{"base":1,"apply":{"classes":[`+strings.Repeat("1,\n", 300_000)+`]}}`)
		So(code, ShouldEqual, 400)
		So(len(reply), ShouldBeLessThan, 20_000)
		So(n.items, ShouldBeEmpty)
	})
	Convey("Each kind of change is passed on as an item of its kind", t, func() {
		n := &fakeNode{}
		for _, body := range []string{
			zoneOut, `{"base":0,"class":{"name":"c"},"drop":true}`, `{"base":0,"team":{"name":"t","quota":{"cores":1}}}`,
			`{"base":0,"apply":{"classes":null,"teams":[{"name":"t","quota":{}}]}}`,
		} {
			code, _ := call(n, "POST", "/v1/changes", body)
			So(code, ShouldEqual, 200)
		}
		kinds := make([]record.Kind, 0, len(n.items))
		for _, i := range n.items {
			kinds = append(kinds, i.Kind)
		}
		So(kinds, ShouldResemble, []record.Kind{config.RecordZone, config.RecordClass, config.RecordTeam, config.RecordApply})
	})
}

// Guards against a truncated list that is not marked as such, invalid filters that are accepted, and the index of a
// task in the path that is taken for the command.
func TestJobs(t *testing.T) {
	Convey("Jobs are listed, shown and cancelled", t, func() {
		n := &fakeNode{jobs: []Job{{ID: "a"}, {ID: "b"}}}
		code, body := call(n, "GET", "/v1/jobs?state=parked&class=c&limit=1", "")
		So(code, ShouldEqual, 200)
		So(n.filter, ShouldResemble, JobFilter{State: "parked", Class: "c", Limit: 2})
		So(body, ShouldContainSubstring, `"more":true`)
		So(body, ShouldNotContainSubstring, `"id":"b"`)
		for _, q := range []string{"state=x", "limit=0", "limit=1001", "limit=x"} {
			code, body = call(n, "GET", "/v1/jobs?"+q, "")
			So(code, ShouldEqual, 400)
			So(body, ShouldContainSubstring, `"field":"`+strings.Split(q, "=")[0])
		}
		n.reply = outcome.Reply{Outcome: outcome.Done, Body: []byte(`{"id":"a"}`)}
		code, body = call(n, "GET", "/v1/jobs/a", "")
		So(code, ShouldEqual, 200)
		So(body, ShouldContainSubstring, `"job":{"id":"a"}`)
		n.reply = outcome.NotRunReply(outcome.ReasonNotFound, "no such job")
		code, _ = call(n, "GET", "/v1/jobs/a/7", "")
		So(code, ShouldEqual, 404)
		n.reply = outcome.UnknownReply(outcome.ReasonLog, "not read back")
		for _, path := range []string{"/v1/jobs/a/cancel", "/v1/jobs/a/7/cancel"} {
			code, body = call(n, "POST", path, "")
			So(code, ShouldEqual, 504)
			So(body, ShouldContainSubstring, `"outcome":"unknown"`)
		}
		So(n.jobCalls, ShouldResemble, []string{"show a", "show a/7", "cancel a", "cancel a/7"})
	})
}
