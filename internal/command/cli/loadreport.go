package cli

import (
	"cmp"
	"maps"
	"math"
	"slices"

	dto "github.com/prometheus/client_model/go"
)

// The prefix of the metrics of the hosts that join runs, and the one that each of them has.
const (
	metricPrefix = "sassafraswind_entry_"
	leadsMetric  = metricPrefix + "leads"
)

// loadReport is what the metrics of several hosts say together. The sums count since each host's start.
type loadReport struct {
	Hosts []hostLoad `json:"hosts"`
	// Classes and Teams come from the hosts that lead or have led, Zones from those to which the callers sent their requests.
	Classes []groupLoad `json:"classes"`
	Zones   []zoneLoad  `json:"zones"`
	Teams   []teamLoad  `json:"teams,omitempty"`
}

// hostLoad says whether a host could be read.
type hostLoad struct {
	URL   string `json:"url"`
	Leads bool   `json:"leads"`
	// Error is empty if the host was read.
	Error string `json:"error,omitempty"`
}

// groupLoad holds the sums of a class or a team.
type groupLoad struct {
	Name     string  `json:"name"`
	Accepted float64 `json:"accepted"`
	// Wait is the time until the first start, Duration the time until a job was completed or failed.
	Wait     quantiles `json:"wait_s"`
	Duration quantiles `json:"duration_s"`
	// Late counts the ended jobs beyond their objective, Missed those of them beyond three times it.
	Ended     float64            `json:"ended"`
	Failed    float64            `json:"failed"`
	Cancelled float64            `json:"cancelled"`
	Late      float64            `json:"late"`
	Missed    float64            `json:"missed"`
	Refused   map[string]float64 `json:"refused,omitempty"`
	Runs      map[string]float64 `json:"runs,omitempty"`
	// Work and Wasted are in core-seconds.
	Work   float64            `json:"work_core_s"`
	Wasted map[string]float64 `json:"wasted_core_s,omitempty"`

	wait, duration buckets
}

// teamLoad is a team's load with what it has at present.
type teamLoad struct {
	groupLoad
	Running float64 `json:"running"`
	Waiting float64 `json:"waiting"`
	Cores   float64 `json:"cores"`
	// Limited counts the jobs refused because of the team's limits, Held the starts that its quota held back.
	Limited float64 `json:"limited"`
	Held    float64 `json:"held"`
}

// zoneLoad counts the answers of a zone's hosts to callers' requests of a class.
type zoneLoad struct {
	Zone  string `json:"zone"`
	Class string `json:"class"`
	// Submitted counts the answers to submissions. Of these, Accepted and Unknown have that outcome, and Refused counts those
	// that are certainly not run. Others counts the answers to all other requests.
	Submitted float64 `json:"submitted"`
	Accepted  float64 `json:"accepted"`
	Refused   float64 `json:"refused"`
	Unknown   float64 `json:"unknown"`
	Others    float64 `json:"others"`
	// Reasons counts the refusals of all requests.
	Reasons map[string]float64 `json:"reasons,omitempty"`
}

