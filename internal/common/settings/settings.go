// Package settings validates the settings of a process and reports all problems
// in one error.
//
// Usage:
//
//	var ck settings.Checks
//	ck.Address("--peer-addr", st.PeerAddr)
//	ck.Range("--retention", st.Retention, time.Minute, 24*time.Hour)
//	return ck.Err()
package settings

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/common/errkind"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that settings are missing or invalid.
const KindInvalid Kind = "settings are not valid"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Checks collects the problems of invalid settings.
type Checks struct {
	problems []string
}

// Problem is the cause of the Error, with one line per problem.
type Problem struct{ lines []string }

// Error implements error.
func (pr *Problem) Error() string { return "\n  " + strings.Join(pr.lines, "\n  ") }

func (ck *Checks) addProblem(flag, format string, args ...any) {
	ck.problems = append(ck.problems, flag+": "+fmt.Sprintf(format, args...))
}

// Err returns all problems as one error, or nil.
func (ck *Checks) Err() error {
	if len(ck.problems) == 0 {
		return nil
	}
	return &Error{Op: "check settings", Kind: KindInvalid, Err: &Problem{lines: ck.problems}}
}

// Name checks that val consists of 1 to 63 lower-case letters, digits and
// hyphens.
func (ck *Checks) Name(flag, val string) {
	if !namePattern.MatchString(val) {
		ck.addProblem(flag, "want a name of 1 to 63 lower-case letters, digits and hyphens, got %q", val)
	}
}

// Address checks that val is an IP address with a port.
func (ck *Checks) Address(flag, val string) {
	host, port, err := net.SplitHostPort(val)
	if err != nil || net.ParseIP(host) == nil {
		ck.addProblem(flag, "want IP:port, got %q", val)
		return
	}
	if num, err := strconv.Atoi(port); err != nil || num < 0 || num > 65535 {
		ck.addProblem(flag, "want a port from 0 to 65535, got %q", port)
	}
}

// Range checks that a duration is between low and high.
func (ck *Checks) Range(flag string, val, low, high time.Duration) {
	if val < low || val > high {
		ck.addProblem(flag, "%s is out of range, want %s to %s", val, low, high)
	}
}

// Count checks that a number is between low and high.
func (ck *Checks) Count(flag string, val, low, high int) {
	if val < low || val > high {
		ck.addProblem(flag, "%d is out of range, want %d to %d", val, low, high)
	}
}

// File checks that a file can be read.
func (ck *Checks) File(flag, path string) {
	if path == "" {
		ck.addProblem(flag, "missing")
		return
	}
	file, err := os.Open(path) //nolint:gosec // the path comes from the operator
	if err != nil {
		ck.addProblem(flag, "%v", err)
		return
	}
	_ = file.Close()
}

// Require checks that a setting is present.
func (ck *Checks) Require(flag string, present bool) {
	if !present {
		ck.addProblem(flag, "missing")
	}
}

// Pair splits a value of the form "name=value".
func (ck *Checks) Pair(flag, val string) (name, rest string) {
	name, rest, ok := strings.Cut(val, "=")
	if !ok || name == "" || rest == "" {
		ck.addProblem(flag, "want name=value, got %q", val)
	}
	return name, rest
}
