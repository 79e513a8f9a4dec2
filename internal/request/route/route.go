// Package route maps the host name and path of a request to a queue.
package route

import (
	"cmp"
	"slices"
	"strings"
)

// Route maps the paths with a prefix under a host name to a queue.
type Route struct {
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Queue  string `msgpack:"q"`
	// Anonymous is set if calls need no key although the manifest has teams.
	Anonymous bool `msgpack:"a,omitempty"`
}

// Table looks up routes. It is immutable.
type Table struct {
	// byHost lists the routes of each host name, the longest prefix first.
	byHost map[string][]Route
}

// NewTable returns a table of the routes.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: map[string][]Route{}}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route of the host name with the longest prefix that the path has, and the rest of the path after
// that prefix. A port after the host name is ignored. It returns false if no route matches.
func (t *Table) Find(host, path string) (Route, string, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}
