package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	weir "greengageweir"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/fleet/view"
)

func testView(index uint64, count int) view.View {
	vw := view.View{Index: index, ConfigNumber: 1, Members: map[weir.InstanceID]view.Member{}}
	vw.Config.Limits = model.Limits{SlotsPerInstance: 2, ConnectionsPerInstance: 4}
	vw.Config.Services = map[weir.ServiceName]model.Service{"desk": {Name: "desk", QueueLength: 3, DeferrableShare: 25}}
	vw.Config.Pools = map[weir.PoolName]model.Pool{"desk": {Name: "desk", Service: "desk"}}
	vw.Config.Teams = map[weir.TeamName]model.Team{"a": {Name: "a", QuotaSlots: 1}}
	for ix := range count {
		id := weir.InstanceID(fmt.Sprintf("n%d", ix))
		vw.Members[id] = view.Member{Instance: id, Pool: "desk", Phase: view.Serving}
	}
	return vw
}

func announcement(id weir.InstanceID, epoch uint64) endpoint.Announcement {
	return endpoint.Announcement{
		Instance: id, Lease: endpoint.Lease{Incarnation: 1, Epoch: epoch}, Address: "127.0.0.1:1", State: endpoint.Serving, SeenView: 1,
	}
}

func testTable(t *testing.T, count int) (*Table, *clock.Manual) {
	clk := clock.NewManual(time.Unix(1_800_000_000, 0))
	tb := New(clk, "north")
	tb.SetView(testView(1, count))
	for ix := range count {
		require.True(t, tb.Announce(announcement(weir.InstanceID(fmt.Sprintf("n%d", ix)), 1)).Granted)
	}
	return tb, clk
}

func request(clk *clock.Manual) *weir.Request {
	return &weir.Request{Service: "desk", Class: weir.Urgent, Deadline: clk.Now().Add(time.Minute)}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	tb, clk := testTable(t, 2)
	var slots []*Slot
	for range 4 {
		slot, err := tb.TryAcquire(request(clk))
		require.NoError(t, err)
		slots = append(slots, slot)
	}
	_, err := tb.TryAcquire(request(clk))
	require.True(t, errkind.Is(err, KindNoSlot))
	slots[0].Release(Succeeded)
	slots[0].Release(Succeeded) // a second release has no effect
	_, err = tb.TryAcquire(request(clk))
	require.NoError(t, err)
	_, err = tb.TryAcquire(request(clk))
	require.True(t, errkind.Is(err, KindNoSlot))
}

func TestAnnounceGrantsOrRefusesLease(t *testing.T) {
	cases := []struct {
		name    string
		change  func(ann *endpoint.Announcement)
		granted bool
	}{
		{"renewed", func(*endpoint.Announcement) {}, true},
		{"next epoch", func(ann *endpoint.Announcement) { ann.Lease.Epoch = 2 }, true},
		{"older epoch", func(ann *endpoint.Announcement) { ann.Lease.Epoch = 0 }, false},
		{"older incarnation", func(ann *endpoint.Announcement) { ann.Lease.Incarnation = 0 }, false},
		{"restarted under the same address", func(ann *endpoint.Announcement) { ann.Lease = endpoint.Lease{Incarnation: 2} }, true},
		{"saw a newer view", func(ann *endpoint.Announcement) { ann.SeenView = 2 }, false},
		{"unknown instance", func(ann *endpoint.Announcement) { ann.Instance = "n9" }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tb, _ := testTable(t, 1)
			ann := announcement("n0", 1)
			tc.change(&ann)
			require.Equal(t, tc.granted, tb.Announce(ann).Granted)
		})
	}
}

