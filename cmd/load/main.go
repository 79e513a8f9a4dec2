// Command load sends requests and jobs to entry hosts, one at a time or at a constant rate.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/backend"
)

var cli struct {
	Key     keyCmd     `cmd:"" help:"Print a new key."`
	Request requestCmd `cmd:"" help:"Send one urgent request and print the reply."`
	Job     jobCmd     `cmd:"" help:"Submit one batch job and print the reply."`
	Show    showCmd    `cmd:"" help:"Print a job."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a job and print it."`
	Rate    rateCmd    `cmd:"" help:"Send idempotent requests at a constant rate and print answer times and outcomes."`
	Direct  directCmd  `cmd:"" help:"Send calls directly to stand-in workers at a constant rate, as a baseline for rate."`

	Metric     metricCmd     `cmd:"" help:"Print the zone of an entry host and the sum of a metric over its labels."`
	Post       postCmd       `cmd:"" help:"Post JSON to a stand-in, such as its faults."`
	Send       sendCmd       `cmd:"" help:"Send any request and print the body of its answer."`
	Violations violationsCmd `cmd:"" help:"Fail if stand-in workers recorded work beyond their capacity or work that ran twice."`
}

func main() {
	k := kong.Parse(&cli, kong.Name("load"), kong.Description("Sends requests to entry hosts. For tests on loopback."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// target holds the flags for the addresses that a command sends to and the time limit of each request.
type target struct {
	To      []string      `help:"Callers' addresses of entry hosts." default:"127.0.0.1:7200"`
	Timeout time.Duration `help:"Timeout of a request." default:"15s"`
}

// send sends one JSON request to the first address and returns the status code and body of the response.
func (t target) send(method, path string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.To[0]+path, in)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// print sends one request and prints the status code and body of its response. It fails for codes from 300.
func (t target) print(method, path string, body any) error {
	code, data, err := t.send(method, path, body)
	if err != nil {
		return err
	}
	fmt.Printf("%d %s", code, data)
	if code >= http.StatusMultipleChoices {
		return errors.Newf("status code %d", code)
	}
	return nil
}

// keyCmd prints a new key for a request or job: a version 7 UUID.
type keyCmd struct{}

// Run prints a key.
func (keyCmd) Run() error {
	k, err := uuid.NewV7()
	fmt.Println(k)
	return err
}

// requestCmd sends one urgent request to an entry host.
type requestCmd struct {
	target
	Class string `required:"" help:"Class of the request."`
	Team  string `default:"demo" help:"Team that the request counts for."`
	Key   string `help:"Key, for classes that are not idempotent."`
	// Deadline is in milliseconds.
	Deadline int64  `default:"10000" help:"Deadline in milliseconds."`
	Body     string `default:"{}" help:"JSON body."`
}

// Run sends the request.
func (c *requestCmd) Run() error {
	return c.print(http.MethodPost, "/v1/requests", map[string]any{
		"class": c.Class, "team": c.Team, "key": c.Key, "deadline_ms": c.Deadline,
		"body": json.RawMessage(c.Body),
	})
}

// jobCmd submits one batch job to an entry host.
type jobCmd struct {
	target
	Class string `required:"" help:"Batch class."`
	Team  string `default:"demo" help:"Team that the job counts for."`
	Key   string `help:"Key of the job, a new one by default."`
	Count int    `default:"1" help:"Number of tasks."`
	Cores int64  `default:"0" help:"Declared thousandths of a core of a task, 0 for the class's default."`
	Body  string `default:"{}" help:"JSON body."`
}

// Run submits the job.
func (c *jobCmd) Run() error {
	if c.Key == "" {
		k, err := uuid.NewV7()
		if err != nil {
			return err
		}
		c.Key = k.String()
	}
	return c.print(http.MethodPost, "/v1/jobs", map[string]any{
		"key": c.Key, "class": c.Class, "team": c.Team, "count": c.Count, "size": fleet.Size{Cores: c.Cores},
		"body": json.RawMessage(c.Body),
	})
}

// showCmd prints a job, given by its key, or a task, given as KEY/INDEX.
type showCmd struct {
	target
	ID string `arg:"" help:"Job or task."`
}

// Run prints the job or task.
func (c *showCmd) Run() error { return c.print(http.MethodGet, "/v1/jobs/"+c.ID, nil) }

// cancelCmd cancels a job, given by its key, or a task, given as KEY/INDEX.
type cancelCmd struct {
	target
	ID string `arg:"" help:"Job or task."`
}

// Run cancels the job or task and prints it.
func (c *cancelCmd) Run() error { return c.print(http.MethodDelete, "/v1/jobs/"+c.ID, nil) }

// constantRate holds the flags of a run at a constant rate.
type constantRate struct {
	PerSecond int           `default:"200" help:"Requests a second."`
	For       time.Duration `default:"10s" help:"Length of the run."`
	Bound     int           `default:"512" help:"Maximum number of requests in flight. Further ones are counted as late and not sent."`
	Window    time.Duration `default:"0s" help:"Also print the results of each window of this length, by the time at which requests were due."`
}

// results collects the outcomes of requests, and the latencies of those with outcome 200.
type results struct {
	mu        sync.Mutex
	latencies []time.Duration
	outcomes  map[string]int
}

// newResults returns empty results.
func newResults() *results { return &results{outcomes: map[string]int{}} }

// add counts an outcome.
func (r *results) add(latency time.Duration, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	if outcome == "200" {
		r.latencies = append(r.latencies, latency)
	}
}

// print prints the outcomes, and percentiles of the latencies of answered requests.
func (r *results) print(title string) {
	slices.Sort(r.latencies)
	fmt.Printf("%s, outcomes %v", title, r.outcomes)
	if n := len(r.latencies); n > 0 {
		percentile := func(q float64) time.Duration {
			return r.latencies[min(n-1, int(q*float64(n)))].Round(time.Microsecond)
		}
		fmt.Printf(", p50 %s p95 %s p99 %s p99.9 %s max %s",
			percentile(0.5), percentile(0.95), percentile(0.99), percentile(0.999),
			r.latencies[n-1].Round(time.Microsecond))
	}
	fmt.Println()
}

// run calls send at a constant rate, whether or not earlier requests were answered, and prints the results. The
// function send returns the outcome of request i. A request that would exceed the bound gets the outcome "late".
func (s constantRate) run(send func(i int) string) {
	r := newResults()
	total := int(s.For.Seconds() * float64(s.PerSecond))
	var windows []*results
	// add counts a request that was due at the given time after the start.
	add := func(dueAfter time.Duration, latency time.Duration, outcome string) {
		r.add(latency, outcome)
		if s.Window > 0 {
			windows[dueAfter/s.Window].add(latency, outcome)
		}
	}
	for windowStart := time.Duration(0); s.Window > 0 && windowStart < s.For; windowStart += s.Window {
		windows = append(windows, newResults())
	}
	var wg sync.WaitGroup
	var inFlight atomic.Int64
	start := time.Now()
	for i := range total {
		dueAfter := time.Duration(i) * time.Second / time.Duration(s.PerSecond)
		dueAt := start.Add(dueAfter)
		time.Sleep(time.Until(dueAt))
		if inFlight.Add(1) > int64(s.Bound) {
			inFlight.Add(-1)
			add(dueAfter, 0, "late")
			continue
		}
		wg.Go(func() {
			defer inFlight.Add(-1)
			outcome := send(i)
			// The latency counts from when the request was due, so that a stall is not hidden.
			add(dueAfter, time.Since(dueAt), outcome)
		})
	}
	wg.Wait()
	for i, w := range windows {
		w.print(fmt.Sprintf("from %s", time.Duration(i)*s.Window))
	}
	r.print(fmt.Sprintf("sent %d in %s", total, time.Since(start).Round(time.Millisecond)))
}

// newClient returns an HTTP client with enough pooled connections for a run at a constant rate.
func newClient(bound int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bound, MaxIdleConns: 0}}
}

// postRequest posts one JSON request and returns the outcome and the body of the response. The outcome is the status
// code as text, "error" if there was no response, or "cut" if its body ended early.
func postRequest(client *http.Client, url string, body []byte, timeout time.Duration) (string, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "error", nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return "error", nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut", nil
	}
	return fmt.Sprint(resp.StatusCode), data
}

