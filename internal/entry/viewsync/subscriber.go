// Package follow keeps an entry instance's view up to date. It is linked to
// all control processes and subscribes at one of them; when that one falls
// silent or has lost the leader, it subscribes at another. The view never
// goes back, whoever sends it, and an entry instance that is cut off keeps
// the one it has.
//
// Usage:
//
//	fl := &follow.Follower{Controls: addrs, Token: token, Self: self, OnView: tb.SetView}
//	go fl.Run(ctx)
//	err := fl.Call(ctx, peerapi.EntryReport, report, &answer)
package viewsync

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"

	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"

	weir "greengageweir"
)

const (
	checkEvery       = 100 * time.Millisecond
	subscribeTimeout = time.Second
)

// Subscriber follows the view. Set the exported fields before Run.
type Subscriber struct {
	Controls []string
	Token    string
	Self     peer.Identity
	Logger   log.Logger
	// OnView is called with each newer view, in order.
	OnView func(vw view.View)

	links []*peer.Client

	mu     sync.Mutex
	view   view.View
	feed   int
	feedOn *jsonrpc2.Conn
	stale  bool
}

// String is the step's name in logs.
func (fl *Subscriber) String() string { return "view follower" }

// Default builds the links to the control processes.
func (fl *Subscriber) Default() error {
	fl.feed = -1
	for ix, addr := range fl.Controls {
		fl.links = append(fl.links, &peer.Client{
			Addr: addr, Token: fl.Token, Self: fl.Self,
			Handle: func(_ context.Context, call peer.Call) (any, error) { return nil, fl.take(ix, call) },
		})
	}
	return nil
}

// Run keeps a subscription until the context ends.
func (fl *Subscriber) Run(ctx context.Context) error {
	steps := make([]weir.Component, 0, len(fl.links)+1)
	for _, cl := range fl.links {
		steps = append(steps, cl)
	}
	return run.All(ctx, fl.Logger, append(steps, &run.Func{Name: "subscriber", Do: fl.keepFeed})...)
}

// View returns the present view.
func (fl *Subscriber) View() view.View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.view
}

// Call calls a method at the control process that feeds the view.
func (fl *Subscriber) Call(ctx context.Context, method string, params, result any) error {
	fl.mu.Lock()
	feed := fl.feed
	fl.mu.Unlock()
	if feed < 0 {
		return &peer.Error{Op: method, Kind: peer.KindNotSent}
	}
	err := fl.links[feed].Call(ctx, method, params, result)
	if err != nil {
		fl.doubt()
	}
	return err
}

// doubt makes the subscriber look for another control process.
func (fl *Subscriber) doubt() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.stale = true
}

// take handles a notification of the control process that feeds the view.
// Effects that leave a gap make the follower subscribe again.
func (fl *Subscriber) take(from int, call peer.Call) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if from != fl.feed {
		return nil
	}
	before := fl.view.Index
	switch call.Method {
	case peerapi.ViewSnapshot:
		var vw view.View
		if err := call.Decode(&vw); err != nil {
			return err
		}
		if vw.Index > fl.view.Index {
			fl.view = vw
		}
	case peerapi.ViewEffects:
		var effs peerapi.Effects
		if err := call.Decode(&effs); err != nil {
			return err
		}
		fl.takeEffects(effs.List)
	}
	if fl.view.Index > before {
		fl.OnView(fl.view)
	}
	return nil
}

func (fl *Subscriber) takeEffects(list []view.Effect) {
	for _, eff := range list {
		vw, err := fl.view.With(eff)
		if err != nil {
			fl.stale = true
			return
		}
		fl.view = vw
	}
}

// keepFeed subscribes again whenever the feed is lost or in doubt.
func (fl *Subscriber) keepFeed(ctx context.Context) error {
	return run.Every(ctx, checkEvery, func() {
		if fl.needsFeed() {
			fl.subscribe(ctx)
		}
	})
}

func (fl *Subscriber) needsFeed() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.feed < 0 || fl.stale || !fl.links[fl.feed].Connected() || fl.links[fl.feed].Conn() != fl.feedOn
}

// subscribe tries the control processes behind the last one, in turn.
func (fl *Subscriber) subscribe(ctx context.Context) {
	fl.mu.Lock()
	start := fl.feed + 1
	if fl.feed < 0 {
		start = int(spread(fl.Self.ID) % uint64(len(fl.links)))
	}
	have := fl.view.Index
	fl.mu.Unlock()
	for off := range fl.links {
		ix := (start + off) % len(fl.links)
		conn := fl.links[ix].Conn()
		if conn == nil {
			continue
		}
		fl.mu.Lock()
		fl.feed, fl.feedOn, fl.stale = ix, conn, false
		fl.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
		err := fl.links[ix].Call(callCtx, peerapi.ViewSubscribe, peerapi.Subscribe{Have: have}, nil)
		cancel()
		if err == nil {
			return
		}
		fl.doubt()
	}
}
