package telemetry

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// OutcomeSource provides what became of the jobs and runs that a host has led, and the present states of the teams.
type OutcomeSource interface {
	Outcomes() *dispatch.Outcomes
	TeamStates() []dispatch.TeamState
}

// RegisterOutcomes registers the metrics by class and by team. They are read from the source at each scrape: the leader adds
// them up itself, since an instrument that is called for each event would cost it an allocation.
func (m *EntryMetrics) RegisterOutcomes(source OutcomeSource) error {
	c := &outcomeCollector{
		source: source, classes: newGroupMetrics("class"), teams: newGroupMetrics("team"), teamNames: m.teams,
		running: teamMetric("running", "Runs of the team at present."),
		waiting: teamMetric("waiting", "Tasks of the team that wait for a start."),
		cores:   teamMetric("cores", "Cores of the team's runs."),
		memory:  teamMetric("memory_mb", "Memory of the team's runs in MiB."),
		gpus:    teamMetric("accelerators", "Accelerators of the team's runs."),
		limited: teamMetric("limited", "Jobs refused because of the team's limits since the term began."),
		held:    teamMetric("held", "Starts that the team's quota held back since the term began."),
	}
	return errors.Wrap(m.registry.Register(c), "telemetry: outcomes")
}

// metricPrefix begins the names of the metrics by class and by team.
const metricPrefix = "sassafraswind_entry_"

// teamMetric describes a metric of the state of a team.
func teamMetric(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+"team_"+name, help, []string{"team"}, nil)
}

// groupMetrics describes the metrics of classes or of teams.
type groupMetrics struct {
	accepted, wait, duration, ratio, jobs, refused, runs, work, wasted *prometheus.Desc
}

// newGroupMetrics describes the metrics of the kind of group, which is also the name of its label.
func newGroupMetrics(kind string) groupMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(metricPrefix+kind+"_"+name, help, append([]string{kind}, labels...), nil)
	}
	return groupMetrics{
		accepted: desc("accepted_total", "Accepted jobs."),
		wait:     desc("wait_seconds", "Time until the first task of a job was ordered to start."),
		duration: desc("duration_seconds", "Time until a job was completed or failed."),
		ratio:    desc("objective_ratio", "Time until a job was completed or failed, relative to its objective."),
		jobs:     desc("jobs_total", "Ended jobs, by end and lateness.", "end", "lateness"),
		refused:  desc("refused_total", "Jobs that the leader refused, by reason.", "reason"),
		runs:     desc("runs_total", "Ended runs, by end.", "end"),
		work:     desc("work_core_seconds_total", "Core-seconds of the runs that have ended."),
		wasted:   desc("wasted_core_seconds_total", "Core-seconds of them that were of no use, by cause.", "cause"),
	}
}

// outcomeCollector is a prometheus.Collector of the metrics by class and by team.
type outcomeCollector struct {
	source         OutcomeSource
	classes, teams groupMetrics
	// teamNames bounds the teams whose states are named.
	teamNames                                            *labelSet
	running, waiting, cores, memory, gpus, limited, held *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *outcomeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range []groupMetrics{c.classes, c.teams} {
		for _, d := range []*prometheus.Desc{
			g.accepted, g.wait, g.duration, g.ratio, g.jobs, g.refused, g.runs, g.work, g.wasted,
		} {
			out <- d
		}
	}
	for _, d := range []*prometheus.Desc{c.running, c.waiting, c.cores, c.memory, c.gpus, c.limited, c.held} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *outcomeCollector) Collect(out chan<- prometheus.Metric) {
	outcomes := c.source.Outcomes()
	c.classes.collect(out, &outcomes.Classes)
	c.teams.collect(out, &outcomes.Teams)
	c.collectStates(out)
}

// collect sends the metrics of the groups. Sums of 0 are left out, except for those without further labels,
// and so are empty histograms.
func (g groupMetrics) collect(out chan<- prometheus.Metric, groups *dispatch.Groups) {
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for _, o := range groups.List {
		// Two groups of one name would fail the scrape, so that it must not be cut.
		name := o.Name
		counter(g.accepted, float64(o.Accepted), name)
		counter(g.work, o.CoreSeconds, name)
		sendHistogram(out, g.wait, &o.Wait, name)
		sendHistogram(out, g.duration, &o.Duration, name)
		sendHistogram(out, g.ratio, &o.Ratio, name)
		for end, byLateness := range o.Ends {
			for lateness, n := range byLateness {
				if n > 0 {
					counter(g.jobs, float64(n), name, dispatch.JobEnd(end).String(), dispatch.Lateness(lateness).String())
				}
			}
		}
		for _, r := range o.Refused {
			counter(g.refused, float64(r.Count), name, r.Reason)
		}
		for end, n := range o.Runs {
			if n > 0 {
				counter(g.runs, float64(n), name, dispatch.RunEnd(end).String())
			}
		}
		for cause, v := range o.Wasted {
			if v > 0 {
				counter(g.wasted, v, name, dispatch.WasteCause(cause).String())
			}
		}
	}
}

// sendHistogram sends a histogram, unless it is empty.
func sendHistogram(out chan<- prometheus.Metric, d *prometheus.Desc, h *dispatch.Histogram, label string) {
	if h.Count() == 0 {
		return
	}
	buckets := make(map[float64]uint64, len(h.Bounds))
	var n uint64
	for i, bound := range h.Bounds {
		n += h.Counts[i]
		buckets[bound] = n
	}
	out <- prometheus.MustNewConstHistogram(d, n+h.Counts[len(h.Bounds)], h.Sum, buckets, label)
}

// collectStates sends the present states of the teams. Those that are not named are summed.
func (c *outcomeCollector) collectStates(out chan<- prometheus.Metric) {
	var names []string
	sums := map[string]dispatch.TeamState{}
	for _, t := range c.source.TeamStates() {
		name := c.teamNames.value(t.Name)
		sum, ok := sums[name]
		if !ok {
			names = append(names, name)
		}
		sum.Running += t.Running
		sum.Waiting += t.Waiting
		sum.Used = sum.Used.Add(t.Used)
		sum.Refused += t.Refused
		sum.Held += t.Held
		sums[name] = sum
	}
	for _, name := range names {
		t := sums[name]
		send := func(d *prometheus.Desc, v float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, name)
		}
		send(c.running, float64(t.Running))
		send(c.waiting, float64(t.Waiting))
		send(c.cores, float64(t.Used.Cores)/1000)
		send(c.memory, float64(t.Used.Memory))
		send(c.gpus, float64(t.Used.Accelerators))
		send(c.limited, float64(t.Refused))
		send(c.held, float64(t.Held))
	}
}
