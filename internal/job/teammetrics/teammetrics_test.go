package teammetrics

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// fixture is a store with a recorder whose metrics are in a set of its own.
type fixture struct {
	t     *testing.T
	sr    *store.Store
	set   *metrics.Set
	rec   *Recorder
	leads bool
	index uint64
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{t: t, sr: store.New(), set: metrics.NewSet(), leads: true}
	fx.rec = &Recorder{Store: fx.sr, Leads: func() bool { return fx.leads }, rows: newRows(fx.set)}
	return fx
}

func (fx *fixture) apply(changes ...store.Change) {
	data, err := store.Entry{At: time.Unix(1_800_000_000, 0), Changes: changes}.Encode()
	require.NoError(fx.t, err)
	fx.index++
	results, ok := fx.sr.Apply(fx.index, data).([]store.Result)
	require.True(fx.t, ok)
	for _, res := range results {
		require.True(fx.t, res.Applied, res.Reason)
	}
}

func (fx *fixture) putTeams(version int64, teams ...catalog.Team) {
	pk, err := catalog.Catalog{
		Version: version, Pools: []catalog.Pool{{Name: "desk"}}, Teams: teams,
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 1}},
	}.Pack()
	require.NoError(fx.t, err)
	fx.apply(store.Change{Catalog: pk})
}

// run starts a task of a team with the given processor time.
func (fx *fixture) run(team weir.TeamName, id string, milliCPU int) {
	jb := &spec.Job{ID: spec.JobID(id), Queue: "h/q/", Team: team, Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: milliCPU}}}}
	fx.apply(
		store.Change{Join: &store.Worker{ID: "w", Incarnation: 1, Pool: "desk", Address: "a"}}, store.Change{Submit: jb},
		store.Change{Start: &store.RunStart{Task: spec.TaskRef{Job: jb.ID}, Run: 1, Worker: "w", Incarnation: 1}},
	)
}

func (fx *fixture) submit(team weir.TeamName, id string) {
	fx.apply(store.Change{Submit: &spec.Job{ID: spec.JobID(id), Queue: "h/q/", Team: team, Steps: []spec.Step{{Count: 1}}}})
}

// lines returns the rows whose name starts with a prefix.
func (fx *fixture) lines(prefix string) (out []string) {
	var buf bytes.Buffer
	fx.set.WritePrometheus(&buf)
	for line := range strings.Lines(buf.String()) {
		if strings.HasPrefix(line, prefix) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// TestRowsStayBounded guards against a row for each of many teams, also when the teams
// with the most use change and each has had submits refused.
func TestRowsStayBounded(t *testing.T) {
	fx := newFixture(t)
	var teams []catalog.Team
	for ix := range 1000 {
		teams = append(teams, catalog.Team{Name: weir.TeamName(fmt.Sprintf("t%03d", ix)), Weight: 1, Cap: spec.Resources{MilliCPU: 1000}})
	}
	fx.putTeams(1, teams...)
	for ix, tm := range teams {
		fx.submit(tm.Name, fmt.Sprint("waits", ix))
		fx.rec.refresh()
		fx.rec.rows.countRefusal(tm.Name, ReasonCap)
		fx.rec.rows.countRefusal(tm.Name, ReasonBacklog)
		if ix%100 == 99 {
			fx.run(tm.Name, fmt.Sprint("runs", ix), ix)
		}
	}
	fx.rec.refresh()
	require.Len(t, fx.lines("weir_team_use_ratio"), maxTeams+1)
	require.Len(t, fx.lines("weir_team_pending_jobs"), maxTeams+1)
	refusals := fx.lines("weir_team_refusals_total")
	require.LessOrEqual(t, len(refusals), 2*(maxTeams+1))
	total := 0
	for _, line := range refusals {
		var count int
		_, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &count)
		require.NoError(t, err)
		total += count
	}
	require.Equal(t, 2000, total, "no refusal is lost when a team loses its row")
	require.Contains(t, fx.lines("weir_team_use_ratio"), `weir_team_use_ratio{team="t999"} 0.999`)
}

// TestRowsFollowTheConfiguration guards against rows of teams that are gone.
func TestRowsFollowTheConfiguration(t *testing.T) {
	fx := newFixture(t)
	capped := catalog.Team{Name: "a", Cap: spec.Resources{MilliCPU: 4000, MemoryMB: 10}}
	fx.putTeams(1, capped, catalog.Team{Name: "b"}, catalog.Team{Name: other})
	fx.run("a", "a1", 1000)
	fx.run("b", "b1", 3000)
	fx.submit("a", "a2")
	fx.submit("a", "a3")
	fx.submit(other, "o1")
	fx.rec.refresh()
	fx.rec.rows.countRefusal("b", ReasonCap)
	fx.rec.rows.countRefusal("nobody", ReasonCap)
	require.ElementsMatch(t, []string{
		`weir_team_use_ratio{team="a"} 0.25`, `weir_team_use_ratio{team="b"} 0`, `weir_team_use_ratio{team="other"} 0`,
		`weir_team_pending_jobs{team="a"} 2`, `weir_team_pending_jobs{team="b"} 0`, `weir_team_pending_jobs{team="other"} 1`,
		`weir_team_refusals_total{team="b",reason="cap"} 1`, `weir_team_refusals_total{team="other",reason="cap"} 1`,
	}, fx.lines("weir_"))
	fx.putTeams(2, capped)
	fx.rec.refresh()
	require.ElementsMatch(t, []string{
		`weir_team_use_ratio{team="a"} 0.25`, `weir_team_use_ratio{team="other"} 0`,
		`weir_team_pending_jobs{team="a"} 2`, `weir_team_pending_jobs{team="other"} 0`,
		`weir_team_refusals_total{team="other",reason="cap"} 2`,
	}, fx.lines("weir_"))
}

// TestFollowerExportsNoUse guards against values of a process that no longer leads.
func TestFollowerExportsNoUse(t *testing.T) {
	fx := newFixture(t)
	fx.putTeams(1, catalog.Team{Name: "a"})
	fx.rec.refresh()
	require.NotEmpty(t, fx.lines("weir_team_use_ratio"))
	fx.leads = false
	fx.rec.refresh()
	require.Empty(t, fx.lines("weir_"))
}

// TestAnyTeamNameIsExported guards against a panic on a name that a label cannot hold
// as it is.
func TestAnyTeamNameIsExported(t *testing.T) {
	fx := newFixture(t)
	fx.putTeams(1, catalog.Team{Name: "a\"b\\c\nd{}=,"}, catalog.Team{Name: `ends\`}, catalog.Team{Name: "größe"})
	require.NotPanics(t, fx.rec.refresh)
	fx.rec.rows.countRefusal("a\"b\\c\nd{}=,", ReasonCap)
	require.Contains(t, fx.lines("weir_team_pending_jobs"), `weir_team_pending_jobs{team="a\"b\\c\nd{}=,"} 0`)
	require.Len(t, fx.lines("weir_team_use_ratio"), 4)
}
