// Package access decides which callers are let in, by their API keys. It reads no clock and does
// no I/O.
package access

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// confirmedWithin is how old the configuration may be by which a key counts as unknown: four
// times as old as its watch lets it become while the store answers. A node that can't ask the
// store may not have heard of a new key yet, so the caller is sent to another node.
const confirmedWithin = 3200 * time.Millisecond

// Tenants are those of one version of the configuration.
type Tenants interface {
	// HasTenants reports whether callers are told apart by their keys.
	HasTenants() bool
	// Tenant returns the name of the tenant that holds a key.
	Tenant(key port.KeyDigest) (name string, known bool)
}

// Policy says how keys that are taken away are treated.
type Policy struct {
	// Strict refuses callers with a key while the configuration is as old as Revocation.
	Strict     bool
	Revocation time.Duration
}

// Call is what a caller shows.
type Call struct {
	// Key is the digest of its key, if Given is set.
	Key   port.KeyDigest
	Given bool
	// Anonymous says that the call needs no key.
	Anonymous bool
}

// Caller is who makes a call.
type Caller struct {
	// Tenant is the caller's, empty without a key and where there are no tenants.
	Tenant string
	// Told says that the configuration tells callers apart.
	Told bool
}

// MayUse reports whether a caller may see what belongs to a tenant: its own, or nobody's.
func (c Caller) MayUse(tenant string) bool { return !c.Told || tenant == "" || tenant == c.Tenant }

// Verdict says whether a caller is let in.
type Verdict int

const (
	// Admitted callers are let in.
	Admitted Verdict = iota
	// NoKey means that the call needs a key and has none.
	NoKey
	// UnknownKey means that no tenant holds the key.
	UnknownKey
	// Unconfirmed means that the key can't be judged for now: another node may.
	Unconfirmed
)

// Judge finds the caller of a call and whether it is let in. age is how long the configuration
// has not been confirmed by the store. Where there are no tenants every caller is let in, and so
// is one without a key, or with an unknown one, if anonymous callers are allowed.
func (p Policy) Judge(tenants Tenants, call Call, age time.Duration) (Caller, Verdict) {
	if !tenants.HasTenants() {
		return Caller{}, Admitted
	}
	who, known := Caller{Told: true}, false
	if call.Given {
		who.Tenant, known = tenants.Tenant(call.Key)
	}
	switch {
	case known && p.Strict && age >= p.Revocation:
		return who, Unconfirmed
	case known || call.Anonymous:
		return who, Admitted
	case !call.Given:
		return who, NoKey
	case age > confirmedWithin:
		return who, Unconfirmed
	}
	return who, UnknownKey
}
