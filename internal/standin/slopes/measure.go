package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	weir "greengageweir"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/control/hub"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/place"
	"greengageweir/internal/entry/serve"
	"greengageweir/internal/fleet/command"
	fleet "greengageweir/internal/fleet/machine"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/maintenance/wave"
	"greengageweir/internal/standin/worker"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"
)

const (
	pools = 50
	teams = 130
	zones = 15
)

// The sizes at which mechanisms are measured.
var (
	workerSizes   = []int{50, 500, 5000, 25_000}
	listenerSizes = []int{1, 4, 13, 26, 52}
	logSizes      = []int{1000, 10_000, 100_000}
	keySizes      = []int{1000, 20_000, 100_000}
)

// Measure runs all measurements.
func Measure(clk weir.Clock, progress io.Writer) (Report, error) {
	rep := Report{Machine: machine()}
	ms := &measurer{clk: clk}
	steps := []func() Slope{
		ms.announceCPU, ms.announceBytes, ms.entryHeap, ms.sweepCPU,
		ms.stateHeap, ms.snapshotBytes, ms.snapshotMillis, ms.stewardMillis, ms.viewBytes,
		ms.changeMicros, ms.changeBytes, ms.statusMicros, ms.usageMicros,
		ms.feedMicros, ms.feedMillis, ms.replayMillis, ms.appendMillis,
		ms.keyBytes, ms.reserveMicros, ms.advertBytes,
	}
	for _, step := range steps {
		sl := step()
		if ms.err != nil {
			return rep, ms.err
		}
		_, _ = fmt.Fprintf(progress, "%-40s base %12.2f slope %12.5f per %s, residual %4.1f%%\n", sl.Name+" ("+sl.Unit+")", sl.Base, sl.Slope, sl.Per, 100*sl.Residual)
		rep.Slopes = append(rep.Slopes, sl)
	}
	return rep, nil
}

// measurer holds the first error, so that each measurement reads plainly.
type measurer struct {
	clk weir.Clock
	err error
}

func (ms *measurer) check(err error) {
	if ms.err == nil {
		ms.err = err
	}
}

// config returns a fleet of a size.
func config(size int) model.Config {
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
		id := instance(ix)
		cfg.Instances[id] = model.Instance{
			Name: id, Zone: weir.Zone(fmt.Sprintf("zone-%02d", ix%zones)), Rack: fmt.Sprintf("rack-%04d", ix/4),
			Pool: weir.PoolName(fmt.Sprintf("pool-%02d", ix%pools)), Cores: 64, MemoryMiB: 131072, Accelerators: ix % 3,
		}
	}
	return cfg
}

func instance(ix int) weir.InstanceID { return weir.InstanceID(fmt.Sprintf("instance-%05d", ix)) }

// fleetOf returns a machine with a fleet of a size, all instances up.
func (ms *measurer) fleetOf(size int, publish func(view.Effect)) *fleet.Machine {
	mc := fleet.New(publish, nil)
	ms.apply(mc, 1, command.Command{Config: &command.ConfigApply{Delta: model.Diff(model.Config{}, config(size))}})
	ms.apply(mc, 2, command.Command{Status: &command.StatusBatch{Items: statuses(size)}})
	return mc
}

func (ms *measurer) apply(mc *fleet.Machine, index uint64, cmd command.Command) {
	cmd.At = ms.clk.Now()
	data, err := cmd.Encode()
	ms.check(err)
	ans, _ := mc.Apply(index, data).(command.Answer)
	if ans.Refusal != nil {
		ms.check(&peer.Error{Op: ans.Refusal.Message, Kind: peer.KindRemote})
	}
}

func statuses(size int) []command.Status {
	list := make([]command.Status, 0, size)
	for ix := range size {
		list = append(list, command.Status{Instance: instance(ix), Incarnation: 1, Epoch: 1, Up: true, Entry: fmt.Sprintf("entry-%02d", ix%45)})
	}
	return list
}

func (ms *measurer) tableOf(size int) *place.Table {
	tb := place.New(ms.clk, "zone-00")
	tb.SetView(ms.fleetOf(size, nil).View())
	return tb
}

