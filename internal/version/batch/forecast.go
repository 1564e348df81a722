package batch

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// forecastFrom is the part of a job's time, one in so many, that is left when a forecast is first
// made. Before that too many texts may still end.
const forecastDivisor = 2

// forecast returns when the groups that the client waits for are expected to be whole, zero if
// that can't be told. Few of the texts that are still being made late in a job end by
// themselves: they run up to the most events that they may have. So each is taken to do that, at
// the pace of its replica.
func (o *ownedJob) forecastCompletion(now time.Time) time.Time {
	route := o.route()
	desired := int(o.job.DesiredGroups)
	if desired <= 0 || desired > o.groups || route == nil || route.ResultDeadline <= 0 {
		return time.Time{}
	}
	if age := o.jobs.age(now, o.head.AcceptedAtMs); age < route.ResultDeadline/forecastDivisor {
		return time.Time{}
	}
	ends := make([]time.Time, o.groups)
	for i := range o.items {
		group := o.groupOf[i]
		if group < 0 || o.items[i].state >= itemFinished {
			continue
		}
		end, known := o.forecastItem(now, i, route)
		if !known {
			return time.Time{}
		}
		if end.After(ends[group]) {
			ends[group] = end
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[desired-1]
}

// itemEnd returns when an item is expected to have a whole text at the latest.
func (o *ownedJob) forecastItem(now time.Time, index int, route *port.Route) (time.Time, bool) {
	it := &o.items[index]
	maxEvents := o.jobs.options.MostEvents(route, it.header)
	if it.state == itemScoring {
		return now, true
	}
	if it.state != itemRunning || maxEvents <= 0 {
		return time.Time{}, false
	}
	chosen := o.currentEndpoint(it)
	if chosen == nil || chosen.Pace(now) == 0 || it.progressAt.IsZero() {
		return time.Time{}, false
	}
	remaining := max(maxEvents-len(it.events)-len(it.progress), 0)
	return it.progressAt.Add(time.Duration(remaining) * chosen.Pace(now)), true
}
