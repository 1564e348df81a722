package operator

import (
	"maps"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/experiment"
)

// heads returns the head records of all jobs by job ID.
func (q *queryReader) heads() map[string]*doorstepv1.BatchJobHead {
	heads := map[string]*doorstepv1.BatchJobHead{}
	for n := range batch.Partitions {
		for _, record := range q.read(port.SharedTable, batch.PartitionName(n), "") {
			head := &doorstepv1.BatchJobHead{}
			q.decode(record, head)
			heads[record.Key] = head
		}
	}
	return heads
}

func jobState(head *doorstepv1.BatchJobHead) string {
	switch {
	case head.Ended:
		return "ended"
	case head.Listed >= head.Total:
		return "whole"
	case head.Owner == "":
		return "waiting"
	}
	return "running"
}

func (q *queryReader) jobs() [][]string {
	heads := q.heads()
	var rows [][]string
	for _, id := range slices.Sorted(maps.Keys(heads)) {
		head := heads[id]
		age := q.clock - time.Duration(head.AcceptedAtMs)*time.Millisecond
		rows = append(rows, []string{id, head.Model, head.Owner, formatNumber(head.Listed), formatNumber(head.Total), jobState(head), formatSeconds(age)})
	}
	return rows
}

func (q *queryReader) samples() [][]string {
	heads := q.heads()
	var rows [][]string
	for _, e := range q.configuration().Experiments {
		for _, record := range q.read(experiment.ProgressTable, e.Name, "") {
			progress := &doorstepv1.TrainerProgress{}
			q.decode(record, progress)
			rows = append(rows, sampleRow(e.Name, record.Key, progress, heads))
		}
	}
	return rows
}

func sampleRow(name, trainer string, progress *doorstepv1.TrainerProgress, heads map[string]*doorstepv1.BatchJobHead) []string {
	step := experiment.Step{Experiment: name, Trainer: trainer, Number: progress.Acknowledged + 1}
	draw := progress.Draw
	if draw == nil {
		return []string{name, trainer, formatNumber(step.Number), "", "", "", "", "not drawn"}
	}
	state, listed := "drawn", int32(0)
	if head := heads[step.JobID(draw.Attempt)]; head != nil {
		state, listed = jobState(head), head.Listed
	}
	if progress.Sealed {
		state = "sealed"
	}
	return []string{name, trainer, formatNumber(step.Number), formatNumber(draw.Attempt), draw.Policy, formatNumber(listed), formatNumber(draw.Samples), state}
}
