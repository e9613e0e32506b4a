// Package ledger keeps the outcome of each keyed request, so that it runs at
// most once. The record of a key is held by the replicas of its home zone's
// group; an attempt may be dispatched only after a majority of them granted
// it the key.
//
// Replicas hold records in memory. Each has a floor: it remembers every grant
// of a key whose stamp is after it, and refuses keys below it. A replica that
// starts has forgotten everything, so its floor is its start and MaxSkew. Once
// it has copied the records of all other replicas of its group, its floor
// falls to the highest of theirs.
//
// Usage:
//
//	st := ledger.NewStore(now, 10*time.Minute, 500_000)
//	gr := &ledger.Group{Self: "shy-1", Store: st, Peers: peers, ...}
//	claim := gr.Claim(ctx, now, key)
//	claim.Finish(ctx, answer)
package ledger

import (
	"sort"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/errkind"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindInvalidKey    Kind = "the key is not a version 7 UUID, with or without a zone mark"
	KindKeyOutOfRange Kind = "the key's time is out of range"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// MaxClockSkew is how far the clocks of entry instances and of callers that
	// make keys themselves may differ.
	MaxClockSkew = 2 * time.Second
	// dumpPage bounds the records of one page.
	dumpPage = 2000
	// maxKeptBody bounds a recorded body; a longer one is answered once and
	// recorded without it.
	maxKeptBody = 16 << 10
)

type record struct {
	attempt string
	answer  *weir.Response
	// copied records came from another replica. Which attempt they name says
	// little, since replicas may hold the key for different ones, so that no
	// attempt's "not run" frees them.
	copied bool
}

// Store is one replica's memory. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	capacity  int

	mu      sync.Mutex
	started time.Time
	floor   time.Time
	records map[string]record
	// expiry holds keys by the minute of their stamp.
	expiry map[int64][]string
	swept  int64
}

// NewStore returns an empty replica that started at the given time and keeps
// at most capacity keys for the retention time.
func NewStore(now time.Time, retention time.Duration, capacity int) *Store {
	return &Store{
		retention: retention, capacity: capacity, started: now, floor: now.Add(MaxClockSkew),
		records: map[string]record{}, expiry: map[int64][]string{}, swept: now.Add(-retention).Unix() / 60,
	}
}

// InRange reports whether a key is neither too old nor from the future.
func (st *Store) InRange(now time.Time, key Key) bool {
	return key.Timestamp.After(now.Add(-st.retention)) && key.Timestamp.Before(now.Add(MaxClockSkew))
}

// Reserve grants the key to an attempt, or tells who has it.
func (st *Store) Reserve(now time.Time, res peerapi.Reserve) peerapi.ReserveResponse {
	key, err := ParseKey(res.Key)
	if err != nil {
		return refused("bad key")
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.sweep(now)
	if rec, ok := st.records[res.Key]; ok {
		return rec.reply(res.Attempt)
	}
	switch {
	case !st.InRange(now, key) || key.Timestamp.Unix()/60 < st.swept:
		return refused("key out of range")
	case !key.Timestamp.After(st.floor):
		return refused("replica recovers")
	case len(st.records) >= st.capacity:
		return refused("ledger full")
	}
	st.put(key, record{attempt: res.Attempt})
	return peerapi.ReserveResponse{State: peerapi.ReserveGranted}
}

func (rc record) reply(attempt string) peerapi.ReserveResponse {
	if rc.answer != nil {
		return peerapi.ReserveResponse{State: peerapi.ReserveRecorded, Attempt: rc.attempt, Answer: rc.answer}
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

// Finish records the outcome of an attempt. One that did not run frees the
// key for another attempt.
func (st *Store) Finish(fin peerapi.Finish) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rec, ok := st.records[fin.Key]
	if !ok || rec.answer != nil {
		return
	}
	if fin.Answer.Kind == weir.NotRun {
		if rec.attempt == fin.Attempt && !rec.copied {
			delete(st.records, fin.Key)
		}
		return
	}
	// Only the attempt that won the key has another outcome, so it holds
	// whichever attempt is named here.
	ans := fin.Answer
	if len(ans.Body) > maxKeptBody {
		ans.Body = nil
		ans.Reason = "the recorded answer is without its body, which was too long to keep"
	}
	st.records[fin.Key] = record{attempt: fin.Attempt, answer: &ans, copied: rec.copied}
}

// sweep forgets the keys whose minute is past retention.
func (st *Store) sweep(now time.Time) {
	// A key's minute ends up to 60 s after its stamp.
	last := now.Add(-st.retention-time.Minute).Unix() / 60
	for ; st.swept < last; st.swept++ {
		for _, key := range st.expiry[st.swept] {
			delete(st.records, key)
		}
		delete(st.expiry, st.swept)
	}
}

// Dump returns a page of records behind a key.
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
	page := peerapi.DumpResponse{Floor: st.floor, More: len(keys) > dumpPage}
	for _, key := range keys[:min(len(keys), dumpPage)] {
		rec := st.records[key]
		page.Records = append(page.Records, peerapi.Record{Key: key, Attempt: rec.attempt, Answer: rec.answer})
	}
	return page
}

// Load adds the records of another replica.
func (st *Store) Load(records []peerapi.Record) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, rec := range records {
		key, err := ParseKey(rec.Key)
		if err != nil {
			continue
		}
		old, ok := st.records[rec.Key]
		if ok && (old.answer != nil || rec.Answer == nil) {
			continue
		}
		st.put(key, record{attempt: rec.Attempt, answer: rec.Answer, copied: true})
	}
}

// LowerFloor sets the floor after the records of all other replicas were loaded;
// it never rises.
func (st *Store) LowerFloor(floor time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if floor.Before(st.floor) {
		st.floor = floor
	}
}

// AcceptsNewKeys reports whether every key that is made now is above the floor.
func (st *Store) AcceptsNewKeys(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.After(st.floor)
}

// Stats is a replica's state for the state dump.
type Stats struct {
	Keys    int       `json:"keys"`
	Started time.Time `json:"started"`
	Floor   time.Time `json:"floor"`
}

// Stats returns the replica's state.
func (st *Store) Stats() Stats {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Stats{Keys: len(st.records), Started: st.started, Floor: st.floor}
}
