package ledger

import (
	"context"
	"time"

	"greengageweir/internal/contract/peerapi"

	"github.com/go-kit/log"
)

const (
	recoverRetryPause = 100 * time.Millisecond
	recoverTimeout    = 2 * time.Second
)

// Recovery copies the records of the other replicas after a start. Replicas
// lists all members of the groups that this instance belongs to.
type Recovery struct {
	Self     string
	Replicas []string
	Store    *Store
	Caller   Caller
	Logger   log.Logger
}

// String returns the component's name in logs.
func (rc *Recovery) String() string { return "ledger recovery" }

// Default does nothing: there are no settings to fill in.
func (rc *Recovery) Default() error { return nil }

// Run retries until it has copied all records of all other replicas, then
// lowers the floor.
func (rc *Recovery) Run(ctx context.Context) error {
	floors := map[string]time.Time{}
	for !rc.complete(floors) {
		for _, id := range rc.Replicas {
			if _, done := floors[id]; done || id == rc.Self {
				continue
			}
			if floor, ok := rc.copyFrom(ctx, id); ok {
				floors[id] = floor
			}
		}
		if rc.complete(floors) {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(recoverRetryPause):
		}
	}
	rc.Store.LowerFloor(latest(floors))
	_ = rc.Logger.Log("level", "info", "msg", "ledger recovered", "keys", rc.Store.Stats().Keys)
	return nil
}

// complete reports whether the records of all other replicas are copied.
func (rc *Recovery) complete(floors map[string]time.Time) bool {
	return len(floors) >= len(rc.Replicas)-1
}

func latest(floors map[string]time.Time) time.Time {
	var top time.Time
	for _, floor := range floors {
		if floor.After(top) {
			top = floor
		}
	}
	return top
}

// copyFrom loads the records of one replica. It returns the floor from the first
// page: if the replica lowers its floor during the copy, records that it loads
// then may be missing here.
func (rc *Recovery) copyFrom(ctx context.Context, id string) (time.Time, bool) {
	after := ""
	var floor time.Time
	for {
		var page peerapi.DumpResponse
		callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
		err := rc.Caller.Call(callCtx, id, peerapi.LedgerDump, peerapi.DumpRequest{After: after}, &page)
		cancel()
		if err != nil {
			return time.Time{}, false
		}
		if after == "" {
			floor = page.Floor
		}
		rc.Store.Load(page.Records)
		if !page.More {
			return floor, true
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
