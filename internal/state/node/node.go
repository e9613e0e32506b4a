// Package node runs one member of the replicated log: it passes ticks, messages
// and proposals to the Raft core, writes entries and hard state to disk, and
// applies committed commands to a state machine.
//
// Usage:
//
//	nd := &node.Node{ID: "c1", Members: ids, Dir: dir, Machine: sm, Send: send}
//	go nd.Run(ctx)
//	result, err := nd.Propose(ctx, command)
package node

import (
	"context"
	"hash/fnv"
	"math/rand"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	KindNotLeader Kind = "not the leader"
	KindBusy      Kind = "too many proposals wait"
	// KindUnknown means that the command may or may not be committed later.
	KindUnknown Kind = "outcome unknown, leadership changed"
	KindSetting Kind = "bad setting"
	KindStorage Kind = "storage failed"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	minTickInterval  = 10 * time.Millisecond
	defaultHeartbeat = 50 * time.Millisecond
	defaultElection  = 500 * time.Millisecond
	inboxSlots       = 4096
	proposalSlots    = 4096
	// batchSlots bounds the proposals and messages that share one sync.
	batchSlots           = 1024
	defaultSnapshotEvery = 8192
	defaultSnapshotBytes = 64 << 20
)

// StateMachine applies the committed commands. All members apply the same
// commands in the same order.
type StateMachine interface {
	// Apply applies a command and returns its result.
	Apply(index uint64, data []byte) any
	// Skip reports an index that carries no command.
	Skip(index uint64)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Node is one member of the replicated log. Set the exported fields before Run.
type Node struct {
	ID           string
	Members      []string
	Dir          string
	StateMachine StateMachine
	// Send passes a message to the transport. It must not block.
	Send          func(msg replica.Message)
	Clock         weir.Clock
	Logger        log.Logger
	Heartbeat     time.Duration
	Election      time.Duration
	SnapshotEvery uint64
	// SnapshotBytes is the size of the log in bytes after which a snapshot is saved
	// before SnapshotEvery entries are applied.
	SnapshotBytes int64
	// LazyPropagation sets the field of the same name of replica.Core.
	LazyPropagation bool

	core      *replica.Core
	disk      *wal.Log
	hard      replica.HardState
	inbox     chan replica.Message
	proposals chan proposal
	coreFuncs chan func(now time.Time, core *replica.Core)
	waiters   map[uint64]waiter
	lastSnap  uint64
	// snapSize is the size of the log file when the last snapshot was saved.
	snapSize int64
	once     sync.Once

	mu     sync.Mutex
	status replica.Status
	// leaseUntil is the end of the leader lease, zero while not the leader.
	leaseUntil time.Time
}

type proposal struct {
	data  []byte
	reply chan<- result
}

type waiter struct {
	term  uint64
	reply chan<- result
}

type result struct {
	value any
	err   error
}

// String returns the name of the component in logs.
func (nd *Node) String() string { return "replicated log" }

// Default sets defaults and validates the settings.
func (nd *Node) Default() error {
	if nd.Heartbeat == 0 {
		nd.Heartbeat = defaultHeartbeat
	}
	if nd.Election == 0 {
		nd.Election = defaultElection
	}
	if nd.SnapshotEvery == 0 {
		nd.SnapshotEvery = defaultSnapshotEvery
	}
	if nd.SnapshotBytes == 0 {
		nd.SnapshotBytes = defaultSnapshotBytes
	}
	if nd.Logger == nil {
		nd.Logger = log.NewNopLogger()
	}
	nd.init()
	if nd.Election < 4*nd.Heartbeat {
		return &Error{Op: "default", Kind: KindSetting, Err: errors.New("the election timeout must be at least four heartbeat intervals")}
	}
	return nil
}

func (nd *Node) init() {
	nd.once.Do(func() {
		nd.inbox = make(chan replica.Message, inboxSlots)
		nd.proposals = make(chan proposal, proposalSlots)
		nd.coreFuncs = make(chan func(now time.Time, core *replica.Core))
		nd.waiters = make(map[uint64]waiter)
	})
}

// Run runs the member until the context ends or the storage fails. A member
// stops on a disk error, since it can no longer tell which votes and entries are
// durable.
func (nd *Node) Run(ctx context.Context) error {
	if err := nd.open(); err != nil {
		return err
	}
	defer func() { _ = nd.disk.Close() }()
	defer nd.failWaiters()
	// Four ticks per heartbeat interval keep the heartbeat jitter small.
	ticker := time.NewTicker(max(nd.Heartbeat/4, minTickInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			nd.core.Tick(nd.Clock.Now())
		case msg := <-nd.inbox:
			// Tick first: a leader that was suspended must step down before it
			// acts as the leader.
			nd.core.Tick(nd.Clock.Now())
			nd.core.Step(nd.Clock.Now(), msg)
		case prop := <-nd.proposals:
			nd.core.Tick(nd.Clock.Now())
			nd.propose(prop)
		case fn := <-nd.coreFuncs:
			nd.core.Tick(nd.Clock.Now())
			fn(nd.Clock.Now(), nd.core)
		}
		nd.drainQueues()
		if err := nd.processReady(); err != nil {
			return err
		}
	}
}

// open restores the member from its data folder.
func (nd *Node) open() error {
	disk, st, err := wal.Open(nd.Dir)
	if err != nil {
		return err
	}
	nd.disk = disk
	nd.hard = st.Hard
	nd.lastSnap = st.Snapshot.Index
	if st.Snapshot.Index > 0 {
		if err := nd.StateMachine.Restore(st.Snapshot.Index, st.Snapshot.Data); err != nil {
			return &Error{Op: "restore", Kind: KindStorage, Err: err}
		}
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(nd.ID + st.Hard.Disk))
	nd.core = &replica.Core{
		ID: nd.ID, Members: nd.Members, Election: nd.Election, Heartbeat: nd.Heartbeat, LazyPropagation: nd.LazyPropagation,
		Rand: rand.New(rand.NewSource(int64(seed.Sum64()))), //nolint:gosec // election jitter needs no secure source
	}
	nd.core.Restore(nd.Clock.Now(), st.Hard, st.Snapshot, st.Entries)
	nd.core.RestoreCommit(st.Commit)
	_ = nd.Logger.Log("level", "info", "msg", "log opened", "term", st.Hard.Term, "learner", st.Hard.Learner,
		"snapshot", st.Snapshot.Index, "entries", len(st.Entries), "committed", st.Commit, "tornBytes", st.TornBytes)
	return nil
}

// drainQueues handles queued messages and proposals, so that one sync covers all
// of them.
func (nd *Node) drainQueues() {
	for range batchSlots {
		select {
		case msg := <-nd.inbox:
			nd.core.Step(nd.Clock.Now(), msg)
		case prop := <-nd.proposals:
			nd.propose(prop)
		default:
			return
		}
	}
}

// processReady does the work that the core returns until there is none left.
func (nd *Node) processReady() error {
	for {
		rd := nd.core.Ready()
		if rd.Empty() {
			break
		}
		nd.sendAll(rd.Immediate)
		if err := nd.persist(rd); err != nil {
			return err
		}
		nd.core.Synced(nd.Clock.Now(), rd)
		if nd.status.Role == replica.Leader && nd.core.Role() != replica.Leader {
			// A vote for another member must not leave before IsLeader is false here.
			nd.publishStatus()
		}
		nd.sendAll(rd.Messages)
		nd.apply(rd.Committed)
		if nd.core.Applied() < nd.core.Commit() {
			// A long backlog to apply must not delay heartbeats, replies and the
			// renewal of the leader lease.
			nd.core.Tick(nd.Clock.Now())
			nd.drainQueues()
			nd.publishStatus()
		}
	}
	if nd.core.Role() != replica.Leader {
		nd.failWaiters()
	}
	if err := nd.compact(); err != nil {
		return err
	}
	nd.publishStatus()
	return nil
}

func (nd *Node) sendAll(msgs []replica.Message) {
	for _, msg := range msgs {
		nd.Send(msg)
	}
}

// persist writes and syncs the snapshot, hard state and entries of rd.
func (nd *Node) persist(rd replica.Ready) error {
	if rd.Hard != nil {
		nd.hard = *rd.Hard
	}
	if rd.Snapshot != nil {
		if err := nd.disk.SaveSnapshot(nd.hard, *rd.Snapshot, nil); err != nil {
			return err
		}
		nd.lastSnap, nd.snapSize = rd.Snapshot.Index, nd.disk.Size()
		if err := nd.StateMachine.Restore(rd.Snapshot.Index, rd.Snapshot.Data); err != nil {
			return &Error{Op: "restore", Kind: KindStorage, Err: err}
		}
	}
	if rd.Hard == nil && len(rd.Entries) == 0 {
		return nil
	}
	begin := nd.Clock.Now()
	err := nd.disk.Append(rd.Hard, rd.Entries, nd.core.Commit())
	metrics.GetOrCreateHistogram("weir_log_sync_seconds").Update(nd.Clock.Now().Sub(begin).Seconds())
	return err
}

// apply applies committed entries and answers the proposals that wait for them.
func (nd *Node) apply(entries []replica.Entry) {
	for _, ent := range entries {
		var value any
		if ent.Kind == replica.EntryCommand {
			value = nd.StateMachine.Apply(ent.Index, ent.Data)
		} else {
			nd.StateMachine.Skip(ent.Index)
		}
		wt, ok := nd.waiters[ent.Index]
		if !ok {
			continue
		}
		delete(nd.waiters, ent.Index)
		if wt.term != ent.Term {
			wt.reply <- result{err: &Error{Op: "propose", Kind: KindUnknown}}
			continue
		}
		wt.reply <- result{value: value}
	}
}

// compact saves a snapshot once SnapshotEvery entries were applied, or SnapshotBytes
// written, since the last.
func (nd *Node) compact() error {
	st := nd.core.Status()
	applied := nd.core.Applied()
	if applied == nd.lastSnap || (applied-nd.lastSnap < nd.SnapshotEvery && nd.disk.Size()-nd.snapSize < nd.SnapshotBytes) {
		return nil
	}
	data, err := nd.StateMachine.Snapshot()
	if err != nil {
		return &Error{Op: "snapshot", Kind: KindStorage, Err: err}
	}
	snap := replica.Snapshot{Index: applied, Term: nd.core.TermAt(applied), Data: data, Members: nd.core.MembersAt(applied)}
	nd.core.Compact(snap)
	if err := nd.disk.SaveSnapshot(nd.hard, snap, nd.core.Tail()); err != nil {
		return err
	}
	nd.lastSnap, nd.snapSize = applied, nd.disk.Size()
	_ = nd.Logger.Log("level", "info", "msg", "snapshot saved", "index", applied, "bytes", len(data), "last", st.Last)
	return nil
}

func (nd *Node) propose(prop proposal) {
	index, term, err := nd.core.Propose(prop.data)
	if err != nil {
		kind := KindNotLeader
		if errkind.Is(err, replica.KindBacklog) {
			kind = KindBusy
		}
		prop.reply <- result{err: &Error{Op: "propose", Kind: kind}}
		return
	}
	nd.waiters[index] = waiter{term: term, reply: prop.reply}
}

// failWaiters fails all waiting proposals with KindUnknown.
func (nd *Node) failWaiters() {
	for index, wt := range nd.waiters {
		wt.reply <- result{err: &Error{Op: "propose", Kind: KindUnknown}}
		delete(nd.waiters, index)
	}
}

// publishStatus makes the core's status available to other goroutines.
func (nd *Node) publishStatus() {
	st := nd.core.Status()
	nd.mu.Lock()
	changed := st.Role != nd.status.Role || st.Term != nd.status.Term || st.Learner != nd.status.Learner
	nd.status = st
	nd.leaseUntil = nd.core.LeaseUntil()
	nd.mu.Unlock()
	if changed {
		_ = nd.Logger.Log("level", "info", "msg", "role", "raftRole", string(st.Role), "term", st.Term,
			"leader", st.Leader, "learner", st.Learner)
	}
}

// Status returns the member's state after its last step.
func (nd *Node) Status() replica.Status {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.status
}

// LeaderTerm returns the term in which this member is the leader, 0 if it is
// not.
func (nd *Node) LeaderTerm() uint64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.status.Role != replica.Leader {
		return 0
	}
	return nd.status.Term
}

