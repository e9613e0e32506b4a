package session

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// The exploration drives the real store and the real sessions of leaders that
// follow each other with two workers and one task, through every sequence of
// steps up to a depth, and through long sequences drawn at random. Orders are
// lost, answered too late, or carried out later; answers to renewals overtake
// each other; changes of the log fail; leases lapse; leaders change.
const (
	exploreLease = 3 * time.Second
	// exploreStep is how long a step takes.
	exploreStep = 20 * time.Millisecond
	// exploreDepth is the depth that every test run explores; WEIR_EXPLORE_DEPTH
	// names another.
	exploreDepth = 2
	// walkLength and walks are the length and number of the random sequences;
	// WEIR_EXPLORE_WALKS names another number.
	walkLength = 40
	walks      = 1500
)

// step is one thing that can happen next.
type step struct {
	name string
	do   func()
}

// steps lists all that can happen next.
func (wd *world) steps() []step {
	var out []step
	add := func(do func(), name string, args ...any) { out = append(out, step{fmt.Sprintf(name, args...), do}) }
	var tk store.Task
	var over bool
	wd.st.Read(func(rd store.Reader) {
		over = rd.Job("a").Phase.Terminal()
		if found := rd.Job("a").Task(exploredTask); found != nil {
			tk = *found
		}
	})
	for ix, mw := range wd.workers {
		if !over && !tk.Placed() && wd.sessions[ix].Usable() {
			for _, ft := range fates {
				add(func() { wd.place(ix, tk.Run+1, ft) }, "start at %s, fate %d", mw.id, ft)
			}
		}
		for _, ft := range fates[:2] {
			add(func() { wd.renew(ix, ft) }, "renew %s, fate %d", mw.id, ft)
		}
		add(func() { wd.renewLate(ix) }, "renew %s, answer comes late", mw.id)
		for _, ft := range fates {
			add(func() { wd.reconcile(ix, ft, true) }, "reconcile %s, fate %d", mw.id, ft)
		}
		add(func() { wd.reconcile(ix, fateAnswered, false) }, "reconcile %s, log fails", mw.id)
		for key := range mw.runs {
			add(func() { mw.pass(wd.clk.Now()); wd.finish(mw, key) }, "run ends at %s", mw.id)
		}
	}
	for ix := range wd.delayed {
		add(func() { wd.take(&wd.delayed, ix) }, "delayed order %d arrives", ix)
	}
	for ix := range wd.late {
		add(func() { wd.take(&wd.late, ix) }, "late answer %d arrives", ix)
	}
	add(func() { wd.clk.Advance(exploreLease + exploreLease/10) }, "time passes")
	add(func() { wd.term++; wd.lead() }, "another leads")
	return out
}

func (wd *world) take(list *[]func(), ix int) {
	do := (*list)[ix]
	*list = append(append([]func(){}, (*list)[:ix]...), (*list)[ix+1:]...)
	do()
}

func (wd *world) finish(mw *modelWorker, key weir.RunKey) {
	if mw.runs[key] {
		mw.end(key, store.EndDone)
	}
}

// send carries out what a session has queued.
func (wd *world) send(ss *Session, ft fate) {
	for len(ss.orders) > 0 {
		wd.next = ft
		(<-ss.orders)(context.Background())
	}
}

func (wd *world) place(ix, run int, ft fate) {
	key := weir.RunKey{Task: exploredTask, Run: run}
	if wd.apply(store.Change{Start: &store.RunStart{Task: key.Task, Run: run, Worker: wd.workers[ix].id, Incarnation: 1}}) {
		wd.sessions[ix].Start(weir.RunOrder{RunKey: key})
		wd.send(wd.sessions[ix], ft)
	}
}

func (wd *world) renew(ix int, ft fate) {
	wd.next = ft
	wd.sessions[ix].renewOnce(context.Background())
}

// renewLate asks for a report whose answer arrives after other steps.
func (wd *world) renewLate(ix int) {
	ss, sentAt := wd.sessions[ix], wd.clk.Now()
	ss.mu.Lock()
	order := weir.RenewOrder{Token: ss.Token, Acknowledged: ss.recorded}
	ss.mu.Unlock()
	rep := wd.workers[ix].renew(wd, order)
	wd.late = append(wd.late, func() { ss.takeReport(sentAt, rep) })
}

// reconcile does what the owner does with one worker.
func (wd *world) reconcile(ix int, ft fate, logWorks bool) {
	ss, now := wd.sessions[ix], wd.clk.Now()
	id := wd.workers[ix].id
	if ss.LeaseExpired(now) {
		wd.apply(store.Change{Leave: &store.WorkerLeave{ID: id, Incarnation: 1}})
		// It announces itself again, and gets a session of its own.
		wd.apply(store.Change{Join: &store.Worker{ID: id, Incarnation: 1, Address: string(id)}})
		wd.reopen(ix)
		return
	}
	var placed []PlacedRun
	wd.st.Read(func(rd store.Reader) {
		for key := range rd.Runs(id) {
			js := rd.Job(key.Task.Job)
			placed = append(placed, PlacedRun{Key: key, Wanted: !js.Phase.Terminal() && !js.Task(key.Task).Done})
		}
	})
	out := ss.Reconcile(now, placed)
	if len(out.Ends) > 0 {
		if logWorks {
			for en := range out.Ends {
				wd.apply(store.Change{End: &out.Ends[en]})
			}
			ss.EndsCommitted(out.Number)
		} else {
			ss.EndsNotCommitted()
		}
	}
	wd.send(ss, ft)
}

