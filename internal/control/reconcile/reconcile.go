// Package reconcile is the leader's duty to carry maintenance on: it proposes
// the next steps of waves and moves, asks the platform for reboots, and marks
// instances whose entry instance is silent as not available.
//
// Usage:
//
//	rc := &reconcile.Reconciler{Machine: mc, Registry: rg, Platform: pf, Propose: propose, ...}
//	go rc.Run(ctx)
package reconcile

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/control/registry"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/maintenance/wave"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	tickEvery      = 200 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// maxReboots bounds the platform calls in flight.
	maxReboots = 64
)

// Reconciler works while this process leads. Set the exported fields before Run.
type Reconciler struct {
	Machine  *fsm.Machine
	Registry *registry.Registry
	Platform weir.Platform
	Clock    weir.Clock
	Logger   log.Logger
	IsLeader func() bool
	Propose  func(ctx context.Context, cmd command.Command) (command.Result, error)

	led     bool
	upSince map[weir.InstanceID]sighting

	mu        sync.Mutex
	rebooting map[string]bool
}

// sighting is since when an incarnation of an instance was seen up.
type sighting struct {
	incarnation uint64
	since       time.Time
}

// String is the step's name in logs.
func (rc *Reconciler) String() string { return "reconciler" }

// Default prepares the reconciler's memory.
func (rc *Reconciler) Default() error {
	rc.upSince = map[weir.InstanceID]sighting{}
	rc.rebooting = map[string]bool{}
	return nil
}

// Run works until the context ends.
func (rc *Reconciler) Run(ctx context.Context) error {
	return run.Every(ctx, tickEvery, func() {
		leads := rc.IsLeader()
		if leads && !rc.led {
			rc.Registry.Reset(rc.Clock.Now())
			rc.upSince = map[weir.InstanceID]sighting{}
		}
		rc.led = leads
		if leads {
			rc.tick(ctx, rc.Clock.Now())
		}
	})
}

func (rc *Reconciler) tick(ctx context.Context, now time.Time) {
	var steps []command.Command
	var drained []view.Member
	var silent []command.Status
	rc.Machine.Read(func(rd fsm.Reader) {
		silent = rc.silent(rd, now)
		steps = wave.NextCommands(rd, rc.evidence(rd, now), now)
		for _, mem := range rd.Members() {
			if mem.Phase == view.Drained {
				drained = append(drained, mem)
			}
		}
	})
	if len(silent) > 0 {
		rc.propose(ctx, command.Command{At: now, Status: &command.StatusBatch{Items: silent}})
	}
	for _, cmd := range steps {
		rc.propose(ctx, cmd)
	}
	for _, mem := range drained {
		rc.reboot(ctx, mem)
	}
}

// silent returns the instances whose entry instance is not heard: they count
// as not available until it reports again.
func (rc *Reconciler) silent(rd fsm.Reader, now time.Time) []command.Status {
	var list []command.Status
	for _, sta := range rd.Statuses() {
		if sta.Up && !rc.Registry.IsReporting(now, sta.Entry) {
			sta.Up = false
			list = append(list, sta)
		}
	}
	return list
}

// evidence notes since when returning instances are up.
func (rc *Reconciler) evidence(rd fsm.Reader, now time.Time) wave.Observations {
	ev := wave.Observations{UpSince: map[weir.InstanceID]time.Time{}}
	for id, mem := range rd.Members() {
		sta := rd.Statuses()[id]
		if mem.Phase != view.Returning || !sta.Up {
			delete(rc.upSince, id)
			continue
		}
		seen, ok := rc.upSince[id]
		if !ok || seen.incarnation != sta.Incarnation {
			seen = sighting{incarnation: sta.Incarnation, since: now}
			rc.upSince[id] = seen
		}
		ev.UpSince[id] = seen.since
	}
	return ev
}

func (rc *Reconciler) propose(ctx context.Context, cmd command.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ans, err := rc.Propose(ctx, cmd)
	switch {
	case err != nil:
		_ = rc.Logger.Log("level", "warn", "msg", "step not proposed", "err", err.Error())
	case ans.Refusal != nil:
		_ = rc.Logger.Log("level", "debug", "msg", "step refused", "kind", string(ans.Refusal.Kind), "reason", ans.Refusal.Message)
	}
}

// reboot asks the platform, once at a time for each operation. The operation
// id makes a repeated call harmless, also one by a leader that was replaced.
func (rc *Reconciler) reboot(ctx context.Context, mem view.Member) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.rebooting[mem.Operation] || len(rc.rebooting) >= maxReboots {
		return
	}
	rc.rebooting[mem.Operation] = true
	go func() {
		defer func() {
			rc.mu.Lock()
			defer rc.mu.Unlock()
			delete(rc.rebooting, mem.Operation)
		}()
		if err := rc.Platform.Reboot(ctx, mem.Zone, mem.Instance, mem.Operation); err != nil {
			_ = rc.Logger.Log("level", "warn", "msg", "reboot failed", "instance", string(mem.Instance), "err", err.Error())
			return
		}
		rc.propose(ctx, command.Command{
			At: rc.Clock.Now(), Reboot: &command.RebootDone{Instance: mem.Instance, Operation: mem.Operation},
		})
	}()
}
