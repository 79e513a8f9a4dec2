package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// ledJobs is a telemetry.OutcomeSource of a leader. Without a scheduler it is that of another host.
type ledJobs struct {
	s     *dispatch.Scheduler
	teams []dispatch.TeamState
}

func (l ledJobs) Outcomes() *dispatch.Outcomes {
	if l.s == nil {
		return &dispatch.Outcomes{}
	}
	return l.s.Outcomes()
}

func (l ledJobs) TeamStates() []dispatch.TeamState { return l.teams }

// startMetrics serves the metrics of a host and returns them and their address.
func startMetrics(t *testing.T, zone string, jobs ledJobs) (*telemetry.EntryMetrics, string) {
	m, closeMetrics, err := telemetry.NewEntryMetrics("h", zone)
	So(err, ShouldBeNil)
	t.Cleanup(closeMetrics)
	So(m.RegisterGauges(func() telemetry.EntryState { return telemetry.EntryState{IsLeader: jobs.s != nil} }), ShouldBeNil)
	So(m.RegisterOutcomes(jobs), ShouldBeNil)
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return m, strings.TrimPrefix(server.URL, "http://")
}

// leadTwoJobs returns a scheduler that has had two jobs of ten seconds: one is done late, the other was lost.
func leadTwoJobs() *dispatch.Scheduler {
	now := time.Unix(1_000_000, 0)
	s := dispatch.New(dispatch.Limits{MaxLease: 6 * time.Second, MaxTasks: 2}, 1, 1)
	s.SetCatalog(dispatch.Catalog{Version: 1, Queues: map[string]dispatch.Queue{
		"h/p/": {Name: "h/p/", Service: "svc", Attempts: 2, Slack: 1, Class: "pricing"},
	}, Teams: map[string]dispatch.Team{"desk": {Name: "desk", Weight: 1}}})
	for i := range 3 {
		s.Submit(now, dispatch.Request{
			ID: fmt.Sprintf("%016x", i), Queue: "h/p/", Team: "desk", WallTime: now,
			Spec: workflow.Spec{Steps: []workflow.Step{{
				Tasks: 1, Size: fleet.Size{Cores: 2000}, Estimate: 8 * time.Second, MaxUnavailable: -1,
			}}},
		})
	}
	for _, id := range []string{"v", "w"} {
		s.SetWorker(now, dispatch.Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 2000, Memory: 1000},
		})
		s.HandleReport(now, dispatch.Report{Worker: id, Boot: 1, Clock: 1000})
	}
	b, _ := s.TakeBatch()
	s.MarkCommitted(b)
	now = now.Add(time.Second)
	orders := s.Decide(now, now)
	So(orders, ShouldHaveLength, 2)
	for _, o := range orders {
		s.HandleStartAnswer(now, o, dispatch.AnswerDone, 2000)
	}
	now = now.Add(10 * time.Second)
	s.HandleReport(now, dispatch.Report{Worker: orders[0].Worker, Boot: 1, Clock: 12_000, Ended: []dispatch.EndReport{
		{Serial: 1, Task: orders[0].Task, Number: 1, Reason: dispatch.EndDone},
	}})
	s.HandleReport(now, dispatch.Report{Worker: orders[1].Worker, Boot: 1, Clock: 12_000, Running: []dispatch.RunReport{
		{Task: orders[1].Task, Number: 1, Progress: 90},
	}})
	s.HandleRenewalFailure(now, orders[1].Worker)
	now = now.Add(10 * time.Second)
	s.Decide(now, now)
	return s
}

