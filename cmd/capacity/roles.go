package main

import (
	"fmt"
	"math"
	"strings"

	"sassafraswind.example/sassafraswind/internal/work/job"
)

// size is a deployment. Counts are named as in the sums of the tables.
type size struct {
	name string
	n    map[string]float64
}

// sizes are those of section 9 of the design. Running tasks, starts and jobs of today's deployments are not given there;
// they are scaled from the planned size by the number of workers.
var sizes = []size{
	deployment("Ashyq", 66, 3, 3, 1, 5, 2),
	deployment("Kiskopyörä", 48, 3, 3, 1, 5, 2),
	deployment("planned", 910, 10, 3, 3, 40, 112),
}

// deployment returns a size with counts per zone, with the given number of zones, entry hosts of a zone, zones of the
// smallest remote region, classes, and pairs of team and urgent class.
func deployment(name string, workers, zones, hosts, remote, classes, pairs float64) size {
	share := workers / 910
	return size{name: name, n: map[string]float64{
		"workers": workers / zones, "hosts": hosts, "zones": zones, "held": workers / zones / hosts,
		"tasks": 25000 * share / zones, "heldTasks": 25000 * share / zones / hosts, "starts": 130 * share / zones,
		"perWorker": 25000.0 / 910, "calls": 3100 * share / zones / hosts,
		"allJobs": 16000 * share * 25 / 24, "allStarts": 130 * share, "allHosts": hosts * zones, "allWorkers": workers,
		"machines": workers + hosts*zones, "classes": classes, "pairs": pairs,
		"syncs": hosts - 1 + zones - 1, "remoteHosts": hosts * remote, "remoteZones": remote,
		"remoteSyncs": hosts * remote * (zones - remote), "remoteStarts": 130 * share / zones * remote,
	}}
}

// term is one product of a sum: a measured coefficient, a constant k (0 counts as 1) and counts of the size.
type term struct {
	series string
	// part is "slope", "base" or "at N", the value of the line at x = N.
	part string
	k    float64
	by   string
}

// row is a worked-out load.
type row struct {
	role, load, unit string
	sum              []term
}

func (t term) coefficient(s map[string]*fit) float64 {
	k := t.k
	if k == 0 {
		k = 1
	}
	if t.series == "" {
		return k
	}
	f := s[t.series]
	if f == nil {
		return math.NaN()
	}
	switch t.part {
	case "slope":
		return k * f.slope
	case "base":
		return k * f.base
	}
	var x float64
	if _, err := fmt.Sscanf(t.part, "at %g", &x); err != nil {
		return math.NaN()
	}
	return k * (f.base + f.slope*x)
}

func (t term) value(s map[string]*fit, z size) float64 {
	v := t.coefficient(s)
	for _, w := range strings.Fields(t.by) {
		v *= z.n[w]
	}
	return v
}

func (t term) String() string {
	var parts []string
	if t.k != 0 {
		parts = append(parts, num(t.k))
	}
	if t.series != "" {
		parts = append(parts, "`"+t.series+"` "+t.part)
	}
	for _, w := range strings.Fields(t.by) {
		parts = append(parts, "*"+w+"*")
	}
	return strings.Join(parts, " × ")
}

func (r row) value(s map[string]*fit, z size) float64 {
	v := 0.0
	for _, t := range r.sum {
		v += t.value(s, z)
	}
	return v
}

func (r row) text() string {
	parts := make([]string, len(r.sum))
	for i, t := range r.sum {
		parts[i] = t.String()
	}
	return strings.Join(parts, " + ")
}

const mb = 1.0 / (1 << 20)

var (
	// cpu and memory are those of an entry host at rest: leases, reading, syncs and the state of its zone.
	cpu = []term{
		{series: "workers.cpu", part: "base"}, {series: "workers.cpu", part: "slope", by: "held"},
		{series: "tasks.cpu", part: "slope", by: "heldTasks"}, {series: "batch.cpuPerStart", part: "at 3", k: 0.1 / 3, by: "starts"},
	}
	memory = []term{
		{series: "workers.rss", part: "base"}, {series: "workers.rss", part: "slope", by: "held"},
		{series: "tasks.rss", part: "slope", by: "tasks"}, {series: "Teams.heap-B", part: "slope", k: mb, by: "pairs"},
		{series: "JobKeys.heap-B", part: "slope", k: mb, by: "allJobs"}, {k: job.KeepBytes * mb},
	}
	toWorkers = []term{
		{series: "workers.workers", part: "slope", by: "held"}, {series: "tasks.workers", part: "slope", by: "heldTasks"},
		{series: "hosts.workers", part: "slope", k: 1.0 / 48, by: "workers"},
	}
	listBytes = []term{{series: "workers.list", part: "base"}, {series: "workers.list", part: "slope", by: "machines"}}
	logBytes  = []term{
		{series: "workers.log", part: "base"}, {series: "batch.logPerStart", part: "at 3", k: 1.0 / 3, by: "starts"},
		{series: "JobKeys.record-B", part: "slope", k: 4.0 / 3 * 16000 / 86400 / 910, by: "allWorkers"},
	}
	peerBytes = []term{{series: "pairs.peers", part: "slope", k: 2, by: "syncs"}}
)

