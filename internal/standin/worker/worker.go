// Package worker is a small stand-in for endpoints and the platform that owns
// them: workers that announce themselves, run requests on slots, keep a
// journal of what really ran, report usage, and can be drained and rebooted.
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

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindJournal Kind = "journal failed"
	KindListen  Kind = "cannot listen"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	defaultSlots    = 8
	settlePatience  = 6 * time.Second
	drainPatience   = 30 * time.Second
	pollEvery       = 20 * time.Millisecond
	announceTimeout = 800 * time.Millisecond
	retryPause      = 100 * time.Millisecond
)

// Worker is one instance. Set the exported fields before Run.
type Worker struct {
	ID      weir.InstanceID
	Zone    weir.Zone
	Rack    string
	Entries []string
	Journal *Journal
	Clock   weir.Clock
	// Addr is the address to listen on; empty picks a free port.
	Addr string

	mu       sync.Mutex
	addr     string
	lease    endpoint.Lease
	granted  bool
	expires  time.Time
	entry    int
	slots    int
	seenView uint64
	leaving  bool
	down     bool
	failing  bool
	inFlight int
	totals   map[usageKey]*command.UsageTotal
	sequence uint64
	// nextReport is when the next usage report may be made.
	nextReport time.Time
	usageEvery time.Duration
	flushing   bool
	reports    []command.UsageReport
	done       map[string]bool
	wake       chan struct{}
	client     *http.Client
}

type usageKey struct {
	service weir.ServiceName
	team    weir.TeamName
}

// String is the step's name in logs.
func (wk *Worker) String() string { return "worker " + string(wk.ID) }

// Default fills the settings.
func (wk *Worker) Default() error {
	wk.slots = defaultSlots
	wk.totals = map[usageKey]*command.UsageTotal{}
	wk.done = map[string]bool{}
	wk.wake = make(chan struct{}, 1)
	wk.lease.Incarnation = uint64(wk.Clock.Now().UnixMilli())
	wk.client = &http.Client{Timeout: announceTimeout}
	if wk.Addr == "" {
		wk.Addr = "127.0.0.1:0"
	}
	return nil
}

// Run serves and announces until the context ends, then leaves gracefully.
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
	wk.leave()
	cancel()
	<-loopDone
	return nil
}

// leave says so, lets requests in flight finish, and waits until the usage is
// settled.
func (wk *Worker) leave() {
	wk.mu.Lock()
	wk.leaving = true
	wk.mu.Unlock()
	wk.nudge()
	wk.await(drainPatience, func() bool { return wk.inFlight == 0 })
	wk.nudge()
	wk.await(settlePatience, func() bool { return len(wk.reports) == 0 && len(wk.totals) == 0 })
}

// await polls a condition under the lock.
func (wk *Worker) await(patience time.Duration, cond func() bool) {
	end := wk.Clock.Now().Add(patience)
	for wk.Clock.Now().Before(end) {
		wk.mu.Lock()
		ok := cond()
		wk.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(pollEvery)
	}
}

func (wk *Worker) nudge() {
	select {
	case wk.wake <- struct{}{}:
	default:
	}
}

// Reboot takes the worker down for a time and brings it back as the next
// incarnation. An operation that was done before does nothing.
func (wk *Worker) Reboot(operation string, downFor time.Duration) {
	wk.mu.Lock()
	if wk.done[operation] {
		wk.mu.Unlock()
		return
	}
	wk.done[operation] = true
	if wk.inFlight > 0 {
		_ = wk.Journal.Add(Run{Task: operation, Instance: wk.ID, Cut: true})
	}
	wk.flushing = true
	wk.mu.Unlock()
	wk.nudge()
	wk.await(settlePatience, func() bool { return len(wk.reports) == 0 && len(wk.totals) == 0 })
	wk.mu.Lock()
	wk.flushing = false
	wk.down = true
	wk.granted = false
	wk.mu.Unlock()
	time.Sleep(downFor)
	wk.mu.Lock()
	wk.down = false
	wk.lease = endpoint.Lease{Incarnation: wk.lease.Incarnation + 1}
	wk.sequence = 0
	wk.mu.Unlock()
	wk.nudge()
}

// SetFailing makes the worker fail everything, or stop doing so.
func (wk *Worker) SetFailing(failing bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.failing = failing
}
