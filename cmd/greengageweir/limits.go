package main

import (
	"net/http"
	"runtime/debug"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/contract/jobapi"

	"github.com/go-kit/log"
)

// limitFlags are the flags of the limits for clients. Processes with the platform's
// settings file derive the same limits from it.
type limitFlags struct {
	MemoryMB       int           `long:"memory-mb" env:"WEIR_MEMORY_MB" description:"Memory of the machine in MiB, from which the limits for clients and the collector's soft limit are derived; 512 and no soft limit if not given"`
	Descriptors    int           `long:"max-descriptors" env:"WEIR_MAX_DESCRIPTORS" description:"Descriptors that the process may open; the system's limit if not given"`
	MaxConnections int           `long:"max-connections" env:"WEIR_MAX_CONNECTIONS" description:"Connections of a listener; derived from memory and descriptors if not given"`
	MaxBodyMB      int           `long:"max-body-mb" env:"WEIR_MAX_BODY_MB" description:"Request bodies in flight in MiB; a quarter of the memory if not given"`
	MinRate        int           `long:"min-rate" env:"WEIR_MIN_RATE" default:"1024" description:"Minimum rate in bytes a second at which clients must send and read"`
	HeaderTimeout  time.Duration `long:"header-timeout" env:"WEIR_HEADER_TIMEOUT" default:"5s" description:"Time for the header of a request"`
	MaxDepth       int           `long:"max-depth" env:"WEIR_MAX_DEPTH" default:"16" description:"Maximum nesting of a JSON body"`
	MaxValues      int           `long:"max-values" env:"WEIR_MAX_VALUES" default:"100000" description:"Maximum number of values in a JSON body"`
}

func (lf *limitFlags) check(ck *settings.Checks) {
	if lf.MemoryMB != 0 {
		ck.Count("--memory-mb", lf.MemoryMB, 32, 1<<20)
	}
	ck.Count("--max-descriptors", lf.Descriptors, 0, 1<<24)
	ck.Count("--max-connections", lf.MaxConnections, 0, 1<<20)
	ck.Count("--max-body-mb", lf.MaxBodyMB, 0, 1<<20)
	ck.Count("--min-rate", lf.MinRate, 1, 1<<20)
	ck.Range("--header-timeout", lf.HeaderTimeout, 100*time.Millisecond, time.Minute)
	ck.Count("--max-depth", lf.MaxDepth, 4, 1000)
	ck.Count("--max-values", lf.MaxValues, 1000, 10_000_000)
}

// process returns the limits that the listeners of the process share, and sets the
// memory limit of the Go runtime if the memory is given.
func (lf *limitFlags) process(lg log.Logger) *admit.Process {
	if lf.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(lf.MemoryMB) * mebibyte))
	}
	return admit.New(admit.Settings{
		MemoryMB: lf.MemoryMB, Descriptors: lf.Descriptors, Connections: lf.MaxConnections, BodyBytes: int64(lf.MaxBodyMB) * mebibyte,
		MinRate: lf.MinRate, HeaderTimeout: lf.HeaderTimeout, MaxDepth: lf.MaxDepth, MaxValues: lf.MaxValues, Logger: lg,
	})
}

// catalogCost returns what the response to a request for the catalog may occupy.
func catalogCost(req *http.Request) int64 {
	if req.Method == http.MethodGet && req.URL.Path == "/v1/catalog" {
		return 4 * mebibyte
	}
	return 0
}

// refusalOutcome returns the outcome of a refused call about jobs. Without one, a client
// would take the refusal for a success.
func refusalOutcome(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return string(jobapi.Invalid)
	}
	return string(jobapi.Unavailable)
}

// maxJobsBody bounds the body of a request to the jobs listener, as jobhttp does.
const maxJobsBody = 8 * mebibyte

// maxOperatorBody bounds the body of a request to the operators' server. It is larger
// than the other limits because a configuration is sent with all its files.
const maxOperatorBody = 32 * mebibyte

// operatorLimits returns the limits of the operators' server. Its configurations have
// more values than callers' bodies; a token is needed to have them decoded.
func operatorLimits(pr *admit.Process) *admit.Listener {
	return &admit.Listener{
		Process: pr, Name: "operators", Connections: pr.ServiceConnections(), MaxBody: maxOperatorBody,
		Cost: func(*http.Request) int64 { return metricsCost },
	}
}
