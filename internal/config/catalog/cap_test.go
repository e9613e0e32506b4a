package catalog

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
)

// TestStartsAllowed guards against a resource that is not counted, and against sums
// that overflow.
func TestStartsAllowed(t *testing.T) {
	limit := spec.Resources{MilliCPU: 4000, MemoryMB: 1000, GPU: 2}
	cases := map[string]struct {
		limit, use, request spec.Resources
		want                int
	}{
		"no cap":                         {spec.Resources{}, spec.Resources{MilliCPU: 9000}, spec.Resources{MilliCPU: 9000}, math.MaxInt},
		"processor time":                 {limit, spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: 1500}, 2},
		"memory":                         {limit, spec.Resources{MemoryMB: 300}, spec.Resources{MilliCPU: 1, MemoryMB: 200}, 3},
		"accelerators":                   {limit, spec.Resources{GPU: 1}, spec.Resources{MilliCPU: 1, GPU: 1}, 1},
		"exactly the cap":                {limit, spec.Resources{}, limit, 1},
		"cap reached":                    {limit, limit, spec.Resources{MilliCPU: 1}, 0},
		"cap reached in another":         {limit, spec.Resources{GPU: 2}, spec.Resources{MilliCPU: 1000}, 4},
		"use above the cap in another":   {limit, spec.Resources{GPU: 3}, spec.Resources{MilliCPU: 1000}, 0},
		"wider than the cap":             {limit, spec.Resources{}, spec.Resources{GPU: 3}, 0},
		"nothing requested":              {limit, limit, spec.Resources{}, math.MaxInt},
		"only one resource limited":      {spec.Resources{GPU: 1}, spec.Resources{MilliCPU: 1 << 40}, spec.Resources{MilliCPU: 1 << 40, GPU: 1}, 1},
		"request of the largest integer": {limit, spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: math.MaxInt}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, Team{Name: "t", Cap: tc.limit}.StartsAllowed(tc.use, tc.request))
		})
	}
}
