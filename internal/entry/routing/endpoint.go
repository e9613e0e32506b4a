package routing

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

// leasedEndpoint is the state of an endpoint that is leased to this entry
// instance.
type leasedEndpoint struct {
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

// up reports whether the endpoint counts as available in reports to the leader.
func (ep *leasedEndpoint) up(now time.Time) bool {
	return now.Before(ep.expires) && !ep.leaving && !ep.ejected()
}

func (ep *leasedEndpoint) ejected() bool { return !ep.ejectedUntil.IsZero() }

// free returns the number of free slots of the endpoint: none if the view gives
// it no work, it is leaving or its lease has expired.
func (ep *leasedEndpoint) free(now time.Time, slots int) int {
	if !ep.serving || ep.leaving || !now.Before(ep.expires) {
		return 0
	}
	return max(0, slots-ep.busy-ep.foreign)
}

// accepts reports whether the endpoint may be given a request. An ejected one
// is probed with one request at a time once the ejection is over: a repeatable
// request, or after maxProbeWait any.
func (ep *leasedEndpoint) accepts(now time.Time, repeatable bool) bool {
	if !ep.ejected() {
		return true
	}
	if now.Before(ep.ejectedUntil) || ep.probing {
		return false
	}
	return repeatable || now.Sub(ep.ejectedAt) > maxProbeWait
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

// recordResult counts a result and reports whether the endpoint should be
// ejected.
func (ep *leasedEndpoint) recordResult(res Result) bool {
	ep.probing = false
	switch res {
	case Succeeded:
		ep.failures = 0
		ep.ejections = 0
		ep.ejectedUntil = time.Time{}
	case Failed:
		ep.failures++
		return ep.ejected() || ep.failures >= failuresToEject
	case Abandoned:
	}
	return false
}

func (ep *leasedEndpoint) eject(now time.Time) {
	pause := min(minEjection<<min(ep.ejections, 8), maxEjection)
	ep.ejections++
	ep.ejectedAt = now
	ep.ejectedUntil = now.Add(pause)
}
