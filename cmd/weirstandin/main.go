// Command weirstandin runs small stand-ins for development, tests and the
// demo: workers with their platform, callers, and the comparison of what was
// told with what ran.
package main

import (
	"os"

	"greengageweir/internal/common/cli"
)

func main() {
	os.Exit(cli.Run("weirstandin", "Stand-ins for workers, platform and callers.", []cli.Command{
		{Name: "workers", Short: "Run the workers of one site and their platform", Data: &workersCommand{}},
		{Name: "task-workers", Short: "Run workers that pretend to run tasks", Data: &taskWorkersCommand{}},
		{Name: "load", Short: "Send a mix of bookings and reads and record the answers", Data: &loadCommand{}},
		{Name: "relay", Short: "Forward between zones, and cut them off on request", Data: &relayCommand{}},
		{Name: "peaks", Short: "Compare policies for peaks on the real placement", Data: &peaksCommand{}},
		{Name: "play", Short: "Play a load against the real owner of jobs and a stand-in fleet", Data: &playCommand{}},
		{Name: "slopes", Short: "Measure how costs grow with size, for docs/CAPACITY.md", Data: &slopesCommand{}},
		{Name: "verify", Short: "Compare answers and usage with what really ran", Data: &verifyCommand{}},
	}))
}
