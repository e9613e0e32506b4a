package rpc

import (
	"context"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"

	weir "greengageweir"
)

// Report handles an entry instance's report. If this process is not the leader,
// it forwards the report to the leader.
func (sv *Service) Report(ctx context.Context, rep peerapi.Report) (peerapi.ReportResponse, error) {
	if !sv.IsLeader() {
		var ans peerapi.ReportResponse
		err := sv.callLeader(ctx, peerapi.EntryReport, rep, &ans)
		return ans, err
	}
	now := sv.Clock.Now()
	ans := peerapi.ReportResponse{WantFull: sv.Registry.RecordReport(now, rep)}
	if err := sv.registerEntry(ctx, rep, now); err != nil {
		return ans, err
	}
	if items := sv.changedStatuses(rep); len(items) > 0 {
		if _, err := sv.proposeLocal(ctx, command.Command{At: now, Status: &command.StatusBatch{Items: items}}); err != nil {
			return ans, err
		}
	}
	for _, co := range rep.DrainConfirmations {
		if _, err := sv.proposeLocal(ctx, command.Command{At: now, DrainConfirmation: &co}); err != nil {
			return ans, err
		}
	}
	if len(rep.Usage) == 0 {
		return ans, nil
	}
	done, err := sv.proposeLocal(ctx, command.Command{At: now, Usage: &command.UsageBatch{Reports: rep.Usage}})
	ans.Acked = done.Acked
	return ans, err
}

// registerEntry registers an entry instance on its first report.
func (sv *Service) registerEntry(ctx context.Context, rep peerapi.Report, now time.Time) error {
	known := false
	sv.Machine.Read(func(rd fsm.Reader) { _, known = rd.Processes()[rep.Entry] })
	if known {
		return nil
	}
	_, err := sv.proposeLocal(ctx, command.Command{At: now, Process: &command.ProcessUpdate{ID: rep.Entry, Zone: rep.Zone}})
	return err
}

// changedStatuses returns the statuses that differ from the stored ones. Instances
// of the entry instance that a full report does not list are returned as not up.
func (sv *Service) changedStatuses(rep peerapi.Report) []command.Status {
	var items []command.Status
	named := make(map[weir.InstanceID]bool, len(rep.Statuses))
	sv.Machine.Read(func(rd fsm.Reader) {
		for _, sta := range rep.Statuses {
			named[sta.Instance] = true
			if rd.Statuses()[sta.Instance] != sta {
				items = append(items, sta)
			}
		}
		if !rep.Full {
			return
		}
		for id, sta := range rd.Statuses() {
			if sta.Up && sta.Entry == rep.Entry && !named[id] {
				sta.Up = false
				items = append(items, sta)
			}
		}
	})
	return items
}
