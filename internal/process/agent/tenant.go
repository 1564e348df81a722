package agent

import (
	"net/http"

	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/version/routes"
)

// Reasons of refusals for the sake of a caller's key.
const (
	reasonNoKey       = "an API key is needed"
	reasonUnknownKey  = "the API key is not known"
	reasonUnconfirmed = "the API key can't be confirmed at present"
)

// identify finds who makes a call and whether it is let in.
func (a *Agent) identify(table *routes.Table, header http.Header, anonymous bool) (access.Caller, access.Verdict) {
	policy := access.Policy{Strict: a.settings.Tenants.Strict, Revocation: a.settings.Tenants.Revocation()}
	call := access.Call{Anonymous: anonymous}
	call.Key, call.HasKey = a.protocol.Key(header)
	a.mu.Lock()
	age := a.node.ConfigurationAge(a.clock.Now())
	a.mu.Unlock()
	return policy.Authenticate(table, call, age)
}

// admit is identify for calls that can be refused at once.
func (a *Agent) admit(w http.ResponseWriter, r *http.Request, id string, table *routes.Table, anonymous bool) (access.Caller, bool) {
	who, verdict := a.identify(table, r.Header, anonymous)
	if verdict != access.Admitted {
		a.refuseKey(w, id, verdict)
		return who, false
	}
	return who, true
}

// refuseKey answers a caller that is not let in.
func (a *Agent) refuseKey(w http.ResponseWriter, id string, verdict access.Verdict) {
	reason := reasonNoKey
	switch verdict {
	case access.Unconfirmed:
		a.refuse(w, id, http.StatusServiceUnavailable, comeBack, reasonUnconfirmed)
		return
	case access.UnknownKey:
		reason = reasonUnknownKey
	case access.NoKey, access.Admitted:
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	a.refuse(w, id, http.StatusUnauthorized, 0, reason)
}

// mark puts the caller's tenant into the head of a request to a replica, in the place of the key.
func (a *Agent) mark(header http.Header, who access.Caller) {
	if who.TenantsConfigured {
		a.protocol.SetTenant(header, who.Tenant)
	}
}

// jobCaller is the caller on whose behalf the items of a job run. A job that was handed in with
// a key keeps its tenant whatever the configuration says later.
func (a *Agent) jobCaller(tenant string) access.Caller {
	a.mu.Lock()
	defer a.mu.Unlock()
	table := a.node.Routes()
	return access.Caller{Tenant: tenant, TenantsConfigured: tenant != "" || table != nil && table.HasTenants()}
}
