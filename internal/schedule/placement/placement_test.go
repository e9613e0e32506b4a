package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

var testNow = time.Unix(1_800_000_000, 0)

func worker(id string, cores int) Worker {
	return Worker{ID: weir.InstanceID(id), Incarnation: 1, Pool: "desk", Rack: "r-" + id, Free: spec.Resources{MilliCPU: cores * 1000, MemoryMB: 100_000}}
}

func group(job string, step spec.Step, edit ...func(gr *Group)) Group {
	gr := Group{
		Step: weir.TaskRef{Job: weir.JobID(job)}, Spec: step, Pool: "desk",
		StartBy: testNow.Add(time.Second), RunsByWorker: map[weir.InstanceID]int{},
	}
	for ix := range step.Count {
		gr.Tasks = append(gr.Tasks, Task{Index: ix, Run: 1})
	}
	for _, ed := range edit {
		ed(&gr)
	}
	return gr
}

func waitingFor(span time.Duration) func(gr *Group) {
	return func(gr *Group) {
		for ix := range gr.Tasks {
			gr.Tasks[ix].WaitingSince = testNow.Add(-span)
		}
	}
}

func cores(count int) spec.Resources { return spec.Resources{MilliCPU: count * 1000, MemoryMB: 10} }

// counts returns how many tasks of each job were placed on each worker.
func counts(placements []Placement) map[string]int {
	out := map[string]int{}
	for _, pl := range placements {
		out[fmt.Sprintf("%s on %s", pl.Task.Job, pl.Worker)]++
	}
	return out
}

