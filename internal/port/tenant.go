package port

import "crypto/sha256"

// KeyDigest is the digest of an API key. Keys themselves are digested where they are decoded,
// so that none can reach a log, a metric, an error or a record, and so that a look-up takes
// the same time however much of a key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a party whose callers share the deployment with others.
type Tenant struct {
	Name string
	// Keys are the digests of the API keys that its callers may use.
	Keys []KeyDigest
	// AllowedRegions are the only regions in which its requests may be served and kept; empty
	// for any.
	AllowedRegions []string
}
