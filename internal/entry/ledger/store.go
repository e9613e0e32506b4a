// Package ledger records the outcome of each request with an idempotency key,
// so that the request runs at most once. The record of a key is kept by the
// replicas of its home zone's group. An attempt may be dispatched only after a
// majority of these replicas has granted it the key.
//
// Replicas keep records in memory. Each has a floor: it knows every grant of a
// key whose timestamp is after the floor, and refuses all other keys. A replica
// that starts knows no grants, so its floor is its start time plus
// MaxClockSkew. Once it has copied the records of all other replicas of its
// group, it lowers its floor to the highest of theirs.
//
// Usage:
//
//	st := ledger.NewStore(now, 10*time.Minute, 500_000)
//	gr := &ledger.Group{Self: "shy-1", Store: st, Replicas: ids, ...}
//	claim := gr.Claim(ctx, key, attempt)
//	if claim.Won {
//		claim.Finish(ctx, resp)
//	}
package ledger

import (
	"sort"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/peerapi"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindInvalidKey    Kind = "the key is not a version 7 UUID, with or without a zone mark"
	KindKeyOutOfRange Kind = "the key's time is out of range"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// MaxClockSkew is the greatest difference allowed between the clocks of
	// entry instances and of callers that create keys themselves.
	MaxClockSkew = 2 * time.Second
	// dumpPageSize is the maximum number of records in a page of a dump.
	dumpPageSize = 2000
	// maxRecordedBody is the maximum size of a recorded body in bytes. A
	// response with a longer body is returned once and recorded without it.
	maxRecordedBody = 16 << 10
)

// record is the state of one key: the attempt that holds it, and the response
// once there is one.
type record struct {
	attempt string
	answer  *weir.Response
	// copied is set for a record from another replica. Replicas may have
	// granted the key to different attempts, so the attempt named here need not
	// be the one that won, and its "not run" must not free the key.
	copied bool
}

// Store holds the records of one replica. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	capacity  int

	mu      sync.Mutex
	started time.Time
	floor   time.Time
	records map[string]record
	// expiry holds the keys by the minute of their timestamp.
	expiry map[int64][]string
	// expiredUntil is the first minute whose keys have not been dropped.
	expiredUntil int64
}

// NewStore returns the empty store of a replica that started at the given time.
// It keeps at most capacity keys, each for the retention time.
func NewStore(now time.Time, retention time.Duration, capacity int) *Store {
	return &Store{
		retention: retention, capacity: capacity, started: now, floor: now.Add(MaxClockSkew),
		records: map[string]record{}, expiry: map[int64][]string{}, expiredUntil: now.Add(-retention).Unix() / 60,
	}
}

// InRange reports whether a key's timestamp is within retention and not in the
// future.
func (st *Store) InRange(now time.Time, key Key) bool {
	return key.Timestamp.After(now.Add(-st.retention)) && key.Timestamp.Before(now.Add(MaxClockSkew))
}