func TestLeavingAndExpiredGetNoWork(t *testing.T) {
	tb, clk := testTable(t, 1)
	leaving := announcement("n0", 1)
	leaving.State = endpoint.Leaving
	tb.Announce(leaving)
	_, err := tb.TryAcquire(request(clk))
	require.True(t, errkind.Is(err, KindNoSlot))
	require.False(t, tb.Sweep("e", true)[0].Up)

	tb, clk = testTable(t, 1)
	clk.Advance(LeaseDuration)
	_, err = tb.TryAcquire(request(clk))
	require.True(t, errkind.Is(err, KindNoSlot))
	require.False(t, tb.Sweep("e", false)[0].Up)
	require.Empty(t, tb.Sweep("e", true))
}

// TestTakeoverCountsRequestsOfPreviousOwner guards against overloading an
// endpoint that changes to this entry instance while requests of its previous
// owner are still in flight.
func TestTakeoverCountsRequestsOfPreviousOwner(t *testing.T) {
	tb, clk := testTable(t, 0)
	tb.SetView(testView(2, 1))
	ann := announcement("n0", 2)
	ann.InFlight = 1
	tb.Announce(ann)
	slot, err := tb.TryAcquire(request(clk))
	require.NoError(t, err)
	_, err = tb.TryAcquire(request(clk))
	require.True(t, errkind.Is(err, KindNoSlot), "the previous owner's request still holds a slot")
	tb.Announce(ann) // the request in flight is now our own
	_, err = tb.TryAcquire(request(clk))
	require.NoError(t, err)
	slot.Release(Succeeded)
}

func TestEjection(t *testing.T) {
	tb, clk := testTable(t, 4)
	for range 200 {
		slot, err := tb.TryAcquire(request(clk))
		if err != nil {
			break
		}
		slot.Release(Failed)
	}
	ejected := 0
	for _, ep := range tb.Endpoints() {
		if ep.Ejected {
			ejected++
			require.False(t, ep.Up, "an ejected endpoint does not count as available")
		}
	}
	require.Equal(t, 2, ejected, "at most half of the endpoints are ejected")
	clk.Advance(minEjection + time.Second)
	read := request(clk)
	read.Repeatable = true
	var slots []*Slot
	for range 8 {
		if slot, err := tb.TryAcquire(read); err == nil {
			slots = append(slots, slot)
		}
	}
	require.Len(t, slots, 4+2, "each ejected endpoint is probed with one repeatable request")
	for _, slot := range slots {
		slot.Release(Succeeded)
	}
	for _, ep := range tb.Endpoints() {
		require.False(t, ep.Ejected)
	}
}

// TestSparePoolLends checks what another service may borrow from a spare pool:
// its free slots except the reserve, and nothing while requests of its own
// service wait.
func TestSparePoolLends(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_800_000_000, 0))
	tb := New(clk, "north")
	vw := testView(1, 10)
	vw.Config.Services["lab"] = model.Service{Name: "lab", QueueLength: 3}
	vw.Config.Pools["desk"] = model.Pool{Name: "desk", Service: "desk", Spare: true}
	tb.SetView(vw)
	for id := range vw.Members {
		require.True(t, tb.Announce(announcement(id, 1)).Granted)
	}
	lab := request(clk)
	lab.Service = "lab"
	require.Equal(t, 18, tb.FreeSlots()["lab"])
	var lent []*Slot
	for {
		slot, err := tb.TryAcquire(lab)
		if err != nil {
			break
		}
		lent = append(lent, slot)
	}
	require.Len(t, lent, 18, "a tenth of twenty slots is reserved for the pool's own service")
	for range 2 {
		_, err := tb.TryAcquire(request(clk))
		require.NoError(t, err, "the pool's own service gets the reserve")
	}
	own := wait(tb, request(clk))
	other := wait(tb, lab)
	lent[0].Release(Succeeded)
	require.NoError(t, <-own, "the pool's own service goes first")
	for _, slot := range lent[1:4] {
		slot.Release(Succeeded)
	}
	require.NoError(t, <-other)
}

