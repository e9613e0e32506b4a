// Package rpc handles the calls of other processes at a control process and
// forwards commands and reports to the leader.
//
// Usage:
//
//	sv := &rpc.Service{Self: "c1", Node: nd, Machine: mc, Hub: hb, Registry: rg, Links: links, Clock: clk}
//	server := &peer.Server{Addr: addr, Token: token, Handle: sv.Handle, OnDisconnect: hb.Unsubscribe}
package rpc

import (
	"context"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/control/hub"
	"greengageweir/internal/control/registry"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/node"
	"greengageweir/internal/state/replica"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindNoLeader Kind = "no leader is known"
	KindDecode   Kind = "cannot encode or decode"
	KindBehind   Kind = "this process has not caught up"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Service handles calls of other processes. Set the exported fields before use.
type Service struct {
	Self     string
	Node     *node.Node
	Machine  *fsm.Machine
	Hub      *hub.Hub
	Registry *registry.Registry
	Links    *links.Links
	Clock    weir.Clock
}

// Handle implements peer.Handler.
func (sv *Service) Handle(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peerapi.RaftMessage:
		var msg replica.Message
		if err := call.Decode(&msg); err != nil {
			return nil, err
		}
		sv.Node.Deliver(msg)
		return nil, nil
	case peerapi.ViewSubscribe:
		var sub peerapi.SubscribeRequest
		if err := call.Decode(&sub); err != nil {
			return nil, err
		}
		sv.Hub.Subscribe(context.WithoutCancel(ctx), call.Conn, sub.Have)
		return struct{}{}, nil
	case peerapi.EntryReport:
		var rep peerapi.Report
		if err := call.Decode(&rep); err != nil {
			return nil, err
		}
		return sv.Report(ctx, rep)
	case peerapi.ControlPropose:
		var cmd command.Command
		if err := call.Decode(&cmd); err != nil {
			return nil, err
		}
		return sv.proposeLocal(ctx, cmd)
	case peerapi.ControlProcesses:
		return sv.Processes(ctx)
	}
	return nil, peer.MethodNotFound(call.Method)
}

// IsLeader reports whether this process is the leader to its own knowledge. It may
// have been replaced already.
func (sv *Service) IsLeader() bool { return sv.Node.Status().Role == replica.Leader }

// Propose commits a command. If this process is not the leader, it forwards the
// command to the leader.
func (sv *Service) Propose(ctx context.Context, cmd command.Command) (command.Result, error) {
	if sv.IsLeader() {
		return sv.proposeLocal(ctx, cmd)
	}
	var ans command.Result
	err := sv.callLeader(ctx, peerapi.ControlPropose, cmd, &ans)
	return ans, err
}

func (sv *Service) proposeLocal(ctx context.Context, cmd command.Command) (command.Result, error) {
	data, err := cmd.Encode()
	if err != nil {
		return command.Result{}, &Error{Op: "propose", Kind: KindDecode, Err: err}
	}
	value, err := sv.Node.Propose(ctx, data)
	if err != nil {
		return command.Result{}, err
	}
	ans, ok := value.(command.Result)
	if !ok {
		return command.Result{}, &Error{Op: "propose", Kind: KindDecode}
	}
	return ans, nil
}

func (sv *Service) callLeader(ctx context.Context, method string, params, result any) error {
	leader := sv.Node.Status().Leader
	if leader == "" || leader == sv.Self {
		return &Error{Op: method, Kind: KindNoLeader}
	}
	return sv.Links.Call(ctx, leader, method, params, result)
}

// Processes returns the leader's state of all entry instances, which shows how far
// a configuration has been rolled out.
func (sv *Service) Processes(ctx context.Context) ([]peerapi.EntryProcess, error) {
	var list []peerapi.EntryProcess
	if !sv.IsLeader() {
		err := sv.callLeader(ctx, peerapi.ControlProcesses, struct{}{}, &list)
		return list, err
	}
	sv.Machine.Read(func(rd fsm.Reader) {
		list = sv.Registry.Processes(sv.Clock.Now(), rd.Processes())
	})
	return list, nil
}

// catchUpPollInterval is how often Barrier checks the applied index.
const catchUpPollInterval = 2 * time.Millisecond

// Barrier returns once this process has applied everything that was committed
// before the call, so that subsequent reads are linearizable.
func (sv *Service) Barrier(ctx context.Context) error {
	ans, err := sv.Propose(ctx, command.Command{At: sv.Clock.Now(), Barrier: &command.Barrier{}})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(catchUpPollInterval)
	defer ticker.Stop()
	for {
		var index uint64
		sv.Machine.Read(func(rd fsm.Reader) { index = rd.Index() })
		if index >= ans.Index {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "read", Kind: KindBehind, Err: ctx.Err()}
		case <-ticker.C:
		}
	}
}
