// Package wave computes the next commands for maintenance waves and for the pool
// moves that the configuration requires. It is a pure function of the replicated
// state, the leader's observations and the time; the state machine validates each
// command again when it is applied.
//
// Usage:
//
//	commands := wave.NextCommands(rd, obs, now)
package wave

import (
	"sort"
	"time"

	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

const (
	// SettleTime is how long a returned instance must stay up before its permit is
	// released, since instances often fail again right after a repair.
	SettleTime = 2 * time.Second
	// DrainTimeout is how long a drain may take before it is abandoned.
	DrainTimeout = 60 * time.Second
	// ReturnTimeout is how long an instance may take to return before it is marked
	// as stuck.
	ReturnTimeout = 120 * time.Second
)

// Observations is what the leader has observed in addition to the replicated state.
type Observations struct {
	// UpSince is since when an instance has been up without interruption in its
	// current incarnation.
	UpSince map[weir.InstanceID]time.Time
}

// NextCommands returns the commands that the leader should propose now.
func NextCommands(rd fsm.Reader, obs Observations, now time.Time) []command.Command {
	pl := &planner{rd: rd, obs: obs, now: now, headroom: map[weir.PoolName]int{}}
	for _, pool := range rd.Pools() {
		pl.headroom[pool.Name] = rd.Headroom(pool.Name)
	}
	members := pl.inTransition()
	pl.completeOperations(members)
	pl.moveToConfiguredPools(members)
	for _, wv := range rd.Waves() {
		pl.grantPermits(wv)
	}
	return pl.commands
}

type planner struct {
	rd       fsm.Reader
	obs      Observations
	now      time.Time
	headroom map[weir.PoolName]int
	commands []command.Command
}

func (pl *planner) add(cmd command.Command) {
	cmd.At = pl.now
	pl.commands = append(pl.commands, cmd)
}

// inTransition returns the members that are not serving or not in their configured
// pool, sorted by instance. These are few, so sorting them is cheap.
func (pl *planner) inTransition() []view.Member {
	var list []view.Member
	for _, mem := range pl.rd.Members() {
		if mem.Phase != view.Serving || mem.Pool != mem.ConfiguredPool {
			list = append(list, mem)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Instance < list[b].Instance })
	return list
}

// completeOperations completes operations in progress: it abandons drains,
// releases permits and marks instances that do not return as stuck.
func (pl *planner) completeOperations(members []view.Member) {
	for _, mem := range members {
		switch mem.Phase {
		case view.Draining:
			pl.checkDrain(mem)
		case view.Returning:
			pl.checkReturn(mem)
		case view.Serving, view.Drained:
		}
	}
}

func (pl *planner) checkDrain(mem view.Member) {
	reason := ""
	switch {
	case mem.Purpose == view.ForMaintenance && !pl.waveRunning(mem.Wave):
		reason = "wave " + mem.Wave + " is not running"
	case pl.now.Sub(mem.SinceAt) > DrainTimeout:
		reason = "drain did not complete in " + DrainTimeout.String()
	}
	if reason != "" {
		pl.add(command.Command{Abandon: &command.Abandon{Instance: mem.Instance, Reason: reason}})
	}
}

func (pl *planner) waveRunning(name string) bool {
	for _, wv := range pl.rd.Waves() {
		if wv.Name == name {
			return wv.State == fsm.WaveRunning
		}
	}
	return false
}

func (pl *planner) checkReturn(mem view.Member) {
	sta := pl.rd.Statuses()[mem.Instance]
	back := sta.Up && sta.Incarnation > mem.OldIncarnation
	since, seen := pl.obs.UpSince[mem.Instance]
	if back && seen && pl.now.Sub(since) >= SettleTime {
		pl.add(command.Command{Release: &command.PermitRelease{Instance: mem.Instance}})
		return
	}
	if !back && !mem.Stuck && pl.now.Sub(mem.SinceAt) > ReturnTimeout {
		pl.add(command.Command{Stuck: &command.MarkStuck{Instance: mem.Instance}})
	}
}

// moveToConfiguredPools moves instances to their configured pool and retires those
// that are no longer configured, within the availability budgets.
func (pl *planner) moveToConfiguredPools(members []view.Member) {
	for _, mem := range members {
		if mem.Phase != view.Serving || mem.Lent || mem.Pool == mem.ConfiguredPool {
			continue
		}
		up := pl.rd.Statuses()[mem.Instance].Up
		if mem.ConfiguredPool == "" && !up {
			pl.add(command.Command{Retire: &command.Retire{Instance: mem.Instance}})
			continue
		}
		if !up || pl.headroom[mem.Pool] < 1 {
			continue
		}
		pl.headroom[mem.Pool]--
		if mem.ConfiguredPool == "" {
			pl.add(command.Command{Retire: &command.Retire{Instance: mem.Instance}})
			continue
		}
		pl.add(command.Command{Move: &command.Move{Instance: mem.Instance, TargetPool: mem.ConfiguredPool}})
	}
}

// grantPermits proposes permits up to the limit of the wave and the availability
// budgets. Instances of pools with the most headroom go first, so that a pool
// without headroom does not hold up the wave.
func (pl *planner) grantPermits(wv *fsm.Wave) {
	if wv.State != fsm.WaveRunning {
		return
	}
	free := wv.MaxParallel - len(wv.Active)
	for _, id := range pl.candidates(wv) {
		if free < 1 {
			return
		}
		pool := pl.rd.Members()[id].Pool
		if pl.headroom[pool] < 1 {
			continue
		}
		pl.headroom[pool]--
		free--
		pl.add(command.Command{Permit: &command.PermitGrant{Wave: wv.Name, Instance: id}})
	}
}

func (pl *planner) candidates(wv *fsm.Wave) []weir.InstanceID {
	ids := make([]weir.InstanceID, 0, len(wv.Pending))
	for id := range wv.Pending {
		mem, ok := pl.rd.Members()[id]
		if ok && mem.Phase == view.Serving && pl.rd.Statuses()[id].Up {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool {
		headroomA, headroomB := pl.headroom[pl.rd.Members()[ids[a]].Pool], pl.headroom[pl.rd.Members()[ids[b]].Pool]
		if headroomA != headroomB {
			return headroomA > headroomB
		}
		return ids[a] < ids[b]
	})
	return ids
}
