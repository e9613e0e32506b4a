package main

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/job/owner"
	"greengageweir/internal/job/service"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"
	"greengageweir/internal/state/node"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"
	"greengageweir/platform"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// logHeartbeat and logElection set how soon a new leader is found: an
	// election takes one to two election timeouts, well within a lease, and a
	// member that stands still for 300 ms keeps its place.
	logHeartbeat = 80 * time.Millisecond
	logElection  = 450 * time.Millisecond
	// workerLease is how long a worker goes on without its leader: a renewal
	// that was due, an election and the first renewal after it fit in, with
	// half a second to spare. A lost worker's tasks wait for its end.
	workerLease = 3 * time.Second
	// turnMargin is added to the platform's least time between two leaders'
	// orders for one machine.
	turnMargin = 500 * time.Millisecond
	// snapshotEvery bounds the log behind a snapshot to some megabytes.
	snapshotEvery = 4096
	// controlPatience is the time for requests in flight at a stop.
	controlPatience = time.Second
)

// platformControlCommand runs a process that holds the log on the platform's
// machines.
type platformControlCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (pc *platformControlCommand) Execute([]string) error {
	st, lg, err := pc.open("control")
	if err != nil {
		return err
	}
	if err := formatFirst(&st, lg); err != nil {
		return err
	}
	ctx := stopContext(lg, func() string { return "nothing that is not synced" })
	err = run.All(ctx, lg, pc.steps(&st, lg)...)
	_ = lg.Log("level", "info", "msg", "stopped", "err", err)
	return err
}

// formatFirst makes the seeds of the first start the first voters. Whoever
// comes later, or has lost its disk, joins as a learner.
func formatFirst(st *platform.Settings, lg log.Logger) error {
	formatted, err := wal.Formatted(st.DataDir)
	if err != nil || formatted || !st.FirstStart {
		return err
	}
	voters := st.SeedPeers()
	if !slices.Contains(voters, st.PeerAddress()) {
		return nil
	}
	_ = lg.Log("level", "info", "msg", "first start", "voters", len(voters))
	return wal.FormatInitial(st.DataDir, voters)
}

func (pc *platformControlCommand) steps(st *platform.Settings, lg log.Logger) []weir.Step {
	self := peer.Identity{ID: st.PeerAddress(), Role: "control", Zone: string(st.Zone)}
	lks := &links.Links{Self: self, Token: peerToken, Logger: lg}
	str := store.New()
	steady, wall := clock.Steady{}, clock.Wall{}
	str.Clock = steady
	nod := &node.Node{
		ID: self.ID, Dir: st.DataDir, Machine: str, Send: lks.Send, Clock: steady, Logger: lg,
		Heartbeat: logHeartbeat, Election: logElection, SnapshotEvery: snapshotEvery,
	}
	ros := &roster.Roster{
		Self: self.ID, Holder: true, Seeds: st.SeedPeers(), Links: lks, Log: nod, Voters: 2*st.Tolerance.Machines + 1, Logger: lg,
	}
	com := &owner.Committer{Log: nod, Wall: wall}
	own := &owner.Owner{
		Store: str, Committer: com, Lead: nod, Workers: platform.NewWorkers(steady), Clock: steady, Wall: wall, Logger: lg,
		Lease: workerLease, Retention: time.Duration(st.Bounds.RetentionS+1) * time.Second,
		HolderName: st.Name, OrderPause: time.Duration(st.Bounds.TurnMS)*time.Millisecond + turnMargin,
	}
	if st.Cloud.Address != "" {
		own.Machines = platform.NewMachines(st.Cloud.Address, steady)
	}
	str.Applied = own.Wake
	svc := &service.Service{
		Self: self.ID, Store: str, Committer: com, Owner: own, Lead: nod, Links: lks, Clock: steady, Wall: wall, Logger: lg,
	}
	ctl := &platform.Control{Handler: svc, Wall: wall, Leader: func() string { return st.ControlAddress(nod.LeaderID()) }}
	return []weir.Step{
		lks,
		nod,
		com,
		own,
		ros,
		pc.watch(lg, ros),
		metricsStep(st, func() any { return map[string]any{"log": nod.Status(), "holders": ros.Holders()} }),
		&peer.Server{Addr: self.ID, Token: peerToken, Handle: peerHandler(nod, ros, svc), Logger: lg},
		&ops.Listener{Name: "control listener", Addr: st.Bind.Control, Handler: ctl.Routes(), Patience: controlPatience},
	}
}

// peerHandler answers the other processes.
func peerHandler(nod *node.Node, ros *roster.Roster, svc *service.Service) peer.Handler {
	return func(ctx context.Context, call peer.Call) (any, error) {
		switch call.Method {
		case peerapi.RaftMessage:
			var msg replica.Message
			if err := call.Decode(&msg); err != nil {
				return nil, err
			}
			nod.Deliver(msg)
			return nil, nil
		case jobapi.Directory:
			var in jobapi.Introduction
			if err := call.Decode(&in); err != nil {
				return nil, err
			}
			return ros.Answer(in), nil
		case jobapi.Method:
			var in jobapi.Call
			if err := call.Decode(&in); err != nil {
				return nil, err
			}
			return svc.Handle(ctx, in), nil
		}
		return nil, peer.Unknown(call.Method)
	}
}
