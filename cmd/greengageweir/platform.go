package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"greengageweir/internal/duty/cli"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/duty/logging"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/member/roster"
	"greengageweir/platform"

	"github.com/go-kit/log"
)

const (
	// peerToken is shared by all processes: the platform hands out no secrets
	// and keeps others off the machines' own ports.
	peerToken = "greengageweir-platform"
	// memoryShare is the share of a machine's memory at which the collector
	// works harder.
	memoryShare = 0.6
	megabyte    = 1 << 20
	// settingsEvery separates looks at the settings file: seeds are needed
	// only when all known processes have moved.
	settingsEvery = 5 * time.Second
)

// platformFlags are the flags of the commands that take their settings from
// the platform's file.
type platformFlags struct {
	Settings string `long:"settings" description:"Settings file; without it the one that the environment names"`
	LogLevel string `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// path is the settings file's.
func (pf *platformFlags) path() string {
	if pf.Settings != "" {
		return pf.Settings
	}
	return platform.SettingsPath()
}

// watch reads the settings again at each SIGHUP, and now and then, since they
// may change without a signal. What cannot be read changes nothing.
func (pf *platformFlags) watch(lg log.Logger, ros *roster.Roster) *run.Func {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	return &run.Func{Name: "settings", Do: func(ctx context.Context) error {
		ticker := time.NewTicker(settingsEvery)
		defer ticker.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return nil
			case <-hups:
				signalled = true
			case <-ticker.C:
			}
			st, err := platform.Load(pf.path())
			if signalled || err != nil {
				_ = lg.Log("level", "info", "msg", "settings read", "signal", signalled, "seeds", strings.Join(st.Seeds, ","), "err", err)
			}
			if err == nil {
				ros.AddSeeds(st.SeedPeers())
			}
		}
	}}
}

// open reads the settings and starts the log on standard output.
func (pf *platformFlags) open(role string) (platform.Settings, log.Logger, error) {
	st, err := platform.Load(pf.path())
	if err != nil {
		return st, nil, err
	}
	lg, _, err := logging.New(logging.NewAsync(os.Stdout), pf.LogLevel, role, st.Name)
	if err != nil {
		return st, nil, err
	}
	invariant.SetLogger(lg)
	debug.SetMemoryLimit(int64(memoryShare * float64(st.Limits.MemoryMB) * megabyte))
	_ = lg.Log("level", "info", "msg", "started", "version", cli.Version, "zone", st.Zone, "peerAddr", st.PeerAddress(),
		"seeds", len(st.Seeds), "firstStart", st.FirstStart, "memoryMB", st.Limits.MemoryMB)
	return st, lg, nil
}

func metricsStep(st *platform.Settings, dump func() any) *ops.Listener {
	return metricsListener(st.MetricsAddress(), dump)
}
