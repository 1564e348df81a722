package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// testStore implements port.RecordStore with the simulated store.
type testStore struct{ *model.RecordStore }

func (s testStore) Commit(_ context.Context, transaction port.RecordTransaction) port.RecordResult {
	return s.RecordStore.Commit(time.Now(), transaction)
}

func (s testStore) Range(_ context.Context, query port.RecordRange) port.RecordResult {
	return s.RecordStore.Range(time.Now(), query)
}

func (s testStore) Watch(context.Context, string, int64, time.Duration) port.RecordResult {
	return port.RecordResult{}
}

// jsonTargets stores target versions as JSON.
type jsonTargets struct{}

func (jsonTargets) TargetKey(model string) port.RecordKey {
	return port.RecordKey{Table: "targets", Key: model}
}

func (jsonTargets) EncodeTarget(target port.VersionTarget) []byte {
	value, _ := json.Marshal(target)
	return value
}

func (jsonTargets) DecodeTarget(value []byte) (target port.VersionTarget, err error) {
	return target, json.Unmarshal(value, &target)
}

// testJobs completes jobs when they are accepted.
type testJobs struct {
	mu       sync.Mutex
	accepted map[string]*doorstepv1.BatchJob
	ended    map[string]bool
	// version returns the version that generates a job's texts. during is called while a job runs.
	version func() int64
	during  func(id string)
	t       *testing.T
}

func (j *testJobs) Accept(_ context.Context, job *doorstepv1.BatchJob) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if previous := j.accepted[job.Id]; previous != nil && !proto.Equal(previous, job) {
		j.t.Errorf("job %s was accepted with different content", job.Id)
	}
	j.accepted[job.Id] = job
	return true
}

func (j *testJobs) AwaitResults(_ context.Context, id string) []*doorstepv1.BatchResult {
	if j.during != nil {
		j.during(id)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	var results []*doorstepv1.BatchResult
	for i := len(j.accepted[id].Items) - 1; i >= 0; i-- {
		item := j.accepted[id].Items[i]
		result := &doorstepv1.BatchResult{Id: item.Id, Completed: true, Message: "text of " + item.Id, Versions: []int64{j.version()}}
		if item.Scoring != nil {
			result.Score = "score of " + item.Scoring.Id
		}
		results = append(results, result)
	}
	return results
}

func (j *testJobs) End(_ context.Context, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended[id] = true
}

type testBench struct {
	*Steps
	jobs          *testJobs
	configuration *doorstepv1.Configuration
}

func newTestBench(t *testing.T) *testBench {
	t.Helper()
	b := &testBench{configuration: &doorstepv1.Configuration{Revision: 2, Experiments: []*doorstepv1.Experiment{{
		Name: "e", Policy: "p", Service: "s", Prompts: "q", Trainers: []string{"a", "b"}, Samples: 6, StalenessBound: 1, MaxTokens: 64,
		State: doorstepv1.ExperimentState_EXPERIMENT_STATE_RUNNING,
	}}}}
	b.jobs = &testJobs{t: t, accepted: map[string]*doorstepv1.BatchJob{}, ended: map[string]bool{}, version: func() int64 { return 1 }}
	b.Steps = &Steps{
		Store: testStore{model.NewRecordStore(time.Now(), model.RecordStoreOptions{})}, Jobs: b.jobs, Targets: jsonTargets{},
		Configuration: func() *doorstepv1.Configuration { return b.configuration },
		Route:         func(string, port.RouteKind) *port.Route { return &port.Route{Name: "r", Host: "h", PathPrefix: "/p/"} },
		Describe: func(model, prompt string, maxTokens int) http.Header {
			return http.Header{"Model": {model}, "Prompt": {prompt}, "Max-Tokens": {fmt.Sprint(maxTokens)}}
		},
	}
	if err := PutPrompts(context.Background(), b.Store, "q", []string{"one", "two", "three"}); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *testBench) pull(number int64) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return b.Pull(ctx, Step{Experiment: "e", Trainer: "a", Number: number})
}

func (b *testBench) acknowledge(number int64) Reply {
	return b.Acknowledge(context.Background(), Step{Experiment: "e", Trainer: "a", Number: number})
}

