// Package front is the callers' HTTP interface of an entry instance.
//
// Usage:
//
//	fr := &front.Front{Addr: addr, Zone: zone, Dispatcher: dp, Table: tb, Clock: clk}
//	go fr.Run(ctx)
package callerapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/caller"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/entry/ledger"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindListen  Kind = "cannot listen"
	KindRequest Kind = "bad request"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// maxBodyBytes bounds a caller's body.
	maxBodyBytes = 1 << 20
	maxTimeout   = 10 * time.Minute
	retryAfter   = 1 // seconds
)

// Services tells a service's settings.
type Services interface {
	Service(name weir.ServiceName) (model.Service, bool)
}

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Addr       string
	Zone       weir.Zone
	Dispatcher weir.Dispatcher
	Services   Services
	Clock      weir.Clock
	// Ready returns why callers should not come here, or nil.
	Ready func() error
	// DrainNotice is how long the balancer is told before the listener closes,
	// DrainPatience how long requests in flight may take after that.
	DrainNotice   time.Duration
	DrainPatience time.Duration

	listener net.Listener
	server   *http.Server
	stopping atomic.Bool
	inFlight atomic.Int64
}

// String is the step's name in logs.
func (fr *Server) String() string { return "callers' server" }

// Default opens the listener.
func (fr *Server) Default() error {
	lis, err := net.Listen("tcp", fr.Addr)
	if err != nil {
		return &Error{Op: "callers' server", Kind: KindListen, Err: err}
	}
	fr.listener = lis
	ech := ops.NewEcho()
	ech.POST(caller.PathKeys, fr.newKey)
	ech.Any(caller.PathCall+":service", fr.call)
	ech.Any(caller.PathCall+":service/*", fr.call)
	ech.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	ech.GET("/readyz", fr.ready)
	fr.server = ops.NewHTTPServer(ech)
	return nil
}

// Run serves until the context ends, then tells the balancer, waits, and lets
// requests in flight finish.
func (fr *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- ops.Serve(serveCtx, fr.server, fr.listener, fr.DrainPatience) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	fr.stopping.Store(true)
	time.Sleep(fr.DrainNotice)
	cancel()
	return <-done
}

// InFlight returns how many callers wait for an answer.
func (fr *Server) InFlight() int64 { return fr.inFlight.Load() }

// Stopping reports whether a graceful stop is under way.
func (fr *Server) Stopping() bool { return fr.stopping.Load() }

func (fr *Server) ready(ctx echo.Context) error {
	if err := fr.Ready(); err != nil {
		return ctx.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return ctx.String(http.StatusOK, "ready\n")
}

func (fr *Server) newKey(ctx echo.Context) error {
	key, err := ledger.NewKey(fr.Zone, fr.Clock.Now())
	if err != nil {
		return echo.NewHTTPError(http.StatusInternalServerError, err.Error())
	}
	return ctx.JSON(http.StatusOK, caller.KeyResponse{Key: key})
}

func (fr *Server) call(ctx echo.Context) error {
	fr.inFlight.Add(1)
	defer fr.inFlight.Add(-1)
	req, err := fr.request(ctx)
	if err != nil {
		return refuse(ctx, err.Error())
	}
	return write(ctx, fr.Dispatcher.Do(ctx.Request().Context(), req))
}

// refuse answers a request that is not understood; it did not run.
func refuse(ctx echo.Context, reason string) error {
	ctx.Response().Header().Set(caller.HeaderOutcome, string(weir.NotRun))
	return ctx.JSON(http.StatusBadRequest, caller.OutcomeBody{Outcome: weir.NotRun, Reason: reason})
}

func write(ctx echo.Context, ans weir.Response) error {
	head := ctx.Response().Header()
	head.Set(caller.HeaderOutcome, string(ans.Kind))
	if ans.Kind == weir.Complete {
		head.Set(echo.HeaderContentLength, strconv.Itoa(len(ans.Body)))
		return ctx.Blob(ans.Status, ans.ContentType, ans.Body)
	}
	head.Set(caller.HeaderReason, ans.Reason)
	head.Set("Retry-After", strconv.Itoa(retryAfter))
	return ctx.JSON(caller.StatusOf(ans), caller.OutcomeBody{Outcome: ans.Kind, Reason: ans.Reason})
}

// request reads a caller's request.
func (fr *Server) request(ctx echo.Context) (weir.Request, error) {
	httpReq := ctx.Request()
	head := httpReq.Header
	name := weir.ServiceName(ctx.Param("service"))
	svc, ok := fr.Services.Service(name)
	if !ok {
		return weir.Request{}, &Error{Op: "service " + string(name), Kind: KindRequest, Err: errors.New("no such service")}
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), httpReq.Body, maxBodyBytes))
	if err != nil {
		return weir.Request{}, &Error{Op: "read body", Kind: KindRequest, Err: err}
	}
	timeout, err := timeoutOf(head.Get(caller.HeaderTimeout), time.Duration(svc.Timeout))
	if err != nil {
		return weir.Request{}, err
	}
	req := weir.Request{
		Service: name, Team: weir.TeamName(head.Get(caller.HeaderTeam)), Method: httpReq.Method,
		Path: pathOf(ctx), ContentType: head.Get(echo.HeaderContentType), Body: body,
		Key: head.Get(caller.HeaderKey), Class: weir.Urgent, Repeatable: repeatable(httpReq),
		Deadline: fr.Clock.Now().Add(timeout),
	}
	return withClass(req, head.Get(caller.HeaderClass))
}

func withClass(req weir.Request, class string) (weir.Request, error) {
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

func timeoutOf(text string, def time.Duration) (time.Duration, error) {
	if text == "" {
		return def, nil
	}
	val, err := time.ParseDuration(text)
	if err != nil || val <= 0 || val > maxTimeout {
		return 0, &Error{Op: caller.HeaderTimeout + " " + text, Kind: KindRequest, Err: errors.New("want a duration such as 800ms, up to 10m")}
	}
	return val, nil
}

// repeatable follows the method's definition (RFC 9110, section 9.2) unless
// the caller says otherwise.
func repeatable(httpReq *http.Request) bool {
	if text := httpReq.Header.Get(caller.HeaderRepeatable); text != "" {
		return text == "true"
	}
	return httpReq.Method == http.MethodGet || httpReq.Method == http.MethodHead
}

func pathOf(ctx echo.Context) string {
	path := "/" + strings.TrimPrefix(ctx.Param("*"), "/")
	if query := ctx.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}
