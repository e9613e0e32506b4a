package handler

import (
	"fmt"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
)

// widerThanCap returns why the team's cap would never let some step of a job start,
// or "" if each can start. The tasks of a gang start together, those of other steps
// can run one after the other.
func widerThanCap(tm catalog.Team, jb spec.Job) string {
	for ix, step := range jb.Steps {
		together := 1
		if step.Gang {
			together = step.Count
		}
		for _, cr := range catalog.CapResources {
			limit, request := cr.Of(tm.Cap), cr.Of(step.Resources)
			// The product of request and count may exceed the range of an int.
			if limit == 0 || request <= limit/together {
				continue
			}
			if step.Gang {
				return fmt.Sprintf("step %d is a gang of %d tasks that request %d %s each, the cap of team %q is %d", ix, step.Count, request, cr.Name, tm.Name, limit)
			}
			return fmt.Sprintf("step %d has tasks that request %d %s, the cap of team %q is %d", ix, request, cr.Name, tm.Name, limit)
		}
	}
	return ""
}