func announcementOf(ix int) endpoint.Announcement {
	return endpoint.Announcement{
		Instance: instance(ix), Lease: endpoint.Lease{Incarnation: 1_800_000_000_000, Epoch: 3}, Address: "127.0.0.1:30000",
		Zone: "zone-00", Rack: "rack-0001", State: endpoint.Serving, InFlight: 3,
	}
}

// announceCPU sends announcements over HTTP; both ends are counted.
func (ms *measurer) announceCPU() Slope {
	return series("announcement CPU, both ends", "announced worker", "us each", workerSizes, func(size int) float64 {
		an := &serve.Announcements{Addr: "127.0.0.1:0", Table: ms.tableOf(size)}
		ms.check(an.Default())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = an.Run(ctx) }()
		client := worker.NewAnnouncer(an.Address())
		count := max(size, 2000)
		return cpuMicros(count, func() {
			for ix := range count {
				_, err := client.Announce(ctx, announcementOf(ix%size))
				ms.check(err)
			}
		})
	})
}

// announceBytes counts both directions of one announcement on the wire.
func (ms *measurer) announceBytes() Slope {
	return series("announcement bytes, both directions", "announced worker", "bytes each", []int{50, 5000}, func(size int) float64 {
		an := &serve.Announcements{Addr: "127.0.0.1:0", Table: ms.tableOf(size)}
		ms.check(an.Default())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = an.Run(ctx) }()
		client := worker.NewAnnouncer(an.Address())
		const count = 200
		for ix := range count {
			_, err := client.Announce(ctx, announcementOf(ix%size))
			ms.check(err)
		}
		return float64(client.Bytes()) / count
	})
}

func (ms *measurer) entryHeap() Slope {
	return series("entry heap, view and announced workers", "worker", "bytes", workerSizes, func(size int) float64 {
		tb, heap := heapBytes(func() *place.Table {
			tb := ms.tableOf(size)
			for ix := range size {
				tb.Announce(announcementOf(ix))
			}
			return tb
		})
		runtime.KeepAlive(tb)
		return heap
	})
}

func (ms *measurer) sweepCPU() Slope {
	return series("entry sweep of leases", "announced worker", "us a sweep", workerSizes, func(size int) float64 {
		tb := ms.tableOf(size)
		for ix := range size {
			tb.Announce(announcementOf(ix))
		}
		const count = 20
		return cpuMicros(count, func() {
			for range count {
				tb.Sweep("entry-00", false)
			}
		})
	})
}

func (ms *measurer) stateHeap() Slope {
	return series("control heap, fleet state", "worker", "bytes", workerSizes, func(size int) float64 {
		mc, heap := heapBytes(func() *fleet.Machine { return ms.fleetOf(size, nil) })
		runtime.KeepAlive(mc)
		return heap
	})
}

func (ms *measurer) snapshotBytes() Slope {
	return series("snapshot size", "worker", "bytes", workerSizes, func(size int) float64 {
		data, err := ms.fleetOf(size, nil).Snapshot()
		ms.check(err)
		return float64(len(data))
	})
}

func (ms *measurer) snapshotMillis() Slope {
	return series("snapshot encoding, log stands still", "worker", "ms", workerSizes, func(size int) float64 {
		mc := ms.fleetOf(size, nil)
		begin := ms.clk.Now()
		_, err := mc.Snapshot()
		ms.check(err)
		return ms.clk.Now().Sub(begin).Seconds() * 1000
	})
}

func (ms *measurer) stewardMillis() Slope {
	return series("steward's step", "worker", "us a step", workerSizes, func(size int) float64 {
		mc := ms.fleetOf(size, nil)
		const count = 5
		return cpuMicros(count, func() {
			for range count {
				mc.Read(func(rd fleet.Reader) { wave.Next(rd, wave.Evidence{}, ms.clk.Now()) })
			}
		})
	})
}

func (ms *measurer) viewBytes() Slope {
	return series("view snapshot size", "worker", "bytes", workerSizes, func(size int) float64 {
		data, err := json.Marshal(ms.fleetOf(size, nil).View())
		ms.check(err)
		return float64(len(data))
	})
}

// changeOf returns a configuration with one pool changed, as most changes do.
func changeOf(cfg model.Config, number int) model.Delta {
	pol := cfg.Pools["pool-00"]
	pol.MinAvailable = number % 2
	return model.Delta{Pools: map[weir.PoolName]model.Pool{pol.Name: pol}}
}

