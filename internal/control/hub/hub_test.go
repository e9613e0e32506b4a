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

// listener collects what a subscriber is sent.
type listener struct {
	mu        sync.Mutex
	view      view.View
	snapshots int
	gaps      int
}

func (li *listener) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	li.mu.Lock()
	defer li.mu.Unlock()
	before := li.view.Index
	switch req.Method {
	case peerapi.ViewSnapshot:
		var vw view.View
		if decode(req, &vw) && vw.Index > li.view.Index {
			li.view = vw
			li.snapshots++
		}
	case peerapi.ViewEffects:
		var effs peerapi.Effects
		if !decode(req, &effs) {
			return
		}
		for _, eff := range effs.List {
			next, err := li.view.With(eff)
			if err != nil {
				li.gaps++
				return
			}
			li.view = next
		}
	}
	if li.view.Index < before {
		li.gaps++
	}
}

func (li *listener) index() uint64 {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.view.Index
}

// subscribe links a listener to a hub.
func subscribe(t *testing.T, hb *Hub, have uint64) *listener {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	li := &listener{view: view.View{Index: have}}
	codec := jsonrpc2.VarintObjectCodec{}
	jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(far, codec), li)
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(near, codec), &listener{})
	hb.Subscribe(ctx, conn, have)
	return li
}

func TestSubscribersGetEverything(t *testing.T) {
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
	for range keptEffects * 3 {
		index++
		publish(index)
	}
	late := subscribe(t, hb, middle) // its effects are no longer kept
	ahead := subscribe(t, hb, index+5)
	for _, li := range []*listener{early, behind, late} {
		require.Eventually(t, func() bool { return li.index() == index }, 10*time.Second, time.Millisecond)
		require.Zero(t, li.gaps)
	}
	require.Positive(t, late.snapshots)
	require.Equal(t, index+5, ahead.index(), "one that is ahead is not sent back")
	hb.Reset()
	index++
	publish(index)
	require.Eventually(t, func() bool { return early.index() == index }, 10*time.Second, time.Millisecond)
}

func decode(req *jsonrpc2.Request, into any) bool {
	return req.Params != nil && json.Unmarshal(*req.Params, into) == nil
}
