package replica

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEagerClusterWithNonVoters is newClusterWithNonVoters without lazy
// propagation.
func newEagerClusterWithNonVoters(t *testing.T, size, voters int, seed int64) *cluster {
	return newClusterWithNonVoters(t, size, voters, seed, false)
}

// newClusterWithNonVoters returns a cluster of size members. The first ones, as
// many as voters says, may vote.
func newClusterWithNonVoters(t *testing.T, size, voters int, seed int64, lazy bool) *cluster {
	cl := &cluster{
		t: t, lazy: lazy, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_800_000_000, 0), members: map[string]*testMember{},
		partitioned: map[string]bool{}, appliedAt: map[uint64]string{}, leaders: map[uint64]string{},
	}
	for ix := range size {
		cl.ids = append(cl.ids, fmt.Sprintf("c%d", ix+1))
	}
	cl.initial = cl.ids[:voters]
	for ix, id := range cl.ids {
		hard := HardState{Disk: id + "-0", Initial: cl.initial}
		if ix >= voters {
			hard = HardState{Disk: id + "-0", Learner: true}
		}
		cl.members[id] = &testMember{disk: disk{hard: hard}}
		cl.start(id)
	}
	return cl
}

// addNonVoters makes the leader replicate its log to all members.
func (cl *cluster) addNonVoters() {
	if id := cl.leader(); id != "" {
		for _, other := range cl.ids {
			cl.members[id].core.AddNonVoter(cl.now, other)
		}
		cl.processReady(id, false)
	}
}

func (cl *cluster) changeMembers(t *testing.T, edit func(voters map[string]string, core *Core)) error {
	t.Helper()
	id := cl.leader()
	if id == "" {
		return &Error{Op: "change", Kind: KindNotLeader}
	}
	core := cl.members[id].core
	voters := maps.Clone(core.voters())
	edit(voters, core)
	err := core.ChangeMembers(cl.now, voters)
	cl.processReady(id, false)
	return err
}

func (cl *cluster) voters() []string { return cl.members[cl.leader()].core.Status().Voters }

func TestNonVoterReplacesLostVoter(t *testing.T) {
	cl := newEagerClusterWithNonVoters(t, 4, 3, 1)
	cl.stabilize(40)
	cl.addNonVoters()
	cl.stabilize(10)
	lost := "c1"
	if cl.leader() == lost {
		lost = "c2"
	}
	cl.partitioned[lost] = true
	pass := func(rounds int) {
		for range rounds {
			cl.now = cl.now.Add(testTick)
			for _, id := range cl.ids {
				if id != lost {
					cl.tick(id)
				}
			}
			cl.deliverAll()
		}
	}
	pass(20)
	term := cl.members[cl.leader()].core.Status().Term
	require.NoError(t, cl.changeMembers(t, func(voters map[string]string, core *Core) {
		disk, ready := core.CaughtUpNonVoter("c4")
		require.True(t, ready)
		voters["c4"] = disk
	}))
	// From now on the quorum includes the non-voter, before its first reply as a
	// voter.
	cl.members[cl.leader()].core.Tick(cl.now)
	pass(20)
	require.Equal(t, term, cl.members[cl.leader()].core.Status().Term, "the leader stays")
	require.NoError(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { delete(voters, lost) }))
	pass(20)
	require.Len(t, cl.voters(), 3)
	require.Contains(t, cl.voters(), "c4")
	// The new set of voters tolerates another loss.
	leader := cl.leader()
	other := slices.DeleteFunc(slices.Clone(cl.voters()), func(id string) bool { return id == leader || id == "c4" })[0]
	cl.partitioned[other] = true
	before := cl.members[leader].appliedIndex
	require.True(t, cl.propose("after"))
	pass(5)
	require.Greater(t, cl.members[leader].appliedIndex, before, "the new voter counts for the commit")
}

// TestLazyPropagationSendsOneAppendPerVoter checks that a command causes one
// append per voter, and no message for its commit or to a non-voter.
func TestLazyPropagationSendsOneAppendPerVoter(t *testing.T) {
	cl := newClusterWithNonVoters(t, 4, 3, 1, true)
	cl.stabilize(40)
	cl.addNonVoters()
	cl.stabilize(10)
	before := cl.members["c4"].appliedIndex
	require.True(t, cl.propose("command"))
	sent := map[string]int{}
	for len(cl.net) > 0 {
		if cl.net[0].Kind == MsgAppend {
			sent[cl.net[0].To]++
		}
		cl.deliver(0, false)
	}
	require.Len(t, sent, 2, "only the two other voters get it, not the non-voter")
	for to, count := range sent {
		require.Equal(t, 1, count, "%s gets one append, and none for the commit", to)
	}
	require.Contains(t, cl.appliedAt[cl.members[cl.leader()].appliedIndex], "command/", "it is committed")
	cl.stabilize(10)
	require.Greater(t, cl.members["c4"].appliedIndex, before, "the non-voter gets it with a heartbeat")
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	cl := newEagerClusterWithNonVoters(t, 5, 3, 2)
	cl.stabilize(40)
	cl.addNonVoters()
	cl.stabilize(10)
	require.ErrorContains(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) {
		voters["c4"], voters["c5"] = "c4-0", "c5-0"
	}), string(KindMembers), "two at once")
	leader := cl.leader()
	require.ErrorContains(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { delete(voters, leader) }),
		string(KindMembers), "the leader itself")
	cl.members[leader].core.Tick(cl.now)
	require.NoError(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { voters["c4"] = "c4-0" }))
	require.ErrorContains(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { voters["c5"] = "c5-0" }),
		string(KindPending), "the first is not committed")
	cl.stabilize(10)
	require.NoError(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { voters["c5"] = "c5-0" }))
}

