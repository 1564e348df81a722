package access

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// keys maps API keys to tenants.
type keys map[port.KeyDigest]string

func (k keys) HasTenants() bool { return k != nil }

func (k keys) Tenant(key port.KeyDigest) (string, bool) {
	name, known := k[key]
	return name, known
}

func TestAuthenticate(t *testing.T) {
	red := keys{port.DigestKey("r"): "red"}
	known := Call{Key: port.DigestKey("r"), HasKey: true}
	unknown := Call{Key: port.DigestKey("x"), HasKey: true}
	anonymous := func(call Call) Call {
		call.Anonymous = true
		return call
	}
	strict := Policy{Strict: true, Revocation: time.Second}
	for _, c := range []struct {
		name    string
		policy  Policy
		tenants keys
		call    Call
		age     time.Duration
		tenant  string
		verdict Verdict
	}{
		{"no tenants", Policy{}, nil, unknown, time.Hour, "", Admitted},
		{"no tenants, strict", strict, nil, Call{}, time.Hour, "", Admitted},
		{"known key", Policy{}, red, known, 0, "red", Admitted},
		{"known key, stale configuration", Policy{}, red, known, time.Hour, "red", Admitted},
		{"known key, strict", strict, red, known, time.Second - 1, "red", Admitted},
		{"known key, strict, stale configuration", strict, red, known, time.Second, "red", Unconfirmed},
		{"known key on an anonymous call, strict, stale configuration", strict, red, anonymous(known), time.Second, "red", Unconfirmed},
		{"no key", Policy{}, red, Call{}, 0, "", NoKey},
		{"no key, stale configuration", strict, red, Call{}, time.Hour, "", NoKey},
		{"no key on an anonymous call", strict, red, anonymous(Call{}), time.Hour, "", Admitted},
		{"unknown key", Policy{}, red, unknown, maxKeyAge, "", UnknownKey},
		{"unknown key, stale configuration", Policy{}, red, unknown, maxKeyAge + 1, "", Unconfirmed},
		{"unknown key on an anonymous call", Policy{}, red, anonymous(unknown), time.Hour, "", Admitted},
		{"no keys configured", Policy{}, keys{}, known, 0, "", UnknownKey},
	} {
		caller, verdict := c.policy.Authenticate(c.tenants, c.call, c.age)
		if caller.Tenant != c.tenant || verdict != c.verdict || caller.TenantsConfigured != (c.tenants != nil) {
			t.Errorf("%s: got %+v, verdict %d, want %q, %d", c.name, caller, verdict, c.tenant, c.verdict)
		}
	}
}

func TestMayAccess(t *testing.T) {
	for _, c := range []struct {
		caller Caller
		tenant string
		want   bool
	}{
		{Caller{}, "red", true}, {Caller{TenantsConfigured: true, Tenant: "red"}, "red", true}, {Caller{TenantsConfigured: true, Tenant: "red"}, "blue", false},
		{Caller{TenantsConfigured: true}, "blue", false}, {Caller{TenantsConfigured: true}, "", true},
	} {
		if c.caller.MayAccess(c.tenant) != c.want {
			t.Errorf("%+v may access %q: want %t", c.caller, c.tenant, c.want)
		}
	}
}
