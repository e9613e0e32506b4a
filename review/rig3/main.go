// Command rig3 plays the clients, workers and platform of the third review's cases
// against the project's own processes. It speaks what the users' protocol page says
// and judges only what crosses its sockets.
//
// Usage:
//
//	rig3 --prepare --dir DIR                              # settings files and addresses of a small deployment
//	rig3 --case NAME --dir DIR --record FILE [--trouble 0] # exit 0 rule held, 1 broken, 2 could not run
package main

import (
	"fmt"
	"os"
	"sort"

	"github.com/jessevdk/go-flags"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

type options struct {
	Prepare bool   `long:"prepare" description:"Write the settings files and exit"`
	Dir     string `long:"dir" required:"true" description:"Folder of the settings files"`
	Case    string `long:"case" description:"Name of the case"`
	Record  string `long:"record" description:"File for the record of what was sent, answered and run"`
	Trouble int    `long:"trouble" default:"1" description:"0 plays the case without its disruption"`
}

// cases holds the cases by name. Each returns the breaks of its rule that it saw, or
// an error if it could not run.
var cases = map[string]func(pl *play) ([]string, error){
	"foreign-beat":   foreignBeat,
	"reborn-noted":   rebornNoted,
	"reborn-late":    rebornLate,
	"restart-crash":  restartCrash,
	"adviser-page":   adviserPage,
	"blocked-upkeep": blockedUpkeep,
	"only-machine":   onlyMachine,
	"dotted-id":      dottedID,
	"late-upkeep":    lateUpkeep,
}

func main() { os.Exit(execute()) }

func execute() int {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		return exitNotRun
	}
	if opt.Prepare {
		if err := prepare(opt.Dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		return exitHeld
	}
	do, ok := cases[opt.Case]
	if !ok {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "cases:", names)
		return exitNotRun
	}
	pl, err := newPlay(opt)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer pl.close()
	breaks, err := do(pl)
	switch {
	case err != nil:
		pl.rec.note("not run: %v", err)
		return exitNotRun
	case len(breaks) > 0:
		for _, what := range breaks {
			pl.rec.note("BROKEN %s", what)
		}
		return exitBroken
	}
	pl.rec.note("the rule held")
	return exitHeld
}
