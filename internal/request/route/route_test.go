package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestFindLongestPrefix compares Find with a linear search over random routes and paths, and host names with and
// without a port.
func TestFindLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching(`(/[ab]{0,2}){0,3}/?`)
		host := rapid.SampledFrom([]string{"x.example", "y.example"})
		var routes []Route
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			r := Route{Host: host.Draw(t, "host"), Prefix: part.Draw(t, "prefix")}
			r.Queue = r.Host + r.Prefix
			if !seen[r.Queue] {
				seen[r.Queue] = true
				routes = append(routes, r)
			}
		}
		name, path := host.Draw(t, "name"), part.Draw(t, "path")
		var want *Route
		for i, r := range routes {
			if r.Host == name && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = &routes[i]
			}
		}
		port := rapid.SampledFrom([]string{"", ":80"}).Draw(t, "port")
		got, rest, ok := NewTable(routes).Find(name+port, path)
		switch {
		case ok != (want != nil):
			t.Fatalf("Find returned %v, want %v", got, want)
		case ok && (got != *want || got.Prefix+rest != path):
			t.Fatalf("Find returned %v with rest %q, want %v and the path after its prefix", got, rest, *want)
		}
	})
}