// wait starts an Acquire, waits until it is queued and returns a channel with
// its error.
func wait(tb *Table, req *weir.Request) <-chan error {
	done := make(chan error, 1)
	before := tb.waitingFor(req.Service)
	go func() {
		slot, err := tb.Acquire(context.Background(), req, nil)
		if err == nil {
			defer slot.Release(Succeeded)
		}
		done <- err
	}()
	for tb.waitingFor(req.Service) == before && len(done) == 0 {
		time.Sleep(time.Millisecond)
	}
	return done
}

func (tb *Table) waitingFor(service weir.ServiceName) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.queue(service).waiting()
}

func TestQueueIsBoundedAndFair(t *testing.T) {
	tb, clk := testTable(t, 1)
	one, err := tb.TryAcquire(request(clk))
	require.NoError(t, err)
	_, err = tb.TryAcquire(request(clk))
	require.NoError(t, err)
	teams := []weir.TeamName{"a", "a", "b"}
	var done []<-chan error
	for _, team := range teams {
		req := request(clk)
		req.Team = team
		done = append(done, wait(tb, req))
	}
	_, err = tb.Acquire(context.Background(), request(clk), nil)
	require.True(t, errkind.Is(err, KindQueueFull))
	one.Release(Succeeded)
	for _, ch := range done {
		require.NoError(t, <-ch)
	}
}

func TestAcquireRefusesRequestThatWouldMissDeadline(t *testing.T) {
	tb, clk := testTable(t, 1)
	slots := make([]*Slot, 2)
	for round := range 2 {
		for ix := range slots {
			var err error
			slots[ix], err = tb.TryAcquire(request(clk))
			require.NoError(t, err)
		}
		if round == 0 {
			clk.Advance(2 * time.Second) // sets the average hold time
			slots[0].Release(Succeeded)
			slots[1].Release(Succeeded)
			tb.Announce(announcement("n0", 1))
		}
	}
	first := wait(tb, request(clk))
	second := wait(tb, request(clk))
	hasty := request(clk)
	hasty.Deadline = clk.Now().Add(time.Second)
	_, err := tb.Acquire(context.Background(), hasty, nil)
	require.True(t, errkind.Is(err, KindWouldMissDeadline))
	slots[0].Release(Succeeded)
	require.NoError(t, <-first)
	require.NoError(t, <-second)
}

func TestDeferrableIsNotStarved(t *testing.T) {
	tb, clk := testTable(t, 2)
	var slots []*Slot
	for range 4 {
		slot, err := tb.TryAcquire(request(clk))
		require.NoError(t, err)
		slots = append(slots, slot)
	}
	urgent := wait(tb, request(clk))
	later := request(clk)
	later.Class = weir.Deferrable
	deferred := wait(tb, later)
	slots[0].Release(Succeeded)
	require.NoError(t, <-deferred, "deferrable requests go first while they hold less than their share")
	require.NoError(t, <-urgent)
}

func TestDrainConfirmationRequiresSeenDrain(t *testing.T) {
	tb, clk := testTable(t, 1)
	slot, err := tb.TryAcquire(request(clk))
	require.NoError(t, err)
	vw := testView(5, 1)
	vw.Members["n0"] = view.Member{Instance: "n0", Pool: "desk", Phase: view.Draining, SinceIndex: 5}
	tb.SetView(vw)
	_, err = tb.TryAcquire(request(clk))
	require.Error(t, err, "a draining instance gets no work")
	require.Empty(t, tb.DrainConfirmations("e"), "work is in flight")
	slot.Release(Succeeded)
	require.Empty(t, tb.DrainConfirmations("e"), "the endpoint has not seen the drain")
	ann := announcement("n0", 1)
	ann.SeenView = 5
	tb.Announce(ann)
	require.Len(t, tb.DrainConfirmations("e"), 1)
}