// rateCmd sends urgent requests to entry hosts at a constant rate.
type rateCmd struct {
	target
	constantRate
	Class string `required:"" help:"Urgent, idempotent class."`
	Team  string `default:"demo" help:"Team that the requests count for."`
	Body  string `default:"{}" help:"JSON body."`
}

// Run sends the requests to the entry hosts in turn.
func (c *rateCmd) Run() error {
	body, err := json.Marshal(map[string]any{"class": c.Class, "team": c.Team, "body": json.RawMessage(c.Body)})
	if err != nil {
		return err
	}
	client := newClient(c.Bound)
	c.run(func(i int) string {
		outcome, _ := postRequest(client, "http://"+c.To[i%len(c.To)]+"/v1/requests", body, c.Timeout)
		return outcome
	})
	return nil
}

// directCmd sends calls to stand-in workers at a constant rate, without entry hosts.
type directCmd struct {
	target
	constantRate
	Class string `default:"direct" help:"Class of the calls."`
	Body  string `default:"{}" help:"JSON body."`
}

// Run acquires the leases of the workers, sends the calls to them in turn and releases the leases. The outcome of a
// call is "200", as with rate, if the worker answered, and otherwise "error".
func (c *directCmd) Run() error {
	client, closeClient := fleet.NewClient()
	defer closeClient()
	ctx := context.Background()
	fences := make([]fleet.Fence, len(c.To))
	for i, addr := range c.To {
		s, err := client.Status(ctx, addr)
		if err != nil {
			return err
		}
		until := s.Clock + c.For + time.Minute
		s, err = client.Lease(ctx, addr, fleet.LeaseRequest{
			Holder: "load", Boot: s.Boot, Until: until, TaskLeasesUntil: until,
		})
		if err != nil {
			return err
		}
		fences[i] = fleet.Fence{Boot: s.Boot, Grant: s.Grant, Before: until}
	}
	c.run(func(i int) string {
		worker := i % len(c.To)
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		_, err := client.Call(ctx, c.To[worker], fleet.Call{
			Fence: fences[worker], Request: uuid.NewString(), Attempt: 1, Class: c.Class, Body: []byte(c.Body),
		})
		if err != nil {
			return "error"
		}
		return "200"
	})
	for i, addr := range c.To {
		if err := client.Release(ctx, addr, fences[i]); err != nil {
			return err
		}
	}
	return nil
}

