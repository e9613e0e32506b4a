package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/workermodel"

	weir "greengageweir"
)

const (
	// orderDelay is how long an unanswered order can be under way.
	orderDelay = 12 * time.Second
	// unansweredWait is when the run of an unanswered start is over at the latest: the
	// longest lease on a clock that is 2 % slow, after that delay.
	unansweredWait = orderDelay + workermodel.HoldMax*100/98
	// leaseWait is when a run is over whose start was answered, if its worker falls
	// silent: a lease on such a clock, after the last renewal.
	leaseWait = simLease * 100 / 98
	// noticeTime is within which a scheduler acts on either.
	noticeTime = 2 * time.Second
)

// taskA is the only task of the job that stepped.submit submits.
var taskA = weir.TaskRef{Job: "a"}

// unanswered is a scheduler with the workers w0 and w1, of which the test makes w0 leave
// orders unanswered. It fails if a task runs twice at a time, or again after an end that
// was acknowledged.
type unanswered struct {
	*stepped
	*lateWorkers
	done map[weir.TaskRef]bool
}

func newUnanswered(t *testing.T) *unanswered {
	sp := newStepped(t, nil, nil)
	sp.sc.Lease, sp.sc.MaxLease = simLease, workermodel.HoldMax
	un := &unanswered{stepped: sp, lateWorkers: newLateWorkers(sp.clk), done: map[weir.TaskRef]bool{}}
	sp.sc.Workers = un.lateWorkers
	for _, id := range []weir.InstanceID{"w0", "w1"} {
		model := workermodel.New(id, 1, sp.clk.Now())
		model.OnStart = func(key weir.RunKey) {
			require.False(t, un.done[key.Task], "TWICE: run %v starts at %s after an end was acknowledged", key, id)
			for _, other := range un.models {
				other.ExpireLease(sp.clk.Now())
				for run := range other.Runs {
					require.NotEqual(t, key.Task, run.Task, "TWICE: run %d starts at %s while run %d is at %s", key.Run, id, run.Run, other.ID)
				}
			}
		}
		model.OnAcknowledged = func(en weir.RunEnd) { un.done[en.Task] = un.done[en.Task] || en.Reason == string(store.EndDone) }
		un.models[id] = model
	}
	sp.join("w0", 1)
	un.pass(time.Second)
	return un
}

// pass lets time pass in short steps.
func (un *unanswered) pass(span time.Duration) {
	const step = 100 * time.Millisecond
	for ; span > 0; span -= step {
		un.stepped.step(step)
		for _, model := range un.models {
			model.ExpireLease(un.stepped.clk.Now())
		}
	}
}

// passUntil lets time pass until the condition holds, which must not take longer than most.
func (un *unanswered) passUntil(most time.Duration, holds func() bool) {
	begin := un.stepped.clk.Now()
	for !holds() {
		require.LessOrEqual(un.t, un.stepped.clk.Now().Sub(begin), most, "it takes too long")
		un.pass(100 * time.Millisecond)
	}
}

// startsAgain reports whether the second run of job a's task is at w1.
func (un *unanswered) startsAgain() bool {
	return un.models["w1"].Runs[weir.RunKey{Task: taskA, Run: 2}]
}

// start submits a job of one task, whose first run is ordered to start at w0. Orders to
// w0 from then on are late if late is set, of which only the start is kept.
func (un *unanswered) start(job spec.JobID, late bool) weir.RunKey {
	un.apply(store.Change{Submit: &spec.Job{ID: job, Queue: "h/q/", Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}}}}})
	un.sc.round(un.t.Context(), un.ls, un.stepped.clk.Now(), true)
	un.commit()
	un.late["w0"] = late
	require.True(un.t, un.ls.sessions["w0"].session.SendNext(un.t.Context()))
	return weir.RunKey{Task: weir.TaskRef{Job: job}, Run: 1}
}

// deliverFirst carries out the first order that was held. The others are lost.
func (un *unanswered) deliverFirst() {
	un.held = un.held[:1]
	un.deliver()
}

// restart crashes w0 and starts it again behind a cut.
func (un *unanswered) restart() {
	un.models["w0"].Restart(2, un.stepped.clk.Now())
}

