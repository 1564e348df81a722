package compare

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// group is the pairs of one row.
type group struct {
	site, day string
	pairs     []Pair
}

// allDays names the row of a site as a whole.
const allDays = "all"

// groups returns the pairs by site and day, with a row for each site as a whole behind its
// days.
func groups(pairs []Pair) []group {
	var list []group
	whole := map[string]*group{}
	var sites []string
	for _, pair := range pairs {
		site := siteName(pair.Site)
		if n := len(list); n == 0 || list[n-1].site != site || list[n-1].day != pair.Day.Day {
			list = append(list, group{site: site, day: pair.Day.Day})
		}
		list[len(list)-1].pairs = append(list[len(list)-1].pairs, pair)
		if whole[site] == nil {
			whole[site] = &group{site: site, day: allDays}
			sites = append(sites, site)
		}
		whole[site].pairs = append(whole[site].pairs, pair)
	}
	for _, site := range sites {
		list = append(list, *whole[site])
	}
	return list
}

// estimate is the mean of paired differences and its standard error.
type estimate struct{ mean, err float64 }

func differenceOf(pairs []Pair, value func(outcome Outcome) float64) estimate {
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

func meanOf(pairs []Pair, value func(pair Pair) float64) float64 {
	values := make([]float64, len(pairs))
	for i, pair := range pairs {
		values[i] = value(pair)
	}
	return stat.Mean(values, nil)
}

func worth(outcome Outcome) float64 { return outcome.Worth }
func lag(outcome Outcome) float64   { return outcome.Lag }

// WriteTable writes a row for each site and day: means of both trees, and the mean paired
// difference with its standard error.
func WriteTable(w io.Writer, pairs []Pair) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tday\tpairs\tworth before\tafter\tdifference\tlag before\tafter\twindows before\tafter\tprices before\tafter\trules broken")
	for _, row := range groups(pairs) {
		before := func(value func(outcome Outcome) float64) float64 {
			return meanOf(row.pairs, func(pair Pair) float64 { return value(pair.Before) })
		}
		after := func(value func(outcome Outcome) float64) float64 {
			return meanOf(row.pairs, func(pair Pair) float64 { return value(pair.After) })
		}
		difference := differenceOf(row.pairs, worth)
		windows := func(outcome Outcome) float64 { return outcome.Windows }
		prices := func(outcome Outcome) float64 { return outcome.Prices }
		broken := 0
		for _, pair := range row.pairs {
			broken += pair.Before.Broken + pair.After.Broken
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f ± %.3f\t%.1f s\t%.1f s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n", row.site, row.day, len(row.pairs),
			before(worth), after(worth), difference.mean, difference.err, before(lag), after(lag), before(windows), after(windows),
			before(prices), after(prices), broken)
	}
	return table.Flush()
}
