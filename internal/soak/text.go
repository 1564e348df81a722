package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// eventVersions checks that the text of a result is complete and that each run that continues it was asked to do so, after
// the event before. It returns the versions that generated its events, sorted.
func eventVersions(result platformtest.Result, runs *platformtest.TextRuns) ([]int64, error) {
	events := strings.Split(result.Message, "\n")
	if int64(len(events)) != model.ItemEvents(result.ID) {
		return nil, fmt.Errorf("%d of %d events", len(events), model.ItemEvents(result.ID))
	}
	var versions []int64
	previous := -1
	for i, event := range events {
		var version int64
		var run int
		_, origin, _ := strings.Cut(event, "@")
		if _, err := fmt.Sscanf(origin, "%d~%d", &version, &run); err != nil || event != platformtest.SampledEvent(result.ID, int64(i+1), version, run) {
			return nil, fmt.Errorf("event %d is %q", i+1, event)
		}
		if after, known := runs.After(run); run != previous && (!known || after != int64(i)) {
			return nil, fmt.Errorf("event %d is of run %d, which was asked to continue after event %d", i+1, run, after)
		}
		previous = run
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, nil
}
