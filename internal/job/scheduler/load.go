package scheduler

import (
	"cmp"
	"slices"
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

// loadLogInterval is the time between two reports of the scheduler's load.
const loadLogInterval = time.Second

// maxTeamLines limits the log lines of one report about teams above their share.
const maxTeamLines = 8

// roundLoad sums up the rounds since the last report.
type roundLoad struct {
	reportedAt time.Time
	rounds     int
	total      time.Duration
	longest    time.Duration
}

func (rl *roundLoad) add(took time.Duration) {
	rl.rounds++
	rl.total += took
	rl.longest = max(rl.longest, took)
}

// poolWait describes the ready tasks of a pool that no run has been started for.
type poolWait struct {
	tasks   int
	waiting spec.Resources
	// noCPU and noMemory count the tasks that no usable worker has enough
	// processor time or memory for.
	noCPU, noMemory int
	late            int
	longest         time.Duration
	// teams counts the waiting tasks by team.
	teams map[weir.TeamName]int
}

// reportLoad logs how busy the rounds were and, for each pool with waiting tasks,
// what they lack.
func (sc *Scheduler) reportLoad(ls *leaderState, now time.Time) {
	rl := ls.rounds
	if now.Sub(rl.reportedAt) < loadLogInterval {
		return
	}
	weight := int64(0)
	sc.Store.Read(func(rd store.Reader) { weight = rd.Weight() })
	_ = sc.Logger.Log("level", "info", "msg", "scheduler load", "rounds", rl.rounds, "busy", rl.total.String(),
		"longest", rl.longest.String(), "sessions", len(ls.sessions), "stateBytes", weight)
	ls.rounds = roundLoad{reportedAt: now}
	sc.Store.Read(func(rd store.Reader) {
		jobs := sc.pendingJobs(ls, rd)
		workers := sc.usableWorkers(ls, rd, now, jobs)
		largest, free, usable := maxFreeByPool(workers), map[weir.PoolName]spec.Resources{}, map[weir.PoolName]int{}
		for _, wk := range workers {
			free[wk.Pool] = free[wk.Pool].Plus(wk.Free)
			usable[wk.Pool]++
		}
		waits := sc.waitingTasks(ls, jobs, largest)
		for pool, wait := range waits {
			_ = sc.Logger.Log("level", "info", "msg", "tasks waiting", "pool", pool, "tasks", wait.tasks, "late", wait.late,
				"longest", wait.longest.String(), "milliCPU", wait.waiting.MilliCPU, "memoryMB", wait.waiting.MemoryMB,
				"noCPU", wait.noCPU, "noMemory", wait.noMemory, "usable", usable[pool],
				"freeMilliCPU", free[pool].MilliCPU, "freeMemoryMB", free[pool].MemoryMB)
		}
		sc.reportTeamsAboveShare(rd, jobs, waits)
		sc.reportLongRunningWaits(ls, rd, jobs, now)
	})
}

// waitingTasks sums up the ready tasks without a run by pool; largest is the most
// that a worker of each pool has free.
func (sc *Scheduler) waitingTasks(ls *leaderState, jobs []pendingJob, largest map[weir.PoolName]spec.Resources) map[weir.PoolName]poolWait {
	waits := map[weir.PoolName]poolWait{}
	wall := sc.Wall.Now()
	for _, pj := range jobs {
		for oc := range pj.job.Occurrences {
			if pj.job.Spec.DueAt(oc).After(wall) {
				break
			}
			for sp := range pj.job.Occurrences[oc] {
				if gr, ok := sc.group(ls, pj.job, pj.queue, oc, sp, nil); ok {
					waits[gr.Pool] = waits[gr.Pool].with(gr, largest[gr.Pool], wall)
				}
			}
		}
	}
	return waits
}

// teamAboveShare is a team that uses more than its share of a pool while tasks of
// others wait there.
type teamAboveShare struct {
	team       weir.TeamName
	pool       weir.PoolName
	use, share float64
	// waiting counts the waiting tasks of others.
	waiting int
}

// reportTeamsAboveShare logs the teams that are furthest above their share of a pool
// while tasks of others wait there.
func (sc *Scheduler) reportTeamsAboveShare(rd store.Reader, jobs []pendingJob, waits map[weir.PoolName]poolWait) {
	teams, pools := teamUse(rd, jobs, sc.Wall.Now())
	for _, ta := range teamsAboveShare(teams, pools, waits) {
		_ = sc.Logger.Log("level", "info", "msg", "team above share", "team", ta.team, "pool", ta.pool, "use", ta.use,
			"share", ta.share, "waiting", ta.waiting)
	}
}

// teamsAboveShare returns at most maxTeamLines teams, the one furthest above its
// share first.
func teamsAboveShare(teams map[weir.TeamName]placement.Team, pools map[weir.PoolName]placement.PoolUse, waits map[weir.PoolName]poolWait) []teamAboveShare {
	var out []teamAboveShare
	for pool, pu := range pools {
		for name, share := range pu.Shares(teams) {
			waiting := waits[pool].tasks - waits[pool].teams[name]
			if use := pu.DominantUse(name); waiting > 0 && use > 0 && pu.AboveShare(name, share) {
				out = append(out, teamAboveShare{team: name, pool: pool, use: use, share: share, waiting: waiting})
			}
		}
	}
	slices.SortFunc(out, func(one, other teamAboveShare) int {
		return cmp.Or(cmp.Compare(other.use-other.share, one.use-one.share), cmp.Compare(one.pool, other.pool), cmp.Compare(one.team, other.team))
	})
	return out[:min(len(out), maxTeamLines)]
}

// with adds the tasks of a group.
func (pw poolWait) with(gr placement.Group, largest spec.Resources, wall time.Time) poolWait {
	if pw.teams == nil {
		pw.teams = map[weir.TeamName]int{}
	}
	need := gr.Spec.Reserved()
	for _, tk := range gr.Tasks {
		if tk.Stopping {
			continue
		}
		pw.tasks++
		pw.teams[gr.Team]++
		pw.waiting = pw.waiting.Plus(need)
		pw.longest = max(pw.longest, wall.Sub(tk.WaitingSince))
		if need.MilliCPU > largest.MilliCPU {
			pw.noCPU++
		}
		if need.MemoryMB > largest.MemoryMB {
			pw.noMemory++
		}
		if gr.StartBy.Before(wall) {
			pw.late++
		}
	}
	return pw
}
