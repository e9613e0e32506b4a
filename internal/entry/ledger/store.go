// Package ledger keeps the outcome of each keyed request, so that it runs at
// most once. The record of a key is held by the replicas of its home zone's
// group; an attempt may be dispatched only after a majority of them granted
// it the key.
//
// Replicas hold records in memory. One that restarted has forgotten, so it
// refuses every key that may have been granted before: keys whose stamp is not
// after its start by more than MaxSkew. It accepts those again once it has
// copied the records of all other replicas of its group.
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

	weir "greengageweir"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/fault"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindKey Kind = "the key is not a version 7 UUID, with or without a zone mark"
	KindAge Kind = "the key's time is out of range"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// MaxSkew is how far the clocks of entry instances and of callers that
	// make keys themselves may differ.
	MaxSkew = 2 * time.Second
	// dumpPage bounds the records of one page.
	dumpPage = 2000
	// maxKeptBody bounds a recorded body; a longer one is answered once and
	// recorded without it.
	maxKeptBody = 16 << 10
)

type record struct {
	attempt string
	answer  *weir.Answer
}

// Store is one replica's memory. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	capacity  int

	mu        sync.Mutex
	started   time.Time
	recovered bool
	records   map[string]record
	// expiry holds keys by the minute of their stamp.
	expiry map[int64][]string
	swept  int64
}

// NewStore returns an empty replica that started at the given time and keeps
// at most capacity keys for the retention time.
func NewStore(now time.Time, retention time.Duration, capacity int) *Store {
	return &Store{
		retention: retention, capacity: capacity, started: now,
		records: map[string]record{}, expiry: map[int64][]string{}, swept: now.Add(-retention).Unix() / 60,
	}
}

// InRange reports whether a key is neither too old nor from the future.
func (st *Store) InRange(now time.Time, key Key) bool {
	return key.Stamp.After(now.Add(-st.retention)) && key.Stamp.Before(now.Add(MaxSkew))
}

// knows reports whether the replica would remember a grant of the key.
func (st *Store) knows(now time.Time, key Key) bool {
	if st.recovered || now.Sub(st.started) > st.retention+MaxSkew {
		return true
	}
	return key.Stamp.After(st.started.Add(MaxSkew))
}

// Reserve grants the key to an attempt, or tells who has it.
func (st *Store) Reserve(now time.Time, res peerapi.Reserve) peerapi.ReserveAnswer {
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
	case !st.InRange(now, key) || key.Stamp.Unix()/60 < st.swept:
		return refused("key out of range")
	case !st.knows(now, key):
		return refused("replica recovers")
	case len(st.records) >= st.capacity:
		return refused("ledger full")
	}
	st.put(key, record{attempt: res.Attempt})
	return peerapi.ReserveAnswer{State: peerapi.ReserveGranted}
}

func (rc record) reply(attempt string) peerapi.ReserveAnswer {
	if rc.answer != nil {
		return peerapi.ReserveAnswer{State: peerapi.ReserveRecorded, Attempt: rc.attempt, Answer: rc.answer}
	}
	if rc.attempt == attempt {
		return peerapi.ReserveAnswer{State: peerapi.ReserveGranted}
	}
	return peerapi.ReserveAnswer{State: peerapi.ReserveHeld, Attempt: rc.attempt}
}

func refused(reason string) peerapi.ReserveAnswer {
	return peerapi.ReserveAnswer{State: peerapi.ReserveRefused, Reason: reason}
}

func (st *Store) put(key Key, rec record) {
	if _, ok := st.records[key.Text]; !ok {
		minute := key.Stamp.Unix() / 60
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
	if !ok || rec.attempt != fin.Attempt || rec.answer != nil {
		return
	}
	if fin.Answer.Kind == weir.NotRun {
		delete(st.records, fin.Key)
		return
	}
	ans := fin.Answer
	if len(ans.Body) > maxKeptBody {
		ans.Body = nil
		ans.Reason = "the recorded answer is without its body, which was too long to keep"
	}
	st.records[fin.Key] = record{attempt: rec.attempt, answer: &ans}
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
func (st *Store) Dump(now time.Time, after string) peerapi.DumpAnswer {
	st.mu.Lock()
	defer st.mu.Unlock()
	keys := make([]string, 0, len(st.records))
	for key := range st.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := peerapi.DumpAnswer{Recovered: st.recovered || now.Sub(st.started) > st.retention+MaxSkew, More: len(keys) > dumpPage}
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
		st.put(key, record{attempt: rec.Attempt, answer: rec.Answer})
	}
}

// SetRecovered tells that the records of all other replicas were loaded.
func (st *Store) SetRecovered() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recovered = true
}

// Stats is a replica's state for the state dump.
type Stats struct {
	Keys      int       `json:"keys"`
	Started   time.Time `json:"started"`
	Recovered bool      `json:"recovered"`
}

// Stats returns the replica's state.
func (st *Store) Stats() Stats {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Stats{Keys: len(st.records), Started: st.started, Recovered: st.recovered}
}
