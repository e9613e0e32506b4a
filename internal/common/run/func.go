package run

import (
	"context"
	"time"
)

// Func is a component that runs a function and has no settings.
type Func struct {
	Name string
	Do   func(ctx context.Context) error
}

// String returns the name of the component in logs.
func (fn *Func) String() string { return fn.Name }

// Default does nothing.
func (fn *Func) Default() error { return nil }

// Run calls the function.
func (fn *Func) Run(ctx context.Context) error { return fn.Do(ctx) }

// Every calls do once per period until the context ends. It does not call it at
// the start.
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
