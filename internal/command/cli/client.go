package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
)

const (
	// dialTimeout limits the time to connect to one host.
	dialTimeout = 3 * time.Second
	// responseTimeout is longer than the deadline of a host for a change, so that the host's own response arrives.
	responseTimeout = 15 * time.Second
	// maxResponseBytes limits how much of a response is read, to 64 MiB.
	maxResponseBytes = 64 << 20
)

// client sends requests to the operators' addresses of entry hosts.
type client struct {
	urls   []string
	http   *http.Client
	errOut io.Writer
}

// newClient returns a client for the given URLs. It fails if there is none or one is not an http or https URL.
func newClient(urls []string, errOut io.Writer) (*client, error) {
	c := &client{errOut: errOut}
	for _, text := range urls {
		u, err := url.Parse(strings.TrimSpace(text))
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, errors.Newf("--operators: %q is not an http or https URL", text)
		}
		c.urls = append(c.urls, strings.TrimRight(u.String(), "/"))
	}
	if len(c.urls) == 0 {
		return nil, errors.New("--operators: no address")
	}
	c.http = &http.Client{
		Timeout: responseTimeout,
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			// With keep-alive, the transport resends a request on its own if an idle connection turns out to be closed.
			DisableKeepAlives: true,
		},
		// Following a redirect would send a change twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// send sends one request and returns the status code and body of the response. The result sent tells whether the host
// may have received the request.
func (c *client) send(
	ctx context.Context, method, rawURL string, body []byte,
) (code int, data []byte, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, rawURL, bytes.NewReader(body))
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "request")
	}
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, connected.Load(), errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, true, errors.Wrapf(err, "read response of %s", rawURL)
}

// reportNextHost prints the error of the host with index i and the URL that is tried next. It prints nothing after the
// last host, whose error the caller returns.
func (c *client) reportNextHost(i int, err error) {
	if i+1 < len(c.urls) {
		_, _ = fmt.Fprintf(c.errOut, "%v; trying %s\n", err, c.urls[i+1])
	}
}

// get reads path from the first host that answers and decodes the response into v. A status other than 200 is an
// answer, so that no further host is tried.
func (c *client) get(ctx context.Context, path string, v any) error {
	var err error
	for i, baseURL := range c.urls {
		var code int
		var data []byte
		if code, data, _, err = c.send(ctx, http.MethodGet, baseURL+path, nil); err != nil {
			if ctx.Err() != nil {
				break
			}
			c.reportNextHost(i, err)
			continue
		}
		if code != http.StatusOK {
			return errorOfResponse(code, data)
		}
		return errors.Wrapf(json.Unmarshal(data, v), "decode response of %s", baseURL)
	}
	return errors.Wrap(err, "no entry host answered")
}

// errorOfResponse returns the error for a response with a status other than 200.
func errorOfResponse(code int, data []byte) error {
	var r operator.Reply
	if json.Unmarshal(data, &r) != nil || r.Outcome == "" {
		return errors.Newf("unexpected response with status %d", code)
	}
	f := &failure{code: ExitRejected, reply: r}
	if r.Outcome == operator.Unknown {
		f.code = ExitUnknown
	}
	return f
}

// post sends a change or cancellation to the first host that can be reached. It returns an error unless the host
// accepted it. It is never sent again once a host may have received it.
func (c *client) post(ctx context.Context, path string, v any) (operator.Reply, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return operator.Reply{}, errors.Wrap(err, "encode change")
	}
	for i, baseURL := range c.urls {
		code, data, sent, sendErr := c.send(ctx, http.MethodPost, baseURL+path, body)
		if sendErr != nil && !sent {
			if err = sendErr; ctx.Err() != nil {
				break
			}
			c.reportNextHost(i, sendErr)
			continue
		}
		var r operator.Reply
		switch {
		case sendErr != nil:
			return unknownEffect(fmt.Sprintf("%s may have received the change: %v", baseURL, sendErr))
		case json.Unmarshal(data, &r) != nil || r.Outcome == "":
			return unknownEffect(fmt.Sprintf("%s sent an unexpected response with status %d", baseURL, code))
		case r.Outcome == operator.Accepted && code == http.StatusOK:
			return r, nil
		case r.Outcome == operator.Rejected && code >= http.StatusBadRequest:
			return r, &failure{code: ExitRejected, reply: r}
		}
		return r, unknownFailure(r)
	}
	return operator.Reply{}, errors.Wrap(err, "nothing was sent: no entry host could be reached")
}

// unknownEffect returns the reply and the failure for a change whose effect is unknown because no valid response came.
func unknownEffect(message string) (operator.Reply, error) {
	r := operator.Reply{Outcome: operator.Unknown, Reason: "no_answer", Message: message}
	return r, unknownFailure(r)
}

// unknownFailure returns the failure for a reply that leaves the effect of a change unknown.
func unknownFailure(r operator.Reply) error {
	r.Outcome = operator.Unknown
	return &failure{code: ExitUnknown, reply: r, advice: unknownAdvice}
}

// unknownAdvice applies to changes and cancellations alike. A repeated change is rejected as stale if the first one
// came into force after the base version was read, and a repeated cancellation has no effect.
const unknownAdvice = `It may be in force already or come into force later; it was not sent again.
Check the current state first: status, class list, zone list, diff or task show. Running the same command again
does no harm: it is accepted, says that nothing is left to do, or is rejected as stale.`
