// Package slopes reads the output of Go benchmarks that were run at several sizes and
// prints how each figure grows with the size.
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

// MinSizes is the number of sizes below which no slope is given.
const MinSizes = 4

// Slope is a straight line through the figures of one benchmark at several sizes.
type Slope struct {
	// Benchmark is the name with "#" in place of the size, such as
	// "BenchmarkBuild/workspaces=#".
	Benchmark string
	// Unit is that of the figure, such as "ns/op".
	Unit string
	// Sizes are the sizes that were measured, growing.
	Sizes []float64
	// Base and PerSize are the line of least squares: Base + PerSize * size.
	Base    float64
	PerSize float64
	// MaxRelativeError is the largest distance of a figure from the line, in parts of the
	// figure. A large one says that the growth is no line.
	MaxRelativeError float64
}

// point is a figure at a size.
type point struct{ size, figure float64 }

// group names the points that make up a slope.
type group struct{ benchmark, unit string }

// Read returns the slopes in the output of "go test -bench", in the order of their
// names. What isn't a benchmark's line is passed over. The error is the reader's.
func Read(r io.Reader) ([]Slope, error) {
	groups := map[group][]point{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		addLine(groups, lines.Text())
	}
	var slopes []Slope
	for g, points := range groups {
		if s, found := fit(g, points); found {
			slopes = append(slopes, s)
		}
	}
	slices.SortFunc(slopes, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Unit, b.Unit))
	})
	return slopes, errors.Trace(lines.Err())
}

// addLine adds the figures of a line such as
// "BenchmarkBuild/workspaces=100-12  10  1300 ns/op  142000 bytes-held".
func addLine(groups map[group][]point, line string) {
	words := strings.Fields(line)
	if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
		return
	}
	for benchmark, size := range sizesOf(words[0]) {
		for figure := range slices.Chunk(words[2:], 2) {
			value, err := strconv.ParseFloat(figure[0], 64)
			if err != nil || len(figure) < 2 {
				continue
			}
			g := group{benchmark, figure[1]}
			groups[g] = append(groups[g], point{size, value})
		}
	}
}

// sizesOf returns each "name=number" part of a benchmark's name, as the number by the
// name in which "#" stands for it.
func sizesOf(name string) map[string]float64 {
	if cut := strings.LastIndex(name, "-"); cut > 0 {
		if _, err := strconv.Atoi(name[cut+1:]); err == nil {
			name = name[:cut]
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
		with := slices.Clone(parts)
		with[i] = label + "=#"
		sizes[strings.Join(with, "/")] = size
	}
	return sizes
}

// fit lays a line through the points. It reports false for too few sizes, and for
// figures that are all zero.
func fit(g group, points []point) (Slope, bool) {
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.size, b.size) })
	s := Slope{Benchmark: g.benchmark, Unit: g.unit}
	var size, figure float64
	for _, p := range points {
		size += p.size / float64(len(points))
		figure += p.figure / float64(len(points))
		s.Sizes = append(s.Sizes, p.size)
	}
	s.Sizes = slices.Compact(s.Sizes)
	if len(s.Sizes) < MinSizes || figure == 0 {
		return Slope{}, false
	}
	var both, squares float64
	for _, p := range points {
		both += (p.size - size) * (p.figure - figure)
		squares += (p.size - size) * (p.size - size)
	}
	s.PerSize = both / squares
	s.Base = figure - s.PerSize*size
	for _, p := range points {
		if p.figure != 0 {
			s.MaxRelativeError = max(s.MaxRelativeError, math.Abs(s.Base+s.PerSize*p.size-p.figure)/p.figure)
		}
	}
	return s, true
}

// Print writes the slopes as a table. The error is the writer's.
func Print(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "benchmark\tunit\tsizes\tbase\tper size\tworst")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%.4g\t%.4g\t%.0f%%\n", s.Benchmark, s.Unit, s.Sizes, s.Base, s.PerSize, 100*s.MaxRelativeError)
	}
	return errors.Trace(table.Flush())
}
