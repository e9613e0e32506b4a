// Package catalog defines the operator's configuration of jobs: the queues that
// callers submit jobs to, and the pools whose workers run them.
//
// Usage:
//
//	ct := catalog.Catalog{Version: 7, Queues: queues, Pools: pools, Document: body}
//	err := ct.Check()
//	qu, ok := ct.QueueForPath("pule25.example", "/puxa400/5c0e")
package catalog

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"greengageweir/internal/common/errkind"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that a configuration is invalid and is not applied.
const KindInvalid Kind = "configuration is not valid"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// AdviserSettings describes the adviser of a queue.
type AdviserSettings struct {
	// Base is its response time without any worker, PerWorker the additional
	// time for each worker in a call.
	Base      time.Duration `json:"base,omitempty"`
	PerWorker time.Duration `json:"perWorker,omitempty"`
	// Validity is how long a ticket is valid.
	Validity time.Duration `json:"validity,omitempty"`
}

// Queue is a queue that callers submit jobs to. Callers address it by Host and a
// path with Prefix.
type Queue struct {
	Name   string        `json:"name"`
	Host   string        `json:"host"`
	Prefix string        `json:"prefix"`
	Pool   weir.PoolName `json:"pool"`
	// Timeout is the time limit for one call of a caller.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency that callers accept in addition to Stretch times
	// the duration of the work.
	TargetLatency time.Duration `json:"target"`
	Stretch       float64       `json:"stretch"`
	Priority      int           `json:"priority"`
	MaxAttempts   int           `json:"maxAttempts"`
	// Adviser is set if an adviser decides which workers may run a step.
	Adviser *AdviserSettings `json:"advice,omitempty"`
	// Public queues take calls without a key.
	Public bool `json:"public,omitempty"`
}

// Key identifies the queue across versions of the configuration.
func (qu Queue) Key() string { return qu.Host + qu.Prefix }

// Pool is a set of instances that run the tasks of jobs.
type Pool struct {
	Name weir.PoolName `json:"name"`
	// EnforcesCapacity says that the workers refuse tasks beyond their capacity.
	EnforcesCapacity bool `json:"guards"`
	// Standby pools hold instances that are switched off.
	Standby bool `json:"standby"`
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64   `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	// Teams share the pools. A configuration without teams requires no keys.
	Teams []Team `json:"teams,omitempty"`
	// RequiresKeys says that calls to queues that are not public need the key of a
	// team. KeySalt is the secret of the hashes of all keys in this configuration.
	RequiresKeys bool   `json:"requiresKeys,omitempty"`
	KeySalt      []byte `json:"keySalt,omitempty"`
	// Document is the configuration as the operator wrote it, in JSON, kept to be read
	// back.
	Document []byte `json:"document,omitempty"`
}

// Check returns an error of KindInvalid for the first problem.
func (ct Catalog) Check() error {
	if len(ct.Document) > 0 && (!json.Valid(ct.Document) || !utf8.Valid(ct.Document)) {
		return invalid("document is not one JSON value in UTF-8")
	}
	pools := map[weir.PoolName]bool{}
	for _, po := range ct.Pools {
		if po.Name == "" || pools[po.Name] {
			return invalid("pool %q is unnamed or named twice", po.Name)
		}
		pools[po.Name] = true
	}
	keys := map[string]string{}
	for _, qu := range ct.Queues {
		switch {
		case qu.Host == "" || !strings.HasPrefix(qu.Prefix, "/"):
			return invalid("queue %q has no host or path", qu.Name)
		case !pools[qu.Pool]:
			return invalid("queue %q names the unknown pool %q", qu.Name, qu.Pool)
		case keys[qu.Key()] != "":
			return invalid("queues %q and %q share host and path", keys[qu.Key()], qu.Name)
		case qu.Timeout <= 0:
			return invalid("queue %q has no timeout", qu.Name)
		}
		keys[qu.Key()] = qu.Name + " "
	}
	return checkTeams(ct.Teams)
}

func invalid(format string, args ...any) error {
	return &Error{Op: "check configuration", Kind: KindInvalid, Err: errors.New(fmt.Sprintf(format, args...))}
}

// QueueForPath returns the queue of the host whose prefix is the longest match for
// the path.
func (ct Catalog) QueueForPath(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, qu := range ct.Queues {
		if qu.Host == host && strings.HasPrefix(path, qu.Prefix) && (!found || len(qu.Prefix) > len(best.Prefix)) {
			best, found = qu, true
		}
	}
	return best, found
}

// PoolByName returns the pool with the given name.
func (ct Catalog) PoolByName(name weir.PoolName) (Pool, bool) {
	for _, po := range ct.Pools {
		if po.Name == name {
			return po, true
		}
	}
	return Pool{}, false
}