func (ms *measurer) changeMicros() Slope {
	return series("apply a change of configuration", "worker", "us each", workerSizes, func(size int) float64 {
		mc := ms.fleetOf(size, nil)
		cfg := config(size)
		const count = 10
		return cpuMicros(count, func() {
			for ix := range count {
				ms.apply(mc, uint64(ix)+3, command.Command{Config: &command.ConfigApply{Expected: uint64(ix) + 1, Delta: changeOf(cfg, ix)}})
			}
		})
	})
}

func (ms *measurer) changeBytes() Slope {
	return series("effect of a change, to each listener", "worker", "bytes", workerSizes, func(size int) float64 {
		var last view.Effect
		mc := ms.fleetOf(size, func(eff view.Effect) { last = eff })
		ms.apply(mc, 3, command.Command{Config: &command.ConfigApply{Expected: 1, Delta: changeOf(config(size), 1)}})
		data, err := json.Marshal(last)
		ms.check(err)
		return float64(len(data))
	})
}

func (ms *measurer) statusMicros() Slope {
	return series("apply reports of instances", "instance in the report", "us a report", []int{1, 100, 1000}, func(size int) float64 {
		mc := ms.fleetOf(25_000, nil)
		items := statuses(25_000)[:size]
		const count = 10
		return cpuMicros(count, func() {
			for ix := range count {
				ms.apply(mc, uint64(ix)+3, command.Command{Status: &command.StatusBatch{Items: items}})
			}
		})
	})
}

func (ms *measurer) usageMicros() Slope {
	return series("apply usage reports", "usage report", "us a batch", []int{1, 100, 1000}, func(size int) float64 {
		mc := ms.fleetOf(1000, nil)
		const count = 10
		return cpuMicros(count, func() {
			for ix := range count {
				batch := &command.UsageBatch{}
				for in := range size {
					batch.Reports = append(batch.Reports, command.UsageReport{
						Instance: instance(in), Incarnation: 1, Sequence: uint64(ix) + 1,
						Totals: []command.UsageTotal{{Service: "pool-00", Team: "team-000", Done: 100, BusyMillis: 2000}},
					})
				}
				ms.apply(mc, uint64(ix)+3, command.Command{Usage: batch})
			}
		})
	})
}

// feed links listeners to a hub over loopback and publishes effects to them.
func (ms *measurer) feed(listeners, effects int) (cpuEach, millisAll float64) {
	hb := hub.New()
	hb.View = func() view.View { return view.View{} }
	sv := &peer.Server{Addr: "127.0.0.1:0", Token: "token-of-the-slopes", Gone: hb.Gone}
	sv.Handle = func(ctx context.Context, call peer.Call) (any, error) {
		hb.Subscribe(context.WithoutCancel(ctx), call.Conn, 0)
		return struct{}{}, nil
	}
	ms.check(sv.Default())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = sv.Run(ctx) }()
	var got atomic.Int64
	for ix := range listeners {
		cl := &peer.Client{Addr: sv.Address(), Token: sv.Token, Self: peer.Identity{ID: fmt.Sprint(ix)}}
		cl.Handle = func(_ context.Context, call peer.Call) (any, error) {
			var effs peerapi.Effects
			ms.check(call.Decode(&effs))
			got.Add(int64(len(effs.List)))
			return nil, nil
		}
		go func() { _ = cl.Run(ctx) }()
		for !cl.Ready() {
			time.Sleep(time.Millisecond)
		}
		ms.check(cl.Call(ctx, peerapi.ViewSubscribe, peerapi.Subscribe{}, nil))
	}
	delta := changeOf(config(0), 1)
	begin := ms.clk.Now()
	cpu := cpuMicros(effects*listeners, func() {
		for ix := range effects {
			hb.Publish(view.Effect{After: uint64(ix), Index: uint64(ix) + 1, Config: &delta})
			for got.Load() < int64((ix+1)*listeners) {
				time.Sleep(20 * time.Microsecond)
			}
		}
	})
	return cpu, ms.clk.Now().Sub(begin).Seconds() * 1000 / float64(effects)
}

func (ms *measurer) feedMicros() Slope {
	return series("roll-out CPU, both ends", "listener", "us a listener and change", listenerSizes, func(size int) float64 {
		cpu, _ := ms.feed(size, 50)
		return cpu
	})
}

