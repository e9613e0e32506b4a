package catalog

import (
	"math"

	"greengageweir/internal/job/spec"
)

// CapResource is a resource that a team's cap can limit.
type CapResource struct {
	// Name is the resource's name in the product's API.
	Name string
	// Of returns the amount of the resource.
	Of func(rs spec.Resources) int
}

// CapResources are the resources that a team's cap can limit.
var CapResources = []CapResource{
	{"milliCpu", func(rs spec.Resources) int { return rs.MilliCPU }},
	{"memoryMb", func(rs spec.Resources) int { return rs.MemoryMB }},
	{"gpu", func(rs spec.Resources) int { return rs.GPU }},
}

// Capped reports whether the team has a cap in any resource.
func (tm Team) Capped() bool { return tm.Cap != (spec.Resources{}) }

// StartsAllowed returns how many runs with the given request the team may start
// while its runs request use. While use exceeds the cap in any resource, that is
// none, also of runs that request nothing of that resource.
func (tm Team) StartsAllowed(use, request spec.Resources) int {
	allowed, left := math.MaxInt, tm.Cap.Left(use)
	for _, cr := range CapResources {
		// The sum of use and all requests may exceed the range of an int.
		room, each := cr.Of(left), cr.Of(request)
		switch {
		case room < 0:
			return 0
		case room != spec.NoLimit && each > 0:
			allowed = min(allowed, room/each)
		}
	}
	return allowed
}
