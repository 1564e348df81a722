package configuration

import (
	"fmt"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// Bounds and defaults of an experiment's settings.
const (
	// MaxSamples is the maximum number of samples per step.
	MaxSamples = 65536
	// MaxTokens is the maximum number of tokens per rollout.
	MaxTokens = 1 << 20
	// MaxExperiments is the maximum number of experiments. All of them are held in memory by
	// every node.
	MaxExperiments = 64

	defaultSamples        = 32
	defaultStalenessBound = 2
	defaultIdleWeight     = 50
	defaultMaxTokens      = 512
	defaultShare          = 1
	maxWeight             = 100
	// noService is the value of a setting that removes a service.
	noService = "none"
)

// Apply returns a copy of the configuration with the command applied.
func Apply(current *doorstepv1.Configuration, command *port.Command) (*doorstepv1.Configuration, error) {
	next := proto.Clone(current).(*doorstepv1.Configuration)
	next.Revision++
	if err := applyCommand(next, command); err != nil {
		return nil, err
	}
	return next, nil
}

func applyCommand(next *doorstepv1.Configuration, command *port.Command) error {
	switch command.Kind {
	case port.CreateExperiment:
		return createExperiment(next, command)
	case port.AlterExperiment:
		return alterExperiment(next, command)
	case port.DeleteExperiment:
		return deleteExperiment(next, command)
	case port.SwapPolicy:
		return swapPolicy(next, command)
	case port.RunBeside:
		return runBeside(next, command)
	case port.PauseExperiment:
		return setState(next, command, doorstepv1.ExperimentState_EXPERIMENT_STATE_PAUSED)
	case port.ResumeExperiment:
		return setState(next, command, doorstepv1.ExperimentState_EXPERIMENT_STATE_RUNNING)
	case port.StopExperiment:
		return setState(next, command, doorstepv1.ExperimentState_EXPERIMENT_STATE_STOPPED)
	case port.DrainTarget:
		return drain(next, command.Drain)
	case port.UndrainTarget:
		return undrain(next, command.Drain)
	case port.LiftQuarantine:
		return liftQuarantine(next, command)
	}
	return fmt.Errorf("command %q does not change the configuration", command.Kind)
}

// FindExperiment returns the experiment with the given name, or nil.
func FindExperiment(c *doorstepv1.Configuration, name string) *doorstepv1.Experiment {
	for _, experiment := range c.GetExperiments() {
		if experiment.Name == name {
			return experiment
		}
	}
	return nil
}

func createExperiment(next *doorstepv1.Configuration, command *port.Command) error {
	if FindExperiment(next, command.Experiment) != nil {
		return fmt.Errorf("experiment %q exists already; use alter experiment", command.Experiment)
	}
	if len(next.Experiments) >= MaxExperiments {
		return fmt.Errorf("there are %d experiments already, the most allowed", MaxExperiments)
	}
	experiment := &doorstepv1.Experiment{
		Name:           command.Experiment,
		Samples:        defaultSamples,
		StalenessBound: defaultStalenessBound,
		IdleWeight:     defaultIdleWeight,
		MaxTokens:      defaultMaxTokens,
		Share:          defaultShare,
		State:          doorstepv1.ExperimentState_EXPERIMENT_STATE_RUNNING,
	}
	if err := applySettings(experiment, command.Settings); err != nil {
		return err
	}
	if err := checkExperiment(next, experiment); err != nil {
		return err
	}
	next.Experiments = append(next.Experiments, experiment)
	return nil
}

func alterExperiment(next *doorstepv1.Configuration, command *port.Command) error {
	experiment := FindExperiment(next, command.Experiment)
	if experiment == nil {
		return unknownExperiment(command.Experiment)
	}
	if err := applySettings(experiment, command.Settings); err != nil {
		return err
	}
	return checkExperiment(next, experiment)
}

func unknownExperiment(name string) error {
	return fmt.Errorf("there is no experiment %q", name)
}

func applySettings(experiment *doorstepv1.Experiment, settings []port.Setting) error {
	for _, setting := range settings {
		if err := applySetting(experiment, setting); err != nil {
			return err
		}
	}
	return nil
}

func applySetting(experiment *doorstepv1.Experiment, setting port.Setting) error {
	if setting.Name == "trainers" {
		experiment.Trainers = setting.Values
		return nil
	}
	if len(setting.Values) != 1 {
		return fmt.Errorf("%s takes one value, not %d", setting.Name, len(setting.Values))
	}
	value := setting.Values[0]
	switch setting.Name {
	case "policy":
		experiment.Policy = value
	case "service":
		experiment.Service = value
	case "prompts":
		experiment.Prompts = value
	case "scoring":
		experiment.Scoring = value
		if value == noService {
			experiment.Scoring = ""
		}
	case "samples":
		return setNumber(setting.Name, value, 1, MaxSamples, func(n int64) { experiment.Samples = uint32(n) })
	case "staleness":
		return setNumber(setting.Name, value, 0, 1<<20, func(n int64) { experiment.StalenessBound = n })
	case "idle_weight":
		return setNumber(setting.Name, value, 0, maxWeight, func(n int64) { experiment.IdleWeight = uint32(n) })
	case "max_tokens":
		return setNumber(setting.Name, value, 1, MaxTokens, func(n int64) { experiment.MaxTokens = uint32(n) })
	case "share":
		return setNumber(setting.Name, value, 1, maxWeight, func(n int64) { experiment.Share = uint32(n) })
	case "min_version":
		return setNumber(setting.Name, value, 0, 1<<40, func(n int64) { experiment.MinVersion = n })
	case "max_version":
		return setNumber(setting.Name, value, 0, 1<<40, func(n int64) { experiment.MaxVersion = n })
	default:
		return fmt.Errorf("unknown setting %q", setting.Name)
	}
	return nil
}

func setNumber(name, value string, minimum, maximum int64, set func(int64)) error {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < minimum || number > maximum {
		return fmt.Errorf("%s is %q; allowed is a whole number from %d to %d", name, value, minimum, maximum)
	}
	set(number)
	return nil
}

func checkExperiment(c *doorstepv1.Configuration, experiment *doorstepv1.Experiment) error {
	required := []struct{ name, value string }{
		{"policy", experiment.Policy},
		{"service", experiment.Service},
		{"prompts", experiment.Prompts},
	}
	for _, field := range required {
		if field.value == "" {
			return fmt.Errorf("experiment %q needs %s", experiment.Name, field.name)
		}
	}
	if len(experiment.Trainers) == 0 {
		return fmt.Errorf("experiment %q needs trainers", experiment.Name)
	}
	if experiment.MaxVersion != 0 && experiment.MaxVersion < experiment.MinVersion {
		return fmt.Errorf("max_version %d is below min_version %d", experiment.MaxVersion, experiment.MinVersion)
	}
	for _, other := range c.Experiments {
		if other.Name != experiment.Name && other.Policy == experiment.Policy {
			return fmt.Errorf("policy %q belongs to experiment %q", experiment.Policy, other.Name)
		}
	}
	return nil
}

func deleteExperiment(next *doorstepv1.Configuration, command *port.Command) error {
	if FindExperiment(next, command.Experiment) == nil {
		return unknownExperiment(command.Experiment)
	}
	next.Experiments = slices.DeleteFunc(next.Experiments, func(e *doorstepv1.Experiment) bool {
		return e.Name == command.Experiment
	})
	return nil
}

func swapPolicy(next *doorstepv1.Configuration, command *port.Command) error {
	experiment := FindExperiment(next, command.Experiment)
	if experiment == nil {
		return unknownExperiment(command.Experiment)
	}
	if experiment.Policy != command.From {
		return fmt.Errorf("experiment %q runs policy %q, not %q", experiment.Name, experiment.Policy, command.From)
	}
	experiment.Policy = command.To
	return checkExperiment(next, experiment)
}

func runBeside(next *doorstepv1.Configuration, command *port.Command) error {
	first := FindExperiment(next, command.Experiment)
	if first == nil {
		return unknownExperiment(command.Experiment)
	}
	second := FindExperiment(next, command.OtherExperiment)
	if second == nil {
		return unknownExperiment(command.OtherExperiment)
	}
	if first.Service != second.Service {
		return fmt.Errorf("experiments %q and %q use different services", first.Name, second.Name)
	}
	if command.Share == 0 || command.OtherShare == 0 {
		return fmt.Errorf("shares must be at least 1")
	}
	first.Share = command.Share
	second.Share = command.OtherShare
	first.State = doorstepv1.ExperimentState_EXPERIMENT_STATE_RUNNING
	second.State = doorstepv1.ExperimentState_EXPERIMENT_STATE_RUNNING
	return nil
}

func setState(next *doorstepv1.Configuration, command *port.Command, state doorstepv1.ExperimentState) error {
	experiment := FindExperiment(next, command.Experiment)
	if experiment == nil {
		return unknownExperiment(command.Experiment)
	}
	experiment.State = state
	return nil
}

func sameDrain(a, b *doorstepv1.Drain) bool { return a.Kind == b.Kind && a.Name == b.Name }

// IsDrained reports whether the target is drained.
func IsDrained(c *doorstepv1.Configuration, kind doorstepv1.DrainKind, name string) bool {
	target := &doorstepv1.Drain{Kind: kind, Name: name}
	return slices.ContainsFunc(c.GetDrains(), func(d *doorstepv1.Drain) bool { return sameDrain(d, target) })
}

func drain(next *doorstepv1.Configuration, target *doorstepv1.Drain) error {
	if IsDrained(next, target.Kind, target.Name) {
		return fmt.Errorf("%q is drained already", target.Name)
	}
	next.Drains = append(next.Drains, target)
	return nil
}

func undrain(next *doorstepv1.Configuration, target *doorstepv1.Drain) error {
	if !IsDrained(next, target.Kind, target.Name) {
		return fmt.Errorf("%q is not drained", target.Name)
	}
	next.Drains = slices.DeleteFunc(next.Drains, func(d *doorstepv1.Drain) bool { return sameDrain(d, target) })
	return nil
}
