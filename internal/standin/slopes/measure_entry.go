package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	weir "greengageweir"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/entry/serve"
	"greengageweir/internal/standin/worker"
)

// serveAnnouncements starts the announcement server of an entry instance for size
// instances and returns a client of it.
func (ms *measurer) serveAnnouncements(size int) (client *worker.Announcer, stop context.CancelFunc) {
	an := &serve.AnnouncementServer{Addr: "127.0.0.1:0", Table: ms.newTable(size)}
	ms.check(an.Default())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = an.Run(ctx) }()
	return worker.NewAnnouncer(an.Address()), cancel
}

// announce sends count announcements, of each worker in turn.
func (ms *measurer) announce(client *worker.Announcer, workers, count int) {
	for ix := range count {
		_, err := client.Announce(context.Background(), newAnnouncement(ix%workers))
		ms.check(err)
	}
}

// announceCPU measures announcements over HTTP, with the CPU time of both ends.
func (ms *measurer) announceCPU() Slope {
	return measureSeries("announcement CPU, both ends", "announced worker", "us each", workerSizes, func(size int) float64 {
		client, stop := ms.serveAnnouncements(size)
		defer stop()
		count := max(size, 2000)
		return cpuMicros(count, func() {
			ms.announce(client, size, count)
		})
	})
}

// announceBytes measures the bytes of one announcement in both directions,
// TCP payload only.
func (ms *measurer) announceBytes() Slope {
	return measureSeries("announcement bytes, both directions", "announced worker", "bytes each", []int{50, 5000}, func(size int) float64 {
		client, stop := ms.serveAnnouncements(size)
		defer stop()
		const count = 200
		ms.announce(client, size, count)
		return float64(client.Bytes()) / count
	})
}

func (ms *measurer) entryHeap() Slope {
	return measureSeries("entry heap, view and announced workers", "worker", "bytes", workerSizes, func(size int) float64 {
		tb, heap := heapBytes(func() *routing.Table {
			tb := ms.newTable(size)
			for ix := range size {
				tb.Announce(newAnnouncement(ix))
			}
			return tb
		})
		runtime.KeepAlive(tb)
		return heap
	})
}

func (ms *measurer) sweepCPU() Slope {
	return measureSeries("entry sweep of leases", "announced worker", "us a sweep", workerSizes, func(size int) float64 {
		tb := ms.newTable(size)
		for ix := range size {
			tb.Announce(newAnnouncement(ix))
		}
		const count = 20
		return cpuMicros(count, func() {
			for range count {
				tb.Sweep("entry-00", false)
			}
		})
	})
}

// newLedger returns a ledger with count finished keys.
func (ms *measurer) newLedger(count int) *ledger.Store {
	now := ms.clk.Now()
	st := ledger.NewStore(now.Add(-time.Minute), 10*time.Minute, count+1)
	for ix := range count {
		key, err := ledger.NewKey("zone-00", now)
		ms.check(err)
		st.Reserve(now, peerapi.ReserveRequest{Key: key, Attempt: fmt.Sprintf("entry-00/%d", ix)})
		st.Finish(peerapi.FinishRequest{Key: key, Attempt: fmt.Sprintf("entry-00/%d", ix), Response: weir.Response{
			Kind: weir.Complete, Status: 200, ContentType: "application/json", Body: make([]byte, 120),
		}})
	}
	return st
}

func (ms *measurer) ledgerHeap() Slope {
	return measureSeries("ledger heap", "remembered key", "bytes", keySizes, func(size int) float64 {
		st, heap := heapBytes(func() *ledger.Store { return ms.newLedger(size) })
		runtime.KeepAlive(st)
		return heap
	})
}

func (ms *measurer) reserveMicros() Slope {
	return measureSeries("ledger reservation", "remembered key", "us each", keySizes, func(size int) float64 {
		st := ms.newLedger(size)
		now := ms.clk.Now()
		const count = 1000
		list := make([]string, count)
		for ix := range list {
			key, err := ledger.NewKey("zone-00", now)
			ms.check(err)
			list[ix] = key
		}
		return cpuMicros(count, func() {
			for _, key := range list {
				st.Reserve(now, peerapi.ReserveRequest{Key: key, Attempt: "entry-00/x"})
			}
		})
	})
}

func (ms *measurer) advertBytes() Slope {
	return measureSeries("advert of free slots", "service", "bytes", []int{5, 20, 50}, func(size int) float64 {
		ad := peerapi.Advert{Entry: "zone-00-1", Free: map[weir.ServiceName]int{}}
		for ix := range size {
			ad.Free[weir.ServiceName(fmt.Sprintf("pool-%02d", ix))] = rand.Intn(90) + 10 //nolint:gosec // a size only
		}
		data, err := json.Marshal(ad)
		ms.check(err)
		return float64(len(data))
	})
}
