package fsm

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	weir "greengageweir"
	"greengageweir/internal/config/model"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"
)

// TestMain fixes the seed of the property tests, so that CI results are
// reproducible. Soak runs use random seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("WEIR_SOAK_SEED") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// fixture applies commands to a machine and keeps a view up to date with its
// effects.
type fixture struct {
	t     require.TestingT
	mc    *Machine
	vw    view.View
	index uint64
	now   time.Time
	epoch map[weir.InstanceID]command.Status
}

func newFixture(t require.TestingT) *fixture {
	fx := &fixture{t: t, now: time.Unix(1_800_000_000, 0), epoch: map[weir.InstanceID]command.Status{}}
	fx.mc = New(func(eff view.Effect) {
		var err error
		fx.vw, err = fx.vw.With(eff)
		require.NoError(t, err)
	}, nil)
	return fx
}

func (fx *fixture) apply(cmd command.Command) command.Result {
	fx.index++
	fx.now = fx.now.Add(time.Second)
	cmd.At = fx.now
	data, err := cmd.Encode()
	require.NoError(fx.t, err)
	ans, ok := fx.mc.Apply(fx.index, data).(command.Result)
	require.True(fx.t, ok)
	return ans
}

func (fx *fixture) mustApply(cmd command.Command) {
	ans := fx.apply(cmd)
	require.Nil(fx.t, ans.Refusal)
}

func (fx *fixture) mustRefuse(kind command.RefusalKind, cmd command.Command) {
	ans := fx.apply(cmd)
	require.NotNil(fx.t, ans.Refusal)
	require.Equal(fx.t, kind, ans.Refusal.Kind, ans.Refusal.Message)
}

// testConfig returns a configuration with two pools of four instances each.
func testConfig() model.Config {
	cfg := model.Config{
		Name: "test", Limits: model.Limits{SlotsPerInstance: 8, ConnectionsPerInstance: 64},
		Sites:    map[weir.Zone]model.Site{"north": {Name: "north"}},
		Services: map[weir.ServiceName]model.Service{"desk": {Name: "desk"}, "lab": {Name: "lab"}},
		Pools: map[weir.PoolName]model.Pool{
			"desk": {Name: "desk", Service: "desk", MinAvailable: 2}, "lab": {Name: "lab", Service: "lab", MinAvailable: 3},
		},
		Teams: map[weir.TeamName]model.Team{"counters": {Name: "counters", QuotaSlots: 8}}, Instances: map[weir.InstanceID]model.Instance{},
	}
	for ix := range 8 {
		id := weir.InstanceID(fmt.Sprintf("n%d", ix))
		pool := weir.PoolName("desk")
		if ix >= 4 {
			pool = "lab"
		}
		cfg.Instances[id] = model.Instance{Name: id, Zone: "north", Pool: pool}
	}
	return cfg
}

func configCommand(expected uint64, from, to model.Config) command.Command {
	return command.Command{Config: &command.ConfigApply{Expected: expected, Delta: model.Diff(from, to)}}
}

func (fx *fixture) status(id weir.InstanceID, incarnation, epoch uint64, up bool) {
	sta := command.Status{Instance: id, Incarnation: incarnation, Epoch: epoch, Up: up, Entry: "e1"}
	fx.mustApply(command.Command{Status: &command.StatusBatch{Items: []command.Status{sta}}})
}

// newRunningFixture returns a fixture with the configuration in force and all
// instances up.
func newRunningFixture(t require.TestingT) *fixture {
	fx := newFixture(t)
	fx.mustApply(configCommand(0, model.Config{}, testConfig()))
	for id := range testConfig().Instances {
		fx.status(id, 1, 1, true)
	}
	return fx
}

func move(id weir.InstanceID, to weir.PoolName) command.Command {
	return command.Command{Move: &command.Move{Instance: id, TargetPool: to}}
}

func (fx *fixture) confirmDrain(id weir.InstanceID, incarnation, epoch, seen uint64, entry string) command.Command {
	return command.Command{DrainConfirmation: &command.DrainConfirmation{Instance: id, Incarnation: incarnation, Epoch: epoch, View: seen, Entry: entry}}
}

func TestConcurrentConfigChanges(t *testing.T) {
	fx := newRunningFixture(t)
	first, second := testConfig(), testConfig()
	first.Name, second.Name = "first", "second"
	fx.mustApply(configCommand(1, testConfig(), first))
	fx.mustRefuse(command.RefusedConflict, configCommand(1, testConfig(), second))
	require.Equal(t, "first", fx.vw.Config.Name)
	require.Equal(t, uint64(2), fx.vw.ConfigNumber)
}

func TestRepeatedRequestReturnsFirstResult(t *testing.T) {
	fx := newRunningFixture(t)
	changed := testConfig()
	changed.Name = "changed"
	cmd := configCommand(1, testConfig(), changed)
	cmd.RequestID = "r1"
	first := fx.apply(cmd)
	require.Equal(t, uint64(2), first.ConfigNumber)
	again := fx.apply(cmd)
	require.True(t, again.Repeated)
	require.Equal(t, first.ConfigNumber, again.ConfigNumber)
	require.Equal(t, uint64(2), fx.vw.ConfigNumber)

	snap, err := fx.mc.Snapshot()
	require.NoError(t, err)
	require.NoError(t, fx.mc.Restore(fx.index, snap))
	require.True(t, fx.apply(cmd).Repeated, "repeated after a restored snapshot")
}

