package fsm

import (
	"sort"

	"greengageweir/internal/config/model"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// Reader reads the state within Machine.Read. The maps that it returns are
// shared: they must not be modified, nor used after Read returns.
type Reader struct{ st *state }

// PoolStatus is the size and the availability of a pool, in instances.
type PoolStatus struct {
	Name         weir.PoolName `json:"name"`
	Size         int           `json:"size"`
	Available    int           `json:"available"`
	MinAvailable int           `json:"minAvailable"`
	Spare        bool          `json:"spare,omitempty"`
}

// Index returns the last applied index.
func (rd Reader) Index() uint64 { return rd.st.Index }

// EffectIndex returns the index of the last effect on views.
func (rd Reader) EffectIndex() uint64 { return rd.st.EffectIndex }

// ConfigNumber returns the number of the configuration in force.
func (rd Reader) ConfigNumber() uint64 { return rd.st.ConfigNumber }

// Config returns the configuration in force.
func (rd Reader) Config() model.Config { return rd.st.Config }

// History returns the most recent changes of the configuration, oldest first.
func (rd Reader) History() []ConfigChange { return append([]ConfigChange{}, rd.st.History...) }

// Members returns all members.
func (rd Reader) Members() map[weir.InstanceID]view.Member { return rd.st.Members }

// Statuses returns the last reported status of all instances.
func (rd Reader) Statuses() map[weir.InstanceID]command.Status { return rd.st.Statuses }

// CompletedMoves returns the number of completed moves between pools.
func (rd Reader) CompletedMoves() uint64 { return rd.st.Moves }

// Processes returns the zones of all registered entry instances by id.
func (rd Reader) Processes() map[string]weir.Zone { return rd.st.Processes }

// Usage returns the total usage, sorted by service and team.
func (rd Reader) Usage() []UsageLine { return rd.st.usageLines() }

// Headroom returns how many more instances of a pool may be disrupted.
func (rd Reader) Headroom(pool weir.PoolName) int {
	return rd.st.available[pool] - rd.st.Config.Pools[pool].MinAvailable
}

// Pools returns the status of all pools, sorted by name.
func (rd Reader) Pools() []PoolStatus {
	pools := make([]PoolStatus, 0, len(rd.st.Config.Pools))
	for name, pol := range rd.st.Config.Pools {
		pools = append(pools, PoolStatus{
			Name: name, Size: rd.st.sizes[name], Available: rd.st.available[name],
			MinAvailable: pol.MinAvailable, Spare: pol.Spare,
		})
	}
	sort.Slice(pools, func(a, b int) bool { return pools[a].Name < pools[b].Name })
	return pools
}

// Waves returns all waves, oldest first.
func (rd Reader) Waves() []*Wave {
	waves := make([]*Wave, 0, len(rd.st.Waves))
	for _, wave := range rd.st.Waves {
		waves = append(waves, wave)
	}
	sort.Slice(waves, func(a, b int) bool {
		if waves[a].CreatedAt.Equal(waves[b].CreatedAt) {
			return waves[a].Name < waves[b].Name
		}
		return waves[a].CreatedAt.Before(waves[b].CreatedAt)
	})
	return waves
}
