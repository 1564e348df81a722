package quarantine

import (
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Partition holds the records, in the shared table.
const Partition = "quarantine"

// entryKind is what a record tells of.
type entryKind string

const (
	// crashEntry records tell of a replica that ended, trialEntry ones of a trial.
	crashEntry entryKind = "crash"
	trialEntry entryKind = "trial"
)

// entryName names a record within the partition. A request has one for each replica that it
// crashed and one for each trial, so that a repeated write changes nothing.
type entryName struct {
	fingerprint Fingerprint
	kind        entryKind
	// which is the replica's ID or the trial's number.
	which string
}

func trialName(fingerprint Fingerprint, number int) entryName {
	return entryName{fingerprint, trialEntry, strconv.Itoa(number)}
}

// key returns the record's key.
func (n entryName) key() port.RecordKey {
	return port.RecordKey{Table: port.SharedTable, Partition: Partition, Key: n.fingerprint.String() + "/" + string(n.kind) + "/" + n.which}
}

// parseEntryName reads a record's key; it is false for a key of another form.
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

// Entry is one record as operators see it.
type Entry struct {
	// Request is the fingerprint.
	Request string
	// Trial tells of a trial, else the entry tells of a crash.
	Trial bool
	// Replica is the replica that ended, empty for a trial.
	Replica, Route, Tenant, Node string
	// At is when it was, by the record store's clock.
	At time.Duration
}

// DecodeEntry reads a record of the partition.
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
		entry.Replica = name.which
	}
	return entry, nil
}

// errKey says that a record's key is of another form.
var errKey = keyError("the key does not name a request, a kind and what of that kind")

type keyError string

func (e keyError) Error() string { return string(e) }