func TestStepsOfATrainer(t *testing.T) {
	convey.Convey("A trainer that pulls its first step", t, func() {
		b := newTestBench(t)
		first := b.pull(1)
		convey.Convey("gets all samples in the order of their slots", func() {
			convey.So(first.Status, convey.ShouldEqual, Done)
			convey.So(first.Samples, convey.ShouldHaveLength, 6)
			for slot, sample := range first.Samples {
				convey.So(sample.Slot, convey.ShouldEqual, slot)
				convey.So(sample.Text, convey.ShouldNotBeEmpty)
			}
		})
		convey.Convey("gets the same samples when it pulls again", func() {
			convey.So(b.pull(1), convey.ShouldResemble, first)
		})
		convey.Convey("cannot pull the next step before it has acknowledged this one", func() {
			convey.So(b.pull(2).Status, convey.ShouldEqual, Refused)
		})
		convey.Convey("cannot acknowledge a step that was not delivered", func() {
			convey.So(b.acknowledge(2).Status, convey.ShouldEqual, Refused)
		})
		convey.Convey("can acknowledge it repeatedly", func() {
			convey.So(b.acknowledge(1).Status, convey.ShouldEqual, Done)
			convey.So(b.acknowledge(1).Status, convey.ShouldEqual, Done)
			convey.So(b.jobs.ended, convey.ShouldContainKey, Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(0))
			convey.Convey("and then pull the next step but not this one", func() {
				convey.So(b.pull(1).Status, convey.ShouldEqual, Refused)
				convey.So(b.pull(2).Status, convey.ShouldEqual, Done)
			})
		})
	})
	convey.Convey("An unknown trainer or experiment is rejected", t, func() {
		b := newTestBench(t)
		convey.So(b.Pull(context.Background(), Step{Experiment: "e", Trainer: "x", Number: 1}).Status, convey.ShouldEqual, Unknown)
		convey.So(b.Pull(context.Background(), Step{Experiment: "x", Trainer: "a", Number: 1}).Status, convey.ShouldEqual, Unknown)
	})
}

func TestScoredSamples(t *testing.T) {
	convey.Convey("An experiment with a scoring service", t, func() {
		b := newTestBench(t)
		b.configuration.Experiments[0].Scoring = "judge"
		first := b.pull(1)
		convey.Convey("delivers each sample with its score", func() {
			convey.So(first.Status, convey.ShouldEqual, Done)
			for slot, sample := range first.Samples {
				convey.So(sample.Score, convey.ShouldEqual, fmt.Sprintf("score of %s.%d.score", Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(0), slot))
			}
		})
		convey.Convey("sends the text to the scoring service on its route", func() {
			for _, item := range b.jobs.accepted[Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(0)].Items {
				convey.So(item.Scoring.SendText, convey.ShouldBeTrue)
				convey.So(item.Scoring.Host, convey.ShouldEqual, "h")
			}
		})
		convey.Convey("draws the next step without scores after the service is removed", func() {
			b.acknowledge(1)
			b.configuration.Experiments[0].Scoring = ""
			for _, sample := range b.pull(2).Samples {
				convey.So(sample.Score, convey.ShouldBeEmpty)
			}
		})
	})
}

func TestConcurrentPullsGetTheSameSamples(t *testing.T) {
	b := newTestBench(t)
	replies := make([]Reply, 8)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			replies[i] = b.Pull(ctx, Step{Experiment: "e", Trainer: "a", Number: 1})
		})
	}
	group.Wait()
	for _, reply := range replies {
		if reply.Status != Done || !reflect.DeepEqual(reply.Samples, replies[0].Samples) {
			t.Errorf("got %+v, want %+v", reply, replies[0])
		}
	}
}

// TestStaleSamplesAreRedrawn checks that a step is drawn again if versions published while it ran
// put its samples beyond the staleness bound.
func TestStaleSamplesAreRedrawn(t *testing.T) {
	b := newTestBench(t)
	ctx := context.Background()
	version := int64(1)
	b.jobs.version = func() int64 { return version }
	b.jobs.during = func(id string) {
		if strings.HasSuffix(id, ".0") {
			for published := int64(2); published <= 4; published++ {
				b.Publish(ctx, "e", "a", published)
			}
			return
		}
		version = 4
	}
	reply := b.pull(1)
	if reply.Status != Done || reply.Samples[0].Versions[0] != 4 {
		t.Fatalf("%+v", reply)
	}
	if drawn := b.jobs.accepted[Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(1)]; drawn == nil || drawn.MinVersion != 3 {
		t.Errorf("second draw: %v", drawn)
	}
	if !b.jobs.ended[Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(0)] {
		t.Error("the first draw's job was not ended")
	}
}

func TestSealedSamplesDoNotChange(t *testing.T) {
	b := newTestBench(t)
	first := b.pull(1)
	for version := int64(2); version <= 9; version++ {
		b.Publish(context.Background(), "e", "b", version)
	}
	b.configuration.Experiments[0].Policy = "other"
	if again := b.pull(1); !reflect.DeepEqual(again, first) {
		t.Errorf("delivered samples changed: %+v", again)
	}
}

