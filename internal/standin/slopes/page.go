package slopes

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// scale is the size of a deployment and its rate of changes.
type scale struct {
	workers float64
	// entries and members are the numbers of entry and control instances.
	entries float64
	members float64
	// changes (of the configuration), failures and restarts (of workers) are
	// counts per day. Every worker is maintained once in maintenanceDays.
	changes         float64
	failures        float64
	restarts        float64
	maintenanceDays float64
}

// today is the present size, but with the configuration changes of target;
// target is the size that the users plan for.
var (
	today  = scale{workers: 50, entries: 8, members: 3, changes: 17_000, failures: 1, restarts: 11, maintenanceDays: 21}
	target = scale{workers: 25_000, entries: 45, members: 5, changes: 17_000, failures: 260, restarts: 5_500, maintenanceDays: 21}
)

const (
	secondsPerDay = 86_400
	// ledgerKeys is the capacity of the ledger of one zone: 300 keys a second,
	// kept for ten minutes.
	ledgerKeys = 300 * 600
	// usageLimit limits the usage reports per second of the whole fleet.
	usageLimit = 500
	// usageReportBytes and statusBytes are the sizes in the log of a usage
	// report and of a status change of an instance, memberBytes the size of a
	// changed instance in an effect.
	usageReportBytes = 250
	statusBytes      = 200
	memberBytes      = 600
	// snapshotEntries is the number of log entries between two snapshots.
	snapshotEntries = 8192
	// entriesPerZone is the number of entry instances in a zone. The advert rate
	// and fastPeers are those of package mesh.
	entriesPerZone   = 3
	advertsPerSecond = 10
	fastPeers        = 8
)

const (
	markBegin = "<!-- slopes: begin, written by make slopes -->"
	markEnd   = "<!-- slopes: end -->"
)

// tableRow is a row of the table; its fields are the columns.
type tableRow struct{ role, quantity, value, budget, mechanism, state string }

// Table returns the Markdown tables of capacity and slopes for a report.
func Table(rep Report) (string, error) {
	get := &slopeReader{rep: rep}
	now := append(workerRows(get, today), append(entryRows(get, today), controlRows(get, today)...)...)
	then := append(workerRows(get, target), append(entryRows(get, target), controlRows(get, target)...)...)
	if get.err != nil {
		return "", get.err
	}
	return render(rep, now, then), nil
}

// perEntry returns the number of workers per entry instance.
func (sc scale) perEntry() float64 { return sc.workers / sc.entries }

// transitions returns the status changes of instances per second: four for each
// maintenance, two for each failure or restart.
func (sc scale) transitions() float64 {
	return (sc.workers/sc.maintenanceDays*4 + (sc.failures+sc.restarts)*2) / secondsPerDay
}

// usageReports returns the usage reports per second.
func (sc scale) usageReports() float64 { return min(sc.workers, usageLimit) }

// logBytes returns the bytes per second appended to the log; effect is the size
// of a configuration change.
func (sc scale) logBytes(effect float64) float64 {
	return sc.usageReports()*usageReportBytes + sc.transitions()*statusBytes + sc.changes/secondsPerDay*effect
}

// logEntries returns the log entries per second: a usage batch from each entry
// instance, configuration changes, and two entries for each transition.
func (sc scale) logEntries() float64 {
	return sc.entries + sc.changes/secondsPerDay + 2*sc.transitions()
}

// adverts returns the adverts that one entry instance sends per second.
func (sc scale) adverts() float64 {
	near := min(sc.entries, entriesPerZone) - 1
	far := sc.entries - near - 1
	slower := max(1, float64(int(far/fastPeers)))
	return advertsPerSecond * (near + far/slower)
}

