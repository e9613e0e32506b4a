// Package operator defines the operators' HTTP interface of a control process: the
// request and response bodies, and a client.
//
// Usage:
//
//	cl := &operator.Client{Addrs: addrs, Token: token}
//	result, err := cl.SendCommand(ctx, "/v1/config", operator.ApplyConfigRequest{...})
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

// ApplyConfigRequest replaces the configuration if the number in force is Expected.
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
	RequestID  string          `json:"requestId"`
	Instance   weir.InstanceID `json:"instance"`
	TargetPool weir.PoolName   `json:"to"`
}

// AbandonRequest cancels the drain of an instance.
type AbandonRequest struct {
	RequestID string `json:"requestId"`
	Reason    string `json:"reason"`
}

// ForgetProcessRequest removes an entry instance that has been shut down for good,
// so that configuration roll-outs no longer wait for it.
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

// InForce reports whether a configuration is in force at each reporting process,
// and returns the ids of the processes that do not report.
func (sa StatusResponse) InForce(number uint64) (inForce bool, notReporting []string) {
	inForce = sa.ConfigNumber >= number && len(sa.Processes) > 0
	for _, pr := range sa.Processes {
		if !pr.Reporting {
			notReporting = append(notReporting, pr.ID)
			continue
		}
		if pr.ConfigNumber < number {
			inForce = false
		}
	}
	return inForce, notReporting
}

// WaveStatus is a wave with its progress.
type WaveStatus struct {
	Name      string            `json:"name"`
	State     fsm.WaveState     `json:"state"`
	Pending   int               `json:"todo"`
	Active    []weir.InstanceID `json:"active"`
	Done      int               `json:"done"`
	Stuck     []weir.InstanceID `json:"stuck,omitempty"`
	CreatedAt time.Time         `json:"createdAt"`
	EndedAt   *time.Time        `json:"endedAt,omitempty"`
	// ExpectedEnd is extrapolated from the progress so far.
	ExpectedEnd *time.Time `json:"expectedEnd,omitempty"`
}

// InstanceStatus is the pool membership and the reported status of an instance.
type InstanceStatus struct {
	view.Member
	Up    bool   `json:"up"`
	Entry string `json:"entry,omitempty"`
}

// UsageResponse is the total usage as of a log index.
type UsageResponse struct {
	Index uint64          `json:"index"`
	Lines []fsm.UsageLine `json:"lines"`
}
