// Package usage counts the requests of each tenant in wall-clock windows and reports each window to
// the platform.
//
// Each node writes its counts to its own records as absolute numbers, so that repeated writes and
// lost answers have no effect. Some time after the end of a window, the lease holder adds up the
// records of the window, stores the sum under a precondition, and from then on sends only that sum.
// Each window therefore has exactly one report, regardless of which node holds the lease.
//
// The nodes' wall clocks differ and may jump. Windows are therefore based on the record store's
// monotonic clock and a shared offset to the wall clock, which the holder determines as the median
// of all nodes' clocks.
package usage

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// Table holds the counts and reports.
	Table = "usage"
	// ReportPartition holds the reports by window number. The counts are spread over
	// countPartitions further partitions, because the store limits the write rate per partition.
	ReportPartition = "reports"
	countPartitions = 4
)

// Windows configures the reported time windows.
type Windows struct {
	// Length is the length of a window. Window k begins k lengths after the Unix epoch.
	Length time.Duration
	// ReportDelay is how long after the end of a window its report is due.
	ReportDelay time.Duration
}

// Clock maps the record store's monotonic clock to windows. The zero value is a clock that is not
// set.
type Clock struct {
	Windows
	isSet bool
	// offset is the difference between the wall clock and the store's clock.
	offset time.Duration
	// firstWindow is the first window that is reported.
	firstWindow int64
	// setAt is when the clock was first set, by the store's clock.
	setAt time.Duration
	// agreed is the number of nodes that agreed on the offset.
	agreed int
}

// Set applies the clock's record.
func (c *Clock) Set(record port.Record) error {
	decoded := &doorstepv1.UsageClock{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		return err
	}
	c.isSet = !record.Deleted
	c.offset = time.Duration(decoded.OffsetMs) * time.Millisecond
	c.firstWindow = decoded.FirstWindow
	c.setAt = time.Duration(decoded.SetAtMs) * time.Millisecond
	c.agreed = int(decoded.Agreed)
	return nil
}

// propagated reports whether all nodes should have seen the clock by the given reading of the
// store's clock.
func (c *Clock) propagated(at time.Duration) bool {
	return c.isSet && at >= c.setAt+clockPropagationDelay
}

// window returns the window that contains the given reading of the store's clock.
func (c *Clock) window(at time.Duration) int64 { return int64((at + c.offset) / c.Length) }

// end returns the reading of the store's clock at the end of a window.
func (c *Clock) end(window int64) time.Duration { return time.Duration(window+1)*c.Length - c.offset }

// windowPrefix returns the key prefix of a window's counts.
func windowPrefix(window int64) string { return fmt.Sprintf("%012d/", window) }

func countPartition(number int) string { return fmt.Sprintf("counts-%d", number) }

func reportKey(window int64) port.RecordKey {
	return port.RecordKey{Table: Table, Partition: ReportPartition, Key: fmt.Sprintf("%012d", window)}
}

// encode encodes a message and panics if that fails.
func encode(message proto.Message) []byte {
	value, err := proto.Marshal(message)
	if err != nil {
		panic("cannot encode usage record: " + err.Error())
	}
	return value
}