func workerRows(get *slopeReader, sc scale) []tableRow {
	micros := get.at("announcement CPU, both ends", sc.perEntry())
	bytes := get.at("announcement bytes, both directions", sc.perEntry())
	return []tableRow{
		{"worker", "announcement, CPU of both ends", fmt.Sprintf("%.3f%% of a core", micros/1e4), "2.2% of a core", "one announcement a second under a 3 s lease", "built"},
		{"worker", "announcement, both directions", fmt.Sprintf("%.2f KB/s", bytes/1000), "4 KB/s", "the same", "built"},
	}
}

func entryRows(get *slopeReader, sc scale) []tableRow {
	micros := get.at("announcement CPU, both ends", sc.perEntry())
	bytes := get.at("announcement bytes, both directions", sc.perEntry())
	effect := get.at("effect of a change, to each listener", sc.workers)
	in := sc.changes/secondsPerDay*effect + sc.transitions()*memberBytes
	return []tableRow{
		{"entry", "announcements of its workers, CPU of both ends", fmt.Sprintf("%.1f%% of a core", sc.perEntry()*micros/1e4), "one core", "workers spread over the entry instances of their zone", "built"},
		{"entry", "announcements, messages and bytes", fmt.Sprintf("%.0f a second, %.0f KB/s", sc.perEntry(), sc.perEntry()*bytes/1000), "-", "the same", "built"},
		{"entry", "heap: view of the fleet, its workers", fmt.Sprintf("%.1f MB", get.at("entry heap, view and announced workers", sc.workers)/1e6), "128 MB", "view of the whole fleet at each entry instance", "built, to be cut to the zone"},
		{"entry", fmt.Sprintf("heap: ledger, %d keys", ledgerKeys), fmt.Sprintf("%.0f MB", get.at("ledger heap", ledgerKeys)/1e6), "128 MB", "three replicas a zone, ten minutes", "built"},
		{"entry", "sweep of leases, 10 a second", fmt.Sprintf("%.2f%% of a core", max(0, get.at("entry sweep of leases", sc.perEntry()))*10/1e4), "one core", "one pass over its own workers", "built"},
		{"entry", "changes and transitions in", fmt.Sprintf("%.3f KB/s", in/1000), "4 KB/s", "deltas from a control member", "built"},
		{"entry", "adverts out, at most", fmt.Sprintf("%.0f a second, %.0f KB/s", sc.adverts(), get.at("advert of free slots", 50)*sc.adverts()/1000), "-", "peers of the zone 10 times a second, others less often the more there are", "built"},
		{"entry", "disk and syncs", "none", "-", "memory and two other replicas", "built"},
	}
}

func controlRows(get *slopeReader, sc scale) []tableRow {
	effect := get.at("effect of a change, to each listener", sc.workers)
	report := get.at("apply usage reports", 1000) / 1000
	listeners := sc.entries / sc.members
	snapshot := get.at("snapshot size", sc.workers)
	perDay := sc.logEntries() * secondsPerDay
	disk := sc.logBytes(effect)*secondsPerDay + perDay/snapshotEntries*snapshot
	return []tableRow{
		{"control leader", "usage reports", fmt.Sprintf("%.0f a second, %.2f%% of a core", sc.usageReports(), sc.usageReports()*report/1e4), "one core", "spaced out to 500 a second for the fleet", "built"},
		{"control leader", "reconciler, 5 steps a second", fmt.Sprintf("%.2f%% of a core", max(0, get.at("reconciler's step", sc.workers))*5/1e4), "one core", "a pass over all members", "built, O(fleet)"},
		{"control leader", "changes of configuration", fmt.Sprintf("%.3f%% of a core", max(0, sc.changes/secondsPerDay*get.at("apply a change of configuration", sc.workers)/1e4)), "one core", "delta; whole check", "built, O(fleet)"},
		{"control leader", "log out to the other members", fmt.Sprintf("%.0f KB/s", sc.logBytes(effect)*(sc.members-1)/1000), "-", "appends; sizes of reports assumed", "built"},
		{"control member", "heap: fleet state", fmt.Sprintf("%.1f MB", get.at("control heap, fleet state", sc.workers)/1e6), "128 MB", "whole state in memory", "built"},
		{"control member", "log entries, syncs at most", fmt.Sprintf("%.0f a second", sc.logEntries()), "-", "one sync for all that waits", "built"},
		{"control member", "written to disk", fmt.Sprintf("%.1f GB a day", disk/1e9), "-", "log and a snapshot every 8,192 entries", "built"},
		{"control member", "snapshot", fmt.Sprintf("%.2f MB", snapshot/1e6), "48 MB a frame", "JSON", "built"},
		{"control member", "log stands still for a snapshot", fmt.Sprintf("%.0f ms", max(0, get.at("snapshot encoding, log stands still", sc.workers))), "500 ms election", "encoded in the log's goroutine", "built, to be moved off it"},
		{"control member", "recovery, 8,192 entries", fmt.Sprintf("%.0f ms", get.at("recovery of the log", snapshotEntries)), "-", "replay behind the snapshot", "built"},
		{"control member", "roll-out to its listeners, both ends", fmt.Sprintf("%.0f listeners, %.2f ms", listeners, get.at("roll-out from one member to all its listeners", listeners)), "16 s everywhere", "each member feeds its share of the entry instances", "built"},
		{"control member", "view snapshot to one listener", fmt.Sprintf("%.2f MB", get.at("view snapshot size", sc.workers)/1e6), "48 MB a frame", "only for who is far behind", "built"},
	}
}

