package configuration

import (
	"fmt"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Diff returns the changes that a command would make.
func Diff(before, after *doorstepv1.Configuration) port.OperatorReply {
	reply := port.OperatorReply{
		Status:   port.Answered,
		Reason:   fmt.Sprintf("would make revision %d; nothing was changed", after.Revision),
		Revision: before.Revision,
		Columns:  []string{"subject", "before", "after"},
	}
	rows := func(c *doorstepv1.Configuration) ([]string, map[string]string) {
		var names []string
		contents := map[string]string{}
		add := func(name, content string) {
			names = append(names, name)
			contents[name] = content
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
		return names, contents
	}
	beforeNames, beforeContents := rows(before)
	afterNames, afterContents := rows(after)
	for _, name := range append(beforeNames, afterNames...) {
		if beforeContents[name] != afterContents[name] {
			reply.Rows = append(reply.Rows, []string{name, beforeContents[name], afterContents[name]})
		}
		delete(afterContents, name)
		delete(beforeContents, name)
	}
	return reply
}
