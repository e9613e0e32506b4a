package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/cli"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/member/roster"
	"greengageweir/platform"

	"github.com/go-kit/log"
)

const (
	// peerToken authenticates processes to each other. It is a constant because
	// the platform distributes no secrets; it blocks other clients from the
	// machines' own ports.
	peerToken = "greengageweir-platform"
	// memoryLimitShare is the share of a machine's memory that is set as the soft
	// memory limit of the Go runtime, near which it collects more often.
	memoryLimitShare = 0.6
	mebibyte         = 1 << 20
	// settingsPollInterval is the time between reads of the settings file. New
	// seeds are needed only when all known processes have moved.
	settingsPollInterval = 5 * time.Second
)

// platformFlags are the flags of the commands that read their settings from
// the platform's file.
type platformFlags struct {
	Settings string `long:"settings" description:"Settings file; the path in GREENGAGEWEIR_CONFIG if not given"`
	LogLevel string `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`

	out *logging.Async
	// limits are the limits that the listeners of the process share.
	limits *admit.Process
}

// settingsPath returns the path of the settings file, from the flag or the
// environment.
func (pf *platformFlags) settingsPath() string {
	if pf.Settings != "" {
		return pf.Settings
	}
	return platform.SettingsPath()
}

// watchSettings reads the settings file at each SIGHUP and, because it may change
// without a signal, at each settingsPollInterval. It adds the seeds to the roster;
// a file that cannot be read is logged and has no effect.
func (pf *platformFlags) watchSettings(lg log.Logger, ros *roster.Roster) *run.Func {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return &run.Func{Name: "settings", Do: func(ctx context.Context) error {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			hangup := false
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				hangup = true
			case <-ticker.C:
			}
			st, err := platform.Load(pf.settingsPath())
			if hangup || err != nil {
				_ = lg.Log("level", "info", "msg", "settings file read", "signal", hangup, "seeds", strings.Join(st.Seeds, ","), "err", err)
			}
			if err == nil {
				ros.AddSeeds(st.SeedPeers())
			}
		}
	}}
}

// setup loads the settings, creates a logger on standard output and sets the
// memory limit.
func (pf *platformFlags) setup(role string) (platform.Settings, log.Logger, error) {
	st, err := platform.Load(pf.settingsPath())
	if err != nil {
		return st, nil, err
	}
	pf.out = logging.NewAsync(os.Stdout)
	lg, _, err := logging.New(pf.out, pf.LogLevel, role, st.Name)
	if err != nil {
		return st, nil, err
	}
	invariant.SetLogger(lg)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(st.Limits.MemoryMB) * mebibyte))
	pf.limits = admit.New(admit.Settings{MemoryMB: st.Limits.MemoryMB, Descriptors: st.Limits.Descriptors, Logger: lg})
	_ = lg.Log("level", "info", "msg", "started", "version", cli.Version, "zone", st.Zone, "peerAddr", st.PeerAddress(),
		"seeds", len(st.Seeds), "firstStart", st.FirstStart, "memoryMB", st.Limits.MemoryMB)
	return st, lg, nil
}

func (pf *platformFlags) metricsListener(st *platform.Settings, dump func() any) *ops.Listener {
	return metricsListener(st.MetricsAddress(), dump, pf.limits)
}
