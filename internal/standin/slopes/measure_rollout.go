package slopes

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/control/hub"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"
)

// publishEffects connects listeners to a hub over loopback and publishes effects
// to them. It returns the CPU microseconds per listener and effect, and the
// milliseconds until all listeners have received an effect.
func (ms *measurer) publishEffects(listeners, effects int) (cpuEach, millisAll float64) {
	hb := hub.New()
	hb.View = func() view.View { return view.View{} }
	sv := &peer.Server{Addr: "127.0.0.1:0", Token: "token-of-the-slopes", OnDisconnect: hb.Unsubscribe}
	sv.Handle = func(ctx context.Context, call peer.Call) (any, error) {
		hb.Subscribe(context.WithoutCancel(ctx), call.Conn, 0)
		return struct{}{}, nil
	}
	ms.check(sv.Default())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = sv.Run(ctx) }()
	var got atomic.Int64
	for ix := range listeners {
		cl := &peer.Client{Addr: sv.Address(), Token: sv.Token, Self: peer.Identity{ID: fmt.Sprint(ix)}}
		cl.Handle = func(_ context.Context, call peer.Call) (any, error) {
			var effs peerapi.Effects
			ms.check(call.Decode(&effs))
			got.Add(int64(len(effs.List)))
			return nil, nil
		}
		go func() { _ = cl.Run(ctx) }()
		for !cl.Connected() {
			time.Sleep(time.Millisecond)
		}
		ms.check(cl.Call(ctx, peerapi.ViewSubscribe, peerapi.SubscribeRequest{}, nil))
	}
	delta := poolChange(fleetConfig(0), 1)
	begin := ms.clk.Now()
	cpu := cpuMicros(effects*listeners, func() {
		for ix := range effects {
			hb.Publish(view.Effect{PrevIndex: uint64(ix), Index: uint64(ix) + 1, Config: &delta})
			for got.Load() < int64((ix+1)*listeners) {
				time.Sleep(20 * time.Microsecond)
			}
		}
	})
	return cpu, ms.clk.Now().Sub(begin).Seconds() * 1000 / float64(effects)
}

func (ms *measurer) rolloutMicros() Slope {
	return measureSeries("roll-out CPU, both ends", "listener", "us a listener and change", listenerSizes, func(size int) float64 {
		cpu, _ := ms.publishEffects(size, 50)
		return cpu
	})
}

func (ms *measurer) rolloutMillis() Slope {
	return measureSeries("roll-out from one member to all its listeners", "listener", "ms", listenerSizes, func(size int) float64 {
		_, millis := ms.publishEffects(size, 50)
		return millis
	})
}
