package store

import (
	"unsafe"

	"greengageweir/internal/job/spec"
)

const (
	// jobBytes is the memory of a job in bytes beside its steps, tasks and text: its
	// state, its names and its places in the indexes.
	jobBytes = 1200
	// indexBytes is the memory of a run in the index of its worker.
	indexBytes = 64

	stepBytes      = int64(unsafe.Sizeof(spec.Step{}))
	stepStateBytes = int64(unsafe.Sizeof(StepState{}))
	taskBytes      = int64(unsafe.Sizeof(Task{})) + indexBytes
	wordBytes      = int64(unsafe.Sizeof(int(0)))

	// growth is how much larger a decoded list may be than its elements need.
	growth = 2
)

// Weight returns about how many bytes of memory each replica needs for a job until it
// has ended. It holds for any specification that passes its check.
func Weight(jb *spec.Job) int64 {
	steps, tasks := int64(len(jb.Steps)), int64(jb.Tasks())
	weight := jobBytes + int64(len(jb.ID)+len(jb.Text)) + growth*steps*stepBytes
	for ix := range jb.Steps {
		st := &jb.Steps[ix]
		weight += growth*int64(len(st.After))*wordBytes + int64(len(st.Label)+len(st.DataRack)+len(st.Image))
	}
	return weight + int64(jb.Occurrences())*(steps*stepStateBytes+tasks*taskBytes)
}

// setWeight sets what a job counts for in the total.
func (st *state) setWeight(js *JobState, weight int64) {
	st.Weight += weight - js.weight
	js.weight = weight
}

// currentWeight returns the weight of a job in its present phase. It drops once the job
// has ended and no run of it is left.
func currentWeight(js *JobState) int64 {
	if js.Occurrences == nil {
		return jobBytes + int64(len(js.Spec.ID))
	}
	return Weight(&js.Spec)
}

// Weight returns about how many bytes of memory the jobs need.
func (rd Reader) Weight() int64 { return rd.st.Weight }
