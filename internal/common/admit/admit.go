// Package admit bounds what clients of a process's HTTP listeners can make it hold:
// connections, bytes of bodies in flight, slow transfers and the number of values in
// a JSON body. A request is admitted before its handler starts, with its whole body,
// or refused; a refusal means that nothing ran.
//
// Usage:
//
//	pr := admit.New(admit.Settings{MemoryMB: 184, Descriptors: 4100, Logger: lg})
//	ls := &admit.Listener{Process: pr, Name: "callers", Connections: pr.MaxConnections(), MaxBody: 256 << 10, JSON: true}
//	lis = ls.Attach(server, lis) // wraps the server's handler
//	go server.Serve(lis)
//
//	body, err := admit.ReadBody(req, limit) // in a handler, without a copy
package admit

import (
	"fmt"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/clock"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	weir "greengageweir"
)

// Reason tells which limit a refused client met.
type Reason string

// The reasons of refusals.
const (
	// Connections means that the listener has no connection left.
	Connections Reason = "connections"
	// Address means that the client's address has used up its share of connections.
	Address Reason = "address"
	// Bytes means that the bodies in flight use up the process's budget.
	Bytes Reason = "bytes"
	// SlowHeader, SlowBody and SlowReader mean that a client sent or read too slowly.
	SlowHeader Reason = "slowHeader"
	SlowBody   Reason = "slowBody"
	SlowReader Reason = "slowReader"
	// Body means that a body is over the listener's limit.
	Body Reason = "body"
	// Fields means that a JSON body has too many values or is nested too deeply.
	Fields Reason = "fields"
)

var reasons = []Reason{Connections, Address, Bytes, SlowHeader, SlowBody, SlowReader, Body, Fields}

const (
	// defaultMemoryMB is the memory that the limits are derived from if the settings
	// name none.
	defaultMemoryMB = 512
	// maxDescriptors bounds the descriptors that the limits are derived from if the
	// settings name none and the machine allows more.
	maxDescriptors = 1 << 16
	mebibyte       = 1 << 20
	// bytesShare is the divisor of the memory that bodies in flight may use. Base
	// use, connections, links and the collector's headroom need the rest.
	bytesShare = 4
	// largeShare is the share of the budget, in quarters, that is open to bodies above
	// smallBody. The rest is kept for ordinary requests while large bodies stall.
	largeShare = 3
	smallBody  = 16 << 10
	// connectionsPerMB bounds connections by memory: one with a half-sent header of
	// 16 KiB holds about 40 KiB.
	connectionsPerMB = 10
	// serviceDivisor is the divisor of the descriptors that readiness and metrics get
	// for connections of their own.
	serviceDivisor = 32
	// linkDivisor is the divisor of the descriptors that links between processes may
	// take; minLinks is enough for a fleet of a few dozen processes.
	linkDivisor = 8
	minLinks    = 64
	// defaultMinRate is less than a hundredth of the callers' slowest documented link
	// of 2 Mbit/s.
	defaultMinRate = 1 << 10
)

// Settings are the machine's limits. Zero values select defaults.
type Settings struct {
	MemoryMB    int
	Descriptors int
	// Connections overrides the maximum number of callers' connections that is
	// derived from MemoryMB and Descriptors.
	Connections int
	// BodyBytes overrides the budget for bodies in flight.
	BodyBytes int64
	// HeaderTimeout is the time for a request's header; 0 keeps the server's.
	HeaderTimeout time.Duration
	// MinRate is the minimum rate of a body or a response, in bytes a second.
	MinRate int
	// MaxDepth and MaxValues bound the nesting and the number of values of a JSON body.
	MaxDepth  int
	MaxValues int
	Clock     weir.Clock
	Logger    log.Logger
}

// Process holds the limits that the listeners of a process share.
type Process struct {
	settings Settings
	inUse    atomic.Int64
	// logged holds the time of the last log line of each reason, in nanoseconds.
	logged map[Reason]*atomic.Int64
}

// New returns the limits of a process.
func New(st Settings) *Process {
	if st.MemoryMB <= 0 {
		st.MemoryMB = defaultMemoryMB
	}
	if st.Descriptors <= 0 {
		st.Descriptors = availableDescriptors()
	}
	if st.Connections <= 0 {
		st.Connections = max(1, min(st.Descriptors*5/8, st.MemoryMB*connectionsPerMB))
	}
	if st.BodyBytes <= 0 {
		st.BodyBytes = int64(st.MemoryMB) * mebibyte / bytesShare
	}
	if st.MinRate <= 0 {
		st.MinRate = defaultMinRate
	}
	if st.MaxDepth <= 0 {
		st.MaxDepth = defaultMaxDepth
	}
	if st.MaxValues <= 0 {
		st.MaxValues = defaultMaxValues
	}
	if st.Clock == nil {
		st.Clock = clock.System{}
	}
	if st.Logger == nil {
		st.Logger = log.NewNopLogger()
	}
	pr := &Process{settings: st, logged: map[Reason]*atomic.Int64{}}
	for _, rs := range reasons {
		pr.logged[rs] = &atomic.Int64{}
	}
	return pr
}

func availableDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// MaxConnections is the maximum number of connections of a listener that clients in
// general use. Five eighths of the descriptors at most: links, workers and files need
// the others.
func (pr *Process) MaxConnections() int { return pr.settings.Connections }

// ServiceConnections is the maximum number of connections of a listener for
// readiness or metrics. Other listeners cannot use them up.
func (pr *Process) ServiceConnections() int {
	return max(16, pr.settings.Descriptors/serviceDivisor)
}

// MaxLinks is the maximum number of links that other processes may open.
func (pr *Process) MaxLinks() int { return max(minLinks, pr.settings.Descriptors/linkDivisor) }

// InUse returns the bytes that are reserved.
func (pr *Process) InUse() int64 { return pr.inUse.Load() }

// reserve reserves bytes of the budget and reports whether they are available.
// Requests above smallBody cannot use the last quarter.
func (pr *Process) reserve(size int64, large bool) bool {
	limit := pr.settings.BodyBytes
	if large {
		limit = limit / 4 * largeShare
	}
	if pr.inUse.Add(size) > limit {
		pr.inUse.Add(-size)
		return false
	}
	return true
}

func (pr *Process) release(size int64) { pr.inUse.Add(-size) }

// logInterval is the minimum time between two log lines of a reason.
const logInterval = time.Second

// logRefusal logs a refusal unless the reason has been logged within logInterval.
func (pr *Process) logRefusal(now time.Time, listener string, rs Reason, from string) {
	last := pr.logged[rs]
	before := last.Load()
	if now.UnixNano()-before < int64(logInterval) || !last.CompareAndSwap(before, now.UnixNano()) {
		return
	}
	_ = pr.settings.Logger.Log("level", "warn", "msg", "client refused", "listener", listener, "reason", string(rs), "from", from, "bytes", pr.InUse())
}

// refusalCounter returns the counter of a listener's refusals for a reason.
func refusalCounter(listener string, rs Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`weir_client_refusals_total{listener=%q,reason=%q}`, listener, rs))
}
