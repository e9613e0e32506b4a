// Package greengageweir defines the interfaces and value types that the packages
// under internal share. It imports no other package of the project.
//
// Usage:
//
//	var ans greengageweir.Response = dsp.Do(ctx, req)
//	switch ans.Kind {
//	case greengageweir.Complete: // the endpoint's complete response
//	case greengageweir.NotRun:   // the request certainly did not run
//	case greengageweir.Unknown:  // it may have run; repeat it with the same key
//	}
package greengageweir

import (
	"context"
	"time"
)

// InstanceID identifies one instance of the fleet (a worker).
type InstanceID string

// PoolName is the name of a pool of instances.
type PoolName string

// ServiceName is the name of a service that callers send requests to.
type ServiceName string

// Zone is the name of an availability zone.
type Zone string

// TeamName is the name of a team of callers with a quota.
type TeamName string

// Class is the urgency class of a request.
type Class string

// The classes of requests.
const (
	Urgent     Class = "urgent"
	Deferrable Class = "deferrable"
)

// OutcomeKind is the kind of a response.
type OutcomeKind string

// The kinds of responses; every request gets exactly one of them.
const (
	// Complete means that the endpoint returned a complete response.
	Complete OutcomeKind = "whole"
	// NotRun means that the request certainly did not run and may be sent again.
	NotRun OutcomeKind = "notRun"
	// Unknown means that the request may have run. Sending it again with the same
	// idempotency key returns the recorded outcome and never runs it twice.
	Unknown OutcomeKind = "unknown"
)

// Request is a caller's request as it is passed through the system.
type Request struct {
	Service     ServiceName `json:"service"`
	Team        TeamName    `json:"team,omitempty"`
	Method      string      `json:"method"`
	Path        string      `json:"path"`
	ContentType string      `json:"contentType,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Key         string      `json:"key,omitempty"`
	Class       Class       `json:"class"`
	// Repeatable requests may be dispatched to endpoints more than once.
	Repeatable bool `json:"repeatable"`
	// Deadline is the time after which a response is of no use.
	Deadline time.Time `json:"deadline"`
}

// Response is the outcome of one request.
type Response struct {
	Kind        OutcomeKind `json:"kind"`
	Reason      string      `json:"reason,omitempty"`
	Status      int         `json:"status,omitempty"`
	ContentType string      `json:"contentType,omitempty"`
	Body        []byte      `json:"body,omitempty"`
}

// NotRunResponse returns a response of kind NotRun.
func NotRunResponse(reason string) Response { return Response{Kind: NotRun, Reason: reason} }

// UnknownResponse returns a response of kind Unknown.
func UnknownResponse(reason string) Response { return Response{Kind: Unknown, Reason: reason} }

// Dispatcher returns exactly one response for each request.
type Dispatcher interface {
	Do(ctx context.Context, req Request) Response
}

// Component is one part of a process that runs until the process stops.
type Component interface {
	// String returns the name of the component in logs.
	String() string
	// Default sets defaults for unset settings and validates all of them.
	Default() error
	// Run runs the component until the context is done.
	Run(ctx context.Context) error
}

// Platform performs operations on instances. Calls are idempotent: a repeated
// operation id has no further effect.
type Platform interface {
	Reboot(ctx context.Context, zone Zone, inst InstanceID, operation string) error
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}
