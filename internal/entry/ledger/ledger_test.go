package ledger

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	weir "greengageweir"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/contract/peerapi"
)

var origin = time.Unix(1_800_000_000, 0)

// fakeMesh connects stores directly. A call to an entry in down fails before it
// is sent; one to an entry in replyLost is handled, but its reply is lost.
type fakeMesh struct {
	mu        sync.Mutex
	clk       *clock.Manual
	stores    map[string]*Store
	down      map[string]bool
	replyLost map[string]bool
}

func newFakeMesh(clk *clock.Manual, ids ...string) *fakeMesh {
	fm := &fakeMesh{clk: clk, stores: map[string]*Store{}, down: map[string]bool{}, replyLost: map[string]bool{}}
	for _, id := range ids {
		fm.restart(id)
	}
	return fm
}

func (fm *fakeMesh) restart(id string) {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	fm.stores[id] = NewStore(fm.clk.Now(), 10*time.Minute, 1000)
}

// Call implements Caller.
func (fm *fakeMesh) Call(_ context.Context, id, method string, params, result any) error {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	if fm.down[id] {
		return errors.New("down")
	}
	switch par := params.(type) {
	case peerapi.ReserveRequest:
		*result.(*peerapi.ReserveResponse) = fm.stores[id].Reserve(fm.clk.Now(), par)
	case peerapi.FinishRequest:
		fm.stores[id].Finish(par)
	case peerapi.DumpRequest:
		*result.(*peerapi.DumpResponse) = fm.stores[id].Dump(par.After)
	default:
		return errors.New("unknown method " + method)
	}
	if fm.replyLost[id] {
		return errors.New("reply lost")
	}
	return nil
}

func (fm *fakeMesh) group(self string, ids ...string) *Group {
	return &Group{Self: self, Store: fm.stores[self], Replicas: ids, Caller: fm, Clock: fm.clk}
}

func (fm *fakeMesh) recover(t *testing.T, id string, ids ...string) {
	rc := &Recovery{Self: id, Replicas: ids, Store: fm.stores[id], Caller: fm, Logger: log.NewNopLogger()}
	require.NoError(t, rc.Run(context.Background()))
}

func (fm *fakeMesh) toggle(set map[string]bool, id string) {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	set[id] = !set[id]
}

func (fm *fakeMesh) allReachable(ids []string) bool {
	for _, id := range ids {
		if fm.down[id] || fm.replyLost[id] {
			return false
		}
	}
	return true
}

func TestParseKey(t *testing.T) {
	text, err := NewKey("north", origin)
	require.NoError(t, err)
	key, err := ParseKey(text)
	require.NoError(t, err)
	require.Equal(t, weir.Zone("north"), key.Zone)
	require.True(t, key.Timestamp.Equal(origin))
	for _, bad := range []string{"", "booking-1", "north.", "north.2f1c4e1e-0b5b-4c9c-9d0e-000000000000", "urn:uuid:018f0000-0000-7000-8000-000000000000"} {
		_, err := ParseKey(bad)
		require.Error(t, err, bad)
	}
}

func TestHomeZone(t *testing.T) {
	zones := []weir.Zone{"a", "b", "c", "d"}
	marked, err := NewKey("c", origin)
	require.NoError(t, err)
	key, err := ParseKey(marked)
	require.NoError(t, err)
	require.Equal(t, weir.Zone("c"), key.HomeZone(zones))
	counts := map[weir.Zone]int{}
	for range 4000 {
		text, err := NewKey("", origin)
		require.NoError(t, err)
		plain, err := ParseKey(text[1:])
		require.NoError(t, err)
		counts[plain.HomeZone(zones)]++
	}
	for _, zone := range zones {
		require.InDelta(t, 1000, counts[zone], 200, "keys without a zone prefix are spread evenly")
	}
}

func TestReplicasDependOnSettingsOnly(t *testing.T) {
	entries := []EntryInstance{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}}
	require.Equal(t, []string{"a1", "a2", "b1"}, Replicas(entries, "a"))
	require.Equal(t, []string{"b1", "b2", "c1"}, Replicas(entries, "b"))
	require.Equal(t, []string{"c1", "a1", "a2"}, Replicas(entries, "c"))
}

