package main

import (
	"os"

	"greengageweir/internal/standin/peaks"
)

// peaksCommand measures the fleet size that each policy needs under peaks.
type peaksCommand struct{}

// Execute implements flags.Commander.
func (pc *peaksCommand) Execute([]string) error {
	peaks.Print(os.Stdout)
	return nil
}