// IsLeader reports whether this member is the leader and its leader lease has
// not expired. It reads the clock, since the process may have been suspended
// since the last tick.
func (nd *Node) IsLeader() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.status.Role == replica.Leader && nd.Clock.Now().Before(nd.leaseUntil)
}

// LeaderID returns the id of the current leader, "" if none is known.
func (nd *Node) LeaderID() string {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.status.Leader
}

// VoterIDs returns the ids of the current voters.
func (nd *Node) VoterIDs() []string { return nd.Status().Voters }

// Deliver queues a message from the transport. It drops the message if the queue
// is full, since Raft tolerates lost messages.
func (nd *Node) Deliver(msg replica.Message) {
	nd.init()
	select {
	case nd.inbox <- msg:
	default:
		metrics.GetOrCreateCounter("weir_log_messages_dropped_total").Inc()
	}
}

// Propose commits a command and returns the state machine's result. After an
// error of KindUnknown, also when the context ends, the command may still be
// committed.
func (nd *Node) Propose(ctx context.Context, data []byte) (any, error) {
	nd.init()
	reply := make(chan result, 1)
	select {
	case nd.proposals <- proposal{data: data, reply: reply}:
	default:
		return nil, &Error{Op: "propose", Kind: KindBusy}
	}
	select {
	case res := <-reply:
		return res.value, res.err
	case <-ctx.Done():
		return nil, &Error{Op: "propose", Kind: KindUnknown, Err: ctx.Err()}
	}
}

// WithCore calls fn with the Raft core from the node's own goroutine. fn must be
// short, since it blocks the member.
func (nd *Node) WithCore(ctx context.Context, fn func(now time.Time, core *replica.Core)) error {
	nd.init()
	done := make(chan struct{})
	run := func(now time.Time, core *replica.Core) {
		fn(now, core)
		close(done)
	}
	select {
	case nd.coreFuncs <- run:
		<-done
		return nil
	case <-ctx.Done():
		return &Error{Op: "ask", Kind: KindBusy, Err: ctx.Err()}
	}
}
