package main

import (
	"net/http"
	"os"
	"runtime/debug"

	"greengageweir/internal/duty/cli"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/duty/logs"
	"greengageweir/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"

	"greengageweir/internal/duty/ops"
)

const (
	// peerToken is shared by all processes: the platform hands out no secrets
	// and keeps others off the machines' own ports.
	peerToken = "greengageweir-platform"
	// memoryShare is the share of a machine's memory at which the collector
	// works harder.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

// platformFlags are the flags of the commands that take their settings from
// the platform's file.
type platformFlags struct {
	Settings string `long:"settings" description:"Settings file; without it the one that the environment names"`
	LogLevel string `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// open reads the settings and starts the log on standard output.
func (pf *platformFlags) open(role string) (platform.Settings, log.Logger, error) {
	path := pf.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	st, err := platform.Load(path)
	if err != nil {
		return st, nil, err
	}
	lg, _, err := logs.New(logs.NewAsync(os.Stdout), pf.LogLevel, role, st.Name)
	if err != nil {
		return st, nil, err
	}
	invariant.SetLogger(lg)
	debug.SetMemoryLimit(int64(memoryShare * float64(st.Limits.MemoryMB) * megabyte))
	_ = lg.Log("level", "info", "msg", "started", "version", cli.Version, "zone", st.Zone, "peerAddr", st.PeerAddress(),
		"seeds", len(st.Seeds), "firstStart", st.FirstStart, "memoryMB", st.Limits.MemoryMB)
	return st, lg, nil
}

// metricsStep serves metrics and a dump of the process's state.
func metricsStep(st *platform.Settings, dump func() any) *ops.Listener {
	ech := ops.NewEcho()
	ech.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		return nil
	})
	ech.GET("/state", func(ctx echo.Context) error { return ctx.JSON(http.StatusOK, dump()) })
	return &ops.Listener{Name: "metrics", Addr: st.MetricsAddress(), Handler: ech}
}
