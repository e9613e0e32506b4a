package scheduler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

const (
	// maxAdviceWorkers is the adviser's limit on workers per request.
	maxAdviceWorkers = 100
	// adviceTimeout is added to the expected duration of a request to the
	// adviser.
	adviceTimeout = time.Second
	// adviceRetryInterval is the delay before the adviser is queried again after
	// an error or a response without tickets.
	adviceRetryInterval = 300 * time.Millisecond
	// ticketMargin is subtracted from a ticket's validity, so that the ticket is
	// still valid when the start order reaches the worker.
	ticketMargin = 200 * time.Millisecond
)

// adviceEntry holds the cached responses of the adviser for one step. Its tickets
// are valid up to until; after retryAt the adviser may be queried again.
type adviceEntry struct {
	tickets map[weir.InstanceID]string
	// asked holds the incarnations that the adviser was queried about.
	asked   map[weir.InstanceID]int64
	until   time.Time
	retryAt time.Time
}

// with returns the entry with the response to a further query, about the asked
// workers, added.
func (ad adviceEntry) with(tickets map[weir.InstanceID]string, asked map[weir.InstanceID]int64, until, retryAt time.Time) adviceEntry {
	out := adviceEntry{tickets: maps.Clone(ad.tickets), asked: maps.Clone(ad.asked), until: ad.until, retryAt: retryAt}
	maps.Copy(out.tickets, tickets)
	maps.Copy(out.asked, asked)
	if len(tickets) > 0 && (len(ad.tickets) == 0 || until.Before(out.until)) {
		out.until = until
	}
	return out
}

// answered returns the entry after the response to a query about the asked workers, which
// arrived at the time now. As long as the adviser has allowed no worker, the next query is
// about others.
func (ad *adviceEntry) answered(tickets map[weir.InstanceID]string, asked map[weir.InstanceID]int64, until, retryAt, now time.Time) adviceEntry {
	if ad != nil && ad.asked != nil && (now.Before(ad.until) || len(ad.tickets) == 0) {
		return ad.with(tickets, asked, until, retryAt)
	}
	if len(tickets) == 0 {
		until = time.Time{}
	}
	return adviceEntry{tickets: tickets, asked: asked, until: until, retryAt: retryAt}
}

// sortForQuery sorts workers so that the adviser is queried first about those that it
// has allowed before, then about those that it was not queried about, those with most free
// CPU first.
func (ad *adviceEntry) sortForQuery(workers []workerView) {
	rank := func(wk workerView) int {
		switch {
		case ad == nil:
			return 0
		case ad.tickets[wk.ID] != "":
			return 0
		case ad.asked[wk.ID] != wk.Incarnation:
			return 1
		}
		return 2
	}
	slices.SortFunc(workers, func(one, other workerView) int {
		return cmp.Or(cmp.Compare(rank(one), rank(other)), cmp.Compare(other.Free.MilliCPU, one.Free.MilliCPU), cmp.Compare(one.ID, other.ID))
	})
}

// unasked returns the workers with enough resources for a task of the group that
// the adviser was not queried about.
func (ad adviceEntry) unasked(gr placement.Group, workers []workerView) []workerView {
	var out []workerView
	need := gr.Spec.Reserved()
	for _, wk := range workers {
		if wk.Pool == gr.Pool && need.Fits(wk.Free) && ad.asked[wk.ID] != wk.Incarnation {
			out = append(out, wk)
		}
	}
	return out
}

// forgetAdvice drops what the adviser said of a worker's incarnation that has ended.
func (ls *leaderState) forgetAdvice(id weir.InstanceID) {
	for _, ad := range ls.advice {
		delete(ad.tickets, id)
		delete(ad.asked, id)
	}
}

// tickets returns the workers that may run a step now with their tickets, nil if
// no valid response is cached; it then queries the adviser in the background.
// Only one request is in flight at a time, since the adviser handles the
// requests of a process one after the other.
func (sc *Scheduler) tickets(ctx context.Context, ls *leaderState, rd store.Reader, step weir.TaskRef, qu catalog.Queue) map[weir.InstanceID]string {
	now := sc.Clock.Now()
	ad := ls.advice[step]
	if ad != nil && now.Before(ad.until) {
		return ad.tickets
	}
	if ls.adviceInFlight || sc.Adviser == nil || (ad != nil && now.Before(ad.retryAt)) {
		return nil
	}
	sc.askAdviser(ctx, ls, step, *qu.Adviser, sc.askableWorkers(ls, rd, step, qu, now))
	return nil
}

