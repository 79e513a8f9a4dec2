package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a wrong slope or standard error, which every computed figure of the page would inherit.
func TestFit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "points")
	// The residuals 1, -2, 1 of the line 2 + 3x leave it unchanged; the standard error is sqrt(6/1/2).
	if err := os.WriteFile(path, []byte("a 0 3\na 1 3\na 2 9\nb 5 1.1\nb 5 1.2\nb 5 1.3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	seriesByName, err := readSeries(path)
	if err != nil {
		t.Fatal(err)
	}
	a, b := seriesByName["a"], seriesByName["b"]
	for _, c := range [][2]float64{{a.base, 2}, {a.slope, 3}, {a.slopeError, math.Sqrt(3)},
		{b.base, 1.2}, {b.slope, 0}, {b.slopeError, 0}} {
		if math.Abs(c[0]-c[1]) > 1e-9 {
			t.Errorf("fitted base, slope or slope error is %v, want %v", c[0], c[1])
		}
	}
	if got := b.formatPoints(); got != "5: 1.1–1.3" {
		t.Errorf("formatPoints of series b returned %q, want its x with the lowest and highest y", got)
	}
}

// Guards against a replacement that loses text around the tables, and a missing marker that is not reported.
func TestReplace(t *testing.T) {
	page := "x\n<!-- table t -->\nold\n<!-- end t -->\ny\n"
	got, err := replaceTables(page, map[string]string{"t": "new\n"})
	if want := strings.Replace(page, "old", "new", 1); err != nil || got != want {
		t.Errorf("replaceTables returned %q and error %v, want the page with only the table replaced", got, err)
	}
	if _, err := replaceTables("x", map[string]string{"t": ""}); err == nil {
		t.Error("replaceTables accepted a page without the marker")
	}
}

// Guards against a row that names a series that scripts/capacity does not measure or a count that deployments lack.
func TestRowsNameKnownCounts(t *testing.T) {
	script, err := os.ReadFile("../../scripts/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		for _, term := range r.terms {
			for _, count := range strings.Fields(term.counts) {
				if _, ok := deployments[0].counts[count]; !ok {
					t.Errorf("row %s: deployments lack the count %s", r.load, count)
				}
			}
			name, _, _ := strings.Cut(term.series, ".")
			if name != "" && !strings.Contains(string(script), name) {
				t.Errorf("row %s: scripts/capacity does not measure series %s", r.load, term.series)
			}
		}
	}
}
