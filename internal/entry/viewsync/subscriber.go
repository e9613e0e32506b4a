// Package viewsync keeps an entry instance's copy of the fleet view up to date.
// It connects to all control processes and subscribes to the view at one of
// them. When that process is unreachable or a call to it fails, as without a
// leader, it subscribes at another one. The view's index never decreases,
// whichever process sends it, and an entry instance without any control process
// keeps its last view.
//
// Usage:
//
//	sb := &viewsync.Subscriber{Controls: addrs, Token: token, Self: self, OnView: tb.SetView}
//	go sb.Run(ctx)
//	err := sb.Call(ctx, peerapi.EntryReport, report, &resp)
package viewsync

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"

	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"

	weir "greengageweir"
)

const (
	checkInterval    = 100 * time.Millisecond
	subscribeTimeout = time.Second
)

// Subscriber keeps a copy of the view. Set the exported fields before Default.
type Subscriber struct {
	Controls []string
	Token    string
	Self     peer.Identity
	Logger   log.Logger
	// OnView is called with each newer view, in order.
	OnView func(vw view.View)

	clients []*peer.Client

	mu   sync.Mutex
	view view.View
	// source is the index of the client with the subscription, or -1, and
	// sourceConn the connection on which it was made.
	source     int
	sourceConn *jsonrpc2.Conn
	// stale is set when the subscription must be renewed.
	stale bool
}

// String returns the component's name in logs.
func (sb *Subscriber) String() string { return "view subscriber" }

// Default creates the clients of the control processes.
func (sb *Subscriber) Default() error {
	sb.source = -1
	for ix, addr := range sb.Controls {
		sb.clients = append(sb.clients, &peer.Client{
			Addr: addr, Token: sb.Token, Self: sb.Self,
			Handle: func(_ context.Context, call peer.Call) (any, error) { return nil, sb.handleNotification(ix, call) },
		})
	}
	return nil
}

// Run connects to the control processes and maintains the subscription until
// the context ends.
func (sb *Subscriber) Run(ctx context.Context) error {
	components := make([]weir.Component, 0, len(sb.clients)+1)
	for _, cl := range sb.clients {
		components = append(components, cl)
	}
	return run.All(ctx, sb.Logger, append(components, &run.Func{Name: "subscriber", Do: sb.keepSubscribed})...)
}

// View returns the current view.
func (sb *Subscriber) View() view.View {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.view
}

// Call calls a method at the control process with the subscription. After an
// error the subscriber changes to another process.
func (sb *Subscriber) Call(ctx context.Context, method string, params, result any) error {
	sb.mu.Lock()
	source := sb.source
	sb.mu.Unlock()
	if source < 0 {
		return &peer.Error{Op: method, Kind: peer.KindNotSent}
	}
	err := sb.clients[source].Call(ctx, method, params, result)
	if err != nil {
		sb.markStale()
	}
	return err
}

// markStale makes the subscriber change to another control process.
func (sb *Subscriber) markStale() {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.stale = true
}

// handleNotification applies a snapshot or effects from the control process
// with the subscription; those of others are ignored.
func (sb *Subscriber) handleNotification(from int, call peer.Call) error {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if from != sb.source {
		return nil
	}
	before := sb.view.Index
	switch call.Method {
	case peerapi.ViewSnapshot:
		var vw view.View
		if err := call.Decode(&vw); err != nil {
			return err
		}
		if vw.Index > sb.view.Index {
			sb.view = vw
		}
	case peerapi.ViewEffects:
		var effs peerapi.Effects
		if err := call.Decode(&effs); err != nil {
			return err
		}
		sb.applyEffects(effs.List)
	}
	if sb.view.Index > before {
		sb.OnView(sb.view)
	}
	return nil
}

// applyEffects applies effects to the view. An effect that does not follow the
// view, because others were missed, makes the subscriber subscribe again.
func (sb *Subscriber) applyEffects(list []view.Effect) {
	for _, eff := range list {
		vw, err := sb.view.With(eff)
		if err != nil {
			sb.stale = true
			return
		}
		sb.view = vw
	}
}

// keepSubscribed subscribes whenever there is no subscription, its connection
// is lost or it is marked stale.
func (sb *Subscriber) keepSubscribed(ctx context.Context) error {
	return run.Every(ctx, checkInterval, func() {
		if sb.needsSubscription() {
			sb.subscribe(ctx)
		}
	})
}

func (sb *Subscriber) needsSubscription() bool {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.source < 0 || sb.stale || !sb.clients[sb.source].Connected() || sb.clients[sb.source].Conn() != sb.sourceConn
}

// subscribe tries the control processes in turn, starting after the last one.
func (sb *Subscriber) subscribe(ctx context.Context) {
	sb.mu.Lock()
	start := sb.source + 1
	if sb.source < 0 {
		start = int(startOffset(sb.Self.ID) % uint64(len(sb.clients)))
	}
	have := sb.view.Index
	sb.mu.Unlock()
	for off := range sb.clients {
		ix := (start + off) % len(sb.clients)
		conn := sb.clients[ix].Conn()
		if conn == nil {
			continue
		}
		sb.mu.Lock()
		sb.source, sb.sourceConn, sb.stale = ix, conn, false
		sb.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
		err := sb.clients[ix].Call(callCtx, peerapi.ViewSubscribe, peerapi.SubscribeRequest{Have: have}, nil)
		cancel()
		if err == nil {
			return
		}
		sb.markStale()
	}
}
