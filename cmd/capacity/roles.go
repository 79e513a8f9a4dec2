package main

import (
	"fmt"
	"math"
	"strings"

	"sassafraswind.example/sassafraswind/internal/work/job"
)

// deployment is a set of hosts and the work on it, as counts. The names of the counts appear in the sums of the tables.
type deployment struct {
	name   string
	counts map[string]float64
}

// deployments are those of section 9 of the design. It does not give the running tasks, starts and jobs of today's
// deployments; they are scaled from the planned deployment by the number of workers.
var deployments = []deployment{
	newDeployment("Ashyq", 66, 3, 3, 1, 5, 2),
	newDeployment("Kiskopyörä", 48, 3, 3, 1, 5, 2),
	newDeployment("planned", 910, 10, 3, 3, 40, 112),
}

// newDeployment returns a deployment with the given numbers of workers, zones, entry hosts of a zone, zones of the
// smallest remote region, classes, and pairs of team and urgent class. The other numbers are those of the planned
// deployment with its 910 workers, scaled by the share of workers: 25,000 running tasks, 130 starts a second at the
// peak, and 16,000 jobs a day, whose keys are remembered for 25 h.
//
// The counts workers, hosts, tasks and starts are those of a zone, held and heldTasks those of an entry host, perWorker
// the tasks of a worker. Names that begin with all stand for the whole deployment, those with remote for the smallest
// remote region; remoteSyncs are the syncs between it and the other zones. The count syncs is that of the syncs which
// an entry host begins in a second: with each other host of its zone and one host of each other zone.
func newDeployment(name string, workers, zones, hosts, remote, classes, pairs float64) deployment {
	share := workers / 910
	return deployment{name: name, counts: map[string]float64{
		"workers": workers / zones, "hosts": hosts, "zones": zones, "held": workers / zones / hosts,
		"tasks": 25000 * share / zones, "heldTasks": 25000 * share / zones / hosts, "starts": 130 * share / zones,
		"perWorker": 25000.0 / 910, "calls": 3100 * share / zones / hosts,
		"allJobs": 16000 * share * 25 / 24, "allStarts": 130 * share, "allHosts": hosts * zones, "allWorkers": workers,
		"machines": workers + hosts*zones, "classes": classes, "pairs": pairs,
		"syncs": hosts - 1 + zones - 1, "remoteHosts": hosts * remote, "remoteZones": remote,
		"remoteSyncs": hosts * remote * (zones - remote), "remoteStarts": 130 * share / zones * remote,
	}}
}

// term is one product of a sum: a measured coefficient, a constant factor and counts of the deployment.
type term struct {
	// series is the name of the measured series; if empty, the coefficient is the factor alone.
	series string
	// part is "slope", "base" or "at N", the value of the line at x = N.
	part string
	// factor is a constant; 0 stands for 1.
	factor float64
	// counts are names of counts of the deployment, separated by spaces.
	counts string
}

// row is one computed load of the table of roles.
type row struct {
	role, load, unit string
	terms            []term
}

// coefficient returns the factor times the part of the measured series, or NaN if the series or part is unknown.
func (t term) coefficient(seriesByName map[string]*series) float64 {
	k := t.factor
	if k == 0 {
		k = 1
	}
	if t.series == "" {
		return k
	}
	s := seriesByName[t.series]
	if s == nil {
		return math.NaN()
	}
	switch t.part {
	case "slope":
		return k * s.slope
	case "base":
		return k * s.base
	}
	var x float64
	if _, err := fmt.Sscanf(t.part, "at %g", &x); err != nil {
		return math.NaN()
	}
	return k * (s.base + s.slope*x)
}

// value returns the product for a deployment, NaN if the coefficient is unknown.
func (t term) value(seriesByName map[string]*series, d deployment) float64 {
	v := t.coefficient(seriesByName)
	for _, name := range strings.Fields(t.counts) {
		v *= d.counts[name]
	}
	return v
}

// String returns the product as it stands in the sum column of the table.
func (t term) String() string {
	var parts []string
	if t.factor != 0 {
		parts = append(parts, formatNumber(t.factor))
	}
	if t.series != "" {
		parts = append(parts, "`"+t.series+"` "+t.part)
	}
	for _, name := range strings.Fields(t.counts) {
		parts = append(parts, "*"+name+"*")
	}
	return strings.Join(parts, " × ")
}

