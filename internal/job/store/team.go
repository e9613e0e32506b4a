package store

import (
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// teamJobs is the index of the jobs of one team. Its work is that of jobs that have
// not ended and that are to run once and immediately: nobody knows how long the tasks
// of others take, or whether they are due before a new job is.
type teamJobs struct {
	// Pending counts the jobs of which no run is, or certainly was, at work.
	Pending int
	// Left is the unfinished work of the jobs.
	Left spec.Work
	// Jobs holds the jobs with unfinished work.
	Jobs map[spec.JobID]*JobState
}

// countsForTeam reports whether the job's work is counted for its team.
func (js *JobState) countsForTeam() bool {
	return js.Spec.Team != "" && !js.Phase.Terminal() && js.Spec.Immediate()
}

// estimatedWorkLeft returns the job's unfinished work as counted for its team.
func (js *JobState) estimatedWorkLeft() spec.Work {
	var left spec.Work
	if !js.countsForTeam() {
		return left
	}
	for _, steps := range js.Occurrences {
		for sp := range steps {
			left = left.Plus(js.Spec.TaskWork(sp).Tasks(steps[sp].TasksLeft))
		}
	}
	return left
}

// teamJobs returns the index of a team, which it creates if there is none.
func (st *state) teamJobs(name weir.TeamName) *teamJobs {
	tj := st.TeamJobs[name]
	if tj == nil {
		tj = &teamJobs{Jobs: map[spec.JobID]*JobState{}}
		st.TeamJobs[name] = tj
	}
	return tj
}

// dropIfEmpty removes the index of a team that has nothing left to count.
func (st *state) dropIfEmpty(name weir.TeamName, tj *teamJobs) {
	if tj.Pending == 0 && len(tj.Jobs) == 0 {
		delete(st.TeamJobs, name)
	}
}

// setWorkLeft sets the unfinished work that is counted for a job.
func (st *state) setWorkLeft(js *JobState, left spec.Work) {
	if js.left == left {
		return
	}
	tj := st.teamJobs(js.Spec.Team)
	tj.Left = tj.Left.Plus(left).Minus(js.left)
	js.left = left
	if left == (spec.Work{}) {
		delete(tj.Jobs, js.Spec.ID)
	} else {
		tj.Jobs[js.Spec.ID] = js
	}
	st.dropIfEmpty(js.Spec.Team, tj)
}

// countPending adds count, which may be negative, to the pending jobs of a team.
func (st *state) countPending(name weir.TeamName, count int) {
	if name == "" {
		return
	}
	tj := st.teamJobs(name)
	tj.Pending += count
	st.dropIfEmpty(name, tj)
}

// WorkLeft returns the job's unfinished work by the estimates, with all of the work of
// running tasks. It is 0 for a job without a team, and for one that has ended or is not
// to run once and immediately.
func (js *JobState) WorkLeft() spec.Work { return js.left }
