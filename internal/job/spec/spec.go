// Package spec holds what callers ask for when they submit a job: steps of
// tasks with needs, order and limits. Values are not changed once made.
//
// Usage:
//
//	jb := spec.Job{ID: "5c0e7a21d94b36f8", Queue: "bookings", Steps: []spec.Step{{Count: 4, Need: need}}}
//	err := jb.Check() // Kind KindInvalid names the first wrong field
package spec

import (
	"fmt"
	"time"

	"greengageweir/internal/duty/errkind"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// KindInvalid says that a job cannot be accepted as it is.
const KindInvalid Kind = "job is not valid"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// The bounds of one job. They keep a job within one entry of the log.
const (
	// MaxText is the length of the text that a caller hands in, in bytes.
	MaxText = 4000
	// MaxSteps and MaxTasks bound the book-keeping of one job.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxOccurrences bounds the occurrences of one job.
	MaxOccurrences = 10_000
)

// JobID is the caller's name of a job.
type JobID = weir.JobID

// TaskRef names one task of a job.
type TaskRef = weir.TaskRef

// Resources is what one task needs of a worker.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `json:"cpu,omitempty"`
	MemoryMB int `json:"mem,omitempty"`
	GPU      int `json:"gpu,omitempty"`
}

// Plus returns the sum of two needs.
func (nd Resources) Plus(other Resources) Resources {
	return Resources{MilliCPU: nd.MilliCPU + other.MilliCPU, MemoryMB: nd.MemoryMB + other.MemoryMB, GPU: nd.GPU + other.GPU}
}

// Minus returns the difference of two needs.
func (nd Resources) Minus(other Resources) Resources {
	return Resources{MilliCPU: nd.MilliCPU - other.MilliCPU, MemoryMB: nd.MemoryMB - other.MemoryMB, GPU: nd.GPU - other.GPU}
}

// Fits reports whether the need is within the room.
func (nd Resources) Fits(room Resources) bool {
	return nd.MilliCPU <= room.MilliCPU && nd.MemoryMB <= room.MemoryMB && nd.GPU <= room.GPU
}

// Step is a set of alike tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"need"`
	// Estimate is the caller's rough figure for one task's duration.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can resume from where they were.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks run only together.
	Gang bool `json:"gang,omitempty"`
	// OneRack tasks are slower on more than one rack.
	OneRack bool `json:"oneRack,omitempty"`
	// Label is one that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack where the data is.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 is no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative allows a task to run more than once at a time.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetLatency is the response time that a lasting task's users want.
	TargetLatency time.Duration `json:"target,omitempty"`
	// BestEffort tasks use the processor that others leave; their MilliCPU does
	// not count against a worker.
	BestEffort bool `json:"filling,omitempty"`
	// MaxUnavailable bounds the lasting tasks that planned work may make unavailable
	// at a time; 0 is no bound.
	MaxUnavailable int `json:"maxAway,omitempty"`
}

// Reserved is the need that counts against a worker's room.
func (st Step) Reserved() Resources {
	if st.BestEffort {
		return Resources{MemoryMB: st.Resources.MemoryMB, GPU: st.Resources.GPU}
	}
	return st.Resources
}

// MinWorkers is the number of workers that the step's tasks should be on, so that
// each worker may go without more tasks away than allowed; 0 is no wish.
func (st Step) MinWorkers() int {
	most := st.MaxPerWorker
	if st.MaxUnavailable > 0 && (most == 0 || st.MaxUnavailable < most) {
		most = st.MaxUnavailable
	}
	if most == 0 {
		return 0
	}
	return (st.Count + most - 1) / most
}

// Job is what a caller submitted.
type Job struct {
	ID JobID `json:"id"`
	// Queue is the key of the queue it was submitted to.
	Queue string `json:"queue"`
	// Text is handed to each task as it is.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// OccurrenceCount is how often the steps run; 0 means once, at once.
	OccurrenceCount int `json:"times,omitempty"`
	// StartAt is the due time of occurrence 0; Every separates them.
	StartAt time.Time     `json:"startAt,omitzero"`
	Every   time.Duration `json:"every,omitempty"`
}

// Occurrences returns how often the steps run, at least 1.
func (jb Job) Occurrences() int { return max(jb.OccurrenceCount, 1) }

// DueAt returns when an occurrence is due; the zero time is at once.
func (jb Job) DueAt(occurrence int) time.Time {
	if jb.OccurrenceCount == 0 {
		return time.Time{}
	}
	return jb.StartAt.Add(time.Duration(occurrence) * jb.Every)
}

// LongRunning reports whether the job runs until it is cancelled.
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

// Check reports the first thing that is wrong with the job.
func (jb Job) Check() error {
	if len(jb.Text) > MaxText {
		return invalid("text has %d bytes, at most %d", len(jb.Text), MaxText)
	}
	if len(jb.Steps) == 0 || len(jb.Steps) > MaxSteps {
		return invalid("%d steps, want 1 to %d", len(jb.Steps), MaxSteps)
	}
	if jb.OccurrenceCount < 0 || jb.OccurrenceCount > MaxOccurrences || jb.Every < 0 {
		return invalid("%d occurrences each %s", jb.OccurrenceCount, jb.Every)
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
	case st.Count < 1:
		return invalid("step %d has %d tasks", ix, st.Count)
	case st.Resources.MilliCPU < 0 || st.Resources.MemoryMB < 0 || st.Resources.GPU < 0:
		return invalid("step %d has a negative need", ix)
	case st.MaxPerWorker < 0 || st.MaxUnavailable < 0:
		return invalid("step %d has a negative limit", ix)
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