// quantiles describes a distribution. The values are those that Prometheus would estimate from the buckets; above the last
// bucket they are its bound.
type quantiles struct {
	Count uint64  `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
}

// buckets holds the numbers of values up to each bound, and their sum.
type buckets struct {
	upTo  map[float64]uint64
	count uint64
	sum   float64
}

// add adds a histogram.
func (b *buckets) add(h *dto.Histogram) {
	if b.upTo == nil {
		b.upTo = map[float64]uint64{}
	}
	for _, bucket := range h.GetBucket() {
		b.upTo[bucket.GetUpperBound()] += bucket.GetCumulativeCount()
	}
	b.count += h.GetSampleCount()
	b.sum += h.GetSampleSum()
}

// quantile returns an estimate of the value that the share q of the values does not exceed.
func (b *buckets) quantile(q float64) float64 {
	rank := q * float64(b.count)
	lower, below := 0.0, 0.0
	for _, bound := range slices.Sorted(maps.Keys(b.upTo)) {
		n := float64(b.upTo[bound])
		if math.IsInf(bound, 1) {
			break
		}
		if n >= rank && n > below {
			return lower + (bound-lower)*(rank-below)/(n-below)
		}
		lower, below = bound, n
	}
	return lower
}

// quantiles returns the description of the values.
func (b *buckets) quantiles() quantiles {
	if b.count == 0 {
		return quantiles{}
	}
	return quantiles{
		Count: b.count, Mean: b.sum / float64(b.count), P50: b.quantile(0.5), P99: b.quantile(0.99),
	}
}

// families holds the metrics of one host by name.
type families map[string]*dto.MetricFamily

// each calls fn for each metric with the name, with its labels and, unless it is a histogram, its value.
func (f families) each(name string, fn func(labels map[string]string, value float64, m *dto.Metric)) {
	for _, m := range f[metricPrefix+name].GetMetric() {
		labels := make(map[string]string, len(m.GetLabel()))
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		fn(labels, m.GetCounter().GetValue()+m.GetGauge().GetValue()+m.GetUntyped().GetValue(), m)
	}
}

// leads reports whether the host leads.
func (f families) leads() bool {
	leads := false
	f.each("leads", func(_ map[string]string, v float64, _ *dto.Metric) { leads = leads || v > 0 })
	return leads
}

// loadSums adds up the metrics of several hosts.
type loadSums struct {
	classes, teams map[string]*teamLoad
	zones          map[[2]string]*zoneLoad
}

// newLoadSums returns empty sums.
func newLoadSums() *loadSums {
	return &loadSums{
		classes: map[string]*teamLoad{}, teams: map[string]*teamLoad{}, zones: map[[2]string]*zoneLoad{},
	}
}

// add adds the metrics of a host.
func (s *loadSums) add(f families) {
	s.addGroups(f, "class", s.classes)
	s.addGroups(f, "team", s.teams)
	s.addStates(f)
	s.addAnswers(f)
}

// addGroups adds the metrics by class or by team, which is also the name of their label.
func (s *loadSums) addGroups(f families, kind string, into map[string]*teamLoad) {
	each := func(name string, fn func(g *groupLoad, labels map[string]string, v float64, m *dto.Metric)) {
		f.each(kind+"_"+name, func(labels map[string]string, v float64, m *dto.Metric) {
			fn(&groupOf(into, labels[kind]).groupLoad, labels, v, m)
		})
	}
	each("accepted_total", func(g *groupLoad, _ map[string]string, v float64, _ *dto.Metric) { g.Accepted += v })
	each("wait_seconds", func(g *groupLoad, _ map[string]string, _ float64, m *dto.Metric) { g.wait.add(m.GetHistogram()) })
	each("duration_seconds", func(g *groupLoad, _ map[string]string, _ float64, m *dto.Metric) {
		g.duration.add(m.GetHistogram())
	})
	each("jobs_total", func(g *groupLoad, labels map[string]string, v float64, _ *dto.Metric) {
		g.Ended += v
		switch labels["end"] {
		case "failed":
			g.Failed += v
		case "cancelled":
			g.Cancelled += v
		}
		switch labels["lateness"] {
		case "late":
			g.Late += v
		case "missed":
			g.Late += v
			g.Missed += v
		}
	})
	each("refused_total", func(g *groupLoad, labels map[string]string, v float64, _ *dto.Metric) {
		addTo(&g.Refused, labels["reason"], v)
	})
	each("runs_total", func(g *groupLoad, labels map[string]string, v float64, _ *dto.Metric) {
		addTo(&g.Runs, labels["end"], v)
	})
	each("work_core_seconds_total", func(g *groupLoad, _ map[string]string, v float64, _ *dto.Metric) { g.Work += v })
	each("wasted_core_seconds_total", func(g *groupLoad, labels map[string]string, v float64, _ *dto.Metric) {
		addTo(&g.Wasted, labels["cause"], v)
	})
}

// addStates adds what the teams have at present.
func (s *loadSums) addStates(f families) {
	for name, field := range map[string]func(*teamLoad) *float64{
		"running": func(t *teamLoad) *float64 { return &t.Running },
		"waiting": func(t *teamLoad) *float64 { return &t.Waiting },
		"cores":   func(t *teamLoad) *float64 { return &t.Cores },
		"limited": func(t *teamLoad) *float64 { return &t.Limited },
		"held":    func(t *teamLoad) *float64 { return &t.Held },
	} {
		f.each("team_"+name, func(labels map[string]string, v float64, _ *dto.Metric) {
			*field(groupOf(s.teams, labels["team"])) += v
		})
	}
}

// addAnswers adds the answers to callers.
func (s *loadSums) addAnswers(f families) {
	f.each("answers_total", func(labels map[string]string, v float64, _ *dto.Metric) {
		z := s.zone(labels)
		if labels["action"] != "submit" {
			z.Others += v
			return
		}
		z.Submitted += v
		switch labels["outcome"] {
		case "done":
			z.Accepted += v
		case "unknown":
			z.Unknown += v
		default:
			z.Refused += v
		}
	})
	f.each("refusals_total", func(labels map[string]string, v float64, _ *dto.Metric) {
		addTo(&s.zone(labels).Reasons, labels["reason"], v)
	})
}

// zone returns the sums of the zone and the class of the labels.
func (s *loadSums) zone(labels map[string]string) *zoneLoad {
	k := [2]string{labels["zone"], labels["class"]}
	if s.zones[k] == nil {
		s.zones[k] = &zoneLoad{Zone: k[0], Class: k[1]}
	}
	return s.zones[k]
}

// groupOf returns the sums of the class or team with the name.
func groupOf(groups map[string]*teamLoad, name string) *teamLoad {
	if groups[name] == nil {
		groups[name] = &teamLoad{groupLoad: groupLoad{Name: name}}
	}
	return groups[name]
}

// addTo adds a value to the sum with the name.
func addTo(sums *map[string]float64, name string, v float64) {
	if *sums == nil {
		*sums = map[string]float64{}
	}
	(*sums)[name] += v
}

// report returns the sums, ordered by name.
func (s *loadSums) report(hosts []hostLoad) loadReport {
	r := loadReport{Hosts: hosts, Classes: []groupLoad{}, Zones: []zoneLoad{}}
	for _, name := range slices.Sorted(maps.Keys(s.classes)) {
		g := &s.classes[name].groupLoad
		g.Wait, g.Duration = g.wait.quantiles(), g.duration.quantiles()
		r.Classes = append(r.Classes, *g)
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.Wait, t.Duration = t.wait.quantiles(), t.duration.quantiles()
		r.Teams = append(r.Teams, *t)
	}
	for _, z := range s.zones {
		r.Zones = append(r.Zones, *z)
	}
	slices.SortFunc(r.Zones, func(a, b zoneLoad) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	return r
}

// sum returns the sum of the values.
func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
