package fsm

import (
	"fmt"

	"greengageweir/internal/common/invariant"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// requireServing returns a member that serves and is up, or else a refusal with
// the reason.
func (st *state) requireServing(id weir.InstanceID) (view.Member, *command.Result) {
	mem, ok := st.Members[id]
	var ans command.Result
	switch {
	case !ok:
		ans = refuse(command.RefusedNotFound, "no instance is named %s", id)
	case mem.Phase != view.Serving:
		ans = refuse(command.RefusedWrongState, "instance %s is %s", id, mem.Phase)
	case !st.Statuses[id].Up:
		ans = refuse(command.RefusedWrongState, "instance %s is not up", id)
	default:
		return mem, nil
	}
	return mem, &ans
}

// startDrain starts to drain a serving member if the availability budget of its
// pool allows it.
func (st *state) startDrain(mem view.Member, cmd command.Command, ch *viewChange) command.Result {
	left := st.available[mem.Pool] - 1
	want := st.Config.Pools[mem.Pool].MinAvailable
	if left < want {
		return refuse(command.RefusedBudget, "pool %s would have %d instances, its budget is %d", mem.Pool, left, want)
	}
	st.setPhase(mem, view.Draining, cmd, ch)
	invariant.Check(st.available[mem.Pool] >= want, "budgetHolds",
		"pool", mem.Pool, "available", st.available[mem.Pool], "budget", want)
	return command.Result{}
}

func (st *state) applyMove(cmd command.Command, ch *viewChange) command.Result {
	mv := cmd.Move
	mem, refusal := st.requireServing(mv.Instance)
	if refusal != nil {
		return *refusal
	}
	if _, ok := st.Config.Pools[mv.TargetPool]; !ok {
		return refuse(command.RefusedNotFound, "no pool is named %s", mv.TargetPool)
	}
	if mem.Pool == mv.TargetPool {
		return refuse(command.RefusedWrongState, "instance %s is in pool %s already", mv.Instance, mv.TargetPool)
	}
	mem.Purpose = view.ForMove
	mem.TargetPool = mv.TargetPool
	mem.Lent = mv.Lent
	return st.startDrain(mem, cmd, ch)
}

func (st *state) applyRetire(cmd command.Command, ch *viewChange) command.Result {
	id := cmd.Retire.Instance
	mem, ok := st.Members[id]
	if ok && mem.ConfiguredPool != "" {
		return refuse(command.RefusedWrongState, "instance %s is in the configuration", id)
	}
	if ok && mem.Phase == view.Serving && !st.Statuses[id].Up {
		st.removeMember(id)
		ch.removed = append(ch.removed, id)
		return command.Result{}
	}
	mem, refusal := st.requireServing(id)
	if refusal != nil {
		return *refusal
	}
	mem.Purpose = view.ForRetirement
	return st.startDrain(mem, cmd, ch)
}

func (st *state) applyPermit(cmd command.Command, ch *viewChange) command.Result {
	pg := cmd.Permit
	wave, ok := st.Waves[pg.Wave]
	if !ok {
		return refuse(command.RefusedNotFound, "no wave is named %s", pg.Wave)
	}
	if wave.State != WaveRunning || !wave.Pending[pg.Instance] {
		return refuse(command.RefusedWrongState, "wave %s is %s or does not wait for %s", pg.Wave, wave.State, pg.Instance)
	}
	if len(wave.Active) >= wave.MaxParallel {
		return refuse(command.RefusedWrongState, "wave %s has %d instances in work", pg.Wave, len(wave.Active))
	}
	mem, refusal := st.requireServing(pg.Instance)
	if refusal != nil {
		return *refusal
	}
	mem.Purpose = view.ForMaintenance
	mem.Wave = pg.Wave
	mem.Operation = fmt.Sprintf("%s/%s/%d", pg.Wave, pg.Instance, ch.index)
	ans := st.startDrain(mem, cmd, ch)
	if ans.Refusal == nil {
		delete(wave.Pending, pg.Instance)
		wave.Active[pg.Instance] = true
	}
	return ans
}

// applyDrainConfirmation completes a drain. The confirmation must come from the
// instance's present owner and be based on a view that includes the drain.
func (st *state) applyDrainConfirmation(cmd command.Command, ch *viewChange) command.Result {
	co := cmd.DrainConfirmation
	mem, ok := st.Members[co.Instance]
	if !ok || mem.Phase != view.Draining {
		return refuse(command.RefusedWrongState, "instance %s is not draining", co.Instance)
	}
	sta := st.Statuses[co.Instance]
	if co.View < mem.SinceIndex || co.Incarnation != sta.Incarnation || co.Epoch != sta.Epoch || co.Entry != sta.Entry {
		return refuse(command.RefusedStale, "consent for %s is of an earlier view or owner", co.Instance)
	}
	switch mem.Purpose {
	case view.ForMove:
		mem.Pool = mem.TargetPool
		if mem.Pool == mem.ConfiguredPool {
			mem.Lent = false
		}
		st.Moves++
		st.setPhase(mem, view.Serving, cmd, ch)
	case view.ForRetirement:
		st.removeMember(co.Instance)
		ch.removed = append(ch.removed, co.Instance)
	default:
		mem.OldIncarnation = sta.Incarnation
		st.setPhase(mem, view.Drained, cmd, ch)
	}
	return command.Result{}
}

// applyAbandon cancels a drain that has not completed.
func (st *state) applyAbandon(cmd command.Command, ch *viewChange) command.Result {
	id := cmd.Abandon.Instance
	mem, ok := st.Members[id]
	if !ok || mem.Phase != view.Draining {
		return refuse(command.RefusedWrongState, "instance %s is not draining", id)
	}
	if wave, ok := st.Waves[mem.Wave]; ok {
		delete(wave.Active, id)
		if wave.State != WaveAborted {
			wave.Pending[id] = true
		}
	}
	if mem.Purpose == view.ForMove && mem.Pool == mem.ConfiguredPool {
		mem.Lent = false
	}
	st.setPhase(mem, view.Serving, cmd, ch)
	return command.Result{}
}

func (st *state) applyReboot(cmd command.Command, ch *viewChange) command.Result {
	mem, ok := st.Members[cmd.Reboot.Instance]
	if !ok || mem.Phase != view.Drained || mem.Operation != cmd.Reboot.Operation {
		return refuse(command.RefusedWrongState, "instance %s does not wait for %s", cmd.Reboot.Instance, cmd.Reboot.Operation)
	}
	st.setPhase(mem, view.Returning, cmd, ch)
	return command.Result{}
}

// applyRelease puts a rebooted instance back into service. It must be up with a
// newer incarnation than the one that was rebooted.
func (st *state) applyRelease(cmd command.Command, ch *viewChange) command.Result {
	id := cmd.Release.Instance
	mem, ok := st.Members[id]
	sta := st.Statuses[id]
	if !ok || mem.Phase != view.Returning || !sta.Up || sta.Incarnation <= mem.OldIncarnation {
		return refuse(command.RefusedWrongState, "instance %s has not come back", id)
	}
	if wave, ok := st.Waves[mem.Wave]; ok {
		delete(wave.Active, id)
		delete(wave.Stuck, id)
		wave.Done[id] = true
		wave.finishIfDone(cmd.At)
	}
	st.setPhase(mem, view.Serving, cmd, ch)
	return command.Result{}
}

// applyStuck lets the wave continue without an instance that was not up again in
// time. The instance does not count as available in its pool.
func (st *state) applyStuck(cmd command.Command, ch *viewChange) command.Result {
	id := cmd.Stuck.Instance
	mem, ok := st.Members[id]
	if !ok || mem.Phase != view.Returning || mem.Stuck {
		return refuse(command.RefusedWrongState, "instance %s is not returning", id)
	}
	mem.Stuck = true
	st.updateMember(mem, ch)
	if wave, ok := st.Waves[mem.Wave]; ok {
		delete(wave.Active, id)
		wave.Stuck[id] = true
		wave.finishIfDone(cmd.At)
	}
	return command.Result{}
}
