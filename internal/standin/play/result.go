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
	// window is the length of the windows of which the worst are reported.
	window = 5 * time.Second
	// leastWorth and worthOfWork are how a job's worth follows from its work
	// against its queue's mean; mostWorth bounds it.
	leastWorth, worthOfWork, mostWorth = 0.3, 0.7, 4.0
)

// Result is what came of one play. Shares are of what could be earned.
type Result struct {
	Load   string
	Policy Policy
	Seed   int64
	// Jobs were submitted, InTime of them met their objective.
	Jobs, InTime int
	// Earned is the share of worth, Worst that of the worst window and
	// WorstPool that of the worst pool.
	Earned, Worst, WorstPool float64
	// Machines is the mean number of machines in pools, Idle the mean number
	// whose room nobody used; Moves were ordered.
	Machines, Idle float64
	Moves          int
	// Price is that of machines and moves.
	Price float64
	// Wait is the median and the 95th of a hundred of the time from a job's
	// submission to its first start.
	Wait [2]time.Duration
	// WaveDone is the share of wave machines whose maintenance began in time.
	WaveDone float64
	Counts   fleet.Counts
	Samples  []Sample
}

// Sample is the fleet at one time: the cores of machines in pools, and those
// that tasks use.
type Sample struct {
	At           time.Duration
	Pooled, Busy float64
}

// Worth is what was earned less its price.
func (rs Result) Worth() float64 { return rs.Earned - rs.Price }

type tally struct{ earned, owed float64 }

func (tl tally) share() float64 {
	if tl.owed == 0 {
		return 1
	}
	return tl.earned / tl.owed
}

// result compares what became of each job with its objective.
func (sg *stage) result(before, after fleet.Counts) Result {
	res := Result{Load: sg.Load.Name, Policy: sg.Policy, Seed: sg.Seed, Jobs: len(sg.jobs), WaveDone: 1}
	var all tally
	windows, pools := map[int]tally{}, map[weir.PoolName]tally{}
	var waits []time.Duration
	means := sg.meanWork()
	sg.store.Read(func(rd store.Reader) {
		for _, pd := range sg.jobs {
			worth := min(mostWorth, leastWorth+worthOfWork*pd.work/means[pd.pool.Name]) * pd.pool.Worth
			earned := 0.0
			if js := rd.Job(pd.job.ID); js != nil {
				objective := time.Duration(sg.Load.Stretch*float64(pd.chain)) + sg.Load.Target
				took := js.Ended.Sub(js.Accepted)
				switch {
				case js.Phase != store.Done:
				case took <= objective:
					earned = worth
					res.InTime++
				case took <= lateShare*objective:
					earned = worth * pd.pool.LateWorth / pd.pool.Worth
				}
				if at, ok := sg.began[pd.job.ID]; ok {
					waits = append(waits, at.Sub(js.Accepted))
				}
			}
			all.earned, all.owed = all.earned+earned, all.owed+worth
			win, pool := windows[int(pd.at/window)], pools[pd.pool.Name]
			windows[int(pd.at/window)] = tally{win.earned + earned, win.owed + worth}
			pools[pd.pool.Name] = tally{pool.earned + earned, pool.owed + worth}
		}
		for _, wv := range rd.Waves() {
			res.WaveDone = float64(len(wv.Started)) / float64(max(len(wv.Machines), 1))
		}
	})
	res.Earned, res.Worst, res.WorstPool = all.share(), 1, 1
	for _, tl := range windows {
		res.Worst = min(res.Worst, tl.share())
	}
	for _, tl := range pools {
		res.WorstPool = min(res.WorstPool, tl.share())
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		res.Wait = [2]time.Duration{waits[len(waits)/2], waits[len(waits)*95/100]}
	}
	sg.cost(&res, before, after)
	return res
}

func (sg *stage) meanWork() map[weir.PoolName]float64 {
	sums, counts := map[weir.PoolName]float64{}, map[weir.PoolName]float64{}
	for _, pd := range sg.jobs {
		sums[pd.pool.Name] += pd.work
		counts[pd.pool.Name]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

func (sg *stage) cost(res *Result, before, after fleet.Counts) {
	span := (sg.Load.Duration + finish).Seconds()
	pool := after.PoolTime - before.PoolTime
	res.Counts, res.Samples = after, sg.samples
	res.Moves = after.Moves - before.Moves
	res.Machines = pool.Seconds() / span
	res.Idle = res.Machines - (after.Busy-before.Busy)/sg.Load.Room/span
	res.Price = pool.Seconds()*sg.Load.MachinePrice + float64(res.Moves)*sg.Load.MovePrice
}

// Print writes a table of results.
func Print(out io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "load\tpolicy\tseed\tworth\tearned\tworst window\tworst pool\tin time\tmachines\tidle\tmoves\twait p50\tp95\tlost core-s\twave")
	for _, rs := range results {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d/%d\t%.1f\t%.1f\t%d\t%s\t%s\t%.0f\t%.2f\n",
			rs.Load, rs.Policy, rs.Seed, rs.Worth(), rs.Earned, rs.Worst, rs.WorstPool, rs.InTime, rs.Jobs, rs.Machines, rs.Idle, rs.Moves,
			rs.Wait[0].Round(time.Millisecond), rs.Wait[1].Round(time.Millisecond), rs.Counts.LostWork, rs.WaveDone)
	}
	return tw.Flush()
}

func machineName(number int) string { return fmt.Sprintf("m%03d", number) }

func rackName(number int) string { return fmt.Sprintf("r%02d", number) }

// picked spreads a share evenly over numbers.
func picked(number int, share float64) bool {
	return int(float64(number+1)*share) > int(float64(number)*share)
}
