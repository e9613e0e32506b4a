package scheduler

import (
	"time"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// paceFull is a run's share of its speed when it starts, in percent.
	paceFull = 100
	// paceRise is added when the serving tasks have had room for a while.
	paceRise = 20
	// paceRoom is the share of the target under which there is room.
	paceRoom = 0.8
	// paceNear is the share of the target at which filling tasks give way;
	// the figure is rough, and users notice only beyond the target.
	paceNear = 0.95
)

// paced is how much of their speed the filling tasks of one worker have.
type paced struct {
	percent int
	// decided is the report that the percent follows from.
	decided time.Time
	sent    map[weir.RunKey]int
}

// next returns the share after a report in which the worst serving task stood
// at a share of its target. It falls fast, since users wait, and rises slowly.
func (pc paced) next(worst float64) int {
	switch {
	case worst > 1:
		return pc.percent / 4
	case worst > paceNear:
		return pc.percent / 2
	case worst < paceRoom:
		return min(pc.percent+paceRise, paceFull)
	}
	return pc.percent
}

// paceAll keeps serving tasks under their target by slowing the filling tasks
// beside them.
func (ow *Scheduler) paceAll(re *reign) {
	ow.Store.Read(func(rd store.Reader) {
		for id, at := range re.sessions {
			ow.paceWorker(re, rd, id, at)
		}
	})
}

func (ow *Scheduler) paceWorker(re *reign, rd store.Reader, id weir.InstanceID, at *attended) {
	if rd.Load(id).BestEffort == 0 {
		delete(re.pace, id)
		return
	}
	arrived, running := at.ss.Running()
	worst := 0.0
	var filling []weir.RunKey
	for _, rt := range running {
		js := rd.Job(rt.Task.Job)
		if js == nil || js.Task(rt.Task) == nil {
			continue
		}
		step := js.Spec.Steps[rt.Task.Step]
		switch {
		case step.BestEffort:
			filling = append(filling, rt.RunKey)
		case step.LongRunning && step.TargetLatency > 0:
			worst = max(worst, rt.Rough/float64(step.TargetLatency.Milliseconds()))
		}
	}
	pc := re.pace[id]
	if len(filling) == 0 {
		delete(re.pace, id)
		return
	}
	if pc == nil {
		pc = &paced{percent: paceFull, sent: map[weir.RunKey]int{}}
		re.pace[id] = pc
	}
	if arrived.After(pc.decided) {
		pc.decided = arrived
		was := pc.percent
		pc.percent = pc.next(worst)
		if was != pc.percent {
			_ = ow.Logger.Log("level", "info", "msg", "pace of filling tasks", "worker", id, "percent", pc.percent,
				"was", was, "worstShareOfTarget", worst, "filling", len(filling))
		}
	}
	for _, key := range filling {
		sent, ok := pc.sent[key]
		if (!ok && pc.percent != paceFull) || (ok && sent != pc.percent) {
			at.ss.Throttle(key, pc.percent)
		}
		pc.sent[key] = pc.percent
	}
}
