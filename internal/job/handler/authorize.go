package handler

import (
	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// unauthorizedCalls counts the calls without a key of a team.
var unauthorizedCalls = metrics.NewCounter("weir_unauthorized_total")

// authorize returns the team whose key a call to a queue presents, "" if the queue
// needs no key, or the reply if the key belongs to no team. It reads the
// configuration that the leader has applied: a key that a version removes is
// refused from the moment that the version is acknowledged.
func authorize(rd store.Reader, qu catalog.Queue, key auth.Key) (weir.TeamName, *jobapi.Reply) {
	if qu.Public || !rd.Catalog().RequiresKeys {
		return "", nil
	}
	if team, ok := rd.TeamForKey(key); ok && key != "" {
		return team, nil
	}
	unauthorizedCalls.Inc()
	reason := "unknown key"
	if key == "" {
		reason = "a key is required"
	}
	return "", &jobapi.Reply{Outcome: jobapi.Unauthorized, Reason: reason}
}

// mayAccess reports whether a call of a team may refer to a job. Calls to public
// queues have no team and refer to all jobs, as all calls do to a job without one.
func mayAccess(js *store.JobState, team weir.TeamName) bool {
	return team == "" || js.Spec.Team == "" || js.Spec.Team == team
}
