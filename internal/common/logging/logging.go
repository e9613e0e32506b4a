// Package logging provides the JSON-lines logger of a process, with a level that
// can be changed at run time.
//
// Usage:
//
//	lg, lvl, err := logging.New(os.Stderr, "info", "entry", "shyambazar-1")
//	lvl.Set("debug")
package logging

import (
	"io"
	"sync/atomic"

	"greengageweir/internal/common/errkind"

	"github.com/go-kit/log"
)

// Kind classifies the errors of this package.
type Kind string

// KindLevel means that a level name is unknown.
const KindLevel Kind = "unknown level, one of debug, info, warn, error"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

var levelRanks = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3}

// Level is the minimum level of lines that are written. It is safe for concurrent
// use.
type Level struct{ rank atomic.Int32 }

// Set changes the level. It returns KindLevel for an unknown name.
func (lv *Level) Set(name string) error {
	rank, ok := levelRanks[name]
	if !ok {
		return &Error{Op: "set log level " + name, Kind: KindLevel}
	}
	lv.rank.Store(rank)
	return nil
}

// String returns the name of the level.
func (lv *Level) String() string {
	for name, rank := range levelRanks {
		if rank == lv.rank.Load() {
			return name
		}
	}
	return "unknown"
}

type levelLogger struct {
	next  log.Logger
	level *Level
}

// Log implements log.Logger. Lines whose first key is not "level" count as info.
func (ld *levelLogger) Log(keyvals ...any) error {
	rank := levelRanks["info"]
	if len(keyvals) > 1 && keyvals[0] == "level" {
		if name, ok := keyvals[1].(string); ok {
			rank = levelRanks[name]
		}
	}
	if rank < ld.level.rank.Load() {
		return nil
	}
	return ld.next.Log(keyvals...)
}

// New returns a logger that writes JSON lines with the role and process name, and
// its level.
func New(wr io.Writer, level, role, process string) (log.Logger, *Level, error) {
	lvl := &Level{}
	if err := lvl.Set(level); err != nil {
		return nil, nil, err
	}
	base := log.NewJSONLogger(log.NewSyncWriter(wr))
	base = log.With(base, "time", log.DefaultTimestampUTC, "role", role, "process", process)
	return &levelLogger{next: base, level: lvl}, lvl, nil
}
