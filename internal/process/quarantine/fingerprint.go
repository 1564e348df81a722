// Package quarantine keeps requests that crash the replicas that run them away from replicas.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint names what a request asks for. It is the same each time that a caller repeats the
// request, at whichever node and under whichever id.
type Fingerprint [16]byte

// Call is what a request asks for.
type Call struct {
	// Method, Host and Target, the path with the query, are the request's.
	Method, Host, Target string
	// Tenant is the caller's, empty where there are no tenants.
	Tenant string
	Body   []byte
}

// Fingerprint returns the call's fingerprint. The digest is a cryptographic one, so that no caller
// can make a request that is taken for another's.
func (c *Call) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target, c.Tenant} {
		// Each part's length keeps parts from running into one another.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = io.WriteString(digest, part)
	}
	_, _ = digest.Write(c.Body)
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// ParseFingerprint reads a fingerprint in hexadecimal digits; it is false for another text.
func ParseFingerprint(text string) (Fingerprint, bool) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(digest), true
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
