package operator

import (
	"context"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// tables is a read-only record store.
type tables map[string][]port.Record

func (tables) Commit(context.Context, port.RecordTransaction) port.RecordResult {
	return port.RecordResult{Status: port.RecordRefused}
}

func (t tables) Range(_ context.Context, query port.RecordRange) port.RecordResult {
	return port.RecordResult{Status: port.RecordDone, Revision: 1, Records: t[query.Table]}
}

func (tables) Watch(context.Context, string, int64, time.Duration) port.RecordResult {
	return port.RecordResult{Status: port.RecordRefused}
}

// evacuationDecoder decodes records of evacuated zones and of replicas.
type evacuationDecoder struct{}

func (evacuationDecoder) DeploymentTables() []string { return []string{"operator", "replicas"} }

func (evacuationDecoder) LengthHint(http.Header) int { return 0 }

func (evacuationDecoder) Tokens(http.Header) (prompt, most int) { return 0, 0 }

func (evacuationDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		if record.Table == "operator" {
			change.Evacuations = append(change.Evacuations, port.Evacuation{Zone: record.Key})
			continue
		}
		change.Replicas = append(change.Replicas, port.ReplicaRecord{ID: record.Key, Zone: string(record.Value), Draining: record.Key == "leaving"})
	}
	return change
}

// TestReplicaStates tests that the state column names the reason why a replica receives no new work. Each
// replica's ID is its expected state.
func TestReplicaStates(t *testing.T) {
	config, err := proto.Marshal(&doorstepv1.Configuration{Revision: 1, Drains: []*doorstepv1.Drain{{Kind: doorstepv1.DrainKind_DRAIN_KIND_REPLICA, Name: "drained"}}})
	if err != nil {
		t.Fatal(err)
	}
	replica := func(id, zone string) port.Record {
		return port.Record{RecordKey: port.RecordKey{Table: "replicas", Key: id}, Value: []byte(zone)}
	}
	store := tables{
		"operator":       {{RecordKey: port.RecordKey{Table: "operator", Key: "a"}}},
		"replicas":       {replica("drained", "a"), replica("evacuated", "a"), replica("leaving", "a"), replica("ready", "b")},
		port.SharedTable: {{RecordKey: configuration.Key(), Value: config}},
	}
	q := &queryReader{client: &client{store: store, decoder: evacuationDecoder{}}, ctx: context.Background()}
	rows := q.rows("replicas")
	if q.err != nil || len(rows) != 4 {
		t.Fatalf("%v %v", rows, q.err)
	}
	for _, row := range rows {
		if id, state := row[0], row[len(row)-1]; id != state {
			t.Errorf("state of replica %s is %s", id, state)
		}
	}
}
