package fsm

import (
	"time"

	"greengageweir/internal/config/model"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
	WaveDone    WaveState = "done"
)

// Wave is one maintenance wave.
type Wave struct {
	Name        string                   `json:"name"`
	State       WaveState                `json:"state"`
	MaxParallel int                      `json:"maxParallel"`
	Pending     map[weir.InstanceID]bool `json:"todo"`
	Active      map[weir.InstanceID]bool `json:"active"`
	Done        map[weir.InstanceID]bool `json:"done"`
	Stuck       map[weir.InstanceID]bool `json:"stuck"`
	CreatedAt   time.Time                `json:"createdAt"`
	EndedAt     time.Time                `json:"endedAt"`
}

// ConfigChange is one entry of the configuration history.
type ConfigChange struct {
	Number    uint64    `json:"number"`
	Index     uint64    `json:"index"`
	Checksum  string    `json:"checksum"`
	Operator  string    `json:"operator"`
	RequestID string    `json:"requestId"`
	At        time.Time `json:"at"`
	Note      string    `json:"note,omitempty"`
}

// UsageTotals is the total usage in acknowledged reports.
type UsageTotals struct {
	Done       uint64 `json:"done"`
	Failed     uint64 `json:"failed"`
	BusyMillis uint64 `json:"busyMillis"`
}

// usageKey is the key of a line of the usage table.
type usageKey struct {
	service weir.ServiceName
	team    weir.TeamName
}

// UsageLine is a line of the usage table.
type UsageLine struct {
	Service weir.ServiceName `json:"service"`
	Team    weir.TeamName    `json:"team,omitempty"`
	UsageTotals
}

// usageProgress holds the last counted report of an instance. It includes the
// previous incarnation, whose last reports may arrive late.
type usageProgress struct {
	Incarnation     uint64 `json:"incarnation"`
	Sequence        uint64 `json:"sequence"`
	PrevIncarnation uint64 `json:"oldInc,omitempty"`
	PrevSequence    uint64 `json:"oldSeq,omitempty"`
}

// storedRequest is the stored result of an operator's request.
type storedRequest struct {
	ID     string         `json:"id"`
	Result command.Result `json:"answer"`
}

// state is the replicated state. Snapshots hold its exported fields.
type state struct {
	Index         uint64                             `json:"index"`
	EffectIndex   uint64                             `json:"effectIndex"`
	ConfigNumber  uint64                             `json:"number"`
	Config        model.Config                       `json:"config"`
	History       []ConfigChange                     `json:"history"`
	Members       map[weir.InstanceID]view.Member    `json:"members"`
	Statuses      map[weir.InstanceID]command.Status `json:"statuses"`
	Waves         map[string]*Wave                   `json:"waves"`
	Usage         []UsageLine                        `json:"usage"`
	UsageProgress map[weir.InstanceID]usageProgress  `json:"marks"`
	Requests      []storedRequest                    `json:"requests"`
	Moves         uint64                             `json:"moves"`
	Processes     map[string]weir.Zone               `json:"processes"`

	usage    map[usageKey]*UsageTotals
	requests map[string]command.Result
	// available counts the members of each pool that serve and are up. sizes
	// counts all members of each pool.
	available map[weir.PoolName]int
	sizes     map[weir.PoolName]int
}

func newState() *state {
	st := &state{
		Members: map[weir.InstanceID]view.Member{}, Statuses: map[weir.InstanceID]command.Status{},
		Waves: map[string]*Wave{}, UsageProgress: map[weir.InstanceID]usageProgress{},
		Processes: map[string]weir.Zone{},
	}
	st.rebuildDerived()
	return st
}

// rebuildDerived computes the unexported fields from the exported ones.
func (st *state) rebuildDerived() {
	st.usage = make(map[usageKey]*UsageTotals, len(st.Usage))
	for _, line := range st.Usage {
		totals := line.UsageTotals
		st.usage[usageKey{line.Service, line.Team}] = &totals
	}
	st.requests = make(map[string]command.Result, len(st.Requests))
	for _, req := range st.Requests {
		st.requests[req.ID] = req.Result
	}
	st.available = make(map[weir.PoolName]int)
	st.sizes = make(map[weir.PoolName]int)
	for id := range st.Members {
		st.updateCounts(id, 1)
	}
}

// isAvailable reports whether an instance counts as available in its pool.
func (st *state) isAvailable(id weir.InstanceID) bool {
	return st.Members[id].Phase == view.Serving && st.Statuses[id].Up
}

// updateCounts adds an instance to its pool's counters or removes it. Call it
// with -1 before and +1 after each change of a member or its status.
func (st *state) updateCounts(id weir.InstanceID, by int) {
	mem, ok := st.Members[id]
	if !ok {
		return
	}
	st.sizes[mem.Pool] += by
	if st.isAvailable(id) {
		st.available[mem.Pool] += by
	}
}

func (st *state) setMember(mem view.Member) {
	st.updateCounts(mem.Instance, -1)
	st.Members[mem.Instance] = mem
	st.updateCounts(mem.Instance, 1)
}

func (st *state) removeMember(id weir.InstanceID) {
	st.updateCounts(id, -1)
	delete(st.Members, id)
	delete(st.Statuses, id)
}

func (st *state) setStatus(sta command.Status) {
	st.updateCounts(sta.Instance, -1)
	st.Statuses[sta.Instance] = sta
	st.updateCounts(sta.Instance, 1)
}
