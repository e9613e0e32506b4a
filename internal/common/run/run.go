// Package run runs the long-lived components of a process in one goroutine each
// and stops them in reverse order.
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

// Defaults sets defaults and validates the settings of all components.
func Defaults(components ...weir.Component) error {
	for _, com := range components {
		if err := com.Default(); err != nil {
			return errors.Wrapf(err, "settings of %s", com)
		}
	}
	return nil
}

// All runs the components until the context ends or one of them fails. Then it
// stops them from last to first and waits for each before it stops the next.
func All(ctx context.Context, lg log.Logger, components ...weir.Component) error {
	if err := Defaults(components...); err != nil {
		return err
	}
	group := newGroup(lg)
	for _, com := range components {
		group.start(com)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-group.failed:
	}
	group.stop()
	return err
}

// group is a set of running components.
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

func (gr *group) start(com weir.Component) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	gr.cancels = append(gr.cancels, cancel)
	gr.dones = append(gr.dones, done)
	go func() {
		defer close(done)
		_ = gr.lg.Log("level", "debug", "msg", "step started", "step", com.String())
		err := com.Run(ctx)
		if err != nil && ctx.Err() == nil {
			gr.once.Do(func() { gr.failed <- errors.Wrap(err, com.String()) })
		}
		_ = gr.lg.Log("level", "debug", "msg", "step ended", "step", com.String())
	}()
}

func (gr *group) stop() {
	for ix := len(gr.cancels) - 1; ix >= 0; ix-- {
		gr.cancels[ix]()
		<-gr.dones[ix]
	}
}
