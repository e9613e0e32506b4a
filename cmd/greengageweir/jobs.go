package main

import (
	"net/http"
	"os"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/cli"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/contract/taskapi"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
)

// jobsCommand runs a process that accepts jobs and runs them on task workers.
type jobsCommand struct {
	Zone          string        `long:"zone" env:"WEIR_ZONE" description:"Availability zone of this process"`
	PeerAddr      string        `long:"peer-addr" env:"WEIR_PEER_ADDR" description:"IP:port for connections from other processes; also the process's id"`
	Listen        string        `long:"listen" env:"WEIR_JOBS_ADDR" description:"IP:port for callers, workers and operators"`
	MetricsAddr   string        `long:"metrics-addr" env:"WEIR_METRICS_ADDR" description:"IP:port for metrics and state; not served if not given"`
	DataDir       string        `long:"data-dir" env:"WEIR_DATA_DIR" description:"Folder for the replicated log"`
	Seeds         []string      `long:"seed" env:"WEIR_SEEDS" env-delim:"," description:"Peer address of a process, including this one; repeat for each"`
	FirstStart    bool          `long:"first-start" env:"WEIR_FIRST_START" description:"Form a new cluster of the seeds; without it, an empty folder joins an existing one"`
	Tolerance     int           `long:"tolerance" env:"WEIR_TOLERANCE" default:"1" description:"Number of processes with a disk that may fail at once"`
	Retention     time.Duration `long:"retention" env:"WEIR_RETENTION" default:"10m" description:"How long the state of an ended job can be queried"`
	PeerTokenFile string        `long:"peer-token-file" env:"WEIR_PEER_TOKEN_FILE" description:"File with the token that processes share"`
	LogLevel      string        `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	limitFlags
}

const (
	minRetention = 10 * time.Second
	maxRetention = 24 * time.Hour
	maxTolerance = 4
	// logFlushTimeout is how long a process that ends waits for its last log lines
	// to be written.
	logFlushTimeout = 500 * time.Millisecond
	// metricsCost is what a response with the metrics or the state may occupy.
	metricsCost = 1 << 20
)

func (jc *jobsCommand) check() error {
	var ck settings.Checks
	ck.Name("--zone", jc.Zone)
	ck.Address("--peer-addr", jc.PeerAddr)
	ck.Address("--listen", jc.Listen)
	if jc.MetricsAddr != "" {
		ck.Address("--metrics-addr", jc.MetricsAddr)
	}
	ck.Require("--data-dir", jc.DataDir != "")
	jc.Seeds = splitList(jc.Seeds)
	ck.Require("--seed", len(jc.Seeds) > 0)
	for _, seed := range jc.Seeds {
		ck.Address("--seed", seed)
	}
	ck.Count("--tolerance", jc.Tolerance, 0, maxTolerance)
	ck.Range("--retention", jc.Retention, minRetention, maxRetention)
	ck.File("--peer-token-file", jc.PeerTokenFile)
	jc.limitFlags.check(&ck)
	return ck.Err()
}

// Execute implements flags.Commander.
func (jc *jobsCommand) Execute([]string) error {
	if err := jc.check(); err != nil {
		return err
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Flush(logFlushTimeout)
	lg, _, err := logging.New(out, jc.LogLevel, "jobs", jc.PeerAddr)
	if err != nil {
		return err
	}
	invariant.SetLogger(lg)
	token, err := auth.LoadToken(jc.PeerTokenFile)
	if err != nil {
		return err
	}
	if err := formatOnFirstStart(jc.DataDir, jc.PeerAddr, jc.Seeds, jc.FirstStart, lg); err != nil {
		return err
	}
	_ = lg.Log("level", "info", "msg", "started", "version", cli.Version, "zone", jc.Zone, "listen", jc.Listen)
	err = jc.run(token, lg)
	_ = lg.Log("level", "info", "msg", "stopped", "err", err)
	return err
}

func (jc *jobsCommand) run(token string, lg log.Logger) error {
	ctx := signalContext(lg, func() string { return "no synced data" })
	lr := &logReplica{
		PeerAddr: jc.PeerAddr, Zone: jc.Zone, Token: token, Seeds: jc.Seeds, DataDir: jc.DataDir, Voters: 2*jc.Tolerance + 1,
		Retention: jc.Retention, MemoryMB: jc.MemoryMB, LeaseHolder: jc.PeerAddr, Workers: taskapi.NewClient(clock.BootTime{}), Logger: lg,
	}
	limits := jc.process(lg)
	lr.MaxLinks = limits.MaxLinks()
	lr.build()
	lr.components = append(lr.components, &ops.Listener{
		Name: "jobs listener", Addr: jc.Listen, Handler: jobhttp.Routes(lr.handler, clock.Wall{}), ShutdownTimeout: controlShutdownTimeout,
		Limits: &admit.Listener{
			Process: limits, Name: "jobs", Connections: limits.MaxConnections(), MaxBody: maxJobsBody, JSON: true, Cost: catalogCost, Outcome: refusalOutcome,
		},
	})
	if jc.MetricsAddr != "" {
		lr.components = append(lr.components, metricsListener(jc.MetricsAddr, lr.dumpState, limits))
	}
	return run.All(ctx, lg, append(lr.components, lr.handOver(ctx))...)
}

// metricsListener serves metrics and a dump of the process's state.
func metricsListener(addr string, dump func() any, limits *admit.Process) *ops.Listener {
	ech := ops.NewEcho()
	ech.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		return nil
	})
	ech.GET("/state", func(ctx echo.Context) error { return ctx.JSON(http.StatusOK, dump()) })
	return &ops.Listener{Name: "metrics", Addr: addr, Handler: ech, Limits: &admit.Listener{
		Process: limits, Name: "metrics", Connections: limits.ServiceConnections(),
		Cost: func(*http.Request) int64 { return metricsCost },
	}}
}
