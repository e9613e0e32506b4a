// Package run runs the long-lived components of a process, called steps, in one
// goroutine each, and stops them in reverse order.
//
// Usage:
//
//	err := run.All(ctx, lg, logNode, server)
package run

import (
	"context"
	"sync"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Defaults sets defaults and validates the settings of all steps.
func Defaults(steps ...weir.Component) error {
	for _, stp := range steps {
		if err := stp.Default(); err != nil {
			return errors.Wrapf(err, "settings of %s", stp)
		}
	}
	return nil
}

// All runs the steps until the context ends or one of them fails. Then it stops
// them from last to first and waits for each before it stops the next.
func All(ctx context.Context, lg log.Logger, steps ...weir.Component) error {
	if err := Defaults(steps...); err != nil {
		return err
	}
	group := newGroup(lg)
	for _, stp := range steps {
		group.start(stp)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-group.failed:
	}
	group.stop()
	return err
}

// group is a set of running steps.
type group struct {
	lg      log.Logger
	failed  chan error
	cancels []context.CancelFunc
	dones   []chan struct{}
	once    sync.Once
}

func newGroup(lg log.Logger) *group {
	return &group{lg: lg, failed: make(chan error, 1)}
}

func (gr *group) start(stp weir.Component) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	gr.cancels = append(gr.cancels, cancel)
	gr.dones = append(gr.dones, done)
	go func() {
		defer close(done)
		_ = gr.lg.Log("level", "debug", "msg", "step started", "step", stp.String())
		err := stp.Run(ctx)
		if err != nil && ctx.Err() == nil {
			gr.once.Do(func() { gr.failed <- errors.Wrap(err, stp.String()) })
		}
		_ = gr.lg.Log("level", "debug", "msg", "step ended", "step", stp.String())
	}()
}

func (gr *group) stop() {
	for ix := len(gr.cancels) - 1; ix >= 0; ix-- {
		gr.cancels[ix]()
		<-gr.dones[ix]
	}
}