func TestPolicySwapRedraws(t *testing.T) {
	b := newTestBench(t)
	b.jobs.during = func(string) { b.configuration.Experiments[0].Policy = "r" }
	ctx := context.Background()
	stored, _ := b.readProgress(ctx, Step{Experiment: "e", Trainer: "a", Number: 1})
	b.createDraw(ctx, Step{Experiment: "e", Trainer: "a", Number: 1}, b.configuration.Experiments[0], stored)
	b.configuration.Experiments[0].Policy = "r"
	if reply := b.pull(1); reply.Status != Done {
		t.Fatalf("%+v", reply)
	}
	if drawn := b.jobs.accepted[Step{Experiment: "e", Trainer: "a", Number: 1}.JobID(1)]; drawn == nil || drawn.Model != "r" {
		t.Errorf("draw after the policy swap: %v", drawn)
	}
}

func TestStatesAndBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *testBench)
		want   Status
	}{
		{"running", func(*testBench) {}, Done},
		{"paused", func(b *testBench) {
			b.configuration.Experiments[0].State = doorstepv1.ExperimentState_EXPERIMENT_STATE_PAUSED
		}, NotReady},
		{"stopped", func(b *testBench) {
			b.configuration.Experiments[0].State = doorstepv1.ExperimentState_EXPERIMENT_STATE_STOPPED
		}, Refused},
		{"no prompts", func(b *testBench) { b.configuration.Experiments[0].Prompts = "none" }, NotReady},
		{"no route", func(b *testBench) { b.Route = func(string, port.RouteKind) *port.Route { return nil } }, NotReady},
		{"no route to the scoring service", func(b *testBench) {
			b.configuration.Experiments[0].Scoring = "judge"
			b.Route = func(_ string, kind port.RouteKind) *port.Route {
				if kind == port.RouteBatch {
					return &port.Route{Name: "r", Host: "h", PathPrefix: "/p/"}
				}
				return nil
			}
		}, NotReady},
		{"min_version", func(b *testBench) { b.configuration.Experiments[0].MinVersion = 5 }, NotReady},
	} {
		b := newTestBench(t)
		c.change(b)
		if got := b.pull(1); got.Status != c.want {
			t.Errorf("%s: %+v, want %s", c.name, got, c.want)
		}
	}
}

func TestRunAhead(t *testing.T) {
	for _, c := range []struct {
		name           string
		weight         uint32
		staleness, ack int64
		drawn          bool
	}{
		{"idle weight at the threshold", 50, 1, 1, true},
		{"idle weight below the threshold", 49, 1, 1, false},
		{"staleness bound of 0", 100, 0, 1, false},
		{"previous step not acknowledged", 100, 1, 0, false},
	} {
		b := newTestBench(t)
		b.configuration.Experiments[0].IdleWeight = c.weight
		b.configuration.Experiments[0].StalenessBound = c.staleness
		b.pull(1)
		if c.ack > 0 {
			b.acknowledge(c.ack)
		}
		next := Step{Experiment: "e", Trainer: "a", Number: 2}
		b.RunAhead(context.Background(), next)
		if drawn := b.jobs.accepted[next.JobID(0)] != nil; drawn != c.drawn {
			t.Errorf("%s: drawn %t, want %t", c.name, drawn, c.drawn)
		}
		if c.drawn {
			if reply := b.pull(2); reply.Status != Done || b.jobs.accepted[next.JobID(1)] != nil {
				t.Errorf("%s: the pull did not use the existing draw: %+v", c.name, reply)
			}
		}
	}
}

func TestVersionsOnlyIncrease(t *testing.T) {
	b := newTestBench(t)
	b.configuration.Experiments[0].MaxVersion = 6
	for _, c := range []struct {
		version int64
		want    Status
	}{{3, Done}, {3, Done}, {2, Refused}, {5, Done}, {7, Refused}} {
		if got := b.Publish(context.Background(), "e", "a", c.version); got.Status != c.want {
			t.Errorf("version %d: %+v, want %s", c.version, got, c.want)
		}
	}
}

func TestPromptSetsAreImmutable(t *testing.T) {
	b := newTestBench(t)
	ctx := context.Background()
	if err := PutPrompts(ctx, b.Store, "q", []string{"one", "two", "three"}); err != nil {
		t.Errorf("same prompts: %v", err)
	}
	if err := PutPrompts(ctx, b.Store, "q", []string{"one"}); err != ErrPromptsExist {
		t.Errorf("different prompts: %v, want ErrPromptsExist", err)
	}
	var many []string
	for i := range 900 {
		many = append(many, strings.Repeat("x", 300)+fmt.Sprint(i))
	}
	if err := PutPrompts(ctx, b.Store, "many", many); err != nil {
		t.Fatal(err)
	}
	if read, err := ReadPrompts(ctx, b.Store, "many"); err != nil || !reflect.DeepEqual(read, many) {
		t.Errorf("read %d of %d prompts: %v", len(read), len(many), err)
	}
}
