package main

import (
	"runtime/debug"
	"time"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/duty/run"
	"greengageweir/platform"

	"github.com/go-kit/log"
)

const (
	// turnMargin is added to the platform's least time between two leaders'
	// orders for one machine.
	turnMargin = 500 * time.Millisecond
	// retentionMargin is added to the time for which the platform asks for the
	// state of ended jobs.
	retentionMargin = time.Second
	// controlPatience is the time for requests in flight at a stop.
	controlPatience = time.Second
	// leaderCollector lets a leader's heap grow to three times what is in use
	// before it is collected: one of 349 workers has 25 MB in use and spent an
	// eighth of its processor time on collecting at the usual 100.
	leaderCollector = 200
	// followerCollector is the same for followers, which have processor time to
	// spare while their memory is paid for.
	followerCollector = 50
)

// platformControlCommand runs a process that holds the log on the platform's
// machines.
type platformControlCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (pc *platformControlCommand) Execute([]string) error {
	st, lg, err := pc.open("control")
	if err != nil {
		return err
	}
	if err := formatFirst(st.DataDir, st.PeerAddress(), st.SeedPeers(), st.FirstStart, lg); err != nil {
		return err
	}
	debug.SetGCPercent(followerCollector)
	ctx := stopContext(lg, func() string { return "nothing that is not synced" })
	ho := platformHolder(&st, lg)
	ho.Leading = func(leads bool) {
		percent := followerCollector
		if leads {
			percent = leaderCollector
		}
		debug.SetGCPercent(percent)
	}
	ho.build()
	ctl := &platform.ControlAPI{
		Handler: ho.service, Wall: clock.Wall{}, Logger: lg, Address: st.ControlAddress,
	}
	ho.steps = append(ho.steps, pc.watch(lg, ho.roster), metricsStep(&st, ho.state),
		&ops.Listener{Name: "control listener", Addr: st.Bind.Control, Handler: ctl.Routes(), ShutdownTimeout: controlPatience})
	err = run.All(ctx, lg, ho.steps...)
	_ = lg.Log("level", "info", "msg", "stopped", "err", err)
	return err
}

func platformHolder(st *platform.Settings, lg log.Logger) *holder {
	ho := &holder{
		PeerAddr: st.PeerAddress(), Zone: string(st.Zone), Token: peerToken, Seeds: st.SeedPeers(), DataDir: st.DataDir,
		Voters: 2*st.Tolerance.Machines + 1, Retention: time.Duration(st.Bounds.RetentionS*float64(time.Second)) + retentionMargin,
		Name: st.Name, Turn: st.MachineOrderDelay() + turnMargin,
		Workers: platform.NewWorkerClient(clock.BootTime{}), Logger: lg,
	}
	if st.Cloud.Address != "" {
		ho.Machines = platform.NewMachineClient(st.Cloud.Address, clock.BootTime{})
		ho.MachineRate = st.Cloud.OrdersPerS
	}
	if st.Adviser != "" {
		ho.Adviser = platform.NewAdviceClient(st.Adviser, clock.BootTime{})
	}
	return ho
}
