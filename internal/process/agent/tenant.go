package agent

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/version/routes"
)

// keyConfirmedWithin is how old the configuration may be by which a key counts as unknown: four
// times as old as its watch lets it become while the store answers. A node that can't ask the
// store may not have heard of a new key yet, so the caller is sent to another node.
const keyConfirmedWithin = 3200 * time.Millisecond

// Reasons of refusals for the sake of a caller's key.
const (
	reasonNoKey       = "an API key is needed"
	reasonUnknownKey  = "the API key is not known"
	reasonUnconfirmed = "the API key can't be confirmed at present"
)

// caller is who makes a call.
type caller struct {
	// tenant is the caller's, empty without a key and where there are no tenants.
	tenant string
	// tenants says that the configuration tells callers apart.
	tenants bool
}

// keyRefusal is why a caller is not let in, with the answer that it gets.
type keyRefusal struct {
	status int
	after  time.Duration
	reason string
}

// identify finds the tenant of a call by its key. Where there are no tenants every caller is
// let in, and so is one without a key, or with an unknown one, if anonymous callers are allowed.
func (a *Agent) identify(table *routes.Table, header http.Header, anonymous bool) (caller, *keyRefusal) {
	if !table.HasTenants() {
		return caller{}, nil
	}
	who := caller{tenants: true}
	key, given := a.protocol.Key(header)
	known := false
	if given {
		who.tenant, known = table.Tenant(key)
	}
	age := a.configurationAge()
	switch {
	case known && a.settings.Tenants.Strict && age >= a.settings.Tenants.Revocation():
		return who, &keyRefusal{http.StatusServiceUnavailable, comeBack, reasonUnconfirmed}
	case known || anonymous:
		return who, nil
	case !given:
		return who, &keyRefusal{http.StatusUnauthorized, 0, reasonNoKey}
	case age > keyConfirmedWithin:
		return who, &keyRefusal{http.StatusServiceUnavailable, comeBack, reasonUnconfirmed}
	}
	return who, &keyRefusal{http.StatusUnauthorized, 0, reasonUnknownKey}
}

func (a *Agent) configurationAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.ConfigurationAge(time.Now())
}

// admit is identify for calls that can be refused at once.
func (a *Agent) admit(w http.ResponseWriter, r *http.Request, id string, table *routes.Table, anonymous bool) (caller, bool) {
	who, refusal := a.identify(table, r.Header, anonymous)
	if refusal != nil {
		a.refuseKey(w, id, refusal)
		return who, false
	}
	return who, true
}

func (a *Agent) refuseKey(w http.ResponseWriter, id string, refusal *keyRefusal) {
	if refusal.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	a.refuse(w, id, refusal.status, refusal.after, refusal.reason)
}

// mark puts the caller's tenant into the head of a request to a replica, in the place of the key.
func (a *Agent) mark(header http.Header, who caller) {
	if who.tenants {
		a.protocol.SetTenant(header, who.tenant)
	}
}

// jobCaller is the caller on whose behalf the items of a job run. A job that was handed in with
// a key keeps its tenant whatever the configuration says later.
func (a *Agent) jobCaller(tenant string) caller {
	a.mu.Lock()
	defer a.mu.Unlock()
	table := a.node.Routes()
	return caller{tenant: tenant, tenants: tenant != "" || table != nil && table.HasTenants()}
}

// mayUse reports whether a caller may see a job: its own tenant's, or one that has no tenant.
func (c caller) mayUse(tenant string) bool { return !c.tenants || tenant == "" || tenant == c.tenant }
