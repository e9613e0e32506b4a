package play

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/fleet"

	weir "greengageweir"
)

const (
	// windowLength is the length of the time windows for Result.WorstWindow.
	windowLength = 5 * time.Second
	// The worth of a job, relative to Pool.Worth, is minWorth plus worthPerWork
	// times its work relative to the mean of its pool, at most maxWorth.
	minWorth, worthPerWork, maxWorth = 0.3, 0.7, 4.0
)

// Result is the result of one simulation. Shares are of the total worth of the
// jobs concerned.
type Result struct {
	Load   string
	Policy Policy
	Seed   int64
	// Jobs is the number of submitted jobs, InTime of those that met their
	// objective.
	Jobs, InTime int
	// Earned is the earned share of worth, WorstWindow that of the worst time
	// window and WorstPool that of the worst pool.
	Earned, WorstWindow, WorstPool float64
	// Machines is the mean number of machines in pools, Idle the unused part of
	// it, Moves the number of machine moves.
	Machines, Idle float64
	Moves          int
	// Cost is the cost of machines and moves.
	Cost float64
	// StartDelay is the median and the 95th percentile of the time from the
	// acceptance of a job to its first start.
	StartDelay [2]time.Duration
	// LongestStartDelay is that of the job that waited longest.
	LongestStartDelay time.Duration
	// WaveDone is the share of the machines of the wave whose maintenance started
	// in time.
	WaveDone float64
	// MostCrashes is how often the task that crashed most workers was started.
	// WronglyFailed counts jobs without such a task that are shown as failed,
	// CrashingLeft those with one that are not.
	MostCrashes, WronglyFailed, CrashingLeft int
	Counts                                   fleet.Counts
	Samples                                  []Sample
}

// Sample is the state of the fleet at a time: the cores of machines in pools, and
// the cores in use by tasks.
type Sample struct {
	At           time.Duration
	Pooled, Busy float64
}

// Worth returns the earned share of worth minus the cost.
func (rs Result) Worth() float64 { return rs.Earned - rs.Cost }

// earnings is the worth earned by a set of jobs, and the most it could be.
type earnings struct{ earned, possible float64 }

func (tl earnings) share() float64 {
	if tl.possible == 0 {
		return 1
	}
	return tl.earned / tl.possible
}

// result evaluates each job against its objective.
func (sr *simulationRun) result(before, after fleet.Counts) Result {
	res := Result{Load: sr.Load.Name, Policy: sr.Policy, Seed: sr.Seed, Jobs: len(sr.jobs), WaveDone: 1}
	var all earnings
	windows, pools := map[int]earnings{}, map[weir.PoolName]earnings{}
	var waits []time.Duration
	means := sr.meanWork()
	sr.store.Read(func(rd store.Reader) {
		for _, pd := range sr.jobs {
			sr.countCrashing(&res, pd, rd.Job(pd.job.ID))
			if pd.crashing {
				continue // earns nothing, and is not owed
			}
			worth := min(maxWorth, minWorth+worthPerWork*pd.work/means[pd.pool.Name]) * pd.pool.Worth
			earned := 0.0
			if js := rd.Job(pd.job.ID); js != nil {
				objective := time.Duration(sr.Load.Stretch*float64(pd.criticalPath)) + sr.Load.Target
				took := js.Ended.Sub(js.Accepted)
				switch {
				case js.Phase != store.Done:
				case took <= objective:
					earned = worth
					res.InTime++
				case took <= lateFactor*objective:
					earned = worth * pd.pool.LateWorth / pd.pool.Worth
				}
				if at, ok := sr.firstStarts[pd.job.ID]; ok {
					waits = append(waits, at.Sub(js.Accepted))
				}
			}
			all.earned, all.possible = all.earned+earned, all.possible+worth
			win, pool := windows[int(pd.at/windowLength)], pools[pd.pool.Name]
			windows[int(pd.at/windowLength)] = earnings{win.earned + earned, win.possible + worth}
			pools[pd.pool.Name] = earnings{pool.earned + earned, pool.possible + worth}
		}
		for _, wv := range rd.Waves() {
			res.WaveDone = float64(len(wv.Started)) / float64(max(len(wv.Machines), 1))
		}
	})
	res.Earned, res.WorstWindow, res.WorstPool = all.share(), 1, 1
	for _, tl := range windows {
		res.WorstWindow = min(res.WorstWindow, tl.share())
	}
	for _, tl := range pools {
		res.WorstPool = min(res.WorstPool, tl.share())
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		res.StartDelay = [2]time.Duration{waits[len(waits)/2], waits[len(waits)*95/100]}
		res.LongestStartDelay = waits[len(waits)-1]
	}
	sr.addCosts(&res, before, after)
	return res
}

// countCrashing records what became of a job, as far as crashes are concerned.
func (sr *simulationRun) countCrashing(res *Result, pd plannedJob, js *store.JobState) {
	failed := js != nil && js.Phase == store.Failed
	switch {
	case pd.crashing && !failed:
		res.CrashingLeft++
	case !pd.crashing && failed:
		res.WronglyFailed++
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	res.MostCrashes = max(res.MostCrashes, sr.crashStarts[weir.TaskRef{Job: pd.job.ID}])
}

// meanWork returns the mean work of the jobs of each pool, in core-seconds.
func (sr *simulationRun) meanWork() map[weir.PoolName]float64 {
	sums, counts := map[weir.PoolName]float64{}, map[weir.PoolName]float64{}
	for _, pd := range sr.jobs {
		sums[pd.pool.Name] += pd.work
		counts[pd.pool.Name]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

// addCosts fills in machines, moves and cost from the counts before and after.
func (sr *simulationRun) addCosts(res *Result, before, after fleet.Counts) {
	span := (sr.Load.Duration + completionTime).Seconds()
	pool := after.PoolTime - before.PoolTime
	res.Counts, res.Samples = after, sr.samples
	res.Moves = after.Moves - before.Moves
	res.Machines = pool.Seconds() / span
	res.Idle = res.Machines - (after.BusyCoreSeconds-before.BusyCoreSeconds)/sr.Load.MachineCores/span
	res.Cost = pool.Seconds()*sr.Load.MachineCost + float64(res.Moves)*sr.Load.MoveCost
}

// Print writes the results as a table.
func Print(out io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "load\tpolicy\tseed\tworth\tearned\tworst window\tworst pool\tin time\tmachines\tidle\tmoves\twait p50\tp95\tlost core-s\twave")
	for _, rs := range results {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d/%d\t%.1f\t%.1f\t%d\t%s\t%s\t%.0f\t%.2f\n",
			rs.Load, rs.Policy, rs.Seed, rs.Worth(), rs.Earned, rs.WorstWindow, rs.WorstPool, rs.InTime, rs.Jobs, rs.Machines, rs.Idle, rs.Moves,
			rs.StartDelay[0].Round(time.Millisecond), rs.StartDelay[1].Round(time.Millisecond), rs.Counts.LostWork, rs.WaveDone)
	}
	return tw.Flush()
}

func machineName(number int) string { return fmt.Sprintf("m%03d", number) }

func rackName(number int) string { return fmt.Sprintf("r%02d", number) }

// selected reports whether a number belongs to a share that is spread evenly over
// all numbers.
func selected(number int, share float64) bool {
	return int(float64(number+1)*share) > int(float64(number)*share)
}
