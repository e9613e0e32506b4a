// Package steward is the leader's duty to carry maintenance on: it proposes
// the next steps of waves and moves, asks the platform for reboots, and marks
// instances whose entry instance is silent as not available.
//
// Usage:
//
//	sw := &steward.Steward{Machine: mc, Registry: rg, Platform: pf, Propose: propose, ...}
//	go sw.Run(ctx)
package steward

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/control/registry"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/machine"
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

// Steward works while this process leads. Set the exported fields before Run.
type Steward struct {
	Machine  *machine.Machine
	Registry *registry.Registry
	Platform weir.Platform
	Clock    weir.Clock
	Logger   log.Logger
	IsLeader func() bool
	Propose  func(ctx context.Context, cmd command.Command) (command.Answer, error)

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
func (sw *Steward) String() string { return "steward" }

// Default prepares the steward's memory.
func (sw *Steward) Default() error {
	sw.upSince = map[weir.InstanceID]sighting{}
	sw.rebooting = map[string]bool{}
	return nil
}

// Run works until the context ends.
func (sw *Steward) Run(ctx context.Context) error {
	return run.Every(ctx, tickEvery, func() {
		leads := sw.IsLeader()
		if leads && !sw.led {
			sw.Registry.Reset(sw.Clock.Now())
			sw.upSince = map[weir.InstanceID]sighting{}
		}
		sw.led = leads
		if leads {
			sw.tick(ctx, sw.Clock.Now())
		}
	})
}

func (sw *Steward) tick(ctx context.Context, now time.Time) {
	var steps []command.Command
	var drained []view.Member
	var silent []command.Status
	sw.Machine.Read(func(rd machine.Reader) {
		silent = sw.silent(rd, now)
		steps = wave.Next(rd, sw.evidence(rd, now), now)
		for _, mem := range rd.Members() {
			if mem.Phase == view.Drained {
				drained = append(drained, mem)
			}
		}
	})
	if len(silent) > 0 {
		sw.propose(ctx, command.Command{At: now, Status: &command.StatusBatch{Items: silent}})
	}
	for _, cmd := range steps {
		sw.propose(ctx, cmd)
	}
	for _, mem := range drained {
		sw.reboot(ctx, mem)
	}
}

// silent returns the instances whose entry instance is not heard: they count
// as not available until it reports again.
func (sw *Steward) silent(rd machine.Reader, now time.Time) []command.Status {
	var list []command.Status
	for _, sta := range rd.Statuses() {
		if sta.Up && !sw.Registry.IsHeard(now, sta.Entry) {
			sta.Up = false
			list = append(list, sta)
		}
	}
	return list
}

// evidence notes since when returning instances are up.
func (sw *Steward) evidence(rd machine.Reader, now time.Time) wave.Evidence {
	ev := wave.Evidence{UpSince: map[weir.InstanceID]time.Time{}}
	for id, mem := range rd.Members() {
		sta := rd.Statuses()[id]
		if mem.Phase != view.Returning || !sta.Up {
			delete(sw.upSince, id)
			continue
		}
		seen, ok := sw.upSince[id]
		if !ok || seen.incarnation != sta.Incarnation {
			seen = sighting{incarnation: sta.Incarnation, since: now}
			sw.upSince[id] = seen
		}
		ev.UpSince[id] = seen.since
	}
	return ev
}

func (sw *Steward) propose(ctx context.Context, cmd command.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ans, err := sw.Propose(ctx, cmd)
	switch {
	case err != nil:
		_ = sw.Logger.Log("level", "warn", "msg", "step not proposed", "err", err.Error())
	case ans.Refusal != nil:
		_ = sw.Logger.Log("level", "debug", "msg", "step refused", "kind", string(ans.Refusal.Kind), "reason", ans.Refusal.Message)
	}
}

// reboot asks the platform, once at a time for each operation. The operation
// id makes a repeated call harmless, also one by a leader that was replaced.
func (sw *Steward) reboot(ctx context.Context, mem view.Member) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.rebooting[mem.Operation] || len(sw.rebooting) >= maxReboots {
		return
	}
	sw.rebooting[mem.Operation] = true
	go func() {
		defer func() {
			sw.mu.Lock()
			defer sw.mu.Unlock()
			delete(sw.rebooting, mem.Operation)
		}()
		if err := sw.Platform.Reboot(ctx, mem.Zone, mem.Instance, mem.Operation); err != nil {
			_ = sw.Logger.Log("level", "warn", "msg", "reboot failed", "instance", string(mem.Instance), "err", err.Error())
			return
		}
		sw.propose(ctx, command.Command{
			At: sw.Clock.Now(), Reboot: &command.RebootDone{Instance: mem.Instance, Operation: mem.Operation},
		})
	}()
}
