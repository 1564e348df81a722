// Package access authenticates callers by their API keys. It reads no clock and performs no I/O.
package access

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// maxKeyAge is the maximum age of the configuration by which a key can be rejected as unknown. A node
// with an older configuration may not have received a new key yet, so the caller is referred to another
// node.
const maxKeyAge = 3200 * time.Millisecond

// Tenants looks up tenants in one version of the configuration.
type Tenants interface {
	// HasTenants reports whether tenants are configured.
	HasTenants() bool
	// Tenant returns the name of the tenant that owns a key.
	Tenant(key port.KeyDigest) (name string, known bool)
}

// Policy configures the handling of possibly revoked keys.
type Policy struct {
	// Strict rejects callers with a key once the configuration is as old as Revocation.
	Strict     bool
	Revocation time.Duration
}

// Call holds the credentials of a call.
type Call struct {
	// Key is the digest of the API key, valid if HasKey is set.
	Key    port.KeyDigest
	HasKey bool
	// Anonymous reports that the call requires no key.
	Anonymous bool
}

// Caller identifies the caller of a call.
type Caller struct {
	// Tenant is the caller's tenant, empty without a key or without tenants.
	Tenant string
	// TenantsConfigured reports that tenants are configured.
	TenantsConfigured bool
}

// MayAccess reports whether the caller may access a resource of a tenant: its own or one without a
// tenant.
func (c Caller) MayAccess(tenant string) bool {
	return !c.TenantsConfigured || tenant == "" || tenant == c.Tenant
}

// Verdict is the result of authenticating a call.
type Verdict int

const (
	// Admitted callers may make the call.
	Admitted Verdict = iota
	// NoKey means that the call requires a key and has none.
	NoKey
	// UnknownKey means that no tenant owns the key.
	UnknownKey
	// Unconfirmed means that this node's configuration is too old to decide; another node may be able
	// to.
	Unconfirmed
)

// Authenticate authenticates a call. age is the time since the configuration was last confirmed by the
// store. Without tenants every caller is admitted; with tenants, callers without a known key are
// admitted only if the call is anonymous.
func (p Policy) Authenticate(tenants Tenants, call Call, age time.Duration) (Caller, Verdict) {
	if !tenants.HasTenants() {
		return Caller{}, Admitted
	}
	caller, known := Caller{TenantsConfigured: true}, false
	if call.HasKey {
		caller.Tenant, known = tenants.Tenant(call.Key)
	}
	switch {
	case known && p.Strict && age >= p.Revocation:
		return caller, Unconfirmed
	case known || call.Anonymous:
		return caller, Admitted
	case !call.HasKey:
		return caller, NoKey
	case age > maxKeyAge:
		return caller, Unconfirmed
	}
	return caller, UnknownKey
}
