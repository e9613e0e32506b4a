package slopes

import (
	"fmt"
	"io"
	"time"

	weir "greengageweir"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/fleet/command"
	fleet "greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"
)

const (
	pools = 50
	teams = 130
	zones = 15
)

// The sizes at which the mechanisms are measured.
var (
	workerSizes   = []int{50, 500, 5000, 25_000}
	listenerSizes = []int{1, 4, 13, 26, 52}
	logSizes      = []int{1000, 10_000, 100_000}
	keySizes      = []int{1000, 20_000, 100_000}
)

// Measure runs all measurements and writes a line for each to progress.
func Measure(clk weir.Clock, progress io.Writer) (Report, error) {
	rep := Report{Machine: machineInfo()}
	ms := &measurer{clk: clk}
	measurements := []func() Slope{
		ms.announceCPU, ms.announceBytes, ms.entryHeap, ms.sweepCPU,
		ms.stateHeap, ms.snapshotBytes, ms.snapshotMillis, ms.reconcileMicros, ms.viewBytes,
		ms.changeMicros, ms.changeBytes, ms.statusMicros, ms.usageMicros,
		ms.rolloutMicros, ms.rolloutMillis, ms.replayMillis, ms.appendMillis,
		ms.ledgerHeap, ms.reserveMicros, ms.advertBytes,
	}
	for _, measure := range measurements {
		sl := measure()
		if ms.err != nil {
			return rep, ms.err
		}
		_, _ = fmt.Fprintf(progress, "%-40s base %12.2f slope %12.5f per %s, residual %4.1f%%\n", sl.Name+" ("+sl.Unit+")", sl.Base, sl.Slope, sl.Per, 100*sl.Residual)
		rep.Slopes = append(rep.Slopes, sl)
	}
	return rep, nil
}

// measurer runs the measurements and keeps the first error, so that they need no
// error handling of their own.
type measurer struct {
	clk weir.Clock
	err error
}

func (ms *measurer) check(err error) {
	if ms.err == nil {
		ms.err = err
	}
}

// fleetConfig returns a configuration with size instances.
func fleetConfig(size int) model.Config {
	cfg := model.Config{
		Name: "slopes", Limits: model.Limits{SlotsPerInstance: 8, ConnectionsPerInstance: 64},
		Sites: map[weir.Zone]model.Site{}, Services: map[weir.ServiceName]model.Service{},
		Pools: map[weir.PoolName]model.Pool{}, Teams: map[weir.TeamName]model.Team{},
		Instances: make(map[weir.InstanceID]model.Instance, size),
	}
	for ix := range zones {
		zone := weir.Zone(fmt.Sprintf("zone-%02d", ix))
		cfg.Sites[zone] = model.Site{Name: zone}
	}
	for ix := range pools {
		name := fmt.Sprintf("pool-%02d", ix)
		cfg.Services[weir.ServiceName(name)] = model.Service{Name: weir.ServiceName(name), QueueLength: 256, Timeout: model.Duration(2 * time.Second)}
		cfg.Pools[weir.PoolName(name)] = model.Pool{Name: weir.PoolName(name), Service: weir.ServiceName(name)}
	}
	for ix := range teams {
		name := weir.TeamName(fmt.Sprintf("team-%03d", ix))
		cfg.Teams[name] = model.Team{Name: name, QuotaSlots: 64}
	}
	for ix := range size {
		id := instanceName(ix)
		cfg.Instances[id] = model.Instance{
			Name: id, Zone: weir.Zone(fmt.Sprintf("zone-%02d", ix%zones)), Rack: fmt.Sprintf("rack-%04d", ix/4),
			Pool: weir.PoolName(fmt.Sprintf("pool-%02d", ix%pools)), Cores: 64, MemoryMiB: 131072, Accelerators: ix % 3,
		}
	}
	return cfg
}

func instanceName(ix int) weir.InstanceID { return weir.InstanceID(fmt.Sprintf("instance-%05d", ix)) }

// newFleet returns a state machine that holds size instances, all up.
func (ms *measurer) newFleet(size int, publish func(view.Effect)) *fleet.Machine {
	mc := fleet.New(publish, nil)
	ms.apply(mc, 1, command.Command{Config: &command.ConfigApply{Delta: model.Diff(model.Config{}, fleetConfig(size))}})
	ms.apply(mc, 2, command.Command{Status: &command.StatusBatch{Items: statuses(size)}})
	return mc
}

func (ms *measurer) apply(mc *fleet.Machine, index uint64, cmd command.Command) {
	cmd.At = ms.clk.Now()
	data, err := cmd.Encode()
	ms.check(err)
	ans, _ := mc.Apply(index, data).(command.Result)
	if ans.Refusal != nil {
		ms.check(&peer.Error{Op: ans.Refusal.Message, Kind: peer.KindRemote})
	}
}

// statuses returns reports of size instances that are up.
func statuses(size int) []command.Status {
	list := make([]command.Status, 0, size)
	for ix := range size {
		list = append(list, command.Status{Instance: instanceName(ix), Incarnation: 1, Epoch: 1, Up: true, Entry: fmt.Sprintf("entry-%02d", ix%45)})
	}
	return list
}

// newTable returns a placement table with the view of size instances.
func (ms *measurer) newTable(size int) *routing.Table {
	tb := routing.New(ms.clk, "zone-00")
	tb.SetView(ms.newFleet(size, nil).View())
	return tb
}

func newAnnouncement(ix int) endpoint.Announcement {
	return endpoint.Announcement{
		Instance: instanceName(ix), Lease: endpoint.Lease{Incarnation: 1_800_000_000_000, Epoch: 3}, Address: "127.0.0.1:30000",
		Zone: "zone-00", Rack: "rack-0001", State: endpoint.Serving, InFlight: 3,
	}
}
