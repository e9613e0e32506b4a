// Package view defines the state of the fleet that is sent to entry instances:
// the configuration and the pool and phase of each instance, at one index of the
// log. The index of a view never decreases.
//
// Usage:
//
//	vw, err = vw.With(effect)
//	mem, ok := vw.Members["instance-01"]
package view

import (
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/config/model"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindGap means that effects are missing and a snapshot is needed.
const KindGap Kind = "effects are missing"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Phase is the phase of an instance between serving and maintenance.
type Phase string

// The phases of an instance.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining"
	// Drained instances have no work in progress. The platform may reboot them.
	Drained Phase = "drained"
	// Returning instances were rebooted and are not back in service yet.
	Returning Phase = "returning"
)

// Purpose is the reason why an instance is drained.
type Purpose string

// The purposes of a drain.
const (
	ForMove        Purpose = "move"
	ForMaintenance Purpose = "maintenance"
	ForRetirement  Purpose = "retirement"
)

// Member is the pool membership and the phase of an instance.
type Member struct {
	Instance weir.InstanceID `json:"instance"`
	Zone     weir.Zone       `json:"zone"`
	Pool     weir.PoolName   `json:"pool"`
	// ConfiguredPool is the pool of the instance in the configuration. It is
	// empty once the instance is removed from the configuration.
	ConfiguredPool weir.PoolName `json:"home,omitempty"`
	Lent           bool          `json:"lent,omitempty"`
	Phase          Phase         `json:"phase"`
	Purpose        Purpose       `json:"purpose,omitempty"`
	TargetPool     weir.PoolName `json:"to,omitempty"`
	Wave           string        `json:"wave,omitempty"`
	// Operation identifies a platform call across its retries.
	Operation string `json:"operation,omitempty"`
	// OldIncarnation is the incarnation that was rebooted.
	OldIncarnation uint64 `json:"oldIncarnation,omitempty"`
	// SinceIndex and SinceAt are the log index and the time at which the phase
	// began.
	SinceIndex uint64    `json:"since"`
	SinceAt    time.Time `json:"sinceAt"`
	Stuck      bool      `json:"stuck,omitempty"`
}

// Effect is the change that one log entry makes to views.
type Effect struct {
	// PrevIndex is the index of the previous effect.
	PrevIndex    uint64            `json:"after"`
	Index        uint64            `json:"index"`
	ConfigNumber uint64            `json:"number,omitempty"`
	Config       *model.Delta      `json:"config,omitempty"`
	Members      []Member          `json:"members,omitempty"`
	Removed      []weir.InstanceID `json:"gone,omitempty"`
}

// View is the state at one index. It must not be modified.
type View struct {
	Index uint64 `json:"index"`
	// ConfigNumber is the number of the configuration in force.
	ConfigNumber uint64                     `json:"number"`
	Config       model.Config               `json:"config"`
	Members      map[weir.InstanceID]Member `json:"members"`
}

// With returns the view after an effect. An effect that is not newer than the
// view is ignored, so repeated and reordered effects are harmless. It returns an
// error of KindGap if earlier effects are missing.
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

// Serves returns the service of which an instance may receive requests now. It
// returns false if the instance is not serving.
func (vw View) Serves(id weir.InstanceID) (weir.ServiceName, bool) {
	mem, ok := vw.Members[id]
	if !ok || mem.Phase != Serving {
		return "", false
	}
	pol, ok := vw.Config.Pools[mem.Pool]
	return pol.Service, ok
}
