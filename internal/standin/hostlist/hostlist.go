// Package hostlist is a stand-in for the platform's list of hosts, which shows changes with a lag.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"sassafraswind.example/sassafraswind/internal/port/hostlist"
)

// ErrOutage is returned by Hosts during a simulated outage.
var ErrOutage = errors.New("hostlist: outage")

// List is a list of hosts that shows each change only after a lag. Its methods may be called from several goroutines.
type List struct {
	clock func() time.Time

	mu     sync.Mutex
	lag    time.Duration
	outage bool
	// shown is the list that Hosts returned last, or the initial one.
	shown []hostlist.Host
	// pending holds the changes not shown yet, oldest first.
	pending []pendingChange
}

// pendingChange is the whole list after a change that is not shown yet.
type pendingChange struct {
	changedAt time.Time
	hosts     []hostlist.Host
}

// New returns a list that shows the given hosts immediately. A nil clock means time.Now.
func New(hosts []hostlist.Host, lag time.Duration, clock func() time.Time) *List {
	if clock == nil {
		clock = time.Now
	}
	return &List{clock: clock, lag: lag, shown: slices.Clone(hosts)}
}

// Hosts returns a copy of the list as it was one lag ago. It returns ErrOutage during an outage, and the error of the
// context, wrapped, if that has ended.
func (l *List) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "hostlist: hosts")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, ErrOutage
	}
	now := l.clock()
	for len(l.pending) > 0 && !l.pending[0].changedAt.Add(l.lag).After(now) {
		l.shown, l.pending = l.pending[0].hosts, l.pending[1:]
	}
	return slices.Clone(l.shown), nil
}

// Set replaces the whole list.
func (l *List) Set(hosts []hostlist.Host) {
	l.update(func([]hostlist.Host) []hostlist.Host { return slices.Clone(hosts) })
}

// Put adds a host or replaces the one with the same ID.
func (l *List) Put(h hostlist.Host) {
	l.update(func(hosts []hostlist.Host) []hostlist.Host {
		if i := indexByID(hosts, h.ID); i >= 0 {
			hosts[i] = h
			return hosts
		}
		return append(hosts, h)
	})
}

// Remove removes the host with the ID. Unknown IDs are ignored.
func (l *List) Remove(id string) {
	l.update(func(hosts []hostlist.Host) []hostlist.Host {
		return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
	})
}

// SetLeaving sets whether a host is leaving. Unknown IDs are ignored.
func (l *List) SetLeaving(id string, leaving bool) {
	l.update(func(hosts []hostlist.Host) []hostlist.Host {
		if i := indexByID(hosts, id); i >= 0 {
			hosts[i].Leaving = leaving
		}
		return hosts
	})
}

// SetOutage starts or ends an outage, during which Hosts fails.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// update records the change that f makes to a copy of the latest list, including the changes not shown yet.
func (l *List) update(f func([]hostlist.Host) []hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.shown
	if n := len(l.pending); n > 0 {
		latest = l.pending[n-1].hosts
	}
	l.pending = append(l.pending, pendingChange{changedAt: l.clock(), hosts: f(slices.Clone(latest))})
}

// indexByID returns the index of the host with the ID, or -1.
func indexByID(hosts []hostlist.Host, id string) int {
	return slices.IndexFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
}

// Handler serves the list over HTTP: GET /hosts returns it, or status 304 if its entity tag is that of If-None-Match,
// or status 503 during an outage; POST /hosts adds or replaces one host, PUT /hosts replaces the list,
// DELETE /hosts/{id} removes a host. Changes are answered with status 204, or 400 if the body can't be decoded.
func Handler(l *List) http.Handler {
	r := chi.NewRouter()
	r.Get("/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := l.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		data, err := json.Marshal(hosts)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(data))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_, _ = w.Write(data)
	})
	r.Post("/hosts", decodeBody(l.Put))
	r.Put("/hosts", decodeBody(l.Set))
	r.Delete("/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(chi.URLParam(r, "id"))
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

// decodeBody returns a handler that decodes the JSON body of a request and passes it to f.
func decodeBody[T any](f func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
