// Package configuration manages what operators configure: experiments, drains and lifted
// quarantines. All of it is stored in one record, which every node watches. A command replaces the
// record conditionally on its revision and records its token in the same transaction. Concurrent
// commands therefore cannot overwrite each other, and a repeated command takes effect only once.
package configuration

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// Partition holds the configuration and its history, so that one transaction can change both.
	Partition = "operators"
	// HistoryTable holds the changes by token and by revision.
	HistoryTable = "operators-history"
	// RevisionPrefix is the key prefix of changes by revision, tokenPrefix that of changes by
	// token.
	RevisionPrefix = "revision/"
	tokenPrefix    = "token/"
	// firstRevision is the revision of the empty configuration, which is not stored.
	firstRevision = 1
)

// Key returns the key of the configuration's record.
func Key() port.RecordKey {
	return port.RecordKey{Table: port.SharedTable, Partition: Partition, Key: "configuration"}
}

func tokenKey(token string) port.RecordKey {
	return port.RecordKey{Table: HistoryTable, Partition: Partition, Key: tokenPrefix + token}
}

func revisionKey(revision uint64) port.RecordKey {
	return port.RecordKey{Table: HistoryTable, Partition: Partition, Key: fmt.Sprintf("%s%020d", RevisionPrefix, revision)}
}

// Empty returns the configuration before the first command.
func Empty() *doorstepv1.Configuration { return &doorstepv1.Configuration{Revision: firstRevision} }

// Decode decodes the configuration's record. A missing record is the empty configuration.
func Decode(record port.Record) (*doorstepv1.Configuration, error) {
	if record.Revision == 0 || record.Deleted {
		return Empty(), nil
	}
	decoded := &doorstepv1.Configuration{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		return nil, fmt.Errorf("decode configuration record: %w", err)
	}
	return decoded, nil
}

// Share returns a policy's share of its service's replicas, relative to other policies.
func Share(c *doorstepv1.Configuration, policy string) int64 {
	for _, experiment := range c.GetExperiments() {
		if experiment.Policy == policy {
			return max(int64(experiment.Share), 1)
		}
	}
	return 1
}

func encode(message proto.Message) []byte {
	value, err := proto.Marshal(message)
	if err != nil {
		panic("cannot encode record: " + err.Error())
	}
	return value
}
