package operator

import (
	"strings"
	"testing"
)

// savedLogs contains lines out of order, with collectors' prefixes, and one line that is not JSON.
const savedLogs = `
  1.200 node-b {"@level":"warn","@message":"request not served","@module":"doorstepd.node-b","event":611,"clock_ms":1300,"request":"q1","status":502,"reason":"no attempt left"}
  1.100 node-b {"@level":"info","@message":"attempt failed","@module":"doorstepd.node-b","event":612,"clock_ms":1250,"request":"q1","replica":"r7","status":0,"outcome":3,"error":"connection reset"}
not a line of JSON {
{"@message":"routes applied","@module":"doorstepd.node-b","event":310,"clock_ms":900,"version":12}
{"@message":"replica leaving","@module":"doorstepd.node-b","event":700,"clock_ms":1000,"replica":"r9"}
{"@message":"replica leaving","@module":"doorstepd.node-c","event":700,"clock_ms":1000,"replica":"r8"}
{"@message":"record store lost","@module":"doorstepd.node-c","event":801,"clock_ms":4000,"table":"batch-heads"}
{"@message":"batch job refused","@module":"doorstepd.node-c","event":901,"clock_ms":5000,"job":"j1","outcome":1}
{"@message":"item terminated","@module":"doorstepd.node-c","event":911,"clock_ms":9000,"job":"j2","item":"i1","reason":"failed at every attempt","failures":3}
{"@message":"item completed","@module":"doorstepd.node-c","event":915,"clock_ms":9500,"job":"j2","item":"i2","replica":"r1","since_ms":7000,"runs":3,"interruptions":1,"moves":1,"pace_us":50000}
{"@level":"warn","@message":"items overdue","@module":"doorstepd.node-c","event":921,"clock_ms":9600,"job":"j3","reason":"isolated","count":2,"waited_ms":3100,"item_ids":"i3 i4"}
`

func TestExplain(t *testing.T) {
	lines, err := readLog(strings.NewReader(savedLogs))
	if err != nil || len(lines) != 10 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	for _, c := range []struct {
		id   string
		want []string
		not  string
	}{
		{"q1", []string{"node-b answered 502 itself", "connection reset", "configuration 12", "r9 was leaving"}, "r8"},
		{"j1", []string{"not accepted", "node-c refused it", "record store had not answered"}, "r9"},
		{"j2", []string{"not accepted"}, ""},
		{"i1", []string{"given up: failed at every attempt", "3 failed runs"}, ""},
		{"i2", []string{"completed at replica r1", "7000 ms", "1 moves"}, ""},
		{"i4", []string{"not completed", "up to 3100 ms: isolated"}, ""},
	} {
		cause := describeCause(buildTimeline(lines, c.id), c.id)
		for _, part := range c.want {
			if !strings.Contains(cause, part) {
				t.Errorf("%s: %q lacks %q", c.id, cause, part)
			}
		}
		if c.not != "" && strings.Contains(cause, c.not) {
			t.Errorf("%s: %q mentions the unrelated %q", c.id, cause, c.not)
		}
	}
	if got := buildTimeline(lines, "unknown"); len(got) != 0 {
		t.Errorf("%d lines for an unknown ID, want none", len(got))
	}
}
