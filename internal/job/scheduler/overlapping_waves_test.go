package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// maintenancePlatform takes a machine down for a while for each order it accepts, and
// checks the limit of the wave.
type maintenancePlatform struct {
	t       *testing.T
	sp      *stepped
	waves   map[int64]store.Wave
	down    map[string]int64 // the wave that a machine is down for
	until   map[string]time.Time
	done    map[string]bool // "wave machine"
	mostFor map[int64]int
	// rejoin registers a machine's next worker incarnation; nil means one with one core.
	rejoin func(id weir.InstanceID, incarnation int64)
}

func newMaintenancePlatform(t *testing.T) *maintenancePlatform {
	return &maintenancePlatform{
		t: t, waves: map[int64]store.Wave{}, down: map[string]int64{}, until: map[string]time.Time{}, done: map[string]bool{}, mostFor: map[int64]int{},
	}
}

const maintenanceTime = 2 * time.Second

func (mp *maintenancePlatform) Machines(context.Context) ([]weir.Machine, error) {
	var out []weir.Machine
	for _, name := range []string{"mw0", "mw1", "mw2", "mw3"} {
		mc := weir.Machine{Name: name, Pool: "desk", State: weir.MachineUp}
		if mp.down[name] != 0 {
			mc.State = weir.MachineMaintenance
		}
		out = append(out, mc)
	}
	return out, nil
}

func (mp *maintenancePlatform) Order(_ context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	switch {
	case mp.done[fmt.Sprint(order.Wave, " ", order.Machine)]:
		return weir.MachineAccepted, nil
	case mp.down[order.Machine] != 0:
		return weir.MachineBusy, nil
	}
	count := 1
	for _, machine := range mp.waves[order.Wave].Machines {
		if mp.down[machine] == order.Wave {
			count++
		}
	}
	require.LessOrEqual(mp.t, count, mp.waves[order.Wave].MaxParallel, "wave %d, machine %s, down: %v", order.Wave, order.Machine, mp.down)
	mp.mostFor[order.Wave] = max(mp.mostFor[order.Wave], count)
	mp.done[fmt.Sprint(order.Wave, " ", order.Machine)] = true
	mp.down[order.Machine], mp.until[order.Machine] = order.Wave, mp.sp.clk.Now().Add(maintenanceTime)
	mp.sp.workers.down[weir.InstanceID(order.Machine[1:])] = true
	return weir.MachineAccepted, nil
}

// endMaintenance brings back the machines whose maintenance is over, each with its
// next worker incarnation.
func (mp *maintenancePlatform) endMaintenance() {
	for machine, until := range mp.until {
		if mp.sp.clk.Now().Before(until) {
			continue
		}
		delete(mp.until, machine)
		delete(mp.down, machine)
		id := weir.InstanceID(machine[1:])
		delete(mp.sp.workers.down, id)
		delete(mp.sp.workers.running, id)
		if mp.rejoin != nil {
			mp.rejoin(id, mp.sp.clk.Now().UnixMilli())
			continue
		}
		mp.sp.join(id, mp.sp.clk.Now().UnixMilli())
	}
}

// TestOverlappingWavesKeepTheirLimits guards against more machines under maintenance
// than a wave allows, if a machine that is down for one wave is due in another.
func TestOverlappingWavesKeepTheirLimits(t *testing.T) {
	all := []string{"mw0", "mw1", "mw2", "mw3"}
	two := []store.Wave{{Number: 1, Machines: all, MaxParallel: 1}, {Number: 2, Machines: all, MaxParallel: 2}}
	cases := map[string]struct {
		waves []store.Wave
		tasks int
	}{
		"same machines": {two, 0},
		"three waves": {[]store.Wave{
			{Number: 1, Machines: all[:3], MaxParallel: 1}, {Number: 2, Machines: all[1:], MaxParallel: 2}, {Number: 3, Machines: all, MaxParallel: 2},
		}, 0},
		"machines with tasks that do not end": {two, len(all)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mp := newMaintenancePlatform(t)
			mp.sp = newStepped(t, nil, mp)
			for ix := range all {
				mp.sp.join(weir.InstanceID(fmt.Sprint("w", ix)), 1)
			}
			if tc.tasks > 0 {
				mp.sp.submit(spec.Step{Count: tc.tasks, Resources: spec.Resources{MilliCPU: 1000}})
				mp.sp.step(maxRoundInterval)
				mp.sp.step(maxRoundInterval)
			}
			for _, wv := range tc.waves {
				wv.Deadline = testNow.Add(time.Minute)
				mp.waves[wv.Number] = wv
				mp.sp.apply(store.Change{Wave: &wv})
				for range 7 {
					mp.sp.step(maxRoundInterval)
					mp.endMaintenance()
				}
			}
			for range 600 {
				mp.sp.step(maxRoundInterval)
				mp.endMaintenance()
			}
			mp.sp.gl.st.Read(func(rd store.Reader) {
				for number, wv := range rd.Waves() {
					require.True(t, wv.AllStarted(), "wave %d: %v", number, wv.Started)
				}
			})
			for number, wv := range mp.waves {
				if tc.tasks > 0 {
					continue // tasks that wait are a shortage, in which waves use less
				}
				require.Equal(t, wv.MaxParallel, mp.mostFor[number], "wave %d uses its limit", number)
			}
		})
	}
}
