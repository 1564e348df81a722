// Package query filters, counts, sorts and limits the rows of operator queries. It performs no I/O.
package query

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/doorstep/doorstep/internal/port"
)

// Columns lists the columns of each subject.
var Columns = map[string][]string{
	"experiments": {"experiment", "policy", "service", "state", "trainers", "samples", "staleness", "idle_weight", "share", "prompts", "max_tokens", "scoring"},
	"policies":    {"policy", "experiment", "newest", "state"},
	"versions":    {"policy", "version", "replicas"},
	"replicas":    {"replica", "service", "zone", "address", "slots", "policy", "version", "state"},
	"nodes":       {"node", "zone", "state", "configuration", "jobs", "items", "age_s"},
	"jobs":        {"job", "policy", "owner", "listed", "total", "state", "age_s"},
	"samples":     {"experiment", "trainer", "step", "attempt", "policy", "listed", "samples", "state"},
	"leases":      {"lease", "holder", "ordering"},
	"usage":       {"window", "tenant", "requests", "accepted"},
	"cold":        {"replica", "service", "node", "taken", "left_s"},
	"quarantine":  {"request", "route", "tenant", "crashes", "trials", "state", "held_s", "age_s"},
	"drains":      {"kind", "name"},
	"routes":      {"route", "host", "path", "kind", "services", "timeout", "attempts"},
	"history":     {"revision", "from", "operator", "time", "token", "statement"},
}

// Subjects returns the subjects in alphabetical order.
func Subjects() []string {
	var names []string
	for name := range Columns {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Check validates the subject and the column names of a query.
func Check(q *port.Query) error {
	columns, ok := Columns[q.Subject]
	if !ok {
		return fmt.Errorf("unknown subject %q; valid subjects are %s", q.Subject, strings.Join(Subjects(), ", "))
	}
	named := []string{q.CountBy, q.OrderBy}
	for _, comparison := range q.Where {
		named = append(named, comparison.Column)
	}
	if q.CountBy != "" {
		columns = append(slices.Clone(columns), "count")
	}
	for _, name := range named {
		if name != "" && !slices.Contains(columns, name) {
			return fmt.Errorf("unknown column %q of %s; valid columns are %s", name, q.Subject, strings.Join(columns, ", "))
		}
	}
	return nil
}

// Run applies a query to the rows of its subject.
func Run(q *port.Query, rows [][]string) (columns []string, out [][]string) {
	columns = Columns[q.Subject]
	for _, row := range rows {
		if matches(q, columns, row) {
			out = append(out, row)
		}
	}
	if q.CountBy != "" {
		columns, out = count(q.CountBy, columns, out)
	}
	order(q, columns, out)
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return columns, out
}

func matches(q *port.Query, columns, row []string) bool {
	for _, comparison := range q.Where {
		index := slices.Index(columns, comparison.Column)
		if index < 0 || index >= len(row) || !satisfies(row[index], comparison.Operator, comparison.Value) {
			return false
		}
	}
	return true
}

// Compare compares two cells as numbers if both are numeric and as text otherwise.
func Compare(left, right string) int {
	l, leftError := strconv.ParseFloat(left, 64)
	r, rightError := strconv.ParseFloat(right, 64)
	if leftError == nil && rightError == nil {
		return cmp.Compare(l, r)
	}
	return strings.Compare(left, right)
}

func satisfies(left, operator, right string) bool {
	c := Compare(left, right)
	switch operator {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case ">":
		return c > 0
	case "<=":
		return c <= 0
	case ">=":
		return c >= 0
	}
	return false
}

func count(by string, columns []string, rows [][]string) ([]string, [][]string) {
	index := slices.Index(columns, by)
	counts := map[string]int{}
	var names []string
	for _, row := range rows {
		if counts[row[index]] == 0 {
			names = append(names, row[index])
		}
		counts[row[index]]++
	}
	slices.SortFunc(names, Compare)
	var out [][]string
	for _, name := range names {
		out = append(out, []string{name, strconv.Itoa(counts[name])})
	}
	return []string{by, "count"}, out
}

// order sorts by the requested column, by default the first.
func order(q *port.Query, columns []string, rows [][]string) {
	index := 0
	if q.OrderBy != "" {
		index = max(slices.Index(columns, q.OrderBy), 0)
	}
	slices.SortStableFunc(rows, func(a, b []string) int {
		c := Compare(a[index], b[index])
		if q.Descending {
			return -c
		}
		return c
	})
}
