// Package callerapi serves the callers' HTTP API of an entry instance.
//
// Usage:
//
//	sv := &callerapi.Server{Addr: addr, Zone: zone, Dispatcher: dp, Services: tb, Clock: clk}
//	err := sv.Default()
//	err = sv.Run(ctx)
package callerapi

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/caller"
	"greengageweir/internal/entry/ledger"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindListen  Kind = "cannot listen"
	KindRequest Kind = "bad request"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes      = 1 << 20
	maxTimeout        = 10 * time.Minute
	retryAfterSeconds = 1
)

// Services returns the settings of services.
type Services interface {
	Service(name weir.ServiceName) (model.Service, bool)
}

// Server is the HTTP server for callers. Set the exported fields before
// Default.
type Server struct {
	Addr       string
	Zone       weir.Zone
	Dispatcher weir.Dispatcher
	Services   Services
	Clock      weir.Clock
	// Ready returns nil if callers may use this instance, or the reason why
	// they should not.
	Ready func() error
	// ShutdownDelay is the time between the start of a stop and the closing of
	// the listener, in which the load balancer can notice the stop.
	// ShutdownTimeout is the time for requests in flight after that.
	ShutdownDelay   time.Duration
	ShutdownTimeout time.Duration
	// Limits bounds what callers can make the process hold; nil sets no bounds.
	Limits *admit.Listener

	listener net.Listener
	server   *http.Server
	stopping atomic.Bool
	inFlight atomic.Int64
}

// String returns the component's name in logs.
func (sv *Server) String() string { return "callers' server" }

// Default opens the listener and registers the routes.
func (sv *Server) Default() error {
	lis, err := net.Listen("tcp", sv.Addr)
	if err != nil {
		return &Error{Op: "callers' server", Kind: KindListen, Err: err}
	}
	sv.listener = lis
	ech := ops.NewEcho()
	ech.POST(caller.PathKeys, sv.handleNewKey)
	ech.Any(caller.PathCall+":service", sv.handleCall)
	ech.Any(caller.PathCall+":service/*", sv.handleCall)
	ech.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	ech.GET("/readyz", sv.handleReady)
	sv.server = ops.NewHTTPServer(ech)
	if sv.Limits != nil {
		sv.Limits.MaxBody = maxBodyBytes
		sv.Limits.OnRefusal = func(header http.Header) { header.Set(caller.HeaderOutcome, string(weir.NotRun)) }
		sv.Limits.Outcome = func(int) string { return string(weir.NotRun) }
		sv.listener = sv.Limits.Attach(sv.server, lis)
	}
	return nil
}

// Run serves until the context ends. It then reports that it is stopping, waits
// for ShutdownDelay, closes the listener and lets requests in flight finish.
func (sv *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- ops.Serve(serveCtx, sv.server, sv.listener, sv.ShutdownTimeout) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	sv.stopping.Store(true)
	time.Sleep(sv.ShutdownDelay)
	cancel()
	return <-done
}

// InFlight returns the number of requests in flight.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// Stopping reports whether a graceful stop has begun.
func (sv *Server) Stopping() bool { return sv.stopping.Load() }

