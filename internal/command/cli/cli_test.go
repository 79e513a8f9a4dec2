package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// fakeNode is an operator.Node that keeps a configuration in memory and applies changes to it at once.
type fakeNode struct {
	operator.Node
	mu     sync.Mutex
	state  *config.State
	offset uint64
	// beforeChange runs before each change and stands for a change by another operator. changeErr replaces the result
	// of a change.
	beforeChange func()
	changeErr    error
	// stale makes the view of the configuration one that is not fresh.
	stale bool
	// reply is what Show and Cancel return.
	reply outcome.Reply
	// changes counts the calls of Change.
	changes int
}

func (n *fakeNode) Config(time.Time) operator.ConfigView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return operator.NewConfigView(n.state, time.Second, !n.stale)
}

func (n *fakeNode) Change(_ context.Context, item record.Item) (operator.ChangeResult, error) {
	if n.beforeChange != nil {
		n.beforeChange()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes++
	if n.changeErr != nil {
		return operator.ChangeResult{}, n.changeErr
	}
	before := n.state.Version()
	n.offset++
	err := n.state.Apply(time.Time{}, n.offset, item)
	// The tests check that the version is printed, not how the host counts it.
	return operator.ChangeResult{Version: 2, DocumentVersion: n.state.Version(), Changed: n.state.Version() > before}, err
}

func (n *fakeNode) Show(context.Context, string) outcome.Reply   { return n.reply }
func (n *fakeNode) Cancel(context.Context, string) outcome.Reply { return n.reply }

func (n *fakeNode) Jobs(context.Context, operator.JobFilter) ([]operator.Job, error) {
	return []operator.Job{{
		ID: "j", Class: "fit", Team: "desk", Count: 3,
		States: map[string]int{"running": 1, "done": 2, "moved": 0},
	}}, nil
}

func (n *fakeNode) Status(time.Time) operator.Status {
	return operator.Status{
		Host: "a-1", Zone: "a", Region: "r", Ready: true,
		Config: operator.ConfigStatus{Version: 4, Age: operator.Millis(time.Second)},
		Classes: []operator.ClassStatus{{
			Name: "check", Kind: config.KindUrgent, Target: operator.Target{P99Latency: operator.Millis(time.Second)},
			P99Latency: operator.Millis(1200 * time.Millisecond), Reason: "no free slots",
		}},
	}
}

// apply changes the configuration without a call of Change.
func (n *fakeNode) apply(p config.Proposal) {
	item, err := p.Item()
	n.offset++
	if err == nil {
		err = n.state.Apply(time.Time{}, n.offset, item)
	}
	if err != nil {
		panic(err)
	}
}

var checkClass = config.Class{
	Name: "check", Kind: config.KindUrgent, Service: "desk", Target: config.Target{P99Latency: 250 * time.Millisecond},
}

// document declares the configuration of a new fixture, so that applying it changes nothing.
const document = `// Declarations.
{"classes": [{"name": "check", "kind": "urgent", "service": "desk", "target": {"answer": "250ms"}}], "teams": []}`

// fixture is a node with a class and two zones, with the URLs for --operators and a directory for files.
type fixture struct {
	*fakeNode
	urls string
	dir  string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{fakeNode: &fakeNode{state: config.NewState()}, dir: t.TempDir()}
	f.apply(config.Proposal{Class: &checkClass})
	for _, z := range []string{"a", "b"} {
		f.apply(config.Proposal{Zone: &config.Zone{Name: z, Region: "r"}})
	}
	server := httptest.NewServer(operator.NewHandler(f, http.NotFoundHandler()))
	t.Cleanup(server.Close)
	f.urls = server.URL
	return f
}

// writeFile writes a file to the directory and returns its path.
func (f *fixture) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return path
}

