package quarantine

import (
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Partition is the partition of the shared table that holds the records.
const Partition = "quarantine"

// entryKind is the kind of a record.
type entryKind string

const (
	// crashEntry is the kind of records of crashed replicas, trialEntry that of trials.
	crashEntry entryKind = "crash"
	trialEntry entryKind = "trial"
)

// entryName identifies a record within the partition. A request has one record for each replica that it
// crashed and one for each trial, so that writes are idempotent.
type entryName struct {
	fingerprint Fingerprint
	kind        entryKind
	// id is the replica's ID or the number of the trial.
	id string
}

func trialName(fingerprint Fingerprint, number int) entryName {
	return entryName{fingerprint, trialEntry, strconv.Itoa(number)}
}

func (n entryName) key() port.RecordKey {
	return port.RecordKey{Table: port.SharedTable, Partition: Partition, Key: n.fingerprint.String() + "/" + string(n.kind) + "/" + n.id}
}

// parseEntryName parses a record's key; it returns false for an invalid key.
func parseEntryName(key string) (entryName, bool) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 {
		return entryName{}, false
	}
	fingerprint, ok := ParseFingerprint(parts[0])
	if !ok {
		return entryName{}, false
	}
	return entryName{fingerprint, entryKind(parts[1]), parts[2]}, true
}

// Entry is a decoded record.
type Entry struct {
	// Request is the request's fingerprint.
	Request string
	// Trial is set for a trial and unset for a crash.
	Trial bool
	// Replica is the crashed replica, empty for a trial.
	Replica, Route, Tenant, Node string
	// At is the time of the crash or trial by the record store's clock.
	At time.Duration
}

// DecodeEntry decodes a record of the partition.
func DecodeEntry(record port.Record) (Entry, error) {
	decoded := &doorstepv1.QuarantineEntry{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		return Entry{}, err
	}
	name, ok := parseEntryName(record.Key)
	if !ok {
		return Entry{}, errKey
	}
	entry := Entry{
		Request: name.fingerprint.String(), Trial: name.kind == trialEntry, Route: decoded.Route, Tenant: decoded.Tenant, Node: decoded.Node,
		At: time.Duration(decoded.AtMs) * time.Millisecond,
	}
	if !entry.Trial {
		entry.Replica = name.id
	}
	return entry, nil
}

// errKey is the error for an invalid record key.
var errKey = keyError("invalid quarantine key: want <fingerprint>/<kind>/<id>")

type keyError string

func (e keyError) Error() string { return string(e) }
