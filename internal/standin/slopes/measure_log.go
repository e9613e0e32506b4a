package slopes

import (
	"os"

	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"
)

// writeLog writes a log of count entries to a new directory and returns its path.
func (ms *measurer) writeLog(count int) string {
	dir, err := os.MkdirTemp("", "weir-slopes")
	ms.check(err)
	ms.check(wal.Format(dir, false))
	lg, _, err := wal.Open(dir)
	ms.check(err)
	if ms.err != nil {
		return dir
	}
	body := make([]byte, 300)
	var list []replica.Entry
	for ix := range count {
		list = append(list, replica.Entry{Index: uint64(ix) + 1, Term: 1, Kind: replica.EntryCommand, Data: body})
	}
	ms.check(lg.Append(nil, list, 0))
	ms.check(lg.Close())
	return dir
}

func (ms *measurer) replayMillis() Slope {
	return measureSeries("recovery of the log", "entry", "ms", logSizes, func(size int) float64 {
		dir := ms.writeLog(size)
		defer func() { _ = os.RemoveAll(dir) }()
		begin := ms.clk.Now()
		lg, _, err := wal.Open(dir)
		ms.check(err)
		took := ms.clk.Now().Sub(begin)
		ms.check(lg.Close())
		return took.Seconds() * 1000
	})
}

func (ms *measurer) appendMillis() Slope {
	return measureSeries("append and sync a batch", "entry in the batch", "ms", []int{1, 64, 512}, func(size int) float64 {
		dir := ms.writeLog(0)
		defer func() { _ = os.RemoveAll(dir) }()
		lg, _, err := wal.Open(dir)
		ms.check(err)
		defer func() { _ = lg.Close() }()
		list := make([]replica.Entry, size)
		for ix := range list {
			list[ix] = replica.Entry{Index: uint64(ix) + 1, Term: 1, Kind: replica.EntryCommand, Data: make([]byte, 300)}
		}
		const count = 20
		begin := ms.clk.Now()
		for range count {
			ms.check(lg.Append(nil, list, 0))
		}
		return ms.clk.Now().Sub(begin).Seconds() * 1000 / count
	})
}
