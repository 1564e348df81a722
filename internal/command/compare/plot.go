package compare

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the least width for each of its columns.
const (
	plotHeight  = 12 * vg.Centimeter
	plotMargin  = 4 * vg.Centimeter
	columnWidth = 2 * vg.Centimeter
)

// Plot draws the paired differences of worth, a box for each site and day.
func Plot(file string, pairs []Pair) error {
	drawing := plot.New()
	drawing.Title.Text = "Worth, after less before"
	drawing.Add(plotter.NewGrid())
	var names []string
	for i, row := range groups(pairs) {
		values := make(plotter.Values, len(row.pairs))
		for k, pair := range row.pairs {
			values[k] = pair.After.Worth - pair.Before.Worth
		}
		box, err := plotter.NewBoxPlot(columnWidth/2, float64(i), values)
		if err != nil {
			return err
		}
		drawing.Add(box)
		names = append(names, row.site+"\n"+row.day)
	}
	drawing.NominalX(names...)
	return drawing.Save(plotMargin+widthOf(len(names)), plotHeight, file)
}

// widthOf returns the width of so many columns.
func widthOf(columns int) vg.Length { return columnWidth * vg.Length(columns) }
