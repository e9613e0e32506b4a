package handler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
)

// TestWiderThanCap guards against jobs that are accepted although their team's cap
// would hold them back for ever, and against refusals of jobs that can run in waves.
func TestWiderThanCap(t *testing.T) {
	limit := spec.Resources{MilliCPU: 4000, MemoryMB: 1000, GPU: 2}
	task := func(count int, rs spec.Resources) spec.Step { return spec.Step{Count: count, Resources: rs} }
	gang := func(count int, rs spec.Resources) spec.Step {
		return spec.Step{Count: count, Resources: rs, Gang: true}
	}
	best := task(1, spec.Resources{MilliCPU: 5000})
	best.BestEffort = true
	cases := map[string]struct {
		limit spec.Resources
		steps []spec.Step
		want  string
	}{
		"no cap":              {spec.Resources{}, []spec.Step{task(9, spec.Resources{MilliCPU: 9000, MemoryMB: 9000, GPU: 9})}, ""},
		"resource without":    {spec.Resources{GPU: 1}, []spec.Step{task(1, spec.Resources{MilliCPU: 9000, GPU: 1})}, ""},
		"in waves":            {limit, []spec.Step{task(100, limit)}, ""},
		"steps add up":        {limit, []spec.Step{task(1, limit), gang(1, limit)}, ""},
		"processor time":      {limit, []spec.Step{task(1, spec.Resources{MilliCPU: 4001})}, `step 0 has tasks that request 4001 milliCpu, the cap of team "t" is 4000`},
		"memory":              {limit, []spec.Step{task(1, limit), task(1, spec.Resources{MemoryMB: 1001})}, `step 1 has tasks that request 1001 memoryMb, the cap of team "t" is 1000`},
		"accelerators":        {limit, []spec.Step{task(1, spec.Resources{GPU: 3})}, `step 0 has tasks that request 3 gpu, the cap of team "t" is 2`},
		"best effort":         {limit, []spec.Step{best}, `step 0 has tasks that request 5000 milliCpu, the cap of team "t" is 4000`},
		"gang that fits":      {limit, []spec.Step{gang(4, spec.Resources{MilliCPU: 1000, MemoryMB: 250})}, ""},
		"gang":                {limit, []spec.Step{gang(3, spec.Resources{GPU: 1})}, `step 0 is a gang of 3 tasks that request 1 gpu each, the cap of team "t" is 2`},
		"gang without amount": {limit, []spec.Step{gang(5000, spec.Resources{})}, ""},
		"gang whose total overflows": {
			limit,
			[]spec.Step{gang(4, spec.Resources{MilliCPU: 1 << 62})},
			`step 0 is a gang of 4 tasks that request 4611686018427387904 milliCpu each, the cap of team "t" is 4000`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, widerThanCap(catalog.Team{Name: "t", Cap: tc.limit}, spec.Job{Steps: tc.steps}))
		})
	}
}
