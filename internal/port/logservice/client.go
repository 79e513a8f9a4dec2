package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/httpcall"
)

const (
	defaultTimeout = 5 * time.Second
	// longPollMargin is the least time that the response to a long poll may take beyond its wait.
	longPollMargin = 2 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 4 * time.Second
	maxConns       = 16
)

// Problem is the body of every error response of the log service.
type Problem struct {
	// Error describes the failure.
	Error string `json:"error"`
	// Rejected is set when the append certainly was not carried out.
	Rejected bool `json:"rejected,omitempty"`
	// First and Next are those of Page. They are set for a read that starts before the oldest retained record.
	First uint64 `json:"first,omitempty"`
	Next  uint64 `json:"next,omitempty"`
}

// Client is the HTTP client of the log service.
type Client struct {
	baseURL   string
	timeout   time.Duration
	transport *http.Transport
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of appends, and of reads in addition to their wait. The default is 5 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client for the log service at base, such as http://10.0.0.5:7000, and its clean-up function.
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

// Append appends one record and returns its offset. It returns ErrRejected, wrapped, if the append certainly did
// not take effect. After any other error it may have taken effect or may still do so.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if data == nil {
		data = []byte{}
	}
	resp, err := c.do(ctx, c.timeout, http.MethodPost, "/streams/"+url.PathEscape(stream), data)
	if err != nil {
		if errors.Is(err, httpcall.ErrNotSent) {
			err = errors.Mark(err, ErrRejected)
		}
		return 0, errors.Wrapf(err, "logservice: append to %s at %s", stream, c.baseURL)
	}
	if resp.Status != http.StatusOK {
		p := decodeProblem(resp)
		if p.Rejected {
			return 0, errors.Wrapf(ErrRejected, "append to %s at %s: status %d: %s", stream, c.baseURL, resp.Status, p.Error)
		}
		return 0, errors.Newf("logservice: append to %s at %s: status %d: %s", stream, c.baseURL, resp.Status, p.Error)
	}
	var a struct {
		Offset *uint64 `json:"offset"`
	}
	if err := resp.Decode(&a); err != nil {
		return 0, errors.Wrapf(err, "logservice: append to %s at %s", stream, c.baseURL)
	}
	if a.Offset == nil {
		return 0, errors.Newf("logservice: append to %s at %s: response without offset", stream, c.baseURL)
	}
	return *a.Offset, nil
}

// Read returns up to limit records from the given offset on. If there are none it waits for one, for at most wait.
// If the offset is no longer retained it returns ErrExpired, wrapped, and a page with First and Next only.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait", wait.String())
	timeout := c.timeout
	if wait > 0 {
		timeout = wait + max(c.timeout, longPollMargin)
	}
	resp, err := c.do(ctx, timeout, http.MethodGet, "/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrapf(err, "logservice: read %s at %s", stream, c.baseURL)
	}
	switch resp.Status {
	case http.StatusOK:
	case http.StatusGone:
		p := decodeProblem(resp)
		return Page{First: p.First, Next: p.Next}, errors.Wrapf(ErrExpired, "read %s from %d at %s", stream, from, c.baseURL)
	default:
		return Page{}, errors.Newf(
			"logservice: read %s at %s: status %d: %s", stream, c.baseURL, resp.Status, decodeProblem(resp).Error,
		)
	}
	var p Page
	if err := resp.Decode(&p); err != nil {
		return Page{}, errors.Wrapf(err, "logservice: read %s at %s", stream, c.baseURL)
	}
	for i, r := range p.Records {
		if r.Offset != from+uint64(i) {
			return Page{}, errors.Newf(
				"logservice: read %s at %s: offset %d instead of %d", stream, c.baseURL, r.Offset, from+uint64(i),
			)
		}
	}
	return p, nil
}

// do sends one request with a timeout. After a timeout it closes the idle connections.
func (c *Client) do(
	ctx context.Context, timeout time.Duration, method, path string, body []byte,
) (httpcall.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpcall.Do(ctx, c.transport, method, c.baseURL+path, body)
	if err != nil && httpcall.IsTimeout(err) {
		// The other pooled connections may have stopped responding as well.
		c.transport.CloseIdleConnections()
	}
	return resp, err
}

// decodeProblem decodes the body of an error response. If that fails, Problem.Error says so.
func decodeProblem(resp httpcall.Response) Problem {
	var p Problem
	if json.Unmarshal(resp.Body, &p) != nil {
		return Problem{Error: "response body is not a problem document"}
	}
	return p
}
