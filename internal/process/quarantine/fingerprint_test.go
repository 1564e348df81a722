package quarantine

import "testing"

func TestFingerprintsDiffer(t *testing.T) {
	call := Call{Method: "POST", Host: "h", Target: "/a", Tenant: "t", Body: []byte("body")}
	if again := call; again.Fingerprint() != call.Fingerprint() {
		t.Error("repeated call has a different fingerprint")
	}
	for name, other := range map[string]Call{
		"method": {Method: "PUT", Host: "h", Target: "/a", Tenant: "t", Body: []byte("body")},
		"host":   {Method: "POST", Host: "i", Target: "/a", Tenant: "t", Body: []byte("body")},
		"target": {Method: "POST", Host: "h", Target: "/a?b", Tenant: "t", Body: []byte("body")},
		"tenant": {Method: "POST", Host: "h", Target: "/a", Tenant: "u", Body: []byte("body")},
		"body":   {Method: "POST", Host: "h", Target: "/a", Tenant: "t", Body: []byte("bodies")},
		"parts":  {Method: "POST", Host: "h", Target: "/at", Body: []byte("body")},
	} {
		if other.Fingerprint() == call.Fingerprint() {
			t.Errorf("call with a different %s has the same fingerprint", name)
		}
	}
}
