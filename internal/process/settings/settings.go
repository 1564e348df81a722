// Package settings loads and validates a node's settings from a YAML file and command-line overrides.
// Each invalid setting is reported with its field, its value and the allowed values.
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

// Settings are the settings of one node.
type Settings struct {
	// Name is the node's name and Zone its zone.
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Region is the node's region and Zones maps zones to regions. Both may be empty in a single-region
	// deployment.
	Region    string       `koanf:"region" validate:"required_with=Zones"`
	Zones     []ZoneRegion `koanf:"zones" validate:"unique=Name,dive"`
	Listen    Listen       `koanf:"listen"`
	Store     Store        `koanf:"store"`
	Orders    Orders       `koanf:"orders"`
	Duties    Duties       `koanf:"duties"`
	Cold      Cold         `koanf:"cold"`
	Tenants   Tenants      `koanf:"tenants"`
	Shutdown  Shutdown     `koanf:"shutdown"`
	Processor Processor    `koanf:"processor"`
	Memory    Memory       `koanf:"memory"`
	Log       Log          `koanf:"log"`
}

// ZoneRegion maps a zone to its region.
type ZoneRegion struct {
	Name   string `koanf:"name" validate:"required"`
	Region string `koanf:"region" validate:"required"`
}

// Topology returns the node's location among the configured zones.
func (s *Settings) Topology() port.Topology {
	topology := port.Topology{Zone: s.Zone, Region: s.Region, Regions: map[string]string{}}
	for _, one := range s.Zones {
		topology.Regions[one.Name] = one.Region
	}
	return topology
}

// Cold limits the requests that all nodes together send to a cold replica within any second to
// Overshoot times the rate given by its service plus Slack.
type Cold struct {
	Overshoot float64 `koanf:"overshoot" validate:"omitempty,min=1,max=1000"`
	Slack     float64 `koanf:"slack" validate:"min=0,max=1000000"`
}

// Listen holds the addresses that the node listens on, each as host:port.
type Listen struct {
	// Requests serves clients. Readiness serves readiness probes.
	Requests  string `koanf:"requests" validate:"required,hostname_port"`
	Readiness string `koanf:"readiness" validate:"required,hostname_port"`
	// Metrics serves the metrics endpoint; empty disables it.
	Metrics string `koanf:"metrics" validate:"omitempty,hostname_port"`
}

// Store configures the connection to the record store.
type Store struct {
	Address string `koanf:"address" validate:"required,hostname_port"`
	// LargeList is the number of replicas from which a node follows the replica list only while it
	// needs it. 0 stands for the number of replicas that fit into one read.
	LargeList int `koanf:"large_list" validate:"min=0,max=1000000"`
}

// Orders configures the version orders to replicas.
type Orders struct {
	// PauseMs is the minimum time between the orders of two lease holders, in milliseconds.
	PauseMs int `koanf:"pause_ms" validate:"min=0,max=600000"`
}

// Pause returns the minimum time between the orders of two lease holders.
func (o Orders) Pause() time.Duration { return time.Duration(o.PauseMs) * time.Millisecond }

// Kinds of platform duties.
const (
	// DutyUsage reports each tenant's usage.
	DutyUsage = "usage_reporting"
	// DutyScaling orders replicas.
	DutyScaling = "autoscaling"
)

// Duties configures the calls to the platform that one node at a time makes.
type Duties struct {
	// Address is the platform's address; empty disables all duties.
	Address string `koanf:"address" validate:"omitempty,hostname_port"`
	// Kinds is the comma-separated list of duties that the platform supports. Unknown kinds are
	// ignored.
	Kinds string `koanf:"kinds" validate:"required_with=Address"`
	// Fenced is set if the platform rejects calls with a lower fencing token than the highest that it
	// has seen.
	Fenced bool `koanf:"fenced"`
	// CallsPerSecond limits the calls of all nodes together.
	CallsPerSecond float64 `koanf:"calls_per_s" validate:"required_with=Address,min=0,max=100000"`
	// UsageWindowS is the length of a usage window and UsageLateS how long after its end the report is
	// due, both in seconds.
	UsageWindowS float64 `koanf:"usage_window_s" validate:"min=0,max=86400"`
	UsageLateS   float64 `koanf:"usage_late_s" validate:"min=0,max=86400"`
}

// Has reports whether the platform supports a kind of duty.
func (d Duties) Has(kind string) bool {
	return d.Address != "" && slices.Contains(strings.Split(d.Kinds, ","), kind)
}