// TestRandomMembershipChanges mixes membership changes with crashes, partitions,
// snapshots, and lost, repeated and reordered messages. The cluster checks that no
// two members apply different entries and that no term has two leaders.
func TestRandomMembershipChanges(t *testing.T) { runRandomMembershipChanges(t, false) }

// TestRandomMembershipChangesOfLeavingLeaders is TestRandomMembershipChanges with
// leaders that remove themselves. It guards against commits and leases that count a
// leader which is no voter.
func TestRandomMembershipChangesOfLeavingLeaders(t *testing.T) { runRandomMembershipChanges(t, true) }

func runRandomMembershipChanges(t *testing.T, leave bool) {
	changes, left := 0, 0
	for run := range int64(300) {
		seed := run / 2
		cl := newClusterWithNonVoters(t, 5, 3, seed, run%2 == 1)
		cl.stabilize(30)
		for step := range 400 {
			cl.now = cl.now.Add(testTick / 2)
			id := cl.ids[cl.rng.Intn(len(cl.ids))]
			switch draw := cl.rng.Intn(100); {
			case draw < 45 && len(cl.net) > 0:
				cl.deliver(cl.rng.Intn(len(cl.net)), cl.rng.Intn(20) == 0)
			case draw < 75:
				cl.tick(id)
			case draw < 82:
				cl.propose(fmt.Sprint(step))
			case draw < 88:
				cl.addNonVoters()
			case draw < 92:
				if leave && cl.rng.Intn(2) == 0 {
					if cl.removeLeader() == nil {
						left++
					}
				} else if cl.changeMembers(t, cl.randomEdit) == nil {
					changes++
				}
			case draw < 94 && cl.members[id].up:
				cl.processReady(id, true)
				cl.crash(id)
			case draw < 96 && !cl.members[id].up:
				cl.start(id)
			case draw < 97:
				cl.partitioned[id] = !cl.partitioned[id]
			case draw < 98:
				cl.compact(id)
			}
		}
		cl.stabilize(80)
		require.NotEmpty(t, cl.leader(), "seed %d: no leader after the faults end", seed)
		require.True(t, cl.propose("last"))
		cl.stabilize(10)
		for _, id := range cl.voters() {
			require.Equal(t, cl.members[cl.leader()].appliedIndex, cl.members[id].appliedIndex, "seed %d: %s caught up", seed, id)
		}
	}
	if leave {
		require.Greater(t, changes+left, 200, "membership changes are frequent")
		require.Greater(t, left, 50, "leaders remove themselves")
		return
	}
	require.Greater(t, changes, 200, "membership changes are frequent")
}

// removeLeader makes the leader remove itself as a voter.
func (cl *cluster) removeLeader() error {
	id := cl.leader()
	if id == "" {
		return &Error{Op: "remove", Kind: KindNotLeader}
	}
	err := cl.members[id].core.RemoveSelf(cl.now)
	cl.processReady(id, false)
	return err
}

// TestLeaderThatRemovesItself guards against a leader whose own log counts for a
// majority after it has left the voters, and against a cluster that can elect nobody
// if that leader is killed before its removal is committed.
func TestLeaderThatRemovesItself(t *testing.T) {
	prepare := func(t *testing.T) (cl *cluster, leader string, others []string) {
		cl = newEagerClusterWithNonVoters(t, 4, 3, 1)
		cl.stabilize(40)
		cl.addNonVoters()
		cl.stabilize(10)
		require.NoError(t, cl.changeMembers(t, func(voters map[string]string, _ *Core) { voters["c4"] = "c4-0" }))
		cl.stabilize(10)
		leader = cl.leader()
		return cl, leader, slices.DeleteFunc(slices.Clone(cl.ids), func(id string) bool { return id == leader })
	}
	t.Run("the others take over", func(t *testing.T) {
		cl, leader, others := prepare(t)
		require.NoError(t, cl.removeLeader())
		cl.deliverAll()
		require.NotContains(t, cl.members[leader].core.Status().Voters, leader)
		require.NotEqual(t, Leader, cl.members[leader].core.Role(), "it steps down")
		require.ErrorContains(t, cl.members[leader].core.RemoveSelf(cl.now), string(KindNotLeader))
		cl.stabilize(60)
		require.Contains(t, others, cl.leader())
	})
	t.Run("one of three voters is no majority", func(t *testing.T) {
		cl, leader, others := prepare(t)
		pe := cl.members[leader]
		cl.partitioned[others[0]], cl.partitioned[others[1]] = true, true
		before := pe.core.Commit()
		require.NoError(t, cl.removeLeader())
		require.True(t, cl.propose("after the removal"))
		cl.deliverAll()
		require.Equal(t, before, pe.core.Commit(), "the leader does not count")
		require.Equal(t, Leader, pe.core.Role())
	})
	t.Run("killed before its removal is committed", func(t *testing.T) {
		cl, leader, others := prepare(t)
		require.NoError(t, cl.removeLeader())
		cl.net = nil
		cl.crash(leader)
		cl.stabilize(1)
		// With one of the others gone, the remaining two are no majority of four.
		cl.crash(others[0])
		for range 100 {
			cl.now = cl.now.Add(testTick)
			for _, id := range cl.ids {
				cl.tick(id)
			}
			cl.deliverAll()
		}
		require.NotEmpty(t, cl.leader())
		require.True(t, cl.propose("after"))
	})
}

func (cl *cluster) randomEdit(voters map[string]string, core *Core) {
	id := cl.ids[cl.rng.Intn(len(cl.ids))]
	if _, ok := voters[id]; ok {
		delete(voters, id)
		return
	}
	if disk, ready := core.CaughtUpNonVoter(id); ready {
		voters[id] = disk
	}
}
