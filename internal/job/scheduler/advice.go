package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

const (
	// maxAsked bounds the workers of one question, as the adviser does.
	maxAsked = 100
	// adviceTimeout bounds one question beyond the time that it should take.
	adviceTimeout = time.Second
	// adviceRetry is when a question without a useful answer is asked again.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is kept of a ticket's validity for the start's way.
	ticketMargin = 200 * time.Millisecond
)

// advised is what the adviser said about one step.
type advised struct {
	tickets map[weir.InstanceID]string
	until   time.Time
	retryAt time.Time
}

// tickets returns the workers that may run a step now, and asks where nothing
// valid is known. One question is under way at a time, since the adviser
// answers a process in turn.
func (ow *Scheduler) tickets(ctx context.Context, re *reign, rd store.Reader, step weir.TaskRef, qu catalog.Queue) map[weir.InstanceID]string {
	now := ow.Clock.Now()
	ad := re.advice[step]
	if ad != nil && now.Before(ad.until) {
		return ad.tickets
	}
	if re.asking || ow.Adviser == nil || (ad != nil && now.Before(ad.retryAt)) {
		return nil
	}
	workers := ow.candidates(re, rd, qu)
	if len(workers) == 0 {
		return nil
	}
	re.asking = true
	wait := adviceTimeout + qu.Advice.Base + time.Duration(len(workers))*qu.Advice.PerWorker
	go ow.ask(ctx, re, step, workers, wait)
	return nil
}

// candidates are the pool's workers that the adviser is asked about, those
// with most room first.
func (ow *Scheduler) candidates(re *reign, rd store.Reader, qu catalog.Queue) []weir.InstanceID {
	usable := ow.usable(re, rd, ow.Clock.Now(), []demanded{{queue: qu}})
	slices.SortFunc(usable, func(one, other workerView) int {
		return cmp.Or(cmp.Compare(other.Free.MilliCPU, one.Free.MilliCPU), cmp.Compare(one.ID, other.ID))
	})
	var ids []weir.InstanceID
	for _, wk := range usable {
		if len(ids) < maxAsked {
			ids = append(ids, wk.ID)
		}
	}
	return ids
}

func (ow *Scheduler) ask(ctx context.Context, re *reign, step weir.TaskRef, workers []weir.InstanceID, wait time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked := ow.Clock.Now()
	advice, err := ow.Adviser.Advise(callCtx, step, workers)
	metrics.GetOrCreateHistogram("weir_advice_seconds").Update(ow.Clock.Now().Sub(asked).Seconds())
	_ = ow.Logger.Log("level", "info", "msg", "adviser asked", "job", step.Job, "step", step, "workers", len(workers),
		"good", len(advice.Tickets), "validity", advice.Validity.String(), "err", err)
	ow.mu.Lock()
	re.asking = false
	// The validity may count from any time after the question was sent.
	ad := &advised{tickets: advice.Tickets, until: asked.Add(advice.Validity - ticketMargin), retryAt: ow.Clock.Now().Add(adviceRetry)}
	if err != nil || len(advice.Tickets) == 0 {
		ad.until = time.Time{}
	}
	re.advice[step] = ad
	for ref, old := range re.advice {
		if ow.Clock.Now().Sub(old.retryAt) > ow.Retention {
			delete(re.advice, ref)
		}
	}
	ow.mu.Unlock()
	ow.Wake()
}
