package cluster

import (
	"slices"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// unreadableRecords holds the reasons for which records could not be decoded, by table and key, so that each one is
// logged once, however often its writer repeats it.
type unreadableRecords map[string]map[string]string

// logNew logs the unreadable records of an update that were not logged before. A full read lists all of the table.
func (u unreadableRecords) logNew(queue *task.Queue, table string, update port.DeploymentUpdate, fullRead bool) {
	before := u[table]
	if before == nil || fullRead {
		u[table] = make(map[string]string, len(update.Unreadable))
	}
	for _, replica := range update.Replicas {
		delete(u[table], replica.ID)
	}
	for _, removed := range update.Removed {
		if !unreadable(update.Unreadable, removed.ID) {
			delete(u[table], removed.ID)
		}
	}
	for _, one := range update.Unreadable {
		if reason, logged := before[one.Key]; !logged || reason != one.Reason {
			queue.Log(event.RecordUnreadable, "table", table, "key", one.Key, "revision", one.Revision, "error", one.Reason)
		}
		u[table][one.Key] = one.Reason
	}
}

// unreadable reports whether a record could not be decoded.
func unreadable(records []port.UnreadableRecord, key string) bool {
	return slices.ContainsFunc(records, func(one port.UnreadableRecord) bool { return one.Key == key })
}
