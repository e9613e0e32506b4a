// Package roster finds the processes of the system from a few seeds, and lets
// a leader keep the set of voters at its size: a voter that does not answer is
// replaced by a spare that holds the whole log, one member at a time.
//
// Usage:
//
//	ro := &roster.Roster{Self: id, Holder: true, Seeds: seeds, Links: ls, Log: nd, Voters: 3}
//	go ro.Run(ctx)
//	listing := ro.Answer(introduction) // to jobapi.Directory
package roster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/replica"

	"github.com/go-kit/log"
)

const (
	// askFast and askSlow separate questions to one process, before and after
	// a leader is known.
	askFast = 150 * time.Millisecond
	askSlow = 1500 * time.Millisecond
	// askTimeout is how long an answer may take.
	askTimeout = 700 * time.Millisecond
	// voterSilence is how long a voter may be silent before a spare takes its
	// place: longer than a short freeze, shorter than most repairs.
	voterSilence = 2 * time.Second
	// changePause separates changes of the set of voters.
	changePause = 300 * time.Millisecond
)

// Log is what a roster needs of the replicated log.
type Log interface {
	WithCore(ctx context.Context, ask func(now time.Time, core *replica.Core)) error
	LeaderID() string
	Term() uint64
}

// Roster keeps the directory. Set the exported fields before Run.
type Roster struct {
	// Self is this process's id, which is also its address for others.
	Self string
	// HoldsLog says that this process holds the log.
	HoldsLog bool
	Seeds    []string
	Links    *links.Links
	// Log is nil where this process does not hold it.
	Log Log
	// Voters is how many voters there should be.
	Voters int
	Logger log.Logger

	mu      sync.Mutex
	holders map[string]bool
	leader  string
}

// String is the step's name in logs.
func (ro *Roster) String() string { return "roster" }

// Default makes the seeds known.
func (ro *Roster) Default() error {
	ro.holders = map[string]bool{}
	if ro.HoldsLog {
		ro.holders[ro.Self] = true
	}
	for _, id := range ro.Seeds {
		ro.learn(id)
	}
	return nil
}

// learn runs before Run or with the lock held.
func (ro *Roster) learn(id string) {
	if id == "" || ro.holders[id] {
		return
	}
	ro.holders[id] = true
	ro.Links.Add(id, id)
	_ = ro.Logger.Log("level", "info", "msg", "process found", "peer", id)
}

// AddSeeds makes further seeds known.
func (ro *Roster) AddSeeds(seeds []string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, id := range seeds {
		ro.learn(id)
	}
}

// Holders returns the known holders of the log, sorted.
func (ro *Roster) Holders() []string {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return slices.Sorted(maps.Keys(ro.holders))
}

// Leader returns the holder that led when last asked.
func (ro *Roster) Leader() string {
	if ro.Log != nil {
		return ro.Log.LeaderID()
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.leader
}

// SetLeader notes who answered as the leader.
func (ro *Roster) SetLeader(id string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.leader = id
}

// HandleIntroduction answers another process's question and learns of it.
func (ro *Roster) HandleIntroduction(in jobapi.DirectoryRequest) jobapi.DirectoryReply {
	ro.mu.Lock()
	if in.Replica {
		ro.learn(in.ID)
	}
	list := jobapi.DirectoryReply{Replicas: slices.Sorted(maps.Keys(ro.holders))}
	ro.mu.Unlock()
	list.Leader = ro.Leader()
	return list
}

// Run asks and, at a leader, mends the set of voters, until the context ends.
func (ro *Roster) Run(ctx context.Context) error {
	var changed time.Time
	for ctx.Err() == nil {
		ro.askAll(ctx)
		if ro.Log != nil && ro.Log.Term() != 0 {
			changed = ro.mend(ctx, changed)
		}
		pause := askFast
		if ro.Leader() != "" {
			pause = askSlow
		}
		if ro.Log != nil && ro.Log.Term() != 0 {
			pause = changePause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

func (ro *Roster) askAll(ctx context.Context) {
	if ro.Log != nil && ro.Log.Term() != 0 {
		// A leader is asked by the others; that is how it learns of them.
		return
	}
	var wg sync.WaitGroup
	for _, id := range ro.Holders() {
		if id != ro.Self && ro.Links.Ready(id) {
			wg.Go(func() { ro.ask(ctx, id) })
		}
	}
	wg.Wait()
}

func (ro *Roster) ask(ctx context.Context, id string) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var list jobapi.DirectoryReply
	if err := ro.Links.Call(callCtx, id, jobapi.DirectoryMethod, jobapi.DirectoryRequest{Replica: ro.HoldsLog, ID: ro.Self}, &list); err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "directory not answered", "peer", id, "err", err)
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, holder := range list.Replicas {
		ro.learn(holder)
	}
	if list.Leader != "" {
		ro.leader = list.Leader
	}
}

// mend adds spares to the log and changes the set of voters where it should.
func (ro *Roster) mend(ctx context.Context, changed time.Time) time.Time {
	holders := ro.Holders()
	err := ro.Log.WithCore(ctx, func(now time.Time, core *replica.Core) {
		for _, id := range holders {
			core.AddNonVoter(now, id)
		}
		if now.Sub(changed) < changePause {
			return
		}
		st := core.Status()
		next, reason := Next(st.ID, core.MembersAt(st.Last).Voters, ro.candidates(core, holders), core.SinceLastContact(now), ro.Voters)
		if next == nil {
			return
		}
		changed = now
		err := core.ChangeMembers(now, next)
		_ = ro.Logger.Log("level", "info", "msg", "change of voters", "reason", reason,
			"voters", slices.Sorted(maps.Keys(next)), "err", err)
	})
	if err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "log not asked", "err", err)
	}
	return changed
}

func (ro *Roster) candidates(core *replica.Core, holders []string) map[string]string {
	ready := map[string]string{}
	for _, id := range holders {
		if disk, ok := core.CaughtUpNonVoter(id); ok {
			ready[id] = disk
		}
	}
	return ready
}

// Next returns the set of voters that should follow, nil where the present one
// should stay. It first adds a spare that answers and holds the whole log,
// then removes a voter that is silent, so that the set never gets smaller than
// it should be while a spare is there. Spares map to their disks; silence
// tells how long a process has not answered its leader.
func Next(leader string, voters, spares map[string]string, silence map[string]time.Duration, want int) (map[string]string, string) {
	silent := ""
	for _, id := range slices.Sorted(maps.Keys(voters)) {
		if id != leader && silence[id] > voterSilence && (silent == "" || silence[id] > silence[silent]) {
			silent = id
		}
	}
	if len(voters) > want {
		out := maps.Clone(voters)
		drop := silent
		if drop == "" {
			for id := range voters {
				if id != leader && (drop == "" || id > drop) {
					drop = id
				}
			}
		}
		delete(out, drop)
		return out, "more voters than wanted"
	}
	if len(voters) == want && silent == "" {
		return nil, ""
	}
	for _, id := range slices.Sorted(maps.Keys(spares)) {
		if silence[id] <= voterSilence/4 {
			out := maps.Clone(voters)
			out[id] = spares[id]
			return out, "a spare takes part"
		}
	}
	return nil, ""
}
