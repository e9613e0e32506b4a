// Package taskapi implements the product's own protocol between the leader and
// the workers that run tasks: JSON over HTTP, durations in nanoseconds.
//
//	POST /v1/runs/start   {"life":{...},"order":{...}}          -> {"Refusal":"","Clock":...}
//	POST /v1/runs/stop    {"life":{...},"key":{...},"token":7}  -> {"Refusal":"","Clock":...}
//	POST /v1/runs/pace    as stop, with "percent": limits the run's speed
//	POST /v1/lease        {"life":{...},"renew":{...}}          -> weir.WorkerReport
//
// Usage:
//
//	calls := taskapi.NewClient(clk)                 // implements weir.TaskWorkers
//	http.ListenAndServe(addr, taskapi.Routes(wk))   // wk implements weir.TaskWorkers
package taskapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/link/httpconn"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindFormat Kind = "unreadable"
	KindStatus Kind = "unexpected status"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	startPath    = "/v1/runs/start"
	stopPath     = "/v1/runs/stop"
	throttlePath = "/v1/runs/pace"
	leasePath    = "/v1/lease"
	// maxConnections limits the connections to one worker.
	maxConnections = 16
)

type request struct {
	Worker  weir.WorkerIncarnation `json:"life"`
	Order   *weir.StartOrder       `json:"order,omitempty"`
	Renew   *weir.RenewOrder       `json:"renew,omitempty"`
	Key     weir.RunKey            `json:"key,omitzero"`
	Percent int                    `json:"percent,omitempty"`
	Token   uint64                 `json:"token,omitempty"`
}

// Client sends orders to workers. It implements weir.TaskWorkers.
type Client struct{ *httpconn.Pools }

// NewClient returns a client that keeps a connection pool for each worker.
func NewClient(clk weir.Clock) *Client {
	return &Client{Pools: httpconn.NewPools(maxConnections, clk)}
}

func (cl *Client) post(ctx context.Context, path string, body request, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: path, Kind: KindFormat, Err: err}
	}
	resp, err := cl.Get(body.Worker.Address).Do(ctx, httpconn.Request{
		Method: http.MethodPost, Path: path, Body: data, Repeatable: true,
		Headers: []httpconn.Header{{Name: echo.HeaderContentType, Value: echo.MIMEApplicationJSON}},
	})
	if err != nil {
		return httpconn.MarkNotSent(err)
	}
	if resp.Status != http.StatusOK {
		return &Error{Op: path, Kind: KindStatus, Err: errors.New(strconv.Itoa(resp.Status))}
	}
	if err := json.Unmarshal(resp.Body, target); err != nil {
		return &Error{Op: path, Kind: KindFormat, Err: err}
	}
	return nil
}

// Start implements weir.TaskWorkers.
func (cl *Client) Start(ctx context.Context, worker weir.WorkerIncarnation, order weir.StartOrder) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, startPath, request{Worker: worker, Order: &order}, &ans)
	return ans, err
}

// Stop implements weir.TaskWorkers.
func (cl *Client) Stop(ctx context.Context, worker weir.WorkerIncarnation, key weir.RunKey, token uint64) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, stopPath, request{Worker: worker, Key: key, Token: token}, &ans)
	return ans, err
}

// Throttle implements weir.TaskWorkers.
func (cl *Client) Throttle(ctx context.Context, worker weir.WorkerIncarnation, key weir.RunKey, percent int, token uint64) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, throttlePath, request{Worker: worker, Key: key, Percent: percent, Token: token}, &ans)
	return ans, err
}

// Renew implements weir.TaskWorkers.
func (cl *Client) Renew(ctx context.Context, worker weir.WorkerIncarnation, order weir.RenewOrder) (rep weir.WorkerReport, err error) {
	err = cl.post(ctx, leasePath, request{Worker: worker, Renew: &order}, &rep)
	return rep, err
}

// Routes returns the HTTP handler that passes requests to a worker.
func Routes(worker weir.TaskWorkers) http.Handler {
	ech := ops.NewEcho()
	ech.POST(startPath, handle(func(ctx context.Context, req request) (any, error) {
		if req.Order == nil {
			return weir.OrderResponse{Refusal: weir.RefusedInvalid}, nil
		}
		return worker.Start(ctx, req.Worker, *req.Order)
	}))
	ech.POST(stopPath, handle(func(ctx context.Context, req request) (any, error) {
		return worker.Stop(ctx, req.Worker, req.Key, req.Token)
	}))
	ech.POST(throttlePath, handle(func(ctx context.Context, req request) (any, error) {
		return worker.Throttle(ctx, req.Worker, req.Key, req.Percent, req.Token)
	}))
	ech.POST(leasePath, handle(func(ctx context.Context, req request) (any, error) {
		if req.Renew == nil {
			return nil, &Error{Op: leasePath, Kind: KindFormat}
		}
		return worker.Renew(ctx, req.Worker, *req.Renew)
	}))
	return ech
}

func handle(do func(ctx context.Context, req request) (any, error)) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		var req request
		if err := strictjson.Decode(json.NewDecoder(ctx.Request().Body), &req); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		ans, err := do(ctx.Request().Context(), req)
		if err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return ctx.JSON(http.StatusOK, ans)
	}
}