func TestPlace(t *testing.T) {
	cases := map[string]struct {
		groups  []Group
		workers []Worker
		want    map[string]int
	}{
		"no more than fits": {
			[]Group{group("a", spec.Step{Count: 9, Resources: cores(2)})},
			[]Worker{worker("w1", 4), worker("w2", 5)},
			map[string]int{"a on w1": 2, "a on w2": 2},
		},
		"jobs that can meet their objective go first": {
			[]Group{
				group("late", spec.Step{Count: 1, Resources: cores(4)}, func(gr *Group) { gr.StartBy = testNow.Add(-time.Second) }),
				group("soon", spec.Step{Count: 1, Resources: cores(4)}),
			},
			[]Worker{worker("w1", 4)},
			map[string]int{"soon on w1": 1},
		},
		"priority 0 first": {
			[]Group{
				group("second", spec.Step{Count: 1, Resources: cores(4)}, func(gr *Group) { gr.Priority = 1 }),
				group("first", spec.Step{Count: 1, Resources: cores(4)}, func(gr *Group) { gr.StartBy = testNow.Add(time.Hour) }),
			},
			[]Worker{worker("w1", 4)},
			map[string]int{"first on w1": 1},
		},
		"long-running tasks wait for more workers": {
			[]Group{group("a", spec.Step{Count: 5, Resources: cores(1), LongRunning: true, MaxUnavailable: 1}, waitingFor(time.Second))},
			[]Worker{worker("w1", 8), worker("w2", 8)},
			map[string]int{"a on w1": 1, "a on w2": 1},
		},
		"long-running tasks share workers after MaxSpreadWait": {
			[]Group{group("a", spec.Step{Count: 5, Resources: cores(1), LongRunning: true, MaxUnavailable: 1}, waitingFor(MaxSpreadWait))},
			[]Worker{worker("w1", 8), worker("w2", 8)},
			map[string]int{"a on w1": 3, "a on w2": 2},
		},
		"long-running tasks that wait for more workers keep their place": {
			[]Group{
				group("a", spec.Step{Count: 2, Resources: cores(1), LongRunning: true, MaxUnavailable: 1}, waitingFor(time.Second)),
				group("b", spec.Step{Count: 4, Resources: cores(1)}),
			},
			[]Worker{worker("w1", 3)},
			map[string]int{"a on w1": 1, "b on w1": 1},
		},
		"a task that waits for more workers holds up no other": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(1), LongRunning: true, MaxUnavailable: 1}, waitingFor(time.Second), func(gr *Group) {
				gr.Tasks[1].WaitingSince = testNow.Add(-MaxSpreadWait)
				gr.RunsByWorker = map[weir.InstanceID]int{"w1": 1}
			})},
			[]Worker{worker("w1", 3)},
			map[string]int{"a on w1": 1},
		},
		"room for a task that is being stopped": {
			[]Group{
				group("a", spec.Step{Count: 1, Resources: cores(1), LongRunning: true}, func(gr *Group) { gr.Tasks[0].Stopping = true }),
				group("b", spec.Step{Count: 4, Resources: cores(1)}),
			},
			[]Worker{worker("w1", 3)},
			map[string]int{"b on w1": 2},
		},
		"a clock that was set back ends the wait": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(1), LongRunning: true, MaxUnavailable: 1}, waitingFor(-time.Second))},
			[]Worker{worker("w1", 8)},
			map[string]int{"a on w1": 2},
		},
		"max unavailable tasks may share a worker at once": {
			[]Group{group("a", spec.Step{Count: 4, Resources: cores(1), LongRunning: true, MaxUnavailable: 2}, waitingFor(0))},
			[]Worker{worker("w1", 8), worker("w2", 8)},
			map[string]int{"a on w1": 2, "a on w2": 2},
		},
		"long-running tasks of a step are spread": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(1), LongRunning: true, MaxUnavailable: 1})},
			[]Worker{worker("w1", 8), worker("w2", 64)},
			map[string]int{"a on w1": 1, "a on w2": 1},
		},
		"maximum number of tasks per worker": {
			[]Group{group("a", spec.Step{Count: 3, Resources: cores(1), MaxPerWorker: 1}, func(gr *Group) { gr.RunsByWorker["w2"] = 1 })},
			[]Worker{worker("w1", 8), worker("w2", 64)},
			map[string]int{"a on w1": 1},
		},
		"all tasks of a gang or none": {
			[]Group{
				group("gang", spec.Step{Count: 3, Resources: cores(2), Gang: true}),
				group("other", spec.Step{Count: 1, Resources: cores(4)}, func(gr *Group) { gr.StartBy = testNow.Add(time.Minute) }),
			},
			[]Worker{worker("w1", 4)},
			map[string]int{"other on w1": 1},
		},
		"only workers with the label": {
			[]Group{group("a", spec.Step{Count: 1, Resources: cores(1), Label: "b"})},
			[]Worker{worker("w1", 4), func() Worker { wk := worker("w2", 4); wk.Kind = "b"; return wk }()},
			map[string]int{"a on w2": 1},
		},
		"on the rack with the data if possible": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(2), DataRack: "r-w2"})},
			[]Worker{worker("w1", 64), worker("w2", 2)},
			map[string]int{"a on w2": 1, "a on w1": 1},
		},
		"all tasks on one rack": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(2), OneRack: true})},
			[]Worker{worker("w1", 2), worker("w2", 4)},
			map[string]int{"a on w2": 2},
		},
		"a suspect worker last": {
			[]Group{group("a", spec.Step{Count: 1, Resources: cores(1)})},
			[]Worker{func() Worker { wk := worker("w1", 2); wk.Suspect = true; return wk }(), worker("w2", 64)},
			map[string]int{"a on w2": 1},
		},
		"best-effort tasks need no free CPU and avoid serving tasks": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(8), BestEffort: true, LongRunning: true})},
			[]Worker{worker("w1", 1), worker("w2", 1), func() Worker { wk := worker("w3", 64); wk.Serving = 1; return wk }()},
			map[string]int{"a on w1": 1, "a on w2": 1},
		},
		"packed onto workers with long-running tasks": {
			[]Group{group("a", spec.Step{Count: 2, Resources: cores(1)})},
			[]Worker{worker("w1", 2), func() Worker { wk := worker("w2", 64); wk.Serving = 1; return wk }()},
			map[string]int{"a on w2": 2},
		},
		"only workers with a ticket": {
			[]Group{group("a", spec.Step{Count: 3, Resources: cores(1)}, func(gr *Group) { gr.AllowedWorkers = map[weir.InstanceID]string{"w2": "ticket"} })},
			[]Worker{worker("w1", 64), worker("w2", 2)},
			map[string]int{"a on w2": 2},
		},
		"another pool's workers are not used": {
			[]Group{group("a", spec.Step{Count: 1, Resources: cores(1)}, func(gr *Group) { gr.Pool = "lab" })},
			[]Worker{worker("w1", 2)},
			map[string]int{},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, counts(Place(testNow, tc.groups, tc.workers, nil, nil)))
		})
	}
}
