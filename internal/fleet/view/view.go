// Package view is what entry instances know of the fleet: the configuration
// and the pool and phase of each instance, at one index of the log. A view
// only ever goes forward.
//
// Usage:
//
//	vw, err = vw.With(effect)
//	mem, ok := vw.Members["shy-01"]
package view

import (
	"time"

	"greengageweir/internal/config/model"
	"greengageweir/internal/duty/errkind"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// KindGap says that effects are missing; a snapshot is needed.
const KindGap Kind = "effects are missing"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Phase is where an instance is between serving and maintenance.
type Phase string

// The phases of an instance.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining"
	// Drained instances hold no work; the platform may act on them.
	Drained Phase = "drained"
	// Returning instances were rebooted and have not proven themselves yet.
	Returning Phase = "returning"
)

// Purpose tells what an instance is drained for.
type Purpose string

// The purposes of a drain.
const (
	ForMove        Purpose = "move"
	ForMaintenance Purpose = "maintenance"
	ForRetirement  Purpose = "retirement"
)

// Member is an instance's place in the fleet.
type Member struct {
	Instance weir.InstanceID `json:"instance"`
	Zone     weir.Zone       `json:"zone"`
	Pool     weir.PoolName   `json:"pool"`
	// ConfiguredPool is the pool that the configuration names; empty once it is gone
	// from the configuration.
	ConfiguredPool weir.PoolName `json:"home,omitempty"`
	Lent           bool          `json:"lent,omitempty"`
	Phase          Phase         `json:"phase"`
	Purpose        Purpose       `json:"purpose,omitempty"`
	TargetPool     weir.PoolName `json:"to,omitempty"`
	Wave           string        `json:"wave,omitempty"`
	// Operation identifies a platform call for all retries of it.
	Operation string `json:"operation,omitempty"`
	// OldIncarnation is the one that was rebooted.
	OldIncarnation uint64 `json:"oldIncarnation,omitempty"`
	// SinceIndex is the index and SinceAt the time of the present phase.
	SinceIndex uint64    `json:"since"`
	SinceAt    time.Time `json:"sinceAt"`
	Stuck      bool      `json:"stuck,omitempty"`
}

// Effect is what one index of the log changes in views.
type Effect struct {
	// PrevIndex is the index of the effect before this one.
	PrevIndex    uint64            `json:"after"`
	Index        uint64            `json:"index"`
	ConfigNumber uint64            `json:"number,omitempty"`
	Config       *model.Delta      `json:"config,omitempty"`
	Members      []Member          `json:"members,omitempty"`
	Removed      []weir.InstanceID `json:"gone,omitempty"`
}

// View is the state at one index. Treat it as immutable.
type View struct {
	Index uint64 `json:"index"`
	// ConfigNumber is the number of the configuration in force.
	ConfigNumber uint64                     `json:"number"`
	Config       model.Config               `json:"config"`
	Members      map[weir.InstanceID]Member `json:"members"`
}

// With returns the view changed by an effect. An effect that is not newer
// changes nothing, so repeated and reordered effects do no harm.
func (vw View) With(eff Effect) (View, error) {
	if eff.Index <= vw.Index {
		return vw, nil
	}
	if eff.PrevIndex != vw.Index {
		return vw, &Error{Op: "apply effect", Kind: KindGap}
	}
	vw.Index = eff.Index
	if eff.Config != nil {
		vw.Config = vw.Config.With(*eff.Config)
		vw.ConfigNumber = eff.ConfigNumber
	}
	if len(eff.Members)+len(eff.Removed) == 0 {
		return vw, nil
	}
	members := make(map[weir.InstanceID]Member, len(vw.Members)+len(eff.Members))
	for id, mem := range vw.Members {
		members[id] = mem
	}
	for _, mem := range eff.Members {
		members[mem.Instance] = mem
	}
	for _, id := range eff.Removed {
		delete(members, id)
	}
	vw.Members = members
	return vw, nil
}

// Serves returns the service that an instance may be given work of now.
func (vw View) Serves(id weir.InstanceID) (weir.ServiceName, bool) {
	mem, ok := vw.Members[id]
	if !ok || mem.Phase != Serving {
		return "", false
	}
	pol, ok := vw.Config.Pools[mem.Pool]
	return pol.Service, ok
}
