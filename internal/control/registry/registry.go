// Package registry is the leader's memory of which entry instances report,
// and of their views and load. It is not replicated: a new leader fills it
// within one report period.
//
// Usage:
//
//	rg := registry.New(clk)
//	wantFull := rg.Heard(now, report)
//	for _, pr := range rg.Processes(now, known) { ... }
package registry

import (
	"sort"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"

	weir "greengageweir"
)

// ReportTimeout is how long an entry instance may be silent.
const ReportTimeout = 3 * time.Second

type entry struct {
	report  peerapi.Report
	heardAt time.Time
	// full is set once a full report was taken.
	full bool
}

// Registry is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[string]*entry
	since   time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Reset forgets everything; call it when leadership begins.
func (rg *Registry) Reset(now time.Time) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.entries = map[string]*entry{}
	rg.since = now
}

// RecordReport takes a report and tells whether a full one is wanted.
func (rg *Registry) RecordReport(now time.Time, rep peerapi.Report) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	en, ok := rg.entries[rep.Entry]
	if !ok || !en.report.Started.Equal(rep.Started) || now.Sub(en.heardAt) > ReportTimeout {
		en = &entry{}
		rg.entries[rep.Entry] = en
	}
	en.report = rep
	en.heardAt = now
	en.full = en.full || rep.Full
	return !en.full
}

// IsReporting reports whether an entry instance reports. While a leader is new,
// all count as heard.
func (rg *Registry) IsReporting(now time.Time, id string) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if now.Sub(rg.since) < ReportTimeout {
		return true
	}
	en, ok := rg.entries[id]
	return ok && now.Sub(en.heardAt) <= ReportTimeout
}

// Processes returns the state of all known entry instances. While a leader is
// new, those that have not reported yet count as heard, with no number.
func (rg *Registry) Processes(now time.Time, known map[string]weir.Zone) []peerapi.EntryProcess {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	list := make([]peerapi.EntryProcess, 0, len(known))
	for id, zone := range known {
		pr := peerapi.EntryProcess{ID: id, Zone: zone, Reporting: now.Sub(rg.since) < ReportTimeout}
		if en, ok := rg.entries[id]; ok {
			pr.View, pr.ConfigNumber, pr.LastReportAt = en.report.View, en.report.ConfigNumber, en.heardAt
			pr.Reporting = now.Sub(en.heardAt) <= ReportTimeout
		}
		list = append(list, pr)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Demand returns the summed load of each service.
func (rg *Registry) Demand(now time.Time) map[weir.ServiceName]peerapi.Demand {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	sums := map[weir.ServiceName]peerapi.Demand{}
	for _, en := range rg.entries {
		if now.Sub(en.heardAt) > ReportTimeout {
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
