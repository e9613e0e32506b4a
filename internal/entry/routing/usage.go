package routing

import (
	"sort"

	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

const (
	// maxPendingUsage limits the reports that wait for an acknowledgement. An
	// endpoint keeps a report that is dropped here and sends it again.
	maxPendingUsage = 20_000
	// maxUsageBatch is about the number of reports sent to the leader at once;
	// a batch ends with all reports of the incarnation that reaches it.
	maxUsageBatch = 2_000
)

type incarnation struct {
	id     weir.InstanceID
	number uint64
}

// usageBuffer holds usage reports of endpoints until the leader has
// acknowledged them.
type usageBuffer struct {
	reports map[incarnation]map[uint64]command.UsageReport
	acked   map[incarnation]uint64
	count   int
}

func newUsageBuffer() usageBuffer {
	return usageBuffer{reports: map[incarnation]map[uint64]command.UsageReport{}, acked: map[incarnation]uint64{}}
}

func (ub *usageBuffer) add(reports []command.UsageReport) {
	for _, rep := range reports {
		key := incarnation{rep.Instance, rep.Incarnation}
		if rep.Sequence <= ub.acked[key] || ub.count >= maxPendingUsage {
			continue
		}
		if ub.reports[key] == nil {
			ub.reports[key] = map[uint64]command.UsageReport{}
		}
		if _, ok := ub.reports[key][rep.Sequence]; !ok {
			ub.reports[key][rep.Sequence] = rep
			ub.count++
		}
	}
}

// pending returns unacknowledged reports, in sequence for each incarnation.
func (ub *usageBuffer) pending() []command.UsageReport {
	list := make([]command.UsageReport, 0, min(ub.count, maxUsageBatch))
	for _, reports := range ub.reports {
		first := len(list)
		for _, rep := range reports {
			list = append(list, rep)
		}
		part := list[first:]
		sort.Slice(part, func(a, b int) bool { return part[a].Sequence < part[b].Sequence })
		if len(list) >= maxUsageBatch {
			break
		}
	}
	return list
}

func (ub *usageBuffer) acknowledge(mk command.UsageAck) {
	key := incarnation{mk.Instance, mk.Incarnation}
	ub.acked[key] = max(ub.acked[key], mk.Sequence)
	for seq := range ub.reports[key] {
		if seq <= mk.Sequence {
			delete(ub.reports[key], seq)
			ub.count--
		}
	}
	if len(ub.reports[key]) == 0 {
		delete(ub.reports, key)
	}
}

func (ub *usageBuffer) ackedUpTo(id weir.InstanceID, number uint64) uint64 {
	return ub.acked[incarnation{id, number}]
}

// forget drops the acknowledged sequence numbers of an instance's incarnations
// that have no pending reports.
func (ub *usageBuffer) forget(id weir.InstanceID) {
	for key := range ub.acked {
		if key.id == id && len(ub.reports[key]) == 0 {
			delete(ub.acked, key)
		}
	}
}
