package node

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"
)

// counter is a state machine that remembers every command.
type counter struct {
	mu   sync.Mutex
	list []string
}

func (co *counter) Apply(index uint64, data []byte) any {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.list = append(co.list, string(data))
	return index
}
func (co *counter) Skip(uint64) {}
func (co *counter) Snapshot() ([]byte, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return []byte(fmt.Sprint(len(co.list))), nil
}

func (co *counter) Restore(_ uint64, data []byte) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	var count int
	_, err := fmt.Sscan(string(data), &count)
	co.list = make([]string, count)
	return err
}

func (co *counter) size() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.list)
}

// group is a set of nodes joined by function calls.
type group struct {
	t     testing.TB
	dir   string
	ids   []string
	mu    sync.Mutex
	nodes map[string]*Node
	sms   map[string]*counter
	stops map[string]func()
}

func newGroup(t testing.TB, size int) *group {
	gr := &group{t: t, dir: t.TempDir(), nodes: map[string]*Node{}, sms: map[string]*counter{}, stops: map[string]func(){}}
	for ix := range size {
		gr.ids = append(gr.ids, fmt.Sprintf("c%d", ix))
	}
	for _, id := range gr.ids {
		require.NoError(t, wal.Format(filepath.Join(gr.dir, id), false))
		gr.start(id, id)
	}
	t.Cleanup(func() {
		for _, id := range gr.ids {
			gr.stop(id)
		}
	})
	return gr
}

func (gr *group) start(id, folder string) {
	sm := &counter{}
	nd := &Node{
		ID: id, Members: gr.ids, Dir: filepath.Join(gr.dir, folder), StateMachine: sm, Clock: clock.System{},
		Send: gr.send, SnapshotEvery: 200,
	}
	require.NoError(gr.t, nd.Default())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.nodes[id], gr.sms[id] = nd, sm
	gr.stops[id] = func() {
		cancel()
		<-done
	}
	go func() {
		defer close(done)
		_ = nd.Run(ctx)
	}()
}

func (gr *group) stop(id string) {
	gr.mu.Lock()
	stop := gr.stops[id]
	delete(gr.nodes, id)
	gr.mu.Unlock()
	stop()
}

func (gr *group) send(msg replica.Message) {
	gr.mu.Lock()
	nd := gr.nodes[msg.To]
	gr.mu.Unlock()
	if nd != nil {
		nd.Deliver(msg)
	}
}

func (gr *group) leader() *Node {
	var found *Node
	require.Eventually(gr.t, func() bool {
		gr.mu.Lock()
		defer gr.mu.Unlock()
		for _, nd := range gr.nodes {
			if nd.Status().Role == replica.Leader {
				found = nd
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return found
}

// commit proposes until the command is answered.
func (gr *group) commit(data string) {
	require.Eventually(gr.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := gr.leader().Propose(ctx, []byte(data))
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
}

func TestRestartsSnapshotsAndLostDisk(t *testing.T) {
	gr := newGroup(t, 3)
	for ix := range 300 {
		gr.commit(fmt.Sprint(ix))
	}
	old := gr.leader().ID
	gr.stop(old)
	for ix := range 300 {
		gr.commit(fmt.Sprint(ix))
	}
	gr.start(old, old+"-new-disk") // an empty folder: a learner
	require.Eventually(t, func() bool { return gr.nodes[old].Status().Term > 0 && !gr.nodes[old].Status().Learner }, 30*time.Second, 5*time.Millisecond)
	second := gr.leader().ID
	gr.stop(second)
	gr.commit("with the readmitted member")
	// A follower applies what is committed a moment after the leader.
	require.Eventually(t, func() bool { return gr.sms[old].size() >= 601 }, 30*time.Second, 5*time.Millisecond)
	gr.start(second, second)
	require.Eventually(t, func() bool { return gr.sms[second].size() >= 601 }, 30*time.Second, 5*time.Millisecond)
}

func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprintf("clients-%d", clients), func(b *testing.B) {
			gr := newGroup(b, 3)
			gr.commit("first")
			leader := gr.leader()
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
