package inspect

import (
	"fmt"
	"math"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobhttp"

	weir "greengageweir"
)

const (
	// maxMillis is the largest number of milliseconds in a time.Duration; the
	// processes convert larger numbers to other, possibly negative, durations.
	maxMillis = int64(math.MaxInt64 / time.Millisecond)
	// maxAskedWorkers and ticketMarginMillis are the scheduler's limit on workers in a
	// request to the adviser and what it subtracts from the validity of tickets.
	maxAskedWorkers    = 100
	ticketMarginMillis = 200
)

func (rp *report) checkQueues(ct jobhttp.Catalog, usual UsualJob) {
	if len(ct.Queues) == 0 {
		rp.warn("queues", "there is no queue, so that no job can be submitted")
	}
	pools := map[weir.PoolName]catalog.Pool{}
	for _, po := range ct.Pools {
		pools[po.Name] = po
	}
	first := map[string]int{}
	for ix, qu := range ct.Queues {
		path := fmt.Sprintf("queues[%d]", ix)
		if other, doubled := first[qu.Name]; doubled {
			rp.fail(path+".name", "queue %q is also queues[%d]", qu.Name, other)
		} else {
			first[qu.Name] = ix
		}
		if qu.Name == "" {
			rp.warn(path+".name", "is empty: jobs that name no queue go here")
		}
		switch po, ok := pools[qu.Pool]; {
		case !ok:
			rp.fail(path+".pool", "queue %q names the unknown pool %q", qu.Name, qu.Pool)
		case po.Standby:
			rp.warn(path+".pool", "pool %q is a standby pool: no machine is added to it for the jobs of queue %q", qu.Pool, qu.Name)
		}
		rp.checkObjective(path, qu, usual)
		rp.checkAdviser(path+".advice", qu, usual)
	}
	rp.checkPrefixes(ct.Queues, first)
}

// checkPrefixes finds queues that take jobs from another one: the longest queue name
// that is a prefix of "queue/job" decides.
func (rp *report) checkPrefixes(queues []jobhttp.Queue, first map[string]int) {
	for ix, qu := range queues {
		for pos := range qu.Name {
			if other, ok := first[qu.Name[:pos]]; ok && qu.Name[pos] == '/' {
				rp.warn(fmt.Sprintf("queues[%d].name", ix), "jobs of queue %q with an id that begins with %q go to this queue",
					queues[other].Name, qu.Name[pos+1:]+"/")
			}
		}
	}
}

// checkObjective checks a queue's limits for its jobs. A job meets its objective if it
// ends within the target plus the stretch times its duration.
func (rp *report) checkObjective(path string, qu jobhttp.Queue, usual UsualJob) {
	if qu.TimeoutMillis <= 0 {
		rp.fail(path+".timeoutMillis", "queue %q has no timeout", qu.Name)
	}
	rp.checkRange(path+".timeoutMillis", qu.TimeoutMillis)
	rp.checkRange(path+".targetMillis", qu.TargetMillis)
	if qu.MaxAttempts < 1 {
		rp.warn(path+".maxAttempts", "is %d and counts as 1: the first failure of a task fails its job", qu.MaxAttempts)
	}
	needed, allowed := usual.Duration.Seconds(), float64(qu.TargetMillis)/1e3+qu.Stretch*usual.Duration.Seconds()
	switch {
	case qu.TargetMillis < 0:
		rp.warn(path+".targetMillis", "is negative")
	case qu.Stretch < 0:
		rp.warn(path+".stretch", "is negative")
	case qu.TargetMillis == 0 && qu.Stretch == 0:
		// Callers expect no response time, for example of long-running steps.
	case qu.TargetMillis == 0 && qu.Stretch < 1:
		rp.warn(path+".stretch", "is %g and the target is 0: no job can end in time", qu.Stretch)
	case allowed < needed:
		rp.warn(path+".targetMillis", "a usual job takes %g s and has %g s: it cannot end in time", needed, allowed)
	}
}

func (rp *report) checkRange(path string, ms int64) {
	if ms > maxMillis || ms < -maxMillis {
		rp.fail(path, "is out of range, at most %d", maxMillis)
	}
}

// checkAdviser checks the settings of a queue's adviser. Its response time delays the
// start of each step, and its tickets are valid from the request on.
func (rp *report) checkAdviser(path string, qu jobhttp.Queue, usual UsualJob) {
	ad := qu.Adviser
	if ad == nil {
		return
	}
	rp.warn(path, "steps of queue %q start only with an adviser's ticket: processes started by `greengageweir jobs` have no adviser", qu.Name)
	inRange := true
	for _, fd := range []struct {
		name string
		ms   int64
	}{{"baseMillis", ad.BaseMillis}, {"perWorkerMillis", ad.PerWorkerMillis}, {"validityMillis", ad.ValidityMillis}} {
		rp.checkRange(path+"."+fd.name, fd.ms)
		if fd.ms < 0 {
			rp.warn(path+"."+fd.name, "is negative")
		}
		// The sums below must not overflow.
		inRange = inRange && fd.ms >= 0 && fd.ms <= maxMillis/(2*maxAskedWorkers)
	}
	if !inRange {
		return
	}
	workers := int64(min(max(usual.Workers, 1), maxAskedWorkers))
	response, one := ad.BaseMillis+workers*ad.PerWorkerMillis, ad.BaseMillis+ad.PerWorkerMillis
	// A validity of 0 is not stated; the adviser's responses contain theirs.
	if ad.ValidityMillis > 0 && ad.ValidityMillis-ticketMarginMillis <= response {
		rp.warn(path+".validityMillis", "tickets of %d ms less a margin of %d ms expire before the response for %s arrives, after %d ms",
			ad.ValidityMillis, ticketMarginMillis, plural(workers, "worker"), response)
	}
	if qu.TargetMillis > 0 && qu.Stretch >= 0 && qu.Stretch <= 1 && qu.TargetMillis < one {
		rp.warn(path, "the response for one worker takes %d ms, the target is %d ms and the stretch %g: no job can end in time",
			one, qu.TargetMillis, qu.Stretch)
	}
}

func plural(count int64, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func (rp *report) checkPools(ct jobhttp.Catalog) {
	named := map[weir.PoolName]bool{}
	for _, qu := range ct.Queues {
		named[qu.Pool] = true
	}
	first := map[weir.PoolName]int{}
	for ix, po := range ct.Pools {
		path := fmt.Sprintf("pools[%d].name", ix)
		other, doubled := first[po.Name]
		switch {
		case po.Name == "":
			rp.fail(path, "is empty")
		case doubled:
			rp.fail(path, "pool %q is also pools[%d]", po.Name, other)
		case !po.Standby && !named[po.Name]:
			rp.warn(path, "no queue names pool %q: no job runs there", po.Name)
		}
		if !doubled {
			first[po.Name] = ix
		}
	}
}
