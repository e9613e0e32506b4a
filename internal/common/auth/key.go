package auth

import (
	"os"
	"path/filepath"
	"strings"
)

// Key is the API key of a team. It is sent between processes but never printed.
type Key string

const redacted = "[redacted]"

// String hides the key from logs.
func (Key) String() string { return redacted }

// GoString hides the key from logs that print values in Go syntax.
func (Key) GoString() string { return redacted }

// LoadKey reads a file that holds a single key.
func LoadKey(path string) (Key, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", &Error{Op: "load " + path, Kind: KindRead, Err: err}
	}
	key := strings.TrimSpace(string(body))
	if key == "" {
		return "", &Error{Op: "load " + path, Kind: KindEmpty}
	}
	return Key(key), nil
}
