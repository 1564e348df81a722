package cluster

import (
	"slices"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// unreadableRecords holds the revisions of the records that could not be read, by table and key, so that
// the log has one line for each of them and not one for each reading.
type unreadableRecords map[string]map[string]int64

// note logs the records of a change that could not be read and were not told of before. A whole reading
// names all of the table that stand.
func (u unreadableRecords) note(queue *task.Queue, table string, records []port.UnreadableRecord, whole bool) {
	before := u[table]
	if before == nil || whole {
		u[table] = make(map[string]int64, len(records))
	}
	for _, one := range records {
		if before[one.Key] != one.Revision || one.Revision == 0 {
			queue.Log(event.RecordUnreadable, "table", table, "key", one.Key, "revision", one.Revision, "error", one.Reason)
		}
		u[table][one.Key] = one.Revision
	}
}

// unreadable reports whether a record is among those that could not be read.
func unreadable(records []port.UnreadableRecord, key string) bool {
	return slices.ContainsFunc(records, func(one port.UnreadableRecord) bool { return one.Key == key })
}
