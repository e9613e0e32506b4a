package peaks

import (
	"maps"
	"sort"

	weir "greengageweir"
	"greengageweir/internal/fleet/view"
)

// react is the baseline that moves instances when a pool is over its
// threshold, as an autoscaler without foresight does.
func (sm *simulation) react() {
	changed := sm.land()
	if sm.at%reactEvery == 0 {
		for service := range services {
			if sm.load(service) > busyAbove {
				changed = sm.moveTo(service) || changed
			}
		}
	}
	if changed {
		sm.vw.Index++
		sm.tb.SetView(sm.vw)
	}
}

// land ends the moves whose time is over.
func (sm *simulation) land() bool {
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

// load is the share of a pool's slots in use; waiting requests count too.
func (sm *simulation) load(service int) float64 {
	size := len(sm.pool(service))
	if size == 0 {
		return 1
	}
	return float64(sm.busy[service]+len(sm.queues[service])) / float64(size*slots)
}

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

// moveTo takes instances from the idlest pools, each of which keeps some.
func (sm *simulation) moveTo(service int) bool {
	moved := false
	for range movesAtOnce {
		from, lowest := -1, idleBelow
		for other := range services {
			if load := sm.load(other); other != service && load < lowest && len(sm.pool(other)) > sm.keep {
				from, lowest = other, load
			}
		}
		if from < 0 {
			return moved
		}
		id := sm.pool(from)[0]
		sm.setMember(view.Member{Instance: id, Pool: poolName(from), Phase: view.Draining})
		sm.moving[id] = arrival{at: sm.at + moveTime, to: poolName(service)}
		sm.moves++
		moved = true
	}
	return moved
}