// reopen gives a worker whose lease has lapsed a new session.
func (wd *world) reopen(ix int) {
	kept := wd.sessions
	wd.lead()
	for at := range kept {
		if at != ix {
			wd.sessions[at] = kept[at]
		}
	}
}

// explorePath carries out a sequence and returns how many steps are possible
// next.
func explorePath(t *testing.T, prefix, path []int) int {
	wd := newWorld(t)
	for _, choice := range append(append([]int{}, prefix...), path...) {
		options := wd.steps()
		if choice >= len(options) {
			return 0
		}
		wd.trace = append(wd.trace, options[choice].name)
		options[choice].do()
		wd.clk.Advance(exploreStep)
	}
	return len(wd.steps())
}

// named turns names of steps into choices.
func named(t *testing.T, names ...string) []int {
	var path []int
	wd := newWorld(t)
	for _, name := range names {
		found := -1
		for ix, st := range wd.steps() {
			if st.name == name {
				found = ix
				st.do()
				break
			}
		}
		require.GreaterOrEqual(t, found, 0, "no step %q", name)
		path = append(path, found)
		wd.clk.Advance(exploreStep)
	}
	return path
}

// setting reads a number from the environment.
func setting(t *testing.T, name string, usual int) int {
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	num, err := strconv.Atoi(text)
	require.NoError(t, err)
	return num
}

// TestEverySequenceOfSteps explores from some states that matter.
func TestEverySequenceOfSteps(t *testing.T) {
	begin := []string{"renew w0, fate 0", "renew w1, fate 0"}
	states := map[string][]string{
		"workers are known":         begin,
		"a run is confirmed":        append(begin[:2:2], "start at w0, fate 0"),
		"a run is listed":           append(begin[:2:2], "start at w0, fate 0", "renew w0, fate 0"),
		"nobody answered the start": append(begin[:2:2], "start at w0, fate 1"),
		"the start is on its way":   append(begin[:2:2], "start at w0, fate 2"),
		"a run has ended":           append(begin[:2:2], "start at w0, fate 0", "run ends at w0"),
		"another leads, a run was":  append(begin[:2:2], "start at w0, fate 0", "another leads"),
		"another leads, on its way": append(begin[:2:2], "start at w0, fate 2", "another leads", "renew w0, fate 0", "renew w1, fate 0"),
	}
	for name, state := range states {
		t.Run(name, func(t *testing.T) {
			prefix, depth := named(t, state...), setting(t, "WEIR_EXPLORE_DEPTH", exploreDepth)
			count := 0
			var explore func(path []int)
			explore = func(path []int) {
				count++
				options := explorePath(t, prefix, path)
				if len(path) == depth {
					return
				}
				for choice := range options {
					explore(append(path[:len(path):len(path)], choice))
				}
			}
			explore(nil)
			t.Logf("%d sequences", count)
		})
	}
}

// TestLongSequencesOfSteps draws long sequences; after each the task is done
// once all is well.
func TestLongSequencesOfSteps(t *testing.T) {
	for seed := range int64(setting(t, "WEIR_EXPLORE_WALKS", walks)) {
		rng := rand.New(rand.NewSource(seed))
		wd := newWorld(t)
		for range walkLength {
			options := wd.steps()
			choice := options[rng.Intn(len(options))]
			wd.trace = append(wd.trace, choice.name)
			choice.do()
			wd.clk.Advance(exploreStep)
		}
		wd.settle(seed)
	}
}

// settle lets all go well until the task is done.
func (wd *world) settle(seed int64) {
	for range 60 {
		for _, do := range wd.delayed {
			do()
		}
		wd.delayed = nil
		for ix, mw := range wd.workers {
			wd.renew(ix, fateAnswered)
			wd.reconcile(ix, fateAnswered, true)
			for key := range mw.runs {
				wd.finish(mw, key)
			}
		}
		var tk *store.Task
		over := false
		wd.st.Read(func(rd store.Reader) {
			over = rd.Job("a").Phase == store.Done
			if found := rd.Job("a").Task(exploredTask); found != nil {
				copied := *found
				tk = &copied
			}
		})
		if over {
			return
		}
		if tk != nil && !tk.Placed() && wd.sessions[0].Usable() {
			wd.place(0, tk.Run+1, fateAnswered)
		}
		wd.clk.Advance(100 * time.Millisecond)
	}
	require.Fail(wd.t, "the task is never done", "seed %d: %v", seed, wd.trace)
}
