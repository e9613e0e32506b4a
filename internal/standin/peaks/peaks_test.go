package peaks

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLendingNeedsHalfTheIdleInstances checks that a fleet with a lending spare
// pool starts enough requests in time, while no reactive fleet with twice its
// idle instances does, whatever its minimum per pool. The clock is manual, so that
// the result depends only on the seeds.
func TestLendingNeedsHalfTheIdleInstances(t *testing.T) {
	cases := []struct {
		demand func(mean float64, seed int64) Demand
		fleet  Fleet
	}{
		{Rotating, Fleet{PerPool: 1, Spare: 14}},
		{Random, Fleet{PerPool: 1, Spare: 22}},
	}
	for _, tc := range cases {
		t.Run(tc.demand(1, 1).Name, func(t *testing.T) {
			lending, ok := worstOutcome(tc.fleet, Lending, tc.demand)
			require.True(t, ok, "%+v", lending)
			require.Zero(t, lending.Moves)
			largest := int(lending.Busy + 2*lending.Idle)
			for size := largest - serviceCount + 1; size <= largest; size++ {
				for _, fl := range candidateFleets(size, Reactive) {
					out, ok := worstOutcome(fl, Reactive, tc.demand)
					require.False(t, ok, "reactive fleet %+v meets the target: %+v", fl, out)
				}
			}
		})
	}
}

func TestRunIsReproducible(t *testing.T) {
	for _, policy := range []Policy{Static, Reactive, Lending, LendingAll} {
		t.Run(fmt.Sprint(policy), func(t *testing.T) {
			fl := Fleet{PerPool: 2, Spare: 2}
			require.Equal(t, Run(fl, policy, Rotating(meanRate, 7)), Run(fl, policy, Rotating(meanRate, 7)))
		})
	}
}
