package node

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"
)

// recorder is a state machine that records every command.
type recorder struct {
	mu   sync.Mutex
	list []string
}

func (co *recorder) Apply(index uint64, data []byte) any {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.list = append(co.list, string(data))
	return index
}
func (co *recorder) Skip(uint64) {}
func (co *recorder) Snapshot() ([]byte, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return []byte(fmt.Sprint(len(co.list))), nil
}

func (co *recorder) Restore(_ uint64, data []byte) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	var count int
	_, err := fmt.Sscan(string(data), &count)
	co.list = make([]string, count)
	return err
}

func (co *recorder) size() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.list)
}

// cluster is a set of nodes that exchange messages through function calls.
type cluster struct {
	t     testing.TB
	dir   string
	ids   []string
	mu    sync.Mutex
	nodes map[string]*Node
	sms   map[string]*recorder
	stops map[string]func()
	// snapshotBytes sets Node.SnapshotBytes of nodes that are started later.
	snapshotBytes int64
}

func newCluster(t testing.TB, size int) *cluster {
	cl := &cluster{t: t, dir: t.TempDir(), nodes: map[string]*Node{}, sms: map[string]*recorder{}, stops: map[string]func(){}}
	for ix := range size {
		cl.ids = append(cl.ids, fmt.Sprintf("c%d", ix))
	}
	for _, id := range cl.ids {
		require.NoError(t, wal.Format(filepath.Join(cl.dir, id), false))
		cl.start(id, id)
	}
	t.Cleanup(func() {
		for _, id := range cl.ids {
			cl.stop(id)
		}
	})
	return cl
}

func (cl *cluster) start(id, folder string) {
	sm := &recorder{}
	nd := &Node{
		ID: id, Members: cl.ids, Dir: filepath.Join(cl.dir, folder), StateMachine: sm, Clock: clock.System{},
		Send: cl.send, SnapshotEvery: 200, SnapshotBytes: cl.snapshotBytes,
	}
	require.NoError(cl.t, nd.Default())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.nodes[id], cl.sms[id] = nd, sm
	cl.stops[id] = func() {
		cancel()
		<-done
	}
	go func() {
		defer close(done)
		_ = nd.Run(ctx)
	}()
}

func (cl *cluster) stop(id string) {
	cl.mu.Lock()
	stop := cl.stops[id]
	delete(cl.nodes, id)
	cl.mu.Unlock()
	stop()
}

func (cl *cluster) send(msg replica.Message) {
	cl.mu.Lock()
	nd := cl.nodes[msg.To]
	cl.mu.Unlock()
	if nd != nil {
		nd.Deliver(msg)
	}
}

func (cl *cluster) leader() *Node {
	var found *Node
	require.Eventually(cl.t, func() bool {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for _, nd := range cl.nodes {
			if nd.Status().Role == replica.Leader {
				found = nd
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return found
}

// commit proposes the command until it is committed.
func (cl *cluster) commit(data string) {
	require.Eventually(cl.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := cl.leader().Propose(ctx, []byte(data))
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
}

// TestLostDiskAndRestartCatchUp checks that a member with a new disk is readmitted
// and then counts for commits, and that a restarted member catches up. Both need
// snapshots, since the log is compacted every 200 entries.
func TestLostDiskAndRestartCatchUp(t *testing.T) {
	cl := newCluster(t, 3)
	for ix := range 300 {
		cl.commit(fmt.Sprint(ix))
	}
	old := cl.leader().ID
	cl.stop(old)
	for ix := range 300 {
		cl.commit(fmt.Sprint(ix))
	}
	cl.start(old, old+"-new-disk") // an empty folder: a learner
	require.Eventually(t, func() bool {
		st := cl.nodes[old].Status()
		return st.Term > 0 && !st.Learner
	}, 30*time.Second, 5*time.Millisecond)
	second := cl.leader().ID
	cl.stop(second)
	cl.commit("with the readmitted member")
	// A follower applies committed entries shortly after the leader.
	require.Eventually(t, func() bool { return cl.sms[old].size() >= 601 }, 30*time.Second, 5*time.Millisecond)
	cl.start(second, second)
	require.Eventually(t, func() bool { return cl.sms[second].size() >= 601 }, 30*time.Second, 5*time.Millisecond)
}

func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprintf("clients-%d", clients), func(b *testing.B) {
			cl := newCluster(b, 3)
			cl.commit("first")
			leader := cl.leader()
			b.SetParallelism(max(1, clients/8))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, _ = leader.Propose(context.Background(), []byte("command of a usual size, a hundred bytes or so, as they are"))
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// TestSnapshotOfLargeEntries guards against a log that grows without a bound while its
// entries are large and few.
func TestSnapshotOfLargeEntries(t *testing.T) {
	cl := newCluster(t, 1)
	cl.stop("c0")
	cl.snapshotBytes = 1 << 20
	cl.start("c0", "c0")
	lead := cl.leader()
	for count := range 100 {
		_, err := lead.Propose(context.Background(), bytes.Repeat([]byte("a"), 50_000))
		require.NoError(t, err)
		st := lead.Status()
		// Last is First-1 right after the log has been compacted to nothing.
		require.LessOrEqual(t, st.Last+1-st.First, uint64(60), "after %d entries", count)
	}
	require.Greater(t, lead.Status().First, uint64(40))
}
