package compare

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotHeight  = 12 * vg.Centimeter
	plotMargin  = 4 * vg.Centimeter
	columnWidth = 2 * vg.Centimeter
)

// Plot draws a box plot of the paired score differences for each site and day.
func Plot(file string, pairs []Pair) error {
	drawing := plot.New()
	drawing.Title.Text = "Worth, difference between after and before"
	drawing.Add(plotter.NewGrid())
	var names []string
	for i, row := range groupPairs(pairs) {
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
	return drawing.Save(plotMargin+columnsWidth(len(names)), plotHeight, file)
}

func columnsWidth(columns int) vg.Length { return columnWidth * vg.Length(columns) }
