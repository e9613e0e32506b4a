// Command probe holds the stand-ins of the second review's cases: callers, an
// operator, workers and the platform's machine interface. It starts no process of the
// system; review/fleet-2.sh does, and passes their addresses and the files with their
// process ids.
//
// Usage:
//
//	probe --case crashed-workers --fleet DIR --base 127.40 --record FILE
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("rule broken")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(fl *fleet) error{
	"crashed-workers": crashedWorkers,
	"removed-queue":   removedQueue,
	"dotted-id":       dottedID,
	"many-fields":     manyFields,
	"same-id":         sameID,
	"end-reason":      endReason,
	"replaced-core":   replacedCore,
	"wave-restart":    waveBeforeRestart,
}

func main() {
	name := flag.String("case", "", "case to run")
	dir := flag.String("fleet", "", "folder with the process ids of the fleet")
	base := flag.String("base", "", "first two bytes of the fleet's addresses")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(run(*name, *dir, *base, *path))
}

func run(name, dir, base, path string) int {
	do, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCannotRun
	}
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	fl := newFleet(rec, dir, base, os.Getenv("TROUBLE") != "0")
	defer fl.stop()
	err = fl.start()
	if err == nil {
		err = do(fl)
	}
	switch {
	case errors.Is(err, errBroken):
		rec.log("result", "%v", err)
		return exitBroken
	case err != nil:
		rec.log("result", "could not run: %v", err)
		return exitCannotRun
	}
	rec.log("result", "rule held")
	return exitHeld
}