// value returns the sum of the terms for a deployment.
func (r row) value(seriesByName map[string]*series, d deployment) float64 {
	v := 0.0
	for _, t := range r.terms {
		v += t.value(seriesByName, d)
	}
	return v
}

// formula returns the sum as it stands in the table.
func (r row) formula() string {
	parts := make([]string, len(r.terms))
	for i, t := range r.terms {
		parts[i] = t.String()
	}
	return strings.Join(parts, " + ")
}

// mibPerByte converts bytes to MiB.
const mibPerByte = 1.0 / (1 << 20)

var (
	// cpu and memory are the processor time and memory of an entry host without requests: leases, reading, syncs and
	// the state of its zone. batch.cpuPerStart is in ms of all three entry hosts of the zone; 0.1 converts ms a second
	// to percent of a core.
	cpu = []term{
		{series: "workers.cpu", part: "base"}, {series: "workers.cpu", part: "slope", counts: "held"},
		{series: "tasks.cpu", part: "slope", counts: "heldTasks"},
		{series: "batch.cpuPerStart", part: "at 3", factor: 0.1 / 3, counts: "starts"},
	}
	memory = []term{
		{series: "workers.rss", part: "base"}, {series: "workers.rss", part: "slope", counts: "held"},
		{series: "tasks.rss", part: "slope", counts: "tasks"},
		{series: "Teams.heap-B", part: "slope", factor: mibPerByte, counts: "pairs"},
		{series: "JobKeys.heap-B", part: "slope", factor: mibPerByte, counts: "allJobs"},
		{factor: job.MaxRetainedBytes * mibPerByte},
	}
	// toWorkers, listBytes, logBytes and peerBytes are the bytes a second that an entry host exchanges with the
	// workers, the host list, the log and its peers. hosts.workers is measured with 48 workers, and the batch series
	// with up to three entry hosts together. A host answers as many syncs as it begins.
	toWorkers = []term{
		{series: "workers.workers", part: "slope", counts: "held"},
		{series: "tasks.workers", part: "slope", counts: "heldTasks"},
		{series: "hosts.workers", part: "slope", factor: 1.0 / 48, counts: "workers"},
	}
	listBytes = []term{
		{series: "workers.list", part: "base"}, {series: "workers.list", part: "slope", counts: "machines"},
	}
	logBytes = []term{
		{series: "workers.log", part: "base"},
		{series: "batch.logPerStart", part: "at 3", factor: 1.0 / 3, counts: "starts"},
		{series: "JobKeys.record-B", part: "slope", factor: 4.0 / 3 * 16000 / 86400 / 910, counts: "allWorkers"},
	}
	peerBytes = []term{{series: "pairs.peers", part: "slope", factor: 2, counts: "syncs"}}
)

