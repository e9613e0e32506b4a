package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"greengageweir/internal/common/invariant"
	"greengageweir/internal/contract/peerapi"

	weir "greengageweir"
)

const (
	// groupSize is the number of replicas of a zone's ledger.
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
	ID   string
	Zone weir.Zone
}

// Replicas returns the entry instances that keep the ledger of a zone: up to
// three, first those of the zone itself, then those of the zones that follow
// by name. The result depends only on the settings, not on which instances are
// reachable.
func Replicas(entries []EntryInstance, zone weir.Zone) []string {
	sorted := append([]EntryInstance{}, entries...)
	sort.Slice(sorted, func(a, b int) bool {
		if sorted[a].Zone != sorted[b].Zone {
			return precedes(sorted[a].Zone, zone, sorted[b].Zone)
		}
		return sorted[a].ID < sorted[b].ID
	})
	ids := make([]string, 0, groupSize)
	for _, ei := range sorted[:min(len(sorted), groupSize)] {
		ids = append(ids, ei.ID)
	}
	return ids
}

// precedes reports whether zone a comes before zone b in the ring of zones, by
// name, that starts at first.
func precedes(a, first, b weir.Zone) bool {
	if (a >= first) != (b >= first) {
		return a >= first
	}
	return a < b
}

// Group claims keys at the replicas of a zone's ledger.
type Group struct {
	Self     string
	Store    *Store
	Replicas []string
	Caller   Caller
	Clock    weir.Clock
}

// Claim is the result of an attempt to claim a key.
type Claim struct {
	// Won reports whether this attempt, and no other, may be dispatched.
	Won bool
	// Response is the response to return if the claim is not won: the recorded
	// one, or "unknown".
	Response *weir.Response
	// Holder is the attempt that holds the key, if a replica named one.
	Holder string

	gr      *Group
	key     string
	attempt string
}

// vote is the response of one replica to a reservation.
type vote struct {
	replica string
	answer  peerapi.ReserveResponse
}

// Claim requests the key from the replicas. Without a majority the answer is
// "unknown" and not "not run", because an earlier attempt may have run.
func (gr *Group) Claim(ctx context.Context, key, attempt string) *Claim {
	cl := &Claim{gr: gr, key: key, attempt: attempt}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	votes := gr.requestVotes(ctx, peerapi.ReserveRequest{Key: key, Attempt: attempt})
	majority := len(gr.Replicas)/2 + 1
	granted, reason := 0, "too few ledger replicas answered"
	for range gr.Replicas {
		vt := <-votes
		switch vt.answer.State {
		case peerapi.ReserveGranted:
			granted++
		case peerapi.ReserveRecorded:
			cl.Response = vt.answer.Recorded
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
	cl.Response = &ans
	// This attempt is not dispatched, so the replicas that granted it the key
	// may free it.
	go cl.finishAll(weir.NotRunResponse("not claimed"))
	return cl
}

// requestVotes sends the reservation to all replicas at once.
func (gr *Group) requestVotes(ctx context.Context, res peerapi.ReserveRequest) <-chan vote {
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

// Finish records the outcome at all replicas. It returns when two of them have
// it, after finishTimeout or at the end of the context; the other calls
// continue in the background.
func (cl *Claim) Finish(ctx context.Context, ans weir.Response) {
	invariant.Check(cl.Won, "onlyWinnersFinish", "key", cl.key)
	done := make(chan struct{}, len(cl.gr.Replicas))
	fin := peerapi.FinishRequest{Key: cl.key, Attempt: cl.attempt, Response: ans}
	for _, id := range cl.gr.Replicas {
		go func() {
			if cl.sendFinish(id, fin) {
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

// finishAll sends the outcome to all replicas and waits for them. It does not
// depend on the context of a request.
func (cl *Claim) finishAll(ans weir.Response) {
	fin := peerapi.FinishRequest{Key: cl.key, Attempt: cl.attempt, Response: ans}
	var wg sync.WaitGroup
	for _, id := range cl.gr.Replicas {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.sendFinish(id, fin)
		}()
	}
	wg.Wait()
}

// sendFinish sends the outcome to one replica, with up to finishTries tries. It
// reports whether the replica has it.
func (cl *Claim) sendFinish(id string, fin peerapi.FinishRequest) bool {
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
