package compare

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// pairGroup holds the pairs that make up one row of a table.
type pairGroup struct {
	site, day string
	pairs     []Pair
}

// allDays labels the row that covers all days of a site.
const allDays = "all"

// groupPairs groups consecutive pairs by site and day, followed by one group per site with all its days.
func groupPairs(pairs []Pair) []pairGroup {
	var list []pairGroup
	bySite := map[string]*pairGroup{}
	var sites []string
	for _, pair := range pairs {
		site := siteName(pair.Site)
		if n := len(list); n == 0 || list[n-1].site != site || list[n-1].day != pair.Scenario.Day {
			list = append(list, pairGroup{site: site, day: pair.Scenario.Day})
		}
		list[len(list)-1].pairs = append(list[len(list)-1].pairs, pair)
		if bySite[site] == nil {
			bySite[site] = &pairGroup{site: site, day: allDays}
			sites = append(sites, site)
		}
		bySite[site].pairs = append(bySite[site].pairs, pair)
	}
	for _, site := range sites {
		list = append(list, *bySite[site])
	}
	return list
}

// estimate is the mean of paired differences with its standard error.
type estimate struct{ mean, stdErr float64 }

func meanDifference(pairs []Pair, value func(outcome Outcome) float64) estimate {
	differences := make([]float64, len(pairs))
	for i, pair := range pairs {
		differences[i] = value(pair.After) - value(pair.Before)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	if len(pairs) < 2 {
		deviation = math.NaN()
	}
	return estimate{mean, deviation / math.Sqrt(float64(len(pairs)))}
}

func meanValue(pairs []Pair, value func(pair Pair) float64) float64 {
	values := make([]float64, len(pairs))
	for i, pair := range pairs {
		values[i] = value(pair)
	}
	return stat.Mean(values, nil)
}

func worth(outcome Outcome) float64 { return outcome.Worth }
func lag(outcome Outcome) float64   { return outcome.Lag }

// WriteTable writes a row for each site and day with the means of both trees and the mean paired
// difference with its standard error.
func WriteTable(w io.Writer, pairs []Pair) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tday\tpairs\tworth before\tafter\tdifference\tlag before\tafter\twindows before\tafter\tprices before\tafter\trule violations")
	for _, row := range groupPairs(pairs) {
		before := func(value func(outcome Outcome) float64) float64 {
			return meanValue(row.pairs, func(pair Pair) float64 { return value(pair.Before) })
		}
		after := func(value func(outcome Outcome) float64) float64 {
			return meanValue(row.pairs, func(pair Pair) float64 { return value(pair.After) })
		}
		difference := meanDifference(row.pairs, worth)
		windows := func(outcome Outcome) float64 { return outcome.Windows }
		prices := func(outcome Outcome) float64 { return outcome.Prices }
		violations := 0
		for _, pair := range row.pairs {
			violations += pair.Before.Broken + pair.After.Broken
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f ± %.3f\t%.1f s\t%.1f s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n", row.site, row.day, len(row.pairs),
			before(worth), after(worth), difference.mean, difference.stdErr, before(lag), after(lag), before(windows), after(windows),
			before(prices), after(prices), violations)
	}
	return table.Flush()
}
