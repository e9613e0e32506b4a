// Command weirstandin runs stand-ins for development, tests and demos: simulated
// workers with their platform, callers and network, a check of the callers'
// results against the workers' journals, and capacity measurements.
package main

import (
	"os"

	"greengageweir/internal/common/cli"
)

func main() {
	os.Exit(cli.Run("weirstandin", "Simulated workers, platform, callers and network, and measurements.", []cli.Command{
		{Name: "workers", Short: "Run the workers of one site and their platform", Data: &workersCommand{}},
		{Name: "task-workers", Short: "Run workers that simulate tasks", Data: &taskWorkersCommand{}},
		{Name: "load", Short: "Send a mix of bookings and reads and record the results", Data: &loadCommand{}},
		{Name: "job-load", Short: "Submit jobs as several teams and check the answers", Data: &jobLoadCommand{}},
		{Name: "relay", Short: "Forward connections between zones and cut zones off on request", Data: &relayCommand{}},
		{Name: "peaks", Short: "Compare capacity policies under peaks on the real placement", Data: &peaksCommand{}},
		{Name: "play", Short: "Run a load against the real job scheduler and a simulated fleet", Data: &playCommand{}},
		{Name: "slopes", Short: "Measure how costs grow with size and update docs/CAPACITY.md", Data: &slopesCommand{}},
		{Name: "verify", Short: "Check results and usage against the workers' journals", Data: &verifyCommand{}},
	}))
}