// slopeReader evaluates the slopes of a report and keeps the first error.
type slopeReader struct {
	rep Report
	err error
}

func (sr *slopeReader) at(name string, size float64) float64 {
	sl, err := sr.rep.Get(name)
	if err != nil && sr.err == nil {
		sr.err = err
	}
	return sl.At(size)
}

func render(rep Report, now, then []tableRow) string {
	var sb strings.Builder
	sb.WriteString("Worked out from the slopes below:\n\n")
	sb.WriteString("| role | what | today: 50 workers | 25,000 workers | budget | mechanism | state |\n|---|---|---|---|---|---|---|\n")
	for ix, ln := range then {
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s | %s | %s |\n", ln.role, ln.quantity, now[ix].value, ln.value, ln.budget, ln.mechanism, ln.state)
	}
	fmt.Fprintf(&sb, "\nSlopes, median of %d rounds, lowest and highest round at the largest size, on %s:\n\n", rounds, rep.Machine)
	sb.WriteString("| slope | unit | base | per | slope | largest size | median (low to high) | residual |\n|---|---|---|---|---|---|---|---|\n")
	for _, sl := range rep.Slopes {
		top := sl.Points[len(sl.Points)-1]
		fmt.Fprintf(&sb, "| %s | %s | %.2f | %s | %.5g | %.0f | %.4g (%.4g to %.4g) | %.1f%% |\n",
			sl.Name, sl.Unit, sl.Base, sl.Per, sl.Slope, top.Size, top.Value, top.Low, top.High, 100*sl.Residual)
	}
	return sb.String()
}

// WritePage replaces the text between the markers of the page by the table.
func WritePage(path, table string) error {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return err
	}
	before, _, ok1 := strings.Cut(string(body), markBegin)
	_, rest, ok2 := strings.Cut(string(body), markEnd)
	if !ok1 || !ok2 {
		return errors.Errorf("%s lacks the markers of the table", path)
	}
	text := before + markBegin + "\n\n" + table + "\n" + markEnd + rest
	return os.WriteFile(path, []byte(text), 0o644) //nolint:gosec // a file of the documentation
}

// PageTable returns the text between the markers of the page.
func PageTable(path string) (string, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", err
	}
	_, rest, ok1 := strings.Cut(string(body), markBegin)
	table, _, ok2 := strings.Cut(rest, markEnd)
	if !ok1 || !ok2 {
		return "", errors.Errorf("%s lacks the markers of the table", path)
	}
	return strings.TrimSpace(table), nil
}
