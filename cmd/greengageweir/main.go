// Command greengageweir runs the daemons of the fleet: entry instances and
// control processes.
package main

import (
	"os"

	"greengageweir/internal/duty/cli"
)

func main() {
	os.Exit(cli.Run("greengageweir", "Fleet capacity and maintenance manager: its daemons.", []cli.Command{
		{Name: "entry", Short: "Run an entry instance", Data: &entryCommand{}},
		{Name: "control", Short: "Run a control process", Data: &controlCommand{}},
		{Name: "jobs", Short: "Run a process that takes jobs and runs them on task workers", Data: &jobsCommand{}},
		{Name: "check", Short: "Check the platform's settings file", Data: &checkCommand{}},
		{Name: "platform-entry", Short: "Run an entry instance with the platform's settings", Data: &platformEntryCommand{}},
		{Name: "platform-control", Short: "Run a control process with the platform's settings", Data: &platformControlCommand{}},
		{Name: "control-format", Short: "Prepare the data folder of a new cluster's member", Data: &formatCommand{}},
	}))
}
