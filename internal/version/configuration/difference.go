package configuration

import (
	"fmt"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Difference says what a command would change.
func Difference(before, after *doorstepv1.Configuration) port.OperatorReply {
	reply := port.OperatorReply{
		Status:   port.Answered,
		Reason:   fmt.Sprintf("would make revision %d; nothing was changed", after.Revision),
		Revision: before.Revision,
		Columns:  []string{"subject", "before", "after"},
	}
	rows := func(c *doorstepv1.Configuration) ([]string, map[string]string) {
		var names []string
		texts := map[string]string{}
		add := func(name, text string) {
			names = append(names, name)
			texts[name] = text
		}
		for _, experiment := range c.Experiments {
			add("experiment "+experiment.Name, experiment.String())
		}
		for _, drain := range c.Drains {
			add("drain "+drain.Name, drain.String())
		}
		for _, lift := range c.Lifts {
			add("lift "+lift.Request, lift.String())
		}
		return names, texts
	}
	beforeNames, beforeTexts := rows(before)
	afterNames, afterTexts := rows(after)
	for _, name := range append(beforeNames, afterNames...) {
		if beforeTexts[name] != afterTexts[name] {
			reply.Rows = append(reply.Rows, []string{name, beforeTexts[name], afterTexts[name]})
		}
		delete(afterTexts, name)
		delete(beforeTexts, name)
	}
	return reply
}
