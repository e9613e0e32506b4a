package serve

import (
	"context"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/state/replica"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

// ringSlots bounds the messages that wait to be sent to one member.
const ringSlots = 2048

// Links are the links to the other control processes. Set the exported fields
// before Run.
type Links struct {
	Self   peer.Identity
	Token  string
	Addrs  map[string]string
	Logger log.Logger

	members map[string]*member
}

// member is one other control process; raft messages have a link of their
// own, so that a forwarded request does not delay them.
type member struct {
	raft  *peer.Client
	calls *peer.Client
	ring  chan replica.Message
}

// String is the step's name in logs.
func (ls *Links) String() string { return "control links" }

// Default builds the links.
func (ls *Links) Default() error {
	ls.members = map[string]*member{}
	for id, addr := range ls.Addrs {
		if id == ls.Self.ID {
			continue
		}
		ls.members[id] = &member{
			raft:  &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self},
			calls: &peer.Client{Addr: addr, Token: ls.Token, Self: ls.Self},
			ring:  make(chan replica.Message, ringSlots),
		}
	}
	return nil
}

// Run keeps the links up.
func (ls *Links) Run(ctx context.Context) error {
	var steps []weir.Step
	for id, mb := range ls.members {
		steps = append(steps, mb.raft, mb.calls, &run.Func{Name: "raft sender to " + id, Do: mb.sendRaft})
	}
	return run.All(ctx, ls.Logger, steps...)
}

// Send hands a raft message to the sender; it drops it when too many wait.
func (ls *Links) Send(msg replica.Message) {
	mb, ok := ls.members[msg.To]
	if !ok {
		return
	}
	select {
	case mb.ring <- msg:
	default:
		metrics.GetOrCreateCounter("weir_log_sends_dropped_total").Inc()
	}
}

// Call calls a method at another control process.
func (ls *Links) Call(ctx context.Context, id, method string, params, result any) error {
	mb, ok := ls.members[id]
	if !ok {
		return &Error{Op: method + " at " + id, Kind: KindNoLeader}
	}
	return mb.calls.Call(ctx, method, params, result)
}

// sendRaft sends the raft messages for one member in order.
func (mb *member) sendRaft(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-mb.ring:
			_ = mb.raft.Notify(ctx, peerapi.RaftMessage, msg)
		}
	}
}
