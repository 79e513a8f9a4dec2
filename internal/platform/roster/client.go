package roster

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/platform/httpcall"
)

const (
	defaultTimeout = 3 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 4 * time.Second
	maxConns       = 4
)

// Client is the HTTP client of the host list.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout sets the deadline of a request. The default is 3 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client for the host list at base, such as http://10.0.0.5:7001, and its clean-up function.
func NewClient(base string, opts ...Option) (*Client, func()) {
	c := &Client{
		base:      strings.TrimSuffix(base, "/"),
		timeout:   defaultTimeout,
		transport: httpcall.NewTransport(maxConns, dialTimeout, idleTimeout),
	}
	for _, o := range opts {
		o(c)
	}
	return c, c.transport.CloseIdleConnections
}

// Hosts returns the current list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := httpcall.Do(ctx, c.transport, http.MethodGet, c.base+"/hosts", nil)
	if err != nil {
		if httpcall.IsTimeout(err) {
			c.transport.CloseIdleConnections()
		}
		return nil, errors.Wrapf(err, "roster: get hosts from %s", c.base)
	}
	if reply.Status != http.StatusOK {
		return nil, errors.Newf("roster: get hosts from %s: status %d", c.base, reply.Status)
	}
	var hosts []Host
	if err := reply.Decode(&hosts); err != nil {
		return nil, errors.Wrapf(err, "roster: get hosts from %s", c.base)
	}
	return hosts, nil
}
