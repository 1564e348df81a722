// Package quarantine prevents requests that crash replicas from being sent to further replicas.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies the content of a request. It is the same for all repetitions of the request, on any
// node and under any request ID.
type Fingerprint [16]byte

// Call is the content of a request.
type Call struct {
	// Target is the path with the query.
	Method, Host, Target string
	// Tenant is the caller's tenant, empty without tenants.
	Tenant string
	Body   []byte
}

// Fingerprint returns the call's fingerprint. It uses a cryptographic hash, so that callers cannot produce
// collisions with other callers' requests.
func (c *Call) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target, c.Tenant} {
		// Length prefixes prevent ambiguity between adjacent parts.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = io.WriteString(digest, part)
	}
	_, _ = digest.Write(c.Body)
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// ParseFingerprint parses a hexadecimal fingerprint; it returns false for an invalid one.
func ParseFingerprint(text string) (Fingerprint, bool) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(digest), true
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
