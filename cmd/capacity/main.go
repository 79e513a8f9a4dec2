// Command capacity fits straight lines to measured points and writes the tables of docs/CAPACITY.md.
// scripts/capacity produces the points, one "series x y" a line.
package main

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

var cli struct {
	Page   string `help:"Page in which the tables between markers are replaced." type:"existingfile"`
	Points string `arg:"" help:"File of points." type:"existingfile"`
}

func main() {
	k := kong.Parse(&cli, kong.Name("capacity"),
		kong.Description("Fits measured points and writes the tables of the capacity page."))
	k.FatalIfErrorf(run())
}

// run prints the tables and, if a page is given, puts them into it.
func run() error {
	seriesByName, err := readSeries(cli.Points)
	if err != nil {
		return err
	}
	tables := map[string]string{
		"slopes": slopesTable(seriesByName), "roles": rolesTable(seriesByName), "budgets": budgetsTable(seriesByName),
	}
	for _, name := range []string{"slopes", "roles", "budgets"} {
		fmt.Printf("%s\n", tables[name])
	}
	if cli.Page == "" {
		return nil
	}
	page, err := os.ReadFile(cli.Page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	out, err := replaceTables(string(page), tables)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(cli.Page, []byte(out), 0o644), "write page")
}

// replaceTables puts each table between its markers <!-- table NAME --> and <!-- end NAME -->. It fails if the page
// lacks a marker.
func replaceTables(page string, tables map[string]string) (string, error) {
	for name, table := range tables {
		from, to := "<!-- table "+name+" -->\n", "<!-- end "+name+" -->"
		before, rest, ok := strings.Cut(page, from)
		if !ok {
			return "", errors.Newf("page lacks the marker of table %s", name)
		}
		_, after, ok := strings.Cut(rest, to)
		if !ok {
			return "", errors.Newf("page lacks the end marker of table %s", name)
		}
		page = before + from + table + to + after
	}
	return page, nil
}

// series is a series of measured points with the least-squares line through them.
type series struct {
	xs, ys []float64
	// base is the value of the line at x = 0, slope its increase per x. With a single x, base is the mean and slope
	// is 0.
	base, slope float64
	// slopeError is the standard error of the slope, 0 if it cannot be estimated: with a single x or fewer than three
	// points.
	slopeError float64
}

// readSeries reads the points of a file, groups them by series and fits a line to each.
func readSeries(path string) (map[string]*series, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open points")
	}
	defer func() { _ = f.Close() }()
	out := map[string]*series{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) != 3 {
			return nil, errors.Newf("points: %q is not of the form: series x y", lines.Text())
		}
		x, xerr := strconv.ParseFloat(columns[1], 64)
		y, yerr := strconv.ParseFloat(columns[2], 64)
		if err := errors.CombineErrors(xerr, yerr); err != nil {
			return nil, errors.Wrapf(err, "points: series %s", columns[0])
		}
		if out[columns[0]] == nil {
			out[columns[0]] = &series{}
		}
		out[columns[0]].xs, out[columns[0]].ys = append(out[columns[0]].xs, x), append(out[columns[0]].ys, y)
	}
	for _, s := range out {
		s.fitLine()
	}
	return out, errors.Wrap(lines.Err(), "read points")
}

// fitLine computes base, slope and slopeError from the points.
func (s *series) fitLine() {
	n := float64(len(s.xs))
	var meanX, meanY, sxx, sxy float64
	for i := range s.xs {
		meanX += s.xs[i] / n
		meanY += s.ys[i] / n
	}
	for i := range s.xs {
		sxx += (s.xs[i] - meanX) * (s.xs[i] - meanX)
		sxy += (s.xs[i] - meanX) * (s.ys[i] - meanY)
	}
	s.base = meanY
	if slices.Min(s.xs) == slices.Max(s.xs) {
		return
	}
	s.slope = sxy / sxx
	s.base = meanY - s.slope*meanX
	var squaredResiduals float64
	for i := range s.xs {
		residual := s.ys[i] - s.base - s.slope*s.xs[i]
		squaredResiduals += residual * residual
	}
	if n > 2 {
		s.slopeError = math.Sqrt(squaredResiduals / (n - 2) / sxx)
	}
}

// formatPoints returns the lowest and highest measured value at each x, as they stand in the table of slopes.
func (s *series) formatPoints() string {
	lo, hi := map[float64]float64{}, map[float64]float64{}
	var xs []float64
	for i, x := range s.xs {
		if _, ok := lo[x]; !ok {
			xs = append(xs, x)
			lo[x], hi[x] = s.ys[i], s.ys[i]
		}
		lo[x], hi[x] = min(lo[x], s.ys[i]), max(hi[x], s.ys[i])
	}
	slices.Sort(xs)
	out := make([]string, len(xs))
	for i, x := range xs {
		out[i] = formatNumber(x) + ": " + formatNumber(lo[x])
		if hi[x] != lo[x] {
			out[i] += "–" + formatNumber(hi[x])
		}
	}
	return strings.Join(out, "; ")
}

// formatNumber formats a number with up to three significant digits, and one of 1,000 or more as a whole number with
// commas.
func formatNumber(v float64) string {
	a := math.Abs(v)
	switch {
	case a >= 999.5:
		return groupDigits(strconv.FormatFloat(v, 'f', 0, 64))
	case a >= 99.5 || v == 0:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strings.TrimSuffix(strconv.FormatFloat(v, 'g', 3, 64), ".0")
}

// groupDigits puts commas between groups of three digits.
func groupDigits(s string) string {
	sign := ""
	if strings.HasPrefix(s, "-") {
		sign, s = "-", s[1:]
	}
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return sign + s
}

// slopesTable returns the table of all measured series with their lines.
func slopesTable(seriesByName map[string]*series) string {
	var b strings.Builder
	b.WriteString(
		"| series | measured (x: lowest–highest) | at x = 0 | per x | standard error |\n|---|---|---|---|---|\n")
	names := make([]string, 0, len(seriesByName))
	for name := range seriesByName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := seriesByName[name]
		if s.slope == 0 && s.slopeError == 0 {
			fmt.Fprintf(&b, "| `%s` | %s | mean %s | | |\n", name, s.formatPoints(), formatNumber(s.base))
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", name, s.formatPoints(),
			formatNumber(s.base), formatNumber(s.slope), formatNumber(s.slopeError))
	}
	return b.String()
}
