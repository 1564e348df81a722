package compare

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// WriteAblation writes a row for each mechanism and site, and one for all sites: the means
// without and with the mechanism, and what it is worth with its standard error.
func WriteAblation(w io.Writer, worths []Worth) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "mechanism\tsite\tpairs\twithout\twith\tworth\tlag without\twith\trules broken without\twith")
	for _, one := range worths {
		for _, row := range bySite(one.Pairs) {
			mean := func(value func(pair Pair) float64) float64 { return meanOf(row.pairs, value) }
			difference := differenceOf(row.pairs, worth)
			without, with := 0, 0
			for _, pair := range row.pairs {
				without += pair.Before.Broken
				with += pair.After.Broken
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f ± %.3f\t%.1f s\t%.1f s\t%d\t%d\n", one.Mechanism, row.site, len(row.pairs),
				mean(func(pair Pair) float64 { return pair.Before.Worth }), mean(func(pair Pair) float64 { return pair.After.Worth }),
				difference.mean, difference.err,
				mean(func(pair Pair) float64 { return pair.Before.Lag }), mean(func(pair Pair) float64 { return pair.After.Lag }), without, with)
		}
	}
	return table.Flush()
}

// bySite returns the pairs of each site, and of all sites if there are several.
func bySite(pairs []Pair) []group {
	var list []group
	for _, row := range groups(pairs) {
		if row.day == allDays {
			list = append(list, row)
		}
	}
	if len(list) > 1 {
		list = append(list, group{site: "all", day: allDays, pairs: pairs})
	}
	return list
}

// PlotAblation draws what each mechanism is worth over all sites, with its standard error.
func PlotAblation(file string, worths []Worth) error {
	drawing := plot.New()
	drawing.Title.Text = "Worth of each mechanism"
	drawing.Add(plotter.NewGrid())
	points := estimates{}
	var names []string
	for i, one := range worths {
		names = append(names, one.Mechanism)
		found := differenceOf(one.Pairs, worth)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: found.mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{found.err, found.err})
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
	return drawing.Save(plotMargin+widthOf(len(names)), plotHeight, file)
}

// estimates are means with their standard errors, as the plotter takes them.
type estimates struct {
	plotter.XYs
	plotter.YErrors
}
