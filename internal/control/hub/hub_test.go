package hub

import (
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/view"
)

// testSubscriber applies the received effects and snapshots to a view.
type testSubscriber struct {
	mu        sync.Mutex
	view      view.View
	snapshots int
	gaps      int
}

func (ts *testSubscriber) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	before := ts.view.Index
	switch req.Method {
	case peerapi.ViewSnapshot:
		var vw view.View
		if decode(req, &vw) && vw.Index > ts.view.Index {
			ts.view = vw
			ts.snapshots++
		}
	case peerapi.ViewEffects:
		var effs peerapi.Effects
		if !decode(req, &effs) {
			return
		}
		for _, eff := range effs.List {
			next, err := ts.view.With(eff)
			if err != nil {
				ts.gaps++
				return
			}
			ts.view = next
		}
	}
	if ts.view.Index < before {
		ts.gaps++
	}
}

func (ts *testSubscriber) index() uint64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.view.Index
}

// subscribe connects a test subscriber to a hub.
func subscribe(t *testing.T, hb *Hub, have uint64) *testSubscriber {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ts := &testSubscriber{view: view.View{Index: have}}
	codec := jsonrpc2.VarintObjectCodec{}
	jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(far, codec), ts)
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(near, codec), &testSubscriber{})
	hb.Subscribe(ctx, conn, have)
	return ts
}

// TestSubscribersReceiveAllEffects checks that subscribers reach the last index
// without a gap, also those that need a snapshot because their effects are no
// longer kept, and that no view goes back.
func TestSubscribersReceiveAllEffects(t *testing.T) {
	var mu sync.Mutex
	last := uint64(0)
	hb := New()
	hb.View = func() view.View {
		mu.Lock()
		defer mu.Unlock()
		return view.View{Index: last}
	}
	publish := func(index uint64) {
		mu.Lock()
		eff := view.Effect{PrevIndex: last, Index: index}
		last = index
		mu.Unlock()
		hb.Publish(eff)
	}
	rng := rand.New(rand.NewSource(1))
	early := subscribe(t, hb, 0)
	index := uint64(0)
	for range 500 {
		index += 1 + uint64(rng.Intn(3))
		publish(index)
	}
	middle := index
	behind := subscribe(t, hb, 0)
	for range maxKeptEffects * 3 {
		index++
		publish(index)
	}
	late := subscribe(t, hb, middle) // its effects are no longer kept
	ahead := subscribe(t, hb, index+5)
	for _, ts := range []*testSubscriber{early, behind, late} {
		require.Eventually(t, func() bool { return ts.index() == index }, 10*time.Second, time.Millisecond)
		require.Zero(t, ts.gaps)
	}
	require.Positive(t, late.snapshots)
	require.Equal(t, index+5, ahead.index(), "a subscriber that is ahead must not go back")
	hb.Reset()
	index++
	publish(index)
	require.Eventually(t, func() bool { return early.index() == index }, 10*time.Second, time.Millisecond)
}

func decode(req *jsonrpc2.Request, into any) bool {
	return req.Params != nil && json.Unmarshal(*req.Params, into) == nil
}
