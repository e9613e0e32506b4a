// Package verify checks the callers' results and the reported usage against the
// workers' journals.
//
// Usage:
//
//	rep := verify.Compare(results, runs, usage)
//	rep.Print(os.Stdout)
package verify

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"text/tabwriter"
	"time"

	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/standin/load"
	"greengageweir/internal/standin/worker"

	weir "greengageweir"
)

// Report is the result of a comparison. Counts are of requests, except where
// noted.
type Report struct {
	Requests int
	Complete int
	NotRun   int
	Unknown  int
	// Resends counts the attempts beyond the first.
	Resends int
	// RunTwice counts keys that ran more than once, Lost complete responses
	// without a run, and FalseNotRun requests that ran although the caller got
	// the outcome "not run". Wrong counts requests with a wrong response, see
	// load.Result.
	RunTwice    int
	Lost        int
	FalseNotRun int
	Wrong       int
	// Interrupted counts planned stops that interrupted requests in flight.
	Interrupted int
	// FirstP50 and FirstP99 are response times of requests that got a complete
	// response at the first attempt.
	FirstP50 time.Duration
	FirstP99 time.Duration

	// Reasons counts the requests without a complete response by reason.
	Reasons map[string]int

	// Ran is the usage according to the journals, Reported that in the usage
	// reports.
	Ran       fsm.UsageTotals
	Reported  fsm.UsageTotals
	HaveUsage bool
}

// ReadRuns reads all journals in a directory.
func ReadRuns(dir string) ([]worker.Run, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.journal"))
	if err != nil {
		return nil, err
	}
	var runs []worker.Run
	for _, path := range paths {
		part, err := readLines[worker.Run](path)
		if err != nil {
			return nil, err
		}
		runs = append(runs, part...)
	}
	return runs, nil
}

func readLines[T any](path string) ([]T, error) {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var list []T
	scan := bufio.NewScanner(file)
	for scan.Scan() {
		var item T
		if err := json.Unmarshal(scan.Bytes(), &item); err != nil {
			return nil, err
		}
		list = append(list, item)
	}
	return list, scan.Err()
}

// Compare compares results and usage with the journals. A nil usage is not
// compared.
func Compare(results []load.Result, runs []worker.Run, usage []fsm.UsageLine) Report {
	rep := Report{Requests: len(results), HaveUsage: usage != nil, Reasons: map[string]int{}}
	counts := map[string]int{}
	for _, rn := range runs {
		rep.addRun(rn, counts)
	}
	var firstTries []time.Duration
	for _, res := range results {
		rep.addResult(res, counts)
		if res.Outcome == weir.Complete && res.Tries == 1 {
			firstTries = append(firstTries, res.FirstTook)
		}
	}
	for _, count := range counts {
		if count > 1 {
			rep.RunTwice++
		}
	}
	for _, line := range usage {
		rep.Reported.Done += line.Done
		rep.Reported.Failed += line.Failed
		rep.Reported.BusyMillis += line.BusyMillis
	}
	rep.FirstP50, rep.FirstP99 = quantile(firstTries, 0.5), quantile(firstTries, 0.99)
	return rep
}

func (rp *Report) addRun(rn worker.Run, counts map[string]int) {
	if rn.Cut {
		rp.Interrupted++
		return
	}
	if rn.Key != "" {
		counts[rn.Key]++
	}
	if rn.Failed {
		rp.Ran.Failed++
	} else {
		rp.Ran.Done++
	}
	rp.Ran.BusyMillis += rn.BusyMillis
}

func (rp *Report) addResult(res load.Result, counts map[string]int) {
	rp.Resends += res.Tries - 1
	if res.Wrong {
		rp.Wrong++
	}
	if res.Outcome != weir.Complete {
		rp.Reasons[string(res.Outcome)+": "+res.Reason]++
	}
	switch res.Outcome {
	case weir.Complete:
		rp.Complete++
		if res.Key != "" && counts[res.Key] == 0 {
			rp.Lost++
		}
	case weir.NotRun:
		rp.NotRun++
		if res.Key != "" && counts[res.Key] > 0 {
			rp.FalseNotRun++
		}
	case weir.Unknown:
		rp.Unknown++
	}
}

func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(a, b int) bool { return list[a] < list[b] })
	return list[int(share*float64(len(list)-1))]
}

// Problem returns the first failed check, or "" if all passed.
func (rp *Report) Problem() string {
	switch {
	case rp.Requests == 0 || rp.Complete == 0:
		return "no request got a whole answer"
	case rp.RunTwice > 0:
		return fmt.Sprintf("%d bookings ran twice", rp.RunTwice)
	case rp.Lost > 0:
		return fmt.Sprintf("%d bookings lost", rp.Lost)
	case rp.FalseNotRun > 0:
		return fmt.Sprintf("%d bookings ran though the caller was told not", rp.FalseNotRun)
	case rp.Wrong > 0:
		return fmt.Sprintf("%d wrong answers", rp.Wrong)
	case rp.Interrupted > 0:
		return fmt.Sprintf("%d planned stops cut work in flight", rp.Interrupted)
	case rp.HaveUsage && rp.Ran != rp.Reported:
		return fmt.Sprintf("usage reported %+v, really ran %+v", rp.Reported, rp.Ran)
	}
	return ""
}

// Print writes the report as a table.
func (rp *Report) Print(wr io.Writer) {
	tab := tabwriter.NewWriter(wr, 0, 8, 2, ' ', 0)
	rows := []struct {
		name string
		val  any
	}{
		{"requests", rp.Requests},
		{"whole answers", rp.Complete},
		{"not run", rp.NotRun},
		{"unknown", rp.Unknown},
		{"resends by callers", rp.Resends},
		{"run twice", rp.RunTwice},
		{"lost", rp.Lost},
		{"told not run, but ran", rp.FalseNotRun},
		{"wrong answers", rp.Wrong},
		{"cut by planned stops", rp.Interrupted},
		{"first try p50 / p99", fmt.Sprintf("%s / %s", rp.FirstP50.Round(100*time.Microsecond), rp.FirstP99.Round(100*time.Microsecond))},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(tab, "%s\t%v\n", row.name, row.val)
	}
	for reason, count := range rp.Reasons {
		_, _ = fmt.Fprintf(tab, "  %s\t%d\n", reason, count)
	}
	if rp.HaveUsage {
		_, _ = fmt.Fprintf(tab, "usage reported\t%d tasks, %d failed, %d ms\n", rp.Reported.Done, rp.Reported.Failed, rp.Reported.BusyMillis)
		_, _ = fmt.Fprintf(tab, "usage really run\t%d tasks, %d failed, %d ms\n", rp.Ran.Done, rp.Ran.Failed, rp.Ran.BusyMillis)
	}
	_ = tab.Flush()
}