// rows are the loads of each role of one entry host, unless the text of the load says otherwise.
//
// The log transfers data as base64, which turns 3 bytes into 4. A start and the end of its task are two records, so a
// snapshot, which is due after 2,000 records, comes once in 1,000 starts; it is written once and read by three hosts.
// latency.cpu is measured at 2,000 requests a second. The factors 0.001 and 0.008 convert bytes to kB and kbit, and
// 16000 / 86400 / 910 is the number of jobs a second per worker.
var rows = []row{
	{"front", "processor at 100 requests/s", "% of a core",
		[]term{{series: "latency.cpu", part: "base", factor: 0.05}}},
	{"front", "memory of metrics", "MB",
		[]term{{series: "Teams.heap-B", part: "slope", factor: mibPerByte, counts: "pairs"}}},
	{"front", "bytes of a scrape", "kB",
		[]term{{series: "Teams.scrape-B", part: "slope", factor: 0.001, counts: "pairs"}}},
	{"owner", "processor: renewals and ticks", "% of a core", cpu[1:2]},
	{"owner", "lease messages", "a second", []term{{factor: 0.5, counts: "held"}}},
	{"owner", "status queries of workers that others hold", "a second",
		[]term{{factor: 1.0 / 6, counts: "workers"}, {factor: -1.0 / 6, counts: "held"}}},
	{"owner", "bytes to and from workers", "kB/s", scaleTerms(toWorkers, 0.001)},
	{"owner", "memory of policy and capacity", "MB",
		[]term{{series: "PlaceTask.heap-B", part: "slope", factor: mibPerByte, counts: "held"}}},
	{"owner", "time of one batch placement", "µs",
		[]term{{series: "PlaceTask.ns", part: "base", factor: 0.001},
			{series: "PlaceTask.ns", part: "slope", factor: 0.001, counts: "held"}}},
	{"zone stream", "records written by the zone's hosts, at most", "a second", []term{{factor: 2, counts: "starts"}}},
	{"zone stream", "bytes to and from the log", "kB/s", scaleTerms(logBytes, 0.001)},
	{"zone stream", "memory of running tasks", "MB",
		[]term{{series: "Running.heap-B", part: "slope", factor: mibPerByte, counts: "tasks"}}},
	{"keys stream", "memory of job keys of 25 h", "MB",
		[]term{{series: "JobKeys.heap-B", part: "slope", factor: mibPerByte, counts: "allJobs"}}},
	{"keys stream", "memory of 25 h of 1 keyed request a second", "MB",
		[]term{{series: "Keys.heap-B", part: "slope", factor: mibPerByte * 90000}}},
	{"config", "bytes relayed to a peer by a change", "kB",
		[]term{{series: "Relay.relay-B", part: "slope", factor: 0.001, counts: "classes"}}},
	{"snapshots", "size of a zone's running tasks", "kB",
		[]term{{series: "Running.snapshot-B", part: "slope", factor: 0.001, counts: "tasks"}}},
	{"snapshots", "size of the job keys", "kB",
		[]term{{series: "JobKeys.snapshot-B", part: "slope", factor: 0.001, counts: "allJobs"}}},
	{"peer", "syncs begun", "a second", []term{{counts: "syncs"}}},
	{"peer", "bytes to and from peers", "kB/s", scaleTerms(peerBytes, 0.001)},
	{"host list", "bytes read", "kB/s", scaleTerms(listBytes, 0.001)},
	{"all roles", "processor without requests", "% of a core", cpu},
	{"all roles", "memory", "MB", memory},
	{"region link", "peers, both ways", "kbit/s",
		[]term{{series: "pairs.peers", part: "slope", factor: 0.008 * 2, counts: "remoteSyncs"}}},
	{"region link", "log, a region without it, both ways", "kbit/s", []term{
		{series: "workers.log", part: "base", factor: 0.008, counts: "remoteHosts"},
		{series: "batch.logPerStart", part: "at 3", factor: 0.008, counts: "remoteStarts"},
		{series: "JobKeys.record-B", part: "slope", factor: 0.008 * 4 / 3 * 16000 / 86400 / 910,
			counts: "allWorkers remoteHosts"},
	}},
	{"region link", "host list, a region without it", "kbit/s", scaleTerms(listBytes, 0.008, "remoteHosts")},
	{"region link", "snapshots of its zones at peak, both ways", "kbit/s", []term{
		{series: "Running.snapshot-B", part: "slope", factor: 0.008 * 4 / 3 * 4 / 1000, counts: "tasks remoteStarts"},
		{series: "Running.snapshot-B", part: "slope", factor: 0.008 * 4 / 3 * 4 / 1000 * finishedTasks,
			counts: "remoteStarts"},
	}},
	{"log", "appends of all hosts for starts and ends, grouped as at saturation", "a second",
		[]term{{series: "batch.appendsPerStart", part: "at 3", counts: "allStarts"}}},
	{"log", "appends of all hosts, at most", "a second", []term{
		{factor: 2, counts: "allStarts"}, {factor: 2.0 * 16000 / 86400 / 910, counts: "allWorkers"},
		{series: "Running.snapshot-B", part: "slope", factor: finishedTasks / 65536 / 1000, counts: "allStarts"},
	}},
	{"start", "state and records that an empty host reads", "kB", []term{
		{series: "Running.snapshot-B", part: "slope", factor: 0.004 / 3, counts: "tasks"},
		{series: "Running.snapshot-B", part: "slope", factor: 0.004 / 3 * finishedTasks},
		{series: "JobKeys.snapshot-B", part: "slope", factor: 0.004 / 3, counts: "allJobs"},
		{series: "Running.record-B", part: "slope", factor: 0.004 / 3 * 2000},
	}},
	{"start", "time to read and restore them, without the transfer", "ms", []term{
		{series: "Running.ns", part: "slope", factor: 1e-6, counts: "tasks"},
		{series: "Running.ns", part: "slope", factor: 1e-6 * finishedTasks},
		{series: "JobKeys.ns", part: "slope", factor: 1e-6, counts: "allJobs"},
		{series: "Join.ns", part: "slope", factor: 1e-6 * 6000},
	}},
	{"event", "records of a lost worker", "records", []term{{factor: 2, counts: "perWorker"}}},
	{"event", "records of a lost rack of 8 workers", "records", []term{{factor: 16, counts: "perWorker"}}},
	{"event", "records of a lost zone and its move", "records", []term{{factor: 3, counts: "tasks"}}},
	{"event", "bytes of these records", "kB",
		[]term{{series: "Running.record-B", part: "slope", factor: 0.003, counts: "tasks"}}},
	{"event", "records of a day's 72 failed and replaced machines", "records",
		[]term{{factor: 2 * 72.0 / 940, counts: "allWorkers perWorker"}}},
	{"event", "starts that wait in an hour without the log, one region, at a third of the peak", "tasks",
		[]term{{factor: 1200, counts: "remoteStarts"}}},
	{"event", "bytes read by that region afterwards", "kB",
		[]term{{series: "JobKeys.record-B", part: "slope", factor: 0.004 / 3 / 25, counts: "allJobs remoteHosts"}}},
}

