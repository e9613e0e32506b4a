// Package caller defines the HTTP API for callers: paths, headers and the three
// kinds of response.
//
// Usage:
//
//	POST /v1/keys                     -> {"key": "..."}
//	POST /v1/call/<service>/<path>    with HeaderKey -> response with HeaderOutcome
package caller

import (
	"net/http"

	weir "greengageweir"
)

// The headers of a request.
const (
	// HeaderKey is the idempotency key of a request; see ledger.Key for its
	// format.
	HeaderKey = "Idempotency-Key"
	// HeaderClass is the class of a request: urgent (default) or deferrable.
	HeaderClass = "Weir-Class"
	// HeaderTeam is the name of the caller's team.
	HeaderTeam = "Weir-Team"
	// HeaderRepeatable is "true" for a request that may run more than once.
	// Without the header GET and HEAD requests are repeatable.
	HeaderRepeatable = "Weir-Repeatable"
	// HeaderTimeout is the duration, such as 800ms, after which the caller needs
	// no response.
	HeaderTimeout = "Weir-Timeout"
)

// The headers of a response.
const (
	// HeaderOutcome is the weir.OutcomeKind of the response.
	HeaderOutcome = "Weir-Outcome"
	// HeaderReason is the reason of a response that is not complete.
	HeaderReason = "Weir-Reason"
)

// The paths of the API.
const (
	// PathKeys returns a new idempotency key.
	PathKeys = "/v1/keys"
	// PathCall is followed by the service and the path for the endpoint.
	PathCall = "/v1/call/"
)

// KeyResponse is the response to a request for a key.
type KeyResponse struct {
	Key string `json:"key"`
}

// OutcomeBody is the body of a response that is not complete.
type OutcomeBody struct {
	Outcome weir.OutcomeKind `json:"outcome"`
	Reason  string           `json:"reason"`
}

// StatusOf returns the HTTP status of a response: the endpoint's own if it is
// complete, 503 if the request did not run and 504 if that is unknown.
func StatusOf(ans weir.Response) int {
	switch ans.Kind {
	case weir.Complete:
		return ans.Status
	case weir.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
