package worker

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/platform"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"

	weir "greengageweir"
)

// Host runs the workers of one zone in one process and simulates the zone's
// platform. Set the exported fields before Run.
type Host struct {
	PlatformAddr string
	Workers      []*Worker
	RebootTime   time.Duration
	Logger       log.Logger

	listener     net.Listener
	cancelWorker map[weir.InstanceID]context.CancelFunc
}

// String returns the component's name in logs.
func (ho *Host) String() string { return "worker host" }

// Default opens the listener of the platform API.
func (ho *Host) Default() error {
	lis, err := net.Listen("tcp", ho.PlatformAddr)
	if err != nil {
		return &Error{Op: "worker host", Kind: KindListen, Err: err}
	}
	ho.listener = lis
	ho.cancelWorker = map[weir.InstanceID]context.CancelFunc{}
	return nil
}

// Run serves until the context is cancelled, then drains all workers.
func (ho *Host) Run(ctx context.Context) error {
	done := make(chan struct{}, len(ho.Workers))
	for _, wk := range ho.Workers {
		if err := wk.Default(); err != nil {
			return err
		}
		wkCtx, cancel := context.WithCancel(ctx)
		ho.cancelWorker[wk.ID] = cancel
		go func() {
			if err := wk.Run(wkCtx); err != nil {
				_ = ho.Logger.Log("level", "error", "msg", "worker failed", "instance", string(wk.ID), "err", err.Error())
			}
			done <- struct{}{}
		}()
	}
	err := run.All(ctx, ho.Logger, &run.Func{Name: "platform", Do: (&platformServer{ho: ho}).serve})
	for range ho.Workers {
		<-done
	}
	return err
}

// platformServer serves the platform's HTTP API.
type platformServer struct{ ho *Host }

// serve blocks until the context is cancelled.
func (ps *platformServer) serve(ctx context.Context) error {
	ech := ops.NewEcho()
	ech.POST("/v1/instances/:instance/reboot", ps.reboot)
	ech.POST("/v1/instances/:instance/leave", ps.leave)
	ech.POST("/v1/instances/:instance/failing/:on", ps.setFailing)
	return ops.Serve(ctx, ops.NewHTTPServer(ech), ps.ho.listener, time.Second)
}

func (ps *platformServer) worker(ctx echo.Context) (*Worker, error) {
	for _, wk := range ps.ho.Workers {
		if string(wk.ID) == ctx.Param("instance") {
			return wk, nil
		}
	}
	return nil, echo.NewHTTPError(http.StatusNotFound, "no such instance")
}

func (ps *platformServer) reboot(ctx echo.Context) error {
	wk, err := ps.worker(ctx)
	if err != nil {
		return err
	}
	var body platform.RebootRequest
	if err := ctx.Bind(&body); err != nil {
		return err
	}
	go wk.Reboot(body.Operation, ps.ho.RebootTime)
	return ctx.NoContent(http.StatusAccepted)
}

func (ps *platformServer) leave(ctx echo.Context) error {
	wk, err := ps.worker(ctx)
	if err != nil {
		return err
	}
	ps.ho.cancelWorker[wk.ID]()
	return ctx.NoContent(http.StatusAccepted)
}

func (ps *platformServer) setFailing(ctx echo.Context) error {
	wk, err := ps.worker(ctx)
	if err != nil {
		return err
	}
	wk.SetFailing(ctx.Param("on") == "true")
	return ctx.NoContent(http.StatusOK)
}
