// Package worker simulates endpoints and the platform that owns them. Workers
// announce themselves, handle requests on a limited number of slots, record each
// executed request in a journal, report usage, and can be drained and rebooted.
//
// Usage:
//
//	wk := &worker.Worker{ID: "shy-01", Zone: "shyambazar", Entries: addrs, Journal: jo, Clock: clk}
//	go wk.Run(ctx)
//	wk.Reboot("wave1/shy-01/7", time.Second)
package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The error kinds.
const (
	KindJournal Kind = "journal failed"
	KindListen  Kind = "cannot listen"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	defaultSlots    = 8
	usageTimeout    = 6 * time.Second
	drainTimeout    = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
	announceTimeout = 800 * time.Millisecond
	retryPause      = 100 * time.Millisecond
)

// Worker simulates one instance. Set the exported fields before Run.
type Worker struct {
	ID      weir.InstanceID
	Zone    weir.Zone
	Rack    string
	Entries []string
	Journal *Journal
	Clock   weir.Clock
	// Addr is the address to listen on; empty picks a free port.
	Addr string

	mu            sync.Mutex
	addr          string
	lease         endpoint.Lease
	granted       bool
	leaseExpires  time.Time
	entryIndex    int
	slots         int
	seenView      uint64
	leaving       bool
	down          bool
	failing       bool
	inFlight      int
	totals        map[usageKey]*command.UsageTotal
	usageSequence uint64
	// nextReport is the earliest time of the next usage report.
	nextReport     time.Time
	usageInterval  time.Duration
	flushing       bool
	reports        []command.UsageReport
	doneOperations map[string]bool
	wake           chan struct{}
	client         *http.Client
}

type usageKey struct {
	service weir.ServiceName
	team    weir.TeamName
}

// String returns the component's name in logs.
func (wk *Worker) String() string { return "worker " + string(wk.ID) }

// Default initializes the worker and fills in missing settings.
func (wk *Worker) Default() error {
	wk.slots = defaultSlots
	wk.totals = map[usageKey]*command.UsageTotal{}
	wk.doneOperations = map[string]bool{}
	wk.wake = make(chan struct{}, 1)
	wk.lease.Incarnation = uint64(wk.Clock.Now().UnixMilli())
	wk.client = &http.Client{Timeout: announceTimeout}
	if wk.Addr == "" {
		wk.Addr = "127.0.0.1:0"
	}
	return nil
}

// Run serves and announces until the context is cancelled, then drains.
func (wk *Worker) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", wk.Addr)
	if err != nil {
		return &Error{Op: wk.String(), Kind: KindListen, Err: err}
	}
	wk.mu.Lock()
	wk.addr = lis.Addr().String()
	wk.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(wk.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(lis) }()
	defer func() { _ = server.Close() }()
	loopCtx, cancel := context.WithCancel(context.Background())
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		wk.announceLoop(loopCtx)
	}()
	<-ctx.Done()
	wk.drain()
	cancel()
	<-loopDone
	return nil
}

// drain announces that the worker is leaving, waits for requests in flight, and
// then for the acknowledgement of all usage reports.
func (wk *Worker) drain() {
	wk.mu.Lock()
	wk.leaving = true
	wk.mu.Unlock()
	wk.wakeAnnouncer()
	wk.waitUntil(drainTimeout, func() bool { return wk.inFlight == 0 })
	wk.wakeAnnouncer()
	wk.waitUntil(usageTimeout, func() bool { return len(wk.reports) == 0 && len(wk.totals) == 0 })
}

// waitUntil polls cond under the lock until it is true or the timeout passes.
func (wk *Worker) waitUntil(timeout time.Duration, cond func() bool) {
	end := wk.Clock.Now().Add(timeout)
	for wk.Clock.Now().Before(end) {
		wk.mu.Lock()
		ok := cond()
		wk.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(pollInterval)
	}
}

// wakeAnnouncer makes announceLoop send the next announcement at once.
func (wk *Worker) wakeAnnouncer() {
	select {
	case wk.wake <- struct{}{}:
	default:
	}
}

// Reboot takes the worker down for a time and brings it back as the next
// incarnation. A repeated operation has no effect.
func (wk *Worker) Reboot(operation string, downFor time.Duration) {
	wk.mu.Lock()
	if wk.doneOperations[operation] {
		wk.mu.Unlock()
		return
	}
	wk.doneOperations[operation] = true
	if wk.inFlight > 0 {
		_ = wk.Journal.Add(Run{Task: operation, Instance: wk.ID, Cut: true})
	}
	wk.flushing = true
	wk.mu.Unlock()
	wk.wakeAnnouncer()
	wk.waitUntil(usageTimeout, func() bool { return len(wk.reports) == 0 && len(wk.totals) == 0 })
	wk.mu.Lock()
	wk.flushing = false
	wk.down = true
	wk.granted = false
	wk.mu.Unlock()
	time.Sleep(downFor)
	wk.mu.Lock()
	wk.down = false
	wk.lease = endpoint.Lease{Incarnation: wk.lease.Incarnation + 1}
	wk.usageSequence = 0
	wk.mu.Unlock()
	wk.wakeAnnouncer()
}

// SetFailing sets whether the worker answers every request with an error.
func (wk *Worker) SetFailing(failing bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.failing = failing
}
