package play

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes a plot of the cores in pools and the cores in use over time, two
// lines for each result. The extension of path, .svg or .png, sets the format.
func Plot(path string, results []Result) error {
	pt := plot.New()
	pt.Title.Text = "machines in pools and tasks at work"
	pt.X.Label.Text, pt.Y.Label.Text = "seconds", "cores"
	pt.Legend.Top = true
	for ix, rs := range results {
		pooled, busy := make(plotter.XYs, len(rs.Samples)), make(plotter.XYs, len(rs.Samples))
		for at, sm := range rs.Samples {
			pooled[at] = plotter.XY{X: sm.At.Seconds(), Y: sm.Pooled}
			busy[at] = plotter.XY{X: sm.At.Seconds(), Y: sm.Busy}
		}
		for _, series := range []struct {
			name   string
			points plotter.XYs
			dashes []vg.Length
		}{{"pooled", pooled, plotutil.Dashes(1)}, {"at work", busy, nil}} {
			line, err := plotter.NewLine(series.points)
			if err != nil {
				return &Error{Op: "plot", Kind: KindPlot, Err: err}
			}
			line.Color, line.Dashes = plotutil.Color(ix), series.dashes
			pt.Add(line)
			pt.Legend.Add(fmt.Sprintf("%s %s, seed %d: %s", rs.Load, rs.Policy, rs.Seed, series.name), line)
		}
	}
	if err := pt.Save(plotWidth, plotHeight, path); err != nil {
		return &Error{Op: "plot " + path, Kind: KindPlot, Err: err}
	}
	return nil
}
