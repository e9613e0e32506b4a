package placement

import (
	"maps"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Team is a team of the configuration.
type Team struct {
	// Weight is the team's part of a pool in relation to the other teams that run
	// or wait there.
	Weight float64
	// Startable is what further runs of the team may request in total under its
	// cap. It is spec.NoLimit for each resource without a limit, and negative for
	// one of which the team uses more than its cap; then nothing may start.
	Startable spec.Resources
}

// PoolUse is what the teams use of a pool.
type PoolUse struct {
	// Capacity is the total of the pool's workers, also of those that take no
	// tasks now.
	Capacity spec.Resources
	// Teams holds what the runs of each team reserve. A team that waits has an
	// entry even if it has no runs; Place adds the teams of its groups.
	Teams map[weir.TeamName]spec.Resources
}

// Shares returns, for each team of the configuration that runs or waits in the pool,
// the part of the pool that it is entitled to while others wait: its weight over the
// sum of their weights. If none of them has a weight, all are equal.
func (pu PoolUse) Shares(teams map[weir.TeamName]Team) map[weir.TeamName]float64 {
	shares, total := make(map[weir.TeamName]float64, len(pu.Teams)), 0.0
	for name := range pu.Teams {
		if tm, ok := teams[name]; ok {
			shares[name] = tm.Weight
			total += tm.Weight
		}
	}
	for name, weight := range shares {
		if total > 0 {
			shares[name] = weight / total
		} else {
			shares[name] = 1 / float64(len(shares))
		}
	}
	return shares
}

// DominantUse returns the largest of the fractions of the pool's capacity that a
// team's runs reserve.
func (pu PoolUse) DominantUse(name weir.TeamName) float64 {
	return pu.Teams[name].DominantShare(pu.Capacity)
}

// AboveShare reports whether a team with the given share uses more than that. A team
// with share 0 is always above it.
func (pu PoolUse) AboveShare(name weir.TeamName, share float64) bool {
	return !pu.Teams[name].Fits(pu.entitlement(share))
}

// entitlement returns the most of each resource that is within a share.
func (pu PoolUse) entitlement(share float64) spec.Resources {
	part := func(capacity int) int {
		if share == 0 {
			return -1
		}
		// The weights of a share may not be exact in binary; 1e-6 is far less
		// than one unit.
		return int(share*float64(capacity) + 1e-6)
	}
	return spec.Resources{MilliCPU: part(pu.Capacity.MilliCPU), MemoryMB: part(pu.Capacity.MemoryMB), GPU: part(pu.Capacity.GPU)}
}

// member is a team in one pool during a call of Place.
type member struct {
	// startable is shared by the team's members in all pools.
	startable *spec.Resources
	// use is what the team's runs reserve in the pool, entitlement the most that
	// is within its share.
	use, entitlement spec.Resources
}

// tier is the first sort key of tasks within a class.
type tier int

// A task that takes a team at or below its share above it goes after those that do
// not. Otherwise each of many teams could exceed its share by most of a task, and
// nothing would be left for the last ones.
const (
	withinShare tier = iota
	crossingShare
	aboveShare
)

// tier returns the tier of a task or gang that reserves need. Groups without a team
// are within their share.
func (mb *member) tier(need spec.Resources) tier {
	switch {
	case mb == nil || mb.use.Plus(need).Fits(mb.entitlement):
		return withinShare
	case mb.use.Fits(mb.entitlement):
		return crossingShare
	}
	return aboveShare
}

// mayStart reports whether the team may start runs that request need in total.
func (mb *member) mayStart(need spec.Resources) bool { return mb == nil || need.Fits(*mb.startable) }

// start counts the start of a task.
func (mb *member) start(step spec.Step) {
	if mb == nil {
		return
	}
	mb.use = mb.use.Plus(step.Reserved())
	*mb.startable = mb.startable.Minus(step.Resources)
}

// memberKey identifies a member.
type memberKey struct {
	pool weir.PoolName
	team weir.TeamName
}

// members returns the members for the groups of teams that are in the configuration.
func members(groups []Group, teams map[weir.TeamName]Team, pools map[weir.PoolName]PoolUse) map[memberKey]*member {
	if len(teams) == 0 {
		return nil
	}
	out := map[memberKey]*member{}
	startable := map[weir.TeamName]*spec.Resources{}
	used := map[weir.PoolName]PoolUse{}
	for ix := range groups {
		key := memberKey{pool: groups[ix].Pool, team: groups[ix].Team}
		tm, ok := teams[key.team]
		if !ok || out[key] != nil {
			continue
		}
		if startable[key.team] == nil {
			startable[key.team] = &tm.Startable
		}
		pu, ok := used[key.pool]
		if !ok {
			pu = pools[key.pool]
			pu.Teams = maps.Clone(pu.Teams)
			if pu.Teams == nil {
				pu.Teams = map[weir.TeamName]spec.Resources{}
			}
			used[key.pool] = pu
		}
		use := pu.Teams[key.team]
		pu.Teams[key.team] = use
		out[key] = &member{startable: startable[key.team], use: use}
	}
	for name, pu := range used {
		for tm, share := range pu.Shares(teams) {
			if mb := out[memberKey{pool: name, team: tm}]; mb != nil {
				mb.entitlement = pu.entitlement(share)
			}
		}
	}
	return out
}
