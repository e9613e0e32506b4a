package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

func TestNeed(t *testing.T) {
	cpu := func(milli int) spec.Resources { return spec.Resources{MilliCPU: milli} }
	both := func(milli, megabytes int) spec.Resources {
		return spec.Resources{MilliCPU: milli, MemoryMB: megabytes}
	}
	cases := map[string]struct {
		load Load
		want int
	}{
		"nothing":                                          {Load{MachineCapacity: cpu(64_000)}, 1},
		"long-running tasks spread":                        {Load{MachineCapacity: cpu(64_000), LongRunning: cpu(20_000), MinMachines: 5}, 5},
		"waiting work":                                     {Load{MachineCapacity: cpu(64_000), Busy: cpu(64_000), Waiting: cpu(192_000)}, 5},
		"arriving work":                                    {Load{MachineCapacity: cpu(64_000), ArrivalRate: cpu(640_000)}, 12},
		"the larger of the two":                            {Load{MachineCapacity: cpu(64_000), ArrivalRate: cpu(64_000), Waiting: cpu(640_000)}, 12},
		"unknown machine capacity":                         {Load{Waiting: cpu(64_000)}, 1},
		"long-running and other tasks":                     {Load{MachineCapacity: cpu(64_000), LongRunning: cpu(64_000), Waiting: cpu(100_000), MinMachines: 1}, 3},
		"memory of long-running tasks":                     {Load{MachineCapacity: both(64_000, 256_000), LongRunning: both(64_000, 1_400_000)}, 6},
		"memory of waiting tasks":                          {Load{MachineCapacity: both(64_000, 256_000), Waiting: both(64_000, 600_000)}, 3},
		"processor time is scarcer":                        {Load{MachineCapacity: both(64_000, 256_000), Waiting: both(192_000, 256_000)}, 4},
		"a task that fits nowhere":                         {Load{MachineCapacity: both(64_000, 256_000), Busy: both(9_000, 33_000), Waiting: both(9_000, 100_000), Stuck: both(9_000, 100_000), Usable: 7}, 8},
		"no machine for tasks that wait for others to end": {Load{MachineCapacity: both(64_000, 256_000), Busy: both(9_000, 33_000), Waiting: both(9_000, 100_000), Usable: 7}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, MachinesNeeded(tc.load)) })
	}
}

func machines(pool string, idle, busy, tied int) []Machine {
	var out []Machine
	for ix := range idle + busy + tied {
		mc := Machine{Name: fmt.Sprintf("%s-%02d", pool, ix), Pool: weir.PoolName(pool), Movable: ix < idle+busy}
		if ix >= idle && ix < idle+busy {
			mc.Runs = 1 + ix
		}
		out = append(out, mc)
	}
	return out
}

func pool(name string, want, lend, keep int) Pool {
	return Pool{Name: weir.PoolName(name), Desired: want, LendFloor: lend, ReleaseFloor: keep}
}

// late returns a pool that needs more machines if it is to run its late tasks.
func late(po Pool, withLate int) Pool {
	po.WithLate = withLate
	return po
}

var standby = Pool{Name: "off", Standby: true}

// flows counts moves by source and target pool.
func flows(dec Decision) map[string]int {
	out := map[string]int{}
	for _, mv := range dec.Moves {
		out[mv.Machine[:len(mv.Machine)-3]+">"+string(mv.TargetPool)]++
	}
	return out
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		pools    []Pool
		machines [][]Machine
		moves    map[string]int
		leaving  int
	}{
		"enough everywhere": {
			[]Pool{pool("a", 2, 2, 2), pool("b", 2, 2, 2), standby},
			[][]Machine{machines("a", 2, 0, 0), machines("b", 2, 0, 0)},
			map[string]int{},
			0,
		},
		"idle machines of another pool before standby machines": {
			[]Pool{pool("a", 5, 5, 5), pool("b", 1, 1, 4), standby},
			[][]Machine{machines("a", 0, 2, 0), machines("b", 2, 0, 1), machines("off", 4, 0, 0)},
			map[string]int{"b>a": 2, "off>a": 1},
			0,
		},
		"machines with long-running tasks do not move": {
			[]Pool{pool("a", 4, 4, 4), pool("b", 1, 1, 1)},
			[][]Machine{machines("a", 0, 2, 0), machines("b", 0, 0, 4)},
			map[string]int{},
			0,
		},
		"busy machines of another pool are drained": {
			[]Pool{pool("a", 4, 4, 4), pool("b", 1, 1, 1)},
			[][]Machine{machines("a", 0, 2, 0), machines("b", 0, 4, 0)},
			map[string]int{},
			2,
		},
		"recently needed machines are kept": {
			[]Pool{pool("a", 1, 1, 4), standby},
			[][]Machine{machines("a", 4, 0, 0)},
			map[string]int{},
			0,
		},
		"surplus machines move to standby": {
			[]Pool{pool("a", 1, 1, 2), standby},
			[][]Machine{machines("a", 4, 2, 0)},
			map[string]int{"a>off": 4},
			0,
		},
		"busy surplus machines are drained": {
			[]Pool{pool("a", 1, 1, 1), standby},
			[][]Machine{machines("a", 1, 2, 0)},
			map[string]int{"a>off": 1},
			1,
		},
		"late tasks hold no machines that another pool needs": {
			[]Pool{pool("a", 4, 4, 4), late(pool("b", 1, 1, 1), 6)},
			[][]Machine{machines("a", 0, 2, 0), machines("b", 1, 5, 0)},
			map[string]int{"b>a": 1},
			1,
		},
		"late tasks get the machines that nobody needs": {
			[]Pool{late(pool("a", 1, 1, 1), 4), pool("b", 1, 1, 1), standby},
			[][]Machine{machines("a", 0, 1, 0), machines("b", 2, 0, 0), machines("off", 5, 0, 0)},
			map[string]int{"b>a": 1, "off>a": 2},
			0,
		},
		"late tasks keep machines from standby": {
			[]Pool{late(pool("a", 1, 1, 1), 3), standby},
			[][]Machine{machines("a", 4, 0, 0)},
			map[string]int{"a>off": 1},
			0,
		},
		"no release without a standby pool": {
			[]Pool{pool("a", 1, 1, 1)},
			[][]Machine{machines("a", 4, 0, 0)},
			map[string]int{},
			0,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var all []Machine
			for _, list := range tc.machines {
				all = append(all, list...)
			}
			dec := Decide(tc.pools, all)
			require.Equal(t, tc.moves, flows(dec))
			require.Len(t, dec.Draining, tc.leaving)
		})
	}
}
