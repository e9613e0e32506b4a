// Package inspect checks a job configuration before it is sent: what the processes
// would refuse, entries without effect, and limits that contradict each other. It also
// compares two configurations. It reads no files and sends no requests, and no finding
// contains a key.
//
// Usage:
//
//	ct, list := inspect.Check(text, inspect.UsualJob{Request: spec.Resources{MilliCPU: 2000}})
//	if inspect.Count(list, inspect.SeverityError) == 0 {
//		list = inspect.Diff(inForce, ct, false)
//	}
package inspect

import (
	"fmt"
	"time"

	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"
)

// Severity says what a finding means for the configuration.
type Severity string

// The severities.
const (
	// SeverityError means that the processes would refuse the configuration, never
	// apply it, or apply other values than it states.
	SeverityError Severity = "error"
	// SeverityWarning means that an entry has no effect, contradicts another one or
	// ends something that callers may rely on.
	SeverityWarning Severity = "warning"
	// SeverityChange is a difference between two configurations.
	SeverityChange Severity = "change"
	// SeverityNote is a limit of the inspection itself.
	SeverityNote Severity = "note"
)

// wholeDocument is the path of findings about the document as a whole.
const wholeDocument = "document"

// Finding is one result of an inspection.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the place in the document, such as queues[3].pool.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding as one line.
func (fi Finding) String() string {
	return fmt.Sprintf("%s %s: %s", fi.Severity, fi.Path, fi.Message)
}

// Count returns how many findings have the severity.
func Count(list []Finding, severity Severity) int {
	count := 0
	for _, fi := range list {
		if fi.Severity == severity {
			count++
		}
	}
	return count
}

// UsualJob describes the jobs that the operator expects. Rules about a field that is
// zero are left out.
type UsualJob struct {
	// Request is what one task requests.
	Request spec.Resources
	// GangSize is how many tasks start together; 0 counts as 1.
	GangSize int
	// Duration is the longest chain of the steps' estimates.
	Duration time.Duration
	// Workers is how many workers of its pool may run a step; 0 counts as 1.
	Workers int
}

// report collects findings.
type report struct{ list []Finding }

func (rp *report) add(severity Severity, path, format string, args ...any) {
	rp.list = append(rp.list, Finding{Severity: severity, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (rp *report) fail(path, format string, args ...any) {
	rp.add(SeverityError, path, format, args...)
}

func (rp *report) warn(path, format string, args ...any) {
	rp.add(SeverityWarning, path, format, args...)
}

// Check returns the configuration and the findings about it, in the order of the
// document's parts. The configuration is incomplete if there are errors.
func Check(text []byte, usual UsualJob) (jobhttp.Catalog, []Finding) {
	rp := &report{}
	ct, ok := rp.decode(text)
	if !ok {
		return ct, rp.list
	}
	if ct.Version < 1 {
		rp.fail("version", "is %d: the processes apply versions from 1 on", ct.Version)
	}
	rp.checkQueues(ct, usual)
	rp.checkPools(ct)
	rp.checkTeams(ct, usual)
	return ct, rp.list
}
