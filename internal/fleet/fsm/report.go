package fsm

import (
	"sort"

	"greengageweir/internal/fleet/command"
)

// applyStatus applies status reports of instances. Reports of an earlier
// incarnation or lease are ignored.
func (st *state) applyStatus(cmd command.Command) command.Result {
	for _, sta := range cmd.Status.Items {
		if _, ok := st.Members[sta.Instance]; !ok {
			continue
		}
		old := st.Statuses[sta.Instance]
		if sta.Incarnation < old.Incarnation {
			continue
		}
		if sta.Incarnation == old.Incarnation && sta.Epoch < old.Epoch {
			continue
		}
		st.setStatus(sta)
	}
	return command.Result{}
}

// applyProcess maintains the list of entry instances that must receive each
// configuration change.
func (st *state) applyProcess(cmd command.Command) command.Result {
	pr := cmd.Process
	if _, ok := st.Processes[pr.ID]; pr.Forget && !ok {
		return refuse(command.RefusedNotFound, "no process is named %s", pr.ID)
	}
	if pr.Forget {
		delete(st.Processes, pr.ID)
		return command.Result{}
	}
	st.Processes[pr.ID] = pr.Zone
	return command.Result{}
}

// applyUsage counts each report once. The reports of an incarnation must arrive
// in sequence, and reports that were counted before are acknowledged again.
func (st *state) applyUsage(cmd command.Command) command.Result {
	ans := command.Result{}
	for _, rep := range cmd.Usage.Reports {
		mk := st.UsageProgress[rep.Instance]
		if rep.Incarnation > mk.Incarnation {
			mk = usageProgress{Incarnation: rep.Incarnation, PrevIncarnation: mk.Incarnation, PrevSequence: mk.Sequence}
		}
		var last *uint64
		switch rep.Incarnation {
		case mk.Incarnation:
			last = &mk.Sequence
		case mk.PrevIncarnation:
			last = &mk.PrevSequence
		default:
			continue
		}
		if rep.Sequence == *last+1 {
			*last = rep.Sequence
			st.addUsage(rep)
		}
		ans.Acked = append(ans.Acked, command.UsageAck{Instance: rep.Instance, Incarnation: rep.Incarnation, Sequence: *last})
		st.UsageProgress[rep.Instance] = mk
	}
	return ans
}

func (st *state) addUsage(rep command.UsageReport) {
	for _, total := range rep.Totals {
		key := usageKey{total.Service, total.Team}
		sum, ok := st.usage[key]
		if !ok {
			sum = &UsageTotals{}
			st.usage[key] = sum
		}
		sum.Done += total.Done
		sum.Failed += total.Failed
		sum.BusyMillis += total.BusyMillis
	}
}

func (st *state) usageLines() []UsageLine {
	lines := make([]UsageLine, 0, len(st.usage))
	for key, sum := range st.usage {
		lines = append(lines, UsageLine{Service: key.service, Team: key.team, UsageTotals: *sum})
	}
	sort.Slice(lines, func(a, b int) bool {
		if lines[a].Service != lines[b].Service {
			return lines[a].Service < lines[b].Service
		}
		return lines[a].Team < lines[b].Team
	})
	return lines
}
