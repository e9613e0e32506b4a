package session

import (
	"time"

	weir "greengageweir"
)

// decision is the action to take for one run.
type decision int

const (
	// decisionWait means that nothing is to be done yet.
	decisionWait decision = iota
	// decisionRefused means that the run certainly never started.
	decisionRefused
	// decisionLost means that the run is over and the worker lists no end of it.
	decisionLost
	// decisionStop means that the run must be stopped.
	decisionStop
)

// decide returns the decision for a run that is placed at the worker and whose
// end is not listed:
//
//   - start refused or never sent: the run never started;
//   - listed as running: it is kept if it is wanted, else stopped;
//   - not listed in a report that was requested after the worker confirmed the
//     start or stop, or after it listed the run: the run is over. Responses may
//     arrive out of order, so a report requested earlier proves nothing;
//   - no report yet, or the start order is in flight: wait;
//   - otherwise the state is unknown: stop the run by its number, after which
//     the worker refuses to start it.
func decide(now time.Time, rn runState, last report, listed, wanted bool) decision {
	switch {
	case rn.notSent:
		return decisionRefused
	case rn.refusal == weir.RefusedIncarnation || rn.refusal == weir.RefusedFenced:
		// The order was for an earlier incarnation or from an earlier leader.
		// The caller handles both cases.
		return decisionWait
	case rn.refusal != weir.RefusedNone:
		return decisionRefused
	case listed && wanted:
		return decisionWait
	case listed:
		return decisionStop
	}
	if last.sentAt.IsZero() {
		// No report has arrived yet.
		return decisionWait
	}
	after := func(moment time.Time) bool {
		return !moment.IsZero() && last.sentAt.After(moment) && last.complete
	}
	switch {
	case after(rn.stopAckedAt):
		return decisionLost
	case after(rn.listedAt), rn.listedAt.IsZero() && after(rn.answeredAt):
		return decisionLost
	case !wanted:
		return decisionStop
	case !rn.listedAt.IsZero():
		return decisionWait
	case rn.answeredAt.IsZero() && !rn.sentAt.IsZero() && now.Sub(rn.sentAt) < 2*orderTimeout:
		return decisionWait
	case !rn.answeredAt.IsZero():
		return decisionWait
	default:
		return decisionStop
	}
}
