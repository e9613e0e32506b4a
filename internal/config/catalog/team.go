package catalog

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// KeyHash is the HMAC-SHA256 of an API key under a catalog's KeySalt, in
// hexadecimal. Looking one up takes a time that says nothing about any key.
type KeyHash string

// Team is a group of callers that shares the pools with other teams.
type Team struct {
	Name weir.TeamName `json:"name"`
	// KeyHashes holds the hashes of the team's API keys.
	KeyHashes []KeyHash `json:"keyHashes,omitempty"`
	// Weight is the team's share of a full pool in relation to the other teams.
	Weight float64 `json:"weight,omitempty"`
	// Cap limits what the team's runs may request over all workers; a resource
	// with 0 has no limit.
	Cap spec.Resources `json:"cap,omitzero"`
}

// HashKey returns the hash of an API key under the given salt.
func HashKey(salt []byte, key auth.Key) KeyHash {
	mac := hmac.New(sha256.New, salt)
	_, _ = mac.Write([]byte(key))
	return KeyHash(hex.EncodeToString(mac.Sum(nil)))
}