// finishedTasks is the number of finished tasks, with one attempt and a short output each, that job.MaxRetainedBytes
// retains in a zone. Package job counts 192 bytes for a task without its output.
const finishedTasks = job.MaxRetainedBytes / 192.0

// scaleTerms returns the sum with each term multiplied by a factor and by counts.
func scaleTerms(sum []term, factor float64, counts ...string) []term {
	out := make([]term, len(sum))
	for i, t := range sum {
		if t.factor == 0 {
			t.factor = 1
		}
		t.factor *= factor
		t.counts = strings.TrimSpace(t.counts + " " + strings.Join(counts, " "))
		out[i] = t
	}
	return out
}

// rolesTable returns the table of computed loads.
func rolesTable(seriesByName map[string]*series) string {
	var b strings.Builder
	b.WriteString("| role | load | unit |")
	for _, d := range deployments {
		b.WriteString(" " + d.name + " |")
	}
	b.WriteString(" sum |\n|---|---|---|" + strings.Repeat("---|", len(deployments)+1) + "\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s |", r.role, r.load, r.unit)
		for _, d := range deployments {
			fmt.Fprintf(&b, " %s |", formatNumber(r.value(seriesByName, d)))
		}
		fmt.Fprintf(&b, " %s |\n", r.formula())
	}
	return b.String()
}

// budgetsTable returns the table that compares the cost of an entry host without requests, as a whole and divided by
// the number of workers that it holds, with the limits of section 9 of the design.
func budgetsTable(seriesByName map[string]*series) string {
	all := append(append(append(append([]term{}, toWorkers...), listBytes...), logBytes...), peerBytes...)
	var b strings.Builder
	b.WriteString("| budget of a node | limit |")
	for _, d := range deployments {
		fmt.Fprintf(&b, " %s, share of a worker | %s, whole entry host |", d.name, d.name)
	}
	b.WriteString("\n|---|---|" + strings.Repeat("---|---|", len(deployments)) + "\n")
	for _, l := range []struct {
		name  string
		limit float64
		terms []term
	}{
		{"processor, % of a core", 1.1, cpu}, {"memory, MB", 32, memory}, {"bytes, kB/s", 9, scaleTerms(all, 0.001)},
	} {
		fmt.Fprintf(&b, "| %s | %s |", l.name, formatNumber(l.limit))
		for _, d := range deployments {
			v := row{terms: l.terms}.value(seriesByName, d)
			fmt.Fprintf(&b, " %s | %s |", formatWithLimit(v/d.counts["held"], l.limit), formatWithLimit(v, l.limit))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// formatWithLimit formats a value, in bold if it exceeds the limit.
func formatWithLimit(v, limit float64) string {
	if v > limit {
		return "**" + formatNumber(v) + "**"
	}
	return formatNumber(v)
}
