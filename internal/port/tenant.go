package port

import "crypto/sha256"

// KeyDigest is the digest of an API key. Keys are digested when they are decoded, so that no key
// can leak into logs, metrics, errors or records, and so that the duration of a lookup reveals
// nothing about a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a party that shares the deployment with others.
type Tenant struct {
	Name string
	// Keys are the digests of the tenant's API keys.
	Keys []KeyDigest
	// AllowedRegions are the regions in which its requests may be served and stored; empty
	// for any region.
	AllowedRegions []string
}
