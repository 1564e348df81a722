package endpoint

import (
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/doorstep/doorstep/internal/port"
)

// TestPutDoesNotWriteIdentity guards against a data race with requests, which read the identity of their endpoint
// without synchronization.
func TestPutDoesNotWriteIdentity(t *testing.T) {
	registry := NewRegistry()
	record := port.ReplicaRecord{ID: "r", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Revision: 1}
	known := registry.Put(record).Endpoint
	id, service, address := unsafe.StringData(known.ID), unsafe.StringData(known.Service), unsafe.StringData(known.Address)
	record = port.ReplicaRecord{
		ID: strings.Clone(record.ID), Service: strings.Clone(record.Service), Address: strings.Clone(record.Address),
		Zone: "y", Slots: 2, Draining: true, ColdFor: time.Second, Revision: 2, Versions: map[string]int64{"m": 3},
	}
	if change := registry.Put(record); change.Endpoint != known || !change.DrainStarted {
		t.Fatalf("%+v", change)
	}
	if unsafe.StringData(known.ID) != id || unsafe.StringData(known.Service) != service || unsafe.StringData(known.Address) != address {
		t.Error("the identity was written")
	}
	if known.Zone != "y" || known.Slots != 2 || !known.Draining || known.ColdFor != time.Second || known.Revision != 2 || known.Versions["m"] != 3 {
		t.Errorf("%+v", known.ReplicaRecord)
	}
}
