package slopes

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// The target size, from the users' letter 1.
const (
	targetWorkers       = 25_000
	targetChangesPerDay = 17_000
	targetFailures      = 260
	targetRestarts      = 5_500
	maintenanceDays     = 21
	secondsPerDay       = 86_400

	controlMembers = 5
	entryInstances = 45
	usagePerSecond = 500
	// advertsPerSecond counts two peers in the zone and the others.
	advertsPerSecond = 2*10 + (entryInstances-3)*2
	// keysPerSecond is what one zone's ledger is sized for, keysKept what it
	// keeps at that rate for ten minutes, held by three replicas.
	keysPerSecond = 300
	keysKept      = keysPerSecond * 600
)

const (
	markBegin = "<!-- slopes: begin, written by make slopes -->"
	markEnd   = "<!-- slopes: end -->"
)

// line is one line of the table.
type line struct{ role, what, value, budget, mechanism, state string }

// Table returns the capacity table that follows from a report.
func Table(rep Report) (string, error) {
	get := &getter{rep: rep}
	perEntry := float64(targetWorkers) / entryInstances
	announceUS := get.at("announcement CPU, both ends", perEntry)
	announceB := get.at("announcement bytes, both directions", perEntry)
	transitions := float64(targetWorkers)/maintenanceDays/secondsPerDay*4 + float64(targetFailures+targetRestarts)*2/secondsPerDay
	changes := float64(targetChangesPerDay) / secondsPerDay
	effectB := get.at("effect of a change, to each listener", targetWorkers)
	reportUS := get.at("apply usage reports", 1000) / 1000
	lines := []line{
		{"worker", "announcement, both ends", fmt.Sprintf("%.3f%% of a core", announceUS/1e4), "2.2% of a core", "one announcement a second under a 3 s lease", "built"},
		{"worker", "announcement, both directions", fmt.Sprintf("%.2f KB/s", announceB/1000), "4 KB/s", "the same", "built"},
		{"entry", fmt.Sprintf("announcements of %.0f workers, both ends", perEntry), fmt.Sprintf("%.1f%% of a core", perEntry*announceUS/1e4), "one core", "workers spread over the entry instances of their zone", "built"},
		{"entry", "bytes of announcements", fmt.Sprintf("%.0f KB/s", perEntry*announceB/1000), "-", "the same", "built"},
		{"entry", "heap: whole view, its workers", fmt.Sprintf("%.0f MB", get.at("entry heap, view and announced workers", targetWorkers)/1e6), "128 MB", "view of the whole fleet at each entry instance", "built, to be cut to the zone"},
		{"entry", fmt.Sprintf("heap: ledger, %d keys", keysKept), fmt.Sprintf("%.0f MB", get.at("ledger heap", keysKept)/1e6), "128 MB", "three replicas a zone, ten minutes", "built"},
		{"entry", "sweep of leases, 10 a second", fmt.Sprintf("%.2f%% of a core", get.at("entry sweep of leases", perEntry)*10/1e4), "one core", "one pass over its own workers", "built"},
		{"entry", "changes and transitions", fmt.Sprintf("%.2f KB/s", (changes*effectB+transitions*600)/1000), "4 KB/s", "deltas from a control member", "built"},
		{"entry", "adverts to the other entry instances", fmt.Sprintf("%.0f KB/s at most", get.at("advert of free slots", 50)*advertsPerSecond/1000), "-", "two peers of the zone 10 times a second, 42 others twice, when changed", "built"},
		{"control leader", "usage reports", fmt.Sprintf("%.1f%% of a core", usagePerSecond*reportUS/1e4), "one core", fmt.Sprintf("reports spaced out to %d a second for the fleet", usagePerSecond), "built"},
		{"control leader", "reconciler, 5 steps a second", fmt.Sprintf("%.1f%% of a core", get.at("reconciler's step", targetWorkers)*5/1e4), "one core", "a pass over all members", "built, O(fleet)"},
		{"control leader", "changes of configuration", fmt.Sprintf("%.2f%% of a core", changes*get.at("apply a change of configuration", targetWorkers)/1e4), "one core", "delta; whole check", "built, O(fleet)"},
		{"control member", "heap: fleet state", fmt.Sprintf("%.0f MB", get.at("control heap, fleet state", targetWorkers)/1e6), "128 MB", "whole state in memory", "built"},
		{"control member", "snapshot", fmt.Sprintf("%.1f MB", get.at("snapshot size", targetWorkers)/1e6), "48 MB a frame", "JSON, every 8,192 entries", "built"},
		{"control member", "log stands still for a snapshot", fmt.Sprintf("%.0f ms", get.at("snapshot encoding, log stands still", targetWorkers)), "500 ms election", "encoded in the log's goroutine", "built, to be moved off it"},
		{"control member", "recovery, 8,192 entries", fmt.Sprintf("%.0f ms", get.at("recovery of the log", 8192)), "-", "replay behind the snapshot", "built"},
		{"control member", "roll-out to 9 listeners, both ends", fmt.Sprintf("%.2f ms", get.at("roll-out from one member to all its listeners", entryInstances/controlMembers)), "16 s everywhere", "each member feeds its share of the entry instances", "built"},
		{"control member", "view snapshot to one listener", fmt.Sprintf("%.1f MB", get.at("view snapshot size", targetWorkers)/1e6), "48 MB a frame", "only for who is far behind", "built"},
	}
	if get.err != nil {
		return "", get.err
	}
	return render(rep, lines), nil
}

// getter reads slopes and keeps the first error.
type getter struct {
	rep Report
	err error
}

func (ge *getter) at(name string, size float64) float64 {
	sl, err := ge.rep.Get(name)
	if err != nil && ge.err == nil {
		ge.err = err
	}
	return sl.At(size)
}

func render(rep Report, lines []line) string {
	var sb strings.Builder
	sb.WriteString("At the target size, worked out from the slopes below:\n\n")
	sb.WriteString("| role | what | at the target size | budget | mechanism | state |\n|---|---|---|---|---|---|\n")
	for _, ln := range lines {
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s | %s |\n", ln.role, ln.what, ln.value, ln.budget, ln.mechanism, ln.state)
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

// WritePage puts the table between the page's marks.
func WritePage(path, table string) error {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return err
	}
	before, _, ok1 := strings.Cut(string(body), markBegin)
	_, rest, ok2 := strings.Cut(string(body), markEnd)
	if !ok1 || !ok2 {
		return errors.Errorf("%s has no marks for the table", path)
	}
	text := before + markBegin + "\n\n" + table + "\n" + markEnd + rest
	return os.WriteFile(path, []byte(text), 0o644) //nolint:gosec // a page of the docs
}

// PageTable returns what stands between the page's marks.
func PageTable(path string) (string, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", err
	}
	_, rest, ok1 := strings.Cut(string(body), markBegin)
	table, _, ok2 := strings.Cut(rest, markEnd)
	if !ok1 || !ok2 {
		return "", errors.Errorf("%s has no marks for the table", path)
	}
	return strings.TrimSpace(table), nil
}
