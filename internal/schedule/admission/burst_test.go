package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/admission"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

const (
	modelTick = 10 * time.Millisecond
	// capCores is the cap of each team of the model.
	capCores = 8
	hot      = weir.TeamName("hot")
)

var (
	modelStart = time.Unix(1_800_000_000, 0).UTC()
	modelTeams = []weir.TeamName{hot, "calm0", "calm1"}
	// A job of the queue is late from its first moment, so that it goes after all late
	// jobs with less work. With a stretch of 1 or more a new job goes before all of them.
	modelQueue = catalog.Queue{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 1, TargetLatency: 200 * time.Millisecond, Stretch: 0.5,
	}
)

// arrival is a submit in the model. The tasks take factor times their estimates.
type arrival struct {
	at     time.Time
	job    spec.Job
	factor float64
}

const (
	burstFrom  = 2 * time.Second
	burstUntil = 8 * time.Second
	modelSpan  = 20 * time.Second
)

// arrivals returns the submits of all teams: each uses half of its cap, but for the hot
// team, which sends seven times as much during the burst.
func arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	for at := time.Duration(0); at < modelSpan; at += modelTick {
		for _, team := range modelTeams {
			rate := capCores / 2.0 / 1.45 // jobs a second: a job has 1.45 s of work on average
			if team == hot && at >= burstFrom && at < burstUntil {
				rate *= 7
			}
			if rng.Float64() >= rate*modelTick.Seconds() {
				continue
			}
			estimate := 800*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))
			out = append(out, arrival{at: modelStart.Add(at), factor: 0.5 + rng.Float64(), job: spec.Job{
				ID: spec.JobID(fmt.Sprint(team, "-", len(out))), Queue: modelQueue.Key(), Team: team,
				Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: estimate}},
			}})
		}
	}
	return out
}

// model runs the jobs of teams with caps. The store keeps the state, placement orders
// the jobs of each team; a team's cap is modelled as a worker of its own.
type model struct {
	t       require.TestingT
	sr      *store.Store
	now     time.Time
	index   uint64
	factors map[spec.JobID]float64
	ends    map[weir.RunKey]time.Time
	ended   map[spec.JobID]time.Time
	// changed says that a job was accepted or a task has ended since the last placement.
	changed bool
}

func newModel(t require.TestingT) *model {
	mo := &model{
		t: t, sr: store.New(), now: modelStart, factors: map[spec.JobID]float64{},
		ends: map[weir.RunKey]time.Time{}, ended: map[spec.JobID]time.Time{},
	}
	ct := catalog.Catalog{Version: 1, Queues: []catalog.Queue{modelQueue}, Pools: []catalog.Pool{{Name: "desk"}}}
	for _, team := range modelTeams {
		ct.Teams = append(ct.Teams, catalog.Team{Name: team, Weight: 1, Cap: spec.Resources{MilliCPU: capCores * 1000}})
	}
	pk, err := ct.Pack()
	require.NoError(t, err)
	mo.apply(store.Change{Catalog: pk})
	for _, team := range modelTeams {
		mo.apply(store.Change{Join: &store.Worker{
			ID: weir.InstanceID(team), Incarnation: 1, Pool: weir.PoolName(team), Address: string(team), Capacity: spec.Resources{MilliCPU: capCores * 1000},
		}})
	}
	return mo
}

func (mo *model) apply(changes ...store.Change) {
	data, err := store.Entry{At: mo.now, Changes: changes}.Encode()
	require.NoError(mo.t, err)
	mo.index++
	results, ok := mo.sr.Apply(mo.index, data).([]store.Result)
	require.True(mo.t, ok)
	for _, res := range results {
		require.True(mo.t, res.Applied, res.Reason)
	}
}

func (mo *model) accept(ar arrival) {
	mo.factors[ar.job.ID] = ar.factor
	mo.apply(store.Change{Submit: &ar.job})
	mo.changed = true
}

// decide returns the decision about a submit at the present time of the model.
func (mo *model) decide(jb spec.Job) admission.Decision {
	var dec admission.Decision
	mo.sr.Read(func(rd store.Reader) {
		team, _ := rd.Team(jb.Team)
		rq := admission.Request{Job: jb, Queue: modelQueue, Cap: team.Cap}
		ta := admission.NewTally(rq, mo.now)
		rd.EachTeamJob(jb.Team, func(js *store.JobState) { ta.Add(js, modelQueue) })
		dec = admission.Decide(ta.Request())
	})
	return dec
}

// step ends and starts tasks, and advances the time by one tick.
func (mo *model) step() {
	for key, at := range mo.ends {
		if !at.After(mo.now) {
			mo.apply(store.Change{End: &store.RunEnd{Task: key.Task, Run: key.Run, Reason: store.EndDone}})
			mo.ended[key.Task.Job] = mo.now
			delete(mo.ends, key)
			mo.changed = true
		}
	}
	if mo.changed {
		mo.place()
		mo.changed = false
	}
	mo.now = mo.now.Add(modelTick)
}

