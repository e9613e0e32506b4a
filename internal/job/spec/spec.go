// Package spec defines the specification of a job as callers submit it: steps of
// identical tasks with resources, dependencies and limits. Treat the values as
// immutable.
//
// Usage:
//
//	jb := spec.Job{ID: "5c0e7a21d94b36f8", Queue: "bookings", Steps: []spec.Step{{Count: 4, Resources: res}}}
//	err := jb.Check() // Kind KindInvalid names the first wrong field
package spec

import (
	"fmt"
	"math"
	"time"

	"greengageweir/internal/common/errkind"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that a job specification is invalid.
const KindInvalid Kind = "job is not valid"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// The limits of one job, which keep it small enough for one entry of the
// replicated log.
const (
	// MaxTextBytes is the maximum length of Job.Text in bytes.
	MaxTextBytes = 4000
	// MaxSteps and MaxTasks limit the state kept for one job; MaxTasks applies to
	// one occurrence.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxOccurrences limits the occurrences of one job.
	MaxOccurrences = 10_000
	// maxStartYear is the last year that JSON timestamps can represent.
	maxStartYear = 9999
)

// JobID is the id that the caller gave to a job.
type JobID = weir.JobID

// TaskRef identifies one task of a job.
type TaskRef = weir.TaskRef

// Resources is an amount of resources: the request of one task, or the total or
// free capacity of a worker.
type Resources struct {
	// MilliCPU is in thousandths of a core, MemoryMB in megabytes, GPU in devices.
	MilliCPU int `json:"cpu,omitempty"`
	MemoryMB int `json:"mem,omitempty"`
	GPU      int `json:"gpu,omitempty"`
}

// Plus returns the sum of two amounts.
func (rs Resources) Plus(other Resources) Resources {
	return Resources{MilliCPU: rs.MilliCPU + other.MilliCPU, MemoryMB: rs.MemoryMB + other.MemoryMB, GPU: rs.GPU + other.GPU}
}

// Minus returns the difference of two amounts.
func (rs Resources) Minus(other Resources) Resources {
	return Resources{MilliCPU: rs.MilliCPU - other.MilliCPU, MemoryMB: rs.MemoryMB - other.MemoryMB, GPU: rs.GPU - other.GPU}
}

// Multiple returns the amounts of count equal requests.
func (rs Resources) Multiple(count int) Resources {
	return Resources{MilliCPU: count * rs.MilliCPU, MemoryMB: count * rs.MemoryMB, GPU: count * rs.GPU}
}

// Times returns a multiple of the amounts, rounded down.
func (rs Resources) Times(factor float64) Resources {
	return Resources{MilliCPU: int(float64(rs.MilliCPU) * factor), MemoryMB: int(float64(rs.MemoryMB) * factor), GPU: int(float64(rs.GPU) * factor)}
}

// NoLimit is the amount of a resource that no limit applies to.
const NoLimit = math.MaxInt

// Left returns what a limit leaves beside the amounts in use: NoLimit for a resource
// with a limit of 0, and a negative amount for one of which more is in use.
func (rs Resources) Left(use Resources) Resources {
	left := func(limit, use int) int {
		if limit == 0 {
			return NoLimit
		}
		return limit - use
	}
	return Resources{MilliCPU: left(rs.MilliCPU, use.MilliCPU), MemoryMB: left(rs.MemoryMB, use.MemoryMB), GPU: left(rs.GPU, use.GPU)}
}

// DominantShare returns the largest fraction of a total that the amounts are, over
// all resources that the total has.
func (rs Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, pair := range [][2]int{{rs.MilliCPU, total.MilliCPU}, {rs.MemoryMB, total.MemoryMB}, {rs.GPU, total.GPU}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

// Max returns the larger amount of each resource.
func (rs Resources) Max(other Resources) Resources {
	return Resources{MilliCPU: max(rs.MilliCPU, other.MilliCPU), MemoryMB: max(rs.MemoryMB, other.MemoryMB), GPU: max(rs.GPU, other.GPU)}
}

// String returns the amounts for logs.
func (rs Resources) String() string {
	return fmt.Sprintf("%dm %dMB %dgpu", rs.MilliCPU, rs.MemoryMB, rs.GPU)
}

// Fits reports whether each resource is within the given free capacity.
func (rs Resources) Fits(free Resources) bool {
	return rs.MilliCPU <= free.MilliCPU && rs.MemoryMB <= free.MemoryMB && rs.GPU <= free.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count int `json:"count"`
	// Resources is the request of one task.
	Resources Resources `json:"need"`
	// Estimate is the caller's rough estimate of the duration of one task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After holds the indexes of earlier steps that must be done before this one
	// starts.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can resume from their last checkpoint.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks can run only all at the same time (gang scheduling).
	Gang bool `json:"gang,omitempty"`
	// OneRack tasks run slower if they are spread over several racks.
	OneRack bool `json:"oneRack,omitempty"`
	// Label is a label that the worker must have; empty allows any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input data.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 is no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative allows concurrent runs of one task.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program. Tasks of the same image behave alike.
	Image string `json:"image,omitempty"`
	// TargetLatency is the response time that the users of a long-running task
	// expect.
	TargetLatency time.Duration `json:"target,omitempty"`
	// BestEffort tasks use idle processor time; their MilliCPU is not reserved on
	// the worker.
	BestEffort bool `json:"filling,omitempty"`
	// MaxUnavailable limits the long-running tasks that maintenance and moves may
	// make unavailable at a time; 0 is no limit.
	MaxUnavailable int `json:"maxAway,omitempty"`
}

// Reserved returns the resources that one task reserves on its worker.
func (st Step) Reserved() Resources {
	if st.BestEffort {
		return Resources{MemoryMB: st.Resources.MemoryMB, GPU: st.Resources.GPU}
	}
	return st.Resources
}

// WithCount returns the step with another number of tasks.
func (st Step) WithCount(count int) Step {
	st.Count = count
	return st
}

// MinWorkers returns the number of workers that the step's tasks should be spread
// over, so that no worker holds more tasks than MaxPerWorker or MaxUnavailable;
// 0 means that any number will do.
func (st Step) MinWorkers() int {
	limit := st.MaxPerWorker
	if st.MaxUnavailable > 0 && (limit == 0 || st.MaxUnavailable < limit) {
		limit = st.MaxUnavailable
	}
	if limit == 0 {
		return 0
	}
	return (st.Count + limit - 1) / limit
}

// Job is what a caller submitted.
type Job struct {
	ID JobID `json:"id"`
	// Queue is the key of the queue that the job was submitted to.
	Queue string `json:"queue"`
	// Team is the team whose key the caller presented; empty on public queues.
	Team weir.TeamName `json:"team,omitempty"`
	// Text is passed unchanged to each task.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// OccurrenceCount is how often the steps run; 0 means once and immediately.
	OccurrenceCount int `json:"times,omitempty"`
	// StartAt is the due time of occurrence 0, Every the time between two
	// occurrences.
	StartAt time.Time     `json:"startAt,omitzero"`
	Every   time.Duration `json:"every,omitempty"`
}

// Occurrences returns how often the steps run, at least 1.
func (jb Job) Occurrences() int { return max(jb.OccurrenceCount, 1) }

// DueAt returns when an occurrence is due; the zero time means immediately.
func (jb Job) DueAt(occurrence int) time.Time {
	if jb.OccurrenceCount == 0 {
		return time.Time{}
	}
	return jb.StartAt.Add(time.Duration(occurrence) * jb.Every)
}

// LongRunning reports whether the job has a step that runs until cancelled.
func (jb Job) LongRunning() bool {
	for _, st := range jb.Steps {
		if st.LongRunning {
			return true
		}
	}
	return false
}

// Tasks returns the number of tasks of one occurrence.
func (jb Job) Tasks() int {
	count := 0
	for _, st := range jb.Steps {
		count += st.Count
	}
	return count
}

// Check returns an error of KindInvalid for the first problem of the job.
func (jb Job) Check() error {
	if len(jb.Text) > MaxTextBytes {
		return invalid("text has %d bytes, at most %d", len(jb.Text), MaxTextBytes)
	}
	if len(jb.Steps) == 0 || len(jb.Steps) > MaxSteps {
		return invalid("%d steps, want 1 to %d", len(jb.Steps), MaxSteps)
	}
	if jb.OccurrenceCount < 0 || jb.OccurrenceCount > MaxOccurrences || jb.Every < 0 {
		return invalid("%d occurrences each %s", jb.OccurrenceCount, jb.Every)
	}
	if year := jb.StartAt.Year(); year < 0 || year > maxStartYear {
		return invalid("starts in the year %d", year)
	}
	if later := jb.OccurrenceCount - 1; later > 0 && jb.Every > math.MaxInt64/time.Duration(later) {
		return invalid("%d occurrences each %s span too long a time", jb.OccurrenceCount, jb.Every)
	}
	for ix, st := range jb.Steps {
		if err := st.check(ix); err != nil {
			return err
		}
	}
	if tasks := jb.Tasks(); tasks > MaxTasks {
		return invalid("%d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

func (st Step) check(ix int) error {
	switch {
	case st.Count < 1 || st.Count > MaxTasks:
		return invalid("step %d has %d tasks, want 1 to %d", ix, st.Count, MaxTasks)
	case st.Resources.MilliCPU < 0 || st.Resources.MemoryMB < 0 || st.Resources.GPU < 0:
		return invalid("step %d has a negative need", ix)
	case st.MaxPerWorker < 0 || st.MaxUnavailable < 0:
		return invalid("step %d has a negative limit", ix)
	case len(st.After) > ix:
		return invalid("step %d is after %d steps, there are %d earlier ones", ix, len(st.After), ix)
	}
	for _, before := range st.After {
		if before < 0 || before >= ix {
			return invalid("step %d is after step %d, which is not an earlier one", ix, before)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return &Error{Op: "check job", Kind: KindInvalid, Err: errors.New(fmt.Sprintf(format, args...))}
}
