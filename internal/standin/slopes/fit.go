// Package slopes measures how the cost of each mechanism grows with the size
// that drives it, on the real code in one process, and fits a line to each.
// Where a server is measured over loopback, the client's cost is included, so
// that the figures are upper bounds.
//
// Usage:
//
//	rep := slopes.Measure(clk, os.Stderr)
//	rep.Write("docs/slopes.json")
package slopes

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"sort"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Point is one measured value: the median of several rounds.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Rounds int     `json:"rounds"`
}

// Slope is a series with the line fitted to it by least squares.
type Slope struct {
	Name string `json:"name"`
	// Per is what the size counts, Unit what the value is.
	Per    string  `json:"per"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Residual is the largest deviation of a point from the line, as a share
	// of the largest value.
	Residual float64 `json:"residual"`
}

// Report is a whole run.
type Report struct {
	Machine string  `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// At returns the value of the line at a size.
func (sl Slope) At(size float64) float64 { return sl.Base + sl.Slope*size }

// Get returns the slope with a name.
func (rp Report) Get(name string) (Slope, error) {
	for _, sl := range rp.Slopes {
		if sl.Name == name {
			return sl, nil
		}
	}
	return Slope{}, errors.Errorf("no slope is named %s", name)
}

// Write stores the report as JSON.
func (rp Report) Write(path string) error {
	body, err := json.MarshalIndent(rp, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(body, '\n'), 0o644) //nolint:gosec // a page of the docs
}

// Read loads a report.
func Read(path string) (Report, error) {
	var rep Report
	body, err := os.ReadFile(path) //nolint:gosec // path from a flag or test
	if err != nil {
		return rep, err
	}
	return rep, json.Unmarshal(body, &rep)
}

func fit(sl Slope) Slope {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(sl.Points))
	for _, pt := range sl.Points {
		sumX += pt.Size
		sumY += pt.Value
		sumXX += pt.Size * pt.Size
		sumXY += pt.Size * pt.Value
	}
	det := count*sumXX - sumX*sumX
	if det != 0 {
		sl.Slope = (count*sumXY - sumX*sumY) / det
	}
	sl.Base = (sumY - sl.Slope*sumX) / count
	top, worst := 0.0, 0.0
	for _, pt := range sl.Points {
		top = math.Max(top, math.Abs(pt.Value))
		worst = math.Max(worst, math.Abs(pt.Value-sl.At(pt.Size)))
	}
	if top > 0 {
		sl.Residual = worst / top
	}
	return sl
}

// rounds is how often each point is measured.
const rounds = 5

// series measures a value at several sizes and fits a line.
func series(name, per, unit string, sizes []int, measure func(size int) float64) Slope {
	sl := Slope{Name: name, Per: per, Unit: unit}
	for _, size := range sizes {
		vals := make([]float64, 0, rounds)
		for range rounds {
			vals = append(vals, measure(size))
		}
		sort.Float64s(vals)
		sl.Points = append(sl.Points, Point{
			Size: float64(size), Value: vals[rounds/2], Low: vals[0], High: vals[rounds-1], Rounds: rounds,
		})
	}
	return fit(sl)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// cpuMicros returns the processor microseconds that each of count calls takes.
func cpuMicros(count int, work func()) float64 {
	begin := cpuTime()
	work()
	return float64((cpuTime() - begin).Microseconds()) / float64(count)
}

// heapBytes returns the bytes in use on the heap that build's result keeps.
func heapBytes[T any](build func() T) (kept T, size float64) {
	before := heapNow()
	kept = build()
	return kept, float64(heapNow()) - float64(before)
}

func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

func machine() string { return fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version()) }
