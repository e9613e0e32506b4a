package ledger

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"greengageweir/internal/contract/peerapi"
)

const (
	recoverPause   = 500 * time.Millisecond
	recoverTimeout = 2 * time.Second
)

// Recovery copies the records of the other replicas after a start.
type Recovery struct {
	Self     string
	Replicas []string
	Store    *Store
	Caller   Caller
	Logger   log.Logger
}

// String is the step's name in logs.
func (rc *Recovery) String() string { return "ledger recovery" }

// Default has nothing to fill.
func (rc *Recovery) Default() error { return nil }

// Run tries until all other replicas, each recovered itself, gave all their
// records.
func (rc *Recovery) Run(ctx context.Context) error {
	if !rc.member() {
		return nil
	}
	missing := map[string]bool{}
	for _, id := range rc.Replicas {
		if id != rc.Self {
			missing[id] = true
		}
	}
	for len(missing) > 0 {
		for id := range missing {
			if rc.copyFrom(ctx, id) {
				delete(missing, id)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(recoverPause):
		}
	}
	rc.Store.SetRecovered()
	_ = rc.Logger.Log("level", "info", "msg", "ledger recovered", "keys", rc.Store.Stats().Keys)
	return nil
}

func (rc *Recovery) member() bool {
	for _, id := range rc.Replicas {
		if id == rc.Self {
			return true
		}
	}
	return false
}

func (rc *Recovery) copyFrom(ctx context.Context, id string) bool {
	after := ""
	for {
		var page peerapi.DumpAnswer
		callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
		err := rc.Caller.Call(callCtx, id, peerapi.LedgerDump, peerapi.Dump{After: after}, &page)
		cancel()
		if err != nil || !page.Recovered {
			return false
		}
		rc.Store.Load(page.Records)
		if !page.More {
			return true
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
