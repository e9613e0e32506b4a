package auth

// Key is the API key of a team. It is sent between processes but never printed.
type Key string

const redacted = "[redacted]"

// String hides the key from logs.
func (Key) String() string { return redacted }

// GoString hides the key from logs that print values in Go syntax.
func (Key) GoString() string { return redacted }
