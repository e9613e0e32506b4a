package replica

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestElectsAndCommits(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			cl := newCluster(t, size, 1)
			cl.stabilize(40)
			require.True(t, cl.propose("a"))
			cl.stabilize(5)
			for _, id := range cl.ids {
				require.Equal(t, cl.members[cl.ids[0]].appliedIndex, cl.members[id].appliedIndex)
				require.GreaterOrEqual(t, cl.members[id].appliedIndex, uint64(2))
			}
		})
	}
}

// TestFrozenLeaderStepsDownOnNextTick checks that a leader that did not run while
// another was elected steps down before it accepts a proposal.
func TestFrozenLeaderStepsDownOnNextTick(t *testing.T) {
	cl := newCluster(t, 3, 2)
	cl.stabilize(40)
	old := cl.leader()
	cl.partitioned[old] = true // frozen: it gets no messages and no ticks
	for range 100 {
		cl.now = cl.now.Add(testTick)
		for _, id := range cl.ids {
			if id != old {
				cl.tick(id)
			}
		}
		cl.deliverAll()
	}
	require.NotEqual(t, old, cl.leader())
	cl.members[old].core.Tick(cl.now)
	require.Equal(t, Follower, cl.members[old].core.Role())
	_, _, err := cl.members[old].core.Propose([]byte("late"))
	require.Error(t, err)
}

// TestIsolatedMemberKeepsLeaderAndTerm checks that a member that rejoins after a
// partition does not force an election: pre-vote keeps it from raising the term.
func TestIsolatedMemberKeepsLeaderAndTerm(t *testing.T) {
	cl := newCluster(t, 3, 3)
	cl.stabilize(40)
	leader := cl.leader()
	term := cl.members[leader].core.hard.Term
	isolated := cl.ids[0]
	if isolated == leader {
		isolated = cl.ids[1]
	}
	cl.partitioned[isolated] = true
	for range 200 {
		cl.now = cl.now.Add(testTick)
		for _, id := range cl.ids {
			cl.tick(id)
		}
		cl.deliverAll()
	}
	cl.stabilize(40)
	require.Equal(t, leader, cl.leader(), "pre-vote keeps the leader")
	require.Equal(t, term, cl.members[leader].core.hard.Term)
}

func TestLaggingMemberCatchesUpFromSnapshot(t *testing.T) {
	cl := newCluster(t, 3, 4)
	cl.stabilize(40)
	behind := cl.ids[0]
	if behind == cl.leader() {
		behind = cl.ids[1]
	}
	cl.crash(behind)
	for ix := range 3000 {
		cl.propose(strconv.Itoa(ix))
		cl.deliverAll()
	}
	for _, id := range cl.ids {
		if id != behind {
			cl.compact(id)
		}
	}
	cl.propose("after the snapshot")
	cl.stabilize(300)
	require.Equal(t, cl.members[cl.leader()].appliedIndex, cl.members[behind].core.Applied())
}

func TestWipedMemberIsLearnerUntilReadmitted(t *testing.T) {
	cl := newCluster(t, 3, 5)
	cl.stabilize(40)
	cl.propose("kept")
	cl.stabilize(5)
	wiped := cl.ids[0]
	if wiped == cl.leader() {
		wiped = cl.ids[1]
	}
	cl.wipe(wiped)
	cl.start(wiped)
	require.True(t, cl.members[wiped].core.hard.Learner)
	cl.members[wiped].core.Step(cl.now, Message{
		Kind: MsgVote, From: cl.leader(), To: wiped, Term: 99, Index: 99, LogTerm: 99,
	})
	for _, msg := range cl.members[wiped].core.Ready().Messages {
		require.True(t, msg.Reject, "a member that lost its disk does not vote")
	}
	cl.stabilize(100)
	require.False(t, cl.members[wiped].core.hard.Learner, "readmitted after it caught up")
	require.Equal(t, cl.members[cl.leader()].appliedIndex, cl.members[wiped].appliedIndex)
}

