package main

import (
	"os"

	"greengageweir/internal/standin/peaks"
)

// peaksCommand measures what a fleet needs when services peak in turn.
type peaksCommand struct{}

// Execute implements flags.Commander.
func (pc *peaksCommand) Execute([]string) error {
	peaks.Print(os.Stdout)
	return nil
}
