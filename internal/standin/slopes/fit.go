// Package slopes measures how the cost of each mechanism grows with the size
// that drives it, and fits a line to each series. It runs the real code in one
// process. Figures of servers are upper bounds: they are measured over loopback
// and include the cost of the client.
//
// Usage:
//
//	rep, err := slopes.Measure(clk, os.Stderr)
//	err = rep.Write("docs/slopes.json")
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

// Point is one measured value: the median, lowest and highest of several rounds.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Rounds int     `json:"rounds"`
}

// Slope is a series of points with the line fitted to it by least squares.
type Slope struct {
	Name string `json:"name"`
	// Per is the unit of the size, Unit that of the value.
	Per    string  `json:"per"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Residual is the largest deviation of a point from the line, as a share
	// of the largest value.
	Residual float64 `json:"residual"`
}

// Report holds the results of one run and the machine it ran on.
type Report struct {
	Machine string  `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// At returns the value of the line at a size.
func (sl Slope) At(size float64) float64 { return sl.Base + sl.Slope*size }

// Get returns the slope with a name, or an error if there is none.
func (rp Report) Get(name string) (Slope, error) {
	for _, sl := range rp.Slopes {
		if sl.Name == name {
			return sl, nil
		}
	}
	return Slope{}, errors.Errorf("no slope named %q", name)
}

// Write stores the report as JSON.
func (rp Report) Write(path string) error {
	body, err := json.MarshalIndent(rp, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(body, '\n'), 0o644) //nolint:gosec // a file of the documentation
}

// Read loads a report from a JSON file.
func Read(path string) (Report, error) {
	var rep Report
	body, err := os.ReadFile(path) //nolint:gosec // path from a flag or test
	if err != nil {
		return rep, err
	}
	return rep, json.Unmarshal(body, &rep)
}

// fitLine fits a line to the points by least squares.
func fitLine(sl Slope) Slope {
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

// measureSeries measures a value at several sizes and fits a line to it.
func measureSeries(name, per, unit string, sizes []int, measure func(size int) float64) Slope {
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
	return fitLine(sl)
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// cpuMicros runs work and returns its CPU microseconds divided by count.
func cpuMicros(count int, work func()) float64 {
	begin := processCPUTime()
	work()
	return float64((processCPUTime() - begin).Microseconds()) / float64(count)
}

// heapBytes returns the result of build and the heap bytes that it retains.
func heapBytes[T any](build func() T) (kept T, size float64) {
	before := heapInUse()
	kept = build()
	return kept, float64(heapInUse()) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

func machineInfo() string { return fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version()) }
