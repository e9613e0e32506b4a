// Command weirctl is the command-line client for operators.
package main

import (
	"os"

	"greengageweir/internal/common/cli"
)

func main() {
	os.Exit(cli.Run("weirctl", "Command-line client for operators of greengageweir.", []cli.Command{
		{Name: "config", Short: "Check, show and change the fleet's configuration", Sub: []cli.Command{
			{Name: "init", Short: "Write an annotated sample configuration", Data: &configInit{}},
			{Name: "check", Short: "Check a base file and its overlays", Data: &configCheck{}},
			{Name: "schema", Short: "Print the JSON Schema of the files", Data: &configSchema{}},
			{Name: "diff", Short: "Show what applying the files would change", Data: &configDiff{}},
			{Name: "render", Short: "Show the configuration as one site sees it", Data: &configRender{}},
			{Name: "apply", Short: "Apply the files", Data: &configApply{}},
			{Name: "status", Short: "Show the configuration number in force at each process", Data: &configStatus{}},
			{Name: "history", Short: "Show the most recent changes", Data: &configHistory{}},
		}},
		{Name: "wave", Short: "Run maintenance waves", Sub: []cli.Command{
			{Name: "start", Short: "Create a wave and start it", Data: &waveStart{}},
			{Name: "list", Short: "Show waves and their progress", Data: &waveList{}},
			{Name: "pause", Short: "Pause a wave", Data: &waveAction{action: "pause"}},
			{Name: "resume", Short: "Resume a paused wave", Data: &waveAction{action: "resume"}},
			{Name: "abort", Short: "Abort a wave", Data: &waveAction{action: "abort"}},
		}},
		{Name: "pool", Short: "Show pools", Sub: []cli.Command{
			{Name: "list", Short: "Show sizes, availability and budgets", Data: &poolList{}},
		}},
		{Name: "instance", Short: "Show and move instances", Sub: []cli.Command{
			{Name: "list", Short: "Show instances, their pools and phases", Data: &instanceList{}},
			{Name: "move", Short: "Move an instance to another pool", Data: &instanceMove{}},
			{Name: "abandon", Short: "Cancel a drain that has not completed", Data: &instanceAbandon{}},
		}},
		{Name: "process", Short: "Manage the list of entry instances", Sub: []cli.Command{
			{Name: "forget", Short: "Remove an entry instance that has stopped for good", Data: &processForget{}},
		}},
		{Name: "job", Short: "Submit, show and cancel jobs", Sub: []cli.Command{
			{Name: "submit", Short: "Submit a job", Data: &jobSubmit{}},
			{Name: "show", Short: "Show a job, or the number of pending jobs of a queue", Data: &jobShow{}},
			{Name: "cancel", Short: "Cancel a job", Data: &jobCancel{}},
		}},
		{Name: "catalog", Short: "Check, show and change queues, pools and teams", Sub: []cli.Command{
			{Name: "check", Short: "Check a file before it is sent: what would be refused (error), has no effect or contradicts (warning); status 1 on errors, with --strict also on warnings", Data: &catalogCheck{}},
			{Name: "diff", Short: "Show what a file would change, against the version in force (without keys) or another file", Data: &catalogDiff{}},
			{Name: "put", Short: "Apply a version", Data: &catalogPut{}},
			{Name: "show", Short: "Show the version in force", Data: &catalogShow{}},
		}},
		{Name: "team", Short: "Show the teams that share the pools", Sub: []cli.Command{
			{Name: "list", Short: "Show weights, use and caps, and numbers of jobs", Data: &teamList{}},
		}},
		{Name: "usage", Short: "Show settled usage", Data: &usageCommand{}},
		{Name: "state", Short: "Inspect one process", Sub: []cli.Command{
			{Name: "dump", Short: "Print the state of a process", Data: &stateDump{}},
			{Name: "log-level", Short: "Change the log level of a process", Data: &stateLevel{}},
		}},
	}))
}
