package scheduler

import (
	"cmp"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// These tests run three members with the real log, store and scheduler against
// model workers and a model platform. They try all short sequences of events from
// a set of states, and long random sequences: frozen, cut off and restarted
// members, orders that are lost, late or not answered, commits of unknown outcome,
// workers that start again under the same id or are cut off, a wave, a cancellation, caps that are
// lowered and raised.
const (
	// exploreDepth is the length of the sequences that are tried exhaustively.
	// WEIR_EXPLORE_DEPTH overrides it.
	exploreDepth = 1
	// walks and walkLength are the number and the length of the random sequences.
	// WEIR_EXPLORE_WALKS overrides the number.
	walks      = 250
	walkLength = 120
	// warmupSteps are the fault-free steps before the sequences begin.
	warmupSteps = 12
)

// event is one possible next step; the weight is its share of random draws.
type event struct {
	name   string
	weight int
	do     func()
}

// events returns all steps that are possible next, in a fixed order.
func (sim *simulation) events() []event {
	var out []event
	add := func(weight int, do func(), name string, args ...any) {
		out = append(out, event{fmt.Sprintf(name, args...), weight, do})
	}
	for _, by := range []time.Duration{simTick, simElection, 1200 * time.Millisecond, simOrderDelay} {
		add(10, func() { sim.advance(by) }, "advance %v", by)
	}
	for _, mb := range sim.members {
		sim.addMemberEvents(mb, add)
	}
	for _, wk := range sim.workers {
		for key := range wk.Runs {
			if key.Task.Job == "b" {
				continue
			}
			add(8, func() { sim.finish(wk.ID, key, store.EndDone) }, "%v is done at %s", key, wk.ID)
			add(1, func() { sim.finish(wk.ID, key, store.EndFailed) }, "%v fails at %s", key, wk.ID)
		}
		if sim.machines["m"+string(wk.ID)].busyTill.IsZero() {
			add(1, func() { sim.crashWorker(wk) }, "%s starts again", wk.ID)
		}
		add(2, func() { sim.cutOff[wk.ID] = !sim.cutOff[wk.ID] }, "%s cut off %v", wk.ID, !sim.cutOff[wk.ID])
	}
	for ix := range sim.delayed {
		add(4, func() { sim.deliverDelayed(ix) }, "delayed order %d arrives", ix)
	}
	if !sim.cancelled {
		id := spec.JobID("c")
		add(2, func() { sim.submit(store.Change{Cancel: &id}) }, "job c is cancelled")
	}
	for _, limit := range []int{1, 3} {
		add(3, func() { sim.submit(sim.nextCatalog(limit)) }, "cap of %d tasks", limit)
	}
	// Runs and sessions come from maps.
	slices.SortStableFunc(out, func(one, other event) int { return cmp.Compare(one.name, other.name) })
	return out
}

// addMemberEvents adds the steps of one member. A frozen one makes none; one that
// has just woken acts on what it knew before its log ticks.
func (sim *simulation) addMemberEvents(mb *simMember, add func(weight int, do func(), name string, args ...any)) {
	if mb.frozen {
		add(6, func() { mb.frozen = false }, "%s wakes", mb.id)
		return
	}
	add(1, func() { mb.frozen = true }, "%s freezes", mb.id)
	add(2, func() { mb.cut = !mb.cut }, "%s cut %v", mb.id, !mb.cut)
	add(1, func() { mb.start() }, "%s restarts", mb.id)
	if mb.publishedTerm == 0 {
		return
	}
	add(30, func() { mb.round() }, "%s round", mb.id)
	if len(mb.committer.queue) > 0 {
		for _, fate := range commitOutcomes {
			add(20/(1+3*int(fate)), func() { mb.commit(fate) }, "%s commit, outcome %d", mb.id, fate)
		}
	}
	for _, fate := range orderOutcomes {
		weight := 12 / (1 + int(fate))
		if len(mb.waiting) > 0 {
			add(weight, func() { mb.answerFirst(fate) }, "%s platform call, outcome %d", mb.id, fate)
		}
		for _, ss := range mb.sessions {
			add(weight, func() { sim.step(fate, func() { ss.RenewOnce(ss.ctx) }) }, "%s renews %s, outcome %d", mb.id, ss.Worker.ID, fate)
			add(2*weight, func() { sim.step(fate, func() { ss.SendNext(ss.ctx) }) }, "%s order to %s, outcome %d", mb.id, ss.Worker.ID, fate)
		}
	}
	for _, wk := range sim.workers {
		if !mb.knows(wk.ID, wk.Incarnation) && !sim.cutOff[wk.ID] && sim.machines["m"+string(wk.ID)].busyTill.IsZero() {
			add(10, func() {
				mb.committer.Submit([]store.Change{{Join: sim.announcement(wk)}}, func([]store.Result, error) {})
			}, "%s announces itself to %s", wk.ID, mb.id)
		}
	}
}

// answerFirst makes the member's oldest call to the platform.
func (mb *simMember) answerFirst(fate outcome) {
	wait := mb.waiting[0]
	mb.waiting = mb.waiting[1:]
	mb.sim.step(fate, wait)
}

// step does something with an outcome for the first order that it sends.
func (sim *simulation) step(fate outcome, do func()) {
	sim.next = fate
	do()
	sim.next = outcomeAnswered
}

func (sim *simulation) finish(id weir.InstanceID, key weir.RunKey, how store.EndReason) {
	wk := sim.machines["m"+string(id)].worker
	wk.ExpireLease(sim.clk.Now())
	if !wk.Runs[key] {
		return
	}
	if how == store.EndDone {
		sim.doneRuns[key.Task] = true
	}
	wk.EndRun(key, how)
}

func (sim *simulation) deliverDelayed(ix int) {
	late := sim.delayed[ix]
	sim.delayed = append(append([]delayedOrder{}, sim.delayed[:ix]...), sim.delayed[ix+1:]...)
	if !sim.clk.Now().After(late.until) {
		late.do()
	}
}

// submit queues a change at a member that leads.
func (sim *simulation) submit(ch store.Change) {
	for _, mb := range sim.members {
		if !mb.frozen && mb.IsLeader() {
			mb.committer.Submit([]store.Change{ch}, func([]store.Result, error) {})
			return
		}
	}
}

// run performs an event and notes it.
func (sim *simulation) run(ev event) {
	sim.trace = append(sim.trace, ev.name)
	ev.do()
	sim.advance(simTick)
}

// calmStep lets every running member do all its work without faults.
func (sim *simulation) calmStep() {
	for _, mb := range sim.members {
		mb.round()
		for len(mb.waiting) > 0 {
			mb.answerFirst(outcomeAnswered)
		}
		mb.commit(outcomeAnswered)
		for _, ss := range mb.sessions {
			for ss.SendNext(ss.ctx) {
			}
			ss.RenewOnce(ss.ctx)
		}
	}
	for _, wk := range sim.workers {
		if sim.machines["m"+string(wk.ID)].busyTill.IsZero() {
			sim.submitAnnouncement(wk.ID)
		}
	}
	sim.advance(2 * simTick)
}

// knows reports whether the member's state holds an incarnation of a worker.
func (mb *simMember) knows(id weir.InstanceID, incarnation int64) (known bool) {
	mb.st.Read(func(rd store.Reader) {
		wk, ok := rd.Worker(id)
		known = ok && wk.Incarnation == incarnation
	})
	return known
}

func (sim *simulation) submitAnnouncement(id weir.InstanceID) {
	wk := sim.announcement(sim.machines["m"+string(id)].worker)
	for _, mb := range sim.members {
		if mb.IsLeader() && !mb.knows(id, wk.Incarnation) {
			mb.committer.Submit(mb.scheduler.JoinChanges(*wk), func([]store.Result, error) {})
		}
	}
}

// complete ends all faults and checks that everything comes to its end: job a is
// done or has failed as often as allowed, job b runs unless it has failed for the
// workers that crashed under it, job c is over, the wave is done.
func (sim *simulation) complete(label string) {
	for _, mb := range sim.members {
		mb.frozen, mb.cut = false, false
	}
	clear(sim.cutOff)
	for range 600 {
		for len(sim.delayed) > 0 {
			sim.deliverDelayed(0)
		}
		sim.calmStep()
		for _, wk := range sim.workers {
			for key := range wk.Runs {
				if key.Task.Job != "b" {
					sim.finish(wk.ID, key, store.EndDone)
				}
			}
		}
		if sim.over() {
			return
		}
	}
	require.Fail(sim.t, "work does not complete", "%s: %s", label, sim)
}

func (sim *simulation) over() bool {
	over, wanted := false, 2
	for _, mb := range sim.members {
		if !mb.IsLeader() {
			continue
		}
		mb.st.Read(func(rd store.Reader) {
			if rd.Job("b").Phase == store.Failed {
				wanted = 0
			}
			over = rd.Job("a").Phase.Terminal() && rd.Job("c").Phase.Terminal() && rd.Waves()[1].AllStarted() && rd.Job("b").Placed == wanted
		})
	}
	running := 0
	for _, wk := range sim.workers {
		for key := range wk.Runs {
			if key.Task.Job != "b" {
				return false
			}
			running++
		}
	}
	return over && running == wanted
}

// envCount reads a number from the environment.
func envCount(t *testing.T, name string, def int) int {
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	num, err := strconv.Atoi(text)
	require.NoError(t, err)
	return num
}

// startedSimulation returns a simulation after some fault-free steps.
func startedSimulation(t *testing.T, steps int) *simulation {
	sim := newJobSimulation(t)
	for range steps {
		sim.calmStep()
	}
	return sim
}

// TestAllShortEventSequences tries all sequences up to a depth from a set of
// states.
func TestAllShortEventSequences(t *testing.T) {
	depth := envCount(t, "WEIR_EXPLORE_DEPTH", exploreDepth)
	for _, steps := range []int{0, 2, 4, warmupSteps} {
		t.Run(fmt.Sprintf("after %d steps", steps), func(t *testing.T) {
			count := 0
			var explore func(path []string)
			explore = func(path []string) {
				count++
				sim := startedSimulation(t, steps)
				for _, name := range path {
					sim.runNamed(name)
				}
				names := []string{}
				for _, ev := range sim.events() {
					names = append(names, ev.name)
				}
				sim.complete(fmt.Sprint(path))
				if len(path) == depth {
					return
				}
				for _, name := range names {
					explore(append(path[:len(path):len(path)], name))
				}
			}
			explore(nil)
			t.Logf("%d sequences", count)
		})
	}
}

func (sim *simulation) runNamed(name string) {
	for _, ev := range sim.events() {
		if ev.name == name {
			sim.run(ev)
			return
		}
	}
}

// TestRandomEventSequences runs long random sequences. After each of them all
// work must complete once no more faults occur.
func TestRandomEventSequences(t *testing.T) {
	first := envCount(t, "WEIR_EXPLORE_SEED", 1)
	for run := range envCount(t, "WEIR_EXPLORE_WALKS", walks) {
		seed := first + run
		rng := rand.New(rand.NewSource(int64(seed)))
		sim := startedSimulation(t, rng.Intn(warmupSteps))
		for range walkLength {
			sim.run(draw(rng, sim.events()))
		}
		sim.complete(fmt.Sprintf("seed %d", seed))
	}
}

func draw(rng *rand.Rand, events []event) event {
	total := 0
	for _, ev := range events {
		total += ev.weight
	}
	at := rng.Intn(total)
	for _, ev := range events {
		if at < ev.weight {
			return ev
		}
		at -= ev.weight
	}
	return events[0]
}
