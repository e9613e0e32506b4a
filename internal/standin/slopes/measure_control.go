package slopes

import (
	"encoding/json"
	"runtime"

	weir "greengageweir"
	"greengageweir/internal/config/model"
	"greengageweir/internal/fleet/command"
	fleet "greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/maintenance/wave"
)

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

func (ms *measurer) reconcileMicros() Slope {
	return series("reconciler's step", "worker", "us a step", workerSizes, func(size int) float64 {
		mc := ms.fleetOf(size, nil)
		const count = 5
		return cpuMicros(count, func() {
			for range count {
				mc.Read(func(rd fleet.Reader) { wave.NextCommands(rd, wave.Observations{}, ms.clk.Now()) })
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
