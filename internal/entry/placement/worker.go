package placement

import (
	"time"

	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an
	// endpoint.
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 16 * time.Second
	// maxProbeWait is the time after which an ejected endpoint may be probed
	// with any request, if no repeatable request has probed it before.
	maxProbeWait = 30 * time.Second
)

// worker is an endpoint that is leased to this entry instance.
type worker struct {
	id       weir.InstanceID
	lease    endpoint.Lease
	addr     string
	expires  time.Time
	leaving  bool
	seenView uint64 // highest view index that the endpoint has received
	service  weir.ServiceName
	serving  bool
	conns    *httpconn.Pool

	busy int
	// foreign is the number of requests in flight that entry instances which
	// held the endpoint earlier have sent.
	foreign int
	// reportedInFlight is the number of requests in flight in the last
	// announcement.
	reportedInFlight int

	failures     int
	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	probing      bool
}

// up reports whether the worker counts as available in reports to the leader.
func (wk *worker) up(now time.Time) bool {
	return now.Before(wk.expires) && !wk.leaving && !wk.ejected()
}

func (wk *worker) ejected() bool { return !wk.ejectedUntil.IsZero() }

// free returns the number of free slots of the worker: none if it is not
// serving, is leaving or its lease has expired.
func (wk *worker) free(now time.Time, slots int) int {
	if !wk.serving || wk.leaving || !now.Before(wk.expires) {
		return 0
	}
	return max(0, slots-wk.busy-wk.foreign)
}

// accepts reports whether the worker may be given a request. An ejected worker
// is probed with one request at a time once the ejection is over: a repeatable
// one, or after maxProbeWait any.
func (wk *worker) accepts(now time.Time, repeatable bool) bool {
	if !wk.ejected() {
		return true
	}
	if now.Before(wk.ejectedUntil) || wk.probing {
		return false
	}
	return repeatable || now.Sub(wk.ejectedAt) > maxProbeWait
}

// Result is the outcome of a request on a slot, as it counts for the endpoint.
type Result int

// The results of a request.
const (
	// Succeeded requests got a response that is not a server error.
	Succeeded Result = iota
	// Failed requests lost their connection, timed out or got a server error.
	Failed
	// Abandoned requests say nothing about the health of the endpoint, such as
	// one that it refused.
	Abandoned
)

// recordResult counts a result and reports whether the worker should be
// ejected.
func (wk *worker) recordResult(res Result) bool {
	wk.probing = false
	switch res {
	case Succeeded:
		wk.failures = 0
		wk.ejections = 0
		wk.ejectedUntil = time.Time{}
	case Failed:
		wk.failures++
		return wk.ejected() || wk.failures >= failuresToEject
	case Abandoned:
	}
	return false
}

func (wk *worker) eject(now time.Time) {
	pause := min(minEjection<<min(wk.ejections, 8), maxEjection)
	wk.ejections++
	wk.ejectedAt = now
	wk.ejectedUntil = now.Add(pause)
}
