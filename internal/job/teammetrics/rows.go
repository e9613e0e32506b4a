package teammetrics

import (
	"fmt"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// Reason is why a submit of a team was refused.
type Reason string

// The reasons.
const (
	// ReasonCap means that a job requests more than its team's cap.
	ReasonCap Reason = "cap"
	// ReasonBacklog means that the work of the team makes a job end too late.
	ReasonBacklog Reason = "backlog"
)

// processRows holds the rows of this process.
var processRows = newRows(metrics.GetDefaultSet())

// CountRefusal counts a refused submit of a team.
func CountRefusal(team weir.TeamName, reason Reason) { processRows.countRefusal(team, reason) }

// rows holds the rows of the metrics in one set.
type rows struct {
	metrics *metrics.Set

	mu sync.Mutex
	// teams holds the teams with rows of their own.
	teams map[weir.TeamName]bool
	// gauges holds the names of the registered gauges.
	gauges map[string]bool
	// refusals holds the registered counters.
	refusals map[refusalKey]*metrics.Counter
}

// refusalKey identifies a counter of refusals.
type refusalKey struct {
	team   weir.TeamName
	reason Reason
}

func newRows(set *metrics.Set) *rows {
	return &rows{metrics: set, teams: map[weir.TeamName]bool{}, gauges: map[string]bool{}, refusals: map[refusalKey]*metrics.Counter{}}
}

// update sets the rows to what teams use, those with the most use first.
func (rw *rows) update(usages []usage) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.teams = map[weir.TeamName]bool{}
	shown := make([]usage, 0, maxTeams+1)
	rest := usage{team: other}
	for _, us := range usages {
		if us.team != other && len(shown) < maxTeams {
			rw.teams[us.team] = true
			shown = append(shown, us)
			continue
		}
		rest.capRatio = max(rest.capRatio, us.capRatio)
		rest.pending += us.pending
	}
	if len(usages) > 0 {
		shown = append(shown, rest)
	}
	stale := rw.gauges
	rw.gauges = map[string]bool{}
	for _, us := range shown {
		rw.setGauge("weir_team_use_ratio", us.team, us.capRatio)
		rw.setGauge("weir_team_pending_jobs", us.team, float64(us.pending))
	}
	for name := range stale {
		if !rw.gauges[name] {
			rw.metrics.UnregisterMetric(name)
		}
	}
	rw.foldRefusals()
}

func (rw *rows) setGauge(metric string, team weir.TeamName, value float64) {
	name := fmt.Sprintf(`%s{team="%s"}`, metric, escapeLabel(team))
	rw.gauges[name] = true
	rw.metrics.GetOrCreateGauge(name, nil).Set(value)
}

// removeGauges removes all gauges.
func (rw *rows) removeGauges() {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	for name := range rw.gauges {
		rw.metrics.UnregisterMetric(name)
	}
	clear(rw.gauges)
}

// foldRefusals adds the counters of teams that no longer have a row to those of the
// other teams, so that the sum over the rows never falls.
func (rw *rows) foldRefusals() {
	for key, counter := range rw.refusals {
		if key.team != other && !rw.teams[key.team] {
			rw.refusalCounter(refusalKey{team: other, reason: key.reason}).AddInt64(int64(counter.Get()))
			rw.metrics.UnregisterMetric(key.name())
			delete(rw.refusals, key)
		}
	}
}

// countRefusal counts a refusal in the row of its team. It holds the lock, so that no
// count is lost to a counter that is being folded.
func (rw *rows) countRefusal(team weir.TeamName, reason Reason) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if !rw.teams[team] {
		team = other
	}
	rw.refusalCounter(refusalKey{team: team, reason: reason}).Inc()
}

func (rw *rows) refusalCounter(key refusalKey) *metrics.Counter {
	counter := rw.refusals[key]
	if counter == nil {
		counter = rw.metrics.GetOrCreateCounter(key.name())
		rw.refusals[key] = counter
	}
	return counter
}

// name returns the name of the counter with its labels.
func (rk refusalKey) name() string {
	return fmt.Sprintf(`weir_team_refusals_total{team="%s",reason="%s"}`, escapeLabel(rk.team), rk.reason)
}

// labelEscaper escapes what a label's value must not contain.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabel(team weir.TeamName) string { return labelEscaper.Replace(string(team)) }