func TestInvalidConfigIsRefused(t *testing.T) {
	tooLarge := testConfig()
	tooLarge.Pools = map[weir.PoolName]model.Pool{"desk": {Name: "desk", Service: "desk", MinAvailable: 5}, "lab": testConfig().Pools["lab"]}
	noPool := testConfig()
	noPool.Pools = map[weir.PoolName]model.Pool{"desk": testConfig().Pools["desk"]}
	for name, cfg := range map[string]model.Config{"budget larger than pool": tooLarge, "pool in use dropped": noPool} {
		t.Run(name, func(t *testing.T) {
			fx := newRunningFixture(t)
			fx.mustRefuse(command.RefusedInvalid, configCommand(1, testConfig(), cfg))
			require.Equal(t, testConfig(), fx.vw.Config)
		})
	}
}

func TestMove(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(move("n0", "lab"))
	_, serves := fx.vw.Serves("n0")
	require.False(t, serves, "a draining instance serves nothing")
	since := fx.vw.Members["n0"].SinceIndex
	fx.mustRefuse(command.RefusedWrongState, move("n0", "lab"))
	fx.mustRefuse(command.RefusedStale, fx.confirmDrain("n0", 1, 1, since-1, "e1"))
	fx.mustRefuse(command.RefusedStale, fx.confirmDrain("n0", 1, 0, since, "e1"))
	fx.mustRefuse(command.RefusedStale, fx.confirmDrain("n0", 1, 1, since, "e2"))
	require.Equal(t, weir.PoolName("desk"), fx.vw.Members["n0"].Pool)
	fx.mustApply(fx.confirmDrain("n0", 1, 1, since, "e1"))
	service, serves := fx.vw.Serves("n0")
	require.True(t, serves)
	require.Equal(t, weir.ServiceName("lab"), service)
	fx.mustRefuse(command.RefusedWrongState, fx.confirmDrain("n0", 1, 1, since, "e1"))
	fx.mc.Read(func(rd Reader) { require.Equal(t, uint64(1), rd.CompletedMoves()) })
}

func TestAbandonedMove(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(move("n0", "lab"))
	fx.mustApply(command.Command{Abandon: &command.Abandon{Instance: "n0"}})
	service, serves := fx.vw.Serves("n0")
	require.True(t, serves)
	require.Equal(t, weir.ServiceName("desk"), service)
}

func TestBudget(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(move("n0", "lab"))
	fx.mustApply(move("n1", "lab"))
	fx.mustRefuse(command.RefusedBudget, move("n2", "lab"))
	fx.mustApply(command.Command{Abandon: &command.Abandon{Instance: "n1"}})
	fx.status("n3", 1, 1, false)
	fx.mustRefuse(command.RefusedBudget, move("n2", "lab"))
}

func permit(wave string, id weir.InstanceID) command.Command {
	return command.Command{Permit: &command.PermitGrant{Wave: wave, Instance: id}}
}

func wave(name string, parallel int) command.Command {
	return command.Command{Wave: &command.WaveCreate{Name: name, Pools: []weir.PoolName{"desk"}, MaxParallel: parallel}}
}

func TestWaveLifecycle(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(wave("w1", 2))
	fx.mustRefuse(command.RefusedConflict, wave("w1", 2))
	fx.mustApply(wave("w2", 2))
	fx.mustApply(permit("w1", "n0"))
	fx.mustRefuse(command.RefusedWrongState, permit("w2", "n0"))
	fx.mustApply(permit("w2", "n1"))
	fx.mustRefuse(command.RefusedBudget, permit("w1", "n2"))
	mem := fx.vw.Members["n0"]
	fx.mustApply(fx.confirmDrain("n0", 1, 1, mem.SinceIndex, "e1"))
	op := fx.vw.Members["n0"].Operation
	reboot := command.Command{Reboot: &command.RebootDone{Instance: "n0", Operation: op}}
	fx.mustApply(reboot)
	fx.mustRefuse(command.RefusedWrongState, reboot)
	release := command.Command{Release: &command.PermitRelease{Instance: "n0"}}
	fx.mustRefuse(command.RefusedWrongState, release) // the incarnation is still the old one
	fx.status("n0", 2, 1, true)
	fx.mustRefuse(command.RefusedBudget, permit("w1", "n2")) // not released yet
	fx.status("n0", 2, 1, false)                             // down again right after the reboot
	fx.mustRefuse(command.RefusedWrongState, release)
	fx.status("n0", 2, 2, true)
	fx.mustApply(release)
	fx.mustApply(permit("w1", "n2"))
}

