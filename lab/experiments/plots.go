package experiments

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 24 * vg.Millimeter / 2
)

// PlotPlacement writes the downtime and stranded columns of the placement table
// as SVG bar charts.
func PlotPlacement(dir string, results map[string]map[string]PlacementResult) error {
	for name, value := range map[string]func(PlacementResult) float64{
		"downtime": func(r PlacementResult) float64 { return r.Downtime },
		"stranded": func(r PlacementResult) float64 { return r.Stranded },
	} {
		p := plot.New()
		p.Title.Text = map[string]string{
			"downtime": "Group downtime in a week, group-minutes",
			"stranded": "Stranded accelerators in a week, accelerator-hours",
		}[name]
		p.Y.Min = 0
		p.Legend.Top = true
		highest := 0.0
		for i, policy := range policyOrder {
			var values plotter.Values
			for _, u := range users {
				values = append(values, value(results[u.name][policy]))
				highest = max(highest, value(results[u.name][policy]))
			}
			bars, err := plotter.NewBarChart(values, barWidth)
			if err != nil {
				return fmt.Errorf("plot %s: %w", name, err)
			}
			bars.Color = plotutil.Color(i)
			bars.Offset = vg.Length(i-1) * barWidth
			p.Add(bars)
			p.Legend.Add(policy, bars)
		}
		var names []string
		for _, u := range users {
			names = append(names, u.name+"'s weights")
		}
		// Leave room for the legend above the bars.
		p.Y.Max = highest * 1.4
		p.NominalX(names...)
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, "placement-"+name+".svg")); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}
