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

// newGrowingCluster has size members of which the first voters vote.
func newGrowingCluster(t *testing.T, size, voters int, seed int64) *cluster {
	return growingCluster(t, size, voters, seed, false)
}

func growingCluster(t *testing.T, size, voters int, seed int64, lazy bool) *cluster {
	cl := &cluster{
		t: t, lazy: lazy, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_800_000_000, 0), peers: map[string]*peerState{},
		cut: map[string]bool{}, chosen: map[uint64]string{}, leaders: map[uint64]string{},
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
		cl.peers[id] = &peerState{disk: disk{hard: hard}}
		cl.start(id)
	}
	return cl
}

// introduce makes the leader send its log to all.
func (cl *cluster) introduce() {
	if id := cl.leader(); id != "" {
		for _, other := range cl.ids {
			cl.peers[id].core.AddSpare(cl.now, other)
		}
		cl.settle(id, false)
	}
}

func (cl *cluster) change(t *testing.T, edit func(voters map[string]string, core *Core)) error {
	t.Helper()
	id := cl.leader()
	if id == "" {
		return &Error{Op: "change", Kind: KindNotLeader}
	}
	core := cl.peers[id].core
	voters := maps.Clone(core.voters())
	edit(voters, core)
	err := core.ChangeMembers(cl.now, voters)
	cl.settle(id, false)
	return err
}

func (cl *cluster) voters() []string { return cl.peers[cl.leader()].core.Status().Voters }

func TestSpareTakesThePlaceOfALostVoter(t *testing.T) {
	cl := newGrowingCluster(t, 4, 3, 1)
	cl.calm(40)
	cl.introduce()
	cl.calm(10)
	lost := "c1"
	if cl.leader() == lost {
		lost = "c2"
	}
	cl.cut[lost] = true
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
	term := cl.peers[cl.leader()].core.Status().Term
	require.NoError(t, cl.change(t, func(voters map[string]string, core *Core) {
		disk, ready := core.SpareReady("c4")
		require.True(t, ready)
		voters["c4"] = disk
	}))
	// The leader counts the spare from now on, before it has said a word.
	cl.peers[cl.leader()].core.Tick(cl.now)
	pass(20)
	require.Equal(t, term, cl.peers[cl.leader()].core.Status().Term, "the leader goes on")
	require.NoError(t, cl.change(t, func(voters map[string]string, _ *Core) { delete(voters, lost) }))
	pass(20)
	require.Len(t, cl.voters(), 3)
	require.Contains(t, cl.voters(), "c4")
	// Another loss is borne by the new set.
	leader := cl.leader()
	other := slices.DeleteFunc(slices.Clone(cl.voters()), func(id string) bool { return id == leader || id == "c4" })[0]
	cl.cut[other] = true
	before := cl.peers[leader].at
	require.True(t, cl.propose("after"))
	pass(5)
	require.Greater(t, cl.peers[leader].at, before, "commits with the spare")
}

// TestLazyLeaderSpendsNoMessagesOnCommitsAndSpares counts what a command costs.
func TestLazyLeaderSpendsNoMessagesOnCommitsAndSpares(t *testing.T) {
	cl := growingCluster(t, 4, 3, 1, true)
	cl.calm(40)
	cl.introduce()
	cl.calm(10)
	before := cl.peers["c4"].at
	require.True(t, cl.propose("command"))
	sent := map[string]int{}
	for len(cl.net) > 0 {
		if cl.net[0].Kind == MsgAppend {
			sent[cl.net[0].To]++
		}
		cl.deliver(0, false)
	}
	require.Len(t, sent, 2, "the two other voters, not the spare")
	for to, count := range sent {
		require.Equal(t, 1, count, "one append to %s, none for the commit", to)
	}
	require.Contains(t, cl.chosen[cl.peers[cl.leader()].at], "command/", "it is committed")
	cl.calm(10)
	require.Greater(t, cl.peers["c4"].at, before, "the spare has it with the heartbeats")
}

func TestMembersChangeOneAtATime(t *testing.T) {
	cl := newGrowingCluster(t, 5, 3, 2)
	cl.calm(40)
	cl.introduce()
	cl.calm(10)
	require.ErrorContains(t, cl.change(t, func(voters map[string]string, _ *Core) {
		voters["c4"], voters["c5"] = "c4-0", "c5-0"
	}), string(KindMembers), "two at once")
	leader := cl.leader()
	require.ErrorContains(t, cl.change(t, func(voters map[string]string, _ *Core) { delete(voters, leader) }),
		string(KindMembers), "the leader itself")
	cl.peers[leader].core.Tick(cl.now)
	require.NoError(t, cl.change(t, func(voters map[string]string, _ *Core) { voters["c4"] = "c4-0" }))
	require.ErrorContains(t, cl.change(t, func(voters map[string]string, _ *Core) { voters["c5"] = "c5-0" }),
		string(KindPending), "the first is not committed")
	cl.calm(10)
	require.NoError(t, cl.change(t, func(voters map[string]string, _ *Core) { voters["c5"] = "c5-0" }))
}

// TestRandomChangesOfMembers mixes changes of members with crashes at any
// point, cuts, snapshots, lost, repeated and reordered messages. The cluster
// asserts that no two members apply different entries and that no term has two
// leaders.
func TestRandomChangesOfMembers(t *testing.T) {
	changes := 0
	for run := range int64(300) {
		seed := run / 2
		cl := growingCluster(t, 5, 3, seed, run%2 == 1)
		cl.calm(30)
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
				cl.introduce()
			case draw < 92:
				if cl.change(t, cl.randomEdit) == nil {
					changes++
				}
			case draw < 94 && cl.peers[id].up:
				cl.settle(id, true)
				cl.crash(id)
			case draw < 96 && !cl.peers[id].up:
				cl.start(id)
			case draw < 97:
				cl.cut[id] = !cl.cut[id]
			case draw < 98:
				cl.compact(id)
			}
		}
		cl.calm(80)
		require.NotEmpty(t, cl.leader(), "seed %d: no leader when all is well again", seed)
		require.True(t, cl.propose("last"))
		cl.calm(10)
		for _, id := range cl.voters() {
			require.Equal(t, cl.peers[cl.leader()].at, cl.peers[id].at, "seed %d: %s holds all", seed, id)
		}
	}
	require.Greater(t, changes, 200, "the seeds change members often")
}

func (cl *cluster) randomEdit(voters map[string]string, core *Core) {
	id := cl.ids[cl.rng.Intn(len(cl.ids))]
	if _, ok := voters[id]; ok {
		delete(voters, id)
		return
	}
	if disk, ready := core.SpareReady(id); ready {
		voters[id] = disk
	}
}
