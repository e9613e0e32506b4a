// Package hub sends view effects to subscribers. Each control process serves the
// entry instances that subscribed to it, which takes load off the leader. A
// subscriber that is too far behind receives a snapshot.
//
// Usage:
//
//	hb := hub.New()
//	mc := fsm.New(hb.Publish, hb.Reset)
//	hb.View = mc.View
//	hb.Subscribe(ctx, conn, have)
package hub

import (
	"context"
	"sync"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/view"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxKeptEffects is the number of effects that are kept for subscribers.
	maxKeptEffects = 4096
	// maxEffectBatch is the maximum number of effects in one notification.
	maxEffectBatch = 256
)

// Hub keeps the last effects and sends them to subscribers.
type Hub struct {
	// View returns the complete view for snapshots.
	View func() view.View

	mu      sync.Mutex
	effects []view.Effect
	subs    map[*jsonrpc2.Conn]*subscription
}

type subscription struct {
	conn      *jsonrpc2.Conn
	sentIndex uint64
	wake      chan struct{}
	cancel    context.CancelFunc
}

// New returns an empty hub.
func New() *Hub { return &Hub{subs: map[*jsonrpc2.Conn]*subscription{}} }

// Publish adds the next effect and wakes all subscribers.
func (hb *Hub) Publish(eff view.Effect) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.effects = append(hb.effects, eff)
	if len(hb.effects) > 2*maxKeptEffects {
		hb.effects = append([]view.Effect{}, hb.effects[len(hb.effects)-maxKeptEffects:]...)
	}
	hb.wakeSubscribers()
}

// Reset drops all effects, so that every subscriber receives a snapshot.
func (hb *Hub) Reset() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.effects = nil
	hb.wakeSubscribers()
}

func (hb *Hub) wakeSubscribers() {
	for _, sub := range hb.subs {
		select {
		case sub.wake <- struct{}{}:
		default:
		}
	}
}

// Subscribe sends effects on a connection until it ends, starting after the index
// that the subscriber already has.
func (hb *Hub) Subscribe(ctx context.Context, conn *jsonrpc2.Conn, have uint64) {
	ctx, cancel := context.WithCancel(ctx)
	sub := &subscription{conn: conn, sentIndex: have, wake: make(chan struct{}, 1), cancel: cancel}
	sub.wake <- struct{}{}
	hb.mu.Lock()
	if old, ok := hb.subs[conn]; ok {
		old.cancel()
	}
	hb.subs[conn] = sub
	hb.mu.Unlock()
	go hb.sendLoop(ctx, sub)
}

// Unsubscribe ends the subscription of a connection.
func (hb *Hub) Unsubscribe(conn *jsonrpc2.Conn) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if sub, ok := hb.subs[conn]; ok {
		sub.cancel()
		delete(hb.subs, conn)
	}
}

// Subscribers returns the number of subscriptions.
func (hb *Hub) Subscribers() int {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return len(hb.subs)
}

func (hb *Hub) sendLoop(ctx context.Context, sub *subscription) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.conn.DisconnectNotify():
			hb.Unsubscribe(sub.conn)
			return
		case <-sub.wake:
		}
		for hb.sendNext(ctx, sub) {
		}
	}
}

// sendNext sends the next effects or a snapshot. It reports whether there may be
// more to send.
func (hb *Hub) sendNext(ctx context.Context, sub *subscription) bool {
	list, gap := hb.effectsAfter(sub.sentIndex)
	if gap {
		vw := hb.View()
		if vw.Index <= sub.sentIndex {
			return false
		}
		if sub.conn.Notify(ctx, peerapi.ViewSnapshot, vw) != nil {
			return false
		}
		metrics.GetOrCreateCounter("weir_view_snapshots_sent_total").Inc()
		sub.sentIndex = vw.Index
		return true
	}
	if len(list) == 0 {
		return false
	}
	if sub.conn.Notify(ctx, peerapi.ViewEffects, peerapi.Effects{List: list}) != nil {
		return false
	}
	sub.sentIndex = list[len(list)-1].Index
	return true
}

// effectsAfter returns up to maxEffectBatch effects after an index. gap is set if
// some of them are no longer kept.
func (hb *Hub) effectsAfter(sent uint64) (list []view.Effect, gap bool) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	first := len(hb.effects)
	for first > 0 && hb.effects[first-1].Index > sent {
		first--
	}
	if first == len(hb.effects) {
		return nil, first == 0
	}
	if hb.effects[first].PrevIndex != sent {
		return nil, true
	}
	last := min(len(hb.effects), first+maxEffectBatch)
	return append([]view.Effect{}, hb.effects[first:last]...), false
}
