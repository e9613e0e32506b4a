// Package command defines the commands of the replicated log and their results.
// Each command carries its time, so that replicas apply it without reading a
// clock.
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

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// RequestID makes an operator's request idempotent. It may be empty for
	// commands that the leader proposes itself.
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
	Stuck             *MarkStuck         `json:"stuck,omitempty"`
	Retire            *Retire            `json:"retire,omitempty"`
	Status            *StatusBatch       `json:"status,omitempty"`
	Usage             *UsageBatch        `json:"usage,omitempty"`
	Process           *ProcessUpdate     `json:"process,omitempty"`
	Barrier           *Barrier           `json:"barrier,omitempty"`
}

// Encode returns the command in the encoding of the log.
func (cm Command) Encode() ([]byte, error) { return json.Marshal(cm) }

// Decode decodes a command from the log.
func Decode(data []byte) (Command, error) {
	var cm Command
	err := json.Unmarshal(data, &cm)
	return cm, err
}

// ConfigApply changes the configuration if the number in force is Expected. The
// new configuration gets the next number.
type ConfigApply struct {
	Expected uint64      `json:"expected"`
	Delta    model.Delta `json:"delta"`
	Checksum string      `json:"checksum"`
	Note     string      `json:"note,omitempty"`
}

// Move starts to move an instance to another pool. The instance is drained first.
type Move struct {
	Instance   weir.InstanceID `json:"instance"`
	TargetPool weir.PoolName   `json:"to"`
	// Lent marks a move that differs from the configuration on purpose. The
	// leader does not move the instance back to its configured pool.
	Lent bool `json:"lent,omitempty"`
}

// Abandon cancels a drain that has not completed: that of a move that is no
// longer useful, or of a permit that is no longer wanted.
type Abandon struct {
	Instance weir.InstanceID `json:"instance"`
	Reason   string          `json:"reason"`
}

// DrainConfirmation confirms that the entry instance that owns an instance sends
// it no more requests and has none in flight there.
type DrainConfirmation struct {
	Instance    weir.InstanceID `json:"instance"`
	Entry       string          `json:"entry"`
	Incarnation uint64          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"`
	// View is the index of the last view that the instance has received.
	View uint64 `json:"view"`
}

// WaveCreate creates a maintenance wave and starts it.
type WaveCreate struct {
	Name  string          `json:"name"`
	Pools []weir.PoolName `json:"pools,omitempty"`
	Zones []weir.Zone     `json:"zones,omitempty"`
	// MaxParallel bounds the instances under maintenance at the same time.
	MaxParallel int `json:"maxParallel"`
}

// WaveAction is an operator's action on a wave.
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

// PermitGrant permits a wave to disrupt one instance. It is refused if the
// availability budget does not allow it.
type PermitGrant struct {
	Wave     string          `json:"wave"`
	Instance weir.InstanceID `json:"instance"`
}

// RebootDone reports that the platform has carried out a reboot.
type RebootDone struct {
	Instance  weir.InstanceID `json:"instance"`
	Operation string          `json:"operation"`
}

// PermitRelease ends the maintenance of an instance that is up again, and returns
// it to its pool.
type PermitRelease struct {
	Instance weir.InstanceID `json:"instance"`
}

// MarkStuck marks an instance that was not up again in time after its reboot.
type MarkStuck struct {
	Instance weir.InstanceID `json:"instance"`
}

// Retire starts to drain an instance that is no longer in the configuration.
type Retire struct {
	Instance weir.InstanceID `json:"instance"`
}

// Status is the reported status of one instance.
type Status struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	// Epoch counts the leases that the instance has taken. Reports of earlier
	// owners are ignored.
	Epoch uint64 `json:"epoch"`
	Up    bool   `json:"up"`
	Entry string `json:"entry"`
}

// StatusBatch updates the status of instances.
type StatusBatch struct {
	Items []Status `json:"items"`
}

// UsageTotal is the usage of one service by one team in one report.
type UsageTotal struct {
	Service weir.ServiceName `json:"service"`
	Team    weir.TeamName    `json:"team,omitempty"`
	// Done and Failed count tasks that ran. BusyMillis is their total time.
	Done       uint64 `json:"done"`
	Failed     uint64 `json:"failed"`
	BusyMillis uint64 `json:"busyMillis"`
}

// UsageReport is one numbered usage report of one incarnation of an instance.
type UsageReport struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Totals      []UsageTotal    `json:"totals"`
}

// UsageBatch adds usage reports, each of which is counted once.
type UsageBatch struct {
	Reports []UsageReport `json:"reports"`
}

// ProcessUpdate registers an entry instance, or removes one that has been shut
// down for good.
type ProcessUpdate struct {
	ID     string    `json:"id"`
	Zone   weir.Zone `json:"zone"`
	Forget bool      `json:"forget,omitempty"`
}

// Barrier changes nothing. Its index is the lower bound of a linearizable read.
type Barrier struct{}

// RefusalKind classifies the reasons for refusing a command.
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

// Refusal explains why a command was refused. A refused command changes nothing.
type Refusal struct {
	Kind     RefusalKind     `json:"kind"`
	Message  string          `json:"message"`
	Problems []model.Problem `json:"problems,omitempty"`
}

// Result is the result of applying a command. A repeated request id returns the
// result of the first command with this id.
type Result struct {
	Index        uint64   `json:"index"`
	ConfigNumber uint64   `json:"number,omitempty"`
	Refusal      *Refusal `json:"refusal,omitempty"`
	// Repeated is set if this is the result of an earlier command with the same
	// request id.
	Repeated bool `json:"repeated,omitempty"`
	// Acked acknowledges the usage reports that are counted now.
	Acked []UsageAck `json:"acked,omitempty"`
}

// UsageAck acknowledges the usage reports of one incarnation up to a sequence
// number.
type UsageAck struct {
	Instance    weir.InstanceID `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
}
