package cli

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// metricsTimeout is the longest time to read the metrics of one host. A leader answers once its present decision has ended.
const metricsTimeout = 5 * time.Second

// maxReasons is the number of reasons or causes that a row of a table names, the most frequent ones.
const maxReasons = 3

// loadCmd shows the load of entry hosts from their metrics.
type loadCmd struct {
	Addresses []string `arg:"" help:"Addresses of the hosts' metrics, HOST:PORT or a URL." placeholder:"ADDRESS"`
}

// Help returns the details of the command.
func (loadCmd) Help() string {
	return `Reads /metrics of the hosts that "join --metrics" runs, and adds them up: by class what the leaders counted, by zone and
class what the hosts answered to callers, and by team. Give all hosts: one that has led before has counts of its own. All
counts are since the start of each host. A class is a route, under its Name or else its host and prefix. LATE counts jobs
beyond their objective, MISSED those beyond three times it. WASTED is in core-seconds, with its share of the work of all
runs that have ended.

Examples:

  sassafraswind load 10.0.0.1:9100 10.0.0.2:9100
  sassafraswind --json load http://10.0.0.1:9100/metrics

Exit codes: 0 all hosts were read; 1 bad input or a host that can't be read, after the tables of the others.`
}

// Run shows the load.
func (c *loadCmd) Run(s *session) error {
	urls := make([]string, len(c.Addresses))
	for i, address := range c.Addresses {
		u, err := metricsURL(address)
		if err != nil {
			return err
		}
		if slices.Contains(urls[:i], u) {
			return errors.Newf("%s is given twice", u)
		}
		urls[i] = u
	}
	hosts, results := make([]hostLoad, len(urls)), make([]families, len(urls))
	var wg sync.WaitGroup
	for i, u := range urls {
		wg.Go(func() {
			f, err := readMetrics(s.ctx, s.client.http, u)
			hosts[i] = hostLoad{URL: u, Leads: err == nil && f.leads()}
			if err != nil {
				hosts[i].Error = err.Error()
			}
			results[i] = f
		})
	}
	wg.Wait()
	sums, failed, leads := newLoadSums(), 0, false
	for i, f := range results {
		leads = leads || hosts[i].Leads
		if hosts[i].Error != "" {
			failed++
			_, _ = fmt.Fprintf(s.errOut, "failed: %s: %s\n", hosts[i].URL, hosts[i].Error)
			continue
		}
		sums.add(f)
	}
	if !leads && failed < len(urls) && !s.json {
		_, _ = fmt.Fprintln(s.errOut, "None of these hosts leads: the present leader's counts are missing.")
	}
	report := sums.report(hosts)
	if failed < len(urls) || s.json {
		if err := s.print(report, func(w *tabwriter.Writer) { printLoad(w, report) }); err != nil {
			return err
		}
	}
	if failed > 0 {
		return &failure{code: ExitRejected, printed: true}
	}
	return nil
}

// metricsURL returns the URL of the metrics at an address.
func metricsURL(address string) (string, error) {
	text := strings.TrimSpace(address)
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" {
		return "", errors.Newf("%q is neither HOST:PORT nor an http or https URL", address)
	}
	if strings.Trim(u.Path, "/") == "" {
		u.Path = "/metrics"
	}
	return u.String(), nil
}

// readMetrics reads the metrics of a host.
func readMetrics(ctx context.Context, c *http.Client, rawURL string) (families, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := c.Do(r)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err
		}
		return nil, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("response with status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	f, err := parser.TextToMetricFamilies(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decode metrics")
	}
	if f[leadsMetric] == nil {
		return nil, errors.New("no metrics of a host that join runs")
	}
	return f, nil
}

// printLoad writes the tables by class, by zone and by team.
func printLoad(w io.Writer, r loadReport) {
	header := []any{
		"ACCEPTED", "WAIT P50", "P99", "TIME P50", "P99", "ENDED", "LATE", "MISSED", "FAILED", "CANCELLED", "REFUSED",
		"STOPPED", "LOST", "WASTED", "BY CAUSE",
	}
	printRow(w, append([]any{"CLASS"}, header...)...)
	for i := range r.Classes {
		printRow(w, groupCells(&r.Classes[i])...)
	}
	printRow(w, "\nZONE", "CLASS", "SUBMITTED", "ACCEPTED", "REFUSED", "UNKNOWN", "OTHER REQUESTS", "REASONS")
	for _, z := range r.Zones {
		printRow(w, z.Zone, z.Class, formatNumber(z.Submitted), formatNumber(z.Accepted), formatNumber(z.Refused),
			formatNumber(z.Unknown), formatNumber(z.Others), formatCounts(z.Reasons))
	}
	if len(r.Teams) == 0 {
		return
	}
	printRow(w, append([]any{"\nTEAM", "RUNNING", "WAITING", "CORES", "LIMITED", "HELD"}, header...)...)
	for i := range r.Teams {
		t := &r.Teams[i]
		cells := groupCells(&t.groupLoad)
		state := []any{
			cells[0], formatNumber(t.Running), formatNumber(t.Waiting), formatNumber(t.Cores), formatNumber(t.Limited),
			formatNumber(t.Held),
		}
		printRow(w, append(state, cells[1:]...)...)
	}
}

// groupCells returns the cells of a row for a class or a team.
func groupCells(g *groupLoad) []any {
	wasted := sum(g.Wasted)
	share := ""
	if g.Work > 0 {
		share = fmt.Sprintf(" (%.1f%%)", 100*wasted/g.Work)
	}
	return []any{
		g.Name, formatNumber(g.Accepted), formatSeconds(g.Wait, g.Wait.P50), formatSeconds(g.Wait, g.Wait.P99),
		formatSeconds(g.Duration, g.Duration.P50), formatSeconds(g.Duration, g.Duration.P99),
		formatNumber(g.Ended), formatNumber(g.Late), formatNumber(g.Missed), formatNumber(g.Failed),
		formatNumber(g.Cancelled), formatRefused(g.Refused), formatNumber(g.Runs["stopped"]),
		formatNumber(g.Runs["lost"] + g.Runs["lapsed"]), formatNumber(wasted) + share, formatCounts(g.Wasted),
	}
}

// formatRefused returns the number of refusals with the most frequent reasons.
func formatRefused(reasons map[string]float64) string {
	if len(reasons) == 0 {
		return "0"
	}
	return formatNumber(sum(reasons)) + ": " + formatCounts(reasons)
}

// formatNumber returns a number without an exponent, with one decimal place unless it is whole.
func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', 1, 64)
}

// formatSeconds returns a value of a distribution of seconds, "-" if the distribution is empty.
func formatSeconds(q quantiles, seconds float64) string {
	if q.Count == 0 {
		return "-"
	}
	d := time.Duration(seconds * float64(time.Second))
	if d >= 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Millisecond).String()
}

// formatCounts returns the largest values with their names, "-" if there are none.
func formatCounts(values map[string]float64) string {
	names := slices.SortedFunc(maps.Keys(values), func(a, b string) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return "-"
	}
	parts := make([]string, 0, maxReasons+1)
	for i, name := range names {
		if i == maxReasons {
			parts = append(parts, "…")
			break
		}
		parts = append(parts, name+" "+formatNumber(values[name]))
	}
	return strings.Join(parts, ", ")
}
