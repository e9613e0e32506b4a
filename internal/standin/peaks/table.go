package peaks

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	// enough is the share of requests that must start in time.
	enough = 0.999
	// meanRate is the mean arrivals a second of each service: a peak of 200 a
	// second needs 100 slots, more than a pool of ten holds.
	meanRate = 40
	maxOwn   = 16
	maxSpare = 24
	seeds    = 3
	// todayPool is the size of each pool today.
	todayPool = 10
)

// Smallest returns the smallest fleet that starts enough requests in time
// under every seed, and its worst outcome.
func Smallest(policy Policy, demand func(mean float64, seed int64) Demand) (Fleet, Outcome) {
	for size := services; size <= maxOwn*services; size++ {
		for _, fl := range fleetsOf(size, policy) {
			if out, ok := worst(fl, policy, demand); ok {
				return fl, out
			}
		}
	}
	return Fleet{}, Outcome{}
}

// fleetsOf returns the fleets of a size. Baselines have equal pools; with a
// spare pool, any split is tried, and for the reactive one several floors.
func fleetsOf(size int, policy Policy) []Fleet {
	var list []Fleet
	for own := 1; own <= maxOwn; own++ {
		spare := size - own*(services-1)
		equal := spare == own
		if spare < 1 || spare > maxSpare || (policy != Lending && !equal) {
			continue
		}
		if policy != Reactive {
			list = append(list, Fleet{Own: own, Spare: spare})
			continue
		}
		for _, keep := range []int{own / 4, own / 2, own * 3 / 4, own - 1} {
			list = append(list, Fleet{Own: own, Spare: spare, Keep: keep})
		}
	}
	return list
}

func worst(fl Fleet, policy Policy, demand func(mean float64, seed int64) Demand) (Outcome, bool) {
	low := Outcome{InTime: 1}
	for seed := range int64(seeds) {
		out := Run(fl, policy, demand(meanRate, seed+1))
		if out.InTime < enough {
			return out, false
		}
		if out.InTime <= low.InTime {
			low = out
		}
	}
	return low, true
}

// LowerBound is the mean of busy instances: no policy needs fewer.
func LowerBound() float64 { return 5.2 * meanRate * meanWork.Seconds() / slots }

// Print writes the table of all policies and demands.
func Print(wr io.Writer) {
	tab := tabwriter.NewWriter(wr, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "demand\tpolicy\tinstances needed\tother pools, spare\tidle (buffer)\tstarted in 2.5 s\tat once\tmoves in 120 s")
	for _, dm := range []func(float64, int64) Demand{Turns, Broken} {
		for _, policy := range []Policy{Static, Reactive, Lending, LendingAll} {
			fl, out := Smallest(policy, dm)
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d, %d\t%.1f\t%.2f%%\t%.1f%%\t%d\n",
				dm(1, 1).Name, policy, fl.Size(), fl.Own, fl.Spare, out.Idle, 100*out.InTime, 100*out.AtOnce, out.Moves)
		}
	}
	today := Fleet{Own: todayPool, Spare: todayPool, Keep: todayPool / 2}
	for _, policy := range []Policy{Static, Reactive, Lending, LendingAll} {
		out := Run(today, policy, Turns(meanRate, 1))
		_, _ = fmt.Fprintf(tab, "peaks in turn, fleet of today\t%s\t%d\t%d, %d\t%.1f\t%.2f%%\t%.1f%%\t%d\n",
			policy, today.Size(), today.Own, today.Spare, out.Idle, 100*out.InTime, 100*out.AtOnce, out.Moves)
	}
	_ = tab.Flush()
	_, _ = fmt.Fprintf(wr, "busy on average with peaks in turn: %.1f instances, below which no policy can go; seeds 1 to %d, worst shown\n", LowerBound(), seeds)
}
