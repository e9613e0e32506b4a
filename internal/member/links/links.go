// Package links maintains the connections from a process to the processes that
// hold a replica of the replicated log. Processes can be added while it runs.
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

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/state/replica"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// Kind classifies the errors of this package.
type Kind string

// KindNoPeer means that the process was never added.
const KindNoPeer Kind = "no such process"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// raftQueueSize bounds the Raft messages queued for one member. With entries of
// some kilobytes, a full queue takes a few megabytes.
const raftQueueSize = 2048

// heartbeatInterval is the time between two heartbeats of a link. Two fit into the
// link timeout. With 45 entry instances and five members, heartbeats are a sixth
// of all that a follower handles.
const heartbeatInterval = peer.LinkTimeout / 2

// Links holds the connections to the other processes. Set the exported fields
// before Run.
type Links struct {
	Self   peer.Identity
	Token  string
	Addrs  map[string]string
	Logger log.Logger
	// NoRaft disables the connections for Raft messages.
	NoRaft bool

	mu      sync.RWMutex
	ctx     context.Context
	members map[string]*member
	running sync.WaitGroup
}

// member is one other process. Raft messages use a separate connection, so that
// forwarded requests do not delay them.
type member struct {
	raft      *peer.Client
	calls     *peer.Client
	raftQueue chan replica.Message
}

// String returns the name of the component in logs.
func (ls *Links) String() string { return "member links" }

// Default adds the processes in Addrs.
func (ls *Links) Default() error {
	if ls.members == nil {
		ls.members = map[string]*member{}
	}
	for id, addr := range ls.Addrs {
		ls.Add(id, addr)
	}
	return nil
}

// Run keeps the connections up until the context ends.
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

// Add adds another process, and connects to it at once if Run is active. It does
// nothing for this process itself and for a process that was added before.
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
		calls:     &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self, HeartbeatInterval: heartbeatInterval},
		raftQueue: make(chan replica.Message, raftQueueSize),
	}
	if !ls.NoRaft {
		mb.raft = &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self, HeartbeatInterval: heartbeatInterval}
	}
	ls.members[id] = mb
	if ls.ctx != nil && ls.ctx.Err() == nil {
		ls.start(mb)
	}
}

// start connects to a member. The caller holds the lock.
func (ls *Links) start(mb *member) {
	ctx := ls.ctx
	ls.running.Go(func() { _ = mb.calls.Run(ctx) })
	if mb.raft != nil {
		ls.running.Go(func() { _ = mb.raft.Run(ctx) })
		ls.running.Go(func() { mb.sendRaft(ctx) })
	}
}

// Ready reports whether the connection for calls to a process is up.
func (ls *Links) Ready(id string) bool {
	mb := ls.member(id)
	return mb != nil && mb.calls.Connected()
}

// Responsive reports whether the connection for calls to a process is up and the
// process replies to heartbeats.
func (ls *Links) Responsive(id string) bool {
	mb := ls.member(id)
	return mb != nil && mb.calls.Responsive()
}

func (ls *Links) member(id string) *member {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.members[id]
}

// Send queues a Raft message. It drops the message if the queue is full or the
// receiver is unknown.
func (ls *Links) Send(msg replica.Message) {
	mb := ls.member(msg.To)
	if mb == nil {
		return
	}
	select {
	case mb.raftQueue <- msg:
	default:
		metrics.GetOrCreateCounter("weir_log_sends_dropped_total").Inc()
	}
}

// Call calls a method of another process. It returns KindNoPeer if the process
// is unknown.
func (ls *Links) Call(ctx context.Context, id, method string, params, result any) error {
	mb := ls.member(id)
	if mb == nil {
		return &Error{Op: method + " at " + id, Kind: KindNoPeer}
	}
	return mb.calls.Call(ctx, method, params, result)
}

// sendRaft sends the queued Raft messages in order.
func (mb *member) sendRaft(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-mb.raftQueue:
			_ = mb.raft.Notify(ctx, peerapi.RaftMessage, msg)
		}
	}
}