func TestStoreReserveAndFinish(t *testing.T) {
	clk := clock.NewManual(origin)
	st := NewStore(clk.Now(), time.Minute, 2)
	key := func(at time.Time) string {
		text, err := NewKey("n", at)
		require.NoError(t, err)
		return text
	}
	early := key(origin.Add(time.Second))
	require.Equal(t, peerapi.ReserveRefused, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: early, Attempt: "a"}).State, "below the floor")
	clk.Advance(10 * time.Second)
	future := key(clk.Now().Add(MaxClockSkew + time.Second))
	require.Equal(t, "key out of range", st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: future, Attempt: "a"}).Reason)
	k1, k2, k3 := key(clk.Now()), key(clk.Now()), key(clk.Now())
	require.Equal(t, peerapi.ReserveGranted, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k1, Attempt: "a"}).State)
	require.Equal(t, peerapi.ReserveGranted, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k1, Attempt: "a"}).State, "the same attempt again")
	require.Equal(t, peerapi.ReserveHeld, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k1, Attempt: "b"}).State)
	require.Equal(t, peerapi.ReserveGranted, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k2, Attempt: "a"}).State)
	require.Equal(t, "ledger full", st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k3, Attempt: "a"}).Reason)
	st.Finish(peerapi.FinishRequest{Key: k2, Attempt: "b", Response: weir.NotRunResponse("x")})
	require.Equal(t, peerapi.ReserveHeld, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k2, Attempt: "c"}).State, "only the holder frees a key")
	st.Finish(peerapi.FinishRequest{Key: k2, Attempt: "a", Response: weir.NotRunResponse("x")})
	require.Equal(t, peerapi.ReserveGranted, st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k2, Attempt: "c"}).State)
	complete := weir.Response{Kind: weir.Complete, Status: 200, Body: []byte("booked")}
	st.Finish(peerapi.FinishRequest{Key: k1, Attempt: "a", Response: complete})
	recorded := st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k1, Attempt: "b"})
	require.Equal(t, peerapi.ReserveRecorded, recorded.State)
	require.Equal(t, &complete, recorded.Recorded)
	clk.Advance(3 * time.Minute)
	require.Equal(t, "key out of range", st.Reserve(clk.Now(), peerapi.ReserveRequest{Key: k1, Attempt: "b"}).Reason, "past retention")
	require.Zero(t, st.Stats().Keys)
	// A clock that is set back must not bring dropped keys into range again.
	require.Equal(t, peerapi.ReserveRefused, st.Reserve(origin.Add(20*time.Second), peerapi.ReserveRequest{Key: k1, Attempt: "b"}).State)
}

func TestClaimNeedsMajority(t *testing.T) {
	ids := []string{"a1", "a2", "b1"}
	cases := []struct {
		name       string
		down, mute []string
		won        bool
	}{
		{"all reached", nil, nil, true},
		{"one down", []string{"b1"}, nil, true},
		{"one reply lost", nil, []string{"a2"}, true},
		{"two down", []string{"a2", "b1"}, nil, false},
		{"two replies lost", nil, []string{"a2", "b1"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewManual(origin)
			fm := newFakeMesh(clk, ids...)
			clk.Advance(time.Minute)
			key, err := NewKey("a", clk.Now())
			require.NoError(t, err)
			for _, id := range tc.down {
				fm.down[id] = true
			}
			for _, id := range tc.mute {
				fm.replyLost[id] = true
			}
			claim := fm.group("a1", ids...).Claim(context.Background(), key, "a1/1")
			require.Equal(t, tc.won, claim.Won)
			if !tc.won {
				require.Equal(t, weir.Unknown, claim.Response.Kind, "an earlier attempt may have run")
			}
		})
	}
}

// TestKeyIsWonOnceAcrossRestarts guards against a key that two attempts win.
// Replicas restart with no records, one at a time, with and without recovery in
// between, while instances fail and replies are lost.
func TestKeyIsWonOnceAcrossRestarts(t *testing.T) {
	ids := []string{"a1", "a2", "b1"}
	refusedKeys := 0
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		clk := clock.NewManual(origin)
		fm := newFakeMesh(clk, ids...)
		clk.Advance(time.Minute)
		wins := map[string]int{}
		var keys []string
		for step := range 60 {
			clk.Advance(time.Duration(rng.Intn(2000)) * time.Millisecond)
			id := ids[rng.Intn(3)]
			switch rng.Intn(8) {
			case 0:
				fm.restart(id)
			case 1:
				if fm.allReachable(ids) {
					fm.recover(t, id, ids...)
				}
			case 2:
				fm.toggle(fm.down, id)
			case 3:
				fm.toggle(fm.replyLost, id)
			default:
				key := ""
				if len(keys) > 0 && rng.Intn(2) == 0 {
					key = keys[rng.Intn(len(keys))]
				} else {
					var err error
					key, err = NewKey("a", clk.Now())
					require.NoError(t, err)
					keys = append(keys, key)
				}
				if fm.down[id] {
					continue
				}
				claim := fm.group(id, ids...).Claim(context.Background(), key, fmt.Sprintf("%s/%d", id, step))
				if claim.Won {
					wins[key]++
				} else if claim.Response != nil && claim.Response.Kind == weir.Unknown {
					refusedKeys++
				}
			}
		}
		for key, count := range wins {
			require.Equal(t, 1, count, "seed %d: key %s was won %d times", seed, key, count)
		}
	}
	t.Logf("claims without a majority: %d", refusedKeys)
}

// TestRecoveryKeepsWinningAttempt guards against a recovery that frees a key
// which another attempt has won: the replica copies the record of the losing
// attempt first and is then told that this attempt did not run.
func TestRecoveryKeepsWinningAttempt(t *testing.T) {
	ids := []string{"a1", "a2", "b1"}
	clk := clock.NewManual(origin)
	fm := newFakeMesh(clk, ids...)
	clk.Advance(time.Minute)
	key, err := NewKey("a", clk.Now())
	require.NoError(t, err)
	fm.stores["a1"].Reserve(clk.Now(), peerapi.ReserveRequest{Key: key, Attempt: "lost"})
	fm.stores["a2"].Reserve(clk.Now(), peerapi.ReserveRequest{Key: key, Attempt: "won"})
	fm.stores["b1"].Reserve(clk.Now(), peerapi.ReserveRequest{Key: key, Attempt: "won"})
	fm.restart("a2")
	fm.recover(t, "a2", ids...)
	for _, id := range ids {
		fm.stores[id].Finish(peerapi.FinishRequest{Key: key, Attempt: "lost", Response: weir.NotRunResponse("not claimed")})
	}
	claim := fm.group("a1", ids...).Claim(context.Background(), key, "again")
	require.False(t, claim.Won, "another attempt has won the key")
}
