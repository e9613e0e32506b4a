// Command reviewstandin starts the system as separate processes on loopback
// addresses, with stand-ins for workers, callers, the operator and the platform,
// and plays one case of the review against it.
//
// Usage, from the root of the repository:
//
//	target/reviewstandin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout ends a case that takes too long.
	caseTimeout = 115 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	what   string
}

type caseFunc func(wd *world, trouble bool) (verdict, error)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run caseFunc, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.add("case begins, with the disruption: %v", trouble)
	wd := &world{rec: rec, jobs: map[string]job{}, active: map[string]map[*worker]int{}, ordered: map[string]bool{}, endedAt: map[string]time.Time{}}
	cl := &cloud{rec: rec, list: func() []map[string]any { return wd.machineList() }}
	addr, err := cl.start()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fl, err := newFleet(rec, addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fl.close()
	wd.fl = fl
	type outcome struct {
		vd  verdict
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		vd, err := run(wd, trouble)
		done <- outcome{vd, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case out := <-done:
		return report(rec, out.vd, out.err)
	case <-signals:
		return report(rec, verdict{}, fmt.Errorf("interrupted"))
	case <-time.After(caseTimeout):
		return report(rec, verdict{}, fmt.Errorf("the case took too long"))
	}
}

func report(rec *record, vd verdict, err error) int {
	code, text := exitHeld, "held: "+vd.what
	switch {
	case err != nil:
		code, text = exitNotRun, "not run: "+err.Error()
	case vd.broken:
		code, text = exitBroken, "broken: "+vd.what
	}
	rec.add("%s", text)
	fmt.Println(text)
	return code
}
