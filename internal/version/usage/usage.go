// Package usage counts the requests of each tenant that begin to run, by windows of the wall
// clock, and reports each window to the platform.
//
// Every node writes what it counted into rows of its own, as absolute counts, so that repeats
// and lost answers change nothing. The holder of a lease adds the rows of a window up once the
// window is some time past, fixes the sum in the store under a condition, and sends that sum and
// no other ever after: whichever node holds the lease, a window has one report.
//
// Nodes' wall clocks differ and may jump, so windows go by the record store's steady clock and
// one offset to the wall clock, which the holder takes from the median of all nodes' clocks.
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
	// ReportPartition holds the reports, by the windows' numbers; countPartitions is over how many others the counts
	// are spread: the store bounds the writes of one partition.
	ReportPartition = "reports"
	countPartitions = 4
)

// Windows are the spans of the wall clock that are reported.
type Windows struct {
	// Length is a window's; window k begins k lengths after the start of 1970.
	Length time.Duration
	// Late is how long after its end a window's report is due.
	Late time.Duration
}

// Clock maps the record store's steady clock to windows. Its zero value knows nothing.
type Clock struct {
	Windows
	known bool
	// offset is the wall clock's reading less the store's.
	offset time.Duration
	// first is the first window that is reported.
	first int64
	// setAt is when the clock was first set, by the store's clock.
	setAt time.Duration
	// agreed is how many nodes agreed on the offset.
	agreed int
}

// Set takes the clock's record.
func (c *Clock) Set(record port.Record) error {
	decoded := &doorstepv1.UsageClock{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		return err
	}
	c.known = !record.Deleted
	c.offset = time.Duration(decoded.OffsetMs) * time.Millisecond
	c.first = decoded.FirstWindow
	c.setAt = time.Duration(decoded.SetAtMs) * time.Millisecond
	c.agreed = int(decoded.Agreed)
	return nil
}

// heard reports whether all nodes have heard of the clock by a reading of the store's.
func (c *Clock) heard(at time.Duration) bool { return c.known && at >= c.setAt+clockHeardWithin }

// window returns the window that a reading of the store's clock falls into.
func (c *Clock) window(at time.Duration) int64 { return int64((at + c.offset) / c.Length) }

// end returns the reading of the store's clock at which a window ends.
func (c *Clock) end(window int64) time.Duration { return time.Duration(window+1)*c.Length - c.offset }

// windowPrefix begins the keys of a window's counts.
func windowPrefix(window int64) string { return fmt.Sprintf("%012d/", window) }

func countPartition(number int) string { return fmt.Sprintf("counts-%d", number) }

func reportKey(window int64) port.RecordKey {
	return port.RecordKey{Table: Table, Partition: ReportPartition, Key: fmt.Sprintf("%012d", window)}
}

// encode encodes a document that can't fail to.
func encode(message proto.Message) []byte {
	value, err := proto.Marshal(message)
	if err != nil {
		panic("a record of use must encode: " + err.Error())
	}
	return value
}