// askableWorkers returns the workers that the adviser is queried about for a step: those
// that are usable, and for a long-running one also those that would be if it needed them.
func (sc *Scheduler) askableWorkers(ls *leaderState, rd store.Reader, step weir.TaskRef, qu catalog.Queue, now time.Time) []workerView {
	longRunning := rd.Job(step.Job).Spec.Steps[step.Step].LongRunning
	return sc.workersIn(ls, rd, now, []pendingJob{{queue: qu}}, func(un unavailability) bool {
		return un == available || longRunning && un.endsForNeed()
	})
}

// adviseOnNewWorkers queries the adviser for one step that has tickets, but tasks
// left without a worker, about the workers that have become usable since. Steps
// without tickets go first; see tickets.
func (sc *Scheduler) adviseOnNewWorkers(ctx context.Context, ls *leaderState, rd store.Reader, groups []placement.Group, starts []placement.Placement) {
	if sc.Adviser == nil || ls.adviceInFlight {
		return
	}
	placed := map[weir.TaskRef]int{}
	for _, pl := range starts {
		placed[pl.Task.StepRef()]++
	}
	for _, gr := range groups {
		if gr.AllowedWorkers == nil || placed[gr.Step] == len(gr.Tasks) {
			continue
		}
		if qu, ok := rd.Queue(rd.Job(gr.Step.Job).Spec.Queue); ok && qu.Adviser != nil {
			sc.adviseOnUnasked(ctx, ls, gr, qu, sc.askableWorkers(ls, rd, gr.Step, qu, sc.Clock.Now()))
		}
	}
}

// adviseOnUnasked queries the adviser about the workers that could take a task of the group
// and that it was not queried about, if it has answered for the step before and is not busy.
func (sc *Scheduler) adviseOnUnasked(ctx context.Context, ls *leaderState, gr placement.Group, qu catalog.Queue, workers []workerView) {
	ad := ls.advice[gr.Step]
	if ls.adviceInFlight || ad == nil || sc.Clock.Now().Before(ad.retryAt) {
		return
	}
	sc.askAdviser(ctx, ls, gr.Step, *qu.Adviser, ad.unasked(gr, workers))
}

// askAdviser queries the adviser in the background about as many of the workers as it
// takes, if there are any.
func (sc *Scheduler) askAdviser(ctx context.Context, ls *leaderState, step weir.TaskRef, settings catalog.AdviserSettings, workers []workerView) {
	if len(workers) == 0 {
		return
	}
	ls.advice[step].sortForQuery(workers)
	workers = workers[:min(len(workers), maxAdviceWorkers)]
	ls.adviceInFlight = true
	sc.inBackground(func() { sc.queryAdviser(ctx, ls, step, settings, workers) })
}

func (sc *Scheduler) queryAdviser(ctx context.Context, ls *leaderState, step weir.TaskRef, settings catalog.AdviserSettings, workers []workerView) {
	wait := adviceTimeout + settings.Base + time.Duration(len(workers))*settings.PerWorker
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ids, incarnations := make([]weir.InstanceID, len(workers)), make(map[weir.InstanceID]int64, len(workers))
	for ix, wk := range workers {
		ids[ix], incarnations[wk.ID] = wk.ID, wk.Incarnation
	}
	asked := sc.Clock.Now()
	advice, err := sc.Adviser.Advise(callCtx, step, ids)
	answered := sc.Clock.Now()
	metrics.GetOrCreateHistogram("weir_advice_seconds").Update(answered.Sub(asked).Seconds())
	_ = sc.Logger.Log("level", "info", "msg", "adviser queried", "job", step.Job, "step", step, "workers", len(workers),
		"good", len(advice.Tickets), "validity", advice.Validity.String(), "err", err)
	sc.mu.Lock()
	ls.adviceInFlight = false
	// The validity may start at any time after the request was sent.
	until, retryAt := asked.Add(advice.Validity-ticketMargin), answered.Add(adviceRetryInterval)
	switch old := ls.advice[step]; {
	case err != nil && old != nil:
		old.retryAt = retryAt
	case err != nil:
		ls.advice[step] = &adviceEntry{retryAt: retryAt}
	default:
		ad := old.answered(advice.Tickets, incarnations, until, retryAt, answered)
		ls.advice[step] = &ad
	}
	for ref, old := range ls.advice {
		if sc.Clock.Now().Sub(old.retryAt) > sc.Retention {
			delete(ls.advice, ref)
		}
	}
	sc.mu.Unlock()
	sc.Wake()
}