// place starts the tasks that fit.
func (mo *model) place() {
	var groups []placement.Group
	var workers []placement.Worker
	mo.sr.Read(func(rd store.Reader) {
		rd.EachActiveJob(func(js *store.JobState) {
			if js.Placed == 0 {
				st := js.Spec.Steps[0]
				groups = append(groups, placement.Group{
					Step: weir.TaskRef{Job: js.Spec.ID}, Spec: st, Pool: weir.PoolName(js.Spec.Team), RemainingWork: st.Estimate.Seconds(),
					StartBy: js.Accepted.Add(modelQueue.TargetLatency + time.Duration((modelQueue.Stretch-1)*float64(st.Estimate))), Tasks: []placement.Task{{Run: 1, WaitingSince: js.Accepted}},
					RunsByWorker: map[weir.InstanceID]int{},
				})
			}
		})
		rd.EachWorker(func(wk store.Worker) {
			workers = append(workers, placement.Worker{ID: wk.ID, Incarnation: 1, Pool: wk.Pool, Free: wk.Capacity.Minus(rd.WorkerLoad(wk.ID).Used)})
		})
	})
	for _, pl := range placement.Place(mo.now, groups, workers, nil, nil) {
		mo.apply(store.Change{Start: &store.RunStart{Task: pl.Task, Run: pl.Run, Worker: pl.Worker, Incarnation: 1}})
		mo.sr.Read(func(rd store.Reader) {
			estimate := rd.Job(pl.Task.Job).Spec.Steps[0].Estimate
			took := time.Duration(mo.factors[pl.Task.Job] * float64(estimate))
			mo.ends[weir.RunKey{Task: pl.Task, Run: pl.Run}] = mo.now.Add(took)
		})
	}
}

// play submits the arrivals and returns the decisions about them. From the job until
// on, if it is not empty, all are dropped but for that one, which is accepted without
// a decision; the model then runs until it has ended.
func (mo *model) play(list []arrival, until spec.JobID) map[spec.JobID]admission.Decision {
	decisions := map[spec.JobID]admission.Decision{}
	for len(list) > 0 {
		for len(list) > 0 && !list[0].at.After(mo.now) {
			ar := list[0]
			list = list[1:]
			if ar.job.ID == until {
				mo.accept(ar)
				list = nil
				break
			}
			decisions[ar.job.ID] = mo.decide(ar.job)
			if !decisions[ar.job.ID].Refused {
				mo.accept(ar)
			}
		}
		mo.step()
	}
	for until != "" && mo.ended[until].IsZero() {
		mo.step()
	}
	return decisions
}

// useful reports whether a refused job would have ended in time to be of use: it is
// accepted, and no others after it.
func useful(t *testing.T, list []arrival, ar arrival, dec admission.Decision) bool {
	mo := newModel(t)
	mo.play(list, ar.job.ID)
	return mo.ended[ar.job.ID].Sub(ar.at).Seconds() <= dec.Bound
}

// TestBurstOfOneTeam guards against refusals of other teams, of jobs that could still
// have been of use, and of a team whose burst is over and served.
func TestBurstOfOneTeam(t *testing.T) {
	for seed := range uint64(3) {
		list := arrivals(seed)
		decisions := newModel(t).play(list, "")
		var refused []arrival
		for _, ar := range list {
			if decisions[ar.job.ID].Refused {
				refused = append(refused, ar)
			}
		}
		require.NotEmpty(t, refused, "seed %d", seed)
		for ix, ar := range refused {
			dec, at := decisions[ar.job.ID], ar.at.Sub(modelStart)
			require.Equal(t, hot, ar.job.Team)
			require.Greater(t, at, burstFrom)
			require.Greater(t, dec.Wait, dec.Bound)
			require.GreaterOrEqual(t, dec.RetryAfter, time.Second)
			require.LessOrEqual(t, dec.RetryAfter, 30*time.Second)
			if ix%4 == 0 { // each takes a run of the model
				require.False(t, useful(t, list, ar, dec), "seed %d: %s would have been of use", seed, ar.job.ID)
			}
		}
		for _, ar := range list {
			if dec := decisions[ar.job.ID]; !dec.Refused {
				require.LessOrEqual(t, dec.Wait, dec.Bound, "an accepted job was not certain to be useless")
			}
		}
	}
}

// TestTeamIsAcceptedAgainAfterItsBurst guards against a backlog that is served and still
// counted, and against a Retry-After that is far from the truth.
func TestTeamIsAcceptedAgainAfterItsBurst(t *testing.T) {
	mo := newModel(t)
	largest := arrival{factor: 1, job: spec.Job{
		ID: "largest", Queue: modelQueue.Key(), Team: hot,
		Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: 2100 * time.Millisecond}},
	}}
	for _, ar := range arrivals(1) {
		if ar.job.Team == hot && ar.at.Sub(modelStart) < burstUntil {
			for mo.now.Before(ar.at) {
				mo.step()
			}
			mo.accept(ar)
		}
	}
	dec := mo.decide(largest.job)
	require.True(t, dec.Refused)
	refusedAt, acceptedAt := mo.now, time.Time{}
	for mo.now.Before(refusedAt.Add(time.Minute)) {
		if now := mo.decide(largest.job); !now.Refused && acceptedAt.IsZero() {
			acceptedAt = mo.now
		} else if !acceptedAt.IsZero() {
			require.False(t, now.Refused, "it stays accepted while nothing is submitted")
		}
		mo.step()
	}
	require.False(t, acceptedAt.IsZero())
	// Tasks take 0.5 to 1.5 times their estimates, their sum is near that of these.
	require.InDelta(t, dec.RetryAfter.Seconds(), acceptedAt.Sub(refusedAt).Seconds(), 2)
	mo.sr.Read(func(rd store.Reader) { require.Zero(t, rd.TeamWorkLeft(hot)) })
}
