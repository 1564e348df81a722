// Package settings loads and checks a node's settings from a YAML file with flags
// laid over it. Every fault is reported with its field, its value and what is
// allowed.
package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"github.com/doorstep/doorstep/internal/process/membership"
	"github.com/doorstep/doorstep/internal/request/routing"
)

// Role says what an access token may do.
type Role string

const (
	// RoleCaller may send requests.
	RoleCaller Role = "caller"
	// RoleTrainer may pull steps and publish versions.
	RoleTrainer Role = "trainer"
	// RoleOperator may run statements.
	RoleOperator Role = "operator"
)

// Settings are one node's.
type Settings struct {
	// Name is the node's name in the roster, Zone its zone.
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Listen are the addresses that the node listens on, host and port.
	Listen Listen `koanf:"listen"`
	// Roster lists every node, this one among them, alike on all nodes.
	Roster []Member `koanf:"roster" validate:"required,min=1,dive"`
	// Platform says where the platform's services are.
	Platform Platform `koanf:"platform"`
	// Tokens are the access tokens.
	Tokens []Token `koanf:"tokens" validate:"dive"`
	// PeerTLS secures the traffic between nodes with mutual TLS, HTTPTLS serves
	// HTTPS; both are optional.
	PeerTLS *TLS `koanf:"peer_tls" validate:"omitempty"`
	HTTPTLS *TLS `koanf:"http_tls" validate:"omitempty"`
	// Routing is how replicas are chosen: balanced unless set to a baseline.
	Routing routing.Choice `koanf:"routing" validate:"omitempty,oneof=balanced round-robin random least-loaded"`
	// Log configures the log.
	Log Log `koanf:"log"`
}

// Listen are addresses to listen on.
type Listen struct {
	// Peer takes other nodes, HTTP takes callers, trainers and operators.
	Peer string `koanf:"peer" validate:"required,hostname_port"`
	HTTP string `koanf:"http" validate:"required,hostname_port"`
}

// Member is one node of the roster.
type Member struct {
	// Name, Zone and Address say who and where; the address takes peers.
	Name    string `koanf:"name" validate:"required"`
	Zone    string `koanf:"zone" validate:"required"`
	Address string `koanf:"address" validate:"required,hostname_port"`
}

// Platform are the URLs of the platform's services.
type Platform struct {
	// Table, Objects, Machines and Scorer are base URLs.
	Table    string `koanf:"table" validate:"required,http_url"`
	Objects  string `koanf:"objects" validate:"required,http_url"`
	Machines string `koanf:"machines" validate:"required,http_url"`
	Scorer   string `koanf:"scorer" validate:"required,http_url"`
}

// Token is an access token.
type Token struct {
	// Token is the secret, Role what it may do.
	Token string `koanf:"token" validate:"required,min=8"`
	Role  Role   `koanf:"role" validate:"required,oneof=caller trainer operator"`
	// Name is the tenant, the trainer or the operator.
	Name string `koanf:"name" validate:"required"`
}

// TLS names PEM files that are read once at the start.
type TLS struct {
	// Certificate and Key are the node's own, Authority signs its peers'.
	Certificate string `koanf:"certificate" validate:"required,file"`
	Key         string `koanf:"key" validate:"required,file"`
	Authority   string `koanf:"authority" validate:"omitempty,file"`
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
	faults := append(checkFields(&loaded), checkTogether(&loaded)...)
	if len(faults) > 0 {
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
		faults = append(faults, Fault{Field: path, Value: shown(path, one.Value()), Allowed: allowed(one)})
	}
	return faults
}

// shown hides secrets.
func shown(path string, value any) string {
	if strings.HasPrefix(path, "tokens") && strings.HasSuffix(path, ".token") {
		return "(hidden)"
	}
	return fmt.Sprint(value)
}

func allowed(one validator.FieldError) string {
	switch one.Tag() {
	case "required":
		return "a value: the field is required"
	case "hostname_port":
		return "host:port"
	case "http_url":
		return "an http:// or https:// URL"
	case "oneof":
		return "one of: " + strings.ReplaceAll(one.Param(), " ", ", ")
	case "file":
		return "the path of a file that exists"
	case "min":
		return "at least " + one.Param() + " long"
	}
	return one.Tag() + " " + one.Param()
}

func checkTogether(s *Settings) []Fault {
	var faults []Fault
	names := map[string]bool{}
	for i, member := range s.Roster {
		if names[member.Name] {
			faults = append(faults, Fault{Field: fmt.Sprintf("roster[%d].name", i), Value: member.Name, Allowed: "a name that stands once"})
		}
		names[member.Name] = true
	}
	index := slices.IndexFunc(s.Roster, func(m Member) bool { return m.Name == s.Name })
	if s.Name != "" && index < 0 {
		faults = append(faults, Fault{Field: "name", Value: s.Name, Allowed: "a name in roster"})
	}
	if index >= 0 && s.Roster[index].Zone != s.Zone {
		faults = append(faults, Fault{Field: "zone", Value: s.Zone, Allowed: "the zone that roster gives: " + s.Roster[index].Zone})
	}
	secrets := map[string]bool{}
	for i, token := range s.Tokens {
		if secrets[token.Token] {
			faults = append(faults, Fault{Field: fmt.Sprintf("tokens[%d].token", i), Value: "(hidden)", Allowed: "a token that stands once"})
		}
		secrets[token.Token] = true
	}
	if s.PeerTLS != nil && s.PeerTLS.Authority == "" {
		faults = append(faults, Fault{Field: "peer_tls.authority", Value: "", Allowed: "the path of a file that exists: peers prove themselves both ways"})
	}
	if !loopback(s.Listen.HTTP) && len(s.Tokens) == 0 {
		faults = append(faults, Fault{Field: "tokens", Value: "", Allowed: "at least one token, unless listen.http is on loopback"})
	}
	return faults
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// MembershipRoster returns the roster as package membership takes it.
func (s *Settings) MembershipRoster() *membership.Roster {
	var entries []membership.Entry
	for _, member := range s.Roster {
		entries = append(entries, membership.Entry{Name: member.Name, Zone: member.Zone, Address: member.Address})
	}
	return membership.NewRoster(entries)
}
