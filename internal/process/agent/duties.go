package agent

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/settings"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/usage"
)

// dutyShare is the part of the platform's budget of calls that one node takes: while a duty
// changes hands, two nodes may call.
const dutyShare = 0.5

// dutyCaller makes the calls that one node at a time may make, within the platform's budget.
type dutyCaller struct {
	service port.DutyService
	limit   *rate.Limiter
}

func newDutyCaller(options Options) *dutyCaller {
	if options.Duties == nil {
		return nil
	}
	perSecond := dutyShare * options.Settings.Duties.CallsPerSecond
	return &dutyCaller{service: options.Duties, limit: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// dutiesOf returns the duties that the settings name.
func dutiesOf(from *settings.Settings) cluster.Duties {
	duties := cluster.Duties{Fenced: from.Duties.Fenced}
	duties.Scaling = from.Duties.Has(settings.DutyScaling)
	if window := settings.Seconds(from.Duties.UsageWindowS); from.Duties.Has(settings.DutyUsage) && window > 0 {
		duties.Usage = &usage.Windows{Length: window, ReportDelay: settings.Seconds(from.Duties.UsageLateS)}
	}
	return duties
}

// call makes a call once the budget allows it. What can't be sent within the limit is not sent:
// another node may hold the duty by then.
func (d *dutyCaller) call(base context.Context, limit time.Duration, call func(ctx context.Context) port.DutyStatus) port.DutyStatus {
	ctx, cancel := context.WithTimeout(base, limit)
	defer cancel()
	if d.limit.Wait(ctx) != nil {
		return port.DutyRefused
	}
	return call(ctx)
}

func (a *Agent) reportUsage(ctx context.Context, t task.ReportUsage) {
	status := a.duties.call(ctx, t.Limit, func(ctx context.Context) port.DutyStatus { return a.duties.service.ReportUsage(ctx, t.Report) })
	a.do(func(now time.Time) { t.Done(now, status) })
}

func (a *Agent) orderReplicas(ctx context.Context, t task.OrderReplicas) {
	status := a.duties.call(ctx, t.Limit, func(ctx context.Context) port.DutyStatus { return a.duties.service.OrderReplicas(ctx, t.Order) })
	a.do(func(now time.Time) { t.Done(now, status) })
}
