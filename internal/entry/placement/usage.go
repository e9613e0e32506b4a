package placement

import (
	"sort"

	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

const (
	// maxPendingUsage bounds the reports that wait to be settled; endpoints
	// keep what is not taken and send it again.
	maxPendingUsage = 20_000
	// maxUsageBatch bounds the reports sent to the leader at once.
	maxUsageBatch = 2_000
)

type incarnation struct {
	id     weir.InstanceID
	number uint64
}

// usageBuffer holds usage reports on their way from endpoints to the leader.
type usageBuffer struct {
	reports map[incarnation]map[uint64]command.UsageReport
	settled map[incarnation]uint64
	count   int
}

func newUsageBuffer() usageBuffer {
	return usageBuffer{reports: map[incarnation]map[uint64]command.UsageReport{}, settled: map[incarnation]uint64{}}
}

func (ub *usageBuffer) add(reports []command.UsageReport) {
	for _, rep := range reports {
		key := incarnation{rep.Instance, rep.Incarnation}
		if rep.Sequence <= ub.settled[key] || ub.count >= maxPendingUsage {
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

// pending returns reports in sequence for each incarnation.
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

func (ub *usageBuffer) settle(mk command.UsageAck) {
	key := incarnation{mk.Instance, mk.Incarnation}
	ub.settled[key] = max(ub.settled[key], mk.Sequence)
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

func (ub *usageBuffer) settledUpTo(id weir.InstanceID, number uint64) uint64 {
	return ub.settled[incarnation{id, number}]
}

// forget drops the marks of an instance that has nothing pending.
func (ub *usageBuffer) forget(id weir.InstanceID) {
	for key := range ub.settled {
		if key.id == id && len(ub.reports[key]) == 0 {
			delete(ub.settled, key)
		}
	}
}
