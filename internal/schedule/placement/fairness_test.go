package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	weir "greengageweir"
)

const (
	fairTeams = 20
	// hotFactor times its usual load is what one team sends for hotPeriod.
	hotFactor = 7
	hotPeriod = 6 * time.Second
	// fairPeriod is how long jobs arrive. Their objectives end within 3 s of that.
	fairPeriod = 12 * time.Second
)

// newTeamPeak generates jobs of twenty teams whose usual load is the given fraction of
// the capacity. The first team sends hotFactor times its load from 2 s on, in narrow
// jobs, which are ahead in the order by remaining work.
func newTeamPeak(seed int64, usual float64) *peak {
	pk := &peak{rng: rand.New(rand.NewSource(seed)), span: fairPeriod + 3*time.Second, served: map[weir.TeamName]float64{}, held: map[weir.TeamName]int{}}
	for ix := range peakWorkers {
		pk.workers = append(pk.workers, worker(fmt.Sprint("w", ix), peakCores))
	}
	add := func(team int, from, span time.Duration, load float64, width int) {
		for load *= float64(peakWorkers*peakCores) * span.Seconds(); load > 0; {
			jb := &peakJob{
				id: fmt.Sprintf("j%05d", len(pk.jobs)), team: weir.TeamName(fmt.Sprint("t", team)), arrives: from + time.Duration(pk.rng.Int63n(int64(span))),
				width: 1 + pk.rng.Intn(width), duration: 300*time.Millisecond + time.Duration(pk.rng.Int63n(int64(900*time.Millisecond))),
			}
			jb.unstarted, jb.unfinished = jb.width, jb.width
			jb.due = jb.arrives + 600*time.Millisecond + time.Duration(1.6*float64(jb.duration))
			load -= jb.work()
			pk.jobs = append(pk.jobs, jb)
		}
	}
	for team := range fairTeams {
		add(team, 0, fairPeriod, usual/fairTeams, 4)
	}
	add(0, 2*time.Second, hotPeriod, (hotFactor-1)*usual/fairTeams, 2)
	slices.SortStableFunc(pk.jobs, func(one, other *peakJob) int { return int(one.arrives - other.arrives) })
	return pk
}

// worstTenth returns the fraction of jobs that met their objective over the worst
// tenth of the teams other than the first.
func (pk *peak) worstTenth() float64 {
	met, total := map[weir.TeamName]float64{}, map[weir.TeamName]float64{}
	for _, jb := range pk.jobs {
		total[jb.team]++
		if jb.met() {
			met[jb.team]++
		}
	}
	var shares []float64
	for team := range total {
		if team != "t0" {
			shares = append(shares, met[team]/total[team])
		}
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

// TestTwoTiersProtectTeamsAtLittleCost compares the order without teams, strict
// start-time fair queueing and the two tiers while one team sends seven times its
// usual load. It guards against shares that do not protect the other teams, and
// that give up the order by remaining work, by which more jobs meet their objective.
func TestTwoTiersProtectTeamsAtLittleCost(t *testing.T) {
	for _, usual := range []float64{0.8, 1.0} {
		met, worst, total := map[peakOrder]int{}, map[peakOrder]float64{}, 0
		const seeds = 3
		for seed := range int64(seeds) {
			for _, order := range []peakOrder{byWork, byStartTag, byShare} {
				pk := newTeamPeak(seed, usual)
				met[order] += pk.run(order)
				worst[order] += pk.worstTenth() / seeds
				if order == byWork {
					total += len(pk.jobs)
				}
			}
		}
		t.Logf("usual load %.1f, %d jobs: within objective, and of the worst tenth of the other teams: without teams %d, %.3f; start-time fair queueing %d, %.3f; two tiers %d, %.3f",
			usual, total, met[byWork], worst[byWork], met[byStartTag], worst[byStartTag], met[byShare], worst[byShare])
		require.Greater(t, worst[byShare], worst[byWork], "the worst teams gain")
		require.Greater(t, met[byShare], met[byStartTag], "more jobs in total than by start time alone")
	}
}

// TestTeamsWithMostWorkKeepTheirShare guards against teams that starve since the tasks
// of all others that only just exceed their shares go first: if each team at or below
// its share may start one more task, two teams with wide jobs get 0.004 and 0.012 of
// the pool.
func TestTeamsWithMostWorkKeepTheirShare(t *testing.T) {
	const wide, task = 6, 4.0 / (peakWorkers * peakCores)
	pk := newTeamPeak(1, 1.5)
	for _, jb := range pk.jobs {
		jb.due += time.Hour // No job is late, which would go after all others.
		if jb.team == "t18" || jb.team == "t19" {
			jb.width *= wide
			jb.unstarted, jb.unfinished = jb.width, jb.width
		}
	}
	pk.run(byShare)
	total := 0
	for _, count := range pk.held {
		total += count
	}
	for team, count := range pk.held {
		require.Greater(t, float64(count)/float64(total), 1.0/fairTeams-task, team)
	}
	require.Len(t, pk.held, fairTeams)
}