// TestLateStartOnUnknownIncarnation guards against a task that runs twice because its
// unanswered start is carried out by a worker that has started again behind a cut.
func TestLateStartOnUnknownIncarnation(t *testing.T) {
	for name, delay := range map[string]time.Duration{"early": 5 * time.Second, "at the last moment": orderDelay - 400*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			un := newUnanswered(t)
			key := un.start("a", true)
			un.join("w1", 1)
			un.pass(time.Second)
			un.restart()
			un.pass(delay - 1200*time.Millisecond)
			un.deliverFirst()
			require.True(t, un.models["w0"].Runs[key], "the start is carried out")
			un.passUntil(unansweredWait+noticeTime, un.startsAgain)
		})
	}
}

// TestLateStartOfAStoppedRun guards against a task that runs twice because its first start
// was not answered and was stopped, the task was started again on the same worker, and that
// worker has crashed since and carries out the first start as an incarnation behind a cut.
func TestLateStartOfAStoppedRun(t *testing.T) {
	for name, announces := range map[string]bool{"the worker stays away": false, "the worker announces itself": true} {
		t.Run(name, func(t *testing.T) {
			un := newUnanswered(t)
			first := un.start("a", true)
			sent := un.stepped.clk.Now()
			un.late["w0"] = false
			un.passUntil(noticeTime, func() bool { return un.models["w0"].Runs[weir.RunKey{Task: taskA, Run: 2}] })
			un.join("w1", 1)
			un.pass(time.Second)
			un.late["w0"] = true
			un.restart()
			un.pass(5 * time.Second)
			un.deliverFirst()
			require.True(t, un.models["w0"].Runs[first], "the first start is carried out")
			third := func() bool { return un.models["w1"].Runs[weir.RunKey{Task: taskA, Run: 3}] }
			if announces {
				un.late["w0"] = false
				un.join("w0", 2)
				un.passUntil(noticeTime, func() bool { return third() || un.models["w0"].Runs[weir.RunKey{Task: taskA, Run: 3}] })
				return
			}
			un.passUntil(unansweredWait+noticeTime-un.stepped.clk.Now().Sub(sent), third)
		})
	}
}

// TestStoppedRunHoldsUpNoOtherWorker guards against a lasting task without a run for 22 s
// because its first start was not answered and was stopped, if the run after that was on
// another worker and both are lost.
func TestStoppedRunHoldsUpNoOtherWorker(t *testing.T) {
	un := newUnanswered(t)
	un.models["w2"] = workermodel.New("w2", 1, un.stepped.clk.Now())
	un.start("a", true)
	un.late["w0"] = false
	un.ls.avoidWorker[taskA] = "w0"
	un.join("w1", 1)
	un.passUntil(noticeTime, un.startsAgain)
	un.pass(time.Second)
	un.join("w2", 1)
	un.late["w0"], un.late["w1"] = true, true
	un.passUntil(leaseWait+noticeTime, func() bool { return un.models["w2"].Runs[weir.RunKey{Task: taskA, Run: 3}] })
}

// TestLateAcknowledgementOnUnknownIncarnation guards against a task that runs again
// because both its start and an earlier acknowledgement are carried out by a worker that
// has started again behind a cut, which then forgets an end that nobody has seen.
func TestLateAcknowledgementOnUnknownIncarnation(t *testing.T) {
	un := newUnanswered(t)
	earlier := un.start("b", false)
	un.models["w0"].EndRun(earlier, store.EndDone)
	un.pass(200 * time.Millisecond)
	un.late["w0"] = true
	un.inFlight = func() {
		un.commit()
		require.True(t, un.ls.sessions["w0"].session.SendNext(t.Context()), "a start follows")
	}
	un.submit(spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}})
	un.pass(100 * time.Millisecond)
	require.Len(t, un.held, 2, "the acknowledgement and the start")
	acknowledge, start := un.held[:1], un.held[1:]
	un.join("w1", 1)
	un.pass(500 * time.Millisecond)
	un.restart()
	un.held = start
	un.deliverFirst()
	key := weir.RunKey{Task: taskA, Run: 1}
	un.pass(700 * time.Millisecond)
	require.True(t, un.models["w0"].Runs[key])
	un.models["w0"].EndRun(key, store.EndDone)
	un.held = acknowledge
	un.deliverFirst()
	require.False(t, un.done[taskA], "an end that nobody has seen is acknowledged")
	un.pass(3 * time.Second)
	un.late["w0"] = false
	un.join("w0", 2)
	un.passUntil(noticeTime, func() bool { return un.done[taskA] })
}

