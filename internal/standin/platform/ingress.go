package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/request/route"
)

const (
	// probeInterval is the interval of the readiness checks, and the longest time that one takes.
	probeInterval = time.Second
	// maxMisses is the number of readiness checks that a host may miss before it gets no more requests.
	maxMisses = 2
	// forwardTimeout is the longest time that a forwarded request takes.
	forwardTimeout = 10 * time.Second
)

// ingress forwards callers to the entry hosts that are ready, one after the other, and records what they are told. It
// forwards each request by itself, unlike the platform, which forwards connections.
type ingress struct {
	recorder *recorder
	log      logrus.FieldLogger
	client   *http.Client

	mu    sync.Mutex
	table *route.Table
	// services holds the service of each route by the route's host and prefix.
	services map[string]string
	hosts    []*entryHost
	next     int
}

// entryHost is an entry host as the ingress knows it.
type entryHost struct {
	name           string
	callers, ready string
	// misses counts the readiness checks that were missed in a row. The host gets requests while ok is set.
	misses int
	ok     bool
}

// newIngress returns an ingress without hosts and without a manifest.
func newIngress(r *recorder, log logrus.FieldLogger) *ingress {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	return &ingress{recorder: r, log: log, client: &http.Client{Transport: transport, Timeout: forwardTimeout}}
}

// add adds an entry host.
func (g *ingress) add(h *entryHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = append(g.hosts, h)
}

// setManifest replaces the routes and returns the decoded manifest.
func (g *ingress) setManifest(manifest []byte) (*manifestBody, error) {
	var m manifestBody
	if err := json.Unmarshal(manifest, &m); err != nil {
		return nil, errors.Wrap(err, "standin: decode manifest")
	}
	routes := make([]route.Route, 0, len(m.Routes))
	services := map[string]string{}
	for _, r := range m.Routes {
		queue := r.Host + r.PathPrefix
		routes = append(routes, route.Route{Host: r.Host, Prefix: r.PathPrefix, Queue: queue})
		services[queue] = r.Service
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table, g.services = route.NewTable(routes), services
	return &m, nil
}

// probe checks which hosts are ready.
func (g *ingress) probe(ctx context.Context) {
	g.mu.Lock()
	hosts := append([]*entryHost{}, g.hosts...)
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			ok := g.isReady(ctx, h.ready)
			g.mu.Lock()
			defer g.mu.Unlock()
			if ok {
				h.misses, h.ok = 0, true
			} else if h.misses++; h.misses >= maxMisses {
				h.ok = false
			}
		})
	}
	wg.Wait()
}

// isReady asks a host whether it is ready.
func (g *ingress) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		g.log.WithError(err).Error("standin: build readiness check")
		return false
	}
	resp, err := g.client.Do(req)
	if err != nil {
		// A host that is not running is not ready.
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// pick returns the next host that is ready, nil if there is none.
func (g *ingress) pick() *entryHost {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.hosts {
		h := g.hosts[g.next%len(g.hosts)]
		g.next++
		if h.ok {
			return h
		}
	}
	return nil
}

// readyHosts returns how many hosts get requests.
func (g *ingress) readyHosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, h := range g.hosts {
		if h.ok {
			n++
		}
	}
	return n
}

// find returns the queue of a request and its service, and whether there is one.
func (g *ingress) find(r *http.Request) (queue, service string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rt, _, ok := g.table.Find(r.Host, r.URL.Path)
	return rt.Queue, g.services[rt.Queue], ok
}

// handler serves the callers.
func (g *ingress) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		// Gangs run under rules of their own, which the stand-in's workers don't have.
		if r.Method == http.MethodPost && hasGang(body) {
			w.WriteHeader(http.StatusNotImplemented)
			return
		}
		h := g.pick()
		if h == nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		id := path.Base(r.URL.Path)
		if strings.HasSuffix(r.URL.Path, "/") {
			id = ""
		}
		queue, service, ok := g.find(r)
		c := newKeyedCall(queue, r)
		mayAct := g.recorder.mayAct(id, c)
		// A submission with a key that is unknown so far is recorded too: a later manifest may contain it.
		recorded := ok && r.Method == http.MethodPost && !g.recorder.isOthersJob(id, c) && g.recorder.submitted(id, service, body)
		if recorded {
			g.recorder.keySent(id, c)
		}
		if r.Method == http.MethodDelete && mayAct {
			g.recorder.cancelSent(id)
		}
		status, answer := g.forward(r, h, body)
		if mayAct || recorded {
			g.record(r.Method, id, recorded, status, answer)
		}
		g.recorder.checkAnswer(id, c, status, time.Now())
		if status == 0 {
			status = http.StatusBadGateway
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(answer)
	})
}

// hasGang reports whether a submission has a step that is a gang.
func hasGang(data []byte) bool {
	var body submissionBody
	// Entry hosts refuse what can't be decoded.
	_ = json.Unmarshal(data, &body)
	for _, s := range body.Steps {
		if s.Gang {
			return true
		}
	}
	return false
}

// record records the answer to a request, whose status is 0 if there was none.
func (g *ingress) record(method, id string, submitted bool, status int, answer []byte) {
	now := time.Now()
	switch {
	case submitted:
		g.recorder.answered(id, status, now)
	case method == http.MethodDelete && (outcomeOf(status) == outcomeAccepted || status == http.StatusGone):
		g.recorder.cancelled(id, now)
	case method == http.MethodGet && id != "" && status == http.StatusOK:
		var shown struct{ State string }
		if err := json.Unmarshal(answer, &shown); err != nil {
			g.log.WithError(err).WithField("job", id).Error("standin: decode state of job")
			return
		}
		g.recorder.shown(id, shown.State, now)
	case method == http.MethodGet && id != "" && status == http.StatusGone:
		g.recorder.notFound(id, now)
	}
}

// forward sends a request to a host and returns the status and the body of the answer, 0 if there is none. The request
// goes on if its caller disconnects.
func (g *ingress) forward(r *http.Request, h *entryHost, body []byte) (int, []byte) {
	log := g.log.WithFields(logrus.Fields{"host": h.name, "method": r.Method, "path": r.URL.Path})
	ctx := context.WithoutCancel(r.Context())
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.callers+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		log.WithError(err).Error("standin: build request")
		return 0, nil
	}
	req.Host = r.Host
	if deadline := r.Header.Values("Deadline-Ms"); len(deadline) > 0 {
		req.Header["Deadline-Ms"] = deadline
	}
	if authorization := r.Header.Values("Authorization"); len(authorization) > 0 {
		req.Header["Authorization"] = authorization
	}
	resp, err := g.client.Do(req)
	if err != nil {
		log.WithError(err).Warn("standin: no answer from host")
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		log.WithError(err).Warn("standin: incomplete answer from host")
		return 0, nil
	}
	return resp.StatusCode, answer
}
