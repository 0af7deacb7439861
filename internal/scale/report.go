package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Slope is the straight line fitted to one series of a run, as a function of the number of daemons.
type Slope struct {
	Name      string
	Unit      string
	Intercept float64
	PerDaemon float64
	// Residual is the largest distance of a point from the line, in Unit.
	Residual float64
	// AtTarget is the line's value at Target daemons.
	AtTarget float64
}

// series is one measured quantity, as a function of a point.
type series struct {
	name  string
	unit  string
	value func(*Point) float64
}

const (
	megabyte = 1 << 20
	// Target is the number of daemons that the system is designed for.
	Target = 330
)

func allSeries(points []*Point) []series {
	list := []series{
		{"hollow daemon: processor", "% of a core", func(p *Point) float64 { return 100 * p.DaemonCPU }},
		{"hollow daemon: exchange with control", "KB/s", func(p *Point) float64 { return p.DaemonBytes / 1024 }},
		{"hollow daemon: memory", "MB", func(p *Point) float64 { return p.DaemonMemory / megabyte }},
		{"busiest control process: processor", "% of a core", func(p *Point) float64 { return 100 * p.LeaderCPU }},
		{"control: heartbeats", "1/s", func(p *Point) float64 { return p.BeatsPerSecond }},
		{"change in force everywhere, slowest", "ms", func(p *Point) float64 { return maxOf(p.InForceMillis) }},
	}
	for _, role := range roles(points) {
		list = append(list,
			series{role + ": processor", "% of a core", func(p *Point) float64 { return 100 * p.CPU[role] }},
			series{role + ": memory", "MB", func(p *Point) float64 { return p.Memory[role] / megabyte }})
	}
	return list
}

func roles(points []*Point) []string {
	var names []string
	if len(points) == 0 {
		return nil
	}
	for role := range points[0].CPU {
		names = append(names, role)
	}
	sort.Strings(names)
	return names
}

// Fit returns the slopes of everything that was measured.
func Fit(points []*Point) []Slope {
	var slopes []Slope
	for _, measured := range allSeries(points) {
		slopes = append(slopes, fit(points, measured))
	}
	return slopes
}

// fit fits a line to a series by least squares.
func fit(points []*Point, measured series) Slope {
	var count, sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		x, y := float64(point.Daemons), measured.value(point)
		count++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	slope := Slope{Name: measured.name, Unit: measured.unit}
	if divisor := count*sumXX - sumX*sumX; divisor != 0 {
		slope.PerDaemon = (count*sumXY - sumX*sumY) / divisor
	}
	slope.Intercept = (sumY - slope.PerDaemon*sumX) / max(count, 1)
	for _, point := range points {
		predicted := slope.Intercept + slope.PerDaemon*float64(point.Daemons)
		slope.Residual = max(slope.Residual, math.Abs(measured.value(point)-predicted))
	}
	slope.AtTarget = slope.Intercept + slope.PerDaemon*Target
	return slope
}

// PrintSlopes writes the slopes as a Markdown table.
func PrintSlopes(out io.Writer, slopes []Slope) {
	fmt.Fprintf(out, "| quantity | unit | intercept | per daemon | largest residual | at %d daemons |\n|---|---|---|---|---|---|\n", Target)
	for _, slope := range slopes {
		fmt.Fprintf(out, "| %s | %s | %.3f | %.5f | %.3f | %.2f |\n", slope.Name, slope.Unit, slope.Intercept, slope.PerDaemon, slope.Residual, slope.AtTarget)
	}
}

// Save writes scale.json, with the points and the slopes, and a plot of each series to a folder.
func Save(folder string, points []*Point, slopes []Slope) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(map[string]any{"points": points, "slopes": slopes}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "scale.json"), data, 0o600); err != nil {
		return err
	}
	for index, measured := range allSeries(points) {
		if err := draw(filepath.Join(folder, fmt.Sprintf("%02d.png", index)), points, measured, slopes[index]); err != nil {
			return err
		}
	}
	return nil
}

func draw(path string, points []*Point, measured series, slope Slope) error {
	chart := plot.New()
	chart.Title.Text = measured.name
	chart.X.Label.Text = "daemons"
	chart.Y.Label.Text = measured.unit
	dots := make(plotter.XYs, len(points))
	for i, point := range points {
		dots[i] = plotter.XY{X: float64(point.Daemons), Y: measured.value(point)}
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return slope.Intercept + slope.PerDaemon*x })
	chart.Add(scatter, line)
	chart.X.Min, chart.X.Max = 0, Target
	chart.Y.Min = 0
	return chart.Save(5*vg.Inch, 3*vg.Inch, path)
}
