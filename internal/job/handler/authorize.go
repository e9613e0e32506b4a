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

// mayAccess reports whether a call of a team to a queue may refer to a job. The team
// is not checked for a job without one, and where the queue needs no key. A public
// queue gives access to its own jobs only: otherwise a caller without a key would
// reach the jobs of all teams through it.
func mayAccess(rd store.Reader, qu catalog.Queue, js *store.JobState, team weir.TeamName) bool {
	switch {
	case js.Spec.Team == "" || !rd.Catalog().RequiresKeys:
		return true
	case qu.Public:
		return js.Spec.Queue == qu.Key()
	}
	return js.Spec.Team == team
}

// callerTeam returns the team whose key a call presents, for logs.
func (sv *Handler) callerTeam(call jobapi.Call) weir.TeamName {
	if call.Key == "" {
		return ""
	}
	var team weir.TeamName
	sv.Store.Read(func(rd store.Reader) { team, _ = rd.TeamForKey(call.Key) })
	return team
}