func TestWaveEndsDespiteStuckInstance(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(wave("w", 1))
	for _, id := range []weir.InstanceID{"n0", "n1", "n2", "n3"} {
		if ans := fx.apply(permit("w", id)); ans.Refusal != nil {
			break
		}
		fx.mustApply(fx.confirmDrain(id, 1, 1, fx.vw.Members[id].SinceIndex, "e1"))
		fx.mustApply(command.Command{Reboot: &command.RebootDone{Instance: id, Operation: fx.vw.Members[id].Operation}})
		if id == "n0" {
			fx.mustApply(command.Command{Stuck: &command.MarkStuck{Instance: id}})
			continue
		}
		fx.status(id, 2, 1, true)
		fx.mustApply(command.Command{Release: &command.PermitRelease{Instance: id}})
	}
	fx.mc.Read(func(rd Reader) {
		wv := rd.Waves()[0]
		require.Equal(t, WaveDone, wv.State)
		require.Len(t, wv.Done, 3)
		require.Len(t, wv.Stuck, 1)
		require.Equal(t, 3, rd.Pools()[0].Available, "the stuck instance is not available")
	})
}

func report(inc, seq, done uint64) command.Command {
	return command.Command{Usage: &command.UsageBatch{Reports: []command.UsageReport{{
		Instance: "n0", Incarnation: inc, Sequence: seq, Totals: []command.UsageTotal{{Service: "desk", Done: done, BusyMillis: 10 * done}},
	}}}}
}

func TestUsageIsCountedOnce(t *testing.T) {
	fx := newRunningFixture(t)
	fx.mustApply(report(1, 1, 5))
	fx.mustApply(report(1, 1, 5)) // resent
	fx.mustApply(report(1, 3, 7)) // out of order, not counted before 2
	fx.mustApply(report(1, 2, 2))
	fx.mustApply(report(1, 3, 7))
	fx.mustApply(report(2, 1, 1)) // after a restart
	fx.mustApply(report(1, 4, 3)) // a late report of the earlier incarnation
	fx.mustApply(report(2, 1, 1))
	fx.mc.Read(func(rd Reader) {
		require.Equal(t, []UsageLine{{Service: "desk", UsageTotals: UsageTotals{Done: 18, BusyMillis: 180}}}, rd.Usage())
	})
}

// TestRandomCommands applies random commands. After each it checks that budgets
// are respected, that each instance is in one pool, that the counters are correct,
// and that the view and a restored snapshot agree with the machine.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newRunningFixture(rt)
		inc := map[weir.InstanceID]uint64{}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			id := weir.InstanceID(fmt.Sprintf("n%d", rapid.IntRange(0, 7).Draw(rt, "instance")))
			mem := fx.vw.Members[id]
			before := fx.available()
			planned := true
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				fx.apply(move(id, rapid.SampledFrom([]weir.PoolName{"desk", "lab"}).Draw(rt, "pool")))
			case 1:
				fx.apply(fx.confirmDrain(id, 1+inc[id], 1, rapid.Uint64Range(0, fx.index).Draw(rt, "seen"), "e1"))
			case 2:
				fx.apply(command.Command{Abandon: &command.Abandon{Instance: id}})
			case 3:
				fx.apply(wave(rapid.SampledFrom([]string{"w1", "w2"}).Draw(rt, "wave"), 2))
			case 4, 5:
				fx.apply(permit(rapid.SampledFrom([]string{"w1", "w2"}).Draw(rt, "wave"), id))
			case 6:
				fx.apply(command.Command{Reboot: &command.RebootDone{Instance: id, Operation: mem.Operation}})
			case 7:
				fx.apply(command.Command{Release: &command.PermitRelease{Instance: id}})
			case 8:
				planned = false
				if mem.Phase == view.Returning {
					inc[id]++
				}
				fx.status(id, 1+inc[id], 1, rapid.IntRange(0, 3).Draw(rt, "up") > 0)
			case 9:
				fx.apply(command.Command{Stuck: &command.MarkStuck{Instance: id}})
			}
			fx.checkState(rt, before, planned)
		}
	})
}

func (fx *fixture) available() map[weir.PoolName]int {
	counts := map[weir.PoolName]int{}
	fx.mc.Read(func(rd Reader) {
		for id, mem := range rd.Members() {
			if mem.Phase == view.Serving && rd.Statuses()[id].Up {
				counts[mem.Pool]++
			}
		}
	})
	return counts
}

func (fx *fixture) checkState(t require.TestingT, before map[weir.PoolName]int, planned bool) {
	after := fx.available()
	fx.mc.Read(func(rd Reader) {
		for _, pool := range rd.Pools() {
			require.Equal(t, after[pool.Name], pool.Available, "counter of %s", pool.Name)
			if planned && after[pool.Name] < before[pool.Name] {
				require.GreaterOrEqual(t, after[pool.Name], pool.MinAvailable, "a planned command violates the budget of %s", pool.Name)
			}
		}
	})
	require.Equal(t, fx.mc.View().Members, fx.vw.Members)
	snap, err := fx.mc.Snapshot()
	require.NoError(t, err)
	other := New(nil, nil)
	require.NoError(t, other.Restore(fx.index, snap))
	again, err := other.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(snap), string(again))
}
