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
	return measureSeries("control heap, fleet state", "worker", "bytes", workerSizes, func(size int) float64 {
		mc, heap := heapBytes(func() *fleet.Machine { return ms.newFleet(size, nil) })
		runtime.KeepAlive(mc)
		return heap
	})
}

func (ms *measurer) snapshotBytes() Slope {
	return measureSeries("snapshot size", "worker", "bytes", workerSizes, func(size int) float64 {
		data, err := ms.newFleet(size, nil).Snapshot()
		ms.check(err)
		return float64(len(data))
	})
}

func (ms *measurer) snapshotMillis() Slope {
	return measureSeries("snapshot encoding, log stands still", "worker", "ms", workerSizes, func(size int) float64 {
		mc := ms.newFleet(size, nil)
		begin := ms.clk.Now()
		_, err := mc.Snapshot()
		ms.check(err)
		return ms.clk.Now().Sub(begin).Seconds() * 1000
	})
}

func (ms *measurer) reconcileMicros() Slope {
	return measureSeries("reconciler's step", "worker", "us a step", workerSizes, func(size int) float64 {
		mc := ms.newFleet(size, nil)
		const count = 5
		return cpuMicros(count, func() {
			for range count {
				mc.Read(func(rd fleet.Reader) { wave.NextCommands(rd, wave.Observations{}, ms.clk.Now()) })
			}
		})
	})
}

func (ms *measurer) viewBytes() Slope {
	return measureSeries("view snapshot size", "worker", "bytes", workerSizes, func(size int) float64 {
		data, err := json.Marshal(ms.newFleet(size, nil).View())
		ms.check(err)
		return float64(len(data))
	})
}

// poolChange returns a delta that changes one pool, as most changes do.
func poolChange(cfg model.Config, number int) model.Delta {
	pol := cfg.Pools["pool-00"]
	pol.MinAvailable = number % 2
	return model.Delta{Pools: map[weir.PoolName]model.Pool{pol.Name: pol}}
}

func (ms *measurer) changeMicros() Slope {
	return measureSeries("apply a change of configuration", "worker", "us each", workerSizes, func(size int) float64 {
		mc := ms.newFleet(size, nil)
		cfg := fleetConfig(size)
		const count = 10
		return cpuMicros(count, func() {
			for ix := range count {
				ms.apply(mc, uint64(ix)+3, command.Command{Config: &command.ConfigApply{Expected: uint64(ix) + 1, Delta: poolChange(cfg, ix)}})
			}
		})
	})
}

func (ms *measurer) changeBytes() Slope {
	return measureSeries("effect of a change, to each listener", "worker", "bytes", workerSizes, func(size int) float64 {
		var last view.Effect
		mc := ms.newFleet(size, func(eff view.Effect) { last = eff })
		ms.apply(mc, 3, command.Command{Config: &command.ConfigApply{Expected: 1, Delta: poolChange(fleetConfig(size), 1)}})
		data, err := json.Marshal(last)
		ms.check(err)
		return float64(len(data))
	})
}

func (ms *measurer) statusMicros() Slope {
	return measureSeries("apply reports of instances", "instance in the report", "us a report", []int{1, 100, 1000}, func(size int) float64 {
		mc := ms.newFleet(25_000, nil)
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
	return measureSeries("apply usage reports", "usage report", "us a batch", []int{1, 100, 1000}, func(size int) float64 {
		mc := ms.newFleet(1000, nil)
		const count = 10
		return cpuMicros(count, func() {
			for ix := range count {
				batch := &command.UsageBatch{}
				for in := range size {
					batch.Reports = append(batch.Reports, command.UsageReport{
						Instance: instanceName(in), Incarnation: 1, Sequence: uint64(ix) + 1,
						Totals: []command.UsageTotal{{Service: "pool-00", Team: "team-000", Done: 100, BusyMillis: 2000}},
					})
				}
				ms.apply(mc, uint64(ix)+3, command.Command{Usage: batch})
			}
		})
	})
}