// TestLoad guards against a load command that reads other names than the hosts serve, counts a host twice, or hides that one
// could not be read.
func TestLoad(t *testing.T) {
	Convey("A leader, another host, one that does not answer and one of another kind", t, func() {
		f := newFixture(t)
		m, leader := startMetrics(t, "z-1", ledJobs{s: leadTwoJobs(), teams: []dispatch.TeamState{
			{Name: "desk", Running: 1_000_000, Waiting: 3, Used: fleet.Size{Cores: 2500}, Held: 7},
		}})
		m.RecordAnswer("pricing", "submit", "done", "")
		other, follower := startMetrics(t, "z-2", ledJobs{})
		for range 3 {
			other.RecordAnswer("pricing", "submit", "refused", "no leader")
		}
		other.RecordAnswer("pricing", "submit", "unknown", "")
		other.RecordAnswer("pricing", "show", "done", "")
		down := httptest.NewServer(http.NotFoundHandler())
		downURL := down.URL + "/metrics"
		down.Close()
		foreign := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("# TYPE up gauge\nup 1\n"))
		}))
		Reset(foreign.Close)
		Convey("the tables hold the sums of both", func() {
			code, out, errOut := f.run("load", leader, "http://"+follower+"/metrics")
			So(errOut, ShouldBeEmpty)
			So(code, ShouldEqual, ExitOK)
			lines := strings.Split(out, "\n")
			for i := range lines {
				lines[i] = strings.Join(strings.Fields(lines[i]), " ")
			}
			So(lines, ShouldResemble, []string{
				"CLASS ACCEPTED WAIT P50 P99 TIME P50 P99 ENDED LATE MISSED FAILED CANCELLED REFUSED STOPPED LOST WASTED BY CAUSE",
				"pricing 2 750ms 995ms 15s 19.9s 1 1 0 0 0 1: too many tasks are open 1 0 1 20 (50.0%) lost 20",
				"",
				"ZONE CLASS SUBMITTED ACCEPTED REFUSED UNKNOWN OTHER REQUESTS REASONS",
				"z-1 pricing 1 1 0 0 0 -",
				"z-2 pricing 4 0 3 1 1 no leader 3",
				"",
				"TEAM RUNNING WAITING CORES LIMITED HELD ACCEPTED WAIT P50 P99 TIME P50 P99 ENDED LATE MISSED FAILED CANCELLED " +
					"REFUSED STOPPED LOST WASTED BY CAUSE",
				"desk 1000000 3 2.5 0 7 2 750ms 995ms 15s 19.9s 1 1 0 0 0 1: too many tasks are open 1 0 1 20 (50.0%) lost 20",
				"",
			})
		})
		Convey("hosts that can't be read are named, and the others are printed", func() {
			code, out, errOut := f.run("load", follower, downURL, foreign.URL)
			So(code, ShouldEqual, ExitRejected)
			So(out, ShouldContainSubstring, "z-2")
			So(errOut, ShouldContainSubstring, "failed: "+downURL+": request: ")
			So(errOut, ShouldContainSubstring, "failed: "+foreign.URL+"/metrics: no metrics of a host that join runs")
			So(errOut, ShouldContainSubstring, "None of these hosts leads")
			So(strings.Count(errOut, "\n"), ShouldEqual, 3)
		})
		Convey("--json has the same", func() {
			code, out, _ := f.run("--json", "load", leader, downURL)
			So(code, ShouldEqual, ExitRejected)
			var r loadReport
			So(json.Unmarshal([]byte(out), &r), ShouldBeNil)
			So(r.Hosts, ShouldHaveLength, 2)
			So([]bool{r.Hosts[0].Leads, r.Hosts[1].Leads}, ShouldResemble, []bool{true, false})
			So(r.Hosts[1].Error, ShouldNotBeEmpty)
			So(r.Classes[0].Wasted, ShouldResemble, map[string]float64{"lost": 20})
			So(r.Classes[0].Wait.Mean, ShouldEqual, 1)
			So(r.Teams[0].Name, ShouldEqual, "desk")
			So(r.Teams[0].Running, ShouldEqual, 1_000_000)
		})
		Convey("bad addresses are rejected before anything is read", func() {
			for _, address := range []string{"ftp://h", ":9100", ""} {
				code, out, errOut := f.run("load", leader, address)
				So([]any{code, out}, ShouldResemble, []any{ExitRejected, ""})
				So(errOut, ShouldContainSubstring, "is neither HOST:PORT nor an http or https URL")
			}
			code, _, errOut := f.run("load", leader, leader)
			So(code, ShouldEqual, ExitRejected)
			So(errOut, ShouldContainSubstring, "is given twice")
		})
	})
	Convey("A quantile above the last bound is the bound", t, func() {
		b := buckets{upTo: map[float64]uint64{1: 0, 2: 5}, count: 10}
		So(b.quantile(0.25), ShouldEqual, 1.5)
		So(b.quantile(0.99), ShouldEqual, 2)
	})
}
