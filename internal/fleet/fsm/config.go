package fsm

import (
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"
)

// applyConfig accepts a configuration if it follows the present one.
func (st *state) applyConfig(cmd command.Command, ch *change) command.Result {
	ca := cmd.Config
	if ca.Expected != st.Number {
		return refuse(command.RefusedConflict, "expected configuration %d, but %d is in force", ca.Expected, st.Number)
	}
	cfg := st.Config.With(ca.Delta)
	if probs := cfg.Check(); len(probs) > 0 {
		ans := refuse(command.RefusedInvalid, "configuration is not valid: %s: %s", probs[0].Path, probs[0].Message)
		ans.Refusal.Problems = probs
		return ans
	}
	for _, pool := range ca.Delta.DropPools {
		if st.sizes[pool] > 0 {
			return refuse(command.RefusedWrongState, "pool %s still holds %d instances; move them first", pool, st.sizes[pool])
		}
	}
	st.Config = cfg
	st.Number++
	st.History = append(st.History, ConfigChange{
		Number: st.Number, Index: ch.index, Checksum: ca.Checksum, Operator: cmd.Operator,
		RequestID: cmd.RequestID, At: cmd.At, Note: ca.Note,
	})
	if len(st.History) > keptHistory {
		st.History = st.History[len(st.History)-keptHistory:]
	}
	ch.config = &ca.Delta
	st.placeInstances(cmd, ch)
	return command.Result{ConfigNumber: st.Number}
}

// placeInstances brings members in line with the instances of a new
// configuration. New ones join their pool at once; a changed home and a
// removal only set the goal, since the instance must be drained first.
func (st *state) placeInstances(cmd command.Command, ch *change) {
	for id, inst := range cmd.Config.Delta.Instances {
		mem, ok := st.Members[id]
		if !ok {
			mem = view.Member{Instance: id, Pool: inst.Pool, Phase: view.Serving, SinceIndex: ch.index, SinceAt: cmd.At}
		}
		mem.Zone = inst.Zone
		mem.ConfiguredPool = inst.Pool
		st.putMember(mem, ch)
	}
	for _, id := range cmd.Config.Delta.DropInstances {
		mem, ok := st.Members[id]
		if !ok {
			continue
		}
		mem.ConfiguredPool = ""
		st.putMember(mem, ch)
	}
}

func (st *state) putMember(mem view.Member, ch *change) {
	st.setMember(mem)
	ch.members[mem.Instance] = mem
}

// enter puts a member into a phase.
func (st *state) enter(mem view.Member, phase view.Phase, cmd command.Command, ch *change) {
	mem.Phase = phase
	mem.SinceIndex = ch.index
	mem.SinceAt = cmd.At
	if phase == view.Serving {
		mem.Purpose, mem.TargetPool, mem.Wave, mem.Operation = "", "", "", ""
		mem.OldIncarnation, mem.Stuck = 0, false
	}
	st.putMember(mem, ch)
}
