package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// fakeSource is an OutcomeSource with a scheduler's outcomes and given states of teams.
type fakeSource struct {
	*dispatch.Scheduler
	teams []dispatch.TeamState
}

func (s *fakeSource) TeamStates() []dispatch.TeamState { return s.teams }

// TestOutcomesInScrape guards against metrics by class and team that can't be scraped, that lack what the scheduler has added
// up, or whose number grows with the numbers of queues and teams.
func TestOutcomesInScrape(t *testing.T) {
	Convey("Jobs of 100 queues and teams, one of which runs", t, func() {
		m, closeMetrics, err := NewEntryMetrics("h", "z-1")
		So(err, ShouldBeNil)
		Reset(closeMetrics)
		queues, teams := map[string]dispatch.Queue{}, map[string]dispatch.Team{}
		for i := range 100 {
			name := "q" + strconv.Itoa(i)
			teams["t"+strconv.Itoa(i)] = dispatch.Team{Name: "t" + strconv.Itoa(i), Weight: 1}
			queues[name] = dispatch.Queue{Name: name, Service: "svc", Attempts: 1, Slack: 2, Class: "class-" + strconv.Itoa(i)}
		}
		now := time.Unix(1_000_000, 0)
		s := dispatch.New(dispatch.Limits{MaxLease: 6 * time.Second, MaxTasks: 50}, 1, 1)
		s.SetCatalog(dispatch.Catalog{Version: 1, Queues: queues, Teams: teams})
		s.SetWorker(now, dispatch.Registration{
			ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 2000, Memory: 4000},
		})
		s.HandleReport(now, dispatch.Report{Worker: "w", Boot: 1, Clock: 1000})
		source := &fakeSource{Scheduler: s}
		So(m.RegisterOutcomes(source), ShouldBeNil)
		for i := range 100 {
			s.Submit(now, dispatch.Request{
				ID: fmt.Sprintf("%016x", i), Queue: "q" + strconv.Itoa(i), Team: "t" + strconv.Itoa(i), WallTime: now,
				Spec: workflow.Spec{Steps: []workflow.Step{{
					Tasks: 1, Size: fleet.Size{Cores: 2000, Memory: 100}, Estimate: time.Second, MaxUnavailable: -1,
				}}},
			})
			source.teams = append(source.teams, dispatch.TeamState{
				Name: "t" + strconv.Itoa(i), Running: 1, Waiting: 2, Used: fleet.Size{Cores: 500, Memory: 10},
			})
			m.RecordAnswer("class-"+strconv.Itoa(i), "submit", "done", "")
			m.RecordAnswer("class-"+strconv.Itoa(i), "submit", "refused", "reason "+strconv.Itoa(i))
		}
		b, _ := s.TakeBatch()
		s.MarkCommitted(b)
		now = now.Add(150 * time.Millisecond)
		So(s.Decide(now, now), ShouldHaveLength, 1)
		text := scrape(m.Handler())
		for _, line := range []string{
			`sassafraswind_entry_class_accepted_total{class="class-0"} 1`,
			`sassafraswind_entry_class_wait_seconds_bucket{class="class-0",le="0.1"} 0`,
			`sassafraswind_entry_class_wait_seconds_bucket{class="class-0",le="0.2"} 1`,
			`sassafraswind_entry_class_wait_seconds_sum{class="class-0"} 0.15`,
			`sassafraswind_entry_class_refused_total{class="class-60",reason="too many tasks are open"} 1`,
			`sassafraswind_entry_class_refused_total{class="other",reason="too many tasks are open"} 36`,
			`sassafraswind_entry_team_refused_total{reason="too many tasks are open",team="other"} 36`,
			`sassafraswind_entry_team_cores{team="t63"} 0.5`,
			`sassafraswind_entry_team_cores{team="other"} 18`,
			`sassafraswind_entry_answers_total{action="submit",class="class-63",outcome="done",zone="z-1"} 1`,
			`sassafraswind_entry_answers_total{action="submit",class="other",outcome="refused",zone="z-1"} 36`,
			`sassafraswind_entry_refusals_total{class="class-31",reason="reason 31",zone="z-1"} 1`,
			`sassafraswind_entry_refusals_total{class="class-32",reason="other",zone="z-1"} 1`,
		} {
			So(text, ShouldContainSubstring, line)
		}
		for _, kind := range []string{"class", "team"} {
			So(strings.Count(text, "sassafraswind_entry_"+kind+"_accepted_total{"), ShouldEqual, dispatch.MaxNamedGroups+1)
		}
		So(strings.Count(text, "sassafraswind_entry_team_cores{"), ShouldEqual, dispatch.MaxNamedGroups+1)
		Convey("and ends", func() {
			now = now.Add(time.Second)
			s.HandleReport(now, dispatch.Report{Worker: "w", Boot: 1, Clock: 2150, Ended: []dispatch.EndReport{
				{Serial: 1, Task: fmt.Sprintf("%016x", 0) + ".0.0.0", Number: 1, Reason: dispatch.EndDone},
			}})
			text := scrape(m.Handler())
			for _, line := range []string{
				`sassafraswind_entry_class_jobs_total{class="class-0",end="completed",lateness="in time"} 1`,
				`sassafraswind_entry_class_objective_ratio_sum{class="class-0"} 0.575`,
				`sassafraswind_entry_class_runs_total{class="class-0",end="done"} 1`,
				`sassafraswind_entry_class_work_core_seconds_total{class="class-0"} 2`,
			} {
				So(text, ShouldContainSubstring, line)
			}
		})
	})
}

// BenchmarkScrapeOutcomes measures a scrape with all classes and teams that are named, and reports its size.
func BenchmarkScrapeOutcomes(b *testing.B) {
	m, closeMetrics, err := NewEntryMetrics("h", "z")
	if err != nil {
		b.Fatal(err)
	}
	defer closeMetrics()
	s := dispatch.New(dispatch.Limits{MaxTasks: 40}, 1, 1)
	queues := map[string]dispatch.Queue{}
	for i := range 70 {
		queues["q"+strconv.Itoa(i)] = dispatch.Queue{Name: "q" + strconv.Itoa(i), Service: "svc"}
	}
	s.SetCatalog(dispatch.Catalog{Version: 1, Queues: queues})
	for i := range 70 {
		s.Submit(time.Time{}, dispatch.Request{
			ID: fmt.Sprintf("%016x", i), Queue: "q" + strconv.Itoa(i), Team: "t" + strconv.Itoa(i),
			Spec: workflow.Spec{Steps: []workflow.Step{{Tasks: 1}}},
		})
	}
	if err := m.RegisterOutcomes(&fakeSource{Scheduler: s}); err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/metrics", nil))
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "scrape-B")
}
