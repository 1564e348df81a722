package query

import (
	"fmt"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
)

func TestRun(t *testing.T) {
	rows := [][]string{{"b", "z", "ready", "2", "2"}, {"a", "9", "ready", "2", "2"}, {"c", "10", "drained", "1", "1"}}
	cases := []struct {
		query port.Query
		want  string
	}{
		{port.Query{}, "[a b c]"},
		{port.Query{OrderBy: "node", Descending: true}, "[c b a]"},
		{port.Query{OrderBy: "zone", Limit: 2}, "[a c]"},
		{port.Query{Where: []port.Comparison{{Column: "jobs", Operator: ">=", Value: "2"}}}, "[a b]"},
		{port.Query{Where: []port.Comparison{{Column: "node", Operator: "!=", Value: "a"}}}, "[b c]"},
		{port.Query{CountBy: "state"}, "[drained ready]"},
	}
	for _, c := range cases {
		c.query.Subject = "nodes"
		if err := Check(&c.query); err != nil {
			t.Error(err)
		}
		_, out := Run(&c.query, rows)
		var names []string
		for _, row := range out {
			names = append(names, row[0])
		}
		if got := fmt.Sprint(names); got != c.want {
			t.Errorf("%+v: got %s, want %s", c.query, got, c.want)
		}
	}
	for _, invalid := range []port.Query{{Subject: "unknown"}, {Subject: "nodes", OrderBy: "unknown"}, {Subject: "nodes", CountBy: "unknown"}} {
		if Check(&invalid) == nil {
			t.Errorf("%+v: want an error", invalid)
		}
	}
}
