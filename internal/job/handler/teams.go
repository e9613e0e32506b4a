package handler

import (
	"cmp"
	"slices"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// listTeams returns the teams of the configuration, and those that are no longer in
// it but still have jobs or runs.
func (sv *Handler) listTeams() jobapi.Reply {
	rep := jobapi.Reply{Outcome: jobapi.OK}
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		if ct.Version == 0 {
			rep = noCatalog
			return
		}
		teams := map[weir.TeamName]*jobapi.TeamStatus{}
		for _, tm := range ct.Teams {
			teams[tm.Name] = &jobapi.TeamStatus{Name: tm.Name, Weight: tm.Weight, Cap: tm.Cap}
		}
		rd.EachActiveJob(func(js *store.JobState) {
			name := js.Spec.Team
			if name == "" {
				return
			}
			if teams[name] == nil {
				teams[name] = &jobapi.TeamStatus{Name: name, Removed: true}
			}
			switch {
			case js.Placed > 0:
				teams[name].RunningJobs++
			case !js.Phase.Terminal():
				teams[name].PendingJobs++
			}
		})
		for name, tm := range teams {
			tm.Use = rd.TeamUse(name)
			rep.Teams = append(rep.Teams, *tm)
		}
	})
	slices.SortFunc(rep.Teams, func(a, b jobapi.TeamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return rep
}
