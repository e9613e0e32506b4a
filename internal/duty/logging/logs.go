// Package logs builds the JSON-lines logger of a process, with a level that
// can be changed while it runs.
//
// Usage:
//
//	lg, lvl := logs.New(os.Stderr, "info", "entry", "shyambazar-1")
//	lvl.Set("debug")
package logging

import (
	"io"
	"sync/atomic"

	"greengageweir/internal/duty/errkind"

	"github.com/go-kit/log"
)

// Kind tells the errors of this package apart.
type Kind string

// KindLevel is an unknown level name.
const KindLevel Kind = "unknown level, one of debug, info, warn, error"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

var ranks = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3}

// Level is the lowest level that is written.
type Level struct{ rank atomic.Int32 }

// Set changes the level.
func (lv *Level) Set(name string) error {
	rank, ok := ranks[name]
	if !ok {
		return &Error{Op: "set log level " + name, Kind: KindLevel}
	}
	lv.rank.Store(rank)
	return nil
}

// String returns the name of the level.
func (lv *Level) String() string {
	for name, rank := range ranks {
		if rank == lv.rank.Load() {
			return name
		}
	}
	return "unknown"
}

type leveled struct {
	next  log.Logger
	level *Level
}

// Log implements log.Logger; lines without a level count as info.
func (ld *leveled) Log(keyvals ...any) error {
	rank := ranks["info"]
	if len(keyvals) > 1 && keyvals[0] == "level" {
		if name, ok := keyvals[1].(string); ok {
			rank = ranks[name]
		}
	}
	if rank < ld.level.rank.Load() {
		return nil
	}
	return ld.next.Log(keyvals...)
}

// New returns a logger that writes JSON lines with the role and process name.
func New(wr io.Writer, level, role, process string) (log.Logger, *Level, error) {
	lvl := &Level{}
	if err := lvl.Set(level); err != nil {
		return nil, nil, err
	}
	base := log.NewJSONLogger(log.NewSyncWriter(wr))
	base = log.With(base, "time", log.DefaultTimestampUTC, "role", role, "process", process)
	return &leveled{next: base, level: lvl}, lvl, nil
}
