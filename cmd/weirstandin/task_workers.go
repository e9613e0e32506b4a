package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/contract/taskapi"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/taskworker"

	"github.com/go-kit/log"

	weir "greengageweir"
)

// announceInterval is the time between two announcements of a worker.
const announceInterval = time.Second

// taskWorkersCommand runs workers of one pool that simulate tasks.
type taskWorkersCommand struct {
	Jobs  []string `long:"jobs" required:"true" description:"Address of a process that accepts jobs; repeat for each"`
	Pool  string   `long:"pool" required:"true" description:"Pool of the workers"`
	Count int      `long:"count" default:"2" description:"Number of workers"`
	Port  int      `long:"port" required:"true" description:"Port of the first worker; the others follow"`
	Cores int      `long:"cores" default:"8" description:"Cores of a worker"`
}

// Execute implements flags.Commander.
func (tc *taskWorkersCommand) Execute([]string) error {
	lg, _, err := logging.New(os.Stderr, "info", "standin", tc.Pool)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var components []weir.Component
	for ix := range tc.Count {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(tc.Port+ix))
		ann := jobapi.Announcement{Worker: store.Worker{
			ID: weir.InstanceID(fmt.Sprintf("%s-%d", tc.Pool, ix)), Incarnation: clock.Wall{}.Now().UnixMilli(), Pool: weir.PoolName(tc.Pool),
			Address: addr, Zone: "local", Rack: "r" + strconv.Itoa(ix), Capacity: spec.Resources{MilliCPU: tc.Cores * 1000, MemoryMB: 1 << 20},
		}}
		wk := &taskworker.Worker{ID: ann.ID, Born: ann.Incarnation, Clock: clock.System{}}
		components = append(components,
			&ops.Listener{Name: "worker " + string(ann.ID), Addr: addr, Handler: taskapi.Routes(wk)},
			&run.Func{Name: "announcer of " + string(ann.ID), Do: func(ctx context.Context) error { return tc.announce(ctx, ann, lg) }})
	}
	return run.All(ctx, lg, components...)
}

// announce announces a worker until the context is cancelled.
func (tc *taskWorkersCommand) announce(ctx context.Context, ann jobapi.Announcement, lg log.Logger) error {
	cl := &jobhttp.Client{Addrs: tc.Jobs}
	return run.Every(ctx, announceInterval, func() {
		ann.Sequence++
		callCtx, cancel := context.WithTimeout(ctx, announceInterval)
		defer cancel()
		if _, _, err := cl.Do(callCtx, http.MethodPut, "/v1/workers/"+string(ann.ID), ann); err != nil {
			_ = lg.Log("level", "warn", "msg", "announcement failed", "worker", ann.ID, "err", err)
		}
	})
}
