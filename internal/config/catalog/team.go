package catalog

import (
	"crypto/hmac"
	"crypto/rand"
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

// HashKeys returns the hashes of API keys under the given salt.
func HashKeys(salt []byte, keys []auth.Key) []KeyHash {
	var hashes []KeyHash
	for _, key := range keys {
		hashes = append(hashes, HashKey(salt, key))
	}
	return hashes
}

// saltBytes is the length of a new KeySalt.
const saltBytes = 16

// NewKeySalt returns a random salt.
func NewKeySalt() []byte {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails
	return salt
}

// checkTeams returns an error of KindInvalid for the first problem. The error names
// teams but no keys.
func checkTeams(teams []Team) error {
	names := map[weir.TeamName]bool{}
	owners := map[KeyHash]weir.TeamName{}
	for _, tm := range teams {
		switch {
		case tm.Name == "" || names[tm.Name]:
			return invalid("team %q is unnamed or named twice", tm.Name)
		case !(tm.Weight >= 0):
			return invalid("team %q has a negative weight", tm.Name)
		case tm.Cap.MilliCPU < 0 || tm.Cap.MemoryMB < 0 || tm.Cap.GPU < 0:
			return invalid("team %q has a negative cap", tm.Name)
		}
		names[tm.Name] = true
		for _, hash := range tm.KeyHashes {
			if owner, ok := owners[hash]; ok && owner != tm.Name {
				return invalid("teams %q and %q share a key", owner, tm.Name)
			}
			owners[hash] = tm.Name
		}
	}
	return nil
}
