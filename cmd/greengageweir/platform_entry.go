package main

import (
	"sync/atomic"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/entry/relay"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"
	"greengageweir/platform"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// entryShutdownDelay is how long a stopping entry instance still accepts
	// requests: the platform probes readiness once a second and stops sending
	// connections after two failed probes.
	entryShutdownDelay = 2500 * time.Millisecond
	// entryShutdownTimeout is the time for requests in flight to finish. Together
	// with entryShutdownDelay it stays within the platform's grace period.
	entryShutdownTimeout = 3 * time.Second
)

// platformEntryCommand runs an entry instance on the platform's machines.
type platformEntryCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (pc *platformEntryCommand) Execute([]string) error {
	st, lg, err := pc.setup("entry")
	if err != nil {
		return err
	}
	defer pc.out.Flush(logFlushTimeout)
	ctx := signalContext(lg, func() string { return "requests in flight" })
	var stopping atomic.Bool
	go func() {
		<-ctx.Done()
		stopping.Store(true)
	}()
	err = run.All(ctx, lg, pc.components(&st, lg, &stopping)...)
	_ = lg.Log("level", "info", "msg", "stopped", "err", err)
	return err
}

func (pc *platformEntryCommand) components(st *platform.Settings, lg log.Logger, stopping *atomic.Bool) []weir.Component {
	self := peer.Identity{ID: st.PeerAddress(), Role: "entry", Zone: string(st.Zone)}
	lks := &links.Links{Self: self, Token: peerToken, Logger: lg, NoRaft: true}
	ros := &roster.Roster{Self: self.ID, Seeds: st.SeedPeers(), Links: lks, Logger: lg}
	rly := &relay.Relay{Links: lks, Roster: ros, Clock: clock.BootTime{}, Logger: lg}
	ready := func() bool { return !stopping.Load() && rly.Ready() }
	return []weir.Component{
		lks,
		ros,
		pc.watchSettings(lg, ros),
		pc.metricsListener(st, func() any { return map[string]any{"holders": ros.ReplicaIDs(), "leader": ros.Leader()} }),
		&ops.Listener{
			Name: "callers' listener", Addr: st.Bind.Front, Handler: platform.NewCallerHandler(rly, lg),
			ShutdownDelay: entryShutdownDelay, ShutdownTimeout: entryShutdownTimeout, Limits: platform.CallerLimits(pc.limits),
		},
		&ops.Listener{
			Name: "readiness", Addr: st.Bind.Ready, Handler: platform.NewReadinessHandler(ready), Limits: platform.ReadinessLimits(pc.limits),
		},
	}
}
