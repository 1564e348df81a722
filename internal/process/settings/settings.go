// Package settings loads and checks a node's settings from a YAML file with flags
// laid over it. Every fault is reported with its field, its value and what is
// allowed.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"github.com/doorstep/doorstep/internal/port"
)

// Settings are one node's.
type Settings struct {
	// Name is the node's name, Zone its zone.
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Region is the node's region, Zones tell that of each zone; both may be empty in a deployment of
	// one region.
	Region string       `koanf:"region" validate:"required_with=Zones"`
	Zones  []ZoneRegion `koanf:"zones" validate:"unique=Name,dive"`
	// Listen are the addresses that the node listens on, host and port.
	Listen Listen `koanf:"listen"`
	// Store is where the record store is.
	Store Store `koanf:"store"`
	// Orders bound the orders to replicas.
	Orders Orders `koanf:"orders"`
	// Duties are the calls to the platform that one node at a time makes.
	Duties Duties `koanf:"duties"`
	// Cold bounds what cold replicas get.
	Cold Cold `koanf:"cold"`
	// Tenants say how callers' keys are taken away.
	Tenants Tenants `koanf:"tenants"`
	// Processor is what the process may use of it.
	Processor Processor `koanf:"processor"`
	// Memory bounds the process.
	Memory Memory `koanf:"memory"`
	// Log configures the log.
	Log Log `koanf:"log"`
}

// ZoneRegion names a zone and the region that it lies in.
type ZoneRegion struct {
	Name   string `koanf:"name" validate:"required"`
	Region string `koanf:"region" validate:"required"`
}

// Topology returns where the node stands among the zones.
func (s *Settings) Topology() port.Topology {
	topology := port.Topology{Zone: s.Zone, Region: s.Region, Regions: map[string]string{}}
	for _, one := range s.Zones {
		topology.Regions[one.Name] = one.Region
	}
	return topology
}

// Cold bounds the requests that a cold replica gets in any second, of all nodes together: Overshoot
// times the rate that its service names, and Slack more.
type Cold struct {
	Overshoot float64 `koanf:"overshoot" validate:"omitempty,min=1,max=1000"`
	Slack     float64 `koanf:"slack" validate:"min=0,max=1000000"`
}

// Listen are addresses to listen on.
type Listen struct {
	// Requests takes clients, Readiness the question whether the node wants them.
	Requests  string `koanf:"requests" validate:"required,hostname_port"`
	Readiness string `koanf:"readiness" validate:"required,hostname_port"`
	// Metrics serves the process's figures; empty serves none.
	Metrics string `koanf:"metrics" validate:"omitempty,hostname_port"`
}

// Store says where the record store is.
type Store struct {
	Address string `koanf:"address" validate:"required,hostname_port"`
	// LargeList is from how many replicas on a node follows the list of them only while it has use for
	// it; 0 is the number that one call reads.
	LargeList int `koanf:"large_list" validate:"min=0,max=1000000"`
}

// Orders bound the orders to replicas.
type Orders struct {
	// PauseMs is the least time between the orders of two holders, in milliseconds.
	PauseMs int `koanf:"pause_ms" validate:"min=0,max=600000"`
}

// Pause returns the least time between the orders of two holders.
func (o Orders) Pause() time.Duration { return time.Duration(o.PauseMs) * time.Millisecond }

// Kinds of duties.
const (
	// DutyUsage is to report each tenant's use.
	DutyUsage = "usage_reporting"
	// DutyScaling is to order replicas.
	DutyScaling = "autoscaling"
)

// Duties are the calls to the platform that one node at a time makes.
type Duties struct {
	// Address is where they go; empty for a platform without duties.
	Address string `koanf:"address" validate:"omitempty,hostname_port"`
	// Kinds lists those that the platform has, by commas. Unknown ones are left to others.
	Kinds string `koanf:"kinds" validate:"required_with=Address"`
	// Fenced says that the platform refuses calls under an older fence than it has seen.
	Fenced bool `koanf:"fenced"`
	// CallsPerSecond bounds the calls of all nodes together.
	CallsPerSecond float64 `koanf:"calls_per_s" validate:"required_with=Address,min=0,max=100000"`
	// UsageWindowS is the length of a window of use, UsageLateS how long after its end its
	// report is due, in seconds.
	UsageWindowS float64 `koanf:"usage_window_s" validate:"min=0,max=86400"`
	UsageLateS   float64 `koanf:"usage_late_s" validate:"min=0,max=86400"`
}

