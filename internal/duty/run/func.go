package run

import (
	"context"
	"time"
)

// Func is a step that is only a function.
type Func struct {
	Name string
	Do   func(ctx context.Context) error
}

// String is the step's name in logs.
func (fn *Func) String() string { return fn.Name }

// Default has nothing to fill.
func (fn *Func) Default() error { return nil }

// Run calls the function.
func (fn *Func) Run(ctx context.Context) error { return fn.Do(ctx) }

// Every calls a function in each period until the context ends.
func Every(ctx context.Context, period time.Duration, do func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do()
		}
	}
}
