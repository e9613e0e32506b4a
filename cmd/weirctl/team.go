package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"greengageweir/internal/contract/jobhttp"
)

// teamList shows the teams and what they use.
type teamList struct {
	jobFlags
	Output string `long:"output" env:"WEIR_OUTPUT" default:"table" choice:"table" choice:"json" description:"Output format"`
}

// Execute implements flags.Commander.
func (tl *teamList) Execute([]string) error {
	_, text, err := tl.request(http.MethodGet, "/v1/teams", nil)
	if err != nil {
		return err
	}
	var list jobhttp.TeamList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	if tl.Output == "json" {
		return printJSON(list.Teams)
	}
	printTable("TEAM WEIGHT CPU MEMORY GPU PENDING RUNNING CONFIGURED", teamRows(list))
	return nil
}

// teamRows returns the rows of the table; a resource is shown as "use/cap".
func teamRows(list jobhttp.TeamList) [][]string {
	var rows [][]string
	for _, tm := range list.Teams {
		rows = append(rows, []string{
			string(tm.Name), strconv.FormatFloat(tm.Weight, 'g', -1, 64), useOfCap(tm.Use.MilliCPU, tm.Cap.MilliCPU, "m"),
			useOfCap(tm.Use.MemoryMB, tm.Cap.MemoryMB, "MB"), useOfCap(tm.Use.GPU, tm.Cap.GPU, ""),
			strconv.Itoa(tm.PendingJobs), strconv.Itoa(tm.RunningJobs), strconv.FormatBool(!tm.Removed),
		})
	}
	return rows
}

// useOfCap returns "use/cap" with a unit; a cap of 0 is no limit.
func useOfCap(use, limit int, unit string) string {
	if limit == 0 {
		return fmt.Sprintf("%d%s/-", use, unit)
	}
	return fmt.Sprintf("%d/%d%s", use, limit, unit)
}