// Has reports whether the platform has a kind of duty.
func (d Duties) Has(kind string) bool {
	return d.Address != "" && slices.Contains(strings.Split(d.Kinds, ","), kind)
}

// Seconds turns a setting in seconds into a duration.
func Seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// Tenants say how callers' keys are taken away.
type Tenants struct {
	// Strict refuses callers while the configuration is older than RevocationMs, as their keys
	// may be gone; else a node that can't reach the store goes on by what it knows.
	Strict bool `koanf:"strict"`
	// RevocationMs is how old the configuration may be with Strict, in milliseconds.
	RevocationMs int `koanf:"revocation_ms" validate:"min=0,max=600000"`
}

// Revocation returns how old the configuration may be where keys are strict.
func (t Tenants) Revocation() time.Duration { return time.Duration(t.RevocationMs) * time.Millisecond }

// Memory bounds the process.
type Memory struct {
	// LimitMb is the memory that the process may use, in megabytes; 0 for no bound.
	LimitMb int `koanf:"limit_mb" validate:"min=0"`
}

// Processor is what the process may use of it.
type Processor struct {
	// Share is in cores; 0 where that is not known.
	Share float64 `koanf:"share" validate:"min=0,max=1024"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error; JSON writes one object a line.
	Level string `koanf:"level" validate:"omitempty,oneof=debug info warn error"`
	JSON  bool   `koanf:"json"`
}

// Fault is one thing wrong with the settings.
type Fault struct {
	// Field is the field's path, Value what it holds, Allowed what it may hold.
	Field, Value, Allowed string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s is %q; allowed is %s", f.Field, f.Value, f.Allowed)
}

// Error lists every fault of the settings.
type Error struct{ Faults []Fault }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Load parses YAML, lays overrides (by field path) over it, and checks the result.
func Load(content []byte, overrides map[string]any) (*Settings, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		return nil, &Error{Faults: []Fault{{Field: "(file)", Value: firstLine(err.Error()), Allowed: "a YAML mapping"}}}
	}
	if err := k.Load(confmap.Provider(overrides, "."), nil); err != nil {
		return nil, fmt.Errorf("flags: %w", err)
	}
	var loaded Settings
	if faults := unmarshal(k, &loaded); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	if faults := checkFields(&loaded); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return &loaded, nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// unmarshal refuses fields that do not exist, so that a slip of the pen is not
// taken for a default.
func unmarshal(k *koanf.Koanf, into any) []Fault {
	config := koanf.UnmarshalConf{Tag: "koanf", DecoderConfig: decoder(into)}
	if err := k.UnmarshalWithConf("", into, config); err != nil {
		return []Fault{{Field: "(file)", Value: strings.ReplaceAll(err.Error(), "\n", " "), Allowed: "the fields in docs/SETTINGS.md, each of its type"}}
	}
	return nil
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(tagName)
	return v
}

func checkFields(s any) []Fault {
	err := validate.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var faults []Fault
	for _, one := range invalid {
		_, path, _ := strings.Cut(one.Namespace(), ".")
		faults = append(faults, Fault{Field: path, Value: fmt.Sprint(one.Value()), Allowed: allowed(one)})
	}
	return faults
}

func allowed(one validator.FieldError) string {
	switch one.Tag() {
	case "required", "required_with":
		return "a value: the field is required"
	case "hostname_port":
		return "host:port"
	case "oneof":
		return "one of: " + strings.ReplaceAll(one.Param(), " ", ", ")
	case "unique":
		return "each " + strings.ToLower(one.Param()) + " once"
	case "min":
		return "at least " + one.Param()
	case "max":
		return "at most " + one.Param()
	}
	return one.Tag() + " " + one.Param()
}

// String names the node.
func (s *Settings) String() string { return fmt.Sprintf("node %q in zone %q", s.Name, s.Zone) }
