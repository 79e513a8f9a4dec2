package hostlist

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/httpcall"
)

const (
	defaultTimeout = 3 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 4 * time.Second
	maxConns       = 4
)

// Client is the HTTP client of the host list. It is safe for concurrent use.
type Client struct {
	baseURL   string
	timeout   time.Duration
	transport *http.Transport

	mu sync.Mutex
	// lastTagged is the last list that came with an entity tag.
	lastTagged taggedList
}

// taggedList is a list and its entity tag.
type taggedList struct {
	tag   string
	hosts []Host
}

// conditionalTransport makes a request conditional on the list having another entity tag than the given one, and keeps
// the tag of the response.
type conditionalTransport struct {
	http.RoundTripper
	tag, responseTag string
}

// RoundTrip implements http.RoundTripper.
func (c *conditionalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.tag != "" {
		r = r.Clone(r.Context())
		r.Header.Set("If-None-Match", c.tag)
	}
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil {
		c.responseTag = resp.Header.Get("ETag")
	}
	return resp, err
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a request. The default is 3 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client for the host list at base, such as http://10.0.0.5:7001, and its clean-up function.
func NewClient(base string, opts ...Option) (*Client, func()) {
	c := &Client{
		baseURL:   strings.TrimSuffix(base, "/"),
		timeout:   defaultTimeout,
		transport: httpcall.NewTransport(maxConns, dialTimeout, idleTimeout),
	}
	for _, o := range opts {
		o(c)
	}
	return c, c.transport.CloseIdleConnections
}

// Hosts returns the current list. The list is read every second and seldom changes, so an unchanged list is not sent
// again if the server gives it an entity tag: with 940 hosts it has 118 kB.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	last := c.lastTagged
	c.mu.Unlock()
	transport := &conditionalTransport{RoundTripper: c.transport, tag: last.tag}
	resp, err := httpcall.Do(ctx, transport, http.MethodGet, c.baseURL+"/hosts", nil)
	if err != nil {
		if httpcall.IsTimeout(err) {
			c.transport.CloseIdleConnections()
		}
		return nil, errors.Wrapf(err, "hostlist: get hosts from %s", c.baseURL)
	}
	if resp.Status == http.StatusNotModified && last.tag != "" {
		return slices.Clone(last.hosts), nil
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Newf("hostlist: get hosts from %s: status %d", c.baseURL, resp.Status)
	}
	var hosts []Host
	if err := resp.Decode(&hosts); err != nil {
		return nil, errors.Wrapf(err, "hostlist: get hosts from %s", c.baseURL)
	}
	if transport.responseTag != "" {
		c.mu.Lock()
		c.lastTagged = taggedList{tag: transport.responseTag, hosts: slices.Clone(hosts)}
		c.mu.Unlock()
	}
	return hosts, nil
}