// rows are the loads of the roles of one entry host, unless the load says otherwise.
var rows = []row{
	{"front", "processor at 100 requests/s", "% of a core", []term{{series: "latency.cpu", part: "base", k: 0.05}}},
	{"front", "memory of metrics", "MB", []term{{series: "Teams.heap-B", part: "slope", k: mb, by: "pairs"}}},
	{"front", "bytes of a scrape", "kB", []term{{series: "Teams.scrape-B", part: "slope", k: 0.001, by: "pairs"}}},
	{"owner", "processor: renewals and ticks", "% of a core", cpu[1:2]},
	{"owner", "lease messages", "a second", []term{{k: 0.5, by: "held"}}},
	{"owner", "status queries of workers that others hold", "a second", []term{{k: 1.0 / 6, by: "workers"}, {k: -1.0 / 6, by: "held"}}},
	{"owner", "bytes to and from workers", "kB/s", scaled(toWorkers, 0.001)},
	{"owner", "memory of policy and capacity", "MB", []term{{series: "PlaceTask.heap-B", part: "slope", k: mb, by: "held"}}},
	{"owner", "time of one batch placement", "µs", []term{{series: "PlaceTask.ns", part: "base", k: 0.001}, {series: "PlaceTask.ns", part: "slope", k: 0.001, by: "held"}}},
	{"zone stream", "records written by the zone's hosts, at most", "a second", []term{{k: 2, by: "starts"}}},
	{"zone stream", "bytes to and from the log", "kB/s", scaled(logBytes, 0.001)},
	{"zone stream", "memory of running tasks", "MB", []term{{series: "Running.heap-B", part: "slope", k: mb, by: "tasks"}}},
	{"keys stream", "memory of job keys of 25 h", "MB", []term{{series: "JobKeys.heap-B", part: "slope", k: mb, by: "allJobs"}}},
	{"keys stream", "memory of 25 h of 1 keyed request a second", "MB", []term{{series: "Keys.heap-B", part: "slope", k: mb * 90000}}},
	{"config", "bytes relayed to a peer by a change", "kB", []term{{series: "Relay.relay-B", part: "slope", k: 0.001, by: "classes"}}},
	{"snapshots", "size of a zone's running tasks", "kB", []term{{series: "Running.snapshot-B", part: "slope", k: 0.001, by: "tasks"}}},
	{"snapshots", "size of the job keys", "kB", []term{{series: "JobKeys.snapshot-B", part: "slope", k: 0.001, by: "allJobs"}}},
	{"peer", "syncs begun", "a second", []term{{by: "syncs"}}},
	{"peer", "bytes to and from peers", "kB/s", scaled(peerBytes, 0.001)},
	{"host list", "bytes read", "kB/s", scaled(listBytes, 0.001)},
	{"all roles", "processor without requests", "% of a core", cpu},
	{"all roles", "memory", "MB", memory},
	{"region link", "peers, both ways", "kbit/s", []term{{series: "pairs.peers", part: "slope", k: 0.008 * 2, by: "remoteSyncs"}}},
	{"region link", "log, a region without it, both ways", "kbit/s", []term{
		{series: "workers.log", part: "base", k: 0.008, by: "remoteHosts"},
		{series: "batch.logPerStart", part: "at 3", k: 0.008, by: "remoteStarts"},
		{series: "JobKeys.record-B", part: "slope", k: 0.008 * 4 / 3 * 16000 / 86400 / 910, by: "allWorkers remoteHosts"},
	}},
	{"region link", "host list, a region without it", "kbit/s", scaled(listBytes, 0.008, "remoteHosts")},
	{"region link", "snapshots of its zones at peak, both ways", "kbit/s", []term{
		{series: "Running.snapshot-B", part: "slope", k: 0.008 * 4 / 3 * 4 / 1000, by: "tasks remoteStarts"},
		{series: "Running.snapshot-B", part: "slope", k: 0.008 * 4 / 3 * 4 / 1000 * finishedTasks, by: "remoteStarts"},
	}},
	{"log", "appends of all hosts for starts and ends, grouped as at saturation", "a second", []term{{series: "batch.appendsPerStart", part: "at 3", by: "allStarts"}}},
	{"log", "appends of all hosts, at most", "a second", []term{
		{k: 2, by: "allStarts"}, {k: 2.0 * 16000 / 86400 / 910, by: "allWorkers"},
		{series: "Running.snapshot-B", part: "slope", k: finishedTasks / 65536 / 1000, by: "allStarts"},
	}},
	{"start", "state and records that an empty host reads", "kB", []term{
		{series: "Running.snapshot-B", part: "slope", k: 0.004 / 3, by: "tasks"},
		{series: "Running.snapshot-B", part: "slope", k: 0.004 / 3 * finishedTasks},
		{series: "JobKeys.snapshot-B", part: "slope", k: 0.004 / 3, by: "allJobs"},
		{series: "Running.record-B", part: "slope", k: 0.004 / 3 * 2000},
	}},
	{"start", "time to read and restore them, without the transfer", "ms", []term{
		{series: "Running.ns", part: "slope", k: 1e-6, by: "tasks"}, {series: "Running.ns", part: "slope", k: 1e-6 * finishedTasks},
		{series: "JobKeys.ns", part: "slope", k: 1e-6, by: "allJobs"}, {series: "Join.ns", part: "slope", k: 1e-6 * 6000},
	}},
	{"event", "records of a lost worker", "records", []term{{k: 2, by: "perWorker"}}},
	{"event", "records of a lost rack of 8 workers", "records", []term{{k: 16, by: "perWorker"}}},
	{"event", "records of a lost zone and its move", "records", []term{{k: 3, by: "tasks"}}},
	{"event", "bytes of these records", "kB", []term{{series: "Running.record-B", part: "slope", k: 0.003, by: "tasks"}}},
	{"event", "records of a day's 72 failed and replaced machines", "records", []term{{k: 2 * 72.0 / 940, by: "allWorkers perWorker"}}},
	{"event", "starts that wait in an hour without the log, one region, at a third of the peak", "tasks", []term{{k: 1200, by: "remoteStarts"}}},
	{"event", "bytes read by that region afterwards", "kB", []term{{series: "JobKeys.record-B", part: "slope", k: 0.004 / 3 / 25, by: "allJobs remoteHosts"}}},
}

