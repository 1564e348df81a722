// Package configuration holds what operators set: experiments and drains. One record of
// the store holds all of it. A command replaces the record under the condition that it
// stands as the command saw it, and leaves its token beside it, so that two operators who
// race get one truth and a repeated command has one effect. Every node watches the record.
package configuration

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// Partition holds the configuration's records, so that one transaction spans them.
	Partition = "operators"
	// HistoryTable records changes: by token, and by revision.
	HistoryTable = "operators-history"
	// RevisionPrefix leads the keys of changes by revision, tokenPrefix those by token.
	RevisionPrefix = "revision/"
	tokenPrefix    = "token/"
	// firstRevision is that of the empty configuration, which no record holds.
	firstRevision = 1
)

// Key names the record of the configuration.
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

// Decode reads the configuration's record; an absent one is the empty configuration.
func Decode(record port.Record) (*doorstepv1.Configuration, error) {
	if record.Revision == 0 || record.Deleted {
		return Empty(), nil
	}
	decoded := &doorstepv1.Configuration{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		return nil, fmt.Errorf("the configuration's record: %w", err)
	}
	return decoded, nil
}

// Share returns a policy's part of its service's replicas, relative to others.
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
		panic("a record must encode: " + err.Error())
	}
	return value
}