// run runs a command against the hosts in urls and returns its exit code and what it wrote.
func (f *fixture) run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	funcs := Functions{
		Serve: func(_ context.Context, path string) error { return errors.Newf("cannot serve %s", path) },
		CheckSettings: func(path string) error {
			return FieldErrors{{path, 3, "host", "is required"}, {path, 1, "", "odd"}}
		},
		Join: func(_ context.Context, path, level string, metricsPort int) error {
			return errors.Newf("settings %s, level %s, port %d", path, level, metricsPort)
		},
		Version: "v1",
	}
	code = Run(context.Background(), append([]string{"--operators", f.urls}, args...), funcs, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against zone changes that are sent without need, repeated after a stale base, or reported as accepted
// when the host did not say so.
func TestZone(t *testing.T) {
	Convey("Zones are taken out of service and brought back", t, func() {
		f := newFixture(t)
		code, out, _ := f.run("zone", "out", "a")
		So([]any{code, out}, ShouldResemble, []any{0, "accepted: zone a is out (version 2, document version 5)\n"})
		code, out, _ = f.run("zone", "out", "a")
		So([]any{code, out, f.changes}, ShouldResemble,
			[]any{0, "unchanged: zone a is out already (version 2, document version 5)\n", 1})
		f.stale = true
		code, out, _ = f.run("zone", "out", "a")
		So([]any{code, out, f.changes}, ShouldResemble,
			[]any{0, "accepted: zone a is out (version 2, document version 5, already in force)\n", 2})
		_, out, _ = f.run("zone", "list")
		So(out, ShouldEqual,
			"ZONE  REGION  STATE  VERSION\na     r       out    2\nb     r       in     1\nThe host's view is 1s old; newer changes may be missing.\n")
		code, _, errOut := f.run("zone", "in", "c")
		So([]any{code, errOut}, ShouldResemble, []any{1, "failed: there is no zone \"c\"\n"})
	})
	Convey("A change with a stale base is explained and not retried", t, func() {
		f := newFixture(t)
		f.beforeChange = func() { f.apply(config.Proposal{BaseVersion: 1, Zone: &config.Zone{Name: "a", Region: "s"}}) }
		code, out, errOut := f.run("zone", "out", "a")
		So([]any{code, out, f.changes}, ShouldResemble, []any{1, "", 1})
		So(errOut, ShouldContainSubstring,
			"based on version 1, the current version is 2\nzone a has changed meanwhile:\n  ~ region: r -> s\nrejected: stale: ")
	})
	Convey("An unknown effect and a rejection have their own exit codes", t, func() {
		f := newFixture(t)
		f.changeErr = context.DeadlineExceeded
		code, out, errOut := f.run("zone", "out", "a")
		So([]any{code, out}, ShouldResemble, []any{3, ""})
		So(errOut, ShouldStartWith, "unknown: log: context deadline exceeded\nIt may be in force already")
		code, out, _ = f.run("--json", "zone", "out", "a")
		So(code, ShouldEqual, 3)
		So(out, ShouldContainSubstring, `"outcome": "unknown"`)
		f.changeErr = errors.Wrap(operator.ErrNotSent, "stopping")
		code, _, errOut = f.run("zone", "out", "a")
		So([]any{code, errOut}, ShouldResemble,
			[]any{1, "rejected: not_sent: stopping: operator: change was not sent\n"})
	})
}

// Guards against a change that is sent to a second host after the first may have received it.
func TestHosts(t *testing.T) {
	Convey("Given the addresses of several hosts, one of which works", t, func() {
		f := newFixture(t)
		goodURL := f.urls
		var requests atomic.Int32
		closed := httptest.NewServer(http.NotFoundHandler())
		closed.Close()
		newBadHost := func(answer http.HandlerFunc) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					http.Error(w, "{}", http.StatusBadGateway)
					return
				}
				requests.Add(1)
				answer(w, r)
			}))
			t.Cleanup(s.Close)
			return s.URL
		}
		Convey("one that cannot be reached is skipped", func() {
			f.urls = closed.URL + "," + goodURL
			code, _, errOut := f.run("zone", "out", "a")
			So([]any{code, f.changes}, ShouldResemble, []any{0, 1})
			So(errOut, ShouldContainSubstring, "trying "+goodURL)
			f.urls = closed.URL
			// A cancellation is not preceded by a read, so it is the change itself that cannot be sent.
			code, _, errOut = f.run("task", "cancel", "j")
			So(code, ShouldEqual, 1)
			So(errOut, ShouldStartWith, "failed: nothing was sent: no entry host could be reached")
		})
		Convey("one that may have received the change ends the command", func() {
			for _, answer := range []http.HandlerFunc{
				func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
				func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusBadGateway) },
				func(w http.ResponseWriter, r *http.Request) {
					http.Redirect(w, r, goodURL, http.StatusTemporaryRedirect)
				},
				func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, `{"outcome":"rejected"}`) },
			} {
				requests.Store(0)
				f.urls = newBadHost(answer) + "," + goodURL
				code, _, errOut := f.run("task", "cancel", "j")
				So([]any{code, int(requests.Load())}, ShouldResemble, []any{3, 1})
				So(errOut, ShouldStartWith, "unknown: ")
			}
		})
		Convey("invalid addresses are rejected", func() {
			f.urls = "localhost:7300"
			code, _, errOut := f.run("status")
			So([]any{code, errOut}, ShouldResemble,
				[]any{1, "failed: --operators: \"localhost:7300\" is not an http or https URL\n"})
		})
	})
}

