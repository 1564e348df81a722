package settings

import (
	"fmt"
	"time"

	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// Cluster are the settings of a node that shares its state through the platform's
// record store.
type Cluster struct {
	// Name is the node's name, Zone its zone.
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Listen are the addresses that the node listens on, host and port.
	Listen ClusterListen `koanf:"listen"`
	// Store is where the record store is.
	Store Store `koanf:"store"`
	// Orders bound the orders to replicas.
	Orders Orders `koanf:"orders"`
	// Memory bounds the process.
	Memory Memory `koanf:"memory"`
	// Log configures the log.
	Log Log `koanf:"log"`
}

// ClusterListen are addresses to listen on.
type ClusterListen struct {
	// Requests takes clients, Readiness the question whether the node wants them.
	Requests  string `koanf:"requests" validate:"required,hostname_port"`
	Readiness string `koanf:"readiness" validate:"required,hostname_port"`
	// Metrics serves the process's figures; empty serves none.
	Metrics string `koanf:"metrics" validate:"omitempty,hostname_port"`
}

// Store says where the record store is.
type Store struct {
	Address string `koanf:"address" validate:"required,hostname_port"`
}

// Orders bound the orders to replicas.
type Orders struct {
	// PauseMs is the least time between the orders of two holders, in milliseconds.
	PauseMs int `koanf:"pause_ms" validate:"min=0,max=600000"`
}

// Pause returns the least time between the orders of two holders.
func (o Orders) Pause() time.Duration { return time.Duration(o.PauseMs) * time.Millisecond }

// Memory bounds the process.
type Memory struct {
	// LimitMb is the memory that the process may use, in megabytes; 0 for no bound.
	LimitMb int `koanf:"limit_mb" validate:"min=0"`
}

// IsCluster reports whether a settings file is that of a node on a record store.
func IsCluster(content []byte) bool {
	k := koanf.New(".")
	return k.Load(rawbytes.Provider(content), yaml.Parser()) == nil && k.Exists("store")
}

// LoadCluster parses YAML and checks the result.
func LoadCluster(content []byte) (*Cluster, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		return nil, &Error{Faults: []Fault{{Field: "(file)", Value: firstLine(err.Error()), Allowed: "a YAML mapping"}}}
	}
	var loaded Cluster
	if faults := unmarshal(k, &loaded); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	if faults := checkFields(&loaded); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return &loaded, nil
}

// String names the node.
func (c *Cluster) String() string { return fmt.Sprintf("node %q in zone %q", c.Name, c.Zone) }
