package main

import (
	"runtime/debug"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/platform"

	"github.com/go-kit/log"
)

const (
	// machineOrderMargin is added to the platform's minimum time between orders of
	// two different leaders for one machine.
	machineOrderMargin = 500 * time.Millisecond
	// retentionMargin is added to the time during which the platform may query the
	// state of ended jobs.
	retentionMargin = time.Second
	// controlShutdownTimeout is the time for requests in flight to finish at
	// shutdown.
	controlShutdownTimeout = time.Second
	// leaderGCPercent lets a leader's heap grow to three times the live heap before
	// a collection. A leader with 349 workers has 25 MB in use and spent an eighth
	// of its CPU time on garbage collection at the default of 100.
	leaderGCPercent = 200
	// followerGCPercent is lower, because followers have CPU time to spare while
	// their memory is billed.
	followerGCPercent = 50
)

// platformControlCommand runs a replica of the job log on the platform's
// machines.
type platformControlCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (pc *platformControlCommand) Execute([]string) error {
	st, lg, err := pc.setup("control")
	if err != nil {
		return err
	}
	defer pc.out.Flush(logFlushTimeout)
	if err := formatOnFirstStart(st.DataDir, st.PeerAddress(), st.SeedPeers(), st.FirstStart, lg); err != nil {
		return err
	}
	debug.SetGCPercent(followerGCPercent)
	ctx := signalContext(lg, func() string { return "no synced data" })
	lr := newPlatformReplica(&st, lg)
	lr.MaxLinks = pc.limits.MaxLinks()
	lr.OnLeadershipChange = func(leads bool) {
		percent := followerGCPercent
		if leads {
			percent = leaderGCPercent
		}
		debug.SetGCPercent(percent)
	}
	lr.build()
	ctl := &platform.ControlAPI{
		Handler: lr.handler, Wall: clock.Wall{}, Logger: lg, Address: st.ControlAddress,
	}
	lr.components = append(lr.components, pc.watchSettings(lg, lr.roster), pc.metricsListener(&st, lr.dumpState),
		&ops.Listener{
			Name: "control listener", Addr: st.Bind.Control, Handler: ctl.Routes(), ShutdownTimeout: controlShutdownTimeout,
			Limits: platform.ControlLimits(pc.limits),
		})
	err = run.All(ctx, lg, append(lr.components, lr.handOver(ctx))...)
	_ = lg.Log("level", "info", "msg", "stopped", "err", err)
	return err
}

func newPlatformReplica(st *platform.Settings, lg log.Logger) *logReplica {
	lr := &logReplica{
		PeerAddr: st.PeerAddress(), Zone: string(st.Zone), Token: peerToken, Seeds: st.SeedPeers(), DataDir: st.DataDir,
		Voters: 2*st.Tolerance.Machines + 1, Retention: time.Duration(st.Bounds.RetentionS*float64(time.Second)) + retentionMargin,
		LeaseHolder: st.Name, MachineOrderDelay: st.MachineOrderDelay() + machineOrderMargin,
		MaxLease: st.MaxLease(), MemoryMB: st.Limits.MemoryMB,
		Workers: platform.NewWorkerClient(clock.BootTime{}), Logger: lg,
	}
	if st.Cloud.Address != "" {
		lr.Machines = platform.NewMachineClient(st.Cloud.Address, clock.BootTime{})
		lr.MachineOrderRate = st.Cloud.OrdersPerS
	}
	if st.Adviser != "" {
		lr.Adviser = platform.NewAdviceClient(st.Adviser, clock.BootTime{})
	}
	return lr
}
