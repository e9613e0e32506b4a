package session

import (
	"time"

	weir "greengageweir"
)

// verdict is what is to be done about one run.
type verdict int

const (
	// verdictWait leaves the run as it is.
	verdictWait verdict = iota
	// verdictRefused says that the run certainly never started.
	verdictRefused
	// verdictLost says that the run is over and left no end.
	verdictLost
	// verdictStop says that the run is to be stopped.
	verdictStop
)

// decide holds the rules for a run that the state places at the worker and
// whose end is not listed:
//
//   - refused or never sent: it never started;
//   - listed: it runs, and is stopped if it is not wanted;
//   - not listed by a report that was asked for after the worker had confirmed
//     its start or its stop, or had listed it: it is over. Answers may overtake
//     each other, so an earlier question proves nothing;
//   - no report yet, or start under way: wait;
//   - else nobody knows: stop it by number, after which the worker refuses it.
func decide(now time.Time, rn run, last report, listed, wanted bool) verdict {
	switch {
	case rn.dropped:
		return verdictRefused
	case rn.refusal == weir.RefusedIncarnation || rn.refusal == weir.RefusedFenced:
		// The order was for a life or a leader that is no more; what follows
		// from that is decided elsewhere.
		return verdictWait
	case rn.refusal != weir.RefusedNone:
		return verdictRefused
	case listed && wanted:
		return verdictWait
	case listed:
		return verdictStop
	}
	if last.sentAt.IsZero() {
		// Nothing is known of the worker yet, but what it was told.
		return verdictWait
	}
	after := func(moment time.Time) bool {
		return !moment.IsZero() && last.sentAt.After(moment) && last.whole
	}
	switch {
	case after(rn.stopAcked):
		return verdictLost
	case after(rn.listedAt), rn.listedAt.IsZero() && after(rn.answered):
		return verdictLost
	case !wanted:
		return verdictStop
	case !rn.listedAt.IsZero():
		return verdictWait
	case rn.answered.IsZero() && !rn.sentAt.IsZero() && now.Sub(rn.sentAt) < 2*orderTimeout:
		return verdictWait
	case !rn.answered.IsZero():
		return verdictWait
	default:
		return verdictStop
	}
}
