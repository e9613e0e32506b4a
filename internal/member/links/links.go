// Package links keeps the links from a process to the processes that hold the
// replicated log. The set may grow while it runs.
//
// Usage:
//
//	ls := &links.Links{Self: self, Token: token, Addrs: addrs, Logger: lg}
//	go ls.Run(ctx)
//	ls.Add("10.1.0.9:7060", "10.1.0.9:7060")
//	ls.Send(raftMessage)
//	err := ls.Call(ctx, id, method, params, &result)
package links

import (
	"context"
	"sync"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/state/replica"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// Kind tells the errors of this package apart.
type Kind string

// KindNoPeer says that no such process is known.
const KindNoPeer Kind = "no such process"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// ringSlots bounds the messages that wait to be sent to one member; with
// entries of some kilobytes it is a few megabytes.
const ringSlots = 2048

// beatEvery is the time between heartbeats of a link: two fit into the time
// after which a link counts as silent. With 45 entry instances and five
// members, beats are a sixth of all that a follower handles.
const beatEvery = peer.LinkTimeout / 2

// Links are the links to the other processes. Set the exported fields before
// Run.
type Links struct {
	Self   peer.Identity
	Token  string
	Addrs  map[string]string
	Logger log.Logger
	// NoRaft leaves out the links for the log's messages.
	NoRaft bool

	mu      sync.RWMutex
	ctx     context.Context
	members map[string]*member
	running sync.WaitGroup
}

// member is one other process; raft messages have a link of their own, so
// that a forwarded request does not delay them.
type member struct {
	raft  *peer.Client
	calls *peer.Client
	ring  chan replica.Message
}

// String is the step's name in logs.
func (ls *Links) String() string { return "member links" }

// Default builds the links that are known from the start.
func (ls *Links) Default() error {
	if ls.members == nil {
		ls.members = map[string]*member{}
	}
	for id, addr := range ls.Addrs {
		ls.Add(id, addr)
	}
	return nil
}

// Run keeps the links up.
func (ls *Links) Run(ctx context.Context) error {
	ls.mu.Lock()
	ls.ctx = ctx
	for _, mb := range ls.members {
		ls.start(mb)
	}
	ls.mu.Unlock()
	<-ctx.Done()
	ls.running.Wait()
	return nil
}

// Add makes another process known; it does nothing for a known one.
func (ls *Links) Add(id, addr string) {
	if id == ls.Self.ID {
		return
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.members == nil {
		ls.members = map[string]*member{}
	}
	if ls.members[id] != nil {
		return
	}
	mb := &member{
		calls: &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self, HeartbeatInterval: beatEvery},
		ring:  make(chan replica.Message, ringSlots),
	}
	if !ls.NoRaft {
		mb.raft = &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self, HeartbeatInterval: beatEvery}
	}
	ls.members[id] = mb
	if ls.ctx != nil && ls.ctx.Err() == nil {
		ls.start(mb)
	}
}

// start runs with the lock held.
func (ls *Links) start(mb *member) {
	ctx := ls.ctx
	ls.running.Go(func() { _ = mb.calls.Run(ctx) })
	if mb.raft != nil {
		ls.running.Go(func() { _ = mb.raft.Run(ctx) })
		ls.running.Go(func() { mb.sendRaft(ctx) })
	}
}

// Ready reports whether the link to a process is up.
func (ls *Links) Ready(id string) bool {
	mb := ls.member(id)
	return mb != nil && mb.calls.Connected()
}

func (ls *Links) member(id string) *member {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.members[id]
}

// Send hands a raft message to the sender; it drops it when too many wait.
func (ls *Links) Send(msg replica.Message) {
	mb := ls.member(msg.To)
	if mb == nil {
		return
	}
	select {
	case mb.ring <- msg:
	default:
		metrics.GetOrCreateCounter("weir_log_sends_dropped_total").Inc()
	}
}

// Call calls a method at another process.
func (ls *Links) Call(ctx context.Context, id, method string, params, result any) error {
	mb := ls.member(id)
	if mb == nil {
		return &Error{Op: method + " at " + id, Kind: KindNoPeer}
	}
	return mb.calls.Call(ctx, method, params, result)
}

// sendRaft sends the raft messages for one member in order.
func (mb *member) sendRaft(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-mb.ring:
			_ = mb.raft.Notify(ctx, peerapi.RaftMessage, msg)
		}
	}
}
