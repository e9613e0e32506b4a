package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// BenchmarkPoolLoads measures the load of 3,000 waiting jobs of 20 teams, all of which
// count as arriving, without and with caps.
func BenchmarkPoolLoads(b *testing.B) {
	const teamCount, jobs = 20, 3000
	for name, limit := range map[string]int{"uncapped": 0, "capped": 50_000} {
		b.Run(name, func(b *testing.B) {
			ct := catalog.Catalog{
				Version: 1, Pools: []catalog.Pool{{Name: "desk"}},
				Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 3, Stretch: 2}},
			}
			team := func(ix int) weir.TeamName { return weir.TeamName(fmt.Sprint("t", ix%teamCount)) }
			for ix := range teamCount {
				ct.Teams = append(ct.Teams, catalog.Team{Name: team(ix), Cap: spec.Resources{MilliCPU: limit}})
			}
			packed, err := ct.Pack()
			require.NoError(b, err)
			changes := []store.Change{
				{Catalog: packed},
				{Join: &store.Worker{ID: "w", Incarnation: 1, Pool: "desk", Address: "w", Capacity: spec.Resources{MilliCPU: 8000}}},
			}
			first := spec.Step{Count: 4, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second}
			next := first
			next.After = []int{0}
			for ix := range jobs {
				changes = append(changes, store.Change{Submit: &spec.Job{
					ID: spec.JobID(fmt.Sprint(ix)), Queue: "h/q/", Team: team(ix), Steps: []spec.Step{first, next, next},
				}})
			}
			data, err := store.Entry{At: testNow, Changes: changes}.Encode()
			require.NoError(b, err)
			st := store.New()
			st.Apply(1, data)
			sp := newStepped(b, nil, nil)
			st.Read(func(rd store.Reader) {
				for b.Loop() {
					sp.sc.poolLoads(sp.ls, rd, testNow)
				}
			})
		})
	}
}