// Reserve grants the key to an attempt, or returns the attempt that holds it,
// its recorded response or the reason of a refusal.
func (st *Store) Reserve(now time.Time, res peerapi.ReserveRequest) peerapi.ReserveResponse {
	key, err := ParseKey(res.Key)
	if err != nil {
		return refused("bad key")
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropExpired(now)
	if rec, ok := st.records[res.Key]; ok {
		return rec.response(res.Attempt)
	}
	switch {
	case !st.InRange(now, key) || key.Timestamp.Unix()/60 < st.expiredUntil:
		return refused("key out of range")
	case !key.Timestamp.After(st.floor):
		return refused("replica recovers")
	case len(st.records) >= st.capacity:
		return refused("ledger full")
	}
	st.put(key, record{attempt: res.Attempt})
	return peerapi.ReserveResponse{State: peerapi.ReserveGranted}
}

func (rc record) response(attempt string) peerapi.ReserveResponse {
	if rc.answer != nil {
		return peerapi.ReserveResponse{State: peerapi.ReserveRecorded, Attempt: rc.attempt, Recorded: rc.answer}
	}
	if rc.attempt == attempt {
		return peerapi.ReserveResponse{State: peerapi.ReserveGranted}
	}
	return peerapi.ReserveResponse{State: peerapi.ReserveHeld, Attempt: rc.attempt}
}

func refused(reason string) peerapi.ReserveResponse {
	return peerapi.ReserveResponse{State: peerapi.ReserveRefused, Reason: reason}
}

func (st *Store) put(key Key, rec record) {
	if _, ok := st.records[key.Text]; !ok {
		minute := key.Timestamp.Unix() / 60
		st.expiry[minute] = append(st.expiry[minute], key.Text)
	}
	st.records[key.Text] = rec
}

// Finish records the outcome of an attempt. An attempt that did not run frees
// the key for another one.
func (st *Store) Finish(fin peerapi.FinishRequest) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rec, ok := st.records[fin.Key]
	if !ok || rec.answer != nil {
		return
	}
	if fin.Response.Kind == weir.NotRun {
		if rec.attempt == fin.Attempt && !rec.copied {
			delete(st.records, fin.Key)
		}
		return
	}
	// Only the attempt that won the key can have run, so its outcome is recorded
	// even if this replica granted the key to another attempt.
	ans := fin.Response
	if len(ans.Body) > maxRecordedBody {
		ans.Body = nil
		ans.Reason = "the recorded answer is without its body, which was too long to keep"
	}
	st.records[fin.Key] = record{attempt: fin.Attempt, answer: &ans, copied: rec.copied}
}

// dropExpired drops the keys whose minute is past retention.
func (st *Store) dropExpired(now time.Time) {
	// A key's minute ends up to 60 s after its timestamp.
	last := now.Add(-st.retention-time.Minute).Unix() / 60
	for ; st.expiredUntil < last; st.expiredUntil++ {
		for _, key := range st.expiry[st.expiredUntil] {
			delete(st.records, key)
		}
		delete(st.expiry, st.expiredUntil)
	}
}

// Dump returns the page of records that follows a key, in order of keys.
func (st *Store) Dump(after string) peerapi.DumpResponse {
	st.mu.Lock()
	defer st.mu.Unlock()
	keys := make([]string, 0, len(st.records))
	for key := range st.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := peerapi.DumpResponse{Floor: st.floor, More: len(keys) > dumpPageSize}
	for _, key := range keys[:min(len(keys), dumpPageSize)] {
		rec := st.records[key]
		page.Records = append(page.Records, peerapi.Record{Key: key, Attempt: rec.attempt, Response: rec.answer})
	}
	return page
}

// Load merges the records of another replica. A recorded response is never
// replaced.
func (st *Store) Load(records []peerapi.Record) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, rec := range records {
		key, err := ParseKey(rec.Key)
		if err != nil {
			continue
		}
		old, ok := st.records[rec.Key]
		if ok && (old.answer != nil || rec.Response == nil) {
			continue
		}
		st.put(key, record{attempt: rec.Attempt, answer: rec.Response, copied: true})
	}
}

// LowerFloor lowers the floor once the records of all other replicas are
// loaded. It never raises it.
func (st *Store) LowerFloor(floor time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if floor.Before(st.floor) {
		st.floor = floor
	}
}

// AcceptsNewKeys reports whether keys that are created now are above the floor.
func (st *Store) AcceptsNewKeys(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.After(st.floor)
}

// Stats is the state of a replica, for the state dump.
type Stats struct {
	Keys    int       `json:"keys"`
	Started time.Time `json:"started"`
	Floor   time.Time `json:"floor"`
}

// Stats returns the state of the replica.
func (st *Store) Stats() Stats {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Stats{Keys: len(st.records), Started: st.started, Floor: st.floor}
}
