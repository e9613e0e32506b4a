package fsm

import (
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"
)

// applyConfig applies a configuration if the expected number is in force and the
// new configuration is valid.
func (st *state) applyConfig(cmd command.Command, ch *viewChange) command.Result {
	ca := cmd.Config
	if ca.Expected != st.ConfigNumber {
		return refuse(command.RefusedConflict, "expected configuration %d, but %d is in force", ca.Expected, st.ConfigNumber)
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
	st.ConfigNumber++
	st.History = append(st.History, ConfigChange{
		Number: st.ConfigNumber, Index: ch.index, Checksum: ca.Checksum, Operator: cmd.Operator,
		RequestID: cmd.RequestID, At: cmd.At, Note: ca.Note,
	})
	if len(st.History) > maxKeptHistory {
		st.History = st.History[len(st.History)-maxKeptHistory:]
	}
	ch.config = &ca.Delta
	st.updateInstances(cmd, ch)
	return command.Result{ConfigNumber: st.ConfigNumber}
}

// updateInstances updates members from the instances of a new configuration. New
// instances join their pool at once. A changed pool or a removal is only recorded
// in ConfiguredPool, since the instance must be drained first.
func (st *state) updateInstances(cmd command.Command, ch *viewChange) {
	for id, inst := range cmd.Config.Delta.Instances {
		mem, ok := st.Members[id]
		if !ok {
			mem = view.Member{Instance: id, Pool: inst.Pool, Phase: view.Serving, SinceIndex: ch.index, SinceAt: cmd.At}
		}
		mem.Zone = inst.Zone
		mem.ConfiguredPool = inst.Pool
		st.updateMember(mem, ch)
	}
	for _, id := range cmd.Config.Delta.DropInstances {
		mem, ok := st.Members[id]
		if !ok {
			continue
		}
		mem.ConfiguredPool = ""
		st.updateMember(mem, ch)
	}
}

func (st *state) updateMember(mem view.Member, ch *viewChange) {
	st.setMember(mem)
	ch.members[mem.Instance] = mem
}

// setPhase moves a member to a phase. Serving clears the data of the drain.
func (st *state) setPhase(mem view.Member, phase view.Phase, cmd command.Command, ch *viewChange) {
	mem.Phase = phase
	mem.SinceIndex = ch.index
	mem.SinceAt = cmd.At
	if phase == view.Serving {
		mem.Purpose, mem.TargetPool, mem.Wave, mem.Operation = "", "", "", ""
		mem.OldIncarnation, mem.Stuck = 0, false
	}
	st.updateMember(mem, ch)
}
