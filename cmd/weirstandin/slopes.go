package main

import (
	"fmt"
	"os"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/standin/slopes"
)

// slopesCommand measures slopes and updates the table on the capacity page.
type slopesCommand struct {
	Out  string `long:"out" default:"docs/slopes.json" description:"File for the measured slopes"`
	Page string `long:"page" default:"docs/CAPACITY.md" description:"Page with the table to update"`
	From string `long:"from" description:"Update the page from the file of an earlier run, without measuring"`
}

// Execute implements flags.Commander.
func (sc *slopesCommand) Execute([]string) error {
	rep, err := sc.report()
	if err != nil {
		return err
	}
	table, err := slopes.Table(rep)
	if err != nil {
		return err
	}
	fmt.Print(table)
	return slopes.WritePage(sc.Page, table)
}

// report measures, or reads the report of an earlier run.
func (sc *slopesCommand) report() (slopes.Report, error) {
	if sc.From != "" {
		return slopes.Read(sc.From)
	}
	rep, err := slopes.Measure(clock.System{}, os.Stderr)
	if err != nil {
		return rep, err
	}
	return rep, rep.Write(sc.Out)
}