// Guards against a new target that resets other targets or other fields of the class.
func TestClass(t *testing.T) {
	Convey("Only the named targets of a class change", t, func() {
		f := newFixture(t)
		code, out, _ := f.run("class", "set", "check", "--answer", "200ms", "--disruption", "0.5")
		So([]any{code, out}, ShouldResemble,
			[]any{0, "accepted: class check has the new targets (version 2, document version 5)\n"})
		want := checkClass
		want.Target = config.Target{P99Latency: 200 * time.Millisecond, EvictionsPerTaskDay: 0.5}
		c, _, _ := f.state.Class("check")
		So(c, ShouldResemble, want)
		_, out, _ = f.run("class", "list")
		So(out, ShouldEqual,
			"CLASS  KIND    ANSWER  FINISHED  DISRUPTION  VERSION\ncheck  urgent  200ms   -         0.5         2\n")
		code, _, errOut := f.run("class", "set", "check", "--answer", "0s")
		So([]any{code, errOut}, ShouldResemble,
			[]any{1, "rejected: invalid: is required for an urgent class\n  class.target.answer: is required for an urgent class\n"})
		for _, args := range [][]string{{"check"}, {"other", "--finished", "1"}, {"check", "--answer", "x"}} {
			code, _, _ = f.run(append([]string{"class", "set"}, args...)...)
			So([]any{code, f.changes}, ShouldResemble, []any{1, 1})
		}
	})
}

// Guards against an apply that is not idempotent or overwrites the change of another operator, and a diff that
// misses a field.
func TestApply(t *testing.T) {
	Convey("Given declarations", t, func() {
		f := newFixture(t)
		same := f.writeFile("same.json", document)
		other := f.writeFile("other.json", `{"classes": [{"name": "check", "kind": "urgent", "target": {"answer": "1s", "disruption": 2}}], "teams": [{"name": "t", "quota": {"cores": 9007199254740993, "memory": 1}}]}`)
		Convey("diff prints fields and sets the exit code by the result", func() {
			code, out, _ := f.run("diff", same)
			So([]any{code, out}, ShouldResemble, []any{0, "equal to document version 4\n"})
			code, out, _ = f.run("diff", other)
			So([]any{code, out}, ShouldResemble,
				[]any{2, "~ class check\n  - service: desk\n  ~ target.answer: 250ms -> 1s\n  + target.disruption: 2\n" +
					"+ team t\n  + name: t\n  + quota.cores: 9007199254740993\n  + quota.memory: 1\n"})
			code, out, _ = f.run("--json", "diff", f.writeFile("none.json", `{"classes": []}`))
			So(code, ShouldEqual, 2)
			So(out, ShouldContainSubstring, `"action": "drop"`)
		})
		Convey("the same file changes nothing the second time", func() {
			code, out, _ := f.run("apply", other)
			So(code, ShouldEqual, 0)
			So(out, ShouldEndWith,
				"accepted: the configuration is as "+other+" declares (version 2, document version 5)\n")
			code, out, _ = f.run("apply", other)
			So([]any{code, f.changes}, ShouldResemble, []any{0, 1})
			So(out, ShouldStartWith, "unchanged: ")
		})
		Convey("an apply with a stale base is rejected as a whole", func() {
			code, _, errOut := f.run("apply", "--base", "2", other)
			So(code, ShouldEqual, 1)
			So(errOut, ShouldContainSubstring, "based on version 2, the current version is 4")
			f.beforeChange = func() { f.apply(config.Proposal{Team: &config.Team{Name: "u"}}) }
			code, _, errOut = f.run("apply", other)
			So([]any{code, f.changes}, ShouldResemble, []any{1, 2})
			So(errOut, ShouldContainSubstring, "have changed meanwhile:\n+ team u\n")
		})
	})
}