// BenchmarkCancelBurst measures the cost of cancelling all waiters at several
// lengths of the queue.
func BenchmarkCancelBurst(b *testing.B) {
	for _, length := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			cq := newClassQueue()
			wts := make([]*waiter, length)
			for b.Loop() {
				for ix := range wts {
					wts[ix] = &waiter{req: &weir.Request{Team: weir.TeamName(fmt.Sprint(ix % 130))}}
					cq.push(wts[ix])
				}
				for _, wt := range wts {
					cq.remove(wt)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(length), "ns/waiter")
		})
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			clk := clock.NewManual(time.Unix(1_800_000_000, 0))
			tb := New(clk, "north")
			tb.SetView(testView(1, count))
			for ix := range count {
				tb.Announce(announcement(weir.InstanceID(fmt.Sprintf("n%d", ix)), 1))
			}
			for b.Loop() {
				slot, err := tb.TryAcquire(request(clk))
				require.NoError(b, err)
				slot.Release(Succeeded)
			}
		})
	}
}

// BenchmarkAnnounceZone measures the announcements of all endpoints of a zone,
// as after the restart of an entry instance.
func BenchmarkAnnounceZone(b *testing.B) {
	for _, count := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			clk := clock.NewManual(time.Unix(1_800_000_000, 0))
			vw := testView(1, count)
			for b.Loop() {
				tb := New(clk, "north")
				tb.SetView(vw)
				for ix := range count {
					tb.Announce(announcement(weir.InstanceID(fmt.Sprintf("n%d", ix)), 1))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/worker")
		})
	}
}

// TestWaiterThatWouldMissDeadlineIsRefused guards against granting a slot to a
// waiter whose request would end after its deadline: the slot becomes free when
// less than the average hold time is left.
func TestWaiterThatWouldMissDeadlineIsRefused(t *testing.T) {
	tb, clk := testTable(t, 1)
	slots := make([]*Slot, 2)
	for ix := range slots {
		var err error
		slots[ix], err = tb.TryAcquire(request(clk))
		require.NoError(t, err)
	}
	tb.queue("desk").meanHoldSeconds = 2
	late := request(clk)
	late.Deadline = clk.Now().Add(3 * time.Second)
	first := wait(tb, late)
	second := wait(tb, request(clk))
	clk.Advance(1500 * time.Millisecond)
	slots[0].Release(Succeeded)
	require.True(t, errkind.Is(<-first, KindDeadlineExceeded), "refused before its deadline")
	require.NoError(t, <-second)
}

// TestBorrowedSlotsCountForTheEstimate guards against refusing requests that
// would end in time: a service holds far more slots of a spare pool than of its
// own, and its queue advances with all of them.
func TestBorrowedSlotsCountForTheEstimate(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_800_000_000, 0))
	tb := New(clk, "north")
	vw := testView(1, 10)
	vw.Config.Services["lab"] = model.Service{Name: "lab", QueueLength: 100}
	vw.Config.Pools["desk"] = model.Pool{Name: "desk", Service: "desk", Spare: true}
	vw.Config.Pools["lab"] = model.Pool{Name: "lab", Service: "lab"}
	vw.Members["lab-1"] = view.Member{Instance: "lab-1", Pool: "lab", Phase: view.Serving}
	tb.SetView(vw)
	for id := range vw.Members {
		require.True(t, tb.Announce(announcement(id, 1)).Granted)
	}
	lab := request(clk)
	lab.Service = "lab"
	var slots []*Slot
	for {
		slot, err := tb.TryAcquire(lab)
		if err != nil {
			break
		}
		slots = append(slots, slot)
	}
	require.Len(t, slots, 2+18)
	tb.queue("lab").meanHoldSeconds = 1
	var done []<-chan error
	for range 10 {
		done = append(done, wait(tb, lab))
	}
	hurried := *lab
	hurried.Deadline = clk.Now().Add(3 * time.Second)
	last := wait(tb, &hurried)
	require.Empty(t, last, "ten waiters at twenty slots, held for one second each, end within three seconds")
	for _, slot := range slots {
		slot.Release(Succeeded)
	}
	for _, ch := range append(done, last) {
		require.NoError(t, <-ch)
	}
}
