// Command load sends requests and jobs to entry hosts, one at a time or at a steady rate.
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
	Rate    rateCmd    `cmd:"" help:"Send idempotent requests at a steady rate and print answer times and outcomes."`
	Direct  directCmd  `cmd:"" help:"Send calls directly to stand-in workers at a steady rate, as a baseline for rate."`

	Metric     metricCmd     `cmd:"" help:"Print the zone of an entry host and the sum of a metric over its labels."`
	Post       postCmd       `cmd:"" help:"Post JSON to a stand-in, such as its faults."`
	Violations violationsCmd `cmd:"" help:"Fail if stand-in workers saw work beyond their capacity or run twice."`
}

func main() {
	k := kong.Parse(&cli, kong.Name("load"), kong.Description("Sends requests to entry hosts. For tests on loopback."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

type target struct {
	To      []string      `help:"Callers' addresses of entry hosts." default:"127.0.0.1:7200"`
	Timeout time.Duration `help:"Time after which a request is given up." default:"15s"`
}

// send sends one JSON request and returns the status code and body of the reply.
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.To[0]+path, in)
	if err != nil {
		return 0, nil, err
	}
	rep, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = rep.Body.Close() }()
	data, err := io.ReadAll(rep.Body)
	return rep.StatusCode, data, err
}

// print sends one request and prints its reply, with the status code first.
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

type keyCmd struct{}

// Run prints a key.
func (keyCmd) Run() error {
	k, err := uuid.NewV7()
	fmt.Println(k)
	return err
}

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

type showCmd struct {
	target
	ID string `arg:"" help:"Job or task."`
}

// Run prints the job.
func (c *showCmd) Run() error { return c.print(http.MethodGet, "/v1/jobs/"+c.ID, nil) }

type cancelCmd struct {
	target
	ID string `arg:"" help:"Job or task."`
}

// Run cancels the job.
func (c *cancelCmd) Run() error { return c.print(http.MethodDelete, "/v1/jobs/"+c.ID, nil) }

type steady struct {
	PerSecond int           `default:"200" help:"Requests a second."`
	For       time.Duration `default:"10s" help:"Length of the run."`
	Bound     int           `default:"512" help:"Most requests in flight. Further ones are counted as late and left out."`
	Window    time.Duration `default:"0s" help:"Also print each window of this length, by when its requests were due."`
}

// result collects answer times and outcomes.
type result struct {
	mu    sync.Mutex
	times []time.Duration
	ends  map[string]int
}

func newResult() *result { return &result{ends: map[string]int{}} }

func (r *result) add(took time.Duration, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[end]++
	if end == "200" {
		r.times = append(r.times, took)
	}
}

// print prints the outcomes, and the percentiles of the answered requests.
func (r *result) print(title string) {
	slices.Sort(r.times)
	fmt.Printf("%s, outcomes %v", title, r.ends)
	if n := len(r.times); n > 0 {
		at := func(q float64) time.Duration { return r.times[min(n-1, int(q*float64(n)))].Round(time.Microsecond) }
		fmt.Printf(", p50 %s p95 %s p99 %s p99.9 %s max %s", at(0.5), at(0.95), at(0.99), at(0.999), r.times[n-1].Round(time.Microsecond))
	}
	fmt.Println()
}

// run sends at a steady rate, whether or not earlier requests were answered, and prints the result.
func (s steady) run(send func(i int) string) {
	r := newResult()
	total := int(s.For.Seconds() * float64(s.PerSecond))
	var windows []*result
	add := func(due time.Duration, took time.Duration, end string) {
		r.add(took, end)
		if s.Window > 0 {
			windows[due/s.Window].add(took, end)
		}
	}
	for at := time.Duration(0); s.Window > 0 && at < s.For; at += s.Window {
		windows = append(windows, newResult())
	}
	var wg sync.WaitGroup
	var flying atomic.Int64
	start := time.Now()
	for i := range total {
		after := time.Duration(i) * time.Second / time.Duration(s.PerSecond)
		due := start.Add(after)
		time.Sleep(time.Until(due))
		if flying.Add(1) > int64(s.Bound) {
			flying.Add(-1)
			add(after, 0, "late")
			continue
		}
		wg.Go(func() {
			defer flying.Add(-1)
			end := send(i)
			// The time counts from when the request was due, so that a stall is not hidden.
			add(after, time.Since(due), end)
		})
	}
	wg.Wait()
	for i, w := range windows {
		w.print(fmt.Sprintf("from %s", time.Duration(i)*s.Window))
	}
	r.print(fmt.Sprintf("sent %d in %s", total, time.Since(start).Round(time.Millisecond)))
}

// newClient returns an HTTP client with enough pooled connections for a steady run.
func newClient(bound int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bound, MaxIdleConns: 0}}
}

// post sends one request and returns the status code as text, or "error".
func post(client *http.Client, url string, body []byte, timeout time.Duration) (string, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "error", nil
	}
	rep, err := client.Do(r)
	if err != nil {
		return "error", nil
	}
	defer func() { _ = rep.Body.Close() }()
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return "cut", nil
	}
	return fmt.Sprint(rep.StatusCode), data
}

type rateCmd struct {
	target
	steady
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
		end, _ := post(client, "http://"+c.To[i%len(c.To)]+"/v1/requests", body, c.Timeout)
		return end
	})
	return nil
}

type directCmd struct {
	target
	steady
	Class string `default:"direct" help:"Class of the calls."`
	Body  string `default:"{}" help:"JSON body."`
}

// Run takes the leases of the workers and sends the calls to them in turn.
func (c *directCmd) Run() error {
	client, done := fleet.NewClient()
	defer done()
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
		w := i % len(c.To)
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		_, err := client.Call(ctx, c.To[w], fleet.Call{
			Fence: fences[w], Request: uuid.NewString(), Attempt: 1, Class: c.Class, Body: []byte(c.Body),
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

type violationsCmd struct {
	Admin string `required:"" help:"Admin address of the stand-in workers."`
}

// Run reads the workers' records.
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
		return errors.New("the workers saw violations")
	}
	return nil
}

type metricCmd struct {
	From string `required:"" help:"Operators' URL of an entry host."`
	Name string `arg:"" help:"Name of the metric."`
}

// Run reads the metrics of the host.
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
