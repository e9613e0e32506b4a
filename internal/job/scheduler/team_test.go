package scheduler

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

// teams puts a configuration with the given teams in force.
func (sp *stepped) teams(version int64, teams ...catalog.Team) {
	var ct catalog.Catalog
	sp.sc.Store.Read(func(rd store.Reader) { ct = rd.Catalog() })
	ct.Version, ct.Teams = version, teams
	packed, err := ct.Pack()
	require.NoError(sp.t, err)
	sp.apply(store.Change{Catalog: packed})
}

func (sp *stepped) submitTeam(id weir.JobID, team weir.TeamName, tasks int) {
	sp.apply(store.Change{Submit: &spec.Job{ID: id, Queue: "h/q/", Team: team, Steps: []spec.Step{{
		Count: tasks, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second,
	}}}})
}

// placed returns how many tasks of each job are on workers.
func (sp *stepped) placed() map[weir.JobID]int {
	out := map[weir.JobID]int{}
	sp.sc.Store.Read(func(rd store.Reader) {
		rd.EachActiveJob(func(js *store.JobState) {
			if js.Placed > 0 {
				out[js.Spec.ID] = js.Placed
			}
		})
	})
	return out
}

// TestTeamsShareAPoolUnderTheirCaps guards against a scheduler that places beyond
// the caps of the configuration in force or does not count the runs of teams, and
// checks the report of teams above their share.
func TestTeamsShareAPoolUnderTheirCaps(t *testing.T) {
	sp := newStepped(t, nil, nil)
	var lines bytes.Buffer
	sp.sc.Logger = log.NewLogfmtLogger(log.NewSyncWriter(&lines))
	capped := catalog.Team{Name: "capped", Weight: 1, Cap: spec.Resources{MilliCPU: 2000}}
	sp.teams(2, capped, catalog.Team{Name: "free", Weight: 1}, catalog.Team{Name: "idle", Weight: 5})
	sp.joinWith("w0", 1, spec.Resources{MilliCPU: 8000})
	sp.submitTeam("a", "capped", 3)
	sp.submitTeam("b", "free", 12)
	sp.step(time.Second)
	sp.step(time.Second)
	require.Equal(t, map[weir.JobID]int{"a": 2, "b": 6}, sp.placed())

	lines.Reset()
	sp.step(time.Second)
	sp.step(time.Second)
	require.Contains(t, lines.String(), "msg=\"team above share\" team=free pool=desk use=0.75 share=0.5 waiting=1\n")
	require.NotContains(t, lines.String(), "team=capped")

	capped.Cap = spec.Resources{MilliCPU: 3000}
	sp.teams(3, capped, catalog.Team{Name: "free", Weight: 1})
	sp.joinWith("w1", 1, spec.Resources{MilliCPU: 2000})
	sp.step(time.Second)
	sp.step(time.Second)
	require.Equal(t, map[weir.JobID]int{"a": 3, "b": 7}, sp.placed(), "a team below its share goes first")

	sp.teams(4, catalog.Team{Name: "late", Weight: 1})
	sp.submitTeam("c", "late", 1)
	sp.joinWith("w2", 1, spec.Resources{MilliCPU: 1000})
	sp.step(time.Second)
	sp.step(time.Second)
	require.Equal(t, map[weir.JobID]int{"a": 3, "b": 7, "c": 1}, sp.placed(), "jobs of removed teams go last")
}

// TestTeamsAboveShareAreLimited guards against a report that grows with the number
// of teams, and one that names teams while nobody else waits.
func TestTeamsAboveShareAreLimited(t *testing.T) {
	teams, use := map[weir.TeamName]placement.Team{}, map[weir.TeamName]spec.Resources{"waits": {}}
	for ix := range 30 {
		name := weir.TeamName(fmt.Sprintf("t%02d", ix))
		teams[name], use[name] = placement.Team{Weight: 1}, spec.Resources{MilliCPU: 1000 + ix}
	}
	teams["waits"] = placement.Team{Weight: 100}
	pools := map[weir.PoolName]placement.PoolUse{"desk": {Capacity: spec.Resources{MilliCPU: 31_000}, Teams: use}}
	waits := map[weir.PoolName]poolWait{"desk": {tasks: 4, teams: map[weir.TeamName]int{"waits": 3, "t29": 1}}}
	got := teamsAboveShare(teams, pools, waits)
	require.Len(t, got, maxTeamLines)
	require.Equal(t, weir.TeamName("t29"), got[0].team)
	require.Equal(t, 3, got[0].waiting)
	require.Equal(t, 4, got[1].waiting)
	waits["desk"] = poolWait{tasks: 1, teams: map[weir.TeamName]int{"t29": 1}}
	require.NotEqual(t, weir.TeamName("t29"), teamsAboveShare(teams, pools, waits)[0].team)
}
