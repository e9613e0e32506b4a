// Package reconcile runs the leader's maintenance loop: it proposes the next
// commands of waves and moves, requests reboots from the platform, and marks
// instances as not up if their entry instance stops reporting.
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

	"greengageweir/internal/common/run"
	"greengageweir/internal/control/registry"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/maintenance/wave"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	tickInterval   = 200 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// maxReboots is the maximum number of reboot calls in flight.
	maxReboots = 64
)

// Reconciler runs the maintenance loop while this process is the leader. Set the
// exported fields before Run.
type Reconciler struct {
	Machine  *fsm.Machine
	Registry *registry.Registry
	Platform weir.Platform
	Clock    weir.Clock
	Logger   log.Logger
	IsLeader func() bool
	Propose  func(ctx context.Context, cmd command.Command) (command.Result, error)

	wasLeader bool
	upSince   map[weir.InstanceID]upPeriod

	mu        sync.Mutex
	rebooting map[string]bool
}

// upPeriod is the time since when an incarnation of an instance has been up.
type upPeriod struct {
	incarnation uint64
	since       time.Time
}

// String returns the component's name in logs.
func (rc *Reconciler) String() string { return "reconciler" }

// Default initializes the reconciler.
func (rc *Reconciler) Default() error {
	rc.upSince = map[weir.InstanceID]upPeriod{}
	rc.rebooting = map[string]bool{}
	return nil
}

// Run reconciles every tickInterval until the context ends.
func (rc *Reconciler) Run(ctx context.Context) error {
	return run.Every(ctx, tickInterval, func() {
		leads := rc.IsLeader()
		if leads && !rc.wasLeader {
			rc.Registry.Reset(rc.Clock.Now())
			rc.upSince = map[weir.InstanceID]upPeriod{}
		}
		rc.wasLeader = leads
		if leads {
			rc.tick(ctx, rc.Clock.Now())
		}
	})
}

func (rc *Reconciler) tick(ctx context.Context, now time.Time) {
	var cmds []command.Command
	var drained []view.Member
	var unreported []command.Status
	rc.Machine.Read(func(rd fsm.Reader) {
		unreported = rc.unreportedInstances(rd, now)
		cmds = wave.NextCommands(rd, rc.observe(rd, now), now)
		for _, mem := range rd.Members() {
			if mem.Phase == view.Drained {
				drained = append(drained, mem)
			}
		}
	})
	if len(unreported) > 0 {
		rc.propose(ctx, command.Command{At: now, Status: &command.StatusBatch{Items: unreported}})
	}
	for _, cmd := range cmds {
		rc.propose(ctx, cmd)
	}
	for _, mem := range drained {
		rc.reboot(ctx, mem)
	}
}

// unreportedInstances returns the statuses of instances whose entry instance does
// not report, set to not up. They count as not available until it reports again.
func (rc *Reconciler) unreportedInstances(rd fsm.Reader, now time.Time) []command.Status {
	var list []command.Status
	for _, sta := range rd.Statuses() {
		if sta.Up && !rc.Registry.IsReporting(now, sta.Entry) {
			sta.Up = false
			list = append(list, sta)
		}
	}
	return list
}

// observe records since when returning instances have been up.
func (rc *Reconciler) observe(rd fsm.Reader, now time.Time) wave.Observations {
	obs := wave.Observations{UpSince: map[weir.InstanceID]time.Time{}}
	for id, mem := range rd.Members() {
		sta := rd.Statuses()[id]
		if mem.Phase != view.Returning || !sta.Up {
			delete(rc.upSince, id)
			continue
		}
		period, ok := rc.upSince[id]
		if !ok || period.incarnation != sta.Incarnation {
			period = upPeriod{incarnation: sta.Incarnation, since: now}
			rc.upSince[id] = period
		}
		obs.UpSince[id] = period.since
	}
	return obs
}

func (rc *Reconciler) propose(ctx context.Context, cmd command.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ans, err := rc.Propose(ctx, cmd)
	switch {
	case err != nil:
		_ = rc.Logger.Log("level", "warn", "msg", "command not proposed", "err", err.Error())
	case ans.Refusal != nil:
		_ = rc.Logger.Log("level", "debug", "msg", "command refused", "kind", string(ans.Refusal.Kind), "reason", ans.Refusal.Message)
	}
}

// reboot requests a reboot from the platform, with one call in flight for each
// operation. Calls are idempotent by operation id, so repeated calls are harmless,
// also those of a former leader.
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