// finishedTasks is the number of finished tasks of one attempt and short output that job.KeepBytes retains in a zone.
const finishedTasks = job.KeepBytes / 192.0

// scaled returns the sum with each term multiplied by a constant and by counts.
func scaled(sum []term, k float64, by ...string) []term {
	out := make([]term, len(sum))
	for i, t := range sum {
		if t.k == 0 {
			t.k = 1
		}
		t.k *= k
		t.by = strings.TrimSpace(t.by + " " + strings.Join(by, " "))
		out[i] = t
	}
	return out
}

// roles is the table of worked-out loads.
func roles(s map[string]*fit) string {
	var b strings.Builder
	b.WriteString("| role | load | unit |")
	for _, z := range sizes {
		b.WriteString(" " + z.name + " |")
	}
	b.WriteString(" sum |\n|---|---|---|" + strings.Repeat("---|", len(sizes)+1) + "\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s |", r.role, r.load, r.unit)
		for _, z := range sizes {
			fmt.Fprintf(&b, " %s |", num(r.value(s, z)))
		}
		fmt.Fprintf(&b, " %s |\n", r.text())
	}
	return b.String()
}

// budgets compares what control costs a worker's share of the entry hosts with section 9.
func budgets(s map[string]*fit) string {
	all := append(append(append(append([]term{}, toWorkers...), listBytes...), logBytes...), peerBytes...)
	var b strings.Builder
	b.WriteString("| budget of a node | limit |")
	for _, z := range sizes {
		fmt.Fprintf(&b, " %s, share of a worker | %s, whole entry host |", z.name, z.name)
	}
	b.WriteString("\n|---|---|" + strings.Repeat("---|---|", len(sizes)) + "\n")
	for _, l := range []struct {
		name  string
		limit float64
		sum   []term
	}{
		{"processor, % of a core", 1.1, cpu}, {"memory, MB", 32, memory}, {"bytes, kB/s", 9, scaled(all, 0.001)},
	} {
		fmt.Fprintf(&b, "| %s | %s |", l.name, num(l.limit))
		for _, z := range sizes {
			v := row{sum: l.sum}.value(s, z)
			fmt.Fprintf(&b, " %s | %s |", mark(v/z.n["held"], l.limit), mark(v, l.limit))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// mark formats a value, in bold if it exceeds the limit.
func mark(v, limit float64) string {
	if v > limit {
		return "**" + num(v) + "**"
	}
	return num(v)
}
