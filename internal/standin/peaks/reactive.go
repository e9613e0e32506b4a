package peaks

import (
	"maps"
	"sort"

	weir "greengageweir"
	"greengageweir/internal/fleet/view"
)

// react moves instances to pools above the load threshold, as an autoscaler
// without a forecast does.
func (sm *simulation) react() {
	changed := sm.completeMoves()
	if sm.at%reactInterval == 0 {
		for service := range serviceCount {
			if sm.load(service) > highLoad {
				changed = sm.moveInstancesTo(service) || changed
			}
		}
	}
	if changed {
		sm.vw.Index++
		sm.tb.SetView(sm.vw)
	}
}

// completeMoves puts instances whose move has ended into service. It reports
// whether there were any.
func (sm *simulation) completeMoves() bool {
	landed := false
	for id, arr := range sm.moving {
		if sm.at < arr.at {
			continue
		}
		delete(sm.moving, id)
		sm.setMember(view.Member{Instance: id, Pool: arr.to, Phase: view.Serving})
		landed = true
	}
	return landed
}

func (sm *simulation) setMember(mem view.Member) {
	members := maps.Clone(sm.vw.Members)
	members[mem.Instance] = mem
	sm.vw.Members = members
}

// load returns the running and queued requests of a service per slot of its pool.
func (sm *simulation) load(service int) float64 {
	size := len(sm.pool(service))
	if size == 0 {
		return 1
	}
	return float64(sm.busy[service]+len(sm.queues[service])) / float64(size*slotsPerInstance)
}

// pool returns the serving instances of a pool in order of their names.
func (sm *simulation) pool(service int) []weir.InstanceID {
	var ids []weir.InstanceID
	for id, mem := range sm.vw.Members {
		if mem.Pool == poolName(service) && mem.Phase == view.Serving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

// moveInstancesTo moves instances from the least loaded pools, each of which
// keeps minPerPool. It reports whether any was moved.
func (sm *simulation) moveInstancesTo(service int) bool {
	moved := false
	for range maxMovesPerReaction {
		from, lowest := -1, lowLoad
		for other := range serviceCount {
			if load := sm.load(other); other != service && load < lowest && len(sm.pool(other)) > sm.minPerPool {
				from, lowest = other, load
			}
		}
		if from < 0 {
			return moved
		}
		id := sm.pool(from)[0]
		sm.setMember(view.Member{Instance: id, Pool: poolName(from), Phase: view.Draining})
		sm.moving[id] = pendingMove{at: sm.at + moveTime, to: poolName(service)}
		sm.moves++
		moved = true
	}
	return moved
}
