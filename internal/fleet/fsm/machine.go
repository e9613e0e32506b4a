// Package fsm implements the replicated state machine of the fleet:
// configuration, pool membership, availability budgets, permits, waves, usage and
// operator requests. It applies the commands of the log deterministically and
// publishes the effects that entry instances need for their views.
//
// Usage:
//
//	mc := fsm.New(publish, reset)
//	result := mc.Apply(index, data).(command.Result)
//	vw := mc.View()
package fsm

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/config/model"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindDecode means that a snapshot cannot be decoded.
const KindDecode Kind = "cannot decode"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	maxKeptRequests = 20_000
	maxKeptHistory  = 256
	maxKeptWaves    = 256
)

// Machine applies commands. It is safe for concurrent use.
type Machine struct {
	publish func(eff view.Effect)
	reset   func()

	mu sync.RWMutex
	st *state
}

// New returns an empty machine. It calls publish for each effect, in order, and
// reset when a snapshot has replaced the whole state. Neither may call the
// machine, and both may be nil.
func New(publish func(eff view.Effect), reset func()) *Machine {
	if publish == nil {
		publish = func(view.Effect) {}
	}
	if reset == nil {
		reset = func() {}
	}
	return &Machine{publish: publish, reset: reset, st: newState()}
}

// viewChange collects the changes that one command makes to views.
type viewChange struct {
	index   uint64
	config  *model.Delta
	members map[weir.InstanceID]view.Member
	removed []weir.InstanceID
}

// Apply implements node.StateMachine. It returns a command.Result.
func (mc *Machine) Apply(index uint64, data []byte) any {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st.Index = index
	cmd, err := command.Decode(data)
	if err != nil {
		return refuse(command.RefusedInvalid, "cannot decode command: %v", err)
	}
	if first, ok := mc.st.requests[cmd.RequestID]; ok && cmd.RequestID != "" {
		first.Repeated = true
		return first
	}
	ch := &viewChange{index: index, members: map[weir.InstanceID]view.Member{}}
	ans := mc.st.apply(cmd, ch)
	ans.Index = index
	mc.st.storeResult(cmd.RequestID, ans)
	mc.publishEffect(ch)
	return ans
}

func (mc *Machine) publishEffect(ch *viewChange) {
	if ch.config == nil && len(ch.members) == 0 && len(ch.removed) == 0 {
		return
	}
	eff := view.Effect{PrevIndex: mc.st.EffectIndex, Index: ch.index, ConfigNumber: mc.st.ConfigNumber, Config: ch.config, Removed: ch.removed}
	for _, mem := range ch.members {
		eff.Members = append(eff.Members, mem)
	}
	sort.Slice(eff.Members, func(a, b int) bool { return eff.Members[a].Instance < eff.Members[b].Instance })
	mc.st.EffectIndex = ch.index
	mc.publish(eff)
}

// Skip implements node.StateMachine.
func (mc *Machine) Skip(index uint64) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st.Index = index
}

// Snapshot implements node.StateMachine.
func (mc *Machine) Snapshot() ([]byte, error) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st.Usage = mc.st.usageLines()
	return json.Marshal(mc.st)
}

// Restore implements node.StateMachine.
func (mc *Machine) Restore(index uint64, data []byte) error {
	st := newState()
	if err := json.Unmarshal(data, st); err != nil {
		return &Error{Op: "restore", Kind: KindDecode, Err: err}
	}
	st.Index = index
	st.rebuildDerived()
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st = st
	mc.reset()
	return nil
}

// View returns the present view.
func (mc *Machine) View() view.View {
	mc.mu.RLock()
	defer mc.mu.RUnlock()
	members := make(map[weir.InstanceID]view.Member, len(mc.st.Members))
	for id, mem := range mc.st.Members {
		members[id] = mem
	}
	return view.View{Index: mc.st.EffectIndex, ConfigNumber: mc.st.ConfigNumber, Config: mc.st.Config, Members: members}
}

// Read calls fn with a reader of the state and the read lock held.
func (mc *Machine) Read(fn func(rd Reader)) {
	mc.mu.RLock()
	defer mc.mu.RUnlock()
	fn(Reader{st: mc.st})
}

func (st *state) storeResult(id string, ans command.Result) {
	if id == "" {
		return
	}
	st.requests[id] = ans
	st.Requests = append(st.Requests, storedRequest{ID: id, Result: ans})
	if len(st.Requests) <= maxKeptRequests {
		return
	}
	delete(st.requests, st.Requests[0].ID)
	st.Requests = st.Requests[1:]
}

func refuse(kind command.RefusalKind, format string, args ...any) command.Result {
	return command.Result{Refusal: &command.Refusal{Kind: kind, Message: fmt.Sprintf(format, args...)}}
}

func (st *state) apply(cmd command.Command, ch *viewChange) command.Result {
	switch {
	case cmd.Config != nil:
		return st.applyConfig(cmd, ch)
	case cmd.Move != nil:
		return st.applyMove(cmd, ch)
	case cmd.Abandon != nil:
		return st.applyAbandon(cmd, ch)
	case cmd.DrainConfirmation != nil:
		return st.applyDrainConfirmation(cmd, ch)
	case cmd.Wave != nil:
		return st.applyWave(cmd)
	case cmd.WaveSet != nil:
		return st.applyWaveSet(cmd)
	case cmd.Permit != nil:
		return st.applyPermit(cmd, ch)
	case cmd.Reboot != nil:
		return st.applyReboot(cmd, ch)
	case cmd.Release != nil:
		return st.applyRelease(cmd, ch)
	case cmd.Stuck != nil:
		return st.applyStuck(cmd, ch)
	case cmd.Retire != nil:
		return st.applyRetire(cmd, ch)
	case cmd.Status != nil:
		return st.applyStatus(cmd)
	case cmd.Usage != nil:
		return st.applyUsage(cmd)
	case cmd.Process != nil:
		return st.applyProcess(cmd)
	case cmd.Barrier != nil:
		return command.Result{}
	}
	return refuse(command.RefusedInvalid, "command is empty")
}
