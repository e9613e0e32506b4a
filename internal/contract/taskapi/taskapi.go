// Package taskapi is the product's own protocol between a leader and the
// workers that run tasks: JSON over HTTP, durations in nanoseconds.
//
//	POST /v1/runs/start   {"life":{...},"order":{...}}          -> {"refusal":"","clock":...}
//	POST /v1/runs/stop    {"life":{...},"key":{...},"token":7}  -> {"refusal":"","clock":...}
//	POST /v1/runs/pace    as stop, with "percent"
//	POST /v1/lease        {"life":{...},"renew":{...}}          -> the worker's report
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

	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/link/httpconn"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindFormat Kind = "unreadable"
	KindStatus Kind = "unexpected status"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	startPath = "/v1/runs/start"
	stopPath  = "/v1/runs/stop"
	pacePath  = "/v1/runs/pace"
	leasePath = "/v1/lease"
	// maxConnections bounds the connections to one worker.
	maxConnections = 16
)

type request struct {
	Life    weir.WorkerIncarnation `json:"life"`
	Order   *weir.RunOrder         `json:"order,omitempty"`
	Renew   *weir.RenewOrder       `json:"renew,omitempty"`
	Key     weir.RunKey            `json:"key,omitzero"`
	Percent int                    `json:"percent,omitempty"`
	Token   uint64                 `json:"token,omitempty"`
}

// Client sends orders to workers.
type Client struct{ *httpconn.Pools }

// NewClient returns a client for all workers.
func NewClient(clk weir.Clock) *Client {
	return &Client{Pools: httpconn.NewPools(maxConnections, clk)}
}

func (cl *Client) post(ctx context.Context, path string, body request, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: path, Kind: KindFormat, Err: err}
	}
	resp, err := cl.Get(body.Life.Address).Do(ctx, httpconn.Request{
		Method: http.MethodPost, Path: path, Body: data, Repeatable: true,
		Headers: []httpconn.Header{{Name: echo.HeaderContentType, Value: echo.MIMEApplicationJSON}},
	})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return &Error{Op: path, Kind: KindStatus, Err: errors.New(strconv.Itoa(resp.Status))}
	}
	if err := json.Unmarshal(resp.Body, into); err != nil {
		return &Error{Op: path, Kind: KindFormat, Err: err}
	}
	return nil
}

// Start implements weir.TaskWorkers.
func (cl *Client) Start(ctx context.Context, life weir.WorkerIncarnation, order weir.RunOrder) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, startPath, request{Life: life, Order: &order}, &ans)
	return ans, err
}

// Stop implements weir.TaskWorkers.
func (cl *Client) Stop(ctx context.Context, life weir.WorkerIncarnation, key weir.RunKey, token uint64) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, stopPath, request{Life: life, Key: key, Token: token}, &ans)
	return ans, err
}

// Throttle implements weir.TaskWorkers.
func (cl *Client) Throttle(ctx context.Context, life weir.WorkerIncarnation, key weir.RunKey, percent int, token uint64) (ans weir.OrderResponse, err error) {
	err = cl.post(ctx, pacePath, request{Life: life, Key: key, Percent: percent, Token: token}, &ans)
	return ans, err
}

// Renew implements weir.TaskWorkers.
func (cl *Client) Renew(ctx context.Context, life weir.WorkerIncarnation, order weir.RenewOrder) (rep weir.WorkerReport, err error) {
	err = cl.post(ctx, leasePath, request{Life: life, Renew: &order}, &rep)
	return rep, err
}

// Routes serves a worker.
func Routes(worker weir.TaskWorkers) http.Handler {
	ech := ops.NewEcho()
	ech.POST(startPath, serve(func(ctx context.Context, req request) (any, error) {
		if req.Order == nil {
			return weir.OrderResponse{Refusal: weir.RefusedInvalid}, nil
		}
		return worker.Start(ctx, req.Life, *req.Order)
	}))
	ech.POST(stopPath, serve(func(ctx context.Context, req request) (any, error) {
		return worker.Stop(ctx, req.Life, req.Key, req.Token)
	}))
	ech.POST(pacePath, serve(func(ctx context.Context, req request) (any, error) {
		return worker.Throttle(ctx, req.Life, req.Key, req.Percent, req.Token)
	}))
	ech.POST(leasePath, serve(func(ctx context.Context, req request) (any, error) {
		if req.Renew == nil {
			return nil, &Error{Op: leasePath, Kind: KindFormat}
		}
		return worker.Renew(ctx, req.Life, *req.Renew)
	}))
	return ech
}

func serve(do func(ctx context.Context, req request) (any, error)) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		var req request
		if err := json.NewDecoder(ctx.Request().Body).Decode(&req); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		ans, err := do(ctx.Request().Context(), req)
		if err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return ctx.JSON(http.StatusOK, ans)
	}
}