func (ms *measurer) feedMillis() Slope {
	return series("roll-out from one member to all its listeners", "listener", "ms", listenerSizes, func(size int) float64 {
		_, millis := ms.feed(size, 50)
		return millis
	})
}

func (ms *measurer) logWith(count int) string {
	dir, err := os.MkdirTemp("", "weir-slopes")
	ms.check(err)
	ms.check(wal.Format(dir, false))
	lg, _, err := wal.Open(dir)
	ms.check(err)
	if ms.err != nil {
		return dir
	}
	body := make([]byte, 300)
	var list []replica.Entry
	for ix := range count {
		list = append(list, replica.Entry{Index: uint64(ix) + 1, Term: 1, Kind: replica.EntryCommand, Data: body})
	}
	ms.check(lg.Append(nil, list))
	ms.check(lg.Close())
	return dir
}

func (ms *measurer) replayMillis() Slope {
	return series("recovery of the log", "entry", "ms", logSizes, func(size int) float64 {
		dir := ms.logWith(size)
		defer func() { _ = os.RemoveAll(dir) }()
		begin := ms.clk.Now()
		lg, _, err := wal.Open(dir)
		ms.check(err)
		took := ms.clk.Now().Sub(begin)
		ms.check(lg.Close())
		return took.Seconds() * 1000
	})
}

func (ms *measurer) appendMillis() Slope {
	return series("append and sync a batch", "entry in the batch", "ms", []int{1, 64, 512}, func(size int) float64 {
		dir := ms.logWith(0)
		defer func() { _ = os.RemoveAll(dir) }()
		lg, _, err := wal.Open(dir)
		ms.check(err)
		defer func() { _ = lg.Close() }()
		list := make([]replica.Entry, size)
		for ix := range list {
			list[ix] = replica.Entry{Index: uint64(ix) + 1, Term: 1, Kind: replica.EntryCommand, Data: make([]byte, 300)}
		}
		const count = 20
		begin := ms.clk.Now()
		for range count {
			ms.check(lg.Append(nil, list))
		}
		return ms.clk.Now().Sub(begin).Seconds() * 1000 / count
	})
}

func (ms *measurer) storeWith(count int) *ledger.Store {
	now := ms.clk.Now()
	st := ledger.NewStore(now.Add(-time.Minute), 10*time.Minute, count+1)
	for ix := range count {
		key, err := ledger.NewKey("zone-00", now)
		ms.check(err)
		st.Reserve(now, peerapi.Reserve{Key: key, Attempt: fmt.Sprintf("entry-00/%d", ix)})
		st.Finish(peerapi.Finish{Key: key, Attempt: fmt.Sprintf("entry-00/%d", ix), Answer: weir.Answer{
			Kind: weir.Whole, Status: 200, ContentType: "application/json", Body: make([]byte, 120),
		}})
	}
	return st
}

func (ms *measurer) keyBytes() Slope {
	return series("ledger heap", "remembered key", "bytes", keySizes, func(size int) float64 {
		st, heap := heapBytes(func() *ledger.Store { return ms.storeWith(size) })
		runtime.KeepAlive(st)
		return heap
	})
}

func (ms *measurer) reserveMicros() Slope {
	return series("ledger reservation", "remembered key", "us each", keySizes, func(size int) float64 {
		st := ms.storeWith(size)
		now := ms.clk.Now()
		const count = 1000
		list := make([]string, count)
		for ix := range list {
			key, err := ledger.NewKey("zone-00", now)
			ms.check(err)
			list[ix] = key
		}
		return cpuMicros(count, func() {
			for _, key := range list {
				st.Reserve(now, peerapi.Reserve{Key: key, Attempt: "entry-00/x"})
			}
		})
	})
}

func (ms *measurer) advertBytes() Slope {
	return series("advert of free slots", "service", "bytes", []int{5, 20, 50}, func(size int) float64 {
		ad := peerapi.Advert{Entry: "zone-00-1", Free: map[weir.ServiceName]int{}}
		for ix := range size {
			ad.Free[weir.ServiceName(fmt.Sprintf("pool-%02d", ix))] = rand.Intn(90) + 10 //nolint:gosec // a size only
		}
		data, err := json.Marshal(ad)
		ms.check(err)
		return float64(len(data))
	})
}
