package placement

import (
	"time"

	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 3
	ejectMin        = time.Second
	ejectMax        = 16 * time.Second
	// probeAfter is when an ejected endpoint gets ordinary work again even if
	// no repeatable request came by to probe it.
	probeAfter = 30 * time.Second
)

// worker is an endpoint that is leased to this entry instance.
type worker struct {
	id      weir.InstanceID
	lease   endpoint.Lease
	addr    string
	expires time.Time
	leaving bool
	seen    uint64 // view index that the endpoint has been told of
	service weir.ServiceName
	serving bool
	conns   *httpconn.Pool

	busy int
	// foreign counts requests of earlier owners that are still in flight.
	foreign int
	// reported is the in-flight count of the last announcement.
	reported int

	failures     int
	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	probing      bool
}

// up reports whether the worker counts as available.
func (wk *worker) up(now time.Time) bool {
	return now.Before(wk.expires) && !wk.leaving && !wk.ejected()
}

func (wk *worker) ejected() bool { return !wk.ejectedUntil.IsZero() }

// free returns how many more requests the worker may be given.
func (wk *worker) free(now time.Time, slots int) int {
	if !wk.serving || wk.leaving || !now.Before(wk.expires) {
		return 0
	}
	return max(0, slots-wk.busy-wk.foreign)
}

// takes reports whether an ejected worker may be given this request: one
// repeatable request at a time once its pause is over.
func (wk *worker) takes(now time.Time, repeatable bool) bool {
	if !wk.ejected() {
		return true
	}
	if now.Before(wk.ejectedUntil) || wk.probing {
		return false
	}
	return repeatable || now.Sub(wk.ejectedAt) > probeAfter
}

// Result tells how a request on a slot ended.
type Result int

// The results of a request.
const (
	// Succeeded requests got an answer that is not a server error.
	Succeeded Result = iota
	// Failed requests broke, timed out or got a server error.
	Failed
	// Abandoned requests were given up by their caller and say nothing about
	// the worker.
	Abandoned
)

// settle counts a result and reports whether the worker should be ejected.
func (wk *worker) settle(res Result) bool {
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
	pause := min(ejectMin<<min(wk.ejections, 8), ejectMax)
	wk.ejections++
	wk.ejectedAt = now
	wk.ejectedUntil = now.Add(pause)
}
