// Package ops provides the operators' HTTP server of a process: health, readiness,
// metrics, log level and a state dump. Health and readiness need no token, since
// load balancers query them.
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

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/common/strictjson"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen means that the server cannot listen on its address.
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

// Server is the operators' HTTP server of a process. Set the exported fields
// before Run.
type Server struct {
	Addr      string
	Operators *auth.Operators
	Level     *logging.Level
	Version   string
	// Dump returns the process's state. It must not contain secrets.
	Dump func() any
	// Ready returns nil if the process is ready, else the reason.
	Ready func() error
	// Routes, if not nil, adds routes that need an operator's token.
	Routes func(grp *echo.Group)
	// Limits bounds what clients can make the process hold; nil sets no bounds.
	Limits *admit.Listener

	listener net.Listener
	server   *http.Server
}

// stateDump is the response body of /state. State is what Dump returns.
type stateDump struct {
	Version    string                `json:"version"`
	Goroutines int                   `json:"goroutines"`
	HeapBytes  uint64                `json:"heapBytes"`
	LogLevel   string                `json:"logLevel"`
	Violations []invariant.Violation `json:"violations"`
	State      any                   `json:"state"`
}

// String returns the name of the component in logs.
func (sv *Server) String() string { return "operators' server" }

// Default opens the listener and registers the routes.
func (sv *Server) Default() error {
	lis, err := net.Listen("tcp", sv.Addr)
	if err != nil {
		return &Error{Op: "operators' server", Kind: KindListen, Err: err}
	}
	sv.listener = lis
	sv.server = NewHTTPServer(sv.routes())
	if sv.Limits != nil {
		sv.listener = sv.Limits.Attach(sv.server, lis)
	}
	return nil
}

// NewHTTPServer returns a server with limits on header size and on the times to
// read a request and to stay idle.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// NewEcho returns a router that prints no startup banner and accepts only bodies of
// one JSON value.
func NewEcho() *echo.Echo {
	ech := echo.New()
	ech.HideBanner = true
	ech.HidePort = true
	ech.JSONSerializer = strictjson.EchoSerializer{}
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
	return ctx.JSON(http.StatusOK, stateDump{
		Version: sv.Version, Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
		LogLevel: sv.Level.String(), Violations: invariant.Violations(), State: sv.Dump(),
	})
}

// Run serves until the context ends.
func (sv *Server) Run(ctx context.Context) error {
	return Serve(ctx, sv.server, sv.listener, shutdownTimeout)
}

// Serve runs an HTTP server until the context ends, then gives requests in flight
// up to the grace period to finish.
func Serve(ctx context.Context, server *http.Server, lis net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(lis) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return server.Close()
	}
	return nil
}
