package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/invariant"

	weir "greengageweir"
)

const (
	groupSize      = 3
	reserveTimeout = 400 * time.Millisecond
	finishTimeout  = 200 * time.Millisecond
	finishTries    = 5
	finishPause    = 300 * time.Millisecond
)

// Caller calls a method at an entry instance; it must return an error for an
// instance that cannot be reached.
type Caller interface {
	Call(ctx context.Context, entry, method string, params, result any) error
}

// EntryInstance is an entry instance and its zone.
type EntryInstance struct {
	Entry string
	Zone  weir.Zone
}

// Replicas returns the entry instances that keep the ledger of a zone: up to
// three, first those of the zone, then those of the zones that follow in
// order. It depends on the settings only, never on who is alive.
func Replicas(sites []EntryInstance, zone weir.Zone) []string {
	sorted := append([]EntryInstance{}, sites...)
	sort.Slice(sorted, func(a, b int) bool {
		if sorted[a].Zone != sorted[b].Zone {
			return after(sorted[a].Zone, zone, sorted[b].Zone)
		}
		return sorted[a].Entry < sorted[b].Entry
	})
	ids := make([]string, 0, groupSize)
	for _, si := range sorted[:min(len(sorted), groupSize)] {
		ids = append(ids, si.Entry)
	}
	return ids
}

// after orders zones as a ring that starts at first.
func after(a, first, b weir.Zone) bool {
	if (a >= first) != (b >= first) {
		return a >= first
	}
	return a < b
}

// Group claims keys at the replicas of a zone.
type Group struct {
	Self     string
	Store    *Store
	Replicas []string
	Caller   Caller
	Clock    weir.Clock
}

// Claim is the result of asking for a key.
type Claim struct {
	// Won says that this attempt, and no other, may be dispatched.
	Won bool
	// Answer is set where the request is answered already.
	Answer *weir.Response
	// Holder is the attempt that has the key, where there is one.
	Holder string

	gr      *Group
	key     string
	attempt string
}

type vote struct {
	replica string
	answer  peerapi.ReserveResponse
}

// Claim asks the replicas for the key. Without a majority nothing is known, so
// that the answer is unknown, not "not run": an earlier attempt may have run.
func (gr *Group) Claim(ctx context.Context, key, attempt string) *Claim {
	cl := &Claim{gr: gr, key: key, attempt: attempt}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	votes := gr.ask(ctx, peerapi.Reserve{Key: key, Attempt: attempt})
	majority := len(gr.Replicas)/2 + 1
	granted, reason := 0, "too few ledger replicas answered"
	for range gr.Replicas {
		vt := <-votes
		switch vt.answer.State {
		case peerapi.ReserveGranted:
			granted++
		case peerapi.ReserveRecorded:
			cl.Answer = vt.answer.Answer
			cl.Holder = vt.answer.Attempt
			return cl
		case peerapi.ReserveHeld:
			cl.Holder = vt.answer.Attempt
		case peerapi.ReserveRefused:
			reason = vt.answer.Reason
		}
		if granted >= majority {
			cl.Won = true
			return cl
		}
	}
	ans := weir.UnknownResponse(reason)
	cl.Answer = &ans
	// This attempt will not be dispatched, so what it was granted is freed.
	go cl.record(weir.NotRunResponse("not claimed"))
	return cl
}

// ask sends the reservation to all replicas at once.
func (gr *Group) ask(ctx context.Context, res peerapi.Reserve) <-chan vote {
	votes := make(chan vote, len(gr.Replicas))
	for _, id := range gr.Replicas {
		if id == gr.Self {
			votes <- vote{replica: id, answer: gr.Store.Reserve(gr.Clock.Now(), res)}
			continue
		}
		go func() {
			vt := vote{replica: id}
			if err := gr.Caller.Call(ctx, id, peerapi.LedgerReserve, res, &vt.answer); err != nil {
				vt.answer = refused("replica " + id + " not reached")
			}
			votes <- vt
		}()
	}
	return votes
}

// Finish records the outcome. It returns when two replicas have it or the
// time is up; the rest goes on in the background.
func (cl *Claim) Finish(ctx context.Context, ans weir.Response) {
	invariant.Check(cl.Won, "onlyWinnersFinish", "key", cl.key)
	done := make(chan struct{}, len(cl.gr.Replicas))
	fin := peerapi.Finish{Key: cl.key, Attempt: cl.attempt, Answer: ans}
	for _, id := range cl.gr.Replicas {
		go func() {
			if cl.send(id, fin) {
				done <- struct{}{}
			}
		}()
	}
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	for range min(2, len(cl.gr.Replicas)) {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// record tells all replicas the outcome without waiting for the caller.
func (cl *Claim) record(ans weir.Response) {
	fin := peerapi.Finish{Key: cl.key, Attempt: cl.attempt, Answer: ans}
	var wg sync.WaitGroup
	for _, id := range cl.gr.Replicas {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.send(id, fin)
		}()
	}
	wg.Wait()
}

// send tries a few times to tell one replica.
func (cl *Claim) send(id string, fin peerapi.Finish) bool {
	if id == cl.gr.Self {
		cl.gr.Store.Finish(fin)
		return true
	}
	for range finishTries {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err := cl.gr.Caller.Call(ctx, id, peerapi.LedgerFinish, fin, nil)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(finishPause)
	}
	return false
}