// Seconds converts a setting in seconds to a duration.
func Seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// Tenants configures the revocation of API keys.
type Tenants struct {
	// Strict rejects callers while the configuration is older than RevocationMs, as their keys may have
	// been revoked. Otherwise a node that cannot reach the store uses the configuration it has.
	Strict bool `koanf:"strict"`
	// RevocationMs is the maximum age of the configuration with Strict, in milliseconds.
	RevocationMs int `koanf:"revocation_ms" validate:"min=0,max=600000"`
}

// Revocation returns the maximum age of the configuration with Strict.
func (t Tenants) Revocation() time.Duration { return time.Duration(t.RevocationMs) * time.Millisecond }

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// GraceS is the time from SIGTERM until the process is killed, in seconds; 0 if unknown.
	GraceS float64 `koanf:"grace_s" validate:"min=0,max=86400"`
}

// Grace returns the time from SIGTERM until the process is killed, 0 if unknown.
func (s Shutdown) Grace() time.Duration { return Seconds(s.GraceS) }

// Memory limits the memory of the process.
type Memory struct {
	// LimitMb is the memory limit in megabytes; 0 for no limit.
	LimitMb int `koanf:"limit_mb" validate:"min=0"`
}

// Processor configures the CPU share of the process.
type Processor struct {
	// Share is the number of cores available; 0 if unknown.
	Share float64 `koanf:"share" validate:"min=0,max=1024"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. JSON writes one JSON object per line.
	Level string `koanf:"level" validate:"omitempty,oneof=debug info warn error"`
	JSON  bool   `koanf:"json"`
}

// FieldError describes an invalid setting.
type FieldError struct {
	// Field is the field's path, Value its value and Allowed a description of the allowed values.
	Field, Value, Allowed string
}

func (f FieldError) String() string {
	return fmt.Sprintf("%s: invalid value %q, allowed: %s", f.Field, f.Value, f.Allowed)
}

// Error lists all invalid settings.
type Error struct{ Fields []FieldError }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Fields))
	for _, field := range e.Fields {
		lines = append(lines, field.String())
	}
	return strings.Join(lines, "\n")
}

// Load parses YAML, applies overrides keyed by field path, and validates the result.
func Load(content []byte, overrides map[string]any) (*Settings, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		return nil, &Error{Fields: []FieldError{{Field: "(file)", Value: firstLine(err.Error()), Allowed: "a YAML mapping"}}}
	}
	if err := k.Load(confmap.Provider(overrides, "."), nil); err != nil {
		return nil, fmt.Errorf("flags: %w", err)
	}
	var loaded Settings
	if invalid := unmarshal(k, &loaded); len(invalid) > 0 {
		return nil, &Error{Fields: invalid}
	}
	if invalid := checkFields(&loaded); len(invalid) > 0 {
		return nil, &Error{Fields: invalid}
	}
	return &loaded, nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// unmarshal rejects unknown fields, so that a misspelled field is not silently replaced by its default.
func unmarshal(k *koanf.Koanf, into any) []FieldError {
	config := koanf.UnmarshalConf{Tag: "koanf", DecoderConfig: decoder(into)}
	if err := k.UnmarshalWithConf("", into, config); err != nil {
		return []FieldError{{Field: "(file)", Value: strings.ReplaceAll(err.Error(), "\n", " "), Allowed: "the fields and types in docs/SETTINGS.md"}}
	}
	return nil
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(tagName)
	return v
}

func checkFields(s any) []FieldError {
	err := validate.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var fields []FieldError
	for _, one := range invalid {
		_, path, _ := strings.Cut(one.Namespace(), ".")
		fields = append(fields, FieldError{Field: path, Value: fmt.Sprint(one.Value()), Allowed: allowed(one)})
	}
	return fields
}

func allowed(one validator.FieldError) string {
	switch one.Tag() {
	case "required", "required_with":
		return "a non-empty value (required)"
	case "hostname_port":
		return "host:port"
	case "oneof":
		return "one of: " + strings.ReplaceAll(one.Param(), " ", ", ")
	case "unique":
		return "entries with a unique " + strings.ToLower(one.Param())
	case "min":
		return "at least " + one.Param()
	case "max":
		return "at most " + one.Param()
	}
	return one.Tag() + " " + one.Param()
}

// String returns the name and the zone of the node.
func (s *Settings) String() string { return fmt.Sprintf("node %q in zone %q", s.Name, s.Zone) }