// postCmd posts JSON to a stand-in.
type postCmd struct {
	target
	Path string `arg:"" help:"Path, such as /faults."`
	Body string `arg:"" help:"JSON body."`
}

// Run posts the body.
func (c *postCmd) Run() error {
	code, data, err := c.send(http.MethodPost, c.Path, json.RawMessage(c.Body))
	if err != nil {
		return err
	}
	if code >= http.StatusMultipleChoices {
		return errors.Newf("status code %d: %s", code, data)
	}
	return nil
}

// sendCmd sends a request.
type sendCmd struct {
	target
	Host   string `help:"Host header, that of the address if empty."`
	Method string `arg:"" help:"Method, such as GET."`
	Path   string `arg:"" help:"Path."`
	Body   string `arg:"" optional:"" help:"Body."`
}

// Run sends the request and prints the body of the answer. It fails for codes from 300.
func (c *sendCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.To[0]+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return err
	}
	if c.Host != "" {
		req.Host = c.Host
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("status code %d: %s", resp.StatusCode, data)
	}
	fmt.Println(strings.TrimSpace(string(data)))
	return nil
}

// violationsCmd fails if the stand-in workers recorded violations.
type violationsCmd struct {
	Admin string `required:"" help:"Admin address of the stand-in workers."`
}

// Run prints the violations that the workers recorded. It fails if there are any.
func (c *violationsCmd) Run() error {
	t := target{To: []string{c.Admin}, Timeout: time.Second}
	_, data, err := t.send(http.MethodGet, "/violations", nil)
	if err != nil {
		return err
	}
	var v backend.Violations
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	fmt.Printf("violations %+v\n", v)
	if v != (backend.Violations{}) {
		return errors.New("the workers recorded violations")
	}
	return nil
}

// metricCmd prints the zone of an entry host and the sum of a metric over its labels.
type metricCmd struct {
	From string `required:"" help:"Operators' URL of an entry host."`
	Name string `arg:"" help:"Name of the metric."`
}

// Run prints the zone and the sum, or "none 0" if the host has no such metric with labels. Lines of the metric without
// labels are ignored.
func (c *metricCmd) Run() error {
	t := target{To: []string{strings.TrimPrefix(c.From, "http://")}, Timeout: 2 * time.Second}
	_, data, err := t.send(http.MethodGet, "/metrics", nil)
	if err != nil {
		return err
	}
	zone, total := "none", 0.0
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, c.Name+"{")
		if !ok {
			continue
		}
		labels, value, _ := strings.Cut(rest, "} ")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return errors.Wrapf(err, "metric %s", c.Name)
		}
		total += v
		if _, after, ok := strings.Cut(labels, `zone="`); ok {
			zone, _, _ = strings.Cut(after, `"`)
		}
	}
	fmt.Println(zone, total)
	return nil
}
