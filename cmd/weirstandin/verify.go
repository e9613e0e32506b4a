package main

import (
	"encoding/json"
	"os"

	"greengageweir/internal/contract/operator"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/standin/load"
	"greengageweir/internal/standin/verify"

	"github.com/pkg/errors"
)

// verifyCommand checks results and usage against the journals. It fails if a
// check does.
type verifyCommand struct {
	Results  string `long:"results" required:"true" description:"Results file written by the load command"`
	Journals string `long:"journals" required:"true" description:"Folder with the workers' journals"`
	Usage    string `long:"usage" description:"Output of weirctl usage --output json"`
}

// Execute implements flags.Commander.
func (vc *verifyCommand) Execute([]string) error {
	var results []load.Result
	if err := readJSON(vc.Results, &results); err != nil {
		return err
	}
	runs, err := verify.ReadRuns(vc.Journals)
	if err != nil {
		return err
	}
	var usage []fsm.UsageLine
	if vc.Usage != "" {
		var ans operator.UsageResponse
		if err := readJSON(vc.Usage, &ans); err != nil {
			return err
		}
		usage = append([]fsm.UsageLine{}, ans.Lines...)
	}
	rep := verify.Compare(results, runs, usage)
	rep.Print(os.Stdout)
	if problem := rep.Problem(); problem != "" {
		return errors.New(problem)
	}
	return nil
}

func readJSON(path string, into any) error {
	body, err := os.ReadFile(path) //nolint:gosec // path from a flag
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
