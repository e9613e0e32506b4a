package peaks

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	// requiredInTime is the share of requests that must start in time.
	requiredInTime = 0.999
	// meanRate is the mean arrival rate of a service, per second. A peak of 200
	// a second needs 100 slots, more than a pool of ten instances has.
	meanRate   = 40
	maxPerPool = 16
	maxSpare   = 24
	seeds      = 3
	// currentPoolSize is the present number of instances in each pool.
	currentPoolSize = 10
)

// SmallestFleet returns the smallest fleet that starts enough requests in time
// under every seed, and its worst outcome, or zero values if there is none.
func SmallestFleet(policy Policy, demand func(mean float64, seed int64) Demand) (Fleet, Outcome) {
	for size := serviceCount; size <= maxPerPool*serviceCount; size++ {
		for _, fl := range candidateFleets(size, policy) {
			if out, ok := worstOutcome(fl, policy, demand); ok {
				return fl, out
			}
		}
	}
	return Fleet{}, Outcome{}
}

// candidateFleets returns the fleets to try for a total size. Pools are of equal
// size, except that Lending tries every size of the spare pool. Reactive tries
// several values of MinPerPool.
func candidateFleets(size int, policy Policy) []Fleet {
	var list []Fleet
	for own := 1; own <= maxPerPool; own++ {
		spare := size - own*(serviceCount-1)
		equal := spare == own
		if spare < 1 || spare > maxSpare || (policy != Lending && !equal) {
			continue
		}
		if policy != Reactive {
			list = append(list, Fleet{PerPool: own, Spare: spare})
			continue
		}
		for _, keep := range []int{own / 4, own / 2, own * 3 / 4, own - 1} {
			list = append(list, Fleet{PerPool: own, Spare: spare, MinPerPool: keep})
		}
	}
	return list
}

// worstOutcome runs all seeds and returns the outcome with the lowest InTime. It
// stops and returns false at the first seed with too few requests in time.
func worstOutcome(fl Fleet, policy Policy, demand func(mean float64, seed int64) Demand) (Outcome, bool) {
	low := Outcome{InTime: 1}
	for seed := range int64(seeds) {
		out := Run(fl, policy, demand(meanRate, seed+1))
		if out.InTime < requiredInTime {
			return out, false
		}
		if out.InTime <= low.InTime {
			low = out
		}
	}
	return low, true
}

// LowerBound returns the mean number of busy instances with peaks in turn. No
// policy needs fewer.
func LowerBound() float64 { return 5.2 * meanRate * meanWork.Seconds() / slotsPerInstance }

// Print writes the table of all policies and demands, and that of the present
// fleet.
func Print(wr io.Writer) {
	tab := tabwriter.NewWriter(wr, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "demand\tpolicy\tinstances needed\tother pools, spare\tidle (buffer)\tstarted in 2.5 s\tat once\tmoves in 120 s")
	for _, dm := range []func(float64, int64) Demand{Rotating, Random} {
		for _, policy := range []Policy{Static, Reactive, Lending, LendingAll} {
			fl, out := SmallestFleet(policy, dm)
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d, %d\t%.1f\t%.2f%%\t%.1f%%\t%d\n",
				dm(1, 1).Name, policy, fl.Size(), fl.PerPool, fl.Spare, out.Idle, 100*out.InTime, 100*out.Immediate, out.Moves)
		}
	}
	today := Fleet{PerPool: currentPoolSize, Spare: currentPoolSize, MinPerPool: currentPoolSize / 2}
	for _, policy := range []Policy{Static, Reactive, Lending, LendingAll} {
		out := Run(today, policy, Rotating(meanRate, 1))
		_, _ = fmt.Fprintf(tab, "peaks in turn, fleet of today\t%s\t%d\t%d, %d\t%.1f\t%.2f%%\t%.1f%%\t%d\n",
			policy, today.Size(), today.PerPool, today.Spare, out.Idle, 100*out.InTime, 100*out.Immediate, out.Moves)
	}
	_ = tab.Flush()
	_, _ = fmt.Fprintf(wr, "busy on average with peaks in turn: %.1f instances, below which no policy can go; seeds 1 to %d, worst shown\n", LowerBound(), seeds)
}
