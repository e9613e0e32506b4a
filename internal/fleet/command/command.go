// Package command holds the commands of the replicated log and the answers to
// them. Each command carries its time, so that applying it reads no clock.
//
// Usage:
//
//	cmd := command.Command{RequestID: id, At: now, Move: &command.Move{...}}
//	data, err := cmd.Encode()
package command

import (
	"encoding/json"
	"time"

	"greengageweir/internal/config/model"

	weir "greengageweir"
)

// Command is one entry of the log; exactly one pointer is set.
type Command struct {
	// RequestID makes an operator's request idempotent; it may be empty for
	// what the leader proposes by itself.
	RequestID string    `json:"requestId,omitempty"`
	Operator  string    `json:"operator,omitempty"`
	At        time.Time `json:"at"`

	Config            *ConfigApply       `json:"config,omitempty"`
	Move              *Move              `json:"move,omitempty"`
	Abandon           *Abandon           `json:"abandon,omitempty"`
	DrainConfirmation *DrainConfirmation `json:"consent,omitempty"`
	Wave              *WaveCreate        `json:"wave,omitempty"`
	WaveSet           *WaveSet           `json:"waveSet,omitempty"`
	Permit            *PermitGrant       `json:"permit,omitempty"`
	Reboot            *RebootDone        `json:"reboot,omitempty"`
	Release           *PermitRelease     `json:"release,omitempty"`
	Stuck             *Stuck             `json:"stuck,omitempty"`
	Retire            *Retire            `json:"retire,omitempty"`
	Status            *StatusBatch       `json:"status,omitempty"`
	Usage             *UsageBatch        `json:"usage,omitempty"`
	Process           *Process           `json:"process,omitempty"`
	Barrier           *Barrier           `json:"barrier,omitempty"`
}

// Encode returns the command as it is stored in the log.
func (cm Command) Encode() ([]byte, error) { return json.Marshal(cm) }

// Decode reads a command from the log.
func Decode(data []byte) (Command, error) {
	var cm Command
	err := json.Unmarshal(data, &cm)
	return cm, err
}

// ConfigApply replaces configuration number Expected by the next number.
type ConfigApply struct {
	Expected uint64      `json:"expected"`
	Delta    model.Delta `json:"delta"`
	Checksum string      `json:"checksum"`
	Note     string      `json:"note,omitempty"`
}

// Move starts to move an instance to another pool. It drains first.
type Move struct {
	Instance weir.InstanceID `json:"instance"`
	To       weir.PoolName   `json:"to"`
	// Lent marks a move that the planner made and will take back.
	Lent bool `json:"lent,omitempty"`
}

// Abandon takes back a drain that has not completed: a move that lost its
// point, or a permit that is no longer wanted.
type Abandon struct {
	Instance weir.InstanceID `json:"instance"`
	Reason   string          `json:"reason"`
}

// DrainConfirmation says that the owner of an instance placed its last request on it
// and that nothing is in flight there.
type DrainConfirmation struct {
	Instance    weir.InstanceID `json:"instance"`
	Entry       string          `json:"entry"`
	Incarnation uint64          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"`
	// View is the view index that the instance itself has been told of.
	View uint64 `json:"view"`
}

// WaveCreate creates a maintenance wave and starts it.
type WaveCreate struct {
	Name  string          `json:"name"`
	Pools []weir.PoolName `json:"pools,omitempty"`
	Zones []weir.Zone     `json:"zones,omitempty"`
	// MaxParallel bounds the instances under maintenance at one time.
	MaxParallel int `json:"maxParallel"`
}

// WaveAction is what an operator asks of a wave.
type WaveAction string

// The actions on a wave.
const (
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveAbort  WaveAction = "abort"
)

// WaveSet pauses, resumes or aborts a wave.
type WaveSet struct {
	Name   string     `json:"name"`
	Action WaveAction `json:"action"`
}

// PermitGrant lets a wave disrupt one instance; it is refused where the
// availability budget does not allow it.
type PermitGrant struct {
	Wave     string          `json:"wave"`
	Instance weir.InstanceID `json:"instance"`
}

// RebootDone says that the platform has carried out the reboot.
type RebootDone struct {
	Instance  weir.InstanceID `json:"instance"`
	Operation string          `json:"operation"`
}

// PermitRelease returns an instance that has proven itself back to its pool.
type PermitRelease struct {
	Instance weir.InstanceID `json:"instance"`
}

// Stuck marks an instance that did not come back in time.
type Stuck struct {
	Instance weir.InstanceID `json:"instance"`
}

// Retire starts to drain an instance that the configuration no longer holds.
type Retire struct {
	Instance weir.InstanceID `json:"instance"`
}

// Status is what is known of one instance.
type Status struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	// Epoch counts the leases that the instance has taken; the report of an
	// earlier owner is ignored.
	Epoch uint64 `json:"epoch"`
	Up    bool   `json:"up"`
	Entry string `json:"entry"`
}

// StatusBatch reports changes of instances.
type StatusBatch struct {
	Items []Status `json:"items"`
}

// UsageTotal is the work of one service and team in one report.
type UsageTotal struct {
	Service weir.ServiceName `json:"service"`
	Team    weir.TeamName    `json:"team,omitempty"`
	// Done and Failed count tasks that really ran, BusyMillis their time.
	Done       uint64 `json:"done"`
	Failed     uint64 `json:"failed"`
	BusyMillis uint64 `json:"busyMillis"`
}

// UsageReport is one numbered report of one incarnation of an instance.
type UsageReport struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Totals      []UsageTotal    `json:"totals"`
}

// UsageBatch carries reports to be counted once each.
type UsageBatch struct {
	Reports []UsageReport `json:"reports"`
}

// Process makes an entry instance known, or forgets one that is gone for good.
type Process struct {
	ID     string    `json:"id"`
	Zone   weir.Zone `json:"zone"`
	Forget bool      `json:"forget,omitempty"`
}

// Barrier changes nothing; its index bounds a linearizable read.
type Barrier struct{}

// RefusalKind tells why a command was refused.
type RefusalKind string

// The kinds of refusals.
const (
	RefusedConflict   RefusalKind = "conflict"
	RefusedInvalid    RefusalKind = "invalid"
	RefusedNotFound   RefusalKind = "notFound"
	RefusedWrongState RefusalKind = "wrongState"
	RefusedBudget     RefusalKind = "budget"
	RefusedStale      RefusalKind = "stale"
)

// Refusal says why a command changed nothing.
type Refusal struct {
	Kind     RefusalKind     `json:"kind"`
	Message  string          `json:"message"`
	Problems []model.Problem `json:"problems,omitempty"`
}

// Result is the state machine's answer to a command. A request id that is
// used again gets the first answer.
type Result struct {
	Index        uint64   `json:"index"`
	ConfigNumber uint64   `json:"number,omitempty"`
	Refusal      *Refusal `json:"refusal,omitempty"`
	// Repeated is set where the answer is that of an earlier equal request.
	Repeated bool `json:"repeated,omitempty"`
	// Acked counts the usage reports that are settled now.
	Acked []UsageAck `json:"acked,omitempty"`
}

// UsageAck is the last settled report of one incarnation.
type UsageAck struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
}
