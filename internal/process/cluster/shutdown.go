package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// DefaultGracePeriod applies if the settings do not specify a grace period.
	DefaultGracePeriod = 8 * time.Second
	// stopMargin is how long before the end of the grace period the process exits by itself.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long before its exit a stopping node answers all requests that it still serves.
	answerMargin = 100 * time.Millisecond
	// shutdownDelay is how long a stopping node keeps accepting connections, so that clients and load
	// balancers can notice. It is shorter if the grace period is less than twice as long.
	shutdownDelay = 3 * time.Second
	// handoverTimeout bounds how long a stopping node waits for its jobs to be handed over, usageFlushTimeout
	// for its usage counts to be stored.
	handoverTimeout   = 2 * shutdownDelay
	usageFlushTimeout = shutdownDelay + 2*time.Second
)

// Stop starts a graceful shutdown: duties are handed over while requests are still served.
func (n *Node) Stop(now time.Time) {
	if n.Stopping() {
		return
	}
	n.stoppingAt = now
	n.queue.Log(event.ProcessStopping, "node", n.options.Name)
	for _, lease := range n.sortedLeases() {
		lease.Resign(now)
	}
	n.jobs.Stop(now)
	n.removeStatus()
}

// Stopping reports whether a graceful shutdown has started.
func (n *Node) Stopping() bool { return !n.stoppingAt.IsZero() }

// CanExit reports whether a stopping node may exit as soon as it serves no request: clients have had time to notice,
// jobs are handed over and usage counts are stored. It waits for the latter two only for a limited time.
func (n *Node) CanExit(now time.Time) bool {
	stopping := now.Sub(n.stoppingAt)
	return n.Stopping() && stopping >= n.noticePeriod() &&
		(n.jobs.OwnedCount() == 0 || stopping >= handoverTimeout) && (n.usageFlushed() || stopping >= usageFlushTimeout)
}

// MustExit reports whether the grace period of a stopping node is about to end, so that it has to exit whatever it is
// doing.
func (n *Node) MustExit(now time.Time) bool {
	return n.Stopping() && now.Sub(n.stoppingAt) >= n.exitPeriod()
}

// MustAnswer reports whether a stopping node must answer all requests now, as it is about to exit.
func (n *Node) MustAnswer(now time.Time) bool {
	return n.Stopping() && now.Sub(n.stoppingAt) >= n.exitPeriod()-answerMargin
}

// ShutdownSchedule returns the schedule of a graceful shutdown that starts at the given time.
func (n *Node) ShutdownSchedule(start time.Time) relay.Shutdown {
	return relay.Shutdown{NoticedAt: start.Add(n.noticePeriod()), AnswerBy: start.Add(n.exitPeriod() - answerMargin)}
}

// noticePeriod is how long a stopping node keeps accepting connections, exitPeriod how long until it exits in any case.
func (n *Node) noticePeriod() time.Duration { return min(shutdownDelay, n.gracePeriod()/2) }

func (n *Node) exitPeriod() time.Duration {
	return max(n.gracePeriod()-stopMargin, n.gracePeriod()/2)
}

func (n *Node) gracePeriod() time.Duration {
	if n.options.GracePeriod > 0 {
		return n.options.GracePeriod
	}
	return DefaultGracePeriod
}
