package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestCatalogueIsDocumented(t *testing.T) {
	content, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, entry := range Catalogue {
		if entry.Number <= last {
			t.Errorf("event %d is out of order or duplicated", entry.Number)
		}
		last = entry.Number
		row := fmt.Sprintf("| %d | %s | %s | %s |", entry.Number, entry.Level, entry.Message, entry.Meaning)
		if !strings.Contains(string(content), row) {
			t.Errorf("docs/EVENTS.md is missing the row %s", row)
		}
	}
	if rows := strings.Count(string(content), "\n| ") - 1; rows != len(Catalogue) {
		t.Errorf("docs/EVENTS.md has %d rows, the catalogue %d", rows, len(Catalogue))
	}
}
