package batch

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// forecastDivisor is the inverse of the fraction of the result deadline that must have passed
// before a forecast is made. Earlier, too many running texts may still end on their own.
const forecastDivisor = 2

// forecastCompletion returns when the number of groups requested by the client is expected to
// be complete, or zero if unknown. It assumes that every running text reaches its maximum
// length at the current pace of its replica, as few texts end earlier late in a job.
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

// forecastItem returns the latest time at which an item's text is expected to be complete.
func (o *ownedJob) forecastItem(now time.Time, index int, route *port.Route) (time.Time, bool) {
	it := &o.items[index]
	maxEvents := o.jobs.options.MaxEvents(route, it.header)
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
