// Package slopes fits lines through the results of Go benchmarks that were run at several
// sizes, and prints how each value grows with the size.
package slopes

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// MinSizes is the minimum number of different sizes for a fit.
const MinSizes = 4

// Slope is a straight line fitted through the values of one benchmark at several sizes.
type Slope struct {
	// Benchmark is the benchmark's name with "#" in place of the size, such as
	// "BenchmarkBuild/workspaces=#".
	Benchmark string
	// Unit is the unit of the values, such as "ns/op".
	Unit string
	// Sizes are the measured sizes in ascending order.
	Sizes []float64
	// Base and PerSize are the intercept and the slope of the least-squares line
	// Base + PerSize * size.
	Base    float64
	PerSize float64
	// MaxRelativeError is the largest distance of a value from the line, as a fraction of
	// the value. A large one means that the growth isn't linear.
	MaxRelativeError float64
}

// point is a measured value at a size.
type point struct{ size, value float64 }

// series identifies the points of one fit.
type series struct{ benchmark, unit string }

// Read fits the results in the output of "go test -bench" and returns the slopes sorted
// by benchmark and unit. Other lines are ignored. The error is that of
// reading r.
func Read(r io.Reader) ([]Slope, error) {
	groups := map[series][]point{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		addLine(groups, lines.Text())
	}
	var slopes []Slope
	for key, points := range groups {
		if s, found := fit(key, points); found {
			slopes = append(slopes, s)
		}
	}
	slices.SortFunc(slopes, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Unit, b.Unit))
	})
	return slopes, errors.Trace(lines.Err())
}

// addLine adds the values of a line such as
// "BenchmarkBuild/workspaces=100-12  10  1300 ns/op  142000 bytes-held".
func addLine(groups map[series][]point, line string) {
	words := strings.Fields(line)
	if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
		return
	}
	for benchmark, size := range parseSizes(words[0]) {
		for pair := range slices.Chunk(words[2:], 2) {
			value, err := strconv.ParseFloat(pair[0], 64)
			if err != nil || len(pair) < 2 {
				continue
			}
			g := series{benchmark, pair[1]}
			groups[g] = append(groups[g], point{size, value})
		}
	}
}

// parseSizes returns the number of each "name=number" part of a benchmark's name. The key
// is the benchmark's name with "#" in place of that number.
func parseSizes(name string) map[string]float64 {
	if dash := strings.LastIndex(name, "-"); dash > 0 {
		if _, err := strconv.Atoi(name[dash+1:]); err == nil {
			name = name[:dash]
		}
	}
	sizes := map[string]float64{}
	parts := strings.Split(name, "/")
	for i, part := range parts {
		label, number, found := strings.Cut(part, "=")
		size, err := strconv.ParseFloat(number, 64)
		if !found || err != nil {
			continue
		}
		replaced := slices.Clone(parts)
		replaced[i] = label + "=#"
		sizes[strings.Join(replaced, "/")] = size
	}
	return sizes
}

// fit fits a line through the points. It reports false if there are fewer than MinSizes
// sizes or if the mean of the values is zero.
func fit(g series, points []point) (Slope, bool) {
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.size, b.size) })
	s := Slope{Benchmark: g.benchmark, Unit: g.unit}
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.size / float64(len(points))
		meanValue += p.value / float64(len(points))
		s.Sizes = append(s.Sizes, p.size)
	}
	s.Sizes = slices.Compact(s.Sizes)
	if len(s.Sizes) < MinSizes || meanValue == 0 {
		return Slope{}, false
	}
	var sumXY, sumXX float64
	for _, p := range points {
		sumXY += (p.size - meanSize) * (p.value - meanValue)
		sumXX += (p.size - meanSize) * (p.size - meanSize)
	}
	s.PerSize = sumXY / sumXX
	s.Base = meanValue - s.PerSize*meanSize
	for _, p := range points {
		if p.value != 0 {
			s.MaxRelativeError = max(s.MaxRelativeError, math.Abs(s.Base+s.PerSize*p.size-p.value)/p.value)
		}
	}
	return s, true
}

// Print writes the slopes as a table. It returns an error only if w does.
func Print(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "benchmark\tunit\tsizes\tbase\tper size\tworst")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%.4g\t%.4g\t%.0f%%\n", s.Benchmark, s.Unit, s.Sizes, s.Base, s.PerSize, 100*s.MaxRelativeError)
	}
	return errors.Trace(table.Flush())
}
