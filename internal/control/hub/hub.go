// Package hub sends effects on views to subscribers: each control process
// feeds the entry instances that chose it, so that the leader does not feed
// them all. A subscriber that is too far behind gets a snapshot.
//
// Usage:
//
//	hb := hub.New()
//	mc := machine.New(hb.Publish, hb.Reset)
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
	// keptEffects bounds the effects that are kept for subscribers.
	keptEffects = 4096
	// maxEffectBatch bounds the effects of one notification.
	maxEffectBatch = 256
)

// Hub keeps the last effects and feeds subscribers.
type Hub struct {
	// View returns the whole view for snapshots.
	View func() view.View

	mu      sync.Mutex
	effects []view.Effect
	subs    map[*jsonrpc2.Conn]*subscription
}

type subscription struct {
	conn   *jsonrpc2.Conn
	sent   uint64
	wake   chan struct{}
	cancel context.CancelFunc
}

// New returns an empty hub.
func New() *Hub { return &Hub{subs: map[*jsonrpc2.Conn]*subscription{}} }

// Publish takes the next effect.
func (hb *Hub) Publish(eff view.Effect) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.effects = append(hb.effects, eff)
	if len(hb.effects) > 2*keptEffects {
		hb.effects = append([]view.Effect{}, hb.effects[len(hb.effects)-keptEffects:]...)
	}
	hb.wakeAll()
}

// Reset forgets all effects; every subscriber gets a snapshot.
func (hb *Hub) Reset() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.effects = nil
	hb.wakeAll()
}

func (hb *Hub) wakeAll() {
	for _, sub := range hb.subs {
		select {
		case sub.wake <- struct{}{}:
		default:
		}
	}
}

// Subscribe feeds a link until it ends, starting behind the index it has.
func (hb *Hub) Subscribe(ctx context.Context, conn *jsonrpc2.Conn, have uint64) {
	ctx, cancel := context.WithCancel(ctx)
	sub := &subscription{conn: conn, sent: have, wake: make(chan struct{}, 1), cancel: cancel}
	sub.wake <- struct{}{}
	hb.mu.Lock()
	if old, ok := hb.subs[conn]; ok {
		old.cancel()
	}
	hb.subs[conn] = sub
	hb.mu.Unlock()
	go hb.feed(ctx, sub)
}

// Unsubscribe ends the subscription of a link.
func (hb *Hub) Unsubscribe(conn *jsonrpc2.Conn) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if sub, ok := hb.subs[conn]; ok {
		sub.cancel()
		delete(hb.subs, conn)
	}
}

// Subscribers returns how many links are fed.
func (hb *Hub) Subscribers() int {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return len(hb.subs)
}

func (hb *Hub) feed(ctx context.Context, sub *subscription) {
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

// sendNext sends the next effects, or a snapshot, and reports whether there
// may be more to send.
func (hb *Hub) sendNext(ctx context.Context, sub *subscription) bool {
	list, gap := hb.behind(sub.sent)
	if gap {
		vw := hb.View()
		if vw.Index <= sub.sent {
			return false
		}
		if sub.conn.Notify(ctx, peerapi.ViewSnapshot, vw) != nil {
			return false
		}
		metrics.GetOrCreateCounter("weir_view_snapshots_sent_total").Inc()
		sub.sent = vw.Index
		return true
	}
	if len(list) == 0 {
		return false
	}
	if sub.conn.Notify(ctx, peerapi.ViewEffects, peerapi.Effects{List: list}) != nil {
		return false
	}
	sub.sent = list[len(list)-1].Index
	return true
}

// behind returns the effects that follow an index, or that some are missing.
func (hb *Hub) behind(sent uint64) (list []view.Effect, gap bool) {
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
