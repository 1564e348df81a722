package compare

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// WriteAblation writes a row for each mechanism and site, and one for all sites, with the means without
// and with the mechanism and the mean paired difference with its standard error.
func WriteAblation(w io.Writer, results []MechanismResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "mechanism\tsite\tpairs\twithout\twith\tdifference\tlag without\twith\trule violations without\twith")
	for _, result := range results {
		for _, row := range groupBySite(result.Pairs) {
			mean := func(value func(pair Pair) float64) float64 { return meanValue(row.pairs, value) }
			difference := meanDifference(row.pairs, worth)
			without, with := 0, 0
			for _, pair := range row.pairs {
				without += pair.Before.Broken
				with += pair.After.Broken
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f ± %.3f\t%.1f s\t%.1f s\t%d\t%d\n", result.Mechanism, row.site, len(row.pairs),
				mean(func(pair Pair) float64 { return pair.Before.Worth }), mean(func(pair Pair) float64 { return pair.After.Worth }),
				difference.mean, difference.stdErr,
				mean(func(pair Pair) float64 { return pair.Before.Lag }), mean(func(pair Pair) float64 { return pair.After.Lag }), without, with)
		}
	}
	return table.Flush()
}

// groupBySite groups the pairs by site, followed by a group of all pairs if there are several sites.
func groupBySite(pairs []Pair) []pairGroup {
	var list []pairGroup
	for _, row := range groupPairs(pairs) {
		if row.day == allDays {
			list = append(list, row)
		}
	}
	if len(list) > 1 {
		list = append(list, pairGroup{site: "all", day: allDays, pairs: pairs})
	}
	return list
}

// PlotAblation plots the mean score difference of each mechanism over all sites with its standard error.
func PlotAblation(file string, results []MechanismResult) error {
	drawing := plot.New()
	drawing.Title.Text = "Worth of each mechanism"
	drawing.Add(plotter.NewGrid())
	points := estimates{}
	var names []string
	for i, result := range results {
		names = append(names, result.Mechanism)
		difference := meanDifference(result.Pairs, worth)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: difference.mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{difference.stdErr, difference.stdErr})
	}
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	means, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return err
	}
	drawing.Add(bars, means)
	drawing.NominalX(names...)
	return drawing.Save(plotMargin+columnsWidth(len(names)), plotHeight, file)
}

// estimates implements the plotter's interfaces for means with standard errors.
type estimates struct {
	plotter.XYs
	plotter.YErrors
}
