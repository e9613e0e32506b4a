// Package operator is the contract with operators: bodies of the HTTP
// interface of a control process, and its client.
//
// Usage:
//
//	cl := &operator.Client{Addrs: addrs, Token: token}
//	ans, err := cl.Apply(ctx, operator.ApplyRequest{...})
package operator

import (
	"time"

	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// ApplyConfigRequest asks for a configuration to follow number Expected.
type ApplyConfigRequest struct {
	RequestID string       `json:"requestId"`
	Expected  uint64       `json:"expected"`
	Note      string       `json:"note,omitempty"`
	Config    model.Config `json:"config"`
}

// ConfigResponse is the configuration in force.
type ConfigResponse struct {
	Number   uint64       `json:"number"`
	Checksum string       `json:"checksum"`
	Config   model.Config `json:"config"`
}

// CreateWaveRequest creates a wave.
type CreateWaveRequest struct {
	RequestID string             `json:"requestId"`
	Wave      command.WaveCreate `json:"wave"`
}

// WaveActionRequest pauses, resumes or aborts a wave.
type WaveActionRequest struct {
	RequestID string             `json:"requestId"`
	Action    command.WaveAction `json:"action"`
}

// MoveRequest moves an instance to a pool.
type MoveRequest struct {
	RequestID string          `json:"requestId"`
	Instance  weir.InstanceID `json:"instance"`
	To        weir.PoolName   `json:"to"`
}

// AbandonRequest takes a drain back.
type AbandonRequest struct {
	RequestID string `json:"requestId"`
	Reason    string `json:"reason"`
}

// ForgetProcessRequest removes a process that is gone for good from the roll-out.
type ForgetProcessRequest struct {
	RequestID string `json:"requestId"`
}

// StatusResponse is the state of the fleet.
type StatusResponse struct {
	Leader       string                 `json:"leader"`
	Index        uint64                 `json:"index"`
	ConfigNumber uint64                 `json:"number"`
	Processes    []peerapi.EntryProcess `json:"processes"`
	Pools        []fsm.PoolStatus       `json:"pools"`
	Moves        uint64                 `json:"moves"`
	Demand       []peerapi.Demand       `json:"demand"`
}

// InForce reports whether a configuration is in force at each process that is
// heard, and names those that are not heard.
func (sa StatusResponse) InForce(number uint64) (inForce bool, unheard []string) {
	inForce = sa.ConfigNumber >= number && len(sa.Processes) > 0
	for _, pr := range sa.Processes {
		if !pr.Reporting {
			unheard = append(unheard, pr.ID)
			continue
		}
		if pr.ConfigNumber < number {
			inForce = false
		}
	}
	return inForce, unheard
}

// WaveStatus is a wave with its progress.
type WaveStatus struct {
	Name      string            `json:"name"`
	State     fsm.WaveState     `json:"state"`
	Todo      int               `json:"todo"`
	Active    []weir.InstanceID `json:"active"`
	Done      int               `json:"done"`
	Stuck     []weir.InstanceID `json:"stuck,omitempty"`
	CreatedAt time.Time         `json:"createdAt"`
	EndedAt   *time.Time        `json:"endedAt,omitempty"`
	// ExpectedEnd is worked out from the pace so far.
	ExpectedEnd *time.Time `json:"expectedEnd,omitempty"`
}

// InstanceStatus is an instance with what is known of it.
type InstanceStatus struct {
	view.Member
	Up    bool   `json:"up"`
	Entry string `json:"entry,omitempty"`
}

// UsageResponse is the settled usage and whether reports are still under way.
type UsageResponse struct {
	Index uint64          `json:"index"`
	Lines []fsm.UsageLine `json:"lines"`
}
