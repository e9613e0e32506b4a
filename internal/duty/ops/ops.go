// Package ops serves what every process offers its operators over HTTP:
// health, readiness, metrics, log level and a dump of its state. Health and
// readiness need no token, since the balancer asks for them.
//
// Usage:
//
//	sv := &ops.Server{Addr: addr, Operators: opers, Level: lvl, Dump: dump, Ready: ready}
//	sv.Routes = func(grp *echo.Group) { grp.GET("/v1/usage", usage) }
//	go sv.Run(ctx)
package ops

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"time"

	"greengageweir/internal/duty/auth"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/duty/logging"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// Kind tells the errors of this package apart.
type Kind string

// KindListen says that the address cannot be listened on.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	maxBody         = "32M"
	maxHeaderBytes  = 16 << 10
	readTimeout     = 30 * time.Second
	headerTimeout   = 5 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Server is the operators' listener of a process. Set the exported fields
// before Run.
type Server struct {
	Addr      string
	Operators *auth.Operators
	Level     *logging.Level
	Version   string
	// Dump returns the process's state; it must hold no secrets.
	Dump func() any
	// Ready returns why the process is not ready, or nil.
	Ready func() error
	// Routes adds routes that need an operator's token; it may be nil.
	Routes func(grp *echo.Group)

	listener net.Listener
	server   *http.Server
}

// dump is the frame of every state dump.
type dump struct {
	Version    string                `json:"version"`
	Goroutines int                   `json:"goroutines"`
	HeapBytes  uint64                `json:"heapBytes"`
	LogLevel   string                `json:"logLevel"`
	Violations []invariant.Violation `json:"violations"`
	State      any                   `json:"state"`
}

// String is the step's name in logs.
func (sv *Server) String() string { return "operators' server" }

// Default opens the listener and sets the routes.
func (sv *Server) Default() error {
	lis, err := net.Listen("tcp", sv.Addr)
	if err != nil {
		return &Error{Op: "operators' server", Kind: KindListen, Err: err}
	}
	sv.listener = lis
	sv.server = NewHTTPServer(sv.routes())
	return nil
}

// NewHTTPServer returns a server with bounds on headers and time.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// NewEcho returns a router without a banner.
func NewEcho() *echo.Echo {
	ech := echo.New()
	ech.HideBanner = true
	ech.HidePort = true
	return ech
}

func (sv *Server) routes() *echo.Echo {
	ech := NewEcho()
	ech.Use(middleware.BodyLimit(maxBody))
	ech.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	ech.GET("/readyz", sv.ready)
	grp := ech.Group("", sv.Operators.Middleware)
	grp.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		return nil
	})
	grp.GET("/state", sv.state)
	grp.PUT("/log-level/:level", func(ctx echo.Context) error {
		if err := sv.Level.Set(ctx.Param("level")); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return ctx.JSON(http.StatusOK, map[string]string{"level": sv.Level.String()})
	})
	if sv.Routes != nil {
		sv.Routes(grp)
	}
	return ech
}

func (sv *Server) ready(ctx echo.Context) error {
	if err := sv.Ready(); err != nil {
		return ctx.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return ctx.String(http.StatusOK, "ready\n")
}

func (sv *Server) state(ctx echo.Context) error {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return ctx.JSON(http.StatusOK, dump{
		Version: sv.Version, Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
		LogLevel: sv.Level.String(), Violations: invariant.Violations(), State: sv.Dump(),
	})
}

// Run serves until the context ends.
func (sv *Server) Run(ctx context.Context) error {
	return Serve(ctx, sv.server, sv.listener, shutdownTimeout)
}

// Serve runs an HTTP server until the context ends, then lets requests in
// flight finish for at most the given time.
func Serve(ctx context.Context, server *http.Server, lis net.Listener, patience time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(lis) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return server.Close()
	}
	return nil
}
