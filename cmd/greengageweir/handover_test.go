package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/run"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
)

const (
	// electionBound is how long the tests wait for a leader.
	electionBound = 12 * time.Second
	testPoll      = 20 * time.Millisecond
)

// testReplica is a process with a replica of the log, run in this process.
type testReplica struct {
	*logReplica
	t   *testing.T
	err error
	// told tells the process to stop, cancel ends it.
	told, cancel context.CancelFunc
	done         chan struct{}
}

// startReplica starts a replica.
func startReplica(t *testing.T, addr, dir string, seeds []string, first bool) *testReplica {
	lg := log.NewNopLogger()
	require.NoError(t, os.MkdirAll(dir, 0o755))
	require.NoError(t, formatOnFirstStart(dir, addr, seeds, first, lg))
	tr := &testReplica{
		logReplica: &logReplica{PeerAddr: addr, Zone: "z", Token: "token", Seeds: seeds, DataDir: dir, Voters: 3, Retention: time.Minute, Logger: lg},
		t:          t, done: make(chan struct{}),
	}
	tr.build()
	ctx, cancel := context.WithCancel(context.Background())
	stop, told := context.WithCancel(context.Background())
	tr.cancel, tr.told = cancel, told
	go func() {
		defer close(tr.done)
		tr.err = run.All(ctx, lg, append(tr.components, tr.handOver(stop))...)
	}()
	t.Cleanup(tr.kill)
	return tr
}

// stop stops the replica as a signal does.
func (tr *testReplica) stop() {
	tr.told()
	tr.kill()
}

// kill ends the replica without notice to the others.
func (tr *testReplica) kill() {
	tr.cancel()
	<-tr.done
	require.NoError(tr.t, tr.err)
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// leaderOf returns the replica that leads, or nil.
func leaderOf(replicas []*testReplica) *testReplica {
	for _, tr := range replicas {
		if tr.node.IsLeader() {
			return tr
		}
	}
	return nil
}

// commits reports whether the leader commits an entry.
func commits(replicas []*testReplica) bool {
	lead := leaderOf(replicas)
	if lead == nil {
		return false
	}
	data, err := store.Entry{At: clock.Wall{}.Now(), Changes: []store.Change{{Forget: []spec.JobID{"none"}}}}.Encode()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = lead.node.Propose(ctx, data)
	return err == nil
}

// TestLostDiskAfterPlannedStop guards against the vote of a process that was stopped as
// planned being missed: with a replacement there, one lost disk right after it leaves
// no majority of the voters.
func TestLostDiskAfterPlannedStop(t *testing.T) {
	for name, stopLeader := range map[string]bool{"the leader stops": true, "a follower stops": false} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			var addrs []string
			for range 4 {
				addrs = append(addrs, freeAddress(t))
			}
			seeds := addrs[:3]
			var all []*testReplica
			for _, addr := range addrs {
				all = append(all, startReplica(t, addr, filepath.Join(dir, addr), seeds, true))
			}
			require.Eventually(t, func() bool {
				lead := leaderOf(all)
				if !commits(all) {
					return false
				}
				progress := lead.node.Status().Progress
				return len(progress) == 3 && progress[addrs[3]] > 0
			}, electionBound, testPoll, "a leader, and a replica that follows without a vote")

			lead := leaderOf(all)
			voters := slices.DeleteFunc(slices.Clone(all[:3]), func(tr *testReplica) bool { return tr == lead })
			stopped, wiped := voters[0], voters[1]
			if stopLeader {
				stopped = lead
			}
			stopped.stop()
			wiped.kill()
			wipedDir := filepath.Join(dir, wiped.PeerAddr)
			require.NoError(t, os.RemoveAll(wipedDir))
			rest := slices.DeleteFunc(slices.Clone(all), func(tr *testReplica) bool { return tr == stopped || tr == wiped })
			rest = append(rest, startReplica(t, wiped.PeerAddr, wipedDir, seeds, false))
			require.Eventually(t, func() bool { return commits(rest) }, electionBound, testPoll, "the others have a majority")
		})
	}
}
