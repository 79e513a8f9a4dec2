//go:build linux

package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// callerJob is a job that callers have sent.
type callerJob struct {
	body []byte
	// sent counts how often it was sent, and accepted is set once an answer said so.
	sent     int
	accepted bool
	// unanswered is set when a connection to an undisturbed host ended soon after the job was sent, without an answer.
	unanswered bool
}

// startCallers has callers use connections to all hosts until the returned function is called.
func (s *soak) startCallers(seed uint64) func() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var wg sync.WaitGroup
	for i := range connsPerHost * len(s.hosts) {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			for h := s.hosts[i%len(s.hosts)]; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", h.settings.CallersAddress())
				if err != nil {
					// The host is not there at present.
					continue
				}
				s.useConn(ctx, h, conn, rng)
				_ = conn.Close()
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// useConn sends requests of callers on a connection until the host closes it or the context ends.
func (s *soak) useConn(ctx context.Context, h *runningHost, conn net.Conn, rng *rand.Rand) {
	r := bufio.NewReader(conn)
	maxPause := 2 * requestInterval * time.Duration(connsPerHost*len(s.hosts))
	for usable := true; usable && ctx.Err() == nil; {
		// The host may close the connection between two requests.
		_ = conn.SetReadDeadline(time.Now().Add(between(rng, 0, maxPause)))
		if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		req := s.drawRequest(rng)
		if req.body != nil {
			s.platform.recorder.submitted(req.id, Service, req.body)
		} else if req.method == http.MethodDelete {
			s.platform.recorder.cancelSent(req.id)
		}
		a := req.exchange(ctx, conn, r)
		s.platform.ingress.record(req.method, req.id, req.body != nil, a.status, a.body)
		s.check(h, req, a)
		usable = a.status != 0 && !a.closing
	}
}

// callerRequest is a request of a caller. The body is nil unless it is a submission, and the ID is empty if it asks for
// the count of pending work.
type callerRequest struct {
	method, id string
	body       []byte
	deadline   time.Duration
}

// drawRequest returns a request for a new job or for one that was sent before.
func (s *soak) drawRequest(rng *rand.Rand) callerRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, known := rng.IntN(100), len(s.jobs)
	req := callerRequest{method: http.MethodGet, deadline: between(rng, minDeadline, maxDeadline)}
	id := fmt.Sprintf("%016x", rng.IntN(1+known))
	j, ok := s.jobs[id]
	switch {
	case kind < 2:
		id = fmt.Sprintf("%016x", known)
		j = &callerJob{}
		// A job can always be encoded.
		j.body, _ = json.Marshal(drawJob(rng, 3))
		s.jobs[id] = j
		fallthrough
	case kind < 10 && ok && !j.accepted:
		req.method, req.id, req.body = http.MethodPost, id, j.body
		j.sent++
	case kind == 10 && ok && j.accepted:
		req.method, req.id = http.MethodDelete, id
	case kind < 90 && ok:
		req.id = id
	}
	return req
}

// callerAnswer is what a caller sees of the answer to a request.
type callerAnswer struct {
	// sent is when the request was sent as a whole, zero if it wasn't, and ended is when the answer or the connection ended.
	sent, ended time.Time
	// begun is set if a part of the answer has arrived. The status is 0 unless all of it has.
	begun  bool
	status int
	body   []byte
	// closing is set if the host closes the connection after the answer.
	closing bool
	err     error
}

// exchange sends the request on a connection and reads the answer.
func (c callerRequest) exchange(ctx context.Context, conn net.Conn, r *bufio.Reader) (a callerAnswer) {
	defer func() { a.ended = time.Now() }()
	var req *http.Request
	ctx = context.WithoutCancel(ctx)
	req, a.err = http.NewRequestWithContext(ctx, c.method, "http://"+RouteHost+BatchPrefix+c.id, bytes.NewReader(c.body))
	if a.err != nil {
		return a
	}
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	_ = conn.SetDeadline(time.Now().Add(forwardTimeout))
	if a.err = req.Write(conn); a.err != nil {
		return a
	}
	a.sent = time.Now()
	if _, a.err = r.Peek(1); a.err != nil {
		return a
	}
	a.begun = true
	var resp *http.Response
	if resp, a.err = http.ReadResponse(r, req); a.err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if a.body, a.err = io.ReadAll(resp.Body); a.err == nil {
		a.status, a.closing = resp.StatusCode, resp.Close
	}
	return a
}

// check checks that a request was answered as a whole by a host that was not disturbed but by planned changes. Until
// lossSlack after it was sent, a connection may end without an answer if the host has not read the request.
func (s *soak) check(h *runningHost, req callerRequest, a callerAnswer) {
	s.mu.Lock()
	j := s.jobs[req.id]
	s.counts["requests"]++
	if req.body != nil && outcomeOf(a.status) == outcomeAccepted {
		j.accepted = true
	}
	s.mu.Unlock()
	since := a.sent.Add(-contactTime)
	if a.status != 0 || a.sent.IsZero() || !h.signals.noneSince(since) || !h.store.noneSince(since) {
		return
	}
	what := fmt.Sprintf("%s %s to %s, sent at %s, ended %v later: %v", req.method, req.id, h.settings.Name,
		a.sent.Format(time.TimeOnly+".000"), a.ended.Sub(a.sent), a.err)
	switch {
	case a.begun:
		s.fail("cut in the middle of an answer: %s", what)
	case a.ended.Sub(a.sent) > lossSlack:
		s.fail("no answer: %s", what)
	default:
		s.count("connections closed on a request", h)
		s.log.Info(what)
		if req.body != nil {
			s.mu.Lock()
			j.unanswered = true
			s.mu.Unlock()
		}
	}
}

// checkJobs checks that no job has started of which the only answers were refusals, and none whose host has closed the
// connection as if it had not read the job.
func (s *soak) checkJobs() {
	rec := s.platform.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	started := map[string]bool{}
	for name := range rec.tasks {
		if task, ok := parseTask(name); ok {
			started[task.job] = true
		}
	}
	for id, j := range rec.jobs {
		if started[id] && j.refused && !j.accepted && !j.unknown {
			s.fail("job %s was refused and has started", id)
		}
	}
	for id, j := range s.jobs {
		if started[id] && j.unanswered && j.sent == 1 {
			s.fail("job %s has started, and its connection was closed without an answer", id)
		}
	}
}