// TestLateSnapshotKeepsAcknowledgedEntries delivers a snapshot to a follower
// after it acknowledged entries with higher indexes. Installing the snapshot
// would lose them.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	co := &Core{ID: "c1", Members: []string{"c1", "c2", "c3"}, Election: testElection, Heartbeat: testHeartbeat, Rand: rand.New(rand.NewSource(1))}
	now := time.Unix(1_800_000_000, 0)
	co.Restore(now, HardState{Term: 1, Disk: "d"}, Snapshot{}, nil)
	var list []Entry
	for ix := uint64(1); ix <= 5; ix++ {
		list = append(list, Entry{Index: ix, Term: 1, Kind: EntryCommand})
	}
	co.Step(now, Message{Kind: MsgAppend, From: "c2", To: "c1", Term: 1, Commit: 1, Entries: list})
	rd := co.Ready()
	co.Synced(now, rd)
	require.Equal(t, uint64(5), rd.Messages[0].Index, "five entries are acknowledged")
	co.Step(now, Message{Kind: MsgSnapshot, From: "c2", To: "c1", Term: 1, Snapshot: &Snapshot{Index: 3, Term: 1}})
	require.Equal(t, uint64(5), co.Status().Last)
	require.Equal(t, uint64(3), co.Status().Commit)
	require.Nil(t, co.Ready().Snapshot)
}

// randomRun runs a cluster with random faults from one seed, and checks that it
// recovers when the faults end.
func randomRun(t *testing.T, size int, seed int64, steps int) *cluster {
	cl := newCluster(t, size, seed)
	for step := range steps {
		cl.randomStep(step)
	}
	cl.stabilize(400)
	require.True(t, cl.propose("last"), "seed %d: a leader exists when faults end", seed)
	cl.stabilize(20)
	for _, id := range cl.ids {
		require.Equal(t, cl.members[cl.leader()].appliedIndex, cl.members[id].appliedIndex, "seed %d: %s caught up", seed, id)
	}
	return cl
}

func (cl *cluster) randomStep(step int) {
	id := cl.ids[cl.rng.Intn(len(cl.ids))]
	switch roll := cl.rng.Intn(1000); {
	case roll < 250:
		cl.now = cl.now.Add(time.Duration(cl.rng.Int63n(int64(testTick))))
		cl.tick(id)
	case roll < 800 && len(cl.net) > 0:
		// Messages are reordered, and one in ten is delivered again.
		cl.deliver(cl.rng.Intn(len(cl.net)), cl.rng.Intn(10) == 0)
	case roll < 850 && len(cl.net) > 0:
		cl.net = append(cl.net[:0], cl.net[1:]...)
	case roll < 930:
		cl.propose(fmt.Sprintf("step %d", step))
	case roll < 950:
		cl.partitioned[id] = !cl.partitioned[id]
	case roll < 962 && cl.members[id].up:
		cl.members[id].core.Tick(cl.now.Add(testElection))
		cl.processReady(id, true)
	case roll < 985 && !cl.members[id].up:
		cl.start(id)
	case roll < 990:
		cl.compact(id)
	case roll < 992 && cl.allVote():
		cl.wipe(id)
	}
}

// allVote reports whether every member is up and may vote. Only one disk is wiped
// at a time, since a second loss before readmission can lose the majority.
func (cl *cluster) allVote() bool {
	for _, id := range cl.ids {
		if pe := cl.members[id]; !pe.up || pe.core.hard.Learner {
			return false
		}
	}
	return true
}

func TestRandomFaults(t *testing.T) {
	first, runs := int64(1), 60
	if text := os.Getenv("WEIR_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseInt(text, 10, 64)
		require.NoError(t, err)
		first, runs = seed*1_000_000, 2000
	}
	for run := range runs {
		size := 3 + 2*(run%2)
		randomRun(t, size, first+int64(run), 3000)
	}
}