// Guards against a check that omits an error or reports it without its file, line and field.
func TestCheck(t *testing.T) {
	Convey("Every error in a file is printed", t, func() {
		f := newFixture(t)
		bad := f.writeFile("bad.json",
			"{\n\"classes\": [\n{\"name\": \"A\", \"kind\": 1, \"target\": {\"answer\": \"x\",\n\"goal\": 1}},\n{\"name\": \"b\", \"kind\": \"batch\"}], // none\n\"teams\": {}}")
		code, out, errOut := f.run("check", bad)
		So([]any{code, out}, ShouldResemble, []any{1, ""})
		So(errOut, ShouldEqual, fmt.Sprintf(`%[1]s:3: classes[0].kind: must be a string
%[1]s:3: classes[0].target.answer: must be a duration such as "250ms"
%[1]s:3: classes[0].name: must be 1 to 64 characters of a-z, 0-9, '.' and '-'
%[1]s:4: classes[0].target.goal: unknown field
%[1]s:5: classes[1].target.finished: is required for a batch class
%[1]s:6: teams: must be a list
`, bad))
		code, _, _ = f.run("apply", bad)
		So([]any{code, f.changes}, ShouldResemble, []any{1, 0})
		settings := f.writeFile("settings.json", "{}")
		code, _, errOut = f.run("check", settings)
		So([]any{code, errOut}, ShouldResemble, []any{1, settings + ":3: host: is required\n" + settings + ":1: odd\n"})
		code, out, _ = f.run("--json", "check", bad)
		So(code, ShouldEqual, 1)
		So(out, ShouldContainSubstring, `"field": "teams"`)
		code, out, _ = f.run("check", f.writeFile("good.json", document))
		So(code, ShouldEqual, 0)
		So(out, ShouldEndWith, "no mistakes in these declarations\n")
		_, _, errOut = f.run("diff", f.writeFile("broken.json", "{\n\"classes\": [,]}"))
		So(errOut, ShouldContainSubstring, "broken.json:2: hujson: line 2")
	})
}

// Guards against commands that end with an exit code or write to a stream other than the documented ones.
func TestOtherCommands(t *testing.T) {
	Convey("The other commands print what the host says", t, func() {
		f := newFixture(t)
		f.reply = outcome.Reply{Outcome: outcome.Done, Body: []byte(`{"id":"j"}`)}
		for _, c := range []struct {
			code int
			out  string
			err  string
			args []string
		}{
			{0, "Exit codes: 0 accepted", "", []string{"--help"}},
			{0, "sassafraswind zone out almaty-a", "", []string{"zone", "out", "--help"}},
			{0, "sassafraswind v1\n", "", []string{"version"}},
			{0, `"version": "v1"`, "", []string{"version", "--json"}},
			{0, "j    fit    desk  3      done:2 running:1\n", "", []string{"task", "list", "--state", "running"}},
			{0, "{\n  \"id\": \"j\"\n}\n", "", []string{"task", "show", "j"}},
			{0, "accepted: j/0 is cancelled\n", "", []string{"task", "cancel", "j/0"}},
			{0, "TEAM  CORES", "", []string{"team", "list"}},
			{0, "check  urgent  1s      1.2s      no   0        0        no free slots\n", "", []string{"status"}},
			{0, `"met": false`, "", []string{"status", "--json"}},
			{1, "", "unexpected argument bogus", []string{"bogus"}},
			{1, "", "neither a job nor a task", []string{"task", "show", "j/x"}},
			{1, "", "rejected: invalid: must be from 1 to 1000", []string{"task", "list", "--limit", "0"}},
			{1, "", "failed: cannot serve s.json", []string{"serve", "--settings", "s.json"}},
			{1, "", "missing flags: --settings=FILE", []string{"serve"}},
		} {
			code, out, errOut := f.run(c.args...)
			So(code, ShouldEqual, c.code)
			So(out, ShouldContainSubstring, c.out)
			So(errOut, ShouldContainSubstring, c.err)
		}
		f.reply = outcome.NotRunReply(outcome.ReasonNotFound, "no such job")
		code, _, errOut := f.run("task", "cancel", "j")
		So([]any{code, errOut}, ShouldResemble, []any{1, "rejected: not_found: no such job\n"})
		f.reply = outcome.UnknownReply(outcome.ReasonLog, "not read back")
		code, _, _ = f.run("task", "cancel", "j")
		So(code, ShouldEqual, 3)
	})
}

// Guards against flags of join that are lost, and an invalid port that is accepted.
func TestJoin(t *testing.T) {
	Convey("join passes its flags to Functions.Join", t, func() {
		code, _, errOut := newFixture(t).run("join", "--settings", "node.conf", "--metrics", "9464")
		So(code, ShouldNotEqual, 0)
		So(errOut, ShouldContainSubstring, "settings node.conf, level info, port 9464")
	})
	Convey("an invalid port is reported", t, func() {
		code, _, errOut := newFixture(t).run("join", "--metrics", "70000")
		So(code, ShouldNotEqual, 0)
		So(errOut, ShouldContainSubstring, "70000 is not a port")
	})
}