func (sv *Server) handleReady(ctx echo.Context) error {
	if err := sv.Ready(); err != nil {
		return ctx.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return ctx.String(http.StatusOK, "ready\n")
}

func (sv *Server) handleNewKey(ctx echo.Context) error {
	key, err := ledger.NewKey(sv.Zone, sv.Clock.Now())
	if err != nil {
		return echo.NewHTTPError(http.StatusInternalServerError, err.Error())
	}
	return ctx.JSON(http.StatusOK, caller.KeyResponse{Key: key})
}

func (sv *Server) handleCall(ctx echo.Context) error {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	req, err := sv.parseRequest(ctx)
	if err != nil {
		return respondBadRequest(ctx, err.Error())
	}
	return writeResponse(ctx, sv.Dispatcher.Do(ctx.Request().Context(), req))
}

// respondBadRequest responds to an invalid request, which did not run.
func respondBadRequest(ctx echo.Context, reason string) error {
	ctx.Response().Header().Set(caller.HeaderOutcome, string(weir.NotRun))
	return ctx.JSON(http.StatusBadRequest, caller.OutcomeBody{Outcome: weir.NotRun, Reason: reason})
}

func writeResponse(ctx echo.Context, ans weir.Response) error {
	head := ctx.Response().Header()
	head.Set(caller.HeaderOutcome, string(ans.Kind))
	if ans.Kind == weir.Complete {
		head.Set(echo.HeaderContentLength, strconv.Itoa(len(ans.Body)))
		return ctx.Blob(ans.Status, ans.ContentType, ans.Body)
	}
	head.Set(caller.HeaderReason, ans.Reason)
	head.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	return ctx.JSON(caller.StatusOf(ans), caller.OutcomeBody{Outcome: ans.Kind, Reason: ans.Reason})
}

// parseRequest reads a caller's request and checks it.
func (sv *Server) parseRequest(ctx echo.Context) (weir.Request, error) {
	httpReq := ctx.Request()
	head := httpReq.Header
	name := weir.ServiceName(ctx.Param("service"))
	svc, ok := sv.Services.Service(name)
	if !ok {
		return weir.Request{}, &Error{Op: "service " + string(name), Kind: KindRequest, Err: errors.New("no such service")}
	}
	body, err := admit.ReadBody(httpReq, maxBodyBytes)
	if err != nil {
		return weir.Request{}, &Error{Op: "read body", Kind: KindRequest, Err: err}
	}
	timeout, err := parseTimeout(head.Get(caller.HeaderTimeout), time.Duration(svc.Timeout))
	if err != nil {
		return weir.Request{}, err
	}
	req := weir.Request{
		Service: name, Team: weir.TeamName(head.Get(caller.HeaderTeam)), Method: httpReq.Method,
		Path: endpointPath(ctx), ContentType: head.Get(echo.HeaderContentType), Body: body,
		Key: head.Get(caller.HeaderKey), Class: weir.Urgent, Repeatable: isRepeatable(httpReq),
		Deadline: sv.Clock.Now().Add(timeout),
	}
	return setClassAndCheckKey(req, head.Get(caller.HeaderClass))
}

// setClassAndCheckKey returns the request with its class, or an error if the
// class or the request's key is not valid.
func setClassAndCheckKey(req weir.Request, class string) (weir.Request, error) {
	switch weir.Class(class) {
	case "", weir.Urgent:
	case weir.Deferrable:
		req.Class = weir.Deferrable
	default:
		return req, &Error{Op: "class " + class, Kind: KindRequest, Err: errors.New("want urgent or deferrable")}
	}
	if req.Key != "" {
		if _, err := ledger.ParseKey(req.Key); err != nil {
			return req, &Error{Op: caller.HeaderKey, Kind: KindRequest, Err: err}
		}
	}
	return req, nil
}

func parseTimeout(text string, def time.Duration) (time.Duration, error) {
	if text == "" {
		return def, nil
	}
	val, err := time.ParseDuration(text)
	if err != nil || val <= 0 || val > maxTimeout {
		return 0, &Error{Op: caller.HeaderTimeout + " " + text, Kind: KindRequest, Err: errors.New("want a duration such as 800ms, up to 10m")}
	}
	return val, nil
}

// isRepeatable follows the method's definition (RFC 9110, section 9.2) unless
// the caller says otherwise.
func isRepeatable(httpReq *http.Request) bool {
	if text := httpReq.Header.Get(caller.HeaderRepeatable); text != "" {
		return text == "true"
	}
	return httpReq.Method == http.MethodGet || httpReq.Method == http.MethodHead
}

// endpointPath returns the path and query for the endpoint: what follows the
// service in the URL.
func endpointPath(ctx echo.Context) string {
	path := "/" + strings.TrimPrefix(ctx.Param("*"), "/")
	if query := ctx.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}
