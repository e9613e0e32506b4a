// Package machine is the replicated state of the fleet: configuration, pool
// membership, budgets, permits, waves, usage and operator requests. It applies
// the commands of the log, the same way at each member, and publishes to views
// what entry instances need to know.
//
// Usage:
//
//	mc := machine.New(publish)
//	answer := mc.Apply(index, data).(command.Answer)
//	vw := mc.View()
package fsm

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"greengageweir/internal/config/model"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// KindDecode says that a snapshot cannot be read.
const KindDecode Kind = "cannot decode"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	keptRequests = 20_000
	keptHistory  = 256
	keptWaves    = 256
)

// Machine applies commands. It is safe for concurrent use.
type Machine struct {
	publish func(eff view.Effect)
	reset   func()

	mu sync.RWMutex
	st *state
}

// New returns an empty machine. Publish is called for each effect, in order,
// and reset when a snapshot replaced the whole state; neither may call back,
// and both may be nil.
func New(publish func(eff view.Effect), reset func()) *Machine {
	if publish == nil {
		publish = func(view.Effect) {}
	}
	if reset == nil {
		reset = func() {}
	}
	return &Machine{publish: publish, reset: reset, st: newState()}
}

// change collects what one command does to views.
type change struct {
	index   uint64
	config  *model.Delta
	members map[weir.InstanceID]view.Member
	gone    []weir.InstanceID
}

// Apply implements node.Machine; it returns a command.Answer.
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
	ch := &change{index: index, members: map[weir.InstanceID]view.Member{}}
	ans := mc.st.apply(cmd, ch)
	ans.Index = index
	mc.st.remember(cmd.RequestID, ans)
	mc.emit(ch)
	return ans
}

func (mc *Machine) emit(ch *change) {
	if ch.config == nil && len(ch.members) == 0 && len(ch.gone) == 0 {
		return
	}
	eff := view.Effect{PrevIndex: mc.st.EffectIndex, Index: ch.index, ConfigNumber: mc.st.Number, Config: ch.config, Removed: ch.gone}
	for _, mem := range ch.members {
		eff.Members = append(eff.Members, mem)
	}
	sort.Slice(eff.Members, func(a, b int) bool { return eff.Members[a].Instance < eff.Members[b].Instance })
	mc.st.EffectIndex = ch.index
	mc.publish(eff)
}

// Skip implements node.Machine.
func (mc *Machine) Skip(index uint64) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st.Index = index
}

// Snapshot implements node.Machine.
func (mc *Machine) Snapshot() ([]byte, error) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.st.Usage = mc.st.usageLines()
	return json.Marshal(mc.st)
}

// Restore implements node.Machine.
func (mc *Machine) Restore(index uint64, data []byte) error {
	st := newState()
	if err := json.Unmarshal(data, st); err != nil {
		return &Error{Op: "restore", Kind: KindDecode, Err: err}
	}
	st.Index = index
	st.index()
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
	return view.View{Index: mc.st.EffectIndex, ConfigNumber: mc.st.Number, Config: mc.st.Config, Members: members}
}

// Read calls fn with a reader of the state while nothing changes.
func (mc *Machine) Read(fn func(rd Reader)) {
	mc.mu.RLock()
	defer mc.mu.RUnlock()
	fn(Reader{st: mc.st})
}

func (st *state) remember(id string, ans command.Result) {
	if id == "" {
		return
	}
	st.requests[id] = ans
	st.Requests = append(st.Requests, request{ID: id, Answer: ans})
	if len(st.Requests) <= keptRequests {
		return
	}
	delete(st.requests, st.Requests[0].ID)
	st.Requests = st.Requests[1:]
}

func refuse(kind command.RefusalKind, format string, args ...any) command.Result {
	return command.Result{Refusal: &command.Refusal{Kind: kind, Message: fmt.Sprintf(format, args...)}}
}

func (st *state) apply(cmd command.Command, ch *change) command.Result {
	switch {
	case cmd.Config != nil:
		return st.applyConfig(cmd, ch)
	case cmd.Move != nil:
		return st.applyMove(cmd, ch)
	case cmd.Abandon != nil:
		return st.applyAbandon(cmd, ch)
	case cmd.DrainConfirmation != nil:
		return st.applyConsent(cmd, ch)
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
