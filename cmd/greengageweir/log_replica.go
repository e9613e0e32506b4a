package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/store"
	"greengageweir/internal/job/teammetrics"
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
	// raftHeartbeat and raftElectionTimeout determine how soon a new leader is
	// elected: an election takes one to two election timeouts, well within
	// workerLease. A member that pauses for 300 ms keeps its role.
	raftHeartbeat       = 80 * time.Millisecond
	raftElectionTimeout = 450 * time.Millisecond
	// workerLease is how long a worker keeps running tasks without a renewal. It
	// covers an overdue renewal, an election and the first renewal after it, with
	// a margin of half a second. The tasks of a lost worker restart only after its
	// lease has expired.
	workerLease = 3 * time.Second
	// snapshotEntries is the number of log entries between snapshots. It limits the
	// log after a snapshot to a few megabytes.
	snapshotEntries = 4096
	// stateShare is the divisor of the machine's memory that the state of the jobs may
	// need, and the log since the last snapshot. A snapshot needs some times as much
	// while it is saved, sent or restored.
	stateShare = 12
	// defaultMemoryMB is the memory that limits are derived from if no setting names
	// it, as in package admit.
	defaultMemoryMB = 512
	// handOverTimeout limits how long a process that is told to stop waits until it is
	// replaced as a voter. It covers an election.
	handOverTimeout = time.Second
)

// logReplica is a process with a replica of the job log. It may become leader.
type logReplica struct {
	PeerAddr  string
	Zone      string
	Token     string
	Seeds     []string
	DataDir   string
	Voters    int
	Retention time.Duration
	// MemoryMB is the machine's memory in MiB; 0 selects defaultMemoryMB.
	MemoryMB int
	// OnLeadershipChange is called when this process gains or loses leadership; it
	// may be nil.
	OnLeadershipChange func(leads bool)
	// LeaseHolder names this process in its orders for machines.
	LeaseHolder string
	// MachineOrderDelay is the minimum time between orders of two different
	// leaders for one machine.
	MachineOrderDelay time.Duration
	// MaxLease is the longest lease that workers accept; 0 means the default.
	MaxLease time.Duration
	Workers  weir.TaskWorkers
	Machines weir.MachinePlatform
	// MachineOrderRate is the platform's limit on machine orders a second; 0 is no
	// limit.
	MachineOrderRate float64
	Adviser          weir.Adviser
	Logger           log.Logger
	// MaxLinks is the maximum number of links from other processes; 0 means the
	// default.
	MaxLinks int

	node       *node.Node
	roster     *roster.Roster
	handler    *handler.Handler
	components []weir.Component
}

// build creates the components that run the replica.
func (lr *logReplica) build() {
	self := peer.Identity{ID: lr.PeerAddr, Role: "control", Zone: lr.Zone}
	bootClock, wallClock, lg := clock.BootTime{}, clock.Wall{}, lr.Logger
	lks := &links.Links{Self: self, Token: lr.Token, Logger: lg}
	stateBytes := int64(cmp.Or(lr.MemoryMB, defaultMemoryMB)) * mebibyte / stateShare
	str := store.New()
	str.Clock = bootClock
	lr.node = &node.Node{
		ID: self.ID, Dir: lr.DataDir, StateMachine: str, Send: lks.Send, Clock: bootClock, Logger: lg,
		Heartbeat: raftHeartbeat, Election: raftElectionTimeout, SnapshotEvery: snapshotEntries, SnapshotBytes: stateBytes, LazyPropagation: true,
	}
	lr.roster = &roster.Roster{
		Self: self.ID, IsReplica: true, Seeds: lr.Seeds, Links: lks, Log: lr.node, Voters: lr.Voters, Clock: bootClock, Logger: lg,
	}
	com := &scheduler.Committer{Log: lr.node, Wall: wallClock}
	sch := &scheduler.Scheduler{
		Store: str, Committer: com, Leadership: lr.node, Workers: lr.Workers, Machines: lr.Machines, MachineOrderRate: lr.MachineOrderRate, Adviser: lr.Adviser, Clock: bootClock, Wall: wallClock, Logger: lg,
		Lease: workerLease, MaxLease: lr.MaxLease, Retention: lr.Retention, OnLeadershipChange: lr.OnLeadershipChange, LeaseHolder: lr.LeaseHolder, MachineOrderDelay: lr.MachineOrderDelay,
	}
	str.OnApplied = sch.Wake
	lr.handler = &handler.Handler{
		Self: self.ID, Store: str, Committer: com, Scheduler: sch, Leader: lr.node, Links: lks, Clock: bootClock, Wall: wallClock, Logger: lg, Backlogs: &handler.Backlogs{}, StateLimit: &handler.StateLimit{Bytes: stateBytes},
	}
	lr.components = []weir.Component{
		lks, lr.node, com, sch, lr.roster, &teammetrics.Recorder{Store: str, Leads: sch.Ready},
		&peer.Server{Addr: self.ID, Token: lr.Token, Handle: lr.handlePeerCall, Logger: lg, MaxLinks: lr.MaxLinks},
	}
}

// handOver returns the component that has this process replaced as a voter once stop
// has ended, which tells it to stop. It is the last component, so that it ends before
// the others do. A process that ends because a component has failed hands nothing over.
func (lr *logReplica) handOver(stop context.Context) weir.Component {
	return &run.Func{Name: "vote handover", Do: func(ctx context.Context) error {
		<-ctx.Done()
		if stop.Err() == nil {
			return nil
		}
		handCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
		defer cancel()
		lr.roster.HandOver(handCtx)
		return nil
	}}
}

// dumpState returns the process's part of the state dump.
func (lr *logReplica) dumpState() any {
	return map[string]any{"log": lr.node.Status(), "holders": lr.roster.ReplicaIDs()}
}

// handlePeerCall handles the calls of other processes.
func (lr *logReplica) handlePeerCall(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peerapi.RaftMessage:
		var msg replica.Message
		if err := call.Decode(&msg); err != nil {
			return nil, err
		}
		lr.node.Deliver(msg)
		return nil, nil
	case jobapi.DirectoryMethod:
		var in jobapi.DirectoryRequest
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return lr.roster.HandleDirectoryRequest(in), nil
	case jobapi.LeaveMethod:
		var in jobapi.LeaveRequest
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return lr.roster.HandleLeave(ctx, in), nil
	case jobapi.CallMethod:
		var in jobapi.Call
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return lr.handler.Handle(ctx, in), nil
	}
	return nil, peer.MethodNotFound(call.Method)
}

// formatOnFirstStart formats the data folder of a seed when a new cluster is
// formed, with the seeds as its first voters. A process that starts later, or has
// lost its disk, joins as a learner.
func formatOnFirstStart(dir, self string, seeds []string, firstStart bool, lg log.Logger) error {
	formatted, err := wal.Formatted(dir)
	if err != nil || formatted || !firstStart || !slices.Contains(seeds, self) {
		return err
	}
	_ = lg.Log("level", "info", "msg", "formatting data folder for first start", "voters", len(seeds))
	return wal.FormatInitial(dir, seeds)
}
