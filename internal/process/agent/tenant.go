package agent

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/version/routes"
)

// Reasons for refusals due to the caller's key.
const (
	reasonNoKey       = "an API key is needed"
	reasonUnknownKey  = "the API key is not known"
	reasonUnconfirmed = "the API key can't be confirmed at present"
)

// identify authenticates a caller and decides whether to admit it.
func (a *Agent) identify(table *routes.Table, header http.Header, anonymous bool) (access.Caller, access.Verdict) {
	policy := access.Policy{Strict: a.settings.Tenants.Strict, Revocation: a.settings.Tenants.Revocation()}
	call := access.Call{Anonymous: anonymous}
	call.Key, call.HasKey = a.protocol.APIKey(header)
	a.mu.Lock()
	age := a.node.ConfigurationAge(a.clock.Now())
	a.mu.Unlock()
	return policy.Authenticate(table, call, age)
}

// admit calls identify and responds if the caller is not admitted.
func (a *Agent) admit(w http.ResponseWriter, r *http.Request, id string, table *routes.Table, anonymous bool) (access.Caller, bool) {
	caller, verdict := a.identify(table, r.Header, anonymous)
	if verdict != access.Admitted {
		a.refuseKey(w, id, verdict, a.callerDeadline(time.Now(), r.Header))
		return caller, false
	}
	return caller, true
}

// refuseKey responds to a caller that was not admitted. Its deadline is zero if unknown.
func (a *Agent) refuseKey(w http.ResponseWriter, id string, verdict access.Verdict, deadline time.Time) {
	reason := reasonNoKey
	switch verdict {
	case access.Unconfirmed:
		a.refuse(w, id, http.StatusServiceUnavailable, retryAfterBy(deadline), reasonUnconfirmed)
		return
	case access.UnknownKey:
		reason = reasonUnknownKey
	case access.NoKey, access.Admitted:
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	a.refuse(w, id, http.StatusUnauthorized, 0, reason)
}

// setTenantHeader replaces the caller's key with its tenant in a request to a replica.
func (a *Agent) setTenantHeader(header http.Header, caller access.Caller) {
	if caller.TenantsConfigured {
		a.protocol.SetTenant(header, caller.Tenant)
	}
}

// jobCaller returns the caller that a job's items run as. A job keeps the tenant that submitted it even
// if the configuration changes.
func (a *Agent) jobCaller(tenant string) access.Caller {
	a.mu.Lock()
	defer a.mu.Unlock()
	table := a.node.Routes()
	return access.Caller{Tenant: tenant, TenantsConfigured: tenant != "" || table != nil && table.HasTenants()}
}
