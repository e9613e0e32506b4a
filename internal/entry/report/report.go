// Package report sends the state of an entry instance to the leader: its view,
// the status of its endpoints, drain confirmations, usage and demand.
//
// Usage:
//
//	rp := &report.Reporter{Self: "shy-1", Table: tb, Control: sb, Clock: clk}
//	go rp.Run(ctx)
package report

import (
	"context"
	"time"

	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/fleet/view"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	tickInterval = 100 * time.Millisecond
	// reportInterval is the maximum time between two reports.
	reportInterval = time.Second
	callTimeout    = 2 * time.Second
)

// ControlClient calls the leader through a control process and returns the
// current view.
type ControlClient interface {
	Call(ctx context.Context, method string, params, result any) error
	View() view.View
}

// Reporter sends reports. Set the exported fields before Default.
type Reporter struct {
	Self    string
	Zone    weir.Zone
	Started time.Time
	Table   *routing.Table
	Control ControlClient
	Clock   weir.Clock
	Logger  log.Logger

	lastAt   time.Time
	lastView uint64
	full     bool
}

// String returns the component's name in logs.
func (rp *Reporter) String() string { return "reporter" }

// Default makes the first report a full one.
func (rp *Reporter) Default() error {
	rp.full = true
	return nil
}

// Run reports changes within tickInterval and everything else once per
// reportInterval.
func (rp *Reporter) Run(ctx context.Context) error {
	return run.Every(ctx, tickInterval, func() { rp.tick(ctx) })
}

func (rp *Reporter) tick(ctx context.Context) {
	now := rp.Clock.Now()
	vw := rp.Control.View()
	full := rp.full
	rep := peerapi.Report{
		Entry: rp.Self, Zone: rp.Zone, Started: rp.Started, View: vw.Index, ConfigNumber: vw.ConfigNumber, Full: full,
		Statuses: rp.Table.Sweep(rp.Self, full), DrainConfirmations: rp.Table.DrainConfirmations(rp.Self), Usage: rp.Table.PendingUsage(),
	}
	urgent := len(rep.Statuses) > 0 || len(rep.DrainConfirmations) > 0 || vw.Index != rp.lastView
	if !urgent && now.Sub(rp.lastAt) < reportInterval {
		return
	}
	rep.Demand = rp.Table.Demand()
	rp.send(ctx, rep, now)
}

func (rp *Reporter) send(ctx context.Context, rep peerapi.Report, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var ans peerapi.ReportResponse
	if err := rp.Control.Call(ctx, peerapi.EntryReport, rep, &ans); err != nil {
		rp.Table.RequeueStatuses(rep.Statuses)
		rp.full = true
		_ = rp.Logger.Log("level", "debug", "msg", "report not delivered", "err", err.Error())
		return
	}
	rp.lastAt = now
	rp.lastView = rep.View
	rp.full = ans.WantFull
	rp.Table.AcknowledgeUsage(ans.Acked)
}
