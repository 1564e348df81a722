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

// dutyRateShare is the fraction of the platform's call rate that one node uses. Two nodes may
// call at once while a duty changes hands.
const dutyRateShare = 0.5

// dutyCaller makes duty calls, rate-limited to this node's share.
type dutyCaller struct {
	service port.DutyService
	limit   *rate.Limiter
}

func newDutyCaller(options Options) *dutyCaller {
	if options.Duties == nil {
		return nil
	}
	perSecond := dutyRateShare * options.Settings.Duties.CallsPerSecond
	return &dutyCaller{service: options.Duties, limit: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// dutiesFromSettings returns the duties enabled in the settings.
func dutiesFromSettings(s *settings.Settings) cluster.Duties {
	duties := cluster.Duties{Fenced: s.Duties.Fenced}
	duties.Scaling = s.Duties.Has(settings.DutyScaling)
	if window := settings.Seconds(s.Duties.UsageWindowS); s.Duties.Has(settings.DutyUsage) && window > 0 {
		duties.Usage = &usage.Windows{Length: window, ReportDelay: settings.Seconds(s.Duties.UsageLateS)}
	}
	return duties
}

// call waits for the rate limiter and makes the call. It gives up once limit has elapsed, because
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
