// Package wave decides the next steps of maintenance waves and of the moves
// that the configuration asks for. Deciding is a pure function of the state
// and the time; the state machine checks each step again when it is applied.
//
// Usage:
//
//	steps := wave.Next(rd, ev, now)
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
	// SettleTime is how long a returned instance must stay up before its
	// permit is released; a second loss right after a repair is common.
	SettleTime = 2 * time.Second
	// DrainTimeout is when a drain that does not complete is taken back.
	DrainTimeout = 60 * time.Second
	// ReturnTimeout is when an instance that does not come back is stuck.
	ReturnTimeout = 120 * time.Second
)

// Observations is what the leader knows beyond the replicated state.
type Observations struct {
	// UpSince is when an instance was first seen up in its present
	// incarnation, without a break.
	UpSince map[weir.InstanceID]time.Time
}

// NextCommands returns the commands to propose now.
func NextCommands(rd fsm.Reader, ev Observations, now time.Time) []command.Command {
	pl := &planner{rd: rd, ev: ev, now: now, headroom: map[weir.PoolName]int{}}
	for _, pool := range rd.Pools() {
		pl.headroom[pool.Name] = rd.Headroom(pool.Name)
	}
	busy := pl.unsettled()
	pl.followUp(busy)
	pl.reachHomes(busy)
	for _, wv := range rd.Waves() {
		pl.grant(wv)
	}
	return pl.steps
}

type planner struct {
	rd       fsm.Reader
	ev       Observations
	now      time.Time
	headroom map[weir.PoolName]int
	steps    []command.Command
}

func (pl *planner) add(cmd command.Command) {
	cmd.At = pl.now
	pl.steps = append(pl.steps, cmd)
}

// unsettled returns the members that are under way or not at home, in order
// of their names. Most members are neither, so that sorting costs little.
func (pl *planner) unsettled() []view.Member {
	var list []view.Member
	for _, mem := range pl.rd.Members() {
		if mem.Phase != view.Serving || mem.Pool != mem.ConfiguredPool {
			list = append(list, mem)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Instance < list[b].Instance })
	return list
}

// followUp ends what has been started: abandons drains, releases permits,
// marks instances that do not come back.
func (pl *planner) followUp(busy []view.Member) {
	for _, mem := range busy {
		switch mem.Phase {
		case view.Draining:
			pl.followDrain(mem)
		case view.Returning:
			pl.followReturn(mem)
		case view.Serving, view.Drained:
		}
	}
}

func (pl *planner) followDrain(mem view.Member) {
	reason := ""
	switch {
	case mem.Purpose == view.ForMaintenance && !pl.waveGoesOn(mem.Wave):
		reason = "wave " + mem.Wave + " is not running"
	case pl.now.Sub(mem.SinceAt) > DrainTimeout:
		reason = "drain did not complete in " + DrainTimeout.String()
	}
	if reason != "" {
		pl.add(command.Command{Abandon: &command.Abandon{Instance: mem.Instance, Reason: reason}})
	}
}

func (pl *planner) waveGoesOn(name string) bool {
	for _, wv := range pl.rd.Waves() {
		if wv.Name == name {
			return wv.State == fsm.WaveRunning
		}
	}
	return false
}

func (pl *planner) followReturn(mem view.Member) {
	sta := pl.rd.Statuses()[mem.Instance]
	back := sta.Up && sta.Incarnation > mem.OldIncarnation
	since, seen := pl.ev.UpSince[mem.Instance]
	if back && seen && pl.now.Sub(since) >= SettleTime {
		pl.add(command.Command{Release: &command.PermitRelease{Instance: mem.Instance}})
		return
	}
	if !back && !mem.Stuck && pl.now.Sub(mem.SinceAt) > ReturnTimeout {
		pl.add(command.Command{Stuck: &command.Stuck{Instance: mem.Instance}})
	}
}

// reachHomes moves instances to the pool that the configuration names and
// retires those it no longer holds, as far as budgets allow.
func (pl *planner) reachHomes(busy []view.Member) {
	for _, mem := range busy {
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
		pl.add(command.Command{Move: &command.Move{Instance: mem.Instance, To: mem.ConfiguredPool}})
	}
}

// grant proposes permits while the wave and the budgets allow more. Instances
// of pools with the most headroom go first, so that one tight pool does not
// hold up the wave.
func (pl *planner) grant(wv *fsm.Wave) {
	if wv.State != fsm.WaveRunning {
		return
	}
	room := wv.MaxParallel - len(wv.Active)
	for _, id := range pl.candidates(wv) {
		if room < 1 {
			return
		}
		pool := pl.rd.Members()[id].Pool
		if pl.headroom[pool] < 1 {
			continue
		}
		pl.headroom[pool]--
		room--
		pl.add(command.Command{Permit: &command.PermitGrant{Wave: wv.Name, Instance: id}})
	}
}

func (pl *planner) candidates(wv *fsm.Wave) []weir.InstanceID {
	ids := make([]weir.InstanceID, 0, len(wv.Todo))
	for id := range wv.Todo {
		mem, ok := pl.rd.Members()[id]
		if ok && mem.Phase == view.Serving && pl.rd.Statuses()[id].Up {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool {
		roomA, roomB := pl.headroom[pl.rd.Members()[ids[a]].Pool], pl.headroom[pl.rd.Members()[ids[b]].Pool]
		if roomA != roomB {
			return roomA > roomB
		}
		return ids[a] < ids[b]
	})
	return ids
}
