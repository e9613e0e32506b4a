// Package errkind provides the generic error type of all packages: the operation
// that failed, a kind that callers can test for, and the cause.
//
// Usage:
//
//	type Kind string
//	type Error = errkind.Error[Kind]
//	return &Error{Op: "open", Kind: KindLocked, Err: err}
package errkind

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with the failed operation, a kind and an optional cause.
type Error[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// Error implements error.
func (er *Error[K]) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("%s: %s", er.Op, string(er.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", er.Op, string(er.Kind), er.Err)
}

// Unwrap returns the cause.
func (er *Error[K]) Unwrap() error { return er.Err }

// Is reports whether err is or wraps an error of the given kind.
func Is[K ~string](err error, kind K) bool {
	var er *Error[K]
	return errors.As(err, &er) && er.Kind == kind
}
