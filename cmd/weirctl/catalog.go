package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/config/inspect"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// catalogFileFlags are the flags of commands that inspect a configuration file.
type catalogFileFlags struct {
	File   string `long:"file" required:"true" description:"JSON file with version, queues, pools and teams"`
	Output string `long:"output" env:"WEIR_OUTPUT" default:"table" choice:"table" choice:"json" description:"Output format: one line for each finding, or JSON"`
	Strict bool   `long:"strict" description:"Exit with status 1 on warnings too"`
}

// finish prints the findings and returns an error if they do not pass.
func (cf *catalogFileFlags) finish(list []inspect.Finding, out io.Writer) error {
	if cf.Output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false) // messages contain "->"
		if list == nil {
			list = []inspect.Finding{}
		}
		if err := enc.Encode(list); err != nil {
			return err
		}
	} else {
		for _, fi := range list {
			_, _ = fmt.Fprintln(out, fi)
		}
	}
	failed, warned := inspect.Count(list, inspect.SeverityError), inspect.Count(list, inspect.SeverityWarning)
	if failed > 0 || (cf.Strict && warned > 0) {
		return errors.Errorf("%s: errors %d, warnings %d", cf.File, failed, warned)
	}
	return nil
}

// catalogCheck checks a configuration file without a running process.
type catalogCheck struct {
	catalogFileFlags
	JobCPU      int           `long:"job-cpu" description:"CPU that a usual task requests, in thousandths of a core"`
	JobMemory   int           `long:"job-memory" description:"Memory that a usual task requests, in MB"`
	JobGPU      int           `long:"job-gpu" description:"GPUs that a usual task requests"`
	JobGang     int           `long:"job-gang" default:"1" description:"Tasks of a usual job that start together"`
	JobDuration time.Duration `long:"job-duration" description:"Duration of a usual job: its longest chain of estimates"`
	Workers     int           `long:"workers" default:"1" description:"Workers of a pool that the adviser is asked about"`
}

// Execute implements flags.Commander.
func (cc *catalogCheck) Execute([]string) error {
	for _, fl := range []struct {
		name  string
		value int64
	}{
		{"job-cpu", int64(cc.JobCPU)},
		{"job-memory", int64(cc.JobMemory)},
		{"job-gpu", int64(cc.JobGPU)},
		{"job-gang", int64(cc.JobGang)},
		{"job-duration", int64(cc.JobDuration)},
		{"workers", int64(cc.Workers)},
	} {
		if fl.value < 0 {
			return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--" + fl.name + " must not be negative"}
		}
	}
	text, err := os.ReadFile(cc.File)
	if err != nil {
		return err
	}
	ct, list := inspect.Check(text, inspect.UsualJob{
		Request:  spec.Resources{MilliCPU: cc.JobCPU, MemoryMB: cc.JobMemory, GPU: cc.JobGPU},
		GangSize: cc.JobGang, Duration: cc.JobDuration, Workers: cc.Workers,
	})
	if err := cc.finish(list, os.Stdout); err != nil {
		return err
	}
	if cc.Output != "json" {
		fmt.Printf("ok: version %d, %d queues, %d pools, %d teams\n", ct.Version, len(ct.Queues), len(ct.Pools), len(ct.Teams))
	}
	return nil
}

// catalogDiff compares a configuration file with the version in force or with another
// file.
type catalogDiff struct {
	catalogFileFlags
	Live    bool          `long:"live" description:"Compare with the version in force at --jobs, which is read without keys"`
	Against string        `long:"against" description:"Compare with this file, with keys"`
	Jobs    []string      `long:"jobs" env:"WEIR_JOBS" env-delim:"," description:"Address of a process that accepts jobs; repeat for each"`
	Timeout time.Duration `long:"timeout" env:"WEIR_TIMEOUT" default:"20s" description:"Time limit of a request, including retries"`
}

// Execute implements flags.Commander.
func (cd *catalogDiff) Execute([]string) error {
	switch {
	case cd.Live == (cd.Against != ""):
		return &flags.Error{Type: flags.ErrRequired, Message: "one of --live and --against is required"}
	case cd.Live && len(cd.Jobs) == 0:
		return &flags.Error{Type: flags.ErrRequired, Message: "--live needs --jobs"}
	}
	text, err := os.ReadFile(cd.File)
	if err != nil {
		return err
	}
	next, list := inspect.Check(text, inspect.UsualJob{})
	if inspect.Count(list, inspect.SeverityError) > 0 {
		// Differences from an incomplete configuration would mislead.
		return cd.finish(list, os.Stdout)
	}
	inForce, err := cd.inForce()
	if err != nil {
		return err
	}
	return cd.finish(inspect.Diff(inForce, next, !cd.Live), os.Stdout)
}

// inForce returns the configuration to compare with, without keys if a process sent
// it. Its errors contain no part of the document.
func (cd *catalogDiff) inForce() (jobhttp.Catalog, error) {
	var ct jobhttp.Catalog
	source := cd.Against
	var text []byte
	var err error
	if !cd.Live {
		text, err = os.ReadFile(source)
	} else {
		source = "configuration in force"
		fl := jobFlags{Jobs: cd.Jobs, Timeout: cd.Timeout}
		_, text, err = fl.request(http.MethodGet, "/v1/catalog", nil)
	}
	if err != nil {
		return ct, err
	}
	return ct, errors.Wrap(strictjson.Redact(json.Unmarshal(text, &ct)), source)
}
