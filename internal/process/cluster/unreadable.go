package cluster

import (
	"slices"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// unreadableRecords holds the revisions of records that could not be decoded, by table and key, so that
// each one is logged once.
type unreadableRecords map[string]map[string]int64

// logNew logs the unreadable records that were not logged before. A full read lists all of the table.
func (u unreadableRecords) logNew(queue *task.Queue, table string, records []port.UnreadableRecord, fullRead bool) {
	before := u[table]
	if before == nil || fullRead {
		u[table] = make(map[string]int64, len(records))
	}
	for _, one := range records {
		if before[one.Key] != one.Revision || one.Revision == 0 {
			queue.Log(event.RecordUnreadable, "table", table, "key", one.Key, "revision", one.Revision, "error", one.Reason)
		}
		u[table][one.Key] = one.Revision
	}
}

// unreadable reports whether a record could not be decoded.
func unreadable(records []port.UnreadableRecord, key string) bool {
	return slices.ContainsFunc(records, func(one port.UnreadableRecord) bool { return one.Key == key })
}
