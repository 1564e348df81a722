// Package experiment runs experiments as batch jobs. Each step of a trainer is one batch job, drawn
// from the experiment's prompts when the trainer requests the step. The parameters of a draw are
// stored in the trainer's progress record, so that every node derives the same job from it. If
// several nodes draw at the same time, the job's acceptance, which happens once, decides. The batch
// package runs the jobs and stores their samples.
package experiment

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// ProgressTable holds the trainers' progress, partitioned by experiment.
	ProgressTable = "trainers"
	// PromptTable holds the prompt sets, one partition per set.
	PromptTable = "prompts"
	// maxPartBytes is the maximum size of one part of a prompt set. It is below the store's limit.
	maxPartBytes = 60_000
)

// ProgressKey returns the key of a trainer's progress record.
func ProgressKey(experiment, trainer string) port.RecordKey {
	return port.RecordKey{Table: ProgressTable, Partition: experiment, Key: trainer}
}

// Step identifies a step of a trainer.
type Step struct {
	Experiment, Trainer string
	// Number starts at 1.
	Number int64
	// Tenant is the trainer's tenant, or empty if there are none.
	Tenant string
}

// JobID returns the ID of the batch job for a draw of the step. Names are encoded because they may
// contain characters that are not allowed in a job's ID.
func (s Step) JobID(attempt int32) string {
	name := base64.RawURLEncoding.EncodeToString([]byte(s.Experiment + "\x00" + s.Trainer))
	if len(name) > 64 {
		name = fmt.Sprintf("%016x", xxhash.Sum64String(name))
	}
	return fmt.Sprintf("step.%s.%d.%d", name, s.Number, attempt)
}

// DrawRoutes holds the routes of a step's job.
type DrawRoutes struct {
	// Batch accepts batch jobs for the experiment's service. Scoring leads to the service that
	// scores the samples, or is nil if there is none.
	Batch, Scoring *port.Route
}

// NewDraw returns the parameters of a draw. newest is the policy's newest version.
func NewDraw(e *doorstepv1.Experiment, routes DrawRoutes, newest int64, attempt int32) *doorstepv1.Draw {
	draw := &doorstepv1.Draw{
		Attempt: attempt, Host: routes.Batch.Host, Path: routes.Batch.PathPrefix, Policy: e.Policy, Service: e.Service, Prompts: e.Prompts,
		Samples: e.Samples, MaxTokens: e.MaxTokens, MinVersion: max(newest-e.StalenessBound, e.MinVersion, 1),
	}
	if routes.Scoring != nil {
		draw.Scoring, draw.ScoringHost, draw.ScoringPath = e.Scoring, routes.Scoring.Host, routes.Scoring.PathPrefix
	}
	return draw
}

// Describer returns the headers of a rollout request from its model, its prompt and its maximum
// number of tokens.
type Describer func(model, prompt string, maxTokens int) http.Header

// Job returns the batch job of a draw. It is deterministic in its arguments.
func Job(step Step, draw *doorstepv1.Draw, prompts []string, describe Describer) *doorstepv1.BatchJob {
	id := step.JobID(draw.Attempt)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(id), uint64(draw.Samples)))
	job := &doorstepv1.BatchJob{
		Id: id, Host: draw.Host, Path: draw.Path, Model: draw.Policy, MinVersion: draw.MinVersion,
		DesiredGroups: int32(draw.Samples), TrainingStep: step.Number, Tenant: step.Tenant,
	}
	for i := range draw.Samples {
		prompt := prompts[random.IntN(len(prompts))]
		item := &doorstepv1.BatchItem{
			Id: fmt.Sprintf("%s.%d", id, i), Path: fmt.Sprintf("%s%s/%d", draw.Path, id, i), Body: []byte(prompt), Tokens: int64(draw.MaxTokens),
		}
		if draw.Scoring != "" {
			item.Scoring = &doorstepv1.ScoringCall{
				Id: item.Id + ".score", Host: draw.ScoringHost, Path: fmt.Sprintf("%s%s/%d", draw.ScoringPath, id, i), Body: item.Body, SendText: true,
			}
		}
		header := describe(draw.Policy, prompt, int(draw.MaxTokens))
		for _, name := range sortedNames(header) {
			item.Headers = append(item.Headers, &doorstepv1.Header{Name: name, Value: header.Get(name)})
		}
		job.Items = append(job.Items, item)
	}
	return job
}

func sortedNames(header http.Header) []string {
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WithinBounds reports whether all samples comply with the experiment's version bounds, given the
// policy's newest version.
func WithinBounds(e *doorstepv1.Experiment, newest int64, results []*doorstepv1.BatchResult) bool {
	minVersion := max(newest-e.StalenessBound, e.MinVersion)
	for _, result := range results {
		for _, version := range result.Versions {
			if version < minVersion || e.MaxVersion > 0 && version > e.MaxVersion {
				return false
			}
		}
	}
	return true
}

// Sample is a delivered sample.
type Sample struct {
	Slot      int     `json:"slot"`
	Prompt    string  `json:"prompt"`
	Text      string  `json:"text"`
	Versions  []int64 `json:"versions"`
	Completed bool    `json:"completed"`
	// Score is the signature of the scoring service's answer, or empty if there is no scoring.
	Score string `json:"score,omitempty"`
}

// Samples returns a job's samples in the order of its items.
func Samples(job *doorstepv1.BatchJob, results []*doorstepv1.BatchResult) []Sample {
	byID := map[string]*doorstepv1.BatchResult{}
	for _, result := range results {
		byID[result.Id] = result
	}
	samples := make([]Sample, 0, len(job.Items))
	for slot, item := range job.Items {
		result := byID[item.Id]
		samples = append(samples, Sample{
			Slot: slot, Prompt: string(item.Body), Text: result.GetMessage(), Versions: result.GetVersions(), Completed: result.GetCompleted(), Score: result.GetScore(),
		})
	}
	return samples
}
