// Command greengageweir runs the daemons of the fleet manager: entry instances,
// control processes and processes that accept jobs.
package main

import (
	"os"

	"greengageweir/internal/common/cli"
)

func main() {
	os.Exit(cli.Run("greengageweir", "Daemons of the fleet capacity and maintenance manager.", []cli.Command{
		{Name: "entry", Short: "Run an entry instance", Data: &entryCommand{}},
		{Name: "control", Short: "Run a control process", Data: &controlCommand{}},
		{Name: "jobs", Short: "Run a process that accepts jobs and runs them on task workers", Data: &jobsCommand{}},
		{Name: "check", Short: "Check the platform's settings file", Data: &checkCommand{}},
		{Name: "platform-entry", Short: "Run an entry instance with the platform's settings", Data: &platformEntryCommand{}},
		{Name: "platform-control", Short: "Run a control process with the platform's settings", Data: &platformControlCommand{}},
		{Name: "control-format", Short: "Format the data folder of a member of a new cluster", Data: &formatCommand{}},
	}))
}
