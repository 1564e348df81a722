package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// eventVersions checks that the text of a result is complete and returns the versions that generated its
// events, sorted.
func eventVersions(result platformtest.Result) ([]int64, error) {
	events := strings.Split(result.Message, "\n")
	if int64(len(events)) != model.ItemEvents(result.ID) {
		return nil, fmt.Errorf("%d of %d events", len(events), model.ItemEvents(result.ID))
	}
	var versions []int64
	for i, event := range events {
		text, version, _ := strings.Cut(event, "@")
		if text != model.ItemEvent(result.ID, int64(i+1)) {
			return nil, fmt.Errorf("event %d is %q", i+1, event)
		}
		number, err := strconv.ParseInt(version, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("event %d has no version: %q", i+1, event)
		}
		if !slices.Contains(versions, number) {
			versions = append(versions, number)
		}
	}
	slices.Sort(versions)
	return versions, nil
}
