package ledger

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	weir "greengageweir"
)

// Key is a parsed idempotency key: a version 7 UUID (RFC 9562), which contains
// its creation time, with an optional prefix of the home zone's name and a dot.
type Key struct {
	Text      string
	Zone      weir.Zone
	Timestamp time.Time
}

// NewKey creates a key with a home zone.
func NewKey(zone weir.Zone, now time.Time) (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", &Error{Op: "new key", Kind: KindInvalidKey, Err: err}
	}
	setTimestamp(&id, now)
	return string(zone) + "." + id.String(), nil
}

// setTimestamp writes the Unix time in milliseconds into the first six bytes.
func setTimestamp(id *uuid.UUID, now time.Time) {
	millis := now.UnixMilli()
	for ix := 5; ix >= 0; ix-- {
		id[ix] = byte(millis)
		millis >>= 8
	}
}

// ParseKey parses a key.
func ParseKey(text string) (Key, error) {
	zone, rest, found := strings.Cut(text, ".")
	if !found {
		zone, rest = "", text
	}
	id, err := uuid.Parse(rest)
	if err != nil {
		return Key{}, &Error{Op: "parse key", Kind: KindInvalidKey, Err: err}
	}
	if id.Version() != 7 || len(rest) != len(id.String()) {
		return Key{}, &Error{Op: "parse key", Kind: KindInvalidKey}
	}
	var millis int64
	for ix := range 6 {
		millis = millis<<8 | int64(id[ix])
	}
	return Key{Text: text, Zone: weir.Zone(zone), Timestamp: time.UnixMilli(millis)}, nil
}

// Rank returns the rank of a candidate for a key by rendezvous hashing (Thaler
// and Ravishankar, 1998). The candidate with the highest rank is chosen first.
func Rank(key, candidate string) uint64 { return xxhash.Sum64String(candidate + "\x00" + key) }

// HomeZone returns the zone that keeps the key's record: the zone in its
// prefix, or without a known one the zone with the highest rank.
func (ke Key) HomeZone(zones []weir.Zone) weir.Zone {
	var best weir.Zone
	var bestRank uint64
	for _, zone := range zones {
		if zone == ke.Zone {
			return zone
		}
		if rank := Rank(ke.Text, string(zone)); best == "" || rank > bestRank {
			best, bestRank = zone, rank
		}
	}
	return best
}
