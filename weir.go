// Package greengageweir holds the interfaces and the plain values that the
// packages under internal speak in. It imports nothing of the project.
//
// Usage:
//
//	var ans greengageweir.Answer = dsp.Do(ctx, req)
//	switch ans.Kind {
//	case greengageweir.Whole:   // the endpoint's complete answer
//	case greengageweir.NotRun:  // it certainly did not run
//	case greengageweir.Unknown: // it may have run; ask again with the same key
//	}
package greengageweir

import (
	"context"
	"time"
)

// InstanceID names one instance of the fleet (a worker).
type InstanceID string

// PoolName names a pool of instances.
type PoolName string

// ServiceName names a service that callers ask for.
type ServiceName string

// Zone names an availability zone.
type Zone string

// TeamName names a team with a quota.
type TeamName string

// Class tells how urgent a request is.
type Class string

// The classes of requests.
const (
	Urgent     Class = "urgent"
	Deferrable Class = "deferrable"
)

// OutcomeKind is one of the three kinds of answer a caller can get.
type OutcomeKind string

// The three kinds of answer; there is no fourth.
const (
	// Complete is the endpoint's complete answer.
	Complete OutcomeKind = "whole"
	// NotRun says that the request certainly did not run and may be sent again.
	NotRun OutcomeKind = "notRun"
	// Unknown says that the request may have run. Asking again with the same
	// key gets the recorded outcome, never a second run.
	Unknown OutcomeKind = "unknown"
)

// Request is a caller's request as the system carries it.
type Request struct {
	Service     ServiceName `json:"service"`
	Team        TeamName    `json:"team,omitempty"`
	Method      string      `json:"method"`
	Path        string      `json:"path"`
	ContentType string      `json:"contentType,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Key         string      `json:"key,omitempty"`
	Class       Class       `json:"class"`
	// Repeatable requests may be dispatched more than once.
	Repeatable bool `json:"repeatable"`
	// Deadline is the instant after which an answer is of no use.
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

// NotRunResponse returns an answer that says the request did not run.
func NotRunResponse(reason string) Response { return Response{Kind: NotRun, Reason: reason} }

// UnknownResponse returns an answer that says the request may have run.
func UnknownResponse(reason string) Response { return Response{Kind: Unknown, Reason: reason} }

// Dispatcher turns a request into exactly one answer.
type Dispatcher interface {
	Do(ctx context.Context, req Request) Response
}

// Component is one long-running part of a process.
type Component interface {
	// String is the step's name in logs.
	String() string
	// Default fills unset settings and checks all of them.
	Default() error
	// Run works until the context ends.
	Run(ctx context.Context) error
}

// Platform acts on instances. Every call carries an operation id and is
// idempotent under it.
type Platform interface {
	Reboot(ctx context.Context, zone Zone, inst InstanceID, operation string) error
}

// Clock tells the present time.
type Clock interface {
	Now() time.Time
}
