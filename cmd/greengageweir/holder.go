package main

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"
	"greengageweir/internal/state/node"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"

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
	// snapshotEvery bounds the log behind a snapshot to some megabytes.
	snapshotEvery = 4096
)

// holder is a process that holds the log of jobs, and may lead.
type holder struct {
	PeerAddr  string
	Zone      string
	Token     string
	Seeds     []string
	DataDir   string
	Voters    int
	Retention time.Duration
	// Leading is told when this process begins and ceases to lead; it may be nil.
	Leading func(leads bool)
	// Name is what the machines' platform is told; Turn is the least time
	// between orders of two leaders for one machine.
	Name     string
	Turn     time.Duration
	Workers  weir.TaskWorkers
	Machines weir.MachinePlatform
	// MachineRate is how many orders a second the platform takes; 0 is any.
	MachineRate float64
	Adviser     weir.Adviser
	Logger      log.Logger

	node    *node.Node
	roster  *roster.Roster
	service *handler.Handler
	steps   []weir.Component
}

// build makes the parts and the steps that run them.
func (ho *holder) build() {
	self := peer.Identity{ID: ho.PeerAddr, Role: "control", Zone: ho.Zone}
	steady, wall, lg := clock.BootTime{}, clock.Wall{}, ho.Logger
	lks := &links.Links{Self: self, Token: ho.Token, Logger: lg}
	str := store.New()
	str.Clock = steady
	ho.node = &node.Node{
		ID: self.ID, Dir: ho.DataDir, StateMachine: str, Send: lks.Send, Clock: steady, Logger: lg,
		Heartbeat: logHeartbeat, Election: logElection, SnapshotEvery: snapshotEvery, LazyPropagation: true,
	}
	ho.roster = &roster.Roster{
		Self: self.ID, HoldsLog: true, Seeds: ho.Seeds, Links: lks, Log: ho.node, Voters: ho.Voters, Logger: lg,
	}
	com := &scheduler.Committer{Log: ho.node, Wall: wall}
	own := &scheduler.Scheduler{
		Store: str, Committer: com, Leadership: ho.node, Workers: ho.Workers, Machines: ho.Machines, MachineOrderRate: ho.MachineRate, Adviser: ho.Adviser, Clock: steady, Wall: wall, Logger: lg,
		Lease: workerLease, Retention: ho.Retention, OnLeadershipChange: ho.Leading, HolderName: ho.Name, MachineOrderDelay: ho.Turn,
	}
	str.OnApplied = own.Wake
	ho.service = &handler.Handler{
		Self: self.ID, Store: str, Committer: com, Owner: own, Leader: ho.node, Links: lks, Clock: steady, Wall: wall, Logger: lg,
	}
	ho.steps = []weir.Component{
		lks, ho.node, com, own, ho.roster,
		&peer.Server{Addr: self.ID, Token: ho.Token, Handle: ho.handle, Logger: lg},
	}
}

// state is the process's part of the state dump.
func (ho *holder) state() any {
	return map[string]any{"log": ho.node.Status(), "holders": ho.roster.Holders()}
}

// handle answers the other processes.
func (ho *holder) handle(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peerapi.RaftMessage:
		var msg replica.Message
		if err := call.Decode(&msg); err != nil {
			return nil, err
		}
		ho.node.Deliver(msg)
		return nil, nil
	case jobapi.DirectoryMethod:
		var in jobapi.DirectoryRequest
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return ho.roster.HandleIntroduction(in), nil
	case jobapi.CallMethod:
		var in jobapi.Call
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return ho.service.Handle(ctx, in), nil
	}
	return nil, peer.MethodNotFound(call.Method)
}

// formatFirst makes the seeds of the first start the first voters. Whoever
// comes later, or has lost its disk, joins as a learner.
func formatFirst(dir, self string, seeds []string, firstStart bool, lg log.Logger) error {
	formatted, err := wal.Formatted(dir)
	if err != nil || formatted || !firstStart || !slices.Contains(seeds, self) {
		return err
	}
	_ = lg.Log("level", "info", "msg", "first start", "voters", len(seeds))
	return wal.FormatInitial(dir, seeds)
}
