// Package registry holds the last report of each entry instance at the leader,
// with its view and load. It is not replicated. A new leader fills it within one
// report interval.
//
// Usage:
//
//	rg := registry.New()
//	wantFull := rg.RecordReport(now, report)
//	for _, pr := range rg.Processes(now, known) { ... }
package registry

import (
	"sort"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"

	weir "greengageweir"
)

// ReportTimeout is the time without a report after which an entry instance no
// longer counts as reporting.
const ReportTimeout = 3 * time.Second

type entryState struct {
	report       peerapi.Report
	lastReportAt time.Time
	// fullReport is set once a full report has arrived.
	fullReport bool
}

// Registry holds the reports of entry instances. It is safe for concurrent use.
type Registry struct {
	mu          sync.Mutex
	entries     map[string]*entryState
	leaderSince time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entryState{}} }

// Reset removes all reports. Call it when this process becomes the leader.
func (rg *Registry) Reset(now time.Time) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.entries = map[string]*entryState{}
	rg.leaderSince = now
}

// RecordReport stores a report. It returns true if a full report is needed.
func (rg *Registry) RecordReport(now time.Time, rep peerapi.Report) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	en, ok := rg.entries[rep.Entry]
	if !ok || !en.report.Started.Equal(rep.Started) || now.Sub(en.lastReportAt) > ReportTimeout {
		en = &entryState{}
		rg.entries[rep.Entry] = en
	}
	en.report = rep
	en.lastReportAt = now
	en.fullReport = en.fullReport || rep.Full
	return !en.fullReport
}

// IsReporting reports whether an entry instance has sent a report within
// ReportTimeout. During the first ReportTimeout of a leader, all count as
// reporting.
func (rg *Registry) IsReporting(now time.Time, id string) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if now.Sub(rg.leaderSince) < ReportTimeout {
		return true
	}
	en, ok := rg.entries[id]
	return ok && now.Sub(en.lastReportAt) <= ReportTimeout
}

// Processes returns the state of the known entry instances, sorted by id. During
// the first ReportTimeout of a leader, those that have not reported yet count as
// reporting, without a configuration number.
func (rg *Registry) Processes(now time.Time, known map[string]weir.Zone) []peerapi.EntryProcess {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	list := make([]peerapi.EntryProcess, 0, len(known))
	for id, zone := range known {
		pr := peerapi.EntryProcess{ID: id, Zone: zone, Reporting: now.Sub(rg.leaderSince) < ReportTimeout}
		if en, ok := rg.entries[id]; ok {
			pr.View, pr.ConfigNumber, pr.LastReportAt = en.report.View, en.report.ConfigNumber, en.lastReportAt
			pr.Reporting = now.Sub(en.lastReportAt) <= ReportTimeout
		}
		list = append(list, pr)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// DemandByService returns the total load of each service at the reporting entry
// instances.
func (rg *Registry) DemandByService(now time.Time) map[weir.ServiceName]peerapi.Demand {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	sums := map[weir.ServiceName]peerapi.Demand{}
	for _, en := range rg.entries {
		if now.Sub(en.lastReportAt) > ReportTimeout {
			continue
		}
		for _, dm := range en.report.Demand {
			sum := sums[dm.Service]
			sum.Service = dm.Service
			sum.Busy += dm.Busy
			sum.Slots += dm.Slots
			sum.Waiting += dm.Waiting
			sums[dm.Service] = sum
		}
	}
	return sums
}