// TestAnsweredStartWaitsForNothing guards against a task that waits for the longest delay
// of an order though its start was answered: a lasting task whose worker crashes, starts
// again, announces itself and is lost for good, before or after its first answer.
func TestAnsweredStartWaitsForNothing(t *testing.T) {
	for name, answers := range map[string]bool{"before": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			un := newUnanswered(t)
			key := un.start("a", false)
			require.True(t, un.models["w0"].Runs[key])
			un.join("w1", 1)
			un.pass(3 * time.Second)
			un.late["w0"] = true
			un.restart()
			un.pass(time.Second)
			un.join("w0", 2)
			un.late["w0"] = !answers
			un.pass(200 * time.Millisecond)
			un.late["w0"] = true
			un.passUntil(leaseWait+noticeTime, un.startsAgain)
		})
	}
}

// TestOnlyTheUnansweredWait guards against a task that waits because the start of another
// task on its worker was not answered.
func TestOnlyTheUnansweredWait(t *testing.T) {
	un := newUnanswered(t)
	un.joinWith("w0", 1, spec.Resources{MilliCPU: 2000})
	key := un.start("a", false)
	require.True(t, un.models["w0"].Runs[key])
	un.start("b", true)
	un.join("w1", 1)
	un.passUntil(leaseWait+noticeTime, un.startsAgain)
}

// TestNextLeaderWaitsForUnansweredStarts guards against a leader that starts a task again
// too early, or too late, since it cannot know what an earlier one sent, and whose time of
// day differs.
func TestNextLeaderWaitsForUnansweredStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		answered bool
		jump     time.Duration
	}{
		"unanswered":                             {},
		"unanswered, the time of day jumps on":   {jump: time.Hour},
		"unanswered, the time of day jumps back": {jump: -time.Hour},
		"answered":                               {answered: true},
		"answered, the time of day jumps on":     {answered: true, jump: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			un := newUnanswered(t)
			key := un.start("a", !tc.answered)
			un.join("w1", 1)
			un.pass(3 * time.Second)
			require.Equal(t, tc.answered, un.models["w0"].Runs[key])
			un.late["w0"] = true
			un.sc.Wall = clock.NewManual(un.stepped.clk.Now().Add(tc.jump))
			un.ls = un.sc.newLeaderState(2)
			un.sc.setLeader(un.ls)
			if tc.answered {
				un.passUntil(priorLeaderGrace+leaseWait+noticeTime, un.startsAgain)
				return
			}
			un.restart()
			un.pass(orderDelay - 100*time.Millisecond)
			un.deliverFirst()
			require.True(t, un.models["w0"].Runs[key], "the start is carried out")
			un.passUntil(priorLeaderGrace+unansweredWait+noticeTime, un.startsAgain)
		})
	}
}

// TestTokensRise guards against late orders that are carried out because a worker's
// sessions have used up the fencing tokens of a term.
func TestTokensRise(t *testing.T) {
	ls := &leaderState{term: 3}
	next := ls.tokenSource("w0")
	last := uint64(0)
	for range 1 << 17 {
		token := next()
		if token <= last {
			require.FailNow(t, "the token does not rise", "%d after %d", token, last)
		}
		last = token
	}
	require.Greater(t, ls.tokenSource("w0")(), last, "the next session")
	require.Greater(t, (&leaderState{term: 4}).tokenSource("w0")(), last, "the next leader")
	ls.tokens["w0"].Store(1<<tokenBits - 1)
	require.Zero(t, next(), "none is left")

	sp := newStepped(t, nil, nil)
	sp.ls.tokens = ls.tokens
	sp.join("w0", 1)
	sp.submit(spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}})
	sp.step(0)
	sp.step(time.Second)
	require.Empty(t, sp.workers.running, "a worker without a token gets no starts")
}
