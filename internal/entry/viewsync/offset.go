package viewsync

import "github.com/cespare/xxhash/v2"

// startOffset returns a hash of an entry instance's id, which distributes the
// first subscriptions of the instances over the control processes.
func startOffset(id string) uint64 { return xxhash.Sum64String(id) }
