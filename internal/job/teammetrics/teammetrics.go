// Package teammetrics exports metrics about teams: the share of the cap in use and
// the pending jobs of each team, and the submits that were refused. However many teams
// there are, each metric has rows for the 32 teams with the most use and one row
// "other" for the rest, so that a long list of teams does not fill a metrics store.
//
// Only the leader exports the use and the pending jobs, since the state of others may
// be older. Each process counts the refusals that it has sent.
//
// Usage:
//
//	rec := &teammetrics.Recorder{Store: st, Leads: sc.Ready} // a component
//	teammetrics.CountRefusal(team, teammetrics.ReasonCap)
package teammetrics

import (
	"cmp"
	"context"
	"slices"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindIncomplete means that a required field is not set.
const KindIncomplete Kind = "incomplete"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// maxTeams is the number of teams with rows of their own.
	maxTeams = 32
	// other is the row of all other teams. A team of this name has no row of its own.
	other weir.TeamName = "other"
	// refreshInterval is the time between two updates.
	refreshInterval = time.Second
)

// Recorder updates the metrics while its process leads. Set the exported fields before
// Run.
type Recorder struct {
	Store *store.Store
	// Leads reports whether this process leads.
	Leads func() bool

	rows *rows
}

// String returns the component's name for logs.
func (re *Recorder) String() string { return "team metrics" }

// Default validates the settings.
func (re *Recorder) Default() error {
	if re.Store == nil || re.Leads == nil {
		return &Error{Op: "default", Kind: KindIncomplete}
	}
	re.rows = processRows
	return nil
}

// Run updates the metrics until the context ends.
func (re *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	defer re.rows.removeGauges()
	for {
		re.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh updates the metrics, or removes them if this process does not lead.
func (re *Recorder) refresh() {
	if !re.Leads() {
		re.rows.removeGauges()
		return
	}
	var usages []usage
	re.Store.Read(func(rd store.Reader) { usages = readUsages(rd) })
	re.rows.update(usages)
}

// usage is what a team uses.
type usage struct {
	team weir.TeamName
	// capRatio is the dominant share of the cap, 0 without one, useShare that of what
	// all teams use.
	capRatio, useShare float64
	pending            int
}

// readUsages returns what the teams of the configuration use, the most first.
func readUsages(rd store.Reader) []usage {
	teams := rd.Catalog().Teams
	var total spec.Resources
	for _, tm := range teams {
		total = total.Plus(rd.TeamUse(tm.Name))
	}
	out := make([]usage, 0, len(teams))
	for _, tm := range teams {
		use := rd.TeamUse(tm.Name)
		out = append(out, usage{
			team: tm.Name, capRatio: use.DominantShare(tm.Cap), useShare: use.DominantShare(total), pending: rd.TeamPending(tm.Name),
		})
	}
	slices.SortFunc(out, func(one, two usage) int {
		return cmp.Or(
			cmp.Compare(two.useShare, one.useShare), cmp.Compare(two.pending, one.pending), cmp.Compare(one.team, two.team),
		)
	})
	return out
}
